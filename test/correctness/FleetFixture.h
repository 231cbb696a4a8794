/// \file
/// Defines a fleet of one entry and many workers, on a virtual clock with the
/// fake store, for tests of what callers get.
#pragma once

#include "core/EntryCore.h"
#include "test/fuzz/FakeStore.h"

#include <deque>
#include <set>

namespace skylark {

inline constexpr std::int64_t WorkerMilliCores = 32000;
inline constexpr std::int64_t BestEffortMilliCores = 3500;
inline constexpr Millis BestEffortRunTime{2700};
inline constexpr Millis ShortRunTime{650};
inline constexpr Millis TickInterval{50};

/// One entry and workers that run what is bound to them. Best-effort tasks of a
/// worker share the processors that its serving tasks don't reserve.
class FleetFixture {
public:
  /// \param Others number of further workers, which serve the service
  /// "others" and no other.
  explicit FleetFixture(std::size_t Workers, std::size_t Others = 0)
      : Workers_(Workers + Others) {
    EntryIdentity Identity;
    Identity.Entry_ = {"entry"};
    Identity.Incarnation_ = 1;
    Identity.Environment_ = {"test"};
    Identity.PeerAddress_ = "entry";
    Identity.ShardCount_ = 1;
    Identity.StoreCallsPerSecond_ = 1000;
    Identity.Policy_ = policy();
    Entry_ = std::make_unique<EntryCore>(Identity);
    writeConfiguration();
    advance(Millis{4000});
    for (std::size_t Index = 0; Index < Workers_.size(); ++Index) {
      Hello Message;
      Message.Agent_ = {"agent-" + std::to_string(Index)};
      Message.Incarnation_ = 1;
      Message.Worker_ = 1;
      Message.DataCentre_ = {"hobart"};
      Message.Rack_ = "rack-" + std::to_string(Index / 8);
      Message.Capacity_ = {WorkerMilliCores, 125000, 0};
      Message.Services_ = {{Index < Workers ? "portal" : "others"}};
      Inbox_.push_back({Index, Message});
    }
    advance(Millis{1500});
  }

  /// Submits a job. \returns a token for errorOf().
  auto submit(const std::string &Job, JobDeclaration Declaration)
      -> CallerToken {
    return submitTo("/jobs/" + Job, std::move(Declaration));
  }
  /// Submits a job to a service without workers.
  auto submitOrphan(const std::string &Job, StepDeclaration Step) -> void {
    JobDeclaration Declaration;
    Declaration.Steps_ = {std::move(Step)};
    submitTo("/orphans/" + Job, std::move(Declaration));
  }
  /// Submits a job to the service "others".
  auto submitOther(const std::string &Job, StepDeclaration Step) -> void {
    JobDeclaration Declaration;
    Declaration.Steps_ = {std::move(Step)};
    submitTo("/others/" + Job, std::move(Declaration));
  }
  /// Ends a worker and its agent for good.
  auto lose(std::size_t Index) -> void {
    Workers_[Index] = {};
    Workers_[Index].IsLost_ = true;
    runEntry([&](EntryCore &Core, EntryOutbox &Out) {
      Core.agentDisconnected(Now_, Index + 1, Out);
    });
  }
  /// Ends the workers, from the one with index `First` on, that run short tasks
  /// now. \returns how many there were.
  auto loseWorkersOfShortTasks(std::size_t First = 0) -> std::size_t {
    std::size_t Count = 0;
    for (auto Index = First; Index < Workers_.size(); ++Index)
      if (!Workers_[Index].Short_.empty()) {
        lose(Index);
        ++Count;
      }
    return Count;
  }
  auto submitTo(const std::string &Path, JobDeclaration Declaration)
      -> CallerToken {
    SubmitToQueue Request;
    Request.Address_ = {"portal.example", Path};
    Request.Declaration_ = std::move(Declaration);
    runEntry([&](EntryCore &Core, EntryOutbox &Out) {
      Core.callerAsked(Now_, ++LastToken_, Request, Out);
    });
    return LastToken_;
  }
  /// The error in the answer to a caller; None if there is none.
  auto errorOf(CallerToken Token) const -> ErrorKind {
    const auto Found = Replies_.find(Token);
    if (Found == Replies_.end())
      return ErrorKind::None;
    const auto *Reply = std::get_if<ErrorReply>(&Found->second);
    return Reply == nullptr ? ErrorKind::None : Reply->Kind_;
  }
  auto submit(const std::string &Job, StepDeclaration Step) -> void {
    JobDeclaration Declaration;
    Declaration.Steps_ = {std::move(Step)};
    submit(Job, std::move(Declaration));
  }
  /// Submits a job with one serving task on each of as many workers.
  auto submitServing(const std::string &Job, std::uint32_t Tasks) -> void {
    StepDeclaration Step;
    Step.TaskCount_ = Tasks;
    Step.Resources_ = {20000, 40000, 0};
    Step.LongRunning_ = true;
    Step.MaxPerWorker_ = 1;
    Step.Image_ = "serving";
    Step.TailTarget_ = Millis{18};
    submit(Job, Step);
  }
  /// Submits a job of tasks that reserve their processors and end.
  auto submitShort(const std::string &Job, std::uint32_t Tasks) -> void {
    StepDeclaration Step;
    Step.TaskCount_ = Tasks;
    Step.Resources_ = {1800, 1000, 0};
    Step.RunTime_ = ShortRunTime;
    submit(Job, Step);
  }
  auto submitBestEffort(const std::string &Job, std::uint32_t Tasks) -> void {
    StepDeclaration Step;
    Step.TaskCount_ = Tasks;
    Step.Resources_ = {BestEffortMilliCores, 2000, 0};
    Step.RunTime_ = BestEffortRunTime;
    Step.BestEffort_ = true;
    Step.Image_ = "batch";
    submit(Job, Step);
  }

