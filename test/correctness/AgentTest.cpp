/// \file
/// Tests how an agent polls its worker, starts tasks and reports their ends, on
/// a virtual clock.

#include "core/AgentCore.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

constexpr SessionNumber OwnerSession = 1;
constexpr Millis RunGrantDuration{5000};

/// An agent with one session to an entry that owns shard 0 and grants leases
/// for starting and running tasks.
class AgentFixture {
public:
  AgentFixture() : Core_(identity()) {
    Core_.openSession(Now_, OwnerSession, Out_);
    Core_.inventoryReceived(Now_, inventoryOf({}), Out_);
    receive(ConfigurationUpdate{Configuration_});
    receive(ClaimOwnership{0, 1});
    advance(Millis{600});
    acknowledgeHeartbeat();
  }

  auto bind(const std::string &Job, std::int64_t MilliCores,
            AttemptNumber Attempt = 1) -> void {
    BindTask Bind;
    Bind.Sequence_ = ++Sequence_;
    Bind.Epoch_ = 1;
    Bind.Worker_ = 7;
    Bind.Task_ = {{Job}, 0};
    Bind.Attempt_ = Attempt;
    Bind.Resources_ = {MilliCores, 100, 0};
    receive(Bind);
  }

  /// Advances the clock in ticks. The worker answers each poll with
  /// `RunningJobs`, or not at all if that is null.
  auto advance(Millis Period,
               const std::vector<std::string> *RunningJobs = nullptr) -> void {
    constexpr Millis TickInterval{50};
    for (Millis Elapsed{0}; Elapsed < Period; Elapsed += TickInterval) {
      Now_.Steady_ += TickInterval;
      const auto FirstNew = Out_.size();
      Core_.tick(Now_, Out_);
      for (auto Index = FirstNew; RunningJobs != nullptr && Index < Out_.size();
           ++Index)
        if (std::holds_alternative<PollWorker>(Out_[Index]))
          Core_.inventoryReceived(Now_, inventoryOf(*RunningJobs), Out_);
    }
  }

  /// The inventory of a worker that runs the first task of each of these jobs.
  auto inventoryOf(const std::vector<std::string> &RunningJobs) const
      -> WorkerInventory {
    WorkerInventory Inventory;
    Inventory.Worker_ = 7;
    Inventory.Clock_ =
        std::chrono::duration_cast<Micros>(Now_.Steady_.time_since_epoch());
    for (const auto &Job : RunningJobs) {
      WorkerTask Task;
      Task.IdOnly_ = true;
      Task.Bind_.Task_ = {{Job}, 0};
      Task.Bind_.Attempt_ = 1;
      Inventory.Tasks_.push_back(Task);
    }
    return Inventory;
  }

  /// Answers a poll that the worker has held open for `Period`.
  auto answerPollAfter(Millis Period, const WorkerInventory &Answer) -> void {
    Now_.Steady_ += Period;
    Core_.inventoryReceived(Now_, Answer, Out_);
  }

  /// An inventory with one finished task and nothing that runs.
  auto inventoryWithFinished(const std::string &Job) const -> WorkerInventory {
    auto Inventory = inventoryOf({});
    Inventory.Clock_ += Seconds{10};
    WorkerTask Task;
    Task.IdOnly_ = true;
    Task.Bind_.Task_ = {{Job}, 0};
    Task.Bind_.Attempt_ = 1;
    Task.Phase_ = TaskPhase::Finished;
    Inventory.Tasks_.push_back(Task);
    return Inventory;
  }

  /// The last poll that was sent; one with no fence if there is none.
  auto lastPoll() const -> PollWorker {
    PollWorker Last;
    for (const auto &Each : Out_)
      if (const auto *Poll = std::get_if<PollWorker>(&Each))
        Last = *Poll;
    return Last;
  }

  /// The worker refuses to start the first task of this job.
  auto refuse(const std::string &Job) -> void {
    Core_.startAnswered(Now_, {{Job}, 0}, 1, StartOutcome::Refused, Out_);
  }

  /// The worker answers a poll with this fence.
  auto answerPoll(std::uint64_t Fence,
                  const std::vector<std::string> &RunningJobs) -> void {
    auto Inventory = inventoryOf(RunningJobs);
    Inventory.Fence_ = Fence;
    Core_.inventoryReceived(Now_, Inventory, Out_);
  }

  /// The worker refuses to start the task, and its list then shows that no copy
  /// of the command took effect.
  auto refuseForGood(const std::string &Job) -> void {
    refuse(Job);
    answerPoll(lastPoll().Fence_, {});
  }

  auto lastPhase(const std::string &Job) const -> TaskPhase {
    const auto Last = lastReport(Job);
    return Last ? Last->Phase_ : TaskPhase::Queued;
  }

  /// Acknowledges the latest heartbeat and grants starting and running.
  auto acknowledgeHeartbeat() -> void {
    HeartbeatAck Ack;
    for (const auto &Each : Out_)
      if (const auto *Send = std::get_if<SendToEntry>(&Each))
        if (const auto *SentHeartbeat = std::get_if<Heartbeat>(&Send->Message_))
          Ack.Sequence_ = SentHeartbeat->Sequence_;
    Ack.Revision_ = EntryRevision_.value_or(Configuration_.Head_.Revision_);
    Ack.AsOf_ = Ack.Revision_;
    Ack.StartGrantDuration_ = Millis{2000};
    Ack.RunGrantDuration_ = RunGrantDuration;
    Ack.Shards_ = {0};
    receive(Ack);
  }

