/// \file
/// Defines a fixture of two entries and an agent on a virtual clock, with the
/// fake store.
#pragma once

#include "core/EntryCore.h"
#include "test/fuzz/FakeStore.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylark {

constexpr std::size_t EntryCount = 2;

inline auto entryIdOf(std::size_t Index) -> EntryId {
  return {"entry-" + std::to_string(Index)};
}

/// A report of an attempt of a job's first task.
inline auto taskReport(const std::string &Job, AttemptNumber Attempt,
                       TaskPhase Phase) -> TaskReport {
  TaskReport Report;
  Report.Task_ = {{Job}, 0};
  Report.Attempt_ = Attempt;
  Report.Phase_ = Phase;
  return Report;
}

/// Two entries that are connected to each other, and one agent that has a
/// session with each.
class EntryFixture {
public:
  EntryFixture() {
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      startEntry(Index);
    writeConfiguration();
    advance(Millis{4000});
  }

  /// Starts an entry.
  /// \param PeersConnected whether it is connected to the other entries.
  auto startEntry(std::size_t Index, bool PeersConnected = true) -> void {
    EntryIdentity Identity;
    Identity.Entry_ = entryIdOf(Index);
    Identity.Incarnation_ = ++LastIncarnation_;
    Identity.Environment_ = {"test"};
    Identity.PeerAddress_ = entryIdOf(Index).Value_;
    Identity.ShardCount_ = 1;
    Identity.CapacityMilliCores_ = Capacities_[Index];
    Identity.Policy_ = policy();
    Entries_[Index] = std::make_unique<EntryCore>(Identity);
    StoreUnreachable_[Index] = false;
    EntryOutbox Out;
    for (std::size_t Peer = 0; Peer < EntryCount; ++Peer)
      if (Peer != Index && PeersConnected)
        Entries_[Index]->peerConnected(Now_, entryIdOf(Peer), Out);
    performAll(Index, std::move(Out));
    for (std::size_t Peer = 0; Peer < EntryCount; ++Peer)
      if (Peer != Index && Entries_[Peer] && PeersConnected)
        runOn(Peer, [&](EntryCore &Core, EntryOutbox &PeerOut) {
          Core.peerConnected(Now_, entryIdOf(Index), PeerOut);
        });
  }

  auto killEntry(std::size_t Index) -> void {
    Entries_[Index].reset();
    for (std::size_t Peer = 0; Peer < EntryCount; ++Peer)
      if (Entries_[Peer])
        runOn(Peer, [&](EntryCore &Core, EntryOutbox &Out) {
          Core.peerDisconnected(Now_, entryIdOf(Index), Out);
        });
  }

  /// Advances the clock in ticks. While an agent is connected, it sends a
  /// heartbeat to every entry on each tenth tick.
  auto advance(Millis Period) -> void {
    constexpr Millis TickInterval{50};
    constexpr Millis ChangeInterval{100};
    for (Millis Elapsed{0}; Elapsed < Period; Elapsed += TickInterval) {
      Now_ = Now_.after(TickInterval);
      if (ChangesConfiguration_ && Elapsed % ChangeInterval == Millis{0})
        writeConfiguration();
      for (std::size_t Index = 0; Index < EntryCount; ++Index)
        if (Entries_[Index] && !Paused_[Index])
          runOn(Index, [&](EntryCore &Core, EntryOutbox &Out) {
            Core.tick(Now_, Out);
          });
      if (Worker_ != 0 && ++Ticks_ % 10 == 0)
        sendHeartbeats();
    }
  }

