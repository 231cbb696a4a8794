/// \file
/// Tests the CBOR codec: round trips, other versions and damaged bytes.

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
  const auto Read = decodeAgentMessage(encode(AgentMessage{Message}));
  BOOST_REQUIRE(Read);
  BOOST_TEST(std::get<Hello>(*Read).Agent_ == Message.Agent_);
  BOOST_TEST((std::get<Hello>(*Read).Capacity_ == Message.Capacity_));
}

BOOST_AUTO_TEST_CASE(DamagedBytesAreRefusedNotFollowed) {
  std::mt19937_64 Generator(7);
  const auto Good = encode(AgentMessage{Hello{}});
  for (int Round = 0; Round < 20000; ++Round) {
    auto Bytes = Good;
    const auto Hits = 1 + Generator() % 4;
    for (std::size_t Hit = 0; Hit < Hits; ++Hit)
      Bytes[Generator() % Bytes.size()] = static_cast<char>(Generator());
    Bytes.resize(Generator() % (Bytes.size() + 1));
    decodeAgentMessage(Bytes);
    decodeEntryMessage(Bytes);
    decodePeerMessage(Bytes);
    decodeStoreValue(Bytes);
  }
}

BOOST_AUTO_TEST_CASE(DeepNestingIsRefused) {
  const std::string Nested(2000000, static_cast<char>(0x81));
  BOOST_TEST(!decodeAgentMessage(Nested));
}

BOOST_AUTO_TEST_CASE(FieldsOfANewerVersionAreIgnored) {
  // [5 (DispatchAnswer), [fields..., one more]] with the array made longer.
  auto Bytes = encode(AgentMessage{ConfirmOwnership{}});
  const auto Inner = Bytes.find(static_cast<char>(0x84));
  BOOST_REQUIRE(Inner != std::string::npos);
  Bytes[Inner] = static_cast<char>(0x85);
  Bytes.push_back(0);
  BOOST_TEST(decodeAgentMessage(Bytes).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
