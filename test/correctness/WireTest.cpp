/// \file
/// Tests the CBOR codec: round trips, messages of newer versions, and damaged
/// bytes.

#include "wire/Cbor.h"
#include "wire/WorkerJson.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

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

BOOST_AUTO_TEST_CASE(NumbersThatAreNotFiniteAreRejected) {
  ColocationSample Sample;
  Sample.Serving_.resize(1);
  BOOST_TEST(decodeAgentMessage(encode(AgentMessage{Sample})).has_value());
  for (const auto Number : {std::numeric_limits<double>::infinity(),
                            std::numeric_limits<double>::quiet_NaN()}) {
    Sample.Serving_.front().Baseline_ = Number;
    BOOST_TEST(!decodeAgentMessage(encode(AgentMessage{Sample})).has_value());
  }
}

BOOST_AUTO_TEST_CASE(AnAttemptThatCannotBeReadHidesNoOther) {
  WorkerInventory Inventory;
  Inventory.Tasks_.resize(2);
  const auto Text = renderInventory(Inventory);
  for (const auto *Odd :
       {"4294967296", "-1", "0.5", "1e300", "null", "\"1\"", "[]"}) {
    auto Damaged = Text;
    const std::string Field = "\"attempt\":0";
    const auto Position = Damaged.find(Field);
    BOOST_REQUIRE(Position != std::string::npos);
    Damaged.replace(Position, Field.size(), std::string("\"attempt\":") + Odd);
    const auto Parsed = parseInventory(Damaged);
    BOOST_REQUIRE(Parsed.has_value());
    BOOST_TEST(Parsed->Tasks_.size() == 1U, Odd);
    BOOST_TEST(!Parsed->Complete_);
  }
}

BOOST_AUTO_TEST_CASE(FieldsOfANewerVersionAreIgnored) {
  // Messages are encoded as [type, [fields...]]. This one has five fields; make
  // its array (0x85) one of six (0x86) and append a value.
  auto Bytes = encode(AgentMessage{ConfirmOwnership{}});
  const auto FieldArray = Bytes.find(static_cast<char>(0x85));
  BOOST_REQUIRE(FieldArray != std::string::npos);
  Bytes[FieldArray] = static_cast<char>(0x86);
  Bytes.push_back(0);
  BOOST_TEST(decodeAgentMessage(Bytes).has_value());
}

BOOST_AUTO_TEST_CASE(FieldsThatAnOlderVersionDoesNotWriteKeepTheirDefaults) {
  Heartbeat Message;
  Message.Leaving_ = true;
  // The fields are an array of seven (0x87), of which the last is null and the
  // one before it a boolean, one byte each.
  auto Bytes = encode(AgentMessage{Message});
  const auto FieldArray = Bytes.find(static_cast<char>(0x87));
  BOOST_REQUIRE(FieldArray != std::string::npos);
  BOOST_REQUIRE(decodeAgentMessage(Bytes).has_value());
  Bytes[FieldArray] = static_cast<char>(0x86);
  Bytes.pop_back();
  const auto Older = decodeAgentMessage(Bytes);
  BOOST_REQUIRE(Older.has_value());
  BOOST_TEST(std::get<Heartbeat>(*Older).Leaving_);
  BOOST_TEST(!std::get<Heartbeat>(*Older).Capacity_.has_value());
  Bytes[FieldArray] = static_cast<char>(0x85);
  Bytes.pop_back();
  BOOST_TEST(!decodeAgentMessage(Bytes).has_value());
}

BOOST_AUTO_TEST_CASE(AConfigurationBetweenEntriesIsUnchanged) {
  Configuration Sent;
  Sent.Head_.Revision_ = 7;
  Sent.Document_.Text_ = "document";
  Sent.Document_.Queues_.resize(2);
  Sent.Head_.DocumentDigest_ = digestText(Sent.Document_.Text_);
  const auto Decoded =
      decodePeerMessage(encode(PeerMessage{ConfigurationUpdate{Sent}}));
  BOOST_REQUIRE(Decoded.has_value());
  const auto &Received = std::get<ConfigurationUpdate>(*Decoded).Configuration_;
  BOOST_TEST(Received.Head_.Revision_ == 7);
  BOOST_TEST(digestText(Received.Document_.Text_) ==
             Received.Head_.DocumentDigest_);
  BOOST_TEST(Received.Document_.Queues_.size() == 2);
}

// In a rolling update an entry gets messages that it doesn't know.
BOOST_AUTO_TEST_CASE(AMessageOfAKindThatIsNotKnownIsNotDecoded) {
  // Messages are encoded as [type, [fields...]], with the type in one byte.
  auto Bytes = encode(PeerMessage{PeerHeartbeat{}});
  BOOST_REQUIRE(decodePeerMessage(Bytes).has_value());
  BOOST_REQUIRE(Bytes.at(1) == 0);
  Bytes[1] = static_cast<char>(std::variant_size_v<PeerMessage>);
  BOOST_TEST(!decodePeerMessage(Bytes).has_value());
}

BOOST_AUTO_TEST_CASE(AHeartbeatCarriesTheCapacity) {
  Heartbeat Message;
  Message.Capacity_ = Resources{4000, 8000, 1};
  const auto Decoded = decodeAgentMessage(encode(AgentMessage{Message}));
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST((std::get<Heartbeat>(*Decoded).Capacity_ == Message.Capacity_));
}

BOOST_AUTO_TEST_CASE(LedgerValuesOfAnOlderVersionAreRead) {
  using nlohmann::json;
  Job Stored;
  Stored.Tasks_.resize(1);
  ShardSegment Segment;
  Segment.Records_ = {JobAdded{Stored}, TaskChanged{}};
  auto Value = json::from_cbor(encode(StoreValue{Segment}));
  const auto Decodes = [&] {
    const auto Bytes = json::to_cbor(Value);
    return decodeStoreValue({Bytes.begin(), Bytes.end()}).has_value();
  };
  // Values are stored as [type, [fields...]]; a job's tasks are its last field.
  auto &Records = Value[1][1];
  auto &Status = Records[0][1][0].back()[0];
  auto &Change = Records[1][1];
  const auto EraseLast = [](json &Fields) { Fields.erase(Fields.size() - 1); };
  BOOST_TEST(Decodes());
  constexpr int AddedFieldCount = 3;
  for (int Field = 0; Field < AddedFieldCount; ++Field) {
    EraseLast(Status);
    EraseLast(Change);
    BOOST_TEST(Decodes());
  }
  EraseLast(Change);
  BOOST_TEST(!Decodes());
}

BOOST_AUTO_TEST_CASE(RecordsStoredBeforeAFieldWasAddedAreStillRead) {
  TaskChanged Change;
  Change.Task_ = {{"job"}, 3};
  Change.Attempt_ = 7;
  ShardSegment Segment;
  Segment.Records_ = {Change};
  const auto Bytes = encode(StoreValue{Segment});
  // The record has thirteen fields (0x8d) and ends with not started (0xf4), no
  // crashes (0x83 and three zeros) and no silent losses (0x80); it had ten
  // (0x8a).
  const std::string AddedFields{'\xf4', '\x83', '\x00', '\x00', '\x00', '\x80'};
  const auto FieldArray = Bytes.find('\x8d');
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
  BOOST_TEST(Record.Crashes_.Blame_ == 0U);
  // One field fewer than the oldest version wrote.
  auto Short = Bytes;
  Short.erase(Added - 1, AddedFields.size() + 1);
  Short[FieldArray] = '\x89';
  BOOST_TEST(!decodeStoreValue(Short));
}

BOOST_AUTO_TEST_SUITE_END()
