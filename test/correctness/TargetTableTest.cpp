/// \file
/// Tests what an entry records of its targets' heartbeats.

#include "core/TargetTable.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

constexpr SessionNumber Session = 5;

class TableFixture {
public:
  TableFixture() {
    Hello Message;
    Message.Agent_ = {"agent"};
    Message.Capacity_ = {4000, 8000, 0};
    Table_.add(Now_, Session, Message);
  }

  /// \returns whether the target counts as leaving after the heartbeat.
  auto sendHeartbeat(std::uint64_t Sequence, bool Leaving) -> bool {
    Heartbeat Received;
    Received.Sequence_ = Sequence;
    Received.Leaving_ = Leaving;
    Table_.update(Now_, Session, Received);
    return Table_.find(Session)->Leaving_;
  }

  /// \returns the target's processors, in thousandths, after the heartbeat.
  auto sendCapacity(std::uint64_t Sequence,
                    const std::optional<Resources> &Capacity) -> std::int64_t {
    Heartbeat Received;
    Received.Sequence_ = Sequence;
    Received.Capacity_ = Capacity;
    Table_.update(Now_, Session, Received);
    return Table_.find(Session)->Capacity_.MilliCores_;
  }

private:
  TargetTable Table_;
  Moment Now_{TimePoint(Seconds{100}), {}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(Targets)

BOOST_AUTO_TEST_CASE(AWorkerThatAnswersAgainIsNoLongerLeaving) {
  TableFixture Fixture;
  BOOST_TEST(!Fixture.sendHeartbeat(1, false));
  BOOST_TEST(Fixture.sendHeartbeat(2, true));
  BOOST_TEST(!Fixture.sendHeartbeat(3, false));
}

BOOST_AUTO_TEST_CASE(AnOlderHeartbeatDoesNotClearLeaving) {
  TableFixture Fixture;
  BOOST_TEST(Fixture.sendHeartbeat(2, true));
  BOOST_TEST(Fixture.sendHeartbeat(1, false));
}

BOOST_AUTO_TEST_CASE(TheCapacityIsThatOfTheNewestHeartbeat) {
  TableFixture Fixture;
  BOOST_TEST(Fixture.sendCapacity(1, std::nullopt) == 4000);
  BOOST_TEST(Fixture.sendCapacity(3, Resources{2000, 8000, 0}) == 2000);
  BOOST_TEST(Fixture.sendCapacity(2, Resources{4000, 8000, 0}) == 2000);
  BOOST_TEST(Fixture.sendCapacity(4, std::nullopt) == 2000);
}

BOOST_AUTO_TEST_SUITE_END()