  template <typename Message> auto receive(const Message &Each) -> void {
    Core_.receive(Now_, OwnerSession, Each, Out_);
  }

  /// Number of outputs of this type since the last call of clear().
  template <typename Output> auto countOutputs() const -> std::size_t {
    return std::count_if(Out_.begin(), Out_.end(), [](const auto &Each) {
      return std::holds_alternative<Output>(Each);
    });
  }
  auto lastReport(const std::string &Job) const -> std::optional<TaskReport> {
    std::optional<TaskReport> Last;
    for (const auto &Each : Out_)
      if (const auto *Send = std::get_if<SendToEntry>(&Each))
        if (const auto *Report = std::get_if<TaskReport>(&Send->Message_))
          if (Report->Task_.Job_.Value_ == Job)
            Last = *Report;
    return Last;
  }
  /// The revision of the last configuration that the agent sent; 0 if none.
  auto lastSentRevision() const -> Revision {
    Revision Last = 0;
    for (const auto &Each : Out_)
      if (const auto *Send = std::get_if<SendToEntry>(&Each))
        if (const auto *Update =
                std::get_if<ConfigurationUpdate>(&Send->Message_))
          Last = Update->Configuration_.Head_.Revision_;
    return Last;
  }
  auto clear() -> void { Out_.clear(); }

  AgentOutbox Out_;
  Moment Now_{TimePoint(Seconds{100}), {}};
  AgentCore Core_;
  Configuration Configuration_ = configuration();
  /// The revision in the entry's answers, if not the configuration's.
  std::optional<Revision> EntryRevision_;

private:
  static auto identity() -> AgentIdentity {
    AgentIdentity Identity;
    Identity.Agent_ = {"agent"};
    Identity.DataCentre_ = {"hobart"};
    Identity.Capacity_ = {4000, 8000, 0};
    return Identity;
  }
  static auto configuration() -> Configuration {
    Configuration Result;
    Result.Head_.Revision_ = 3;
    Result.Document_.DataCentres_ = {{"hobart"}};
    Result.Document_.Policy_.MoveWhenOut_ = false;
    return Result;
  }

  std::uint64_t Sequence_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Agent)

BOOST_AUTO_TEST_CASE(BoundTaskStartsAtOnce) {
  AgentFixture Fixture;
  Fixture.clear();
  Fixture.bind("a", 1000);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(PollsAgainAfterALongPoll) {
  AgentFixture Fixture;
  Fixture.advance(Millis{600});
  Fixture.clear();
  Fixture.answerPollAfter(Millis{400}, Fixture.inventoryOf({}));
  BOOST_TEST(Fixture.countOutputs<PollWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(LimitsThePollRateOfAWorkerThatAnswersAtOnce) {
  AgentFixture Fixture;
  const std::vector<std::string> NoJobs;
  Fixture.clear();
  Fixture.advance(Millis{2000}, &NoJobs);
  BOOST_TEST(Fixture.countOutputs<PollWorker>() <= 5U);
}

BOOST_AUTO_TEST_CASE(PollsOnceTheLastFinalReportIsAcknowledged) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.advance(Millis{600});
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryWithFinished("a"));
  Fixture.clear();
  Fixture.receive(TaskReportAck{{{"a"}, 0}, 1});
  BOOST_TEST(Fixture.countOutputs<PollWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(PollsWhileFinalReportsAwaitTheOwner) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.advance(Millis{600});
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryWithFinished("a"));
  Fixture.clear();
  Fixture.advance(Millis{100});
  BOOST_TEST(Fixture.countOutputs<PollWorker>() >= 1U);
}

BOOST_AUTO_TEST_CASE(ShortPollIntervalsDoNotMakeAWorkerSilent) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.advance(Millis{600});
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryWithFinished("a"));
  Fixture.clear();
  // An end awaits the owner's acknowledgement, which shortens the poll
  // interval. The worker holds the poll open, so no further one may follow
  // before the regular interval: several unanswered ones would count as loss.
  Fixture.advance(Millis{450});
  BOOST_TEST(Fixture.countOutputs<PollWorker>() == 1U);
  BOOST_TEST(!Fixture.Core_.leaving());
}

BOOST_AUTO_TEST_CASE(NoTaskOfASilentWorkerIsStopped) {
  AgentFixture Fixture;
  const std::vector<std::string> RunningJobs{"a"};
  Fixture.bind("a", 1000);
  Fixture.advance(Millis{600}, &RunningJobs);
  Fixture.clear();
  Fixture.advance(Millis{3000});
  BOOST_TEST(Fixture.Core_.leaving());
  BOOST_TEST(Fixture.countOutputs<StopOnWorker>() == 0U);
}

BOOST_AUTO_TEST_CASE(AnUnansweredStartIsRepeated) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.clear();
  Fixture.Core_.startAnswered(Fixture.Now_, {{"a"}, 0}, 1,
                              StartOutcome::Unknown, Fixture.Out_);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 1U);
}

// A worker whose port refuses connections got thousands of orders a second.
BOOST_AUTO_TEST_CASE(AWorkerThatRefusesConnectionsGetsFewStarts) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.clear();
  constexpr int Ticks = 10;
  std::size_t Orders = 0;
  for (int Tick = 0; Tick < Ticks; ++Tick) {
    // Each order fails at once.
    for (int Repeat = 0; Repeat < 100; ++Repeat) {
      if (Tick != 0 || Repeat != 0) {
        const auto Sent = Fixture.countOutputs<StartOnWorker>();
        if (Sent == 0)
          break;
        Orders += Sent;
        Fixture.clear();
      }
      Fixture.Core_.startAnswered(Fixture.Now_, {{"a"}, 0}, 1,
                                  StartOutcome::Unknown, Fixture.Out_);
    }
    Fixture.advance(Millis{50});
  }
  BOOST_TEST(Orders >= 5U);
  BOOST_TEST(Orders <= 10U);
}