  auto advance(Millis Period) -> void {
    for (Millis Elapsed{0}; Elapsed < Period; Elapsed += TickInterval) {
      Now_ = Now_.after(TickInterval);
      runEntry(
          [&](EntryCore &Core, EntryOutbox &Out) { Core.tick(Now_, Out); });
      for (std::size_t Index = 0; Index < Workers_.size(); ++Index)
        work(Index);
      if (++Ticks_ % 10 == 0)
        for (std::size_t Index = 0; Index < Workers_.size(); ++Index)
          sendHeartbeat(Index);
      for (auto &Each : std::exchange(Refused_, {}))
        Inbox_.push_back(std::move(Each));
      deliver();
    }
  }

  /// The state of the job that its caller is told.
  auto state(const std::string &Job) -> JobState {
    return stateAt("/jobs/" + Job);
  }
  auto stateAt(const std::string &Path) -> JobState {
    const auto Token = ++LastToken_;
    runEntry([&](EntryCore &Core, EntryOutbox &Out) {
      Core.callerAsked(Now_, Token, ReadQueue{{"portal.example", Path}}, Out);
    });
    const auto Found = Replies_.find(Token);
    if (Found == Replies_.end())
      return JobState::Queued;
    const auto *Reply = std::get_if<JobStateReply>(&Found->second);
    return Reply == nullptr ? JobState::Queued : Reply->State_;
  }

  auto servingTasks() const -> std::size_t {
    std::size_t Count = 0;
    for (const auto &Each : Workers_)
      Count += Each.ServingTasks_;
    return Count;
  }
  /// The workers on which each task fails as soon as it has started. The tasks
  /// of jobs whose names begin with "hopeless" do so on any worker.
  std::set<std::size_t> FailingWorkers_;
  /// The workers that refuse each start, which their agents report in the next
  /// tick.
  std::set<std::size_t> RefusingWorkers_;
  int Refusals_ = 0;
  /// The most processors, in thousandths, that best-effort tasks requested at
  /// once on one worker.
  std::int64_t MostRequested_ = 0;

private:
  struct RunningTask {
    BindTask Bind_;
    /// Full-speed work that is left.
    Micros Remaining_{0};
  };
  struct Worker {
    std::vector<RunningTask> BestEffort_;
    std::vector<RunningTask> Short_;
    std::size_t ServingTasks_ = 0;
    std::int64_t ServingMilliCores_ = 0;
    bool IsLost_ = false;
  };

  static auto policy() -> PolicySettings {
    PolicySettings Policy;
    Policy.RegistrationTtl_ = Millis{2000};
    Policy.TaskLeaseDuration_ = Millis{5000};
    Policy.OutageHorizon_ = Millis{10000};
    Policy.FreshnessWindow_ = Millis{1500};
    return Policy;
  }
  auto writeConfiguration() -> void {
    Document Configured;
    Configured.Text_ = "document";
    Configured.DataCentres_ = {{"hobart"}};
    Configured.Policy_ = policy();
    QueueDeclaration Queue;
    Queue.Name_ = {"queue"};
    Queue.Host_ = "portal.example";
    Queue.PathPrefix_ = "/jobs/";
    Queue.Service_ = {"portal"};
    const auto QueueOf = [&](const char *Service) {
      auto Each = Queue;
      Each.Name_ = {Service};
      Each.PathPrefix_ = std::string("/") + Service + "/";
      Each.Service_ = {Service};
      return Each;
    };
    Configured.Queues_ = {Queue, QueueOf("orphans"), QueueOf("others")};
    EnvironmentHead Head;
    Head.Revision_ = 1;
    Head.DocumentDigest_ = digestText(Configured.Text_);
    Store_.apply(Micros{0},
                 WriteValue{documentKey(Head.DocumentDigest_), Configured});
    Store_.apply(Micros{0}, WriteValue{headKey({"test"}), Head});
  }

