/// \file
/// Defines the entry's decisions: callers, operators, agents, peers and store.
#pragma once

#include "core/ChangeDesk.h"
#include "core/EnvironmentView.h"
#include "core/RequestDesk.h"
#include "core/ShardOwner.h"

namespace skylark {

/// What an entry knows of itself from its settings.
struct EntryIdentity {
  EntryId Entry_;
  Incarnation Incarnation_ = 0;
  EnvironmentName Environment_;
  DataCentreName DataCentre_;
  std::string PeerAddress_;
  /// What the entry can carry, in thousandths of a processor.
  std::uint32_t Strength_ = 1000;
  ShardNumber ShardCount_ = 8;
  double StoreCallsPerSecond_ = 100;
  /// How long after it was told to stop the process may be ended by force.
  Millis StopWithin_{12000};
  std::uint64_t Seed_ = 1;
  DeskOptions Desk_;
  /// Data centres and policy where the operators' document holds none, and
  /// before there is one.
  std::vector<DataCentreName> DataCentres_;
  PolicySettings Policy_;
};

/// The entry as a state machine: inputs are its public commands, outputs go to
/// the outbox, and time comes in with each call.
class EntryCore {
public:
  explicit EntryCore(EntryIdentity Identity);
  EntryCore(const EntryCore &) = delete;
  auto operator=(const EntryCore &) -> EntryCore & = delete;

  // Commands.
  auto callerAsked(Moment Now, CallerToken Token, const CallerRequest &Request,
                   EntryOutbox &Out) -> void;
  auto agentSent(Moment Now, SessionNumber Session, const AgentMessage &Message,
                 EntryOutbox &Out) -> void;
  auto agentGone(Moment Now, SessionNumber Session, EntryOutbox &Out) -> void;
  auto peerOpened(Moment Now, const EntryId &Peer, EntryOutbox &Out) -> void;
  auto peerSent(Moment Now, const EntryId &Peer, const PeerMessage &Message,
                EntryOutbox &Out) -> void;
  auto peerGone(Moment Now, const EntryId &Peer, EntryOutbox &Out) -> void;
  auto storeAnswered(Moment Now, const StoreResult &Result, EntryOutbox &Out)
      -> void;
  /// Does all that is due by time; several times a second.
  auto tick(Moment Now, EntryOutbox &Out) -> void;
  /// Begins a graceful shutdown, which ends with ExitProcess.
  auto leave(Moment Now, EntryOutbox &Out) -> void;

  // Queries.
  auto counters() const -> const Counters & { return Counters_; }
  auto configuration() const -> const Configuration & {
    return View_.configuration();
  }
  auto targetCount() const -> std::size_t { return Targets_.size(); }
  auto ownedShards() const -> std::size_t;
  auto inFlight() const -> std::size_t { return Desk_.inFlight(); }
  auto healthy(Moment Now) const -> bool;
  /// Peers that can be asked and have been heard of lately.
  auto peerCount(Moment Now) const -> std::size_t;
  auto leaving() const -> bool { return Leaving_; }
  auto shardState(ShardNumber Shard) const -> const ShardState *;

private:
  struct Peer {
    bool Open_ = false;
    TimePoint HeardAt_{};
    /// Incarnation that confirmed; an earlier one can't speak for it.
    Incarnation Incarnation_ = 0;
    Revision SeenRevision_ = 0;
    Revision ConfirmedRevision_ = 0;
    /// The shards that it said it owns.
    std::map<ShardNumber, Epoch> Owned_;
    std::map<ShardNumber, Epoch> Renounced_;
    /// When it last read the store, as far as this entry knows.
    TimePoint StoreReadAt_{};
    bool Leaving_ = false;
    /// Since when this life of the entry has been heard of without a gap.
    TimePoint HeardSince_{};
  };
  struct ForwardedCall {
    CallerToken Token_ = 0;
    EntryId Owner_;
    ShardNumber Shard_ = 0;
    TimePoint GiveUpAt_{};
    CallerRequest Request_;
  };
  /// A request that waits until its shard has an owner that can be asked.
  struct ParkedCall {
    CallerToken Token_ = 0;
    ShardNumber Shard_ = 0;
    TimePoint GiveUpAt_{};
    CallerRequest Request_;
  };
  struct PeerCaller {
    EntryId Peer_;
    std::uint64_t Number_ = 0;
  };

