/// \file
/// Defines the agent's keeping of tasks: queue, start, renew, stop, report.
#pragma once

#include "core/AgentOutput.h"
#include "core/ShareGuard.h"
#include "core/StartPermits.h"

#include <map>

namespace skylark {

/// The only authority over which tasks its worker runs.
class TaskHost {
public:
  explicit TaskHost(const Resources &Capacity) : Ledger_(Capacity) {}

  /// Takes over what the worker holds, after the agent process started.
  auto adopt(const WorkerInventory &Inventory) -> void;
  /// Brings the tasks up to date with the worker's list.
  /// \returns whether the list tells of ends that were not known.
  auto update(TimePoint Now, const WorkerInventory &Inventory, AgentOutbox &Out)
      -> bool;

  /// Sets the worker's size, once it has told it.
  auto resize(const Resources &Capacity) -> void { Ledger_.resize(Capacity); }
  /// Settles an order to start that the worker has answered, or not.
  auto startAnswered(TimePoint Now, const TaskId &Task, AttemptNumber Attempt,
                     StartOutcome Outcome, const StartPermits &Permits,
                     AgentOutbox &Out) -> void;
  /// Ends everything that ran: the worker is gone.
  auto loseWorker(AgentOutbox &Out) -> void;

  /// Paces what fills beside what serves, after a list was taken in.
  auto guardServing(TimePoint Now, const WorkerInventory &Inventory,
                    AgentOutbox &Out) -> void;
  auto learnPresses(const PressTable &Table) -> void { Guard_.adopt(Table); }

  auto claim(SessionNumber Session, const ClaimOwnership &Claim,
             AgentOutbox &Out) -> void;
  auto bind(TimePoint Now, SessionNumber Session, const BindTask &Bind,
            const StartPermits &Permits, AgentOutbox &Out) -> void;
  auto stop(const StopTask &Stop, AgentOutbox &Out) -> void;
  auto acknowledge(const TaskReportAck &Ack, AgentOutbox &Out) -> void;

  /// Gives back queued tasks whose lease has run out, and extends the leases of
  /// the others.
  /// Must run before a message is handled: the owner may have bound a task
  /// elsewhere once its lease has run out, so a lapsed one never revives.
  auto refreshLeases(TimePoint Now, const StartPermits &Permits,
                     AgentOutbox &Out) -> void;
  /// Starts queued tasks that fit, where starting is allowed at all.
  /// \param Seen the highest revision that the agent knows of.
  auto startQueued(TimePoint Now, const StartPermits &Permits, Revision Seen,
                   AgentOutbox &Out) -> void;
  /// The revision below which nothing can start any more: `Seen`, or lower
  /// while a start under a lower one may still be on its way to the worker.
  auto revisionInForce(Revision Seen) const -> Revision;
  /// Hands everything back: watchers at once, batch tasks a few at a time.
  auto drain(ErrorKind Reason, AgentOutbox &Out) -> void;
  /// Hands back what has not started; what runs stays.
  auto returnQueued(ErrorKind Reason, AgentOutbox &Out) -> void;
  /// Repeats the reports that the owner has not acknowledged.
  auto repeatReports(AgentOutbox &Out) -> void;
  /// Asks the worker for its list.
  /// \param Renew whether to renew the leases that may be renewed.
  auto poll(TimePoint Now, bool Renew, AgentOutbox &Out) -> void;
  /// When the worker has ended all it runs by itself, if it gets no order any
  /// more.
  auto leasesEnd() const -> TimePoint { return LeasesEnd_; }
  /// Forgets which connection owns shards; epochs stay.
  auto close(SessionNumber Session) -> void;

  auto free() const -> Resources { return Ledger_.free(); }
  auto empty() const -> bool { return Tasks_.empty(); }
  /// Whether tasks have ended here whose ends the owner has yet to take note
  /// of.
  auto holdsEnds() const -> bool;
  /// Tasks that wait for resources; not those that fill and are held back.
  auto queued() const -> std::uint32_t;
  auto worker() const -> Incarnation { return Worker_; }

private:
  struct HeldTask {
    BindTask Bind_;
    TaskPhase Phase_ = TaskPhase::Queued;
    CheckpointId Checkpoint_;
    ErrorKind Reason_ = ErrorKind::None;
    /// Until when the owner leaves the task to this agent.
    TimePoint LeaseUntil_{};
    /// On the worker's clock: after this a start can no longer take effect.
    Micros StartLeaseUntil_{0};
    /// The revision under which it was started.
    Revision StartRevision_ = 0;
    /// Found on the worker after a restart; Bind_ names it only.
    bool NeedsBinding_ = false;
    /// Found on the worker after a restart, at whatever pace.
    bool Adopted_ = false;
    /// Since when a task that fills waits for room below its neighbours'
    /// targets.
    TimePoint HeldBackSince_{};
  };
  struct Owner {
    Epoch Epoch_ = 0;
    SessionNumber Session_ = 0;
  };

  auto obey(ShardNumber Shard, Epoch Epoch, SessionNumber Session) -> bool;
  auto adoptTask(const WorkerTask &Task) -> void;
  auto updateTask(HeldTask &Held, const WorkerTask &Seen, AgentOutbox &Out)
      -> bool;
  auto completeBinding(HeldTask &Held, const BindTask &Bind) -> void;
  static auto reportOf(const HeldTask &Held) -> TaskReport;
  auto settleMissing(HeldTask &Held, const WorkerInventory &Inventory,
                     AgentOutbox &Out) -> void;
  auto dropUnheld(const WorkerInventory &Inventory, AgentOutbox &Out) -> void;
  auto end(HeldTask &Held, TaskPhase Phase, ErrorKind Reason, AgentOutbox &Out)
      -> void;
  auto report(const HeldTask &Held, AgentOutbox &Out) const -> void;
  auto startTask(HeldTask &Held, TimePoint LeaseUntil, Revision Seen,
                 AgentOutbox &Out) -> void;
  auto stopHeld(HeldTask &Held, ErrorKind Reason, AgentOutbox &Out) -> void;
  auto runUntil(const HeldTask &Held, const StartPermits &Permits) const
      -> TimePoint;
  auto sessionOf(ShardNumber Shard) const -> SessionNumber;
  auto startOrder() -> std::vector<HeldTask *>;
  /// Whether the tasks that serve leave room for the task to start.
  auto findsRoom(TimePoint Now, HeldTask &Held, AgentOutbox &Out) -> bool;
  static auto sharingOf(const HeldTask &Held) -> SharingTask;
  auto onWorkerClock(TimePoint Until) const -> Micros;

  static auto log(std::string_view Event, const HeldTask &Held,
                  AgentOutbox &Out) -> void;
  auto anyOwner() const -> SessionNumber;

  ResourceLedger Ledger_;
  ShareGuard Guard_;
  auto noteLease(TimePoint Now, TimePoint Until) -> void;

  TimePoint LeasesEnd_{};
  Incarnation Worker_ = 0;
  Micros WorkerClock_{0};
  TimePoint WorkerClockAt_{};
  /// By task; an earlier attempt that the owner has settled is replaced.
  std::map<TaskId, HeldTask> Tasks_;
  std::map<ShardNumber, Owner> Owners_;
};

} // namespace skylark
