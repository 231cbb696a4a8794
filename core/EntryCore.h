/// \file
/// Defines the state machine of an entry.
#pragma once

#include "core/CancellationRetries.h"
#include "core/ConfigurationOffers.h"
#include "core/ConfigurationUpdater.h"
#include "core/EnvironmentView.h"
#include "core/ForwardedCalls.h"
#include "core/PeerTable.h"
#include "core/RequestDispatcher.h"
#include "core/RevisionsInForce.h"
#include "core/ShardOwner.h"
#include "core/ShardOwnership.h"
#include "core/WallClockWatch.h"

namespace skylark {

/// The settings of one entry process.
struct EntryIdentity {
  EntryId Entry_;
  Incarnation Incarnation_ = 0;
  EnvironmentName Environment_;
  DataCentreName DataCentre_;
  std::string PeerAddress_;
  /// Capacity of the entry's machine, in thousandths of a processor.
  std::uint32_t CapacityMilliCores_ = 1000;
  ShardNumber ShardCount_ = 8;
  double StoreCallsPerSecond_ = 100;
  /// Size in bytes of the largest value that the store takes.
  std::size_t MaxValueSize_ = DefaultMaxValueSize;
  /// Time from the request to stop until the process may be killed.
  Millis StopTimeout_{12000};
  std::uint64_t Seed_ = 1;
  DispatcherOptions Dispatcher_;
  /// Default data centres and policy, used until there is an operators'
  /// document and where the document sets none.
  std::vector<DataCentreName> DataCentres_;
  PolicySettings Policy_;
};

/// An entry as a state machine, which reads no clock and does no input or
/// output: each command gets the time and appends its outputs to the outbox. It
/// handles requests of callers and operators, messages of agents and of peers
/// (the other entries of the environment), and the results of its store calls.
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
  auto agentDisconnected(Moment Now, SessionNumber Session, EntryOutbox &Out)
      -> void;
  auto peerConnected(Moment Now, const EntryId &Peer, EntryOutbox &Out) -> void;
  /// The peer has opened a connection, on which it will send from now on.
  auto peerLinkOpened(Moment Now, const EntryId &Peer, EntryOutbox &Out)
      -> void;
  auto peerSent(Moment Now, const EntryId &Peer, const PeerMessage &Message,
                EntryOutbox &Out) -> void;
  auto peerDisconnected(Moment Now, const EntryId &Peer, EntryOutbox &Out)
      -> void;
  auto storeAnswered(Moment Now, const StoreResult &Result, EntryOutbox &Out)
      -> void;
  /// Does the periodic work that is due. Called several times a second.
  auto tick(Moment Now, EntryOutbox &Out) -> void;
  /// Begins a graceful shutdown, which ends with an ExitProcess output.
  auto leave(Moment Now, EntryOutbox &Out) -> void;

