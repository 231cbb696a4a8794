/// \file
/// Tests how an agent follows a worker whose capacity changes while it runs, on
/// a virtual clock.

#include "core/AgentCore.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

constexpr SessionNumber OwnerSession = 1;
constexpr Incarnation Worker = 7;

/// An agent whose worker announces its capacity, with one session to an entry
/// that owns shard 0 and grants leases for starting and running tasks.
class CapacityFixture {
public:
  explicit CapacityFixture(const std::vector<std::string> &RunningJobs = {})
      : Core_(identity()) {
    Core_.openSession(Now_, OwnerSession, Out_);
    announce(4000);
    poll(RunningJobs);
    receive(ConfigurationUpdate{configuration()});
    receive(ClaimOwnership{0, 1});
    tick(Millis{600});
    grant();
    Out_.clear();
  }

  auto announcement(std::int64_t MilliCores) const -> WorkerAnnouncement {
    WorkerAnnouncement Announcement;
    Announcement.Worker_ = Worker;
    Announcement.Capacity_ = {MilliCores, 8000, 0};
    Announcement.Service_ = {"portal"};
    Announcement.Labels_ = {"a", "r1-3"};
    Announcement.Rack_ = "r1-3";
    return Announcement;
  }
  auto announce(std::int64_t MilliCores) -> void {
    Core_.announcementReceived(Now_, announcement(MilliCores), Out_);
  }

  /// The worker announces that it has exited.
  auto deregister() -> void {
    WorkerAnnouncement Announcement;
    Announcement.Worker_ = Worker;
    Announcement.Exited_ = true;
    Core_.announcementReceived(Now_, Announcement, Out_);
  }

  auto bind(const std::string &Job, std::int64_t MilliCores) -> void {
    BindTask Bind;
    Bind.Sequence_ = ++Sequence_;
    Bind.Epoch_ = 1;
    Bind.Worker_ = Worker;
    Bind.Task_ = taskOf(Job);
    Bind.Attempt_ = 1;
    Bind.Resources_ = {MilliCores, 100, 0};
    receive(Bind);
  }

  /// The worker answers a poll; it runs the first task of each of these jobs.
  /// \param Fence the fence behind which the worker has made its list.
  auto poll(const std::vector<std::string> &RunningJobs,
            std::uint64_t Fence = 0) -> void {
    WorkerInventory Inventory;
    Inventory.Worker_ = Worker;
    Inventory.Fence_ = Fence;
    Inventory.Clock_ =
        std::chrono::duration_cast<Micros>(Now_.Steady_.time_since_epoch());
    for (const auto &Job : RunningJobs) {
      WorkerTask Task;
      Task.IdOnly_ = true;
      Task.Bind_.Task_ = taskOf(Job);
      Task.Bind_.Attempt_ = 1;
      Inventory.Tasks_.push_back(Task);
    }
    Core_.inventoryReceived(Now_, Inventory, Out_);
  }

  auto tick(Millis Elapsed) -> void {
    Now_ = Now_.after(Elapsed);
    Core_.tick(Now_, Out_);
  }

  template <typename Message> auto receive(const Message &Each) -> void {
    Core_.receive(Now_, OwnerSession, Each, Out_);
  }

  /// Acknowledges the latest heartbeat and grants starting and running.
  auto grant() -> void {
    HeartbeatAck Ack;
    Ack.Sequence_ = lastMessage<Heartbeat>()->Sequence_;
    Ack.Revision_ = 3;
    Ack.AsOf_ = 3;
    Ack.StartGrantDuration_ = Millis{4000};
    Ack.RunGrantDuration_ = Millis{5000};
    Ack.Shards_ = {0};
    receive(Ack);
  }

  /// Number of outputs of this type since construction or the last clearing.
  template <typename Output> auto countOutputs() const -> std::size_t {
    return std::count_if(Out_.begin(), Out_.end(), [](const auto &Each) {
      return std::holds_alternative<Output>(Each);
    });
  }
  template <typename Message>
  auto lastMessage() const -> std::optional<Message> {
    std::optional<Message> Last;
    for (const auto &Each : Out_)
      if (const auto *Send = std::get_if<SendToEntry>(&Each))
        if (const auto *Found = std::get_if<Message>(&Send->Message_))
          Last = *Found;
    return Last;
  }
  /// Phase of the first task of a job in the last report of it.
  auto reportedPhase(const std::string &Job) const -> std::optional<TaskPhase> {
    std::optional<TaskPhase> Last;
    for (const auto &Each : Out_)
      if (const auto *Send = std::get_if<SendToEntry>(&Each))
        if (const auto *Report = std::get_if<TaskReport>(&Send->Message_))
          if (Report->Task_ == taskOf(Job))
            Last = Report->Phase_;
    return Last;
  }
  static auto taskOf(const std::string &Job) -> TaskId { return {{Job}, 0}; }