  static auto reportOf(const BindTask &Bind, TaskPhase Phase) -> TaskReport {
    TaskReport Report;
    Report.Task_ = Bind.Task_;
    Report.Attempt_ = Bind.Attempt_;
    Report.Phase_ = Phase;
    return Report;
  }
  auto sendHeartbeat(std::size_t Index) -> void {
    const auto &Each = Workers_[Index];
    if (Each.IsLost_)
      return;
    Heartbeat Message;
    Message.Sequence_ = static_cast<std::uint64_t>(Ticks_);
    Message.Revision_ = 1;
    Message.Load_.Free_ = {WorkerMilliCores - Each.ServingMilliCores_, 50000,
                           0};
    Inbox_.push_back({Index, Message});
  }
  auto work(std::size_t Index) -> void {
    auto &Tasks = Workers_[Index].BestEffort_;
    const auto Requested =
        static_cast<std::int64_t>(Tasks.size()) * BestEffortMilliCores;
    MostRequested_ = std::max(MostRequested_, Requested);
    const auto Usable = WorkerMilliCores - Workers_[Index].ServingMilliCores_;
    const auto Done = std::chrono::duration_cast<Micros>(TickInterval) *
                      std::min(Usable, Requested) /
                      std::max<std::int64_t>(Requested, 1);
    run(Index, Tasks, Done);
    run(Index, Workers_[Index].Short_, TickInterval);
  }
  auto run(std::size_t Index, std::vector<RunningTask> &Tasks, Micros Done)
      -> void {
    for (auto Each = Tasks.begin(); Each != Tasks.end();) {
      Each->Remaining_ -= Done;
      if (Each->Remaining_ > Micros{0}) {
        ++Each;
        continue;
      }
      Inbox_.push_back({Index, reportOf(Each->Bind_, TaskPhase::Finished)});
      Each = Tasks.erase(Each);
    }
  }
  auto accept(std::size_t Index, const BindTask &Bind) -> void {
    auto &To = Workers_[Index];
    const auto IsHopeless = Bind.Task_.Job_.Value_.rfind("hopeless", 0) == 0;
    if (IsHopeless || FailingWorkers_.count(Index) != 0) {
      Inbox_.push_back({Index, reportOf(Bind, TaskPhase::Running)});
      Inbox_.push_back({Index, reportOf(Bind, TaskPhase::Failed)});
      return;
    }
    if (RefusingWorkers_.count(Index) != 0) {
      ++Refusals_;
      auto Refused = reportOf(Bind, TaskPhase::NotStarted);
      Refused.Reason_ = ErrorKind::WorkerGone;
      Refused_.push_back({Index, Refused});
      return;
    }
    if (Bind.BestEffort_) {
      To.BestEffort_.push_back({Bind, BestEffortRunTime});
    } else if (Bind.Kind_ == WorkKind::Batch) {
      To.Short_.push_back({Bind, ShortRunTime});
    } else {
      ++To.ServingTasks_;
      To.ServingMilliCores_ += Bind.Resources_.MilliCores_;
    }
    Inbox_.push_back({Index, reportOf(Bind, TaskPhase::Running)});
  }

  auto deliver() -> void {
    while (!Inbox_.empty()) {
      const auto [Index, Message] = std::move(Inbox_.front());
      Inbox_.pop_front();
      runEntry([&, Session = Index + 1](EntryCore &Core, EntryOutbox &Out) {
        Core.agentSent(Now_, Session, Message, Out);
      });
    }
  }
  template <typename Function> auto runEntry(Function Callback) -> void {
    EntryOutbox Out;
    Callback(*Entry_, Out);
    for (auto &Each : Out)
      std::visit([&](auto &Action) { this->perform(Action); }, Each);
  }
  auto perform(const CallStore &Call) -> void {
    auto Result = Store_.apply(
        std::chrono::duration_cast<Micros>(Now_.Steady_.time_since_epoch()),
        Call.Operation_);
    Result.Call_ = Call.Call_;
    runEntry([&](EntryCore &Core, EntryOutbox &Out) {
      Core.storeAnswered(Now_, Result, Out);
    });
  }
  auto perform(const SendToAgent &Send) -> void {
    const auto Index = static_cast<std::size_t>(Send.Session_ - 1);
    if (const auto *Claim = std::get_if<ClaimOwnership>(&Send.Message_))
      Inbox_.push_back(
          {Index, ConfirmOwnership{Claim->Shard_, Claim->Epoch_, 1, {}}});
    if (const auto *Bind = std::get_if<BindTask>(&Send.Message_))
      accept(Index, *Bind);
  }
  auto perform(const AnswerCaller &Answer) -> void {
    Replies_[Answer.Token_] = Answer.Reply_;
  }
  template <typename Other> auto perform(const Other & /*Each*/) -> void {}

  Moment Now_{TimePoint(Seconds{100}), WallTime(Seconds{1000})};
  std::unique_ptr<EntryCore> Entry_;
  Fuzz::FakeStore Store_;
  std::vector<Worker> Workers_;
  std::deque<std::pair<std::size_t, AgentMessage>> Inbox_;
  /// Reports of refused starts that arrive in the next tick.
  std::vector<std::pair<std::size_t, AgentMessage>> Refused_;
  std::map<CallerToken, CallerReply> Replies_;
  CallerToken LastToken_ = 0;
  int Ticks_ = 0;
};

} // namespace skylark
