/// \file
/// Defines the agent's state machine. An agent has one worker and one target,
/// and is connected to several entries.
#pragma once

#include "core/RequestQueue.h"
#include "core/TaskManager.h"

namespace skylark {

/// Identity and capacity of an agent, as read from its settings.
struct AgentIdentity {
  AgentId Agent_;
  Incarnation Incarnation_ = 0;
  DataCentreName DataCentre_;
  std::string Rack_;
  Resources Capacity_;
  TargetLimits Limits_;
  std::vector<ServiceName> Services_;
  std::vector<std::string> Labels_;
  /// Whether the worker announces its capacity itself. If so, the capacity is
  /// unknown until the announcement arrives.
  bool WorkerAnnounces_ = false;
  /// Longest lease that the worker accepts.
  Millis LongestLease_{60000};
  /// Longest time that the worker takes to stop a task.
  Millis LongestStop_{0};
  /// Whether the worker's present life began under this process, so that all
  /// that runs on it before the agent is ready was ordered for an earlier one.
  bool WorkerStartedAnew_ = false;
};

/// The agent as a deterministic state machine: inputs are the public member
/// functions, outputs are appended to the outbox, and the current time is
/// passed to each call.
class AgentCore {
public:
  explicit AgentCore(AgentIdentity Identity);

  auto openSession(Moment Now, SessionNumber Session, AgentOutbox &Out) -> void;
  auto closeSession(Moment Now, SessionNumber Session) -> void;
  auto receive(Moment Now, SessionNumber Session, const EntryMessage &Message,
               AgentOutbox &Out) -> void;
  auto inventoryReceived(Moment Now, const WorkerInventory &Inventory,
                         AgentOutbox &Out) -> void;
  auto announcementReceived(Moment Now, const WorkerAnnouncement &Announcement,
                            AgentOutbox &Out) -> void;
  auto startAnswered(Moment Now, const TaskId &Task, AttemptNumber Attempt,
                     StartOutcome Outcome, AgentOutbox &Out) -> void;
  /// The worker has carried a stop command out, which ends the attempt within
  /// the time that a stop takes, or keeps it from starting.
  auto stopAnswered(Moment Now, const TaskId &Task, AttemptNumber Attempt,
                    AgentOutbox &Out) -> void;
  auto targetAnswered(Moment Now, const TargetResult &Result, AgentOutbox &Out)
      -> void;
  /// Does all periodic work: heartbeats, polls with lease renewals, starting
  /// and draining of tasks. Called several times a second.
  auto tick(Moment Now, AgentOutbox &Out) -> void;
  /// Begins a graceful shutdown; emits ExitProcess when it is complete.
  auto leave(Moment Now, AgentOutbox &Out) -> void;

  /// Connections on which nothing has arrived within the configured timeout;
  /// the caller must replace them.
  auto unresponsiveSessions(Moment Now) const -> std::vector<SessionNumber>;
  /// Whether the agent accepts no new work, because the agent or the worker is
  /// shutting down or the worker does not respond.
  auto leaving() const -> bool {
    return Leaving_ || WorkerLeaving_ || WorkerUnresponsive_;
  }
  auto configuration() const -> const Configuration & {
    return CurrentConfiguration_;
  }
  auto ready() const -> bool { return Ready_; }

private:
  struct Session {
    std::uint64_t HeartbeatSequence_ = 0;
    std::map<std::uint64_t, TimePoint> HeartbeatSentAt_;
    /// Highest sequence number of a received message that starts work.
    std::uint64_t LastWorkSequence_ = 0;
    TimePoint LastSeenAt_{};
    /// The revision of the last configuration that the agent sent to the entry,
    /// whose own was older.
    Revision ConfigurationSentRevision_ = 0;
  };

  auto sendHello(SessionNumber Number, AgentOutbox &Out) -> void;
  auto sendHeartbeat(Moment Now, SessionNumber Number, AgentOutbox &Out)
      -> void;
  auto sendHeartbeats(Moment Now, AgentOutbox &Out) -> void;
  /// Whether a message that starts work was received before on its connection;
  /// records the message's sequence number.
  auto isDuplicate(SessionNumber Number, std::uint64_t Sequence) -> bool;
  auto checkWorkerLiveness(Moment Now, AgentOutbox &Out) -> void;
  /// Handles the announcement that the worker has exited, which may have been
  /// sent late, by an earlier incarnation with the same id.
  auto workerDeregistered(Moment Now, AgentOutbox &Out) -> void;
  auto becomeReady(AgentOutbox &Out) -> void;
  /// Stops the tasks that late orders for an earlier life of the worker have
  /// started. \returns whether there are any.
  auto stopStrayTasks(Moment Now, const WorkerInventory &Inventory,
                      AgentOutbox &Out) -> bool;
  /// Whether the worker has been replaced, while the agent kept running, by the
  /// incarnation that a list or an announcement names. The agent must not state
  /// what one incarnation has announced of another that has listed its tasks.
  auto isOfAnotherLife(Incarnation Worker) const -> bool;
  /// Has the state machine start again for the worker's new incarnation.
  auto restart(const std::string &Detail, AgentOutbox &Out) const -> void;
  /// Starts queued tasks. Where nothing may start here, returns them to their
  /// owners instead, and stops the running tasks if they may not run to their
  /// end.
  auto startQueued(Moment Now, AgentOutbox &Out) -> void;
  auto pollWorker(Moment Now, AgentOutbox &Out) -> void;
  /// Schedules the next poll after one was answered.
  auto scheduleNextPoll(Moment Now, AgentOutbox &Out) -> void;
  auto refusalReason() const -> ErrorKind;
  auto load() const -> AgentLoad;

  auto handle(Moment Now, SessionNumber Number, const HeartbeatAck &Ack,
              AgentOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Number,
              const ConfigurationUpdate &Update, AgentOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Number, const ClaimOwnership &Claim,
              AgentOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Number, const BindTask &Bind,
              AgentOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Number, const StopTask &Stop,
              AgentOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Number, const TaskReportAck &Ack,
              AgentOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Number, const DispatchRequest &Dispatch,
              AgentOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Number, const CancelDispatch &Cancel,
              AgentOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Number, const InterferenceTable &Table,
              AgentOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Number, const KnownEntries &Entries,
              AgentOutbox &Out) -> void;

  AgentIdentity Identity_;
  Configuration CurrentConfiguration_;
  StartPermits Permits_;
  TaskManager Tasks_;
  RequestQueue Requests_;
  std::map<SessionNumber, Session> Sessions_;
  /// The agent becomes ready once the worker's capacity is known and its first
  /// inventory has been adopted.
  bool CapacityKnown_ = false;
  bool InventoryReceived_ = false;
  bool Ready_ = false;
  bool WorkerLeaving_ = false;
  /// The worker does not answer polls. Its tasks may still be running under
  /// their leases.
  bool WorkerUnresponsive_ = false;
  /// Polls sent since the worker last answered one.
  int UnansweredPolls_ = 0;
  TimePoint LastInventoryAt_{};
  /// When all tasks of a worker that announced its exit count as ended, unless
  /// it still answers polls.
  TimePoint WorkerExitDeadline_ = TimePoint::max();
  Incarnation AnnouncedIncarnation_ = 0;
  bool Leaving_ = false;
  bool ExitSent_ = false;
  TimePoint NextHeartbeat_{};
  TimePoint NextPoll_{};
  TimePoint LastPollAt_{};
  TimePoint NextReportResend_{};
  TimePoint NextPacing_{};
};

} // namespace skylark
