/// \file
/// Tests the CBOR codec: round trips, messages of newer versions, and damaged
/// bytes.

#include "wire/Cbor.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace skylark;

BOOST_AUTO_TEST_SUITE(Wire)

BOOST_AUTO_TEST_CASE(RoundTrip) {
  Hello Message;
  Message.Agent_ = {"agent"};
  Message.Capacity_ = {4000, 8000, 1};
  Message.Services_ = {{"receipt-check"}};
  const auto Decoded = decodeAgentMessage(encode(AgentMessage{Message}));
  BOOST_REQUIRE(Decoded);
  BOOST_TEST(std::get<Hello>(*Decoded).Agent_ == Message.Agent_);
  BOOST_TEST((std::get<Hello>(*Decoded).Capacity_ == Message.Capacity_));
}

BOOST_AUTO_TEST_CASE(DamagedBytesDoNotCrashTheDecoder) {
  std::mt19937_64 Generator(7);
  const auto Valid = encode(AgentMessage{Hello{}});
  for (int Round = 0; Round < 20000; ++Round) {
    auto Bytes = Valid;
    const auto Corruptions = 1 + Generator() % 4;
    for (std::size_t Corruption = 0; Corruption < Corruptions; ++Corruption)
      Bytes[Generator() % Bytes.size()] = static_cast<char>(Generator());
    Bytes.resize(Generator() % (Bytes.size() + 1));
    decodeAgentMessage(Bytes);
    decodeEntryMessage(Bytes);
    decodePeerMessage(Bytes);
    decodeStoreValue(Bytes);
  }
}

BOOST_AUTO_TEST_CASE(DeepNestingIsRejected) {
  const std::string Nested(2000000, static_cast<char>(0x81));
  BOOST_TEST(!decodeAgentMessage(Nested));
}

BOOST_AUTO_TEST_CASE(FieldsOfANewerVersionAreIgnored) {
  // Messages are encoded as [type, [fields...]]. This one has four fields; make
  // its array (0x84) one of five (0x85) and append a value.
  auto Bytes = encode(AgentMessage{ConfirmOwnership{}});
  const auto FieldArray = Bytes.find(static_cast<char>(0x84));
  BOOST_REQUIRE(FieldArray != std::string::npos);
  Bytes[FieldArray] = static_cast<char>(0x85);
  Bytes.push_back(0);
  BOOST_TEST(decodeAgentMessage(Bytes).has_value());
}

BOOST_AUTO_TEST_CASE(RecordsStoredBeforeAFieldWasAddedAreStillRead) {
  TaskChanged Change;
  Change.Task_ = {{"job"}, 3};
  Change.Attempt_ = 7;
  ShardSegment Segment;
  Segment.Records_ = {Change};
  const auto Bytes = encode(StoreValue{Segment});
  // The record has twelve fields (0x8c) and ends with no blame (0x00) and no
  // silent losses (0x80); it had ten (0x8a).
  const std::string AddedFields{'\x00', '\x80'};
  const auto FieldArray = Bytes.find('\x8c');
  const auto Added = Bytes.rfind(AddedFields);
  BOOST_REQUIRE(FieldArray != std::string::npos);
  BOOST_REQUIRE(Added != std::string::npos);
  auto Old = Bytes;
  Old.erase(Added, AddedFields.size());
  Old[FieldArray] = '\x8a';
  const auto Decoded = decodeStoreValue(Old);
  BOOST_REQUIRE(Decoded);
  const auto &Record =
      std::get<TaskChanged>(std::get<ShardSegment>(*Decoded).Records_.front());
  BOOST_TEST(Record.Attempt_ == 7U);
  BOOST_TEST(Record.CrashBlame_ == 0U);
  // One field fewer than the oldest version wrote.
  auto Short = Bytes;
  Short.erase(Added - 1, AddedFields.size() + 1);
  Short[FieldArray] = '\x89';
  BOOST_TEST(!decodeStoreValue(Short));
}

BOOST_AUTO_TEST_SUITE_END()
