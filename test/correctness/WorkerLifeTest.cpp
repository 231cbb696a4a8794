/// \file
/// Tests what an agent states about a worker that has started again under its
/// id while the agent got ready.

#include "core/AgentCore.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace skylark;

namespace {

struct LifeFixture {
  static auto identity() -> AgentIdentity {
    AgentIdentity Identity;
    Identity.Agent_ = {"a"};
    Identity.WorkerAnnounces_ = true;
    return Identity;
  }
  LifeFixture() { Core_.openSession(Now_, 1, Out_); }

  auto announce(Incarnation Worker) -> void {
    WorkerAnnouncement Announcement;
    Announcement.Worker_ = Worker;
    Announcement.Capacity_ = {4000, 8000, 0};
    Core_.announcementReceived(Now_, Announcement, Out_);
  }
  auto list(Incarnation Worker) -> void {
    WorkerInventory Inventory;
    Inventory.Worker_ = Worker;
    Inventory.Clock_ = Seconds{1};
    Core_.inventoryReceived(Now_, Inventory, Out_);
  }
  auto restarts() const -> bool {
    return std::any_of(Out_.begin(), Out_.end(), [](const auto &Each) {
      return std::holds_alternative<RestartAgent>(Each);
    });
  }

  Moment Now_{TimePoint(Seconds{1000}), WallTime(Seconds{1000})};
  AgentCore Core_{identity()};
  AgentOutbox Out_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerLives)

// Tasks were bound to the new life by the labels of the earlier one.
BOOST_FIXTURE_TEST_CASE(AnAnnouncementDoesNotDescribeTheNextLife, LifeFixture) {
  announce(7);
  list(8);
  BOOST_TEST(restarts());
  BOOST_TEST(!Core_.ready());
}

BOOST_FIXTURE_TEST_CASE(AnAnnouncementDoesNotDescribeTheLifeBefore,
                        LifeFixture) {
  list(7);
  announce(8);
  BOOST_TEST(restarts());
  BOOST_TEST(!Core_.ready());
}

BOOST_FIXTURE_TEST_CASE(AnAgentIsReadyOnceItsWorkerIsDescribed, LifeFixture) {
  list(8);
  BOOST_TEST(!Core_.ready());
  announce(8);
  BOOST_TEST(Core_.ready());
  BOOST_TEST(!restarts());
}

BOOST_AUTO_TEST_SUITE_END()
