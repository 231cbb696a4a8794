/// \file
/// Defines the agent's task management: queueing, starting, lease renewal,
/// stopping and reporting.
#pragma once

#include "core/AgentOutput.h"
#include "core/InterferenceController.h"
#include "core/StartPermits.h"

#include <map>
#include <optional>
#include <set>

namespace skylark {

/// Manages the tasks of one worker. It alone decides which tasks the worker
/// runs.
class TaskManager {
public:
  explicit TaskManager(const Resources &Capacity) : Ledger_(Capacity) {}

  /// Leases that others may have given to the worker before the agent took it
  /// over, or that were meant for an earlier life of it.
  struct EarlierLeases {
    /// When all of them have expired.
    TimePoint Until_{};
    /// The longest time that a stop takes. As long as such a lease may be in
    /// effect, the worker doesn't stop a task by itself when the task's own
    /// lease expires.
    Millis LongestStop_{0};
  };

  /// Adopts the tasks that are on the worker when the agent process starts.
  auto adopt(TimePoint Now, const WorkerInventory &Inventory,
             const EarlierLeases &Earlier) -> void;
  /// Updates the tasks from the worker's inventory.
  /// \returns whether the inventory shows tasks that have newly ended.
  auto update(TimePoint Now, const WorkerInventory &Inventory, AgentOutbox &Out)
      -> bool;

  /// Sets the worker's capacity as announced. After it has shrunk, bindings
  /// that the owner made for the larger one may arrive for some time.
  auto resize(TimePoint Now, const Resources &Capacity) -> void;
  /// Returns the queued tasks for which a shrunk capacity has left no room to
  /// their owners, which can place them on other workers.
  auto returnUnplaceable(TimePoint Now, AgentOutbox &Out) -> void;
  /// Handles the outcome of a start command, which may be unknown. A refused
  /// one leaves the attempt as it is until an inventory shows whether another
  /// copy of the command has taken effect.
  auto startAnswered(TimePoint Now, const TaskId &Task, AttemptNumber Attempt,
                     StartOutcome Outcome, const StartPermits &Permits,
                     AgentOutbox &Out) -> void;
  /// Handles that the worker has carried a stop command out.
  auto stopAnswered(TimePoint Now, const TaskId &Task, AttemptNumber Attempt,
                    AgentOutbox &Out) -> void;
  /// Ends all tasks, because the worker is gone.
  auto endAllTasks(AgentOutbox &Out) -> void;

  /// Sets the paces of best-effort tasks, and evicts some, so that serving
  /// tasks meet their latency targets. Called after update() with the same
  /// inventory.
  auto paceBestEffort(TimePoint Now, const WorkerInventory &Inventory,
                      AgentOutbox &Out) -> void;
  auto adoptInterference(const InterferenceTable &Table) -> void {
    InterferenceController_.adopt(Table);
  }

  /// Accepts the sender as the shard's owner unless a higher epoch is known.
  /// Answers with the highest known epoch and, if the sender was accepted, with
  /// the shard's tasks that are held here.
  auto claim(SessionNumber Session, const ClaimOwnership &Claim,
             AgentOutbox &Out) -> void;
  /// Queues a newly bound task, or reports that it can't start; a repeated
  /// binding has the task's state reported again. Bindings by another sender
  /// than the current owner, or for another instance of the worker, are
  /// ignored.
  auto bind(TimePoint Now, SessionNumber Session, const BindTask &Bind,
            const StartPermits &Permits, AgentOutbox &Out) -> void;
  /// Stops an attempt, or refuses its binding if that arrives later. A
  /// cancellation is final, so it is obeyed under any owner's epoch.
  auto stop(TimePoint Now, const StopTask &Stop, AgentOutbox &Out) -> void;
  /// Removes an ended task once its owner has recorded the end.
  auto acknowledge(const TaskReportAck &Ack, AgentOutbox &Out) -> void;

