/// \file
/// Tests an agent's decisions about its worker on a virtual clock.

#include "core/AgentCore.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

constexpr SessionNumber Owner = 1;
constexpr Millis Lease{5000};

/// One agent with one entry, which owns shard 0 and grants all it can.
class AgentBench {
public:
  AgentBench() : Core_(identity()) {
    Core_.openSession(Now_, Owner, Out_);
    Core_.inventoryReceived(Now_, list({}), Out_);
    receive(ConfigurationUpdate{Configuration_});
    receive(ClaimOwnership{0, 1});
    pass(Millis{600});
    grant();
  }

  auto bind(const std::string &Job, std::int64_t MilliCores) -> void {
    BindTask Bind;
    Bind.Sequence_ = ++Sequence_;
    Bind.Epoch_ = 1;
    Bind.Worker_ = 7;
    Bind.Task_ = {{Job}, 0};
    Bind.Attempt_ = 1;
    Bind.Resources_ = {MilliCores, 100, 0};
    receive(Bind);
  }

  /// Lets time pass in ticks; the worker answers each look with `Running`, or
  /// not at all.
  auto pass(Millis Length, const std::vector<std::string> *Running = nullptr)
      -> void {
    constexpr Millis Tick{50};
    for (Millis Gone{0}; Gone < Length; Gone += Tick) {
      Now_.Steady_ += Tick;
      const auto Before = Out_.size();
      Core_.tick(Now_, Out_);
      for (auto Index = Before; Running != nullptr && Index < Out_.size();
           ++Index)
        if (std::holds_alternative<PollWorker>(Out_[Index]))
          Core_.inventoryReceived(Now_, list(*Running), Out_);
    }
  }

  /// What the worker lists now.
  auto list(const std::vector<std::string> &Running) const -> WorkerInventory {
    WorkerInventory Inventory;
    Inventory.Worker_ = 7;
    Inventory.Clock_ =
        std::chrono::duration_cast<Micros>(Now_.Steady_.time_since_epoch());
    for (const auto &Job : Running) {
      WorkerTask Task;
      Task.IdOnly_ = true;
      Task.Bind_.Task_ = {{Job}, 0};
      Task.Bind_.Attempt_ = 1;
      Inventory.Tasks_.push_back(Task);
    }
    return Inventory;
  }

  /// Lets the worker answer a look after it has kept it open for `Length`.
  auto answerAfter(Millis Length, const WorkerInventory &Answer) -> void {
    Now_.Steady_ += Length;
    Core_.inventoryReceived(Now_, Answer, Out_);
  }

  /// What the worker lists now, and one more task that has ended.
  auto listWithEnd(const std::string &Job) const -> WorkerInventory {
    auto Inventory = list({});
    Inventory.Clock_ += Seconds{10};
    WorkerTask Task;
    Task.IdOnly_ = true;
    Task.Bind_.Task_ = {{Job}, 0};
    Task.Bind_.Attempt_ = 1;
    Task.Phase_ = TaskPhase::Finished;
    Inventory.Tasks_.push_back(Task);
    return Inventory;
  }

  /// Answers the newest heartbeat with every grant.
  auto grant() -> void {
    HeartbeatAck Ack;
    for (const auto &Each : Out_)
      if (const auto *Send = std::get_if<SendToEntry>(&Each))
        if (const auto *Beat = std::get_if<Heartbeat>(&Send->Message_))
          Ack.Sequence_ = Beat->Sequence_;
    Ack.Revision_ = Configuration_.Head_.Revision_;
    Ack.AsOf_ = Ack.Revision_;
    Ack.StartGrantDuration_ = Millis{2000};
    Ack.RunGrantDuration_ = Lease;
    Ack.Shards_ = {0};
    receive(Ack);
  }

  template <typename Message> auto receive(const Message &Each) -> void {
    Core_.receive(Now_, Owner, Each, Out_);
  }

