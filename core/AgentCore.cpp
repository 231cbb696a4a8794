#include "core/AgentCore.h"

#include "core/Assert.h"
#include "core/Mutation.h"

namespace skylark {
namespace {

constexpr Millis HeartbeatEvery{500};
constexpr Millis PollEvery{500};
/// Pause between looks while ends wait for the owner's acknowledgement.
constexpr Millis LookGap{50};
/// A look that took this long was kept open by the worker.
constexpr Millis HeldOpenFor{100};
constexpr Millis RepeatEvery{1000};
/// Looks that a worker may leave unanswered before it counts as lost.
constexpr int SilentLooks = 3;
/// The worker's figures cover about this much time.
constexpr Millis GuardEvery{400};
/// How long a worker that has said goodbye may take to end what it runs.
constexpr Millis WorkerEndsWithin{1000};

} // namespace

AgentCore::AgentCore(AgentIdentity Identity)
    : Identity_(std::move(Identity)), Tasks_(Identity_.Capacity_),
      Requests_(Identity_.Limits_), Announced_(!Identity_.WorkerAnnounces_) {}

auto AgentCore::openSession(Moment Now, SessionNumber Number, AgentOutbox &Out)
    -> void {
  Sessions_[Number].HeardAt_ = Now.Steady_;
  // Before the worker's list is known the agent can't say what it holds, so
  // it stays unknown to the entries.
  if (Ready_)
    sayHello(Number, Out);
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
  Found->second.HeardAt_ = Now.Steady_;
  Tasks_.refreshLeases(Now.Steady_, Permits_, Out);
  std::visit([&](const auto &Each) { handle(Now, Number, Each, Out); },
             Message);
}

auto AgentCore::sayHello(SessionNumber Number, AgentOutbox &Out) -> void {
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
  Message.Revision_ = Current_.Head_.Revision_;
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
  Message.Revision_ = Current_.Head_.Revision_;
  Message.InForceRevision_ = Tasks_.revisionInForce(Message.Revision_);
  Message.Load_ = load();
  Message.Leaving_ = leaving();
  Message.OtherEntryFresh_ = Permits_.otherFresh(
      Now.Steady_, Number, Current_.Document_.Policy_.FreshFor_);
  Session.SentAt_[Message.Sequence_] = Now.Steady_;
  constexpr std::size_t RememberedHeartbeats = 64;
  if (Session.SentAt_.size() > RememberedHeartbeats)
    Session.SentAt_.erase(Session.SentAt_.begin());
  Out.push_back(SendToEntry{Number, Message});
}

auto AgentCore::sendHeartbeats(Moment Now, AgentOutbox &Out) -> void {
  NextHeartbeat_ = Now.Steady_ + HeartbeatEvery;
  for (const auto &Each : Sessions_)
    sendHeartbeat(Now, Each.first, Out);
}

auto AgentCore::handle(Moment Now, SessionNumber Number,
                       const HeartbeatAck &Ack, AgentOutbox &Out) -> void {
  auto &Session = Sessions_[Number];
  const auto Sent = Session.SentAt_.find(Ack.Sequence_);
  if (Sent == Session.SentAt_.end())
    return;
  Permits_.grant(Number, Sent->second, Ack);
  Session.SentAt_.erase(Session.SentAt_.begin(), std::next(Sent));
  // An entry that was born while the store is down learns the configuration
  // from its agents.
  if (Ack.AsOf_ < Current_.Head_.Revision_ && !Session.ConfigurationSent_) {
    Session.ConfigurationSent_ = true;
    Out.push_back(SendToEntry{Number, ConfigurationUpdate{Current_}});
  }
  if (Ack.AsOf_ >= Current_.Head_.Revision_)
    Session.ConfigurationSent_ = false;
  (void)Now;
}

auto AgentCore::handle(Moment /*Now*/, SessionNumber /*Number*/,
                       const ConfigurationUpdate &Update, AgentOutbox &Out)
    -> void {
  const auto &Next = Update.Configuration_;
  if (Next.Head_.Revision_ <= Current_.Head_.Revision_)
    return;
  Current_ = Next;
  Requests_.refuseNew(refuseReason());
  Out.push_back(LogDecision{"configuration-applied", Identity_.Agent_.Value_,
                            Current_.Head_.Revision_, ErrorKind::None, ""});
}

auto AgentCore::refuseReason() const -> ErrorKind {
  if (leaving())
    return ErrorKind::TargetLeaving;
  if (Current_.Head_.isOut(Identity_.DataCentre_))
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
  if (isBroken(Mutation::AcceptDuplicates))
    return false;
  if (Sequence <= Session.WorkSequence_)
    return true;
  Session.WorkSequence_ = Sequence;
  return false;
}

auto AgentCore::handle(Moment /*Now*/, SessionNumber /*Number*/,
                       const PressTable &Table, AgentOutbox & /*Out*/) -> void {
  Tasks_.learnPresses(Table);
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

auto AgentCore::handle(Moment /*Now*/, SessionNumber /*Number*/,
                       const StopTask &Stop, AgentOutbox &Out) -> void {
  Tasks_.stop(Stop, Out);
}

auto AgentCore::handle(Moment Now, SessionNumber /*Number*/,
                       const TaskReportAck &Ack, AgentOutbox &Out) -> void {
  const auto HeldEnds = Tasks_.holdsEnds();
  Tasks_.acknowledge(Ack, Out);
  if (HeldEnds && !Tasks_.holdsEnds() && OpenLooks_ == 0)
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
  if (Ready_ || !Announced_ || !Listed_)
    return;
  Ready_ = true;
  for (const auto &Each : Sessions_)
    sayHello(Each.first, Out);
}

auto AgentCore::workerListed(Moment Now, const WorkerInventory &Inventory,
                             AgentOutbox &Out) -> void {
  OpenLooks_ = 0;
  if (!Listed_) {
    Tasks_.adopt(isBroken(Mutation::ForgetRunningTasks)
                     ? WorkerInventory{Inventory.Worker_, Inventory.Clock_, {}}
                     : Inventory);
    Listed_ = true;
    becomeReady(Out);
  }
  // A worker that was replaced under a living agent is another worker.
  if (Inventory.Worker_ != Tasks_.worker()) {
    Out.push_back(LogDecision{"worker-replaced", Identity_.Agent_.Value_,
                              Current_.Head_.Revision_, ErrorKind::WorkerGone,
                              ""});
    Out.push_back(StartAnew{});
    return;
  }
  if (Tasks_.update(Now.Steady_, Inventory, Out))
    startQueued(Now, Out);
  lookAgain(Now, Out);
  if (Now.Steady_ >= NextGuard_) {
    NextGuard_ = Now.Steady_ + GuardEvery;
    Tasks_.guardServing(Now.Steady_, Inventory, Out);
  }
}

auto AgentCore::workerAnnounced(Moment Now, const WorkerAnnouncement &Announced,
                                AgentOutbox &Out) -> void {
  const auto Replaced =
      AnnouncedWorker_ != 0 && Announced.Worker_ != AnnouncedWorker_;
  if (Replaced) {
    Out.push_back(LogDecision{"worker-replaced", Identity_.Agent_.Value_,
                              Current_.Head_.Revision_, ErrorKind::WorkerGone,
                              "announced"});
    Out.push_back(StartAnew{});
    return;
  }
  AnnouncedWorker_ = Announced.Worker_;
  Identity_.Capacity_ = Announced.Capacity_;
  Identity_.Rack_ = Announced.Rack_;
  Identity_.Labels_ = Announced.Labels_;
  Identity_.Services_ = {Announced.Service_};
  Tasks_.resize(Announced.Capacity_);
  Announced_ = true;
  becomeReady(Out);
  if (Announced.Gone_ && WorkerGoneAt_ == TimePoint::max())
    WorkerGoneAt_ = Now.Steady_ + WorkerEndsWithin;
  const auto Leaving = Announced.Leaving_ || Announced.Gone_;
  if (Leaving == WorkerLeaving_)
    return;
  WorkerLeaving_ = Leaving;
  Requests_.refuseNew(refuseReason());
  Out.push_back(LogDecision{Leaving ? "worker-leaving" : "worker-stays",
                            Identity_.Agent_.Value_, Current_.Head_.Revision_,
                            ErrorKind::None, ""});
  if (Ready_)
    sendHeartbeats(Now, Out);
}

auto AgentCore::startAnswered(Moment Now, const TaskId &Task,
                              AttemptNumber Attempt, StartOutcome Outcome,
                              AgentOutbox &Out) -> void {
  // An order is not repeated where nothing may start any more; its lease ends
  // soon, and then the task counts as not started.
  if (Outcome == StartOutcome::Unknown && refuseReason() != ErrorKind::None)
    return;
  Tasks_.startAnswered(Now.Steady_, Task, Attempt, Outcome, Permits_, Out);
}

auto AgentCore::lookAgain(Moment Now, AgentOutbox &Out) -> void {
  // A worker that keeps a look open until something ends always has one, so
  // that no end waits. It doesn't while it lists ends that the owner has yet to
  // take note of: then another look follows soon, or their acknowledgement.
  if (Tasks_.holdsEnds())
    NextPoll_ = std::min(NextPoll_, Now.Steady_ + LookGap);
  else if (Now.Steady_ - LookedAt_ >= HeldOpenFor)
    pollWorker(Now, Out);
}

auto AgentCore::pollWorker(Moment Now, AgentOutbox &Out) -> void {
  NextPoll_ = Now.Steady_ + PollEvery;
  LookedAt_ = Now.Steady_;
  ++OpenLooks_;
  Tasks_.poll(Now.Steady_, !WorkerSilent_, Out);
}

auto AgentCore::watchWorker(Moment Now, AgentOutbox &Out) -> void {
  // Counted in looks, not in time: an agent that was frozen itself has to look
  // again before it judges.
  const auto Silent = Listed_ && OpenLooks_ > SilentLooks;
  if (Silent != WorkerSilent_) {
    WorkerSilent_ = Silent;
    Out.push_back(LogDecision{Silent ? "worker-lost" : "worker-regained",
                              Identity_.Agent_.Value_, Current_.Head_.Revision_,
                              ErrorKind::None, ""});
    sendHeartbeats(Now, Out);
  }
  // A worker that nobody reaches ends everything once its leases have run out.
  const auto Over = WorkerSilent_ && Now.Steady_ > Tasks_.leasesEnd();
  if (Over || Now.Steady_ >= WorkerGoneAt_)
    Tasks_.loseWorker(Out);
}

auto AgentCore::targetAnswered(Moment Now, const TargetResult &Result,
                               AgentOutbox &Out) -> void {
  Requests_.finish(Now.Steady_, Result, Out);
}

auto AgentCore::tick(Moment Now, AgentOutbox &Out) -> void {
  Tasks_.refreshLeases(Now.Steady_, Permits_, Out);
  // While a look is open, another one follows only after the usual pause: many
  // at once would soon look like a worker that doesn't answer.
  const auto LookDue =
      OpenLooks_ == 0 ? NextPoll_ : std::max(NextPoll_, LookedAt_ + PollEvery);
  if (Now.Steady_ >= LookDue)
    pollWorker(Now, Out);
  watchWorker(Now, Out);
  if (!Ready_)
    return;
  if (Now.Steady_ >= NextHeartbeat_)
    sendHeartbeats(Now, Out);
  if (Now.Steady_ >= NextRepeat_) {
    NextRepeat_ = Now.Steady_ + RepeatEvery;
    Tasks_.repeatReports(Out);
  }
  startQueued(Now, Out);
  Requests_.advance(Now.Steady_, Out);
  if (Leaving_ && !ExitSent_ && Requests_.idle() && Tasks_.empty()) {
    ExitSent_ = true;
    Out.push_back(ExitProcess{});
  }
}

auto AgentCore::startQueued(Moment Now, AgentOutbox &Out) -> void {
  const auto Reason = refuseReason();
  const auto StaysOut = Reason == ErrorKind::DataCentreOut &&
                        !Current_.Document_.Policy_.MoveWhenOut_;
  // What runs on a worker that doesn't answer may be well; its leases decide.
  const auto Unheard = WorkerSilent_ && !Leaving_ && !WorkerLeaving_;
  const auto Stays = StaysOut || Unheard;
  if (Reason != ErrorKind::None && !Stays)
    Tasks_.drain(Reason, Out);
  else if (Stays)
    Tasks_.returnQueued(Reason, Out);
  else
    Tasks_.startQueued(Now.Steady_, Permits_, Current_.Head_.Revision_, Out);
}

auto AgentCore::leave(Moment Now, AgentOutbox &Out) -> void {
  Leaving_ = true;
  Requests_.refuseNew(refuseReason());
  sendHeartbeats(Now, Out);
}

auto AgentCore::silentSessions(Moment Now) const -> std::vector<SessionNumber> {
  std::vector<SessionNumber> Silent;
  const auto Limit = Current_.Document_.Policy_.SilentAfter_;
  for (const auto &[Number, Session] : Sessions_)
    if (Ready_ && Session.HeardAt_ + Limit < Now.Steady_)
      Silent.push_back(Number);
  return Silent;
}

} // namespace skylark