  /// Returns queued tasks whose lease has expired to their owners, stops others
  /// whose lease has expired, and extends the leases of the rest.
  /// Must run before a message is handled: the owner may have bound a task
  /// elsewhere once its lease has expired, so an expired lease must never be
  /// extended.
  auto refreshLeases(TimePoint Now, const StartPermits &Permits,
                     AgentOutbox &Out) -> void;
  /// Starts the queued tasks that fit, while a permit to start is valid.
  /// \param Observed the highest revision known to the agent.
  auto startQueued(TimePoint Now, const StartPermits &Permits,
                   Revision Observed, AgentOutbox &Out) -> void;
  /// The revision below which nothing can start any more: `Observed`, or a
  /// lower one while a start command issued under it may still be on its way to
  /// the worker.
  auto revisionInForce(Revision Observed) const -> Revision;
  /// Stops all tasks and returns them to their owners: watchers at once, batch
  /// tasks a few at a time.
  auto drain(ErrorKind Reason, AgentOutbox &Out) -> void;
  /// Returns queued tasks to their owners; running ones are left running.
  auto returnQueued(ErrorKind Reason, AgentOutbox &Out) -> void;
  /// Resends the reports that the owner has not acknowledged.
  auto resendReports(AgentOutbox &Out) -> void;
  /// Repeats the stop commands whose turn has come, since each may be lost on
  /// its way to the worker.
  auto repeatStops(TimePoint Now, AgentOutbox &Out) -> void;
  /// Requests the worker's inventory.
  /// \param Renew whether to renew task leases in the same call.
  auto poll(TimePoint Now, bool Renew, AgentOutbox &Out) -> void;
  /// Repeats the unanswered start commands whose turn has come.
  auto repeatStarts(TimePoint Now, const StartPermits &Permits,
                    AgentOutbox &Out) -> void;
  /// Sends a poll with a new fence if a start command was refused of which
  /// another copy may still take effect. There is one such poll at a time; if
  /// it is lost, the next regular poll has its fence.
  auto fenceRefusedStarts(TimePoint Now, bool Renew, AgentOutbox &Out) -> void;
  /// When all leases given to the worker have expired. By then the worker has
  /// stopped all its tasks by itself, if it gets no further command.
  auto latestLeaseEnd() const -> TimePoint { return LatestLeaseEnd_; }
  /// Clears the closed connection from the shards' owners; epochs are kept.
  auto close(SessionNumber Session) -> void;

  auto free() const -> Resources { return Ledger_.free(); }
  /// Whether no task is held and no end awaits its owner.
  auto empty() const -> bool {
    return Tasks_.empty() && !hasUnacknowledgedEnds();
  }
  /// Whether there are ended attempts whose end the owner has not acknowledged.
  auto hasUnacknowledgedEnds() const -> bool;
  /// Number of tasks that wait for resources, without best-effort tasks that
  /// wait for latency headroom.
  auto queued() const -> std::uint32_t;
  auto worker() const -> Incarnation { return Worker_; }

private:
  using AttemptKey = std::pair<TaskId, AttemptNumber>;
  struct HeldTask {
    BindTask Bind_;
    TaskPhase Phase_ = TaskPhase::Queued;
    CheckpointId Checkpoint_;
    ErrorKind Reason_ = ErrorKind::None;
    /// Until this time the owner won't bind the task elsewhere.
    TimePoint LeaseUntil_{};
    /// Time on the worker's clock after which a start command can no longer
    /// take effect.
    Micros StartLeaseUntil_{0};
    /// The fence at the time of the last start command, which no longer takes
    /// effect once the worker knows a later one.
    std::uint64_t StartFence_ = 0;
    /// Whether a copy of the start command was refused.
    bool StartRefused_ = false;
    /// Whether the last start command got no answer and wasn't repeated yet.
    bool StartUnanswered_ = false;
    /// The start command isn't repeated before this time.
    TimePoint NextStartRepeat_{};
    /// The configuration revision under which the task was started.
    Revision StartRevision_ = 0;
    /// Adopted after a restart of the agent; only the ids in Bind_ are known.
    bool NeedsBinding_ = false;
    /// The attempt, or an earlier one, may be among the ends that the worker
    /// doesn't list yet, so it isn't started before they are listed.
    bool AwaitsList_ = false;
    /// Adopted after a restart of the agent; its pace is unknown.
    bool Adopted_ = false;
    /// Whether the worker was told to stop the task. While the start is
    /// unanswered, the phase stays Starting.
    bool StopRequested_ = false;
    /// The stop command isn't repeated before this time.
    TimePoint NextStopRepeat_{};
    /// Whether the worker lists the attempt as running although it was reported
    /// as ended.
    bool RunsAfterEnd_ = false;
    /// Whether it was logged that the worker lists another end than the one
    /// reported.
    bool ConflictLogged_ = false;
    /// Since when a best-effort task has waited for latency headroom, that is,
    /// until it can start without a serving task missing its target.
    TimePoint AwaitingHeadroomSince_{};
  };
  /// A stop of an attempt that the agent doesn't know and that the worker may
  /// run, since the worker's list isn't whole.
  struct UnknownStop {
    StopTask Stop_;
    /// When the worker first answered it.
    std::optional<TimePoint> AnsweredAt_;
  };
  struct Owner {
    Epoch Epoch_ = 0;
    SessionNumber Session_ = 0;
    /// The owner was sent a list of tasks that isn't whole.
    bool AwaitsList_ = false;
  };

