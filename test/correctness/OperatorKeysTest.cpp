/// \file
/// Tests that the operator's newest changes are found and stay in force,
/// whatever order and whatever answers they arrive in.

#include "core/EnvironmentView.h"
#include "test/correctness/HttpStoreFixture.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// An entry's view that reads the fake store.
class ViewOfStore : public StoreFixture {
public:
  /// Lets the view read the store for a period of time.
  auto follow(Duration Period) -> void {
    for (Duration Elapsed{}; Elapsed < Period; Elapsed += Millis{50}) {
      elapse(Millis{50});
      const Moment Now{Now_, WallTime(Seconds{1000})};
      View_.tick(Now);
      EntryOutbox Out;
      for (Client_.advance(Now, Out); !Out.empty(); Client_.advance(Now, Out))
        carryOut(Now, std::exchange(Out, {}));
    }
  }
  /// The service that the configuration in force declares.
  auto serviceInForce() const -> std::string {
    const auto &Services = View_.configuration().Document_.Services_;
    return Services.empty() ? "" : Services.front().Name_.Value_;
  }

  Counters Counters_;
  StoreClient Client_{1000, Counters_};
  EnvironmentView View_{{"test"}, {{"entry"}, 1, "entry:1", 1000}, {}, Client_};

private:
  auto carryOut(Moment Now, const EntryOutbox &Actions) -> void {
    for (const auto &Each : Actions) {
      const auto *Call = std::get_if<CallStore>(&Each);
      if (Call == nullptr)
        continue;
      EntryOutbox Ignored;
      Store_.call(Call->Call_, Call->Operation_, [&](const StoreResult &Got) {
        Client_.answered(Now, Got, Ignored);
      });
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorsKeys)

BOOST_FIXTURE_TEST_CASE(AFailedReadIsCountedByItsReason, ViewOfStore) {
  const auto Count = [&](StoreFailure Reason) {
    return Counters_.StoreFailuresByReason_[static_cast<std::size_t>(Reason)];
  };
  follow(Millis{1000});
  Http_.MaxAnswerSize_ = 10;
  follow(Millis{1000});
  BOOST_TEST(Count(StoreFailure::PartialAnswer) > 0U);
  BOOST_TEST(Count(StoreFailure::NoAnswer) == 0U);
  Http_.IsLost_ = [](const std::string &) { return true; };
  follow(Millis{1000});
  BOOST_TEST(Count(StoreFailure::NoAnswer) > 0U);
  BOOST_TEST(Count(StoreFailure::Unreadable) == 0U);
}

BOOST_FIXTURE_TEST_CASE(EventsInAnyOrderLeaveTheNewestInForce, StoreFixture) {
  Http_.put("op/evacuate/b", "{}");
  BOOST_REQUIRE(read());
  Http_.EventsAreNewestFirst_ = true;
  putConfiguration("s1");
  Http_.put("op/evacuate/a", "{}");
  Http_.remove("op/evacuate/b");
  Http_.remove("op/evacuate/a");
  Http_.put("op/evacuate/b", "{}");
  putConfiguration("s2");
  BOOST_REQUIRE(read());
  BOOST_TEST(Service_ == "s2");
  BOOST_TEST(!isOut("a"));
  BOOST_TEST(isOut("b"));
}

BOOST_FIXTURE_TEST_CASE(AnOlderListingTakesNothingBack, StoreFixture) {
  Http_.put("op/evacuate/b", "{}");
  BOOST_REQUIRE(read());
  Http_.freezeRanges();
  putConfiguration("s1");
  Http_.put("op/evacuate/a", "{}");
  Http_.remove("op/evacuate/b");
  BOOST_REQUIRE(read());
  Http_.put("other", "");
  Http_.dropHistory();
  const auto Before = State_.Head_;
  read();
  BOOST_TEST(Service_ == "s1");
  BOOST_TEST(isOut("a"));
  BOOST_TEST(!isOut("b"));
  BOOST_TEST(State_.Head_.StartRevision_ == Before.StartRevision_);
}

BOOST_FIXTURE_TEST_CASE(AConfigurationFoundAfterANewerEvacuationIsAdopted,
                        ViewOfStore) {
  follow(Millis{1000});
  Http_.WatchesHearNothing_ = true;
  Http_.IsLost_ = [](const std::string &Path) {
    return Path.rfind("/kv-range?prefix=op/", 0) == 0;
  };
  putConfiguration("s1");
  follow(Millis{500});
  Http_.WatchesHearNothing_ = false;
  Http_.put("op/evacuate/a", "{}");
  follow(Millis{500});
  BOOST_REQUIRE(View_.configuration().Head_.isOut({"a"}));
  BOOST_REQUIRE(serviceInForce() == "s0");
  Http_.IsLost_ = {};
  Http_.put("other", "");
  Http_.dropHistory();
  follow(Millis{2000});
  BOOST_TEST(serviceInForce() == "s1");
}

BOOST_FIXTURE_TEST_CASE(AnEvacuationFoundAfterANewerOneReachesAgents,
                        ViewOfStore) {
  follow(Millis{1000});
  Http_.WatchesHearNothing_ = true;
  Http_.IsLost_ = [](const std::string &Path) {
    return Path.rfind("/kv-range?prefix=op/", 0) == 0;
  };
  Http_.put("op/evacuate/a", "{}");
  follow(Millis{500});
  Http_.WatchesHearNothing_ = false;
  Http_.put("op/evacuate/b", "{}");
  follow(Millis{500});
  BOOST_REQUIRE(!View_.configuration().Head_.isOut({"a"}));
  const auto HeldByAgents = View_.configuration().forAgents().Head_.Revision_;
  Http_.put("other", "");
  Http_.IsLost_ = {};
  Http_.dropHistory();
  follow(Millis{2000});
  BOOST_TEST(View_.configuration().Head_.isOut({"a"}));
  BOOST_TEST(View_.configuration().forAgents().Head_.Revision_ > HeldByAgents);
}

// Nothing was written after the newer evacuation, so no higher revision exists.
BOOST_FIXTURE_TEST_CASE(ChangesFoundLateAreAdoptedUnderTheSameRevision,
                        ViewOfStore) {
  follow(Millis{1000});
  Http_.WatchesHearNothing_ = true;
  Http_.IsLost_ = [](const std::string &Path) {
    return Path.rfind("/kv-range?prefix=op/", 0) == 0;
  };
  putConfiguration("s1");
  Http_.put("op/evacuate/a", "{}");
  follow(Millis{500});
  Http_.WatchesHearNothing_ = false;
  Http_.put("op/evacuate/b", "{}");
  follow(Millis{500});
  BOOST_REQUIRE(!View_.configuration().Head_.isOut({"a"}));
  Http_.IsLost_ = {};
  follow(Millis{2000});
  BOOST_TEST(serviceInForce() == "s1");
  BOOST_TEST(View_.configuration().Head_.isOut({"a"}));
  BOOST_TEST(View_.configuration().Head_.isOut({"b"}));
}

BOOST_FIXTURE_TEST_CASE(AChangeThatNoWatchToldIsFound, ViewOfStore) {
  Http_.put("op/evacuate/a", "{}");
  follow(Millis{1000});
  Http_.freezeRanges();
  Http_.WatchesHearNothing_ = true;
  putConfiguration("s1");
  Http_.remove("op/evacuate/a");
  Http_.put("op/evacuate/b", "{}");
  follow(Millis{300});
  Http_.thawRanges();
  follow(Millis{1200});
  BOOST_TEST(serviceInForce() == "s1");
  BOOST_TEST(!View_.configuration().Head_.isOut({"a"}));
  BOOST_TEST(View_.configuration().Head_.isOut({"b"}));
  BOOST_TEST(Counters_.StoreCorrections_ == 3U);
}

BOOST_FIXTURE_TEST_CASE(AListingThatFailsDoesNotFailTheRead, ViewOfStore) {
  follow(Millis{1000});
  auto Lost = 0;
  Http_.IsLost_ = [&](const std::string &Path) {
    const auto IsListing = Path.rfind("/kv-range?prefix=op/", 0) == 0;
    Lost += IsListing ? 1 : 0;
    return IsListing;
  };
  putConfiguration("s1");
  follow(Millis{3000});
  BOOST_TEST(Lost > 0);
  BOOST_TEST(!View_.failedReads().has_value());
  BOOST_TEST(serviceInForce() == "s1");
}

BOOST_FIXTURE_TEST_CASE(AListingWithoutAnswerIsTheOnlyOne, StoreFixture) {
  BOOST_REQUIRE(read());
  Http_.HoldsCalls_ = true;
  auto Done = 0;
  for (auto Round = 0; Round < 10; ++Round) {
    elapse(Millis{1000});
    Store_.call(1, ReadEnvironment{{"test"}},
                [&](const StoreResult &) { ++Done; });
  }
  // A watch and a read of the entries each, and one listing.
  BOOST_TEST(Http_.Held_.size() == 21U);
}

BOOST_FIXTURE_TEST_CASE(ListingsTakeASmallShareOfASlowLink, ViewOfStore) {
  constexpr std::size_t Size = 700000;
  constexpr std::size_t BytesPerSecond = 1250000;
  putConfiguration("s1", Size);
  follow(Seconds{5});
  const auto Before = Http_.AnswerBytes_;
  follow(Seconds{30});
  BOOST_TEST(Http_.AnswerBytes_ - Before < 30 * BytesPerSecond / 4);
  BOOST_TEST(Http_.AnswerBytes_ - Before > 3 * Size);
}

/// A client that has seen a series of large configurations begin.
class LargeSeriesFixture : public StoreFixture {
public:
  static constexpr std::size_t Size = 300000;

  LargeSeriesFixture() {
    putConfiguration("s0", Size);
    BOOST_REQUIRE(read());
    putConfiguration("s1", Size);
    BOOST_REQUIRE(read());
  }
  auto keyReads() const -> std::ptrdiff_t {
    return std::count_if(Http_.Paths_.begin(), Http_.Paths_.end(),
                         [](const std::string &Path) {
                           return Path.rfind("/kv-key?key=op/config", 0) == 0;
                         });
  }
};

BOOST_FIXTURE_TEST_CASE(AWatchOfWhichNothingArrivesIsNotFollowedByALargeRead,
                        StoreFixture) {
  putConfiguration("s0", LargeSeriesFixture::Size);
  BOOST_REQUIRE(read());
  putConfiguration("s1", LargeSeriesFixture::Size);
  Http_.IsLost_ = [](const std::string &Path) {
    return Path.rfind("/kv-watch", 0) == 0;
  };
  Http_.Paths_.clear();
  BOOST_TEST(!read());
  BOOST_TEST(!read());
  for (const auto &Each : Http_.Paths_)
    BOOST_TEST(Each.rfind("/kv-key", 0) != 0U, Each);
}

BOOST_FIXTURE_TEST_CASE(ALargeConfigurationThatDoesNotArriveDelaysNoEvacuation,
                        LargeSeriesFixture) {
  Http_.IsHeld_ = [](const std::string &Url) {
    return Url.find("/kv-key?key=op/config") != std::string::npos;
  };
  putConfiguration("s2", Size);
  Http_.put("op/evacuate/a", "{}");
  BOOST_REQUIRE(read());
  BOOST_TEST(isOut("a"));
  BOOST_TEST(Service_ == "s1");
  BOOST_REQUIRE(Http_.Held_.size() == 1U);
  BOOST_REQUIRE(read());
  BOOST_TEST(Http_.Held_.size() == 1U);
  Http_.release(0);
  BOOST_REQUIRE(read());
  BOOST_TEST(Service_ == "s2");
}

// The pause after a read was as long as the read, which a freeze lengthens.
BOOST_FIXTURE_TEST_CASE(AReadThatTookLongDelaysTheNextOneByABoundedTime,
                        LargeSeriesFixture) {
  Http_.IsHeld_ = [](const std::string &Url) {
    return Url.find("/kv-key?key=op/config") != std::string::npos;
  };
  BOOST_REQUIRE(read());
  BOOST_REQUIRE(Http_.Held_.size() == 1U);
  elapse(Seconds{4});
  Http_.release(0);
  Http_.IsHeld_ = {};
  putConfiguration("s2", Size);
  elapse(Millis{500});
  BOOST_REQUIRE(read());
  BOOST_TEST(Service_ == "s2");
}

BOOST_FIXTURE_TEST_CASE(TheTimeLimitOfALargeConfigurationFitsItsSize,
                        LargeSeriesFixture) {
  BOOST_REQUIRE(read());
  BOOST_TEST(keyReads() > 0);
  BOOST_TEST((Http_.LongestTimeout_ > Millis{2000}));
  BOOST_TEST((Http_.LongestTimeout_ < Millis{4000}));
}

BOOST_FIXTURE_TEST_CASE(AfterASeriesOnlyChangesAreRead, LargeSeriesFixture) {
  for (auto Round = 0; Round < 3; ++Round)
    BOOST_REQUIRE(read());
  const auto Reads = keyReads();
  const auto Bytes = Http_.AnswerBytes_;
  BOOST_REQUIRE(read());
  BOOST_TEST(keyReads() == Reads);
  BOOST_TEST(Http_.AnswerBytes_ - Bytes < Size / 10);
  putConfiguration("s2");
  BOOST_REQUIRE(read());
  BOOST_TEST(Service_ == "s2");
}

// One route that this version can't read kept all others from being served.
BOOST_FIXTURE_TEST_CASE(AnOddRouteKeepsNoOtherFromBeingServed, ViewOfStore) {
  follow(Millis{1000});
  Http_.put("op/config",
            R"({"services":[{"name":"s1"}],"routes":[)"
            R"({"name":"odd","host":"h","prefix":"/o/","service":"s1",)"
            R"("priority":1e30},)"
            R"({"name":"sound","host":"h","prefix":"/r/","service":"s1"}]})");
  follow(Millis{1000});
  BOOST_TEST(serviceInForce() == "s1");
  const auto &Document = View_.configuration().Document_;
  BOOST_TEST(Document.findQueue("h", "/r/1") != nullptr);
  BOOST_TEST(Document.findQueue("h", "/o/1") == nullptr);
  BOOST_TEST(Counters_.DeclarationsLeftOut_ == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