BOOST_AUTO_TEST_CASE(NoStartIsRepeatedWhileTheDataCentreIsOut) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  auto OutConfiguration = Fixture.Configuration_;
  OutConfiguration.Head_.Revision_ = 4;
  OutConfiguration.Head_.DataCentresOut_ = {{"hobart"}};
  Fixture.receive(ConfigurationUpdate{OutConfiguration});
  Fixture.clear();
  Fixture.Core_.startAnswered(Fixture.Now_, {{"a"}, 0}, 1,
                              StartOutcome::Unknown, Fixture.Out_);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
}

BOOST_AUTO_TEST_CASE(TasksOfASilentWorkerEndWhenTheirLeasesExpire) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.Core_.startAnswered(Fixture.Now_, {{"a"}, 0}, 1,
                              StartOutcome::Accepted, Fixture.Out_);
  const std::vector<std::string> RunningJobs{"a"};
  Fixture.advance(Millis{500}, &RunningJobs);
  Fixture.acknowledgeHeartbeat();
  Fixture.clear();
  Fixture.advance(Millis{3000});
  BOOST_TEST(Fixture.Core_.leaving());
  BOOST_TEST(!isEnded(Fixture.lastReport("a").value_or(TaskReport{}).Phase_));
  Fixture.advance(Millis{5000});
  const auto Report = Fixture.lastReport("a");
  BOOST_REQUIRE(Report.has_value());
  BOOST_TEST((Report->Phase_ == TaskPhase::Stopped));
  BOOST_TEST((Report->Reason_ == ErrorKind::WorkerGone));
}

BOOST_AUTO_TEST_CASE(AnUnansweredStartEndsWhenTheWorkerIsSilent) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  for (int Repeat = 0; Repeat < 30; ++Repeat) {
    Fixture.advance(Millis{400});
    if (Repeat < 3)
      Fixture.acknowledgeHeartbeat();
    Fixture.Core_.startAnswered(Fixture.Now_, {{"a"}, 0}, 1,
                                StartOutcome::Unknown, Fixture.Out_);
  }
  const auto Report = Fixture.lastReport("a");
  BOOST_REQUIRE(Report.has_value());
  BOOST_TEST(isEnded(Report->Phase_));
}

BOOST_AUTO_TEST_CASE(ASuspendedAgentPollsBeforeItReportsTasksEnded) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.Core_.startAnswered(Fixture.Now_, {{"a"}, 0}, 1,
                              StartOutcome::Accepted, Fixture.Out_);
  const std::vector<std::string> RunningJobs{"a"};
  Fixture.advance(Millis{500}, &RunningJobs);
  Fixture.clear();
  Fixture.Now_.Steady_ += Seconds{30};
  Fixture.advance(Millis{100}, &RunningJobs);
  BOOST_TEST(!isEnded(Fixture.lastReport("a").value_or(TaskReport{}).Phase_));
}

BOOST_AUTO_TEST_CASE(ARestartedAgentStartsNothingBeforeItKnowsTheRunningTasks) {
  AgentFixture Fixture;
  const std::vector<std::string> RunningJobs{"old"};
  AgentIdentity Identity;
  Identity.Agent_ = {"agent"};
  Identity.Capacity_ = {4000, 8000, 0};
  Identity.DataCentre_ = {"hobart"};
  Fixture.Core_ = AgentCore(Identity);
  Fixture.Core_.openSession(Fixture.Now_, OwnerSession, Fixture.Out_);
  Fixture.advance(Millis{600}, &RunningJobs);
  Fixture.receive(ConfigurationUpdate{Fixture.Configuration_});
  Fixture.receive(ClaimOwnership{0, 1});
  Fixture.advance(Millis{600}, &RunningJobs);
  Fixture.acknowledgeHeartbeat();
  Fixture.clear();
  Fixture.bind("new", 1000);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
  Fixture.bind("old", 3500);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
  Fixture.bind("old", 3500);
  Fixture.advance(Millis{100}, &RunningJobs);
  // The running task is known now and uses 3500 of 4000 millicores, so that
  // 1000 more don't fit.
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
  Fixture.bind("small", 400);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(ADataCentreThatIsOutStartsAndStopsNothing) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.Core_.startAnswered(Fixture.Now_, {{"a"}, 0}, 1,
                              StartOutcome::Accepted, Fixture.Out_);
  auto OutConfiguration = Fixture.Configuration_;
  OutConfiguration.Head_.Revision_ = 4;
  OutConfiguration.Head_.DataCentresOut_ = {{"hobart"}};
  Fixture.receive(ConfigurationUpdate{OutConfiguration});
  Fixture.clear();
  Fixture.bind("b", 1000);
  const std::vector<std::string> RunningJobs{"a"};
  Fixture.advance(Millis{300}, &RunningJobs);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
  BOOST_TEST(Fixture.countOutputs<StopOnWorker>() == 0U);
  BOOST_TEST((Fixture.lastReport("b")->Phase_ == TaskPhase::NotStarted));
}

BOOST_AUTO_TEST_CASE(ALaterAttemptWaitsUntilTheEarlierOneHasEnded) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.clear();
  Fixture.bind("a", 1000, 2);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryWithFinished("a"));
  BOOST_TEST(Fixture.lastReport("a")->Attempt_ == 1U);
}