  /// Records the connection of the shard's owner.
  /// \returns false if an owner with a higher epoch is known.
  auto acceptOwner(ShardNumber Shard, Epoch Epoch, SessionNumber Session)
      -> bool;
  auto adoptTask(const WorkerTask &Task) -> void;
  /// Whether resources are reserved for the attempt.
  auto isReserved(const BindTask &Bind) const -> bool;
  /// \returns whether the task has newly ended.
  auto updateTask(HeldTask &Held, const WorkerTask &Observed, AgentOutbox &Out)
      -> bool;
  /// Adds the full binding to an adopted task of which only the ids were known.
  auto completeBinding(HeldTask &Held, const BindTask &Bind) -> void;
  static auto reportOf(const HeldTask &Held) -> TaskReport;
  /// Ends a task that is missing from the inventory, unless a start command
  /// that was sent for it may still take effect.
  auto resolveMissing(HeldTask &Held, const WorkerInventory &Inventory,
                      AgentOutbox &Out) -> void;
  /// Handles that the worker lists an ended attempt otherwise than it was
  /// reported: its list counts.
  auto correctEnd(HeldTask &Held, const WorkerTask &Observed, AgentOutbox &Out)
      -> void;
  /// Makes the worker stop attempts that the agent doesn't hold, and reports
  /// the ends of such attempts, which an owner must record or know already
  /// before the worker may discard them.
  auto handleUnheldAttempts(const WorkerInventory &Inventory, AgentOutbox &Out)
      -> void;
  /// Whether the owner has acknowledged this end of the attempt, and not just
  /// another end that was reported before the attempt turned out to have
  /// finished.
  auto isAcknowledged(const WorkerTask &Ended) const -> bool;
  /// Sends the shard's owner the tasks of the shard that are held here.
  auto sendConfirmation(ShardNumber Shard, Owner &To, AgentOutbox &Out) const
      -> std::size_t;
  /// Returns the report of a finished attempt of the task, if there is one.
  auto finishedAttempt(const BindTask &Later) const
      -> std::optional<TaskReport>;
  /// The same among the attempts that the agent doesn't hold.
  auto finishedUnheld(const TaskId &Task) const -> std::optional<TaskReport>;
  /// Whether a queued task waits for no list of the worker's attempts any more,
  /// and none shows that the task has finished.
  auto mayStart(HeldTask &Held) const -> bool;
  auto end(HeldTask &Held, TaskPhase Phase, ErrorKind Reason, AgentOutbox &Out)
      -> void;
  auto report(const HeldTask &Held, AgentOutbox &Out) const -> void;
  auto sendReport(const TaskReport &Report, AgentOutbox &Out) const -> void;
  auto startTask(HeldTask &Held, TimePoint LeaseUntil, Revision Observed,
                 AgentOutbox &Out) -> void;
  /// Repeats the start command if it is unanswered and its turn has come.
  auto repeatStart(TimePoint Now, HeldTask &Held, const StartPermits &Permits,
                   AgentOutbox &Out) -> void;
  /// Commands the start of a task of which all but the end of its lease is
  /// decided.
  auto commandStart(HeldTask &Held, AgentOutbox &Out) const -> void;
  /// Whether no copy of the task's start command can take effect after the
  /// worker has made this list.
  static auto cannotStartAfter(const HeldTask &Held,
                               const WorkerInventory &Inventory) -> bool;
  /// Handles that the worker has the task, whose start was commanded.
  auto startObserved(HeldTask &Held, AgentOutbox &Out) -> void;
  /// Makes the worker stop an attempt that isn't known here, and refuses its
  /// binding. While the worker's list isn't whole the attempt may be running,
  /// and counts as ended only after the worker has answered the stop.
  auto stopUnknown(const StopTask &Stop, AgentOutbox &Out) -> void;
  /// Whether an earlier attempt is still to end or to be reported, so that a
  /// later one can't be recorded yet; or the owner knows this one's end.
  auto hasOtherAttempt(const TaskId &Task, AttemptNumber Attempt) const -> bool;
  /// Records the end of an attempt that isn't known here.
  auto endUnknown(const StopTask &Stop, TaskPhase Phase, AgentOutbox &Out)
      -> void;
  /// Ends a queued task, and commands the worker to stop any other.
  auto stopHeld(HeldTask &Held, ErrorKind Reason, AgentOutbox &Out) -> void;
  /// Whether the task's lease has expired, or expires so soon that the task
  /// has to be stopped now in order to end in time.
  auto hasExpired(const HeldTask &Held, TimePoint Now) const -> bool;
  /// Until when the task may run under its owner's grants.
  auto runUntil(const HeldTask &Held, const StartPermits &Permits) const
      -> TimePoint;
  /// Connection of the shard's owner; 0 if there is none.
  auto sessionOf(ShardNumber Shard) const -> SessionNumber;
  /// The queued tasks in the order in which they are to start.
  auto startOrder() -> std::vector<HeldTask *>;
  /// Admits a task unless it is best-effort work whose start would make a
  /// serving task miss its latency target. A task that has waited too long for
  /// admission is returned to its owner.
  /// \returns whether the task may start now.
  auto tryAdmit(TimePoint Now, HeldTask &Held, AgentOutbox &Out) -> bool;
  static auto colocatedTaskOf(const HeldTask &Held) -> ColocatedTask;
  /// Converts the end of a lease to the worker's clock, early rather than late.
  auto toWorkerClock(TimePoint Until) const -> Micros;