  /// Opens the agent's sessions with every entry, on behalf of this worker.
  auto connectAgent(Incarnation Worker) -> void {
    Worker_ = Worker;
    Hello Message;
    Message.Agent_ = {AgentName_};
    Message.Incarnation_ = Worker;
    Message.Worker_ = Worker;
    Message.DataCentre_ = {"hobart"};
    Message.Capacity_ = {4000, 8000, 0};
    Message.Services_ = {{"portal"}};
    Session_ = 100 * Worker;
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      sendFromAgent(Index, Message);
  }
  /// Sends the owner a report of an attempt of a job's first task.
  auto report(const std::string &Job, AttemptNumber Attempt, TaskPhase Phase)
      -> void {
    sendFromAgent(owner(), taskReport(Job, Attempt, Phase));
  }
  /// Sends the owner the list of the tasks that the agent holds, again.
  auto confirmAgain() -> void { confirm(owner(), LastClaim_); }
  auto acknowledged(const std::string &Job, AttemptNumber Attempt) const
      -> bool {
    return std::any_of(Acks_.begin(), Acks_.end(), [&](const auto &Each) {
      return Each.Task_ == TaskId{{Job}, 0} && Each.Attempt_ == Attempt;
    });
  }
  /// The number of the queue's jobs that the owner says haven't started.
  auto unstartedJobs() -> std::uint64_t {
    const auto *Reply =
        replyOf(sendRequest(owner(), ReadQueue{{"portal.example", "/jobs/"}}));
    return Reply == nullptr ? ~std::uint64_t{0}
                            : std::get<UnstartedJobsReply>(*Reply).Count_;
  }
  /// Connects an agent and lets it run the task of this job.
  auto runJob(const std::string &Job) -> void {
    connectAgent(1);
    advance(Millis{1200});
    submit(0, Job);
    advance(Millis{1000});
    report(Job, 1, TaskPhase::Running);
    HeldTasks_ = {taskReport(Job, 1, TaskPhase::Running)};
    Binds_.clear();
  }
  /// Closes the agent's sessions.
  auto leave() -> void {
    Worker_ = 0;
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      if (Entries_[Index])
        runOn(Index, [&](EntryCore &Core, EntryOutbox &Out) {
          Core.agentDisconnected(Now_, Session_, Out);
        });
  }

  /// Reports a phase of the task's current attempt to every entry.
  auto report(const std::string &Job, TaskPhase Phase,
              ErrorKind Reason = ErrorKind::None) -> void {
    TaskReport Message;
    Message.Task_ = {{Job}, 0};
    Message.Attempt_ = taskStatus(Job)->Attempt_;
    Message.Phase_ = Phase;
    Message.Reason_ = Reason;
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      sendFromAgent(Index, Message);
  }
  auto isBoundTo(const std::string &Job, Incarnation Worker) const -> bool {
    const auto *Task = taskStatus(Job);
    return Task != nullptr && Task->State_ == TaskState::Bound &&
           Task->Worker_ == Worker;
  }

  auto sendRequest(std::size_t Index, CallerRequest Request) -> CallerToken {
    const auto Token = ++LastToken_;
    runOn(Index, [&](EntryCore &Core, EntryOutbox &Out) {
      Core.callerAsked(Now_, Token, Request, Out);
    });
    return Token;
  }
  auto submit(std::size_t Index, const std::string &Job) -> CallerToken {
    SubmitToQueue Request;
    Request.Address_ = {"portal.example", "/jobs/" + Job};
    Request.Declaration_.Steps_.front().Resources_ = {1000, 1000, 0};
    return sendRequest(Index, Request);
  }

  auto cancel(std::size_t Index, const std::string &Job) -> CallerToken {
    return sendRequest(Index,
                       CancelInQueue{{"portal.example", "/jobs/" + Job}});
  }
  auto query(std::size_t Index, const std::string &Job) -> CallerToken {
    return sendRequest(Index, ReadQueue{{"portal.example", "/jobs/" + Job}});
  }
  /// The error that a caller got; None if it got no answer or another one.
  auto errorOf(CallerToken Token) const -> ErrorKind {
    const auto *Reply = replyOf(Token);
    const auto *Error =
        Reply == nullptr ? nullptr : std::get_if<ErrorReply>(Reply);
    return Error == nullptr ? ErrorKind::None : Error->Kind_;
  }
  /// Whether a caller was told that the job is in this state.
  auto toldState(CallerToken Token, JobState State) const -> bool {
    const auto *Reply = replyOf(Token);
    const auto *Told =
        Reply == nullptr ? nullptr : std::get_if<JobStateReply>(Reply);
    return Told != nullptr && Told->State_ == State;
  }
  auto owner() const -> std::size_t {
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      if (Entries_[Index] && Entries_[Index]->ownedShards() == 1)
        return Index;
    return EntryCount;
  }
  auto replyOf(CallerToken Token) const -> const CallerReply * {
    const auto Found = Replies_.find(Token);
    return Found == Replies_.end() ? nullptr : &Found->second;
  }
  auto taskStatus(const std::string &Job) const -> const TaskStatus * {
    const auto Index = owner();
    return Index == EntryCount
               ? nullptr
               : Entries_[Index]->shardState(0)->findTask({{Job}, 0});
  }
  template <typename Function>
  auto runOn(std::size_t Index, Function Callback) -> void {
    EntryOutbox Out;
    Callback(*Entries_[Index], Out);
    performAll(Index, std::move(Out));
  }