BOOST_AUTO_TEST_CASE(ATaskStoppedWhileItsStartIsUnansweredIsNotStartedAgain) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.receive(StopTask{0, 1, {{"a"}, 0}, 1, ErrorKind::Cancelled});
  BOOST_TEST(Fixture.countOutputs<StopOnWorker>() == 1U);
  Fixture.clear();
  Fixture.Core_.startAnswered(Fixture.Now_, {{"a"}, 0}, 1,
                              StartOutcome::Unknown, Fixture.Out_);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
}

BOOST_AUTO_TEST_CASE(ATaskStoppedWhileItsStartIsUnansweredIsStoppedOnceItRuns) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.receive(StopTask{0, 1, {{"a"}, 0}, 1, ErrorKind::Cancelled});
  Fixture.clear();
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryOf({"a"}));
  BOOST_TEST(Fixture.countOutputs<StopOnWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(AStopThatTheWorkerMissesIsRepeatedWithinTheTarget) {
  AgentFixture Fixture;
  const std::vector<std::string> RunningJobs{"a"};
  Fixture.bind("a", 1000);
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryOf(RunningJobs));
  Fixture.clear();
  Fixture.receive(StopTask{0, 1, {{"a"}, 0}, 1, ErrorKind::Cancelled});
  BOOST_TEST(Fixture.countOutputs<StopOnWorker>() == 1U);
  Fixture.advance(Millis{2000}, &RunningJobs);
  BOOST_TEST(Fixture.countOutputs<StopOnWorker>() >= 4U);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
}

BOOST_AUTO_TEST_CASE(ARepeatedStopMakesNoMoreCallsToTheWorker) {
  AgentFixture Fixture;
  const std::vector<std::string> RunningJobs{"a"};
  Fixture.bind("a", 1000);
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryOf(RunningJobs));
  Fixture.clear();
  for (int Repeat = 0; Repeat < 20; ++Repeat) {
    Fixture.receive(StopTask{0, 1, {{"a"}, 0}, 1, ErrorKind::Cancelled});
    Fixture.advance(Millis{50}, &RunningJobs);
  }
  BOOST_TEST(Fixture.countOutputs<StopOnWorker>() <= 3U);
}

BOOST_AUTO_TEST_CASE(ACancelledTaskIsStoppedUnderAnyEpoch) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryOf({"a"}));
  Fixture.receive(ClaimOwnership{0, 5});
  Fixture.clear();
  Fixture.receive(StopTask{0, 2, {{"a"}, 0}, 1, ErrorKind::StaleEpoch});
  BOOST_TEST(Fixture.countOutputs<StopOnWorker>() == 0U);
  Fixture.receive(StopTask{0, 2, {{"a"}, 0}, 1, ErrorKind::Cancelled});
  BOOST_TEST(Fixture.countOutputs<StopOnWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(AnAdoptedTaskIsStoppedBeforeItsOwnerIsKnown) {
  AgentFixture Fixture;
  AgentIdentity Identity;
  Identity.Agent_ = {"agent"};
  Identity.Capacity_ = {4000, 8000, 0};
  AgentCore Restarted(Identity);
  AgentOutbox Out;
  Restarted.openSession(Fixture.Now_, OwnerSession, Out);
  Restarted.inventoryReceived(Fixture.Now_, Fixture.inventoryOf({"a"}), Out);
  Restarted.receive(Fixture.Now_, OwnerSession,
                    StopTask{0, 1, {{"a"}, 0}, 1, ErrorKind::Cancelled}, Out);
  BOOST_TEST(std::count_if(Out.begin(), Out.end(), [](const auto &Each) {
               return std::holds_alternative<StopOnWorker>(Each);
             }) == 1);
}

BOOST_AUTO_TEST_CASE(AStopThatArrivesBeforeItsBindingRefusesIt) {
  AgentFixture Fixture;
  Fixture.receive(StopTask{0, 1, {{"a"}, 0}, 1, ErrorKind::Cancelled});
  BOOST_REQUIRE(Fixture.lastReport("a"));
  BOOST_TEST((Fixture.lastPhase("a") == TaskPhase::NotStarted));
  Fixture.clear();
  Fixture.bind("a", 1000);
  Fixture.advance(Millis{500});
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
  BOOST_TEST((Fixture.lastPhase("a") == TaskPhase::NotStarted));
}

BOOST_AUTO_TEST_CASE(AStopOfATaskThatFinishedDoesNotHideItsFinish) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryWithFinished("a"));
  BOOST_REQUIRE((Fixture.lastPhase("a") == TaskPhase::Finished));
  Fixture.clear();
  Fixture.receive(StopTask{0, 1, {{"a"}, 0}, 2, ErrorKind::Cancelled});
  Fixture.advance(Millis{1100});
  BOOST_TEST((Fixture.lastPhase("a") == TaskPhase::Finished));
}

BOOST_AUTO_TEST_CASE(AnExpiredLeaseIsNotExtendedForAnUnansweredStart) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.Now_.Steady_ += RunGrantDuration + Millis{1000};
  Fixture.advance(Millis{50});
  Fixture.acknowledgeHeartbeat();
  Fixture.clear();
  Fixture.Core_.startAnswered(Fixture.Now_, {{"a"}, 0}, 1,
                              StartOutcome::Unknown, Fixture.Out_);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
}

