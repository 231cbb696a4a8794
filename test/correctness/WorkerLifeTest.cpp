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

/// An agent whose worker has started again under its id. Its owner grants
/// leases until it is cut off.
struct NewLifeFixture {
  static constexpr Incarnation Life = 8;
  static constexpr Millis RunGrant{5000};
  static constexpr Millis LongestStop{900};

  static auto identity() -> AgentIdentity {
    AgentIdentity Identity;
    Identity.Agent_ = {"a"};
    Identity.Capacity_ = {4000, 8000, 0};
    Identity.DataCentre_ = {"hobart"};
    Identity.LongestLease_ = Seconds{10};
    Identity.LongestStop_ = LongestStop;
    Identity.WorkerStartedAnew_ = true;
    return Identity;
  }
  NewLifeFixture() { Core_.openSession(Now_, 1, Out_); }

  static auto task() -> TaskId { return {{"job"}, 0}; }
  /// The worker lists the task if it runs.
  auto list(bool Runs) -> void {
    WorkerInventory Inventory;
    Inventory.Worker_ = Life;
    Inventory.Clock_ =
        std::chrono::duration_cast<Micros>(Now_.Steady_.time_since_epoch());
    if (Runs) {
      WorkerTask Task;
      Task.IdOnly_ = true;
      Task.Bind_.Task_ = task();
      Task.Bind_.Attempt_ = 1;
      Inventory.Tasks_.push_back(Task);
    }
    Core_.inventoryReceived(Now_, Inventory, Out_);
  }
  auto grant() -> void {
    for (const auto &Each : AgentOutbox(Out_)) {
      const auto *Send = std::get_if<SendToEntry>(&Each);
      const auto *Beat =
          Send == nullptr ? nullptr : std::get_if<Heartbeat>(&Send->Message_);
      if (Beat == nullptr)
        continue;
      HeartbeatAck Ack;
      Ack.Sequence_ = Beat->Sequence_;
      Ack.Revision_ = 1;
      Ack.AsOf_ = 1;
      Ack.Shards_ = {0};
      Ack.StartGrantDuration_ = Millis{2000};
      Ack.RunGrantDuration_ = RunGrant;
      Ack.ViewFresh_ = true;
      Core_.receive(Now_, 1, Ack, Out_);
    }
  }
  /// Binds the task, which starts and runs from now on.
  auto startTask() -> void {
    ConfigurationUpdate Update;
    Update.Configuration_.Head_.Revision_ = 1;
    Update.Configuration_.Document_.DataCentres_ = {{"hobart"}};
    Core_.receive(Now_, 1, Update, Out_);
    Core_.receive(Now_, 1, ClaimOwnership{0, 1}, Out_);
    tick(false);
    grant();
    BindTask Bind;
    Bind.Sequence_ = 1;
    Bind.Epoch_ = 1;
    Bind.Worker_ = Life;
    Bind.Task_ = task();
    Bind.Attempt_ = 1;
    Bind.Resources_ = {100, 100, 0};
    Core_.receive(Now_, 1, Bind, Out_);
    Core_.startAnswered(Now_, task(), 1, StartOutcome::Accepted, Out_);
  }
  auto tick(bool Runs) -> void {
    Now_ = Now_.after(Millis{50});
    Core_.tick(Now_, Out_);
    list(Runs);
  }
  auto stops() const -> bool {
    return std::any_of(Out_.begin(), Out_.end(), [](const auto &Each) {
      return std::holds_alternative<StopOnWorker>(Each);
    });
  }
  /// How long the task runs without grants until its stop is ordered.
  auto runUntilStop() -> Millis {
    Millis Elapsed{0};
    for (; !stops() && Elapsed < 2 * RunGrant; Elapsed += Millis{50})
      tick(true);
    return Elapsed;
  }

  Moment Now_{TimePoint(Seconds{1000}), WallTime(Seconds{1000})};
  AgentCore Core_{identity()};
  AgentOutbox Out_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerLives)

// The owner bound the task again as soon as the new life was announced, while
// it ran there.
BOOST_FIXTURE_TEST_CASE(ATaskThatALateOrderHasStartedEndsBeforeTheLifeIsStated,
                        NewLifeFixture) {
  list(true);
  BOOST_TEST(stops());
  BOOST_TEST(!Core_.ready());
  list(false);
  BOOST_TEST(Core_.ready());
}

// A late order to the earlier life gave the new one a lease until far ahead, so
// that the task ran on for as long as its stop took.
BOOST_FIXTURE_TEST_CASE(ATaskOnANewLifeIsStoppedBeforeItsLeaseEnds,
                        NewLifeFixture) {
  list(false);
  startTask();
  BOOST_TEST((runUntilStop() <= RunGrant - LongestStop));
}

BOOST_FIXTURE_TEST_CASE(ATaskOnAnOlderLifeMayUseItsWholeLease, NewLifeFixture) {
  list(false);
  Now_ = Now_.after(Seconds{11});
  startTask();
  const auto Ran = runUntilStop();
  BOOST_TEST((Ran > RunGrant - LongestStop && Ran <= RunGrant));
}

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
