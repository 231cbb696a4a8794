#include "core/AgentCore.h"

#include "core/Assert.h"
#include "core/GrantBarrier.h"
#include "core/Mutation.h"

namespace skylark {
namespace {

constexpr Millis PollInterval{500};
/// Poll interval while the ends of tasks await the owner's acknowledgement.
constexpr Millis UnacknowledgedEndPollInterval{50};
/// A poll that took at least this long was held open by the worker (a long
/// poll).
constexpr Millis LongPollThreshold{100};
constexpr Millis ReportResendInterval{1000};
/// Polls that a worker may leave unanswered before it counts as lost.
constexpr int MaxUnansweredPolls = 3;
/// Interval between pacing decisions. The worker's measurements cover about
/// this much time.
constexpr Millis PacingInterval{400};
/// Time that a worker which has announced its exit may take to end its tasks.
constexpr Millis WorkerExitTimeout{1000};

} // namespace

AgentCore::AgentCore(AgentIdentity Identity)
    : Identity_(std::move(Identity)), Tasks_(Identity_.Capacity_),
      Requests_(Identity_.Limits_),
      CapacityKnown_(!Identity_.WorkerAnnounces_) {}

auto AgentCore::openSession(Moment Now, SessionNumber Number, AgentOutbox &Out)
    -> void {
  Sessions_[Number].LastSeenAt_ = Now.Steady_;
  // Until it has the worker's inventory the agent can't report which tasks it
  // holds, so it doesn't register with the entries.
  if (Ready_)
    sendHello(Number, Out);
}

auto AgentCore::closeSession(Moment /*Now*/, SessionNumber Number) -> void {
  Sessions_.erase(Number);
  Permits_.close(Number);
  Tasks_.close(Number);
}

auto AgentCore::receive(Moment Now, SessionNumber Number,
                        const EntryMessage &Message, AgentOutbox &Out) -> void {
  const auto Found = Sessions_.find(Number);
  if (Found == Sessions_.end() || !Ready_)
    return;
  Found->second.LastSeenAt_ = Now.Steady_;
  Tasks_.refreshLeases(Now.Steady_, Permits_, Out);
  std::visit([&](const auto &Each) { handle(Now, Number, Each, Out); },
             Message);
}

auto AgentCore::sendHello(SessionNumber Number, AgentOutbox &Out) -> void {
  Hello Message;
  Message.Agent_ = Identity_.Agent_;
  Message.Incarnation_ = Identity_.Incarnation_;
  Message.Worker_ = Tasks_.worker();
  Message.DataCentre_ = Identity_.DataCentre_;
  Message.Rack_ = Identity_.Rack_;
  Message.Capacity_ = Identity_.Capacity_;
  Message.Slots_ = Identity_.Limits_.Slots_;
  Message.Connections_ = Identity_.Limits_.Connections_;
  Message.Services_ = Identity_.Services_;
  Message.Labels_ = Identity_.Labels_;
  Message.Revision_ = CurrentConfiguration_.Head_.Revision_;
  Out.push_back(SendToEntry{Number, std::move(Message)});
}

auto AgentCore::load() const -> AgentLoad {
  AgentLoad Load;
  Load.Running_ = Requests_.running();
  Load.Queued_ = Requests_.queued();
  Load.ServiceTime_ = Requests_.serviceTime();
  Load.Free_ = Tasks_.free();
  Load.TasksQueued_ = Tasks_.queued();
  return Load;
}

auto AgentCore::sendHeartbeat(Moment Now, SessionNumber Number,
                              AgentOutbox &Out) -> void {
  auto &Session = Sessions_[Number];
  Heartbeat Message;
  Message.Sequence_ = ++Session.HeartbeatSequence_;
  Message.Revision_ = CurrentConfiguration_.Head_.Revision_;
  Message.InForceRevision_ = Tasks_.revisionInForce(Message.Revision_);
  Message.Load_ = load();
  Message.Capacity_ = Identity_.Capacity_;
  Message.Leaving_ = leaving();
  Message.OtherEntryViewFresh_ = Permits_.isOtherEntryViewFresh(
      Now.Steady_, Number,
      CurrentConfiguration_.Document_.Policy_.FreshnessWindow_);
  Session.HeartbeatSentAt_[Message.Sequence_] = Now.Steady_;
  constexpr std::size_t MaxPendingHeartbeats = 64;
  if (Session.HeartbeatSentAt_.size() > MaxPendingHeartbeats)
    Session.HeartbeatSentAt_.erase(Session.HeartbeatSentAt_.begin());
  Out.push_back(SendToEntry{Number, Message});
}

auto AgentCore::sendHeartbeats(Moment Now, AgentOutbox &Out) -> void {
  NextHeartbeat_ = Now.Steady_ + AgentHeartbeatInterval;
  for (const auto &Each : Sessions_)
    sendHeartbeat(Now, Each.first, Out);
}

auto AgentCore::handle(Moment Now, SessionNumber Number,
                       const HeartbeatAck &Ack, AgentOutbox &Out) -> void {
  auto &Session = Sessions_[Number];
  const auto Sent = Session.HeartbeatSentAt_.find(Ack.Sequence_);
  if (Sent == Session.HeartbeatSentAt_.end())
    return;
  Permits_.grant(Number, Sent->second, Ack);
  Session.HeartbeatSentAt_.erase(Session.HeartbeatSentAt_.begin(),
                                 std::next(Sent));
  // An entry that was started while the store is unreachable gets the
  // configuration from its agents.
  const auto Known = CurrentConfiguration_.Head_.Revision_;
  if (Ack.AsOf_ < Known && Session.ConfigurationSentRevision_ < Known) {
    Session.ConfigurationSentRevision_ = Known;
    Out.push_back(
        SendToEntry{Number, ConfigurationUpdate{CurrentConfiguration_}});
  }
  (void)Now;
}

auto AgentCore::handle(Moment /*Now*/, SessionNumber /*Number*/,
                       const ConfigurationUpdate &Update, AgentOutbox &Out)
    -> void {
  const auto &Next = Update.Configuration_;
  if (Next.Head_.Revision_ <= CurrentConfiguration_.Head_.Revision_)
    return;
  CurrentConfiguration_ = Next;
  Requests_.refuseNew(refusalReason());
  Out.push_back(LogDecision{"configuration-applied", Identity_.Agent_.Value_,
                            CurrentConfiguration_.Head_.Revision_,
                            ErrorKind::None, ""});
}

auto AgentCore::refusalReason() const -> ErrorKind {
  if (leaving())
    return ErrorKind::TargetLeaving;
  if (CurrentConfiguration_.Head_.isOut(Identity_.DataCentre_))
    return ErrorKind::DataCentreOut;
  return ErrorKind::None;
}

auto AgentCore::handle(Moment /*Now*/, SessionNumber Number,
                       const ClaimOwnership &Claim, AgentOutbox &Out) -> void {
  Tasks_.claim(Number, Claim, Out);
}

auto AgentCore::isDuplicate(SessionNumber Number, std::uint64_t Sequence)
    -> bool {
  auto &Session = Sessions_[Number];
  if (isMutationActive(Mutation::AcceptDuplicates))
    return false;
  if (Sequence <= Session.LastWorkSequence_)
    return true;
  Session.LastWorkSequence_ = Sequence;
  return false;
}

auto AgentCore::handle(Moment /*Now*/, SessionNumber /*Number*/,
                       const InterferenceTable &Table, AgentOutbox & /*Out*/)
    -> void {
  Tasks_.adoptInterference(Table);
}

auto AgentCore::handle(Moment /*Now*/, SessionNumber /*Number*/,
                       const KnownEntries &Entries, AgentOutbox &Out) -> void {
  Out.push_back(ConnectEntries{Entries.Addresses_});
}

auto AgentCore::handle(Moment Now, SessionNumber Number, const BindTask &Bind,
                       AgentOutbox &Out) -> void {
  if (isDuplicate(Number, Bind.Sequence_))
    return;
  Tasks_.bind(Now.Steady_, Number, Bind, Permits_, Out);
  startQueued(Now, Out);
}

auto AgentCore::handle(Moment Now, SessionNumber /*Number*/,
                       const StopTask &Stop, AgentOutbox &Out) -> void {
  Tasks_.stop(Now.Steady_, Stop, Out);
}

auto AgentCore::handle(Moment Now, SessionNumber /*Number*/,
                       const TaskReportAck &Ack, AgentOutbox &Out) -> void {
  const auto HadUnacknowledgedEnds = Tasks_.hasUnacknowledgedEnds();
  Tasks_.acknowledge(Ack, Out);
  if (HadUnacknowledgedEnds && !Tasks_.hasUnacknowledgedEnds() &&
      UnansweredPolls_ == 0)
    pollWorker(Now, Out);
}

auto AgentCore::handle(Moment Now, SessionNumber Number,
                       const DispatchRequest &Dispatch, AgentOutbox &Out)
    -> void {
  if (!isDuplicate(Number, Dispatch.Sequence_))
    Requests_.admit(Now.Steady_, Number, Dispatch, Out);
}

auto AgentCore::handle(Moment /*Now*/, SessionNumber Number,
                       const CancelDispatch &Cancel, AgentOutbox &Out) -> void {
  Requests_.cancel(Number, Cancel.Request_, Out);
}

auto AgentCore::becomeReady(AgentOutbox &Out) -> void {
  if (Ready_ || !CapacityKnown_ || !InventoryReceived_)
    return;
  Ready_ = true;
  for (const auto &Each : Sessions_)
    sendHello(Each.first, Out);
}

auto AgentCore::isOfAnotherLife(Incarnation Worker) const -> bool {
  return (AnnouncedIncarnation_ != 0 && Worker != AnnouncedIncarnation_) ||
         (InventoryReceived_ && Worker != Tasks_.worker());
}

auto AgentCore::restart(const std::string &Detail, AgentOutbox &Out) const
    -> void {
  Out.push_back(LogDecision{"worker-replaced", Identity_.Agent_.Value_,
                            CurrentConfiguration_.Head_.Revision_,
                            ErrorKind::WorkerGone, Detail});
  Out.push_back(RestartAgent{});
}

auto AgentCore::stopStrayTasks(Moment Now, const WorkerInventory &Inventory,
                               AgentOutbox &Out) -> bool {
  if (!Identity_.WorkerStartedAnew_)
    return false;
  auto Found = false;
  for (const auto &Each : Inventory.Tasks_) {
    if (isEnded(Each.Phase_))
      continue;
    Found = true;
    const auto &Bind = Each.Bind_;
    Out.push_back(LogDecision{"stray-task-stopped", Bind.Task_.text(), 0,
                              ErrorKind::StaleIncarnation,
                              "attempt " + std::to_string(Bind.Attempt_) +
                                  " was ordered for an earlier life"});
    Out.push_back(StopOnWorker{Bind.Task_, Bind.Attempt_});
  }
  if (Found)
    NextPoll_ =
        std::min(NextPoll_, Now.Steady_ + UnacknowledgedEndPollInterval);
  return Found;
}

auto AgentCore::inventoryReceived(Moment Now, const WorkerInventory &Inventory,
                                  AgentOutbox &Out) -> void {
  if (!Inventory.Complete_ && isMutationActive(Mutation::TakeListForWhole)) {
    inventoryReceived(
        Now, {Inventory.Worker_, Inventory.Clock_, Inventory.Tasks_}, Out);
    return;
  }
  UnansweredPolls_ = 0;
  if (isOfAnotherLife(Inventory.Worker_)) {
    restart("", Out);
    return;
  }
  if (!InventoryReceived_) {
    if (stopStrayTasks(Now, Inventory, Out))
      return;
    Tasks_.adopt(
        Now.Steady_,
        isMutationActive(Mutation::ForgetRunningTasks)
            ? WorkerInventory{Inventory.Worker_, Inventory.Clock_, {}}
            : Inventory,
        {Now.Steady_ + Identity_.LongestLease_, Identity_.LongestStop_});
    InventoryReceived_ = true;
    becomeReady(Out);
  }
  LastInventoryAt_ = Now.Steady_;
  if (Tasks_.update(Now.Steady_, Inventory, Out))
    startQueued(Now, Out);
  Tasks_.fenceRefusedStarts(Now.Steady_, !WorkerUnresponsive_, Out);
  scheduleNextPoll(Now, Out);
  if (Now.Steady_ >= NextPacing_) {
    NextPacing_ = Now.Steady_ + PacingInterval;
    Tasks_.paceBestEffort(Now.Steady_, Inventory, Out);
  }
}

auto AgentCore::announcementReceived(Moment Now,
                                     const WorkerAnnouncement &Announcement,
                                     AgentOutbox &Out) -> void {
  if (isOfAnotherLife(Announcement.Worker_)) {
    restart("announced", Out);
    return;
  }
  if (Announcement.Exited_) {
    workerDeregistered(Now, Out);
    return;
  }
  AnnouncedIncarnation_ = Announcement.Worker_;
  const auto CapacityChanged = !(Identity_.Capacity_ == Announcement.Capacity_);
  Identity_.Capacity_ = Announcement.Capacity_;
  Identity_.Rack_ = Announcement.Rack_;
  Identity_.Labels_ = Announcement.Labels_;
  Identity_.Services_ = {Announcement.Service_};
  Tasks_.resize(Now.Steady_, Announcement.Capacity_);
  CapacityKnown_ = true;
  becomeReady(Out);
  const auto Leaving = Announcement.Leaving_;
  if (Leaving != WorkerLeaving_) {
    WorkerLeaving_ = Leaving;
    Requests_.refuseNew(refusalReason());
    Out.push_back(LogDecision{
        Leaving ? "worker-leaving" : "worker-stays", Identity_.Agent_.Value_,
        CurrentConfiguration_.Head_.Revision_, ErrorKind::None, ""});
  } else if (!CapacityChanged) {
    return;
  }
  // The heartbeat precedes the returned tasks, or the owner would bind them to
  // this worker again.
  if (Ready_)
    sendHeartbeats(Now, Out);
  Tasks_.returnUnplaceable(Now.Steady_, Out);
}

auto AgentCore::workerDeregistered(Moment Now, AgentOutbox &Out) -> void {
  // A worker announces that it is leaving before it exits.
  if (!WorkerLeaving_)
    Out.push_back(LogDecision{"deregistration-ignored", Identity_.Agent_.Value_,
                              CurrentConfiguration_.Head_.Revision_,
                              ErrorKind::StaleIncarnation, ""});
  else if (WorkerExitDeadline_ == TimePoint::max())
    WorkerExitDeadline_ = Now.Steady_ + WorkerExitTimeout;
}

auto AgentCore::startAnswered(Moment Now, const TaskId &Task,
                              AttemptNumber Attempt, StartOutcome Outcome,
                              AgentOutbox &Out) -> void {
  // A start command is not repeated where nothing may start any more. Its lease
  // expires soon, and the task then counts as not started.
  if (Outcome == StartOutcome::Unknown && refusalReason() != ErrorKind::None)
    return;
  Tasks_.startAnswered(Now.Steady_, Task, Attempt, Outcome, Permits_, Out);
  Tasks_.fenceRefusedStarts(Now.Steady_, !WorkerUnresponsive_, Out);
}

auto AgentCore::stopAnswered(Moment Now, const TaskId &Task,
                             AttemptNumber Attempt, AgentOutbox &Out) -> void {
  Tasks_.stopAnswered(Now.Steady_, Task, Attempt, Out);
}

auto AgentCore::scheduleNextPoll(Moment Now, AgentOutbox &Out) -> void {
  // A worker that holds a poll open until a task ends (long polling) always has
  // one open, so that ends are reported without delay. It answers at once while
  // its inventory lists ends that the owner has not acknowledged; then the next
  // poll follows after a short interval, or upon the acknowledgement.
  if (Tasks_.hasUnacknowledgedEnds())
    NextPoll_ =
        std::min(NextPoll_, Now.Steady_ + UnacknowledgedEndPollInterval);
  else if (Now.Steady_ - LastPollAt_ >= LongPollThreshold)
    pollWorker(Now, Out);
}

auto AgentCore::pollWorker(Moment Now, AgentOutbox &Out) -> void {
  NextPoll_ = Now.Steady_ + PollInterval;
  LastPollAt_ = Now.Steady_;
  ++UnansweredPolls_;
  Tasks_.poll(Now.Steady_, !WorkerUnresponsive_, Out);
}

auto AgentCore::checkWorkerLiveness(Moment Now, AgentOutbox &Out) -> void {
  // Counted in polls, not in time: an agent that was itself suspended has to
  // poll again before it may declare the worker lost.
  const auto Unresponsive =
      InventoryReceived_ && UnansweredPolls_ > MaxUnansweredPolls;
  if (Unresponsive != WorkerUnresponsive_) {
    WorkerUnresponsive_ = Unresponsive;
    Out.push_back(LogDecision{Unresponsive ? "worker-lost" : "worker-regained",
                              Identity_.Agent_.Value_,
                              CurrentConfiguration_.Head_.Revision_,
                              ErrorKind::None, ""});
    sendHeartbeats(Now, Out);
  }
  const auto StillAnswers =
      LastInventoryAt_ + WorkerExitTimeout / 2 > WorkerExitDeadline_;
  if (Now.Steady_ >= WorkerExitDeadline_ && StillAnswers)
    WorkerExitDeadline_ = TimePoint::max();
  // An unreachable worker stops every task by itself when its lease expires.
  const auto LeasesExpired =
      WorkerUnresponsive_ && Now.Steady_ > Tasks_.latestLeaseEnd();
  if (LeasesExpired || Now.Steady_ >= WorkerExitDeadline_)
    Tasks_.endAllTasks(Out);
}

auto AgentCore::targetAnswered(Moment Now, const TargetResult &Result,
                               AgentOutbox &Out) -> void {
  Requests_.finish(Now.Steady_, Result, Out);
}

auto AgentCore::tick(Moment Now, AgentOutbox &Out) -> void {
  Tasks_.refreshLeases(Now.Steady_, Permits_, Out);
  // While a poll is unanswered, the next one follows only after the regular
  // interval: polls in quick succession would soon exceed MaxUnansweredPolls
  // and make a worker that holds a poll open count as lost.
  const auto PollDue = UnansweredPolls_ == 0
                           ? NextPoll_
                           : std::max(NextPoll_, LastPollAt_ + PollInterval);
  if (Now.Steady_ >= PollDue)
    pollWorker(Now, Out);
  checkWorkerLiveness(Now, Out);
  if (!Ready_)
    return;
  if (Now.Steady_ >= NextHeartbeat_)
    sendHeartbeats(Now, Out);
  if (Now.Steady_ >= NextReportResend_) {
    NextReportResend_ = Now.Steady_ + ReportResendInterval;
    Tasks_.resendReports(Out);
  }
  Tasks_.repeatStops(Now.Steady_, Out);
  if (refusalReason() == ErrorKind::None)
    Tasks_.repeatStarts(Now.Steady_, Permits_, Out);
  startQueued(Now, Out);
  Requests_.advance(Now.Steady_, Out);
  if (Leaving_ && !ExitSent_ && Requests_.idle() && Tasks_.empty()) {
    ExitSent_ = true;
    Out.push_back(ExitProcess{});
  }
}

auto AgentCore::startQueued(Moment Now, AgentOutbox &Out) -> void {
  const auto Reason = refusalReason();
  const auto OutWithoutMove =
      Reason == ErrorKind::DataCentreOut &&
      !CurrentConfiguration_.Document_.Policy_.MoveWhenOut_;
  // Tasks on a worker that doesn't respond may still be running. They are not
  // stopped before their leases expire.
  const auto OnlyUnresponsive =
      WorkerUnresponsive_ && !Leaving_ && !WorkerLeaving_;
  const auto KeepRunning = OutWithoutMove || OnlyUnresponsive;
  if (Reason != ErrorKind::None && !KeepRunning)
    Tasks_.drain(Reason, Out);
  else if (KeepRunning)
    Tasks_.returnQueued(Reason, Out);
  else
    Tasks_.startQueued(Now.Steady_, Permits_,
                       CurrentConfiguration_.Head_.Revision_, Out);
}

auto AgentCore::leave(Moment Now, AgentOutbox &Out) -> void {
  Leaving_ = true;
  Requests_.refuseNew(refusalReason());
  sendHeartbeats(Now, Out);
}

auto AgentCore::unresponsiveSessions(Moment Now) const
    -> std::vector<SessionNumber> {
  std::vector<SessionNumber> Unresponsive;
  const auto Timeout = CurrentConfiguration_.Document_.Policy_.SilenceTimeout_;
  for (const auto &[Number, Session] : Sessions_)
    if (Ready_ && Session.LastSeenAt_ + Timeout < Now.Steady_)
      Unresponsive.push_back(Number);
  return Unresponsive;
}

} // namespace skylark