BOOST_AUTO_TEST_CASE(ARunningTaskIsStoppedOnceItsLeaseHasExpired) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.Core_.startAnswered(Fixture.Now_, {{"a"}, 0}, 1,
                              StartOutcome::Accepted, Fixture.Out_);
  Fixture.clear();
  Fixture.Now_.Steady_ += RunGrantDuration + Millis{1000};
  Fixture.advance(Millis{50});
  Fixture.acknowledgeHeartbeat();
  BOOST_TEST(Fixture.countOutputs<StopOnWorker>() >= 1U);
  Fixture.clear();
  Fixture.advance(Millis{600});
  for (const auto &Each : Fixture.Out_)
    if (const auto *Poll = std::get_if<PollWorker>(&Each))
      BOOST_TEST(Poll->Leases_.empty());
}

BOOST_AUTO_TEST_CASE(AnAttemptMissingFromAnIncompleteInventoryIsNotEnded) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryOf({"a"}));
  Fixture.clear();
  // Long enough for the lease of the start to expire on the worker.
  Fixture.Now_.Steady_ += RunGrantDuration - Millis{200};
  auto Inventory = Fixture.inventoryOf({});
  Inventory.Complete_ = false;
  Fixture.answerPollAfter(Millis{100}, Inventory);
  BOOST_TEST(!Fixture.lastReport("a").has_value());
  Fixture.answerPollAfter(Millis{10}, Fixture.inventoryOf({}));
  BOOST_TEST(Fixture.lastReport("a").has_value());
}

// An agent that had just started told its owner that it held none of the tasks
// whose ends the worker didn't list yet, and the owner ran them again.
BOOST_AUTO_TEST_CASE(ARestartedAgentSaysThatTheWorkerHasMoreEnds) {
  AgentOutbox Out;
  Moment Now{TimePoint(Seconds{100}), {}};
  AgentIdentity Identity;
  Identity.Agent_ = {"agent"};
  AgentCore Core(Identity);
  Core.openSession(Now, OwnerSession, Out);
  AgentFixture Lists;
  auto Cut = Lists.inventoryWithFinished("a");
  Cut.Complete_ = false;
  Cut.MoreEnds_ = true;
  Core.inventoryReceived(Now, Cut, Out);
  const auto LastConfirmation = [&] {
    std::optional<ConfirmOwnership> Last;
    for (const auto &Each : Out)
      if (const auto *Send = std::get_if<SendToEntry>(&Each))
        if (const auto *Confirm =
                std::get_if<ConfirmOwnership>(&Send->Message_))
          Last = *Confirm;
    return Last;
  };
  Core.receive(Now, OwnerSession, ClaimOwnership{0, 1}, Out);
  BOOST_REQUIRE(LastConfirmation().has_value());
  BOOST_TEST(LastConfirmation()->MoreEnds_);
  // Its owner repeats a binding, which the worker may have carried out.
  BindTask Bind;
  Bind.Epoch_ = 1;
  Bind.Worker_ = 7;
  Bind.Task_ = {{"b"}, 0};
  Bind.Attempt_ = 1;
  Core.receive(Now, OwnerSession, Bind, Out);
  const auto Starts = [&] {
    return std::count_if(Out.begin(), Out.end(), [](const auto &Each) {
      return std::holds_alternative<StartOnWorker>(Each);
    });
  };
  BOOST_TEST(Starts() == 0);
  Out.clear();
  auto Whole = Lists.inventoryWithFinished("b");
  Whole.Clock_ += Seconds{1};
  Core.inventoryReceived(Now, Whole, Out);
  BOOST_REQUIRE(LastConfirmation().has_value());
  BOOST_TEST(!LastConfirmation()->MoreEnds_);
  BOOST_REQUIRE(LastConfirmation()->HeldTasks_.size() == 2U);
  const auto &Last = LastConfirmation()->HeldTasks_.back();
  BOOST_TEST((Last.Task_ == TaskId{{"b"}, 0}));
  BOOST_TEST((Last.Phase_ == TaskPhase::Finished));
}

// A binding was dropped while the worker had more ends than it lists, and
// started when its owner repeated it, two seconds later.
BOOST_AUTO_TEST_CASE(ATaskStartsOnceTheWorkerListsAllEnds) {
  for (const AttemptNumber Attempt : {1U, 2U}) {
    AgentFixture Fixture;
    auto Cut = Fixture.inventoryWithFinished("x");
    Cut.Complete_ = false;
    Cut.MoreEnds_ = true;
    Fixture.answerPollAfter(Millis{100}, Cut);
    Fixture.clear();
    Fixture.bind("a", 1000, Attempt);
    // The first attempt of a task can't have run on this worker.
    BOOST_TEST(Fixture.countOutputs<StartOnWorker>() ==
               (Attempt == 1 ? 1U : 0U));
    auto Whole = Fixture.inventoryOf({});
    Whole.Clock_ = Cut.Clock_ + Seconds{1};
    Fixture.answerPollAfter(Millis{50}, Whole);
    Fixture.advance(Millis{50});
    BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 1U);
  }
}

// The owner had acknowledged another end, and the finish was discarded.
BOOST_AUTO_TEST_CASE(AFinishListedAfterAnotherEndWasAcknowledgedIsReported) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.refuseForGood("a");
  Fixture.receive(TaskReportAck{{{"a"}, 0}, 1, TaskPhase::NotStarted});
  Fixture.clear();
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryWithFinished("a"));
  BOOST_REQUIRE(Fixture.lastReport("a").has_value());
  BOOST_TEST((Fixture.lastReport("a")->Phase_ == TaskPhase::Finished));
  BOOST_TEST(Fixture.countOutputs<ForgetOnWorker>() == 0U);
}