  /// Orders to start, by job, since the last call of clear().
  template <typename Kind> auto count() const -> std::size_t {
    return std::count_if(Out_.begin(), Out_.end(), [](const auto &Each) {
      return std::holds_alternative<Kind>(Each);
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
  auto clear() -> void { Out_.clear(); }

  AgentOutbox Out_;
  Moment Now_{TimePoint(Seconds{100}), {}};
  AgentCore Core_;
  Configuration Configuration_ = configuration();

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

BOOST_AUTO_TEST_CASE(BoundWorkStartsAtOnce) {
  AgentBench Bench;
  Bench.clear();
  Bench.bind("a", 1000);
  BOOST_TEST(Bench.count<StartOnWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(ALookThatWasKeptOpenIsFollowedByTheNext) {
  AgentBench Bench;
  Bench.pass(Millis{600});
  Bench.clear();
  Bench.answerAfter(Millis{400}, Bench.list({}));
  BOOST_TEST(Bench.count<PollWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(AWorkerThatAnswersAtOnceIsLookedAtNowAndThen) {
  AgentBench Bench;
  const std::vector<std::string> None;
  Bench.clear();
  Bench.pass(Millis{2000}, &None);
  BOOST_TEST(Bench.count<PollWorker>() <= 5U);
}

BOOST_AUTO_TEST_CASE(TheLastEndTakenNoteOfOpensALook) {
  AgentBench Bench;
  Bench.bind("a", 1000);
  Bench.pass(Millis{600});
  Bench.answerAfter(Millis{100}, Bench.listWithEnd("a"));
  Bench.clear();
  Bench.receive(TaskReportAck{{{"a"}, 0}, 1});
  BOOST_TEST(Bench.count<PollWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(EndsThatWaitForTheOwnerDontHideOthers) {
  AgentBench Bench;
  Bench.bind("a", 1000);
  Bench.pass(Millis{600});
  Bench.answerAfter(Millis{100}, Bench.listWithEnd("a"));
  Bench.clear();
  Bench.pass(Millis{100});
  BOOST_TEST(Bench.count<PollWorker>() >= 1U);
}

BOOST_AUTO_TEST_CASE(ShortLooksDontMakeAWorkerSilent) {
  AgentBench Bench;
  Bench.bind("a", 1000);
  Bench.pass(Millis{600});
  Bench.answerAfter(Millis{100}, Bench.listWithEnd("a"));
  Bench.clear();
  // An end waits for the owner, and the worker keeps the look open as it may.
  Bench.pass(Millis{450});
  BOOST_TEST(Bench.count<PollWorker>() == 1U);
  BOOST_TEST(!Bench.Core_.leaving());
}

BOOST_AUTO_TEST_CASE(WhatRunsOnASilentWorkerIsLeftToItsLeases) {
  AgentBench Bench;
  const std::vector<std::string> Running{"a"};
  Bench.bind("a", 1000);
  Bench.pass(Millis{600}, &Running);
  Bench.clear();
  Bench.pass(Millis{3000});
  BOOST_TEST(Bench.Core_.leaving());
  BOOST_TEST(Bench.count<StopOnWorker>() == 0U);
}

BOOST_AUTO_TEST_CASE(AnUnansweredOrderIsRepeated) {
  AgentBench Bench;
  Bench.bind("a", 1000);
  Bench.clear();
  Bench.Core_.startAnswered(Bench.Now_, {{"a"}, 0}, 1, StartOutcome::Unknown,
                            Bench.Out_);
  BOOST_TEST(Bench.count<StartOnWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(NoOrderIsRepeatedWhereTheDataCentreIsOut) {
  AgentBench Bench;
  Bench.bind("a", 1000);
  auto Next = Bench.Configuration_;
  Next.Head_.Revision_ = 4;
  Next.Head_.Out_ = {{"hobart"}};
  Bench.receive(ConfigurationUpdate{Next});
  Bench.clear();
  Bench.Core_.startAnswered(Bench.Now_, {{"a"}, 0}, 1, StartOutcome::Unknown,
                            Bench.Out_);
  BOOST_TEST(Bench.count<StartOnWorker>() == 0U);
}

BOOST_AUTO_TEST_CASE(ASilentWorkersTasksEndWithItsLeases) {
  AgentBench Bench;
  Bench.bind("a", 1000);
  Bench.Core_.startAnswered(Bench.Now_, {{"a"}, 0}, 1, StartOutcome::Accepted,
                            Bench.Out_);
  const std::vector<std::string> Running{"a"};
  Bench.pass(Millis{500}, &Running);
  Bench.grant();
  Bench.clear();
  Bench.pass(Millis{3000});
  BOOST_TEST(Bench.Core_.leaving());
  BOOST_TEST(!isEnded(Bench.lastReport("a").value_or(TaskReport{}).Phase_));
  Bench.pass(Millis{5000});
  const auto Report = Bench.lastReport("a");
  BOOST_REQUIRE(Report.has_value());
  BOOST_TEST((Report->Phase_ == TaskPhase::Stopped));
  BOOST_TEST((Report->Reason_ == ErrorKind::WorkerGone));
}

BOOST_AUTO_TEST_CASE(AnUnansweredStartEndsWithASilentWorker) {
  AgentBench Bench;
  Bench.bind("a", 1000);
  for (int Copy = 0; Copy < 30; ++Copy) {
    Bench.pass(Millis{400});
    if (Copy < 3)
      Bench.grant();
    Bench.Core_.startAnswered(Bench.Now_, {{"a"}, 0}, 1, StartOutcome::Unknown,
                              Bench.Out_);
  }
  const auto Report = Bench.lastReport("a");
  BOOST_REQUIRE(Report.has_value());
  BOOST_TEST(isEnded(Report->Phase_));
}

BOOST_AUTO_TEST_CASE(AFrozenAgentLooksAgainBeforeItJudges) {
  AgentBench Bench;
  Bench.bind("a", 1000);
  Bench.Core_.startAnswered(Bench.Now_, {{"a"}, 0}, 1, StartOutcome::Accepted,
                            Bench.Out_);
  const std::vector<std::string> Running{"a"};
  Bench.pass(Millis{500}, &Running);
  Bench.clear();
  Bench.Now_.Steady_ += Seconds{30};
  Bench.pass(Millis{100}, &Running);
  BOOST_TEST(!isEnded(Bench.lastReport("a").value_or(TaskReport{}).Phase_));
}

BOOST_AUTO_TEST_CASE(ARestartedAgentStartsNothingBeforeItKnowsWhatRuns) {
  AgentBench Bench;
  const std::vector<std::string> Running{"old"};
  AgentIdentity Identity;
  Identity.Agent_ = {"agent"};
  Identity.Capacity_ = {4000, 8000, 0};
  Identity.DataCentre_ = {"hobart"};
  Bench.Core_ = AgentCore(Identity);
  Bench.Core_.openSession(Bench.Now_, Owner, Bench.Out_);
  Bench.pass(Millis{600}, &Running);
  Bench.receive(ConfigurationUpdate{Bench.Configuration_});
  Bench.receive(ClaimOwnership{0, 1});
  Bench.pass(Millis{600}, &Running);
  Bench.grant();
  Bench.clear();
  Bench.bind("new", 1000);
  BOOST_TEST(Bench.count<StartOnWorker>() == 0U);
  Bench.bind("old", 3500);
  BOOST_TEST(Bench.count<StartOnWorker>() == 0U);
  Bench.bind("old", 3500);
  Bench.pass(Millis{100}, &Running);
  // Known now: 3500 of 4000 are taken, so 1000 more don't fit.
  BOOST_TEST(Bench.count<StartOnWorker>() == 0U);
  Bench.bind("small", 400);
  BOOST_TEST(Bench.count<StartOnWorker>() == 1U);
}

BOOST_AUTO_TEST_CASE(AnOutDataCentreStartsNothingAndLetsWorkRun) {
  AgentBench Bench;
  Bench.bind("a", 1000);
  Bench.Core_.startAnswered(Bench.Now_, {{"a"}, 0}, 1, StartOutcome::Accepted,
                            Bench.Out_);
  auto Next = Bench.Configuration_;
  Next.Head_.Revision_ = 4;
  Next.Head_.Out_ = {{"hobart"}};
  Bench.receive(ConfigurationUpdate{Next});
  Bench.clear();
  Bench.bind("b", 1000);
  const std::vector<std::string> Running{"a"};
  Bench.pass(Millis{300}, &Running);
  BOOST_TEST(Bench.count<StartOnWorker>() == 0U);
  BOOST_TEST(Bench.count<StopOnWorker>() == 0U);
  BOOST_TEST((Bench.lastReport("b")->Phase_ == TaskPhase::NotStarted));
}

BOOST_AUTO_TEST_SUITE_END()
