#include "core/EntryCore.h"

#include "core/Mutation.h"
#include "core/RequestRefusal.h"

#include <algorithm>
#include <utility>

namespace skylark {
namespace {

constexpr Millis RebalanceInterval{500};
constexpr Millis InterferenceTableInterval{500};
constexpr Millis ForwardTimeout{7000};
/// How long a request to a queue may take from its arrival to the answer.
constexpr Millis QueueRequestTimeout{2800};
/// A stopping entry ends by itself this long before its process may be killed.
constexpr Millis ForcedStopMargin{1500};
/// How long an agent may take to confirm a configuration until the same one is
/// sent again.
constexpr Millis ConfigurationResendInterval{1000};
/// How long expired run grants are kept. Longer than any outage horizon.
constexpr Seconds RunGrantRetention{3 * 3600};
/// The entry that issued a request id, which has the form r-ENTRY-NUMBER.
/// \returns the entry; empty if the id has another form.
auto issuingEntry(const RequestId &Request) -> EntryId {
  const auto &Text = Request.Value_;
  const auto End = Text.rfind('-');
  if (Text.rfind("r-", 0) != 0 || End == std::string::npos || End < 2)
    return {};
  return {Text.substr(2, End - 2)};
}

auto targetStateName(const Target &Each, const Configuration &Configuration)
    -> std::string {
  if (Each.Leaving_)
    return "leaving";
  if (!Configuration.Document_.hasDataCentre(Each.dataCentre()))
    return "unknown-data-centre";
  return Configuration.Head_.isOut(Each.dataCentre()) ? "out" : "serving";
}

} // namespace

EntryCore::EntryCore(EntryIdentity Identity)
    : Identity_(std::move(Identity)), Generator_(Identity_.Seed_),
      Store_(Identity_.StoreCallsPerSecond_, Counters_,
             Identity_.MaxValueSize_),
      View_(Identity_.Environment_,
            {Identity_.Entry_, Identity_.Incarnation_, Identity_.PeerAddress_,
             Identity_.CapacityMilliCores_},
            Identity_.Policy_, Store_),
      Dispatcher_(Identity_.Entry_, Identity_.DataCentre_,
                  Identity_.Dispatcher_,
                  {Targets_, View_.configuration(), Counters_}),
      Changes_(Identity_.Entry_, Identity_.Incarnation_, Store_, View_),
      Calls_(Identity_.Entry_, Counters_, Identity_.Incarnation_) {
  for (ShardNumber Shard = 0; Shard < Identity_.ShardCount_; ++Shard) {
    const LedgerIdentity Ledger{Identity_.Environment_, Shard, Identity_.Entry_,
                                Identity_.Incarnation_};
    Shards_.push_back(std::make_unique<ShardOwner>(
        Ledger, Store_,
        ShardContext{Targets_, View_.configuration(), Grants_,
                     Interference_.predictor(), Counters_,
                     Identity_.ShardCount_ == 1}));
  }
}

// Callers and operators.

auto EntryCore::refuse(CallerToken Token, ErrorKind Kind, std::string Detail,
                       EntryOutbox &Out) -> void {
  skylark::refuse(Counters_, Token, Kind, std::move(Detail), Out);
}

auto EntryCore::forwardToShard(Moment Now, CallerToken Token, ShardNumber Shard,
                               const CallerRequest &Request, Duration Timeout,
                               EntryOutbox &Out) -> void {
  Calls_.forwardToShard(Now.Steady_, ownership(Now),
                        {Token, Shard, Now.Steady_ + Timeout, Request},
                        View_.storeContact(Now) == StoreContact::Outage, Out);
}

auto EntryCore::callerAsked(Moment Now, CallerToken Token,
                            const CallerRequest &Request, EntryOutbox &Out)
    -> void {
  // Until it has sent its last answers, a stopping entry still forwards
  // requests to queues, because other entries acquire the queues' shards.
  if (ExitSent_ || (Leaving_ && !isForQueue(Request)))
    refuseRequest(Counters_, Token, Request, ErrorKind::EntryStopping,
                  Identity_.Entry_.Value_, Out);
  else
    std::visit([&](const auto &Each) { handle(Now, Token, Each, Out); },
               Request);
  processPending(Now, Out);
}

auto EntryCore::handle(Moment Now, CallerToken Token,
                       const QuickRequest &Request, EntryOutbox &Out) -> void {
  const auto *Service =
      View_.configuration().Document_.findService(Request.Service_);
  if (Service == nullptr) {
    refuseRequest(Counters_, Token, Request,
                  absenceError(Now, ErrorKind::UnknownService,
                               ErrorKind::StoreUnavailable),
                  Request.Service_.Value_, Out);
    return;
  }
  auto EffectiveRequest = Request;
  if (EffectiveRequest.Timeout_ <= Millis{0})
    EffectiveRequest.Timeout_ = Service->AnswerTimeout_;
  if (EffectiveRequest.Idempotent_ || EffectiveRequest.Key_.empty()) {
    EffectiveRequest.Key_ = {};
    Dispatcher_.submit(Now, Dispatcher_.newRequestId(), Token, EffectiveRequest,
                       Generator_, Out);
    return;
  }
  const auto Shard =
      shardOf(EffectiveRequest.Key_.Value_, Identity_.ShardCount_);
  if (shardOwner(Shard).acceptsRequests())
    shardOwner(Shard).claimKey(Now, Token, Dispatcher_.newRequestId(),
                               EffectiveRequest, Out);
  else
    forwardToShard(Now, Token, Shard, EffectiveRequest,
                   EffectiveRequest.Timeout_ + ForwardTimeout, Out);
}

auto EntryCore::shardOfQueue(const QueueName &Queue) const -> ShardNumber {
  return shardOf(Queue.Value_, Identity_.ShardCount_);
}

auto EntryCore::shardOfJob(const JobId &Job, const QueueName &Queue) const
    -> ShardNumber {
  return Queue.empty() ? shardOf(Job, Identity_.ShardCount_)
                       : shardOfQueue(Queue);
}

auto EntryCore::handle(Moment Now, CallerToken Token, const SubmitJob &Request,
                       EntryOutbox &Out) -> void {
  const auto &Declaration = Request.Declaration_;
  const auto Shard =
      Declaration.Queue_.empty()
          ? shardOf(Declaration.Team_.Value_, Identity_.ShardCount_)
          : shardOfQueue(Declaration.Queue_);
  if (shardOwner(Shard).acceptsRequests()) {
    Calls_.recordOwnCall(
        {Token, Shard, Now.Steady_ + QueueRequestTimeout, Request});
    shardOwner(Shard).submit(Now, Token, Request, Generator_, Out);
  } else
    forwardToShard(Now, Token, Shard, Request,
                   Request.Job_.empty() ? ForwardTimeout : QueueRequestTimeout,
                   Out);
}

auto EntryCore::handle(Moment Now, CallerToken Token, const GetJob &Request,
                       EntryOutbox &Out) -> void {
  const auto Shard = shardOfJob(Request.Job_, Request.Queue_);
  if (Shard >= Identity_.ShardCount_)
    refuse(Token, ErrorKind::UnknownJob, Request.Job_.Value_, Out);
  else if (shardOwner(Shard).owning()) {
    Calls_.recordOwnCall(
        {Token, Shard, Now.Steady_ + QueueRequestTimeout, Request});
    shardOwner(Shard).answerQuery(Now, Token, Request, Out);
  } else
    forwardToShard(
        Now, Token, Shard, Request,
        Request.Queue_.empty() ? ForwardTimeout : QueueRequestTimeout, Out);
}

auto EntryCore::handle(Moment Now, CallerToken Token, const CancelJob &Request,
                       EntryOutbox &Out) -> void {
  const auto Shard = shardOfJob(Request.Job_, Request.Queue_);
  if (Shard >= Identity_.ShardCount_)
    refuse(Token, ErrorKind::UnknownJob, Request.Job_.Value_, Out);
  else if (shardOwner(Shard).acceptsRequests()) {
    Calls_.recordOwnCall(
        {Token, Shard, Now.Steady_ + QueueRequestTimeout, Request});
    shardOwner(Shard).cancel(Now, Token, Request, Out);
  } else
    forwardToShard(
        Now, Token, Shard, Request,
        Request.Queue_.empty() ? ForwardTimeout : QueueRequestTimeout, Out);
}

auto EntryCore::handle(Moment Now, CallerToken Token,
                       const CountUnstartedJobs &Request, EntryOutbox &Out)
    -> void {
  const auto Shard = shardOfQueue(Request.Queue_);
  if (shardOwner(Shard).owning()) {
    Calls_.recordOwnCall(
        {Token, Shard, Now.Steady_ + QueueRequestTimeout, Request});
    shardOwner(Shard).answerQuery(Now, Token, Request, Out);
  } else
    forwardToShard(Now, Token, Shard, Request, QueueRequestTimeout, Out);
}

// Requests to queues; the address of a request identifies its queue.

auto EntryCore::absenceError(Moment Now, ErrorKind Absent, ErrorKind Unproven)
    -> ErrorKind {
  const auto HasRead = View_.revision() != 0;
  if (HasRead && View_.storeContact(Now) == StoreContact::Fresh)
    return Absent;
  ++Counters_.UnprovenAbsences_;
  return HasRead ? Unproven : ErrorKind::StoreUnavailable;
}

auto EntryCore::resolveQueue(Moment Now, CallerToken Token,
                             const QueueAddress &Address, ErrorKind Unproven,
                             EntryOutbox &Out) -> const QueueDeclaration * {
  const auto *Found =
      View_.configuration().Document_.findQueue(Address.Host_, Address.Path_);
  if (Found == nullptr)
    refuse(Token, absenceError(Now, ErrorKind::UnknownQueue, Unproven),
           Address.Host_ + Address.Path_, Out);
  return Found;
}

auto EntryCore::handle(Moment Now, CallerToken Token,
                       const SubmitToQueue &Request, EntryOutbox &Out) -> void {
  // An earlier copy of the submission may have been accepted elsewhere.
  const auto *Queue =
      resolveQueue(Now, Token, Request.Address_, ErrorKind::KeyNotChecked, Out);
  if (Queue == nullptr)
    return;
  SubmitJob Submission;
  Submission.Job_ = {Request.Address_.Path_.substr(Queue->PathPrefix_.size())};
  auto &Declaration = Submission.Declaration_;
  Declaration = Request.Declaration_;
  Declaration.Queue_ = Queue->Name_;
  Declaration.Service_ = Queue->Service_;
  Declaration.Priority_ = Queue->Priority_;
  Declaration.FailureLimit_ = Queue->FailureLimit_;
  const auto Allowed = std::chrono::duration_cast<Millis>(
      Declaration.criticalPath() * Queue->DeadlineStretch_);
  const auto From = std::max(Now.Wall_, Declaration.FirstAt_);
  Declaration.Deadline_ = From + Allowed + Queue->DeadlineSlack_;
  handle(Now, Token, Submission, Out);
}

auto EntryCore::handle(Moment Now, CallerToken Token, const ReadQueue &Request,
                       EntryOutbox &Out) -> void {
  const auto *Queue = resolveQueue(Now, Token, Request.Address_,
                                   ErrorKind::StoreUnavailable, Out);
  if (Queue == nullptr)
    return;
  const JobId Job{Request.Address_.Path_.substr(Queue->PathPrefix_.size())};
  if (Job.empty())
    handle(Now, Token, CountUnstartedJobs{Queue->Name_}, Out);
  else
    handle(Now, Token, GetJob{Job, true, Queue->Name_}, Out);
}

auto EntryCore::handle(Moment Now, CallerToken Token,
                       const CancelInQueue &Request, EntryOutbox &Out) -> void {
  const auto *Queue = resolveQueue(Now, Token, Request.Address_,
                                   ErrorKind::StoreUnavailable, Out);
  if (Queue == nullptr)
    return;
  const JobId Job{Request.Address_.Path_.substr(Queue->PathPrefix_.size())};
  const CancelJob Cancellation{Job, true, Queue->Name_};
  Cancellations_.add(Token, Cancellation);
  handle(Now, Token, Cancellation, Out);
}

auto EntryCore::handle(Moment Now, CallerToken Token,
                       const ExplainRequest &Request, EntryOutbox &Out)
    -> void {
  if (auto Events = Dispatcher_.explain(Request.Request_)) {
    Out.push_back(AnswerCaller{
        Token, ExplainReply{Request.Request_, std::move(*Events)}});
    return;
  }
  const auto Owner = issuingEntry(Request.Request_);
  if (Owner != Identity_.Entry_ && isReachable(Now, Owner))
    Calls_.forward(Now.Steady_, Owner,
                   {Token, 0, Now.Steady_ + ForwardTimeout, Request}, Out);
  else
    refuse(Token, ErrorKind::NotKnown, Request.Request_.Value_, Out);
}

auto EntryCore::handle(Moment /*Now*/, CallerToken Token,
                       const GetDocument &Request, EntryOutbox & /*Out*/)
    -> void {
  Changes_.readDocument(Token, Request);
}

auto EntryCore::handle(Moment Now, CallerToken Token,
                       const PutDocument &Request, EntryOutbox &Out) -> void {
  Changes_.submit(Now, Token, Request, Out);
}

auto EntryCore::handle(Moment Now, CallerToken Token,
                       const PromoteDocument &Request, EntryOutbox &Out)
    -> void {
  Changes_.submit(Now, Token, Request, Out);
}

auto EntryCore::handle(Moment Now, CallerToken Token,
                       const SetDataCentreState &Request, EntryOutbox &Out)
    -> void {
  Changes_.submit(Now, Token, Request, Out);
}

auto EntryCore::handle(Moment /*Now*/, CallerToken Token,
                       const ListTargets & /*Request*/, EntryOutbox &Out)
    -> void {
  TargetsReply Reply;
  Reply.Revision_ = View_.revision();
  for (const auto *Each : Targets_.all())
    Reply.Targets_.push_back({Each->agent(), Each->dataCentre(),
                              targetStateName(*Each, View_.configuration()),
                              Each->Revision_, Each->Load_.Running_,
                              Each->Load_.Queued_, Each->Load_.Free_});
  std::sort(Reply.Targets_.begin(), Reply.Targets_.end(),
            [](const TargetStatus &Left, const TargetStatus &Right) {
              return Left.Agent_ < Right.Agent_;
            });
  Out.push_back(AnswerCaller{Token, std::move(Reply)});
}

// Other entries.

auto EntryCore::ownership(Moment Now) const -> ShardOwnership {
  return {Now.Steady_,
          {Identity_.Entry_, Peers_, View_.peers(),
           View_.configuration().Document_.Policy_,
           Identity_.CapacityMilliCores_, Identity_.ShardCount_,
           View_.registered(), RegisteredAt_, Leaving_,
           View_.storeContact(Now) == StoreContact::Fresh,
           View_.expirationsUnreliable(Now)}};
}

auto EntryCore::resumeParked(Moment Now, EntryOutbox &Out) -> void {
  for (auto Remaining = Calls_.parkedCount(); Remaining > 0; --Remaining) {
    auto Each = Calls_.takeParked();
    if (shardOwner(Each.Shard_).acceptsRequests())
      std::visit(
          [&](const auto &Request) { handle(Now, Each.Token_, Request, Out); },
          Each.Request_);
    else
      Calls_.resume(Now.Steady_, ownership(Now), std::move(Each), Out);
  }
}

auto EntryCore::isReachable(Moment Now, const EntryId &Peer) const -> bool {
  return Peers_.isReachable(
      Now.Steady_, View_.configuration().Document_.Policy_.SilenceTimeout_,
      Peer);
}

auto EntryCore::peerCount(Moment Now) const -> std::size_t {
  return Peers_.countReachable(
      Now.Steady_, View_.configuration().Document_.Policy_.SilenceTimeout_);
}

auto EntryCore::expireForwardedCalls(Moment Now, EntryOutbox &Out) -> void {
  Calls_.expire(Now.Steady_, ownership(Now), Out);
  Calls_.reportUnanswered(Now.Steady_, Out);
}

auto EntryCore::peerConnected(Moment Now, const EntryId &Peer, EntryOutbox &Out)
    -> void {
  Peers_.connect(Now.Steady_, Peer);
  processPending(Now, Out);
}

auto EntryCore::peerDisconnected(Moment Now, const EntryId &Peer,
                                 EntryOutbox &Out) -> void {
  Peers_.disconnect(Peer);
  NextRebalance_ = Now.Steady_;
  expireForwardedCalls(Now, Out);
  processPending(Now, Out);
}

auto EntryCore::peerLinkOpened(Moment Now, const EntryId &Peer,
                               EntryOutbox &Out) -> void {
  Calls_.repeatTo(Now.Steady_, Peer, Out);
  processPending(Now, Out);
}

auto EntryCore::peerSent(Moment Now, const EntryId &Peer,
                         const PeerMessage &Message, EntryOutbox &Out) -> void {
  std::visit([&](const auto &Each) { handle(Now, Peer, Each, Out); }, Message);
  processPending(Now, Out);
}

auto EntryCore::handle(Moment Now, const EntryId &Peer,
                       const PeerHeartbeat &Message, EntryOutbox &Out) -> void {
  const auto Change = Peers_.update(Now.Steady_, Peer, Message);
  // A restarted entry may free the shards of its earlier process, so the store
  // is read at the next tick.
  if (Change.Restarted_)
    View_.requestRead();
  // A shard that has lost its owner should be acquired at once.
  if (Change.OwnsFewerShards_)
    NextRebalance_ = Now.Steady_;
  dropSupersededShards(Now, *Peers_.find(Peer), Out);
}

auto EntryCore::dropSupersededShards(Moment Now, const Peer &From,
                                     EntryOutbox &Out) -> void {
  for (const auto &[Shard, Epoch] : From.Owned_)
    if (Shard < Identity_.ShardCount_ && shardOwner(Shard).owning() &&
        shardOwner(Shard).epoch() < Epoch)
      shardOwner(Shard).dropOwnership(Now, Out);
}

auto EntryCore::handle(Moment Now, const EntryId &Peer,
                       const ForwardRequest &Message, EntryOutbox &Out)
    -> void {
  const auto Token = Calls_.received(Peer, Message.CallNumber_);
  if (Leaving_)
    refuse(Token, ErrorKind::EntryStopping, Identity_.Entry_.Value_, Out);
  else
    std::visit([&](const auto &Each) { handle(Now, Token, Each, Out); },
               Message.Request_);
}

auto EntryCore::handle(Moment Now, const EntryId &Peer,
                       const ForwardReply &Message, EntryOutbox &Out) -> void {
  if (const auto Moved = Calls_.answered(Now.Steady_, Peer, Message, Out))
    Peers_.removeOwned(Peer, *Moved);
}

auto EntryCore::handle(Moment Now, const EntryId &Peer,
                       const ConfigurationUpdate &Message, EntryOutbox &Out)
    -> void {
  const auto Held = View_.revision();
  View_.offerConfiguration(Now, Message.Configuration_);
  if (View_.revision() == Held)
    return;
  ++Counters_.ConfigurationsFromPeers_;
  Out.push_back(LogDecision{"configuration-from-peer", Peer.Value_,
                            View_.revision(), ErrorKind::None,
                            "instead of revision " + std::to_string(Held)});
}

auto EntryCore::offerConfiguration(Moment Now, EntryOutbox &Out) -> void {
  if (View_.revision() == 0 || View_.storeContact(Now) != StoreContact::Fresh ||
      isMutationActive(Mutation::WithholdConfigurations))
    return;
  const auto &Policy = View_.configuration().Document_.Policy_;
  // An entry that has missed a read may miss the next ones too.
  const auto Due =
      Offers_.takeDue(Now.Steady_,
                      {Identity_.Entry_, View_.revision(),
                       2 * Policy.ReadInterval_, Policy.SilenceTimeout_},
                      Peers_);
  for (const auto &Peer : Due) {
    ++Counters_.ConfigurationsSent_;
    Out.push_back(SendToPeer{Peer, ConfigurationUpdate{View_.configuration()}});
    Out.push_back(LogDecision{"configuration-sent-to-peer", Peer.Value_,
                              View_.revision(), ErrorKind::None, ""});
  }
}

auto EntryCore::sendPeerHeartbeats(Moment Now, EntryOutbox &Out) -> void {
  if (Now.Steady_ < NextPeerHeartbeat_)
    return;
  NextPeerHeartbeat_ = Now.Steady_ + PeerHeartbeatInterval;
  Out.push_back(ConnectPeers{View_.peers()});
  broadcastHeartbeat(Now, Out);
}

auto EntryCore::acceptingShards() const -> std::vector<OwnedShard> {
  std::vector<OwnedShard> Owned;
  for (const auto &Each : Shards_)
    if (Each->acceptsRequests())
      Owned.push_back({Each->number(), Each->epoch()});
  return Owned;
}

auto EntryCore::broadcastHeartbeat(Moment Now, EntryOutbox &Out) -> void {
  PeerHeartbeat Outgoing;
  Outgoing.Entry_ = Identity_.Entry_;
  Outgoing.Incarnation_ = Identity_.Incarnation_;
  Outgoing.SeenRevision_ = View_.revision();
  Outgoing.ConfirmedRevision_ =
      confirmedRevision(Now.Steady_, revisionFacts(Now));
  Outgoing.Owned_ = acceptingShards();
  Outgoing.Leaving_ = Leaving_;
  Outgoing.StoreReadAge_ =
      std::chrono::duration_cast<Millis>(Now.Steady_ - View_.lastReadAt());
  for (const auto &[Shard, Epoch] : Relinquished_)
    Outgoing.Relinquished_.push_back({Shard, Epoch});
  AnnouncedShardCount_ = Outgoing.Owned_.size();
  for (const auto &[Entry, Each] : Peers_.all())
    if (Each.Connected_)
      Out.push_back(SendToPeer{Entry, Outgoing});
}

// Revisions in force.

auto EntryCore::revisionFacts(Moment Now) const -> RevisionFacts {
  return {Identity_.Entry_,
          Targets_,
          Peers_,
          View_.grantors(),
          View_.revision(),
          View_.knownRevision(),
          View_.oldGrantsEnd(),
          RemovedTargetGrantsEnd_,
          View_.earlierGrantsPossible(Now)};
}

auto EntryCore::pendingConfirmations(Moment Now, Revision Wanted) const
    -> std::vector<std::string> {
  return skylark::pendingConfirmations(Now.Steady_, revisionFacts(Now), Wanted);
}

auto EntryCore::longestOldGrant(Moment Now) const -> Duration {
  return skylark::longestOldGrant(Now.Steady_, Identity_.Entry_,
                                  View_.grantors(),
                                  View_.configuration().Document_.Policy_);
}

auto EntryCore::isOtherEntryViewFresh(Moment Now) const -> bool {
  const auto SilenceTimeout =
      View_.configuration().Document_.Policy_.SilenceTimeout_;
  return std::any_of(Targets_.all().begin(), Targets_.all().end(),
                     [&](const Target *Each) {
                       return Each->OtherEntryViewFresh_ &&
                              Each->LastSeenAt_ + SilenceTimeout > Now.Steady_;
                     });
}

auto EntryCore::mayGrantStarts(Moment Now) const -> bool {
  if (isMutationActive(Mutation::GrantOnStaleView))
    return View_.revision() > 0;
  if (!View_.mayGrant(Now) || Leaving_)
    return false;
  // An entry that can't read the store although others can must not grant
  // starts: the others may have accepted a newer revision.
  return View_.storeContact(Now) == StoreContact::Fresh ||
         !isOtherEntryViewFresh(Now);
}

// Agents.

auto EntryCore::agentSent(Moment Now, SessionNumber Session,
                          const AgentMessage &Message, EntryOutbox &Out)
    -> void {
  std::visit([&](const auto &Each) { handle(Now, Session, Each, Out); },
             Message);
  processPending(Now, Out);
}

auto EntryCore::handle(Moment Now, SessionNumber Session, const Hello &Message,
                       EntryOutbox &Out) -> void {
  // A repeated Hello must not reset the connection's state, because a
  // confirmation of an earlier ClaimOwnership would then count as the answer to
  // a new one.
  if (Targets_.find(Session) != nullptr)
    return;
  const auto *PreviousTarget = Targets_.findAgent(Message.Agent_);
  const auto Stale = PreviousTarget != nullptr &&
                     std::tie(Message.Worker_, Message.Incarnation_) <
                         std::tie(PreviousTarget->Hello_.Worker_,
                                  PreviousTarget->Hello_.Incarnation_);
  if (Message.Version_ != ProtocolVersion || Stale) {
    Out.push_back(LogDecision{"agent-refused", Message.Agent_.Value_,
                              View_.revision(), ErrorKind::StaleIncarnation,
                              ""});
    Out.push_back(CloseSession{Session});
    return;
  }
  if (PreviousTarget != nullptr)
    RemovedTargetGrantsEnd_ =
        std::max(RemovedTargetGrantsEnd_, PreviousTarget->StartGrantUntil_);
  const auto Replaced = Targets_.add(Now, Session, Message);
  if (Replaced != 0) {
    Dispatcher_.sessionLost(Now, Replaced, Generator_, Out);
    Out.push_back(CloseSession{Replaced});
  }
  auto *Joined = Targets_.find(Session);
  for (const auto &Shard : Shards_)
    Shard->agentJoined(Now, *Joined, Out);
  Out.push_back(SendToAgent{Session, knownEntries()});
  if (ownedShards() != 0 && !AnnouncedInterference_.Rows_.empty())
    Out.push_back(SendToAgent{Session, AnnouncedInterference_});
  Out.push_back(LogDecision{"agent-joined", Message.Agent_.Value_,
                            View_.revision(), ErrorKind::None,
                            Message.DataCentre_.Value_});
}

auto EntryCore::handle(Moment Now, SessionNumber Session,
                       const Heartbeat &Message, EntryOutbox &Out) -> void {
  Targets_.update(Now, Session, Message);
  auto *From = Targets_.find(Session);
  if (From != nullptr)
    acknowledge(Now, *From, Message, Out);
}

auto EntryCore::acknowledge(Moment Now, Target &From, const Heartbeat &Message,
                            EntryOutbox &Out) -> void {
  const auto &Policy = View_.configuration().Document_.Policy_;
  // The grant below names this revision, so an agent that lacks the revision
  // can't use it. Only a configuration that is on its way isn't sent again.
  const auto StartRevision = View_.configuration().startRevision();
  const auto OnItsWay =
      From.ConfigurationSentRevision_ == StartRevision &&
      From.ConfigurationSentAt_ + ConfigurationResendInterval > Now.Steady_;
  if (Message.Revision_ < StartRevision && !OnItsWay) {
    From.ConfigurationSentAt_ = Now.Steady_;
    From.ConfigurationSentRevision_ = StartRevision;
    Out.push_back(SendToAgent{
        From.Session_, ConfigurationUpdate{View_.configuration().forAgents()}});
  }
  HeartbeatAck Ack;
  Ack.Sequence_ = Message.Sequence_;
  Ack.Revision_ = StartRevision;
  Ack.AsOf_ = View_.asOf();
  Ack.ViewFresh_ = View_.storeContact(Now) == StoreContact::Fresh;
  Ack.Leaving_ = Leaving_;
  if (mayGrantStarts(Now)) {
    Ack.StartGrantDuration_ = Policy.PermitDuration_;
    From.StartGrantUntil_ =
        std::max(From.StartGrantUntil_,
                 Now.Steady_ + withClockMargin(Policy.PermitDuration_));
  }
  const auto Barrier = View_.grantBarrier(Now);
  if (Barrier != GrantBarrier::None) {
    Counters_.countWithheldGrant(Barrier);
  } else {
    Ack.RunGrantDuration_ = Policy.TaskLeaseDuration_;
    for (const auto Shard : From.ConfirmedShards_)
      if (shardOwner(Shard).owning() && !shardOwner(Shard).releasing())
        Ack.Shards_.push_back(Shard);
    From.GrantedShards_.insert(Ack.Shards_.begin(), Ack.Shards_.end());
    Grants_.extend({From.agent(), From.Hello_.Worker_},
                   Now.Steady_ + withClockMargin(Policy.TaskLeaseDuration_));
  }

  Out.push_back(SendToAgent{From.Session_, std::move(Ack)});
}

auto EntryCore::handle(Moment Now, SessionNumber /*Session*/,
                       const ConfigurationUpdate &Message,
                       EntryOutbox & /*Out*/) -> void {
  View_.offerConfiguration(Now, Message.Configuration_);
}

auto EntryCore::handle(Moment Now, SessionNumber Session,
                       const ConfirmOwnership &Message, EntryOutbox &Out)
    -> void {
  auto *From = Targets_.find(Session);
  if (From != nullptr && Message.Shard_ < Identity_.ShardCount_)
    shardOwner(Message.Shard_).ownershipConfirmed(Now, *From, Message, Out);
}

auto EntryCore::handle(Moment Now, SessionNumber Session,
                       const TaskReport &Message, EntryOutbox &Out) -> void {
  auto *From = Targets_.find(Session);
  if (From != nullptr && Message.Shard_ < Identity_.ShardCount_)
    shardOwner(Message.Shard_).taskReported(Now, *From, Message, Out);
}

auto EntryCore::handle(Moment Now, SessionNumber Session,
                       const DispatchAnswer &Message, EntryOutbox &Out)
    -> void {
  Dispatcher_.answered(Now, Session, Message, Generator_, Out);
}

auto EntryCore::handle(Moment Now, SessionNumber Session,
                       const ColocationSample &Message, EntryOutbox & /*Out*/)
    -> void {
  Interference_.learn(Message);
  auto *From = Targets_.find(Session);
  if (From == nullptr)
    return;
  From->Serving_ = Message.Serving_;
  From->ServingSampledAt_ = Now.Steady_;
}

auto EntryCore::handle(Moment /*Now*/, SessionNumber /*Session*/,
                       const InterferenceTable &Message, EntryOutbox & /*Out*/)
    -> void {
  Interference_.adopt(Message);
}

auto EntryCore::knownEntries() const -> KnownEntries {
  KnownEntries Announcement{{Identity_.PeerAddress_}};
  for (const auto &Each : View_.peers())
    Announcement.Addresses_.push_back(Each.PeerAddress_);
  std::sort(Announcement.Addresses_.begin(), Announcement.Addresses_.end());
  return Announcement;
}

auto EntryCore::announceEntries(EntryOutbox &Out) -> void {
  const auto Announcement = knownEntries();
  if (Announcement.Addresses_ == AnnouncedEntries_)
    return;
  AnnouncedEntries_ = Announcement.Addresses_;
  for (const auto *Each : Targets_.all())
    Out.push_back(SendToAgent{Each->Session_, Announcement});
}

auto EntryCore::sendInterferenceTable(Moment Now, EntryOutbox &Out) -> void {
  if (Now.Steady_ < NextInterferenceTable_ || ownedShards() == 0 ||
      !Interference_.refresh())
    return;
  NextInterferenceTable_ = Now.Steady_ + InterferenceTableInterval;
  // The table goes to every agent, so it is sent only if it has changed enough
  // to matter.
  const auto &Table = Interference_.predictor().table();
  if (isApproxEqual(Table, AnnouncedInterference_))
    return;
  AnnouncedInterference_ = Table;
  for (const auto *Each : Targets_.all())
    Out.push_back(SendToAgent{Each->Session_, Table});
}

auto EntryCore::agentDisconnected(Moment Now, SessionNumber Session,
                                  EntryOutbox &Out) -> void {
  const auto *LostTarget = Targets_.find(Session);
  if (LostTarget != nullptr) {
    RemovedTargetGrantsEnd_ =
        std::max(RemovedTargetGrantsEnd_, LostTarget->StartGrantUntil_);
    Out.push_back(LogDecision{"agent-gone", LostTarget->agent().Value_,
                              View_.revision(), ErrorKind::None, ""});
  }
  Targets_.remove(Session);
  Dispatcher_.sessionLost(Now, Session, Generator_, Out);
  processPending(Now, Out);
}

auto EntryCore::closeSilentSessions(Moment Now, EntryOutbox &Out) -> void {
  const auto SilenceTimeout =
      View_.configuration().Document_.Policy_.SilenceTimeout_;
  std::vector<SessionNumber> Silent;
  for (const auto *Each : Targets_.all())
    if (Each->LastSeenAt_ + SilenceTimeout < Now.Steady_)
      Silent.push_back(Each->Session_);
  for (const auto Session : Silent) {
    Out.push_back(CloseSession{Session});
    agentDisconnected(Now, Session, Out);
  }
}

// Shards.

auto EntryCore::relinquishShards(Moment Now, EntryOutbox &Out) -> void {
  const auto &FailedReads = View_.failedReads();
  if (!FailedReads || !ownership(Now).isIsolatedFromStore(FailedReads->FirstAt_,
                                                          FailedReads->LastAt_))
    return;
  for (const auto &Shard : Shards_) {
    if (!Shard->owning())
      continue;
    // This record is never removed: the store names this owner and epoch until
    // a successor acquires the shard, and only this entry can report that the
    // shard is free.
    Relinquished_[Shard->number()] = Shard->epoch();
    Shard->dropOwnership(Now, Out);
  }
}

auto EntryCore::rebalanceShards(Moment Now) -> void {
  // While this entry was not registered, another one may have acquired its
  // shards and released them again. An owner that writes nothing would notice
  // only at its next periodic read of the head.
  const auto Reregistered = View_.registrationCount() != VerifiedRegistrations_;
  VerifiedRegistrations_ = View_.registrationCount();
  for (const auto &Each : Shards_)
    if (Reregistered && Each->owning())
      Each->verifyOwnership();
  const auto Ownership = ownership(Now);
  for (const auto &Each : Shards_) {
    if (Each->idle() && Ownership.shouldAcquire(Each->number()))
      Each->acquire([this, Shard = Each->number()](const ShardHead &Head) {
        return oldGrantsAtAcquisition(
            Shard, Head, Identity_.Entry_, Peers_, View_.peers(),
            View_.configuration().Document_.Policy_.OutageHorizon_);
      });
    if (Each->owning() &&
        Ownership.shouldHandOver(Each->number(), ownedShards()))
      Each->release();
  }
}

auto EntryCore::dispatchClaimed(Moment Now, EntryOutbox &Out) -> void {
  for (const auto &Shard : Shards_)
    for (const auto &Claimed : Shard->takeClaimed())
      Dispatcher_.submit(Now, Claimed.Request_, Claimed.Token_, Claimed.Quick_,
                         Generator_, Out);
}

auto EntryCore::deliverOutcomes(Moment Now, EntryOutbox &Out) -> void {
  for (const auto &Outcome : Dispatcher_.takeOutcomes()) {
    if (!Outcome.Key_.empty())
      shardOwner(shardOf(Outcome.Key_.Value_, Identity_.ShardCount_))
          .closeClaim(Now, Outcome);
    if (Outcome.Error_ == ErrorKind::None)
      Out.push_back(AnswerCaller{
          Outcome.Token_,
          QuickReply{Outcome.Request_, Outcome.Status_, Outcome.Body_}});
    else
      Out.push_back(AnswerCaller{
          Outcome.Token_, ErrorReply{Outcome.Error_, "", Outcome.Request_}});
  }
}

auto EntryCore::storeAnswered(Moment Now, const StoreResult &Result,
                              EntryOutbox &Out) -> void {
  Store_.answered(Now, Result, Out);
  for (const auto &Shard : Shards_)
    Shard->afterStoreCall(Now, Out);
  processPending(Now, Out);
}

auto EntryCore::processPending(Moment Now, EntryOutbox &Out) -> void {
  resumeParked(Now, Out);
  for (const auto &Shard : Shards_)
    Shard->bindIfDue(Now, Generator_, Out);
  dispatchClaimed(Now, Out);
  deliverOutcomes(Now, Out);
  if (acceptingShards().size() != AnnouncedShardCount_)
    broadcastHeartbeat(Now, Out);
  Calls_.parkMoved(Now.Steady_, Out);
  Cancellations_.settle(Now.Steady_, Out);
  Store_.advance(Now, Out);
  Calls_.routeAnswers(Out);
}

auto EntryCore::tick(Moment Now, EntryOutbox &Out) -> void {
  View_.tick(Now);
  Dispatcher_.tick(Now, Generator_, Out);
  relinquishShards(Now, Out);
  logContact(Now, Out);
  logClock(Now, Out);
  // Each reading of the store may show that an owner has joined or left.
  if (View_.lastReadAt() != RebalancedReadAt_)
    NextRebalance_ = Now.Steady_;
  if (Now.Steady_ >= NextRebalance_) {
    NextRebalance_ = Now.Steady_ + RebalanceInterval;
    RebalancedReadAt_ = View_.lastReadAt();
    rebalanceShards(Now);
    Grants_.prune(Now.Steady_ - RunGrantRetention);
  }
  const auto MayGrant = View_.mayGrant(Now);
  for (const auto &Shard : Shards_)
    Shard->tick(Now, MayGrant, Generator_, Out);
  Changes_.tick(
      Now, [&](Revision Wanted) { return pendingConfirmations(Now, Wanted); },
      longestOldGrant(Now), Out);
  closeSilentSessions(Now, Out);
  expireForwardedCalls(Now, Out);
  for (const auto &[Token, Request] : Cancellations_.takeDue(Now.Steady_))
    handle(Now, Token, Request, Out);
  sendPeerHeartbeats(Now, Out);
  offerConfiguration(Now, Out);
  sendInterferenceTable(Now, Out);
  announceEntries(Out);
  if (Leaving_)
    finishLeaving(Now, Out);
  processPending(Now, Out);
}

auto EntryCore::logContact(Moment Now, EntryOutbox &Out) -> void {
  const auto Log = [&](std::string_view Event, std::string Detail) {
    Out.push_back(LogDecision{Event, Identity_.Entry_.Value_, View_.revision(),
                              ErrorKind::None, std::move(Detail)});
  };
  const auto Reached = View_.storeContact(Now) == StoreContact::Fresh;
  if (Reached != StoreReached_) {
    const auto Age =
        std::chrono::duration_cast<Millis>(Now.Steady_ - View_.lastReadAt());
    auto Detail = "last read " + std::to_string(Age.count()) + " ms ago";
    if (!Reached)
      Detail += (View_.storeContact(Now) == StoreContact::Outage
                     ? ", reads fail, newest revision known "
                     : ", no read has failed, newest revision known ") +
                std::to_string(View_.knownRevision());
    Log(Reached ? "store-reached" : "store-lost", std::move(Detail));
  }
  if (const auto Change =
          GrantMonitor_.update(Now.Steady_, View_.grantBarrier(Now)))
    Log(Change->Barrier_ == GrantBarrier::None ? "grants-resumed"
                                               : "grants-stopped",
        std::string(grantBarrierText(Change->Barrier_)) + ", for " +
            std::to_string(
                std::chrono::duration_cast<Millis>(Change->Pause_).count()) +
            " ms");
  if (View_.registered() != Registered_)
    Log(View_.registered() ? "registered" : "registration-lost",
        std::to_string(View_.peers().size()) + " other entries");
  if (View_.registered() && !Registered_)
    RegisteredAt_ = Now.Steady_;
  StoreReached_ = Reached;
  Registered_ = View_.registered();
  const auto &Head = View_.configuration().Head_;
  if (View_.adoptionCount() != LoggedAdoptions_)
    Log("configuration-adopted",
        "digest " + Head.DocumentDigest_ + ", document revision " +
            std::to_string(Head.DocumentRevision_) + ", start revision " +
            std::to_string(View_.configuration().startRevision()) + ", " +
            std::to_string(Head.DataCentresOut_.size()) +
            " data centres out, found by " +
            std::string(configurationSourceText(View_.source())));
  LoggedAdoptions_ = View_.adoptionCount();
}

auto EntryCore::logClock(Moment Now, EntryOutbox &Out) -> void {
  const auto Move = WallClock_.update(Now);
  if (!Move)
    return;
  ++Counters_.WallClockMoves_;
  Out.push_back(LogDecision{"wall-clock-moved", Identity_.Entry_.Value_,
                            View_.revision(), ErrorKind::None,
                            std::to_string(Move->count()) +
                                " ms against the steady clock"});
}

auto EntryCore::leave(Moment Now, EntryOutbox &Out) -> void {
  if (Leaving_)
    return;
  Leaving_ = true;
  LeaveStart_ = Now.Steady_;
  LeaveDeadline_ = Now.Steady_ + Identity_.StopTimeout_ - ForcedStopMargin;
  rebalanceShards(Now);
  processPending(Now, Out);
}

auto EntryCore::finishLeaving(Moment Now, EntryOutbox &Out) -> void {
  const auto Idle = Dispatcher_.inFlight() == 0 && Changes_.idle() &&
                    Calls_.idle() && Cancellations_.idle();
  const auto HandedOver =
      std::all_of(Shards_.begin(), Shards_.end(),
                  [](const auto &Shard) { return Shard->idle(); });
  const auto DeadlinePassed = Now.Steady_ >= LeaveDeadline_;
  // An entry stays registered until the last of its start grants has ended.
  auto GrantsEnd = RemovedTargetGrantsEnd_;
  for (const auto *Each : Targets_.all())
    GrantsEnd = std::max(GrantsEnd, Each->StartGrantUntil_);
  if (Idle && HandedOver && Now.Steady_ > GrantsEnd)
    View_.leave();
  if ((View_.leaveCompleted() || DeadlinePassed) && !ExitSent_) {
    ExitSent_ = true;
    StopReport Report;
    Report.Elapsed_ =
        std::chrono::duration_cast<Millis>(Now.Steady_ - LeaveStart_);
    Report.Forced_ = !View_.leaveCompleted();
    Report.Calls_ = Calls_.open();
    Report.Dispatched_ = Dispatcher_.inFlight();
    Report.ChangesOpen_ = !Changes_.idle();
    Report.CancellationsOpen_ = !Cancellations_.idle();
    Report.ShardsHeld_ = static_cast<std::size_t>(
        std::count_if(Shards_.begin(), Shards_.end(),
                      [](const auto &Shard) { return !Shard->idle(); }));
    Report.GrantsLeft_ = std::max(
        Millis{0}, std::chrono::duration_cast<Millis>(GrantsEnd - Now.Steady_));
    Report.StoreReached_ = View_.storeContact(Now) == StoreContact::Fresh;
    Report.RegistrationWithdrawn_ = View_.leaveCompleted();
    Counters_.StopsForced_ += Report.Forced_ ? 1 : 0;
    Out.push_back(LogDecision{"stop-decided", Identity_.Entry_.Value_,
                              View_.revision(), ErrorKind::None,
                              describe(Report)});
    Calls_.answerRemaining(Out);
    Out.push_back(ExitProcess{});
  }
}

auto EntryCore::ownedShards() const -> std::size_t {
  return std::count_if(Shards_.begin(), Shards_.end(),
                       [](const auto &Shard) { return Shard->owning(); });
}

auto EntryCore::ledgerSize() const -> LedgerSize {
  LedgerSize Sum;
  for (const auto &Each : Shards_)
    Sum += Each->ledgerSize();
  return Sum;
}

auto EntryCore::healthy(Moment /*Now*/) const -> bool {
  return !Leaving_ && View_.revision() > 0;
}

auto EntryCore::shardState(ShardNumber Shard) const -> const ShardState * {
  return Shard < Shards_.size() && Shards_[Shard]->owning()
             ? &Shards_[Shard]->state()
             : nullptr;
}

} // namespace skylark