  AgentOutbox Out_;
  Moment Now_{TimePoint(Seconds{100}), {}};
  AgentCore Core_;

private:
  static auto identity() -> AgentIdentity {
    AgentIdentity Identity;
    Identity.Agent_ = {"agent"};
    Identity.DataCentre_ = {"hobart"};
    Identity.WorkerAnnounces_ = true;
    return Identity;
  }
  static auto configuration() -> Configuration {
    Configuration Result;
    Result.Head_.Revision_ = 3;
    Result.Document_.DataCentres_ = {{"hobart"}};
    return Result;
  }

  std::uint64_t Sequence_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerCapacity)

BOOST_AUTO_TEST_CASE(NothingStartsBeyondAShrunkCapacity) {
  CapacityFixture Fixture;
  Fixture.bind("a", 3000);
  Fixture.announce(2000);
  Fixture.bind("b", 1000);
  Fixture.poll({"a"});
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 1U);
  BOOST_TEST(Fixture.countOutputs<StopOnWorker>() == 0U);
}

BOOST_AUTO_TEST_CASE(AGrownCapacityIsUsed) {
  CapacityFixture Fixture;
  Fixture.bind("a", 3000);
  Fixture.bind("b", 3000);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 1U);
  Fixture.announce(6000);
  Fixture.poll({"a"});
  Fixture.tick(Millis{50});
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 2U);
}

