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

BOOST_AUTO_TEST_SUITE_END()
