/// \file
/// Defines the agent's decisions: one worker, one target, several entries.
#pragma once

#include "core/RequestQueue.h"
#include "core/TaskHost.h"

namespace skylark {

/// What an agent knows of itself from its settings.
struct AgentIdentity {
  AgentId Agent_;
  Incarnation Incarnation_ = 0;
  DataCentreName DataCentre_;
  std::string Rack_;
  Resources Capacity_;
  TargetLimits Limits_;
  std::vector<ServiceName> Services_;
  std::vector<std::string> Labels_;
  /// Whether the worker announces its size itself; until then none is known.
  bool WorkerAnnounces_ = false;
  /// Longest lease that the worker accepts.
  Millis LongestLease_{60000};
};

/// The agent as a state machine: inputs are its public commands, outputs go to
/// the outbox, and time comes in with each call.
class AgentCore {
public:
  explicit AgentCore(AgentIdentity Identity);

  auto openSession(Moment Now, SessionNumber Session, AgentOutbox &Out) -> void;
  auto closeSession(Moment Now, SessionNumber Session) -> void;
  auto receive(Moment Now, SessionNumber Session, const EntryMessage &Message,
               AgentOutbox &Out) -> void;
  auto workerListed(Moment Now, const WorkerInventory &Inventory,
                    AgentOutbox &Out) -> void;
  auto workerAnnounced(Moment Now, const WorkerAnnouncement &Announced,
                       AgentOutbox &Out) -> void;
  auto startAnswered(Moment Now, const TaskId &Task, AttemptNumber Attempt,
                     StartOutcome Outcome, AgentOutbox &Out) -> void;
  auto targetAnswered(Moment Now, const TargetResult &Result, AgentOutbox &Out)
      -> void;
  /// Sends heartbeats, renews leases, starts and drains; several times a
  /// second.
  auto tick(Moment Now, AgentOutbox &Out) -> void;
  /// Begins a graceful shutdown, which ends with ExitProcess.
  auto leave(Moment Now, AgentOutbox &Out) -> void;

  /// Connections that have been silent for too long and must be replaced.
  auto silentSessions(Moment Now) const -> std::vector<SessionNumber>;
  /// Whether the worker takes nothing new, because it or the agent leaves.
  auto leaving() const -> bool {
    return Leaving_ || WorkerLeaving_ || WorkerSilent_;
  }
  auto configuration() const -> const Configuration & { return Current_; }
  auto ready() const -> bool { return Ready_; }

private:
  struct Session {
    std::uint64_t HeartbeatSequence_ = 0;
    std::map<std::uint64_t, TimePoint> SentAt_;
    std::uint64_t WorkSequence_ = 0;
    TimePoint HeardAt_{};
    bool ConfigurationSent_ = false;
  };

  auto sayHello(SessionNumber Number, AgentOutbox &Out) -> void;
  auto sendHeartbeat(Moment Now, SessionNumber Number, AgentOutbox &Out)
      -> void;
  auto sendHeartbeats(Moment Now, AgentOutbox &Out) -> void;
  auto isDuplicate(SessionNumber Number, std::uint64_t Sequence) -> bool;
  auto watchWorker(Moment Now, AgentOutbox &Out) -> void;
  auto becomeReady(AgentOutbox &Out) -> void;
  /// Starts what waits, or hands it back where nothing may start here.
  auto startQueued(Moment Now, AgentOutbox &Out) -> void;
  auto pollWorker(Moment Now, AgentOutbox &Out) -> void;
  /// Plans the next look, after one was answered.
  auto lookAgain(Moment Now, AgentOutbox &Out) -> void;
  auto refuseReason() const -> ErrorKind;
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
  auto handle(Moment Now, SessionNumber Number, const PressTable &Table,
              AgentOutbox &Out) -> void;
  auto handle(Moment Now, SessionNumber Number, const KnownEntries &Entries,
              AgentOutbox &Out) -> void;

  AgentIdentity Identity_;
  Configuration Current_;
  StartPermits Permits_;
  TaskHost Tasks_;
  RequestQueue Requests_;
  std::map<SessionNumber, Session> Sessions_;
  /// The worker has told its size, and its list is adopted.
  bool Announced_ = false;
  bool Listed_ = false;
  bool Ready_ = false;
  bool WorkerLeaving_ = false;
  /// The worker has not answered for a while; it may run on under its leases.
  bool WorkerSilent_ = false;
  /// Looks sent since the worker last answered one.
  int OpenLooks_ = 0;
  /// When everything on a worker that has ended counts as over.
  TimePoint WorkerGoneAt_ = TimePoint::max();
  Incarnation AnnouncedWorker_ = 0;
  bool Leaving_ = false;
  bool ExitSent_ = false;
  TimePoint NextHeartbeat_{};
  TimePoint NextPoll_{};
  TimePoint LookedAt_{};
  TimePoint NextRepeat_{};
  TimePoint NextGuard_{};
};

} // namespace skylark
