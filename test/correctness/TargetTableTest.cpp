/// \file
/// Tests what an entry keeps of its targets' heartbeats.

#include "core/TargetTable.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

constexpr SessionNumber Session = 5;

class TableBench {
public:
  TableBench() {
    Hello Message;
    Message.Agent_ = {"agent"};
    Table_.add(Now_, Session, Message);
  }

  auto beat(std::uint64_t Sequence, bool Leaving) -> bool {
    Heartbeat Beat;
    Beat.Sequence_ = Sequence;
    Beat.Leaving_ = Leaving;
    Table_.update(Now_, Session, Beat);
    return Table_.find(Session)->Leaving_;
  }

private:
  TargetTable Table_;
  Moment Now_{TimePoint(Seconds{100}), {}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(Targets)

BOOST_AUTO_TEST_CASE(AWorkerThatAnswersAgainStays) {
  TableBench Bench;
  BOOST_TEST(!Bench.beat(1, false));
  BOOST_TEST(Bench.beat(2, true));
  BOOST_TEST(!Bench.beat(3, false));
}

BOOST_AUTO_TEST_CASE(AnOlderHeartbeatTakesNoGoodbyeBack) {
  TableBench Bench;
  BOOST_TEST(Bench.beat(2, true));
  BOOST_TEST(Bench.beat(1, false));
}

BOOST_AUTO_TEST_SUITE_END()