  auto handle(Moment Now, CallerToken Token, const QuickRequest &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const SubmitJob &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const GetJob &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const CancelJob &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const ExplainRequest &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const GetDocument &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const PutDocument &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const PromoteDocument &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const SetDataCentre &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const ListTargets &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const SubmitToQueue &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const ReadQueue &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const CancelInQueue &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const CountUnstarted &Request,
              EntryOutbox &Out) -> void;

  auto handle(Moment Now, SessionNumber Session, const Hello &Message,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Session, const Heartbeat &Message,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Session,
              const ConfigurationUpdate &Message, EntryOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Session,
              const ConfirmOwnership &Message, EntryOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Session, const TaskReport &Message,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Session, const DispatchAnswer &Message,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Session, const SharingSample &Message,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Session, const PressTable &Message,
              EntryOutbox &Out) -> void;
  /// Tells agents what has been learned of images that disturb each other.
  auto sendPresses(Moment Now, EntryOutbox &Out) -> void;
  auto knownEntries() const -> KnownEntries;
  /// Tells agents of entries that have come or gone.
  auto announceEntries(EntryOutbox &Out) -> void;

  auto handle(Moment Now, const EntryId &Peer, const PeerBeat &Message,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, const EntryId &Peer, const Forward &Message,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, const EntryId &Peer, const ForwardReply &Message,
              EntryOutbox &Out) -> void;