  static auto log(std::string_view Event, const HeldTask &Held,
                  AgentOutbox &Out) -> void;
  /// Connection of any shard's owner; 0 if there is none.
  auto anyOwnerSession() const -> SessionNumber;

  ResourceLedger Ledger_;
  /// Until this time the owner may be unaware that the capacity has shrunk.
  TimePoint StaleBindingsUntil_{};
  InterferenceController InterferenceController_;
  /// Includes a lease that is given to the worker in latestLeaseEnd().
  auto recordLease(TimePoint Now, TimePoint Until) -> void;

  EarlierLeases Earlier_;
  TimePoint LatestLeaseEnd_{};
  Incarnation Worker_ = 0;
  /// The fence of the next poll.
  std::uint64_t Fence_ = 0;
  /// The latest fence that the worker is known to have seen.
  std::uint64_t ConfirmedFence_ = 0;
  Micros WorkerClock_{0};
  TimePoint WorkerClockAt_{};
  /// Whether the worker's last inventory lists running attempts for which
  /// nothing is reserved.
  bool RunsUnreserved_ = false;
  /// By task. A new attempt replaces an earlier one that has ended.
  std::map<TaskId, HeldTask> Tasks_;
  /// Attempts in the worker's last inventory that the agent doesn't hold and
  /// whose ends no owner has acknowledged.
  std::map<AttemptKey, TaskReport> UnheldAttempts_;
  /// Acknowledged ends that the worker may still list.
  std::map<AttemptKey, TaskPhase> AcknowledgedEnds_;
  /// Whether the worker has more ended attempts than its last inventory lists.
  bool MoreEnds_ = false;
  /// Whether the worker's last inventory lists all attempts and all of them
  /// could be read. Otherwise one that is missing may be running.
  bool ListIsWhole_ = true;
  std::map<AttemptKey, UnknownStop> UnknownStops_;
  /// Whether the agent has seen a whole list of ends, and so knows all attempts
  /// that were on the worker before its own.
  bool ListWasWhole_ = false;
  std::map<ShardNumber, Owner> Owners_;
};

} // namespace skylark