BOOST_AUTO_TEST_CASE(AnAttemptReportedNotStartedThatFinishedIsReportedAgain) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.refuseForGood("a");
  BOOST_TEST((Fixture.lastReport("a")->Phase_ == TaskPhase::NotStarted));
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryWithFinished("a"));
  BOOST_TEST((Fixture.lastReport("a")->Phase_ == TaskPhase::Finished));
}

BOOST_AUTO_TEST_CASE(AnAttemptReportedNotStartedThatRunsIsStopped) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.refuseForGood("a");
  Fixture.clear();
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryOf({"a"}));
  BOOST_TEST(Fixture.countOutputs<StopOnWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(AnEndThatIsNotHeldIsReportedBeforeItIsDiscarded) {
  AgentFixture Fixture;
  Fixture.clear();
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryWithFinished("x"));
  BOOST_TEST(Fixture.countOutputs<ForgetOnWorker>() == 0U);
  BOOST_REQUIRE(Fixture.lastReport("x").has_value());
  BOOST_TEST((Fixture.lastReport("x")->Phase_ == TaskPhase::Finished));
  Fixture.receive(TaskReportAck{{{"x"}, 0}, 1});
  BOOST_TEST(Fixture.countOutputs<ForgetOnWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(AnAcknowledgedEndThatIsStillListedIsNotReportedAgain) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryWithFinished("a"));
  Fixture.receive(TaskReportAck{{{"a"}, 0}, 1});
  Fixture.clear();
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryWithFinished("a"));
  BOOST_TEST(!Fixture.lastReport("a").has_value());
  BOOST_TEST(Fixture.countOutputs<ForgetOnWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(AFinishedAttemptIsNotReplacedByALaterBinding) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryWithFinished("a"));
  Fixture.clear();
  Fixture.bind("a", 1000, 2);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
  BOOST_REQUIRE(Fixture.lastReport("a").has_value());
  BOOST_TEST(Fixture.lastReport("a")->Attempt_ == 1U);
}

BOOST_AUTO_TEST_CASE(AnAdoptedTaskMayRunUntilTheLongestLeaseHasExpired) {
  AgentOutbox Out;
  Moment Now{TimePoint(Seconds{100}), {}};
  AgentIdentity Identity;
  Identity.Agent_ = {"agent"};
  Identity.Capacity_ = {4000, 8000, 0};
  AgentCore Core(Identity);
  Core.openSession(Now, OwnerSession, Out);
  WorkerInventory Inventory;
  Inventory.Worker_ = 7;
  Inventory.Clock_ = Seconds{100};
  WorkerTask Task;
  Task.IdOnly_ = true;
  Task.Bind_.Task_ = {{"a"}, 0};
  Task.Bind_.Attempt_ = 1;
  Inventory.Tasks_ = {Task};
  Core.inventoryReceived(Now, Inventory, Out);
  // The worker is silent, and the earlier process of the agent renewed its
  // lease last.
  for (int Ticks = 0; Ticks < 80; ++Ticks) {
    Now = Now.after(Millis{50});
    Core.tick(Now, Out);
  }
  Out.clear();
  Core.receive(Now, OwnerSession, ClaimOwnership{0, 1}, Out);
  for (const auto &Each : Out)
    if (const auto *Send = std::get_if<SendToEntry>(&Each))
      if (const auto *Confirm = std::get_if<ConfirmOwnership>(&Send->Message_))
        for (const auto &Report : Confirm->HeldTasks_)
          BOOST_TEST(!isEnded(Report.Phase_));
}

BOOST_AUTO_TEST_CASE(AnAcknowledgementOfAnotherEndDoesNotDiscardAFinish) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.refuseForGood("a");
  BOOST_REQUIRE((Fixture.lastReport("a")->Phase_ == TaskPhase::NotStarted));
  Fixture.Core_.inventoryReceived(
      Fixture.Now_, Fixture.inventoryWithFinished("a"), Fixture.Out_);
  BOOST_REQUIRE((Fixture.lastReport("a")->Phase_ == TaskPhase::Finished));
  Fixture.clear();
  // The owner sent this before the report of the finish arrived.
  Fixture.receive(TaskReportAck{{{"a"}, 0}, 1, TaskPhase::NotStarted});
  BOOST_TEST(Fixture.countOutputs<ForgetOnWorker>() == 0U);
}

BOOST_AUTO_TEST_CASE(
    ALaterAttemptDoesNotStartBesideAnEarlierOneThatWasGivenUp) {
  for (const auto Acknowledged : {false, true}) {
    AgentFixture Fixture;
    Fixture.bind("a", 1000);
    Fixture.refuseForGood("a");
    if (Acknowledged)
      Fixture.receive(TaskReportAck{{{"a"}, 0}, 1});
    // Another copy of the start command was carried out.
    Fixture.Core_.inventoryReceived(Fixture.Now_, Fixture.inventoryOf({"a"}),
                                    Fixture.Out_);
    Fixture.clear();
    Fixture.bind("a", 1000, 2);
    BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
  }
}

// The answer to one copy of a start order was taken for the order's outcome,
// and the task was bound elsewhere while another copy of it ran.
BOOST_AUTO_TEST_CASE(ARefusedStartIsNotReportedEndedWhileACopyMayRun) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.clear();
  Fixture.refuse("a");
  BOOST_TEST(!Fixture.lastReport("a").has_value());
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryOf({"a"}));
  BOOST_REQUIRE(Fixture.lastReport("a").has_value());
  BOOST_TEST((Fixture.lastReport("a")->Phase_ == TaskPhase::Running));
  BOOST_TEST(Fixture.countOutputs<StopOnWorker>() == 0U);
}