  auto acknowledge(Moment Now, Target &From, const Heartbeat &Message,
                   EntryOutbox &Out) -> void;
  auto refuse(CallerToken Token, ErrorKind Kind, std::string Detail,
              EntryOutbox &Out) -> void;
  auto refuseRequest(CallerToken Token, const CallerRequest &Request,
                     ErrorKind Kind, std::string Detail, EntryOutbox &Out)
      -> void;
  auto forward(Moment Now, CallerToken Token, const EntryId &Owner,
               ShardNumber Shard, const CallerRequest &Request,
               Duration Patience, EntryOutbox &Out) -> void;
  auto forwardToShard(Moment Now, CallerToken Token, ShardNumber Shard,
                      const CallerRequest &Request, Duration Patience,
                      EntryOutbox &Out) -> void;
  /// Keeps a request until its shard has an owner. False where the request
  /// can't wait.
  auto park(Moment Now, CallerToken Token, ShardNumber Shard,
            const CallerRequest &Request, TimePoint GiveUpAt) -> bool;
  /// Whether this entry can't read the store although others can.
  auto isAlone(Moment Now) const -> bool;
  /// Gives up all shards while this entry is alone in not reaching the store.
  auto renounceShards(Moment Now, EntryOutbox &Out) -> void;
  auto hasRenounced(const ShardHead &Head) const -> bool;
  /// Parks the calls that an owner here has handed back, as its shard moves.
  auto keepMovedCalls(Moment Now, EntryOutbox &Out) -> void;
  auto resumeParked(Moment Now, EntryOutbox &Out) -> void;
  auto queueAt(CallerToken Token, const QueueAddress &Address, EntryOutbox &Out)
      -> const QueueDeclaration *;
  auto shardOfQueue(const QueueName &Queue) const -> ShardNumber;
  auto shardOfJob(const JobId &Job, const QueueName &Queue) const
      -> ShardNumber;
  /// The reachable entry that owns a shard as far as this entry knows; empty
  /// where none is known.
  auto knownOwner(Moment Now, ShardNumber Shard) const -> EntryId;
  /// Gives up a shard that a peer owns since a later epoch.
  auto noteSuccessors(Moment Now, const Peer &From, EntryOutbox &Out) -> void;
  auto ownedByEpoch() const -> std::vector<OwnedShard>;
  /// Whether this entry may take a shard with that head, and how long earlier
  /// owners may go on granting.
  auto takeRule(const ShardHead &Head) const -> std::optional<Duration>;
  /// Whether a shard that this entry owns goes to the preferred owner.
  auto mayMove(Moment Now, ShardNumber Shard, const EntryId &Preferred) const
      -> bool;
  auto strengthOf(const EntryId &Entry) const -> std::uint32_t;
  /// Whether a much stronger entry may be about to take what has no owner.
  auto awaitsStronger(Moment Now) const -> bool;
  auto canAsk(Moment Now, const EntryId &Peer) const -> bool;
  auto expireForwards(Moment Now, EntryOutbox &Out) -> void;
  auto preferredOwner(Moment Now, ShardNumber Shard) const -> EntryId;
  /// Whether a peer could take a shard, as far as this entry knows.
  auto mayOwn(Moment Now, const EntryId &Peer) const -> bool;
  auto balanceShards(Moment Now) -> void;
  auto closeSilent(Moment Now, EntryOutbox &Out) -> void;
  auto sendPeerBeats(Moment Now, EntryOutbox &Out) -> void;
  auto beatNow(Moment Now, EntryOutbox &Out) -> void;
  auto confirmedRevision(Moment Now) const -> Revision;
  auto missingFor(Moment Now, Revision Wanted) const
      -> std::vector<std::string>;
  auto oldGrantsLeft(Moment Now) const -> Duration;
  auto otherEntryFresh(Moment Now) const -> bool;
  auto mayStart(Moment Now) const -> bool;
  auto finishOutcomes(Moment Now, EntryOutbox &Out) -> void;
  auto dispatchClaimed(Moment Now, EntryOutbox &Out) -> void;
  auto complete(Moment Now, EntryOutbox &Out) -> void;
  auto answerPeers(EntryOutbox &Out) -> void;
  /// Logs when the store, or the registration in it, is lost or regained.
  auto noteStore(Moment Now, EntryOutbox &Out) -> void;
  auto finishLeaving(Moment Now, EntryOutbox &Out) -> void;
  /// Answers every caller who still waits.
  auto answerRest(EntryOutbox &Out) -> void;
  auto ownerOf(ShardNumber Shard) -> ShardOwner & { return *Shards_[Shard]; }

  EntryIdentity Identity_;
  Random Generator_;
  Counters Counters_;
  StorePort Store_;
  EnvironmentView View_;
  TargetTable Targets_;
  RunGrants Grants_;
  InterferenceModel Interference_;
  TimePoint NextPresses_{};
  PressTable AnnouncedPresses_;
  std::vector<std::string> AnnouncedEntries_;
  RequestDesk Desk_;
  ChangeDesk Changes_;
  std::vector<std::unique_ptr<ShardOwner>> Shards_;
  std::map<EntryId, Peer> Peers_;
  std::map<std::uint64_t, ForwardedCall> Forwards_;
  std::uint64_t NextForward_ = 0;
  std::deque<ParkedCall> Parked_;
  /// Calls to queues that an owner here has not answered yet.
  std::unordered_map<CallerToken, ParkedCall> WithOwner_;
  std::map<ShardNumber, Epoch> Renounced_;
  std::size_t AnnouncedShards_ = 0;
  std::unordered_map<CallerToken, PeerCaller> PeerCallers_;
  CallerToken NextPeerToken_;
  TimePoint RemovedGrantsEnd_{};
  TimePoint NextPeerBeat_{};
  TimePoint NextBalance_{};
  /// The reading of the store after which shards were last balanced.
  TimePoint BalancedAt_{};
  bool StoreReached_ = false;
  bool Registered_ = false;
  TimePoint RegisteredAt_{};
  /// Registrations since which the shards' heads were checked.
  std::uint64_t CheckedRegistrations_ = 0;
  bool Leaving_ = false;
  bool ExitSent_ = false;
  TimePoint LeaveBy_{};
};

} // namespace skylark