BOOST_AUTO_TEST_CASE(ATaskThatIsStoppingKeepsItsResources) {
  CapacityFixture Fixture;
  Fixture.bind("a", 3000);
  Fixture.poll({"a"});
  Fixture.receive(StopTask{0, 1, Fixture.taskOf("a"), 1, ErrorKind::Cancelled});
  Fixture.bind("b", 3000);
  Fixture.poll({"a"});
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(AnUnansweredStartKeepsItsResources) {
  CapacityFixture Fixture;
  Fixture.bind("a", 3000);
  Fixture.Core_.startAnswered(Fixture.Now_, Fixture.taskOf("a"), 1,
                              StartOutcome::Unknown, Fixture.Out_);
  Fixture.bind("b", 3000);
  Fixture.poll({});
  for (const auto &Each : Fixture.Out_)
    if (const auto *Start = std::get_if<StartOnWorker>(&Each))
      BOOST_TEST((Start->Bind_.Task_ == Fixture.taskOf("a")));
}

BOOST_AUTO_TEST_CASE(
    ARestartedAgentSurvivesAWorkerThatRunsMoreThanItsCapacity) {
  CapacityFixture Fixture({"a", "b"});
  Fixture.announce(2000);
  Fixture.bind("a", 3000);
  Fixture.bind("b", 500);
  Fixture.poll({"a", "b"});
  Fixture.bind("c", 100);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
}

BOOST_AUTO_TEST_CASE(AnAgentAdoptsTasksThatExceedItsSmallerNewCapacity) {
  AgentIdentity Identity;
  Identity.Capacity_ = {2000, 8000, 0};
  AgentCore Core(Identity);
  WorkerInventory Inventory;
  Inventory.Worker_ = Worker;
  Inventory.Tasks_.resize(1);
  Inventory.Tasks_.front().Bind_.Resources_ = {3000, 100, 0};
  AgentOutbox Out;
  Core.inventoryReceived({TimePoint(Seconds{100}), {}}, Inventory, Out);
  BOOST_TEST(Core.ready());
}

BOOST_AUTO_TEST_CASE(AChangedCapacityIsReportedAtOnce) {
  CapacityFixture Fixture;
  Fixture.announce(2000);
  const auto Sent = Fixture.lastMessage<Heartbeat>();
  BOOST_REQUIRE(Sent.has_value());
  BOOST_TEST(Sent->Capacity_.value_or(Resources{}).MilliCores_ == 2000);
  Fixture.Out_.clear();
  Fixture.announce(2000);
  BOOST_TEST(!Fixture.lastMessage<Heartbeat>().has_value());
}

BOOST_AUTO_TEST_CASE(QueuedTasksWithoutRoomAreReturnedWhenTheCapacityShrinks) {
  CapacityFixture Fixture;
  Fixture.bind("a", 2500);
  Fixture.bind("b", 1800);
  Fixture.bind("c", 3000);
  Fixture.Out_.clear();
  Fixture.announce(2500);
  BOOST_TEST((Fixture.reportedPhase("b") == TaskPhase::NotStarted));
  BOOST_TEST((Fixture.reportedPhase("c") == TaskPhase::NotStarted));
  BOOST_TEST(!Fixture.reportedPhase("a").has_value());
  // The owner would bind the returned tasks to the same worker again.
  const auto *First = std::get_if<SendToEntry>(&Fixture.Out_.front());
  BOOST_REQUIRE(First != nullptr);
  BOOST_TEST(std::holds_alternative<Heartbeat>(First->Message_));
}

BOOST_AUTO_TEST_CASE(ABindingMadeForTheEarlierCapacityIsReturned) {
  CapacityFixture Fixture;
  Fixture.bind("a", 2500);
  Fixture.announce(3000);
  Fixture.bind("b", 1000);
  BOOST_TEST((Fixture.reportedPhase("b") == TaskPhase::NotStarted));
}

BOOST_AUTO_TEST_CASE(TasksWaitForRoomWhereTheCapacityIsSteadyOrGrows) {
  CapacityFixture Fixture;
  Fixture.bind("a", 2500);
  Fixture.bind("b", 2500);
  Fixture.announce(4500);
  BOOST_TEST((Fixture.reportedPhase("b") == TaskPhase::Queued));
}

BOOST_AUTO_TEST_CASE(AnAttemptThatTheAgentDoesNotHoldCountsUntilItEnds) {
  CapacityFixture Fixture;
  Fixture.poll({"unknown"});
  BOOST_TEST(Fixture.countOutputs<StopOnWorker>() == 1U);
  Fixture.bind("a", 3000);
  Fixture.tick(Millis{50});
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
  Fixture.poll({});
  Fixture.tick(Millis{50});
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(AnAttemptThatWasReportedEndedCountsWhileItRuns) {
  CapacityFixture Fixture;
  Fixture.bind("a", 3000);
  Fixture.Core_.startAnswered(Fixture.Now_, Fixture.taskOf("a"), 1,
                              StartOutcome::Refused, Fixture.Out_);
  const auto *Poll = std::get_if<PollWorker>(&Fixture.Out_.back());
  BOOST_REQUIRE(Poll != nullptr);
  Fixture.poll({}, Poll->Fence_);
  Fixture.tick(Millis{50});
  Fixture.poll({"a"});
  Fixture.Out_.clear();
  Fixture.bind("b", 3000);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
}

BOOST_AUTO_TEST_CASE(ALateDeregistrationEndsNoTaskOfALiveWorker) {
  for (const auto Leaving : {false, true}) {
    CapacityFixture Fixture;
    Fixture.bind("a", 1000);
    Fixture.poll({"a"});
    auto Announcement = Fixture.announcement(4000);
    Announcement.Leaving_ = Leaving;
    Fixture.Core_.announcementReceived(Fixture.Now_, Announcement,
                                       Fixture.Out_);
    Fixture.deregister();
    for (int Poll = 0; Poll < 4; ++Poll) {
      Fixture.tick(Millis{400});
      Fixture.poll({"a"});
    }
    BOOST_TEST((Fixture.reportedPhase("a") == TaskPhase::Running));
    BOOST_TEST((Leaving || Fixture.countOutputs<StopOnWorker>() == 0U));
  }
}

BOOST_AUTO_TEST_CASE(TheTasksOfAWorkerThatHasExitedEnd) {
  CapacityFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.poll({"a"});
  auto Announcement = Fixture.announcement(4000);
  Announcement.Leaving_ = true;
  Fixture.Core_.announcementReceived(Fixture.Now_, Announcement, Fixture.Out_);
  Fixture.deregister();
  Fixture.poll({"a"});
  for (int Tick = 0; Tick < 3; ++Tick)
    Fixture.tick(Millis{400});
  BOOST_TEST((Fixture.reportedPhase("a") == TaskPhase::Stopped));
}

BOOST_AUTO_TEST_CASE(ADeregistrationKeepsWhatTheWorkerAnnounced) {
  CapacityFixture Fixture;
  Fixture.deregister();
  Fixture.Core_.openSession(Fixture.Now_, OwnerSession + 1, Fixture.Out_);
  const auto Sent = Fixture.lastMessage<Hello>();
  BOOST_REQUIRE(Sent.has_value());
  BOOST_TEST(Sent->Capacity_.MilliCores_ == 4000);
  BOOST_TEST((Sent->Services_ == std::vector<ServiceName>{{"portal"}}));
  BOOST_TEST(Sent->Labels_.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
