#include "test/fuzz/LivesOwner.h"

#include "test/fuzz/VirtualWorker.h"

#include <algorithm>

namespace skylark::Fuzz {
namespace {

constexpr Revision CurrentRevision = 3;
constexpr Millis StartGrant{2000};
constexpr Millis RunGrant =
    std::chrono::duration_cast<Millis>(VirtualWorker::LongestGrant);
/// When what was granted has surely expired, on any clock.
constexpr Micros GrantHorizon{RunGrant * 103 / 100 + Millis{100}};
constexpr Micros RepeatInterval{Millis{250}};
/// Of 100 bindings that would be repeated, how many are stopped instead.
constexpr std::uint32_t StoppedPercent = 3;

} // namespace

LivesOwner::LivesOwner(VirtualTime &Time, RunLog &Log, Sender ToAgent)
    : Time_(Time), Log_(Log), ToAgent_(std::move(ToAgent)) {
  Time_.after(RepeatInterval, [this] { repeat(); });
}

auto LivesOwner::receive(std::size_t From, SessionNumber Session,
                         const AgentMessage &Message) -> void {
  auto &Agent = Agents_[From];
  if (std::holds_alternative<Hello>(Message)) {
    Agent.Session_ = Session;
    Agent.IsConfirmed_ = false;
    Agent.Sequence_ = 0;
  }
  if (Session == Agent.Session_)
    std::visit([&](const auto &Each) { handle(From, Each); }, Message);
}

auto LivesOwner::submit(std::size_t ToAgent) -> void {
  const TaskId Id{{"job"}, static_cast<std::uint32_t>(Tasks_.size())};
  auto &Each = Tasks_[Id];
  Each.Agent_ = ToAgent;
  sendBinding(Id, Each);
}

auto LivesOwner::unfinished() const -> std::size_t {
  return std::count_if(Tasks_.begin(), Tasks_.end(), [](const auto &Each) {
    return !Each.second.IsFinished_;
  });
}

auto LivesOwner::sendBinding(const TaskId &Id, Task &Each) -> void {
  auto &To = Agents_[Each.Agent_];
  if (!To.IsConfirmed_)
    return;
  Each.Worker_ = To.Worker_;
  BindTask Bind;
  Bind.Sequence_ = ++To.Sequence_;
  Bind.Epoch_ = 1;
  Bind.Worker_ = To.Worker_;
  Bind.Task_ = Id;
  Bind.Attempt_ = Each.Attempt_;
  Bind.Resources_ = {100, 100, 0};
  send(Each.Agent_, Bind);
}

auto LivesOwner::sendStop(const TaskId &Id, const Task &Each, ErrorKind Reason)
    -> void {
  StopTask Stop;
  Stop.Epoch_ = 1;
  Stop.Task_ = Id;
  Stop.Attempt_ = Each.Attempt_;
  Stop.Reason_ = Reason;
  send(Each.Agent_, Stop);
}

auto LivesOwner::attemptEnded(const TaskId &Id, Task &Each) -> void {
  if (Each.IsFinished_) {
    Each.IsBound_ = false;
    return;
  }
  Each.Agent_ = AgentCount - 1 - Each.Agent_;
  Each.Worker_ = 0;
  ++Each.Attempt_;
  sendBinding(Id, Each);
}

auto LivesOwner::repeat() -> void {
  for (auto &[Id, Each] : Tasks_) {
    if (!Each.IsBound_)
      continue;
    const auto &To = Agents_[Each.Agent_];
    if (To.GrantedAt_ + GrantHorizon < Time_.now())
      attemptEnded(Id, Each);
    else if (!Each.IsFinished_ && Time_.chance(StoppedPercent))
      sendStop(Id, Each, ErrorKind::Evicted);
    else if (!Each.IsFinished_)
      sendBinding(Id, Each);
  }
  Time_.after(RepeatInterval, [this] { repeat(); });
}

auto LivesOwner::handle(std::size_t From, const Hello &Message) -> void {
  auto &Agent = Agents_[From];
  const auto Name = "agent " + std::to_string(From);
  const auto Labels =
      std::vector<std::string>{VirtualWorker::label(Message.Worker_)};
  if (Message.Labels_ != Labels)
    Log_.violate(Name + " describes life " + std::to_string(Message.Worker_) +
                 " as " +
                 (Message.Labels_.empty() ? "none" : Message.Labels_.front()));
  if (Message.Worker_ < Agent.Worker_)
    Log_.violate(Name + " names life " + std::to_string(Message.Worker_) +
                 " after " + std::to_string(Agent.Worker_));
  Agent.Worker_ = Message.Worker_;
  ConfigurationUpdate Update;
  Update.Configuration_.Head_.Revision_ = CurrentRevision;
  Update.Configuration_.Document_.DataCentres_ = {{"hobart"}};
  send(From, Update);
  send(From, ClaimOwnership{0, 1});
  // What the former life ran has ended with it.
  for (auto &[Id, Each] : Tasks_)
    if (Each.IsBound_ && Each.Agent_ == From && Each.Worker_ != 0 &&
        Each.Worker_ < Agent.Worker_)
      attemptEnded(Id, Each);
}

auto LivesOwner::handle(std::size_t From, const ConfirmOwnership &Message)
    -> void {
  Agents_[From].IsConfirmed_ = true;
  for (const auto &Each : Message.HeldTasks_)
    handle(From, Each);
}

auto LivesOwner::handle(std::size_t From, const Heartbeat &Message) -> void {
  auto &Agent = Agents_[From];
  HeartbeatAck Ack;
  Ack.Sequence_ = Message.Sequence_;
  Ack.Revision_ = CurrentRevision;
  Ack.AsOf_ = CurrentRevision;
  Ack.StartGrantDuration_ = StartGrant;
  Ack.RunGrantDuration_ = RunGrant;
  if (Agent.IsConfirmed_)
    Ack.Shards_ = {0};
  Ack.ViewFresh_ = true;
  Agent.GrantedAt_ = Time_.now();
  send(From, Ack);
}

auto LivesOwner::handle(std::size_t From, const TaskReport &Report) -> void {
  const auto Found = Tasks_.find(Report.Task_);
  if (!isEnded(Report.Phase_) || Found == Tasks_.end())
    return;
  auto &Each = Found->second;
  if (Report.Phase_ == TaskPhase::Finished)
    Each.IsFinished_ = true;
  if (Each.IsBound_ && Each.Agent_ == From && Each.Attempt_ == Report.Attempt_)
    attemptEnded(Report.Task_, Each);
  // While another attempt may still start, the finish must stay known.
  if (Report.Phase_ == TaskPhase::Finished && Each.IsBound_) {
    sendStop(Report.Task_, Each, ErrorKind::Cancelled);
    return;
  }
  send(From, TaskReportAck{Report.Task_, Report.Attempt_, Report.Phase_});
}

} // namespace skylark::Fuzz