  // Queries.
  auto counters() const -> const Counters & { return Counters_; }
  auto configuration() const -> const Configuration & {
    return View_.configuration();
  }
  auto targetCount() const -> std::size_t { return Targets_.size(); }
  auto ownedShards() const -> std::size_t;
  /// What this entry's shards hold, in all.
  auto ledgerSize() const -> LedgerSize;
  auto inFlight() const -> std::size_t { return Dispatcher_.inFlight(); }
  auto healthy(Moment Now) const -> bool;
  /// Returns the number of peers that are connected and have been seen
  /// recently.
  auto peerCount(Moment Now) const -> std::size_t;
  auto leaving() const -> bool { return Leaving_; }
  auto shardState(ShardNumber Shard) const -> const ShardState *;

private:
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
  auto handle(Moment Now, CallerToken Token, const SetDataCentreState &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const ListTargets &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const SubmitToQueue &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const ReadQueue &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const CancelInQueue &Request,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, CallerToken Token, const CountUnstartedJobs &Request,
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
  auto handle(Moment Now, SessionNumber Session,
              const ColocationSample &Message, EntryOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Session,
              const InterferenceTable &Message, EntryOutbox &Out) -> void;
  /// Sends all agents the learned interference between images if it has changed
  /// noticeably.
  auto sendInterferenceTable(Moment Now, EntryOutbox &Out) -> void;
  auto knownEntries() const -> KnownEntries;
  /// Sends all agents the addresses of all entries after one has joined or
  /// left.
  auto announceEntries(EntryOutbox &Out) -> void;

  auto handle(Moment Now, const EntryId &Peer, const PeerHeartbeat &Message,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, const EntryId &Peer, const ForwardRequest &Message,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, const EntryId &Peer, const ForwardReply &Message,
              EntryOutbox &Out) -> void;
  auto handle(Moment Now, const EntryId &Peer,
              const ConfigurationUpdate &Message, EntryOutbox &Out) -> void;
  /// Sends the configuration to peers that can't read it from the store.
  auto offerConfiguration(Moment Now, EntryOutbox &Out) -> void;

  /// Acknowledges a heartbeat, with the grants that this entry may give the
  /// agent.
  auto acknowledge(Moment Now, Target &From, const Heartbeat &Message,
                   EntryOutbox &Out) -> void;
  auto refuse(CallerToken Token, ErrorKind Kind, std::string Detail,
              EntryOutbox &Out) -> void;
  /// Forwards a request to its shard's owner; parks or refuses it if none can
  /// be reached.
  auto forwardToShard(Moment Now, CallerToken Token, ShardNumber Shard,
                      const CallerRequest &Request, Duration Timeout,
                      EntryOutbox &Out) -> void;
  /// Relinquishes all shards if this entry is isolated from the store.
  auto relinquishShards(Moment Now, EntryOutbox &Out) -> void;
  /// Handles or forwards parked calls whose shard has an owner again, and
  /// refuses those that have expired.
  auto resumeParked(Moment Now, EntryOutbox &Out) -> void;
  /// Finds the queue at an address; refuses the request if there is none.
  /// \param Unproven the error if a newer configuration may have one.
  auto resolveQueue(Moment Now, CallerToken Token, const QueueAddress &Address,
                    ErrorKind Unproven, EntryOutbox &Out)
      -> const QueueDeclaration *;
  /// The reason to refuse a request for something that the configuration held
  /// doesn't name: `Absent` if that is the newest one as far as can be known,
  /// and otherwise `Unproven`.
  auto absenceError(Moment Now, ErrorKind Absent, ErrorKind Unproven)
      -> ErrorKind;
  auto shardOfQueue(const QueueName &Queue) const -> ShardNumber;
  auto shardOfJob(const JobId &Job, const QueueName &Queue) const
      -> ShardNumber;
  /// Drops ownership of each shard that a peer owns in a later epoch.
  auto dropSupersededShards(Moment Now, const Peer &From, EntryOutbox &Out)
      -> void;
  /// Returns the owned shards that accept requests, and their epochs.
  auto acceptingShards() const -> std::vector<OwnedShard>;
  /// Returns the decisions about shards that follow from what this entry knows.
  auto ownership(Moment Now) const -> ShardOwnership;
  /// Whether a peer is connected and has been seen recently.
  auto isReachable(Moment Now, const EntryId &Peer) const -> bool;
  /// Parks or refuses forwarded calls whose owner is unreachable or too slow.
  auto expireForwardedCalls(Moment Now, EntryOutbox &Out) -> void;
  /// Acquires shards that have no owner and hands over those that other entries
  /// should own.
  auto rebalanceShards(Moment Now) -> void;
  /// Closes the connections of agents that have sent nothing for too long.
  auto closeSilentSessions(Moment Now, EntryOutbox &Out) -> void;
  /// Sends a heartbeat to all peers when the next one is due.
  auto sendPeerHeartbeats(Moment Now, EntryOutbox &Out) -> void;
  /// Sends a heartbeat to all peers at once.
  auto broadcastHeartbeat(Moment Now, EntryOutbox &Out) -> void;
  auto revisionFacts(Moment Now) const -> RevisionFacts;
  /// Returns what has not confirmed a revision yet: targets and entries by
  /// name, and the store.
  auto pendingConfirmations(Moment Now, Revision Wanted) const
      -> std::vector<std::string>;
  /// Returns an upper bound on how long grants under older revisions may still
  /// last.
  auto longestOldGrant(Moment Now) const -> Duration;
  /// Whether a recent heartbeat of an agent reports that another entry has a
  /// fresh view of the store.
  auto isOtherEntryViewFresh(Moment Now) const -> bool;
  /// Whether this entry may grant agents permission to start work. Grants to
  /// keep tasks running depend on the environment view alone.
  auto mayGrantStarts(Moment Now) const -> bool;
  /// Answers requests that have ended, and closes the claims of their keys.
  auto deliverOutcomes(Moment Now, EntryOutbox &Out) -> void;
  /// Dispatches requests whose idempotency key has been claimed in the ledger.
  auto dispatchClaimed(Moment Now, EntryOutbox &Out) -> void;
  /// Does the work that a command may have made possible; each command ends
  /// with it.
  auto processPending(Moment Now, EntryOutbox &Out) -> void;
  /// Records and logs when contact with the store, or the registration in it,
  /// is lost or regained.
  auto logContact(Moment Now, EntryOutbox &Out) -> void;
  /// Logs a move of the wall clock.
  auto logClock(Moment Now, EntryOutbox &Out) -> void;
  /// Withdraws the registration once all work is done, and ends the process
  /// once the registration is withdrawn or the deadline for stopping has
  /// passed.
  auto finishLeaving(Moment Now, EntryOutbox &Out) -> void;
  /// This entry's instance for a shard, whichever entry owns the shard.
  auto shardOwner(ShardNumber Shard) -> ShardOwner & { return *Shards_[Shard]; }

  EntryIdentity Identity_;
  Random Generator_;
  Counters Counters_;
  StoreClient Store_;
  EnvironmentView View_;
  TargetTable Targets_;
  RunGrants Grants_;
  InterferenceModel Interference_;
  TimePoint NextInterferenceTable_{};
  InterferenceTable AnnouncedInterference_;
  std::vector<std::string> AnnouncedEntries_;
  RequestDispatcher Dispatcher_;
  ConfigurationUpdater Changes_;
  std::vector<std::unique_ptr<ShardOwner>> Shards_;
  PeerTable Peers_;
  ConfigurationOffers Offers_;
  ForwardedCalls Calls_;
  CancellationRetries Cancellations_;
  /// Shards that this entry has relinquished, and their epochs.
  std::map<ShardNumber, Epoch> Relinquished_;
  /// Number of owned shards in the last heartbeat to peers.
  std::size_t AnnouncedShardCount_ = 0;
  /// End of the last start grant to an agent that is no longer connected.
  TimePoint RemovedTargetGrantsEnd_{};
  TimePoint NextPeerHeartbeat_{};
  TimePoint NextRebalance_{};
  /// Time of the store reading on which the last rebalancing was based.
  TimePoint RebalancedReadAt_{};
  /// How many configurations have been logged as adopted.
  std::uint64_t LoggedAdoptions_ = 0;
  bool StoreReached_ = false;
  GrantMonitor GrantMonitor_;
  WallClockWatch WallClock_;
  bool Registered_ = false;
  TimePoint RegisteredAt_{};
  /// Number of this entry's registrations when the shards' heads were last
  /// verified.
  std::uint64_t VerifiedRegistrations_ = 0;
  bool Leaving_ = false;
  bool ExitSent_ = false;
  TimePoint LeaveStart_{};
  TimePoint LeaveDeadline_{};
};

} // namespace skylark