BOOST_AUTO_TEST_CASE(ARefusedStartCannotTakeEffectOnceItsEndIsReported) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.advance(Millis{600});
  const auto FenceOfStart = Fixture.lastPoll().Fence_;
  Fixture.clear();
  Fixture.refuse("a");
  BOOST_TEST(Fixture.countOutputs<PollWorker>() == 1U);
  const auto Poll = Fixture.lastPoll();
  BOOST_TEST(Poll.Fence_ > FenceOfStart);
  BOOST_TEST(Poll.AnswerAtOnce_);
  // The worker may have made this list before it carries a copy out.
  Fixture.answerPoll(FenceOfStart, {});
  BOOST_TEST(!Fixture.lastReport("a").has_value());
  Fixture.answerPoll(Poll.Fence_, {});
  BOOST_TEST((Fixture.lastPhase("a") == TaskPhase::NotStarted));
}

BOOST_AUTO_TEST_CASE(AListThatIsNotWholeEndsNoRefusedStart) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.clear();
  Fixture.refuse("a");
  auto Inventory = Fixture.inventoryOf({});
  Inventory.Fence_ = Fixture.lastPoll().Fence_;
  Inventory.Complete_ = false;
  Fixture.answerPollAfter(Millis{0}, Inventory);
  BOOST_TEST(!Fixture.lastReport("a").has_value());
}

BOOST_AUTO_TEST_CASE(ARefusedStartOnAWorkerWithoutFencesEndsWithItsLease) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.clear();
  Fixture.refuse("a");
  auto Inventory = Fixture.inventoryOf({});
  Fixture.answerPollAfter(Millis{0}, Inventory);
  BOOST_TEST(!Fixture.lastReport("a").has_value());
  Inventory.Clock_ += Seconds{2};
  Fixture.answerPollAfter(Millis{0}, Inventory);
  BOOST_TEST((Fixture.lastPhase("a") == TaskPhase::NotStarted));
}

BOOST_AUTO_TEST_CASE(ARefusedStartIsNotRepeated) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.refuse("a");
  Fixture.clear();
  // Another copy of the order gets no answer.
  Fixture.Core_.startAnswered(Fixture.Now_, {{"a"}, 0}, 1,
                              StartOutcome::Unknown, Fixture.Out_);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 0U);
}

BOOST_AUTO_TEST_CASE(AStartBehindAFenceNeedsTheNextOne) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.refuse("a");
  const auto First = Fixture.lastPoll().Fence_;
  Fixture.bind("b", 1000);
  Fixture.refuse("b");
  Fixture.clear();
  Fixture.answerPoll(First, {});
  BOOST_TEST((Fixture.lastPhase("a") == TaskPhase::NotStarted));
  BOOST_TEST(!isEnded(Fixture.lastPhase("b")));
  const auto Second = Fixture.lastPoll().Fence_;
  BOOST_REQUIRE(Second > First);
  Fixture.answerPoll(Second, {});
  BOOST_TEST((Fixture.lastPhase("b") == TaskPhase::NotStarted));
}

// Another task's refusal must not return a task whose start is on its way.
BOOST_AUTO_TEST_CASE(AFenceEndsNoStartThatWasNotRefused) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.bind("b", 1000);
  Fixture.refuseForGood("a");
  BOOST_TEST(!isEnded(Fixture.lastPhase("b")));
  Fixture.clear();
  // The fence has made the worker refuse the order for its token.
  Fixture.Core_.startAnswered(Fixture.Now_, {{"b"}, 0}, 1,
                              StartOutcome::Unknown, Fixture.Out_);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(RefusalsDoNotMakeASilentWorkerCountAsLostEarlier) {
  AgentFixture Quiet;
  AgentFixture Refusing;
  for (auto *Each : {&Quiet, &Refusing})
    for (const auto *Job : {"a", "b", "c", "d", "e"})
      Each->bind(Job, 100);
  for (const auto *Job : {"a", "b", "c", "d", "e"}) {
    Refusing.refuse(Job);
    for (auto *Each : {&Quiet, &Refusing})
      Each->advance(Millis{200});
    BOOST_TEST(Refusing.Core_.leaving() == Quiet.Core_.leaving());
  }
}

// The owner puts back what the first confirmation on a connection doesn't name.
BOOST_AUTO_TEST_CASE(ABindingIsConfirmedOrNeverTaken) {
  for (const auto Late : {false, true}) {
    AgentFixture Fixture;
    constexpr SessionNumber NextSession = 2;
    Fixture.Core_.openSession(Fixture.Now_, NextSession, Fixture.Out_);
    Fixture.clear();
    if (!Late)
      Fixture.bind("a", 1000);
    Fixture.Core_.receive(Fixture.Now_, NextSession, ClaimOwnership{0, 1},
                          Fixture.Out_);
    std::optional<std::size_t> Confirmed;
    for (const auto &Each : Fixture.Out_)
      if (const auto *Send = std::get_if<SendToEntry>(&Each))
        if (const auto *Confirm =
                std::get_if<ConfirmOwnership>(&Send->Message_))
          Confirmed = Confirm->HeldTasks_.size();
    BOOST_REQUIRE(Confirmed.has_value());
    BOOST_TEST(*Confirmed == (Late ? 0U : 1U));
    // The binding was held on the earlier connection.
    if (Late)
      Fixture.bind("a", 1000);
    Fixture.advance(Millis{200});
    BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == (Late ? 0U : 1U));
  }
}