  std::array<std::unique_ptr<EntryCore>, EntryCount> Entries_;
  std::array<bool, EntryCount> StoreUnreachable_{};
  /// Entries whose processes are paused: they don't tick, and lose messages.
  std::array<bool, EntryCount> Paused_{};
  std::array<std::uint32_t, EntryCount> Capacities_{1000, 1000};
  std::vector<BindTask> Binds_;
  std::vector<TaskReportAck> Acks_;
  std::vector<StopTask> Stops_;
  std::vector<TimePoint> StopTimes_;
  /// The entry whose messages to the agent are lost; EntryCount for none.
  std::size_t SilentEntry_ = EntryCount;
  std::string AgentName_ = "agent";
  /// How often a task of the queue may fail, in the next configuration.
  std::uint32_t FailureLimit_ = QueueDeclaration{}.FailureLimit_;
  /// Whether the agent confirms owners.
  bool ConfirmsClaims_ = true;
  std::vector<LogDecision> Log_;
  auto boundAttempts() const -> std::vector<AttemptNumber> {
    std::vector<AttemptNumber> Attempts;
    for (const auto &Each : Binds_)
      Attempts.push_back(Each.Attempt_);
    return Attempts;
  }
  int Claims_ = 0;
  /// What the agent lists when it confirms an owner.
  std::vector<TaskReport> HeldTasks_;
  /// Whether its worker has ended attempts that aren't among HeldTasks_.
  bool MoreEnds_ = false;
  /// The worker's capacity as the agent's heartbeats state it.
  std::optional<Resources> Capacity_;
  /// Whether the configuration changes again and again as time advances.
  bool ChangesConfiguration_ = false;
  /// When the agent got grants to run the shard's tasks.
  std::vector<TimePoint> RunGrantTimes_;
  /// Addresses of the entries in the last list that the agent got.
  std::vector<std::string> KnownAddresses_;
  Moment Now_{TimePoint(Seconds{100}), WallTime(Seconds{1000})};

private:
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
    Configured.Text_ = "document " + std::to_string(++StoredRevision_);
    Configured.DataCentres_ = {{"hobart"}};
    Configured.Policy_ = policy();
    QueueDeclaration Queue;
    Queue.Name_ = {"queue"};
    Queue.Host_ = "portal.example";
    Queue.PathPrefix_ = "/jobs/";
    Queue.Service_ = {"portal"};
    Queue.FailureLimit_ = FailureLimit_;
    Configured.Queues_ = {Queue};
    EnvironmentHead Head;
    Head.Revision_ = StoredRevision_;
    Head.DocumentDigest_ = digestText(Configured.Text_);
    Store_.apply(Micros{0},
                 WriteValue{documentKey(Head.DocumentDigest_), Configured});
    Store_.apply(Micros{0}, WriteValue{headKey({"test"}), Head});
  }

  auto sendFromAgent(std::size_t Index, const AgentMessage &Message) -> void {
    if (Entries_[Index] && !Paused_[Index])
      runOn(Index, [&](EntryCore &Core, EntryOutbox &Out) {
        Core.agentSent(Now_, Session_, Message, Out);
      });
  }
  auto sendHeartbeats() -> void {
    Heartbeat Message;
    Message.Sequence_ = static_cast<std::uint64_t>(Ticks_);
    Message.Revision_ = 1;
    Message.Load_.Free_ = {4000, 8000, 0};
    Message.Capacity_ = Capacity_;
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      sendFromAgent(Index, Message);
  }

  auto performAll(std::size_t From, EntryOutbox Out) -> void {
    for (auto &Each : Out)
      std::visit([&](auto &Action) { this->perform(From, Action); }, Each);
  }
  auto perform(std::size_t From, const CallStore &Call) -> void {
    StoreResult Result;
    if (!StoreUnreachable_[From])
      Result = Store_.apply(
          std::chrono::duration_cast<Micros>(Now_.Steady_.time_since_epoch()),
          Call.Operation_);
    Result.Call_ = Call.Call_;
    runOn(From, [&](EntryCore &Core, EntryOutbox &Out) {
      Core.storeAnswered(Now_, Result, Out);
    });
  }
  auto perform(std::size_t From, const SendToPeer &Send) -> void {
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      if (entryIdOf(Index) == Send.Entry_ && Entries_[Index] && !Paused_[Index])
        runOn(Index, [&](EntryCore &Core, EntryOutbox &Out) {
          Core.peerSent(Now_, entryIdOf(From), Send.Message_, Out);
        });
  }
  auto perform(std::size_t From, const SendToAgent &Send) -> void {
    if (Send.Session_ != Session_ || Worker_ == 0 || SilentEntry_ == From)
      return;
    if (const auto *Bind = std::get_if<BindTask>(&Send.Message_))
      Binds_.push_back(*Bind);
    if (const auto *Ack = std::get_if<TaskReportAck>(&Send.Message_))
      Acks_.push_back(*Ack);
    if (const auto *Ack = std::get_if<HeartbeatAck>(&Send.Message_))
      if (!Ack->Shards_.empty() && Ack->RunGrantDuration_ > Millis{0})
        RunGrantTimes_.push_back(Now_.Steady_);
    if (const auto *Stop = std::get_if<StopTask>(&Send.Message_)) {
      Stops_.push_back(*Stop);
      StopTimes_.push_back(Now_.Steady_);
    }
    if (const auto *KnownList = std::get_if<KnownEntries>(&Send.Message_))
      KnownAddresses_ = KnownList->Addresses_;
    if (std::holds_alternative<ClaimOwnership>(Send.Message_))
      ++Claims_;
    const auto *Claim = std::get_if<ClaimOwnership>(&Send.Message_);
    if (Claim != nullptr && ConfirmsClaims_)
      confirm(From, *Claim);
  }
  auto perform(std::size_t /*From*/, const AnswerCaller &Answer) -> void {
    Replies_[Answer.Token_] = Answer.Reply_;
  }
  auto perform(std::size_t /*From*/, const LogDecision &Decision) -> void {
    Log_.push_back(Decision);
  }
  template <typename Other>
  auto perform(std::size_t /*From*/, const Other & /*Each*/) -> void {}

  auto confirm(std::size_t To, const ClaimOwnership &Claim) -> void {
    LastClaim_ = Claim;
    ConfirmOwnership Confirm;
    Confirm.Shard_ = Claim.Shard_;
    Confirm.Epoch_ = Claim.Epoch_;
    Confirm.Worker_ = Worker_;
    Confirm.HeldTasks_ = HeldTasks_;
    Confirm.MoreEnds_ = MoreEnds_;
    sendFromAgent(To, Confirm);
  }

  ClaimOwnership LastClaim_;
  Fuzz::FakeStore Store_;
  std::map<CallerToken, CallerReply> Replies_;
  CallerToken LastToken_ = 0;
  Revision StoredRevision_ = 0;
  Incarnation LastIncarnation_ = 0;
  Incarnation Worker_ = 0;
  SessionNumber Session_ = 0;
  int Ticks_ = 0;
};

inline auto isJobState(const CallerReply *Reply) -> bool {
  return Reply != nullptr && std::holds_alternative<JobStateReply>(*Reply);
}

} // namespace skylark
