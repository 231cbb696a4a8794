/// \file
/// Tests how the client of the platform's metadata store follows the operator's
/// keys, against a fake of the store's HTTP interface.

#include "test/correctness/HttpStoreFixture.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// Two entries, and between them an item of another writer.
class OddItemFixture : public StoreFixture {
public:
  OddItemFixture() {
    putEntry("a", "a", "127.0.0.1:4001");
    putEntry("c", "c", "127.0.0.1:4003");
  }
  static auto oddKey() -> std::string {
    return leaseKey({"test"}, {"b"}).Path_;
  }
  /// Whether a read returns exactly the two entries.
  auto bothAreListed() -> bool {
    return read() && entries() == std::vector<std::string>{"a", "c"};
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(MetadataStores)

BOOST_AUTO_TEST_CASE(TheOperatorsChangesAreFollowed) {
  StoreFixture Fixture;
  BOOST_REQUIRE(Fixture.read());
  BOOST_TEST(Fixture.Service_ == "s0");
  const auto First = Fixture.State_.Head_;
  Fixture.putConfiguration("s1");
  Fixture.Http_.put("op/evacuate/a", "{}");
  BOOST_REQUIRE(Fixture.read());
  BOOST_TEST(Fixture.Service_ == "s1");
  BOOST_TEST(Fixture.isOut("a"));
  BOOST_TEST(Fixture.State_.Head_.StartRevision_ > First.StartRevision_);
  const auto Second = Fixture.State_.Head_;
  Fixture.Http_.remove("op/evacuate/a");
  BOOST_REQUIRE(Fixture.read());
  BOOST_TEST(!Fixture.isOut("a"));
  BOOST_TEST(Fixture.State_.Head_.StartRevision_ > Second.StartRevision_);
  BOOST_TEST(Fixture.State_.Head_.Revision_ > Second.Revision_);
}

BOOST_AUTO_TEST_CASE(ARemovalIsSeenAlthoughTheHistoryWasDropped) {
  StoreFixture Fixture;
  Fixture.Http_.put("op/evacuate/a", "{}");
  BOOST_REQUIRE(Fixture.read());
  const auto Before = Fixture.State_.Head_;
  Fixture.Http_.remove("op/evacuate/a");
  Fixture.putConfiguration("s1");
  Fixture.Http_.dropHistory();
  BOOST_REQUIRE(Fixture.read());
  BOOST_TEST(!Fixture.isOut("a"));
  BOOST_TEST(Fixture.Service_ == "s1");
  BOOST_TEST(Fixture.State_.Head_.StartRevision_ > Before.StartRevision_);
}

BOOST_AUTO_TEST_CASE(AChangeBetweenTwoPagesOfAReadIsNotMissed) {
  StoreFixture Fixture;
  Fixture.Http_.put("op/evacuate/b", "{}");
  Fixture.Http_.put("op/evacuate/c", "{}");
  Fixture.Http_.PageSize_ = 2;
  auto Pages = 0;
  Fixture.Http_.AfterAnswer_ = [&](const std::string &) {
    if (++Pages != 1)
      return;
    Fixture.putConfiguration("s1");
    Fixture.Http_.put("op/evacuate/a", "{}");
    Fixture.Http_.remove("op/evacuate/b");
    Fixture.Http_.put("op/evacuate/d", "{}");
  };
  BOOST_REQUIRE(Fixture.read());
  const auto First = Fixture.State_;
  const auto FirstService = Fixture.Service_;
  BOOST_REQUIRE(Fixture.read());
  BOOST_TEST(Fixture.Service_ == "s1");
  BOOST_TEST(Fixture.isOut("a"));
  BOOST_TEST(!Fixture.isOut("b"));
  BOOST_TEST(Fixture.isOut("c"));
  BOOST_TEST(Fixture.isOut("d"));
  // Heads with the same revision must have the same content.
  const auto Same = FirstService == "s1" && First.Head_.isOut({"a"}) &&
                    !First.Head_.isOut({"b"}) && First.Head_.isOut({"d"});
  BOOST_TEST((Same || Fixture.State_.Head_.Revision_ > First.Head_.Revision_));
  BOOST_TEST((Same || First.AsOf_ < Fixture.State_.Head_.StartRevision_));
}

BOOST_AUTO_TEST_CASE(ASeriesOfLargeConfigurationsIsFollowed) {
  constexpr std::size_t Size = 100000;
  StoreFixture Fixture;
  Fixture.putConfiguration("s0", Size);
  Fixture.Http_.put("op/evacuate/a", "{}");
  // Two configurations fit into an answer.
  Fixture.Http_.MaxAnswerSize_ = 3 * Size;
  BOOST_REQUIRE(Fixture.read());
  int Failures = 0;
  for (int Round = 1; Round <= 20; ++Round) {
    for (int Change = 0; Change < 4; ++Change)
      Fixture.putConfiguration(
          "s" + std::to_string(Round) + "-" + std::to_string(Change), Size);
    if (Round == 10)
      Fixture.Http_.remove("op/evacuate/a");
    if (!Fixture.read()) {
      ++Failures;
      continue;
    }
    BOOST_TEST(Fixture.Service_ == "s" + std::to_string(Round) + "-3");
    BOOST_TEST(Fixture.isOut("a") == (Round < 10));
  }
  BOOST_TEST(Failures <= 1);
  BOOST_REQUIRE(Fixture.read());
  BOOST_TEST(Fixture.Service_ == "s20-3");
}

BOOST_AUTO_TEST_CASE(AReadTakesAsLongAsOneCall) {
  StoreFixture Fixture;
  BOOST_REQUIRE(Fixture.read());
  Fixture.putConfiguration("s1");
  Fixture.Http_.HoldsCalls_ = true;
  std::optional<StoreResult> Read;
  Fixture.Store_.call(1, ReadEnvironment{{"test"}},
                      [&](StoreResult Result) { Read = std::move(Result); });
  BOOST_REQUIRE(Fixture.Http_.Held_.size() == 2U);
  Fixture.Http_.release(1);
  Fixture.Http_.release(0);
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST((Read->Status_ == StoreStatus::Ok));
  BOOST_TEST(Read->EnvironmentState_.Head_.Revision_ ==
             Fixture.Http_.Revision_);
}

BOOST_AUTO_TEST_CASE(EntriesAreReadAgainIfTheyAreOlderThanTheHead) {
  StoreFixture Fixture;
  BOOST_REQUIRE(Fixture.read());
  const StoreValue Registered = EntryRegistration{{"late"}, 1, "late:1", 1000};
  auto Ranges = 0;
  Fixture.Http_.AfterAnswer_ = [&](const std::string &Path) {
    Ranges += Path.rfind("/kv-range", 0) == 0 ? 1 : 0;
  };
  Fixture.Http_.HoldsCalls_ = true;
  std::optional<StoreResult> Read;
  Fixture.Store_.call(1, ReadEnvironment{{"test"}},
                      [&](StoreResult Result) { Read = std::move(Result); });
  BOOST_REQUIRE(Fixture.Http_.Held_.size() == 2U);
  Fixture.Http_.release(1);
  Fixture.Http_.put(grantorKey({"test"}, {"late"}).Path_, encode(Registered));
  Fixture.putConfiguration("s1");
  Fixture.Http_.release(0);
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Ranges == 2);
  BOOST_TEST(Read->EnvironmentState_.Grantors_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ARestartedEntrySupersedesAnEvacuationThatEndedMeanwhile) {
  StoreFixture Fixture;
  Fixture.Http_.put("op/evacuate/a", "{}");
  BOOST_REQUIRE(Fixture.read());
  BOOST_REQUIRE(Fixture.isOut("a"));
  const auto HeldByAgents = Fixture.State_.Head_.StartRevision_;
  Fixture.Http_.remove("op/evacuate/a");
  Platform::MetadataStore Restarted{Fixture.Http_, "store", {}};
  EnvironmentHead Head;
  Restarted.call(1, ReadEnvironment{{"test"}}, [&](const StoreResult &Result) {
    Head = Result.EnvironmentState_.Head_;
  });
  BOOST_TEST(!Head.isOut({"a"}));
  BOOST_TEST(Head.StartRevision_ > HeldByAgents);
}

BOOST_FIXTURE_TEST_CASE(AnItemThatCannotBeReadHidesNoEntry, OddItemFixture) {
  const auto Encoded = websocketpp::base64_encode(encode(StoreValue{}));
  for (const auto &[Value, Revision] : std::vector<std::pair<Json, Json>>{
           {Json::object(), 7},
           {nullptr, 7},
           {-1e300, 7},
           {"not base64!", 7},
           {websocketpp::base64_encode(std::string(1000000, '\x81')), 7},
           {Encoded, 1e300},
           {Encoded, -1},
           {Encoded, "7"},
           {Encoded, nullptr}}) {
    Http_.putItem(oddKey(), Value, Revision);
    BOOST_TEST(bothAreListed(), Value.dump().substr(0, 20) + Revision.dump());
  }
}

BOOST_FIXTURE_TEST_CASE(EntriesAfterAPageThatEndsWithAnUnreadableItemAreListed,
                        OddItemFixture) {
  Http_.PageSize_ = 2;
  Http_.putItem(oddKey(), nullptr, 7);
  BOOST_TEST(bothAreListed());
}

BOOST_FIXTURE_TEST_CASE(AnEntryWithAnAddressThatCannotBeConnectedToIsNoPeer,
                        OddItemFixture) {
  for (const auto *Address :
       {"127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1:",
        "127.0.0.1", "", ":4002", "[127.0.0.1:4002", " 127.0.0.1:4002",
        "127.0.0.1 :4002", "127.0.0.1:4002/x", "300.0.0.1:4002"}) {
    putEntry("b", "b", Address);
    BOOST_TEST(bothAreListed(), Address);
  }
}

BOOST_FIXTURE_TEST_CASE(ARegistrationUnderTheKeyOfAnotherEntryIsNoPeer,
                        OddItemFixture) {
  putEntry("b", "a", "127.0.0.1:4002");
  BOOST_TEST(bothAreListed());
}

BOOST_FIXTURE_TEST_CASE(AnEvacuationCountsWhateverItsValueIs, StoreFixture) {
  BOOST_REQUIRE(read());
  Http_.putItem("op/evacuate/hobart", nullptr, Http_.Revision_ + 1);
  BOOST_REQUIRE(read());
  BOOST_TEST(isOut("hobart"));
}

BOOST_FIXTURE_TEST_CASE(AConfigurationAfterAnUnreadableOneIsFollowed,
                        StoreFixture) {
  BOOST_REQUIRE(read());
  for (const auto &Text :
       {std::string(1000000, '['),
        std::string(R"({"services":[],"routes":[{"name":"r","host":"h",)"
                    R"("prefix":"/","service":"s","priority":1e30}]})")}) {
    Http_.put("op/config", Text);
    BOOST_REQUIRE(read());
    BOOST_TEST(Service_ == "s0");
  }
  putConfiguration("s1");
  BOOST_REQUIRE(read());
  BOOST_TEST(Service_ == "s1");
}

// A refusal was taken for a lost answer, and the write was repeated for good.
BOOST_AUTO_TEST_CASE(ARefusedWriteIsNotALostAnswer) {
  FakeHttpStore Http;
  Platform::MetadataStore Store(Http, "store:1", {});
  const std::vector<std::pair<std::uint16_t, StoreStatus>> Statuses{
      {400, StoreStatus::Refused},     {403, StoreStatus::Refused},
      {413, StoreStatus::Refused},     {412, StoreStatus::Conflict},
      {429, StoreStatus::Unavailable}, {503, StoreStatus::Unavailable}};
  for (const auto &[Status, Expected] : Statuses) {
    Http.WriteStatus_ = Status;
    StoreResult Got;
    Store.call(1, WriteValue{{"key"}, ShardHead{}},
               [&](StoreResult Result) { Got = std::move(Result); });
    BOOST_TEST((Got.Status_ == Expected), Status);
  }
}

BOOST_AUTO_TEST_SUITE_END()