// Its end waited for the next regular poll, for up to half a second.
BOOST_AUTO_TEST_CASE(AStartRefusedBehindAConfirmedFenceGetsAFenceAtOnce) {
  AgentFixture Fixture;
  Fixture.bind("a", 1000);
  Fixture.bind("b", 1000);
  Fixture.refuse("a");
  const auto Confirmed = Fixture.lastPoll().Fence_;
  Fixture.answerPoll(Confirmed, {});
  Fixture.refuse("b");
  BOOST_TEST((Fixture.lastPhase("b") != TaskPhase::NotStarted));
  BOOST_TEST(Fixture.lastPoll().Fence_ > Confirmed);
  Fixture.answerPoll(Fixture.lastPoll().Fence_, {});
  BOOST_TEST((Fixture.lastPhase("b") == TaskPhase::NotStarted));
}

// The owner put back a running task whose row couldn't be read.
BOOST_AUTO_TEST_CASE(AnUnreadableFirstListDoesNotMakeATaskMissing) {
  AgentFixture Fixture;
  AgentIdentity Identity;
  Identity.Agent_ = {"agent"};
  Identity.Capacity_ = {4000, 8000, 0};
  AgentCore Restarted(Identity);
  AgentOutbox Out;
  Restarted.openSession(Fixture.Now_, OwnerSession, Out);
  auto Inventory = Fixture.inventoryOf({});
  Inventory.Complete_ = false;
  Restarted.inventoryReceived(Fixture.Now_, Inventory, Out);
  Restarted.receive(Fixture.Now_, OwnerSession, ClaimOwnership{0, 1}, Out);
  for (const auto &Each : Out)
    if (const auto *Send = std::get_if<SendToEntry>(&Each))
      if (const auto *Confirm = std::get_if<ConfirmOwnership>(&Send->Message_))
        BOOST_TEST(Confirm->MoreEnds_);
}

BOOST_AUTO_TEST_CASE(AnUnlistedRunEndsOnlyOnceTheWorkerHasAnsweredItsStop) {
  AgentFixture Fixture;
  auto Inventory = Fixture.inventoryOf({});
  Inventory.Complete_ = false;
  Fixture.answerPollAfter(Millis{100}, Inventory);
  Fixture.clear();
  const TaskId Task{{"a"}, 0};
  Fixture.receive(StopTask{0, 1, Task, 1, ErrorKind::WorkerGone});
  BOOST_TEST(Fixture.countOutputs<StopOnWorker>() == 1U);
  Fixture.advance(Millis{1500});
  BOOST_TEST(!Fixture.lastReport("a"));
  Fixture.Core_.stopAnswered(Fixture.Now_, Task, 1, Fixture.Out_);
  BOOST_TEST(!Fixture.lastReport("a"));
  Fixture.advance(Millis{1500});
  Fixture.Core_.stopAnswered(Fixture.Now_, Task, 1, Fixture.Out_);
  BOOST_TEST(!Fixture.lastReport("a"));
  Fixture.advance(Millis{500});
  Fixture.Core_.stopAnswered(Fixture.Now_, Task, 1, Fixture.Out_);
  BOOST_TEST((Fixture.lastPhase("a") == TaskPhase::Stopped));
}

BOOST_AUTO_TEST_CASE(AnUnreadableRowBlocksNoOtherTask) {
  AgentFixture Fixture;
  auto Inventory = Fixture.inventoryOf({});
  Inventory.Complete_ = false;
  Fixture.answerPollAfter(Millis{100}, Inventory);
  Fixture.clear();
  Fixture.bind("b", 1000);
  BOOST_TEST(Fixture.countOutputs<StartOnWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(AListThatCanBeReadAgainIsConfirmed) {
  AgentFixture Fixture;
  const auto LastConfirmation = [&] {
    std::optional<ConfirmOwnership> Last;
    for (const auto &Each : Fixture.Out_)
      if (const auto *Send = std::get_if<SendToEntry>(&Each))
        if (const auto *Confirm =
                std::get_if<ConfirmOwnership>(&Send->Message_))
          Last = *Confirm;
    return Last;
  };
  auto Inventory = Fixture.inventoryOf({});
  Inventory.Complete_ = false;
  Fixture.answerPollAfter(Millis{100}, Inventory);
  Fixture.receive(ClaimOwnership{0, 2});
  BOOST_REQUIRE(LastConfirmation());
  BOOST_TEST(LastConfirmation()->MoreEnds_);
  Fixture.clear();
  Fixture.answerPollAfter(Millis{100}, Fixture.inventoryOf({"a"}));
  BOOST_REQUIRE(LastConfirmation());
  BOOST_TEST(!LastConfirmation()->MoreEnds_);
  BOOST_TEST(LastConfirmation()->HeldTasks_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(AnEntryThatLagsBehindASeriesGetsEachConfiguration) {
  AgentFixture Fixture;
  for (const Revision Known : {3, 4, 5}) {
    Fixture.EntryRevision_ = Known;
    Fixture.Configuration_.Head_.Revision_ = Known + 1;
    Fixture.receive(ConfigurationUpdate{Fixture.Configuration_});
    Fixture.clear();
    Fixture.advance(Millis{600});
    Fixture.acknowledgeHeartbeat();
    BOOST_TEST(Fixture.lastSentRevision() == Known + 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()
