/// \file
/// Defines the outputs of an agent's state machine, and the answers of its
/// worker and its target.
#pragma once

#include "core/Messages.h"

namespace skylark {

/// Sends a message to the entry at the other end of a connection.
struct SendToEntry {
  SessionNumber Session_ = 0;
  AgentMessage Message_;
};

/// Starts a task on the worker, which refuses it once the worker's clock has
/// passed LeaseUntil_. The lease end is a time on the worker's clock, so that a
/// delay between agent and worker can't lengthen the lease.
struct StartOnWorker {
  BindTask Bind_;
  Micros LeaseUntil_{0};

  static constexpr auto fields() {
    return std::make_tuple(&StartOnWorker::Bind_, &StartOnWorker::LeaseUntil_);
  }
};

/// Requests that the worker write a checkpoint of a task and then stop it.
struct StopOnWorker {
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
};

/// Allows the worker to discard its record of an ended attempt.
struct ForgetOnWorker {
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
};

/// Lease of a running attempt; LeaseUntil_ is on the worker's clock.
struct WorkerLease {
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
  Micros LeaseUntil_{0};
};

/// Renews leases and requests the worker's inventory in one call.
struct PollWorker {
  /// The incarnation on whose clock the leases are.
  Incarnation Worker_ = 0;
  std::vector<WorkerLease> Leases_;
  /// Number of the poll's fence. A poll with another fence than the poll before
  /// it makes the worker refuse each start command that was given earlier.
  std::uint64_t Fence_ = 0;
  /// Whether the worker must not hold the poll open until a task ends.
  bool AnswerAtOnce_ = false;
};

/// An attempt as listed in the worker's inventory.
struct WorkerTask {
  BindTask Bind_;
  TaskPhase Phase_ = TaskPhase::Running;
  CheckpointId Checkpoint_;
  ErrorKind Reason_ = ErrorKind::None;
  /// Whether only the task and attempt of Bind_ are set, because the worker
  /// does not store the rest of the binding.
  bool IdOnly_ = false;
  /// Share of the work done, in percent; 0 if the worker doesn't report it.
  std::uint32_t Progress_ = 0;
  /// Tail latency of a serving task; 0 if not reported.
  Millis Tail_{0};
  /// Processor use of any other task, in thousandths of a core; 0 if not
  /// reported.
  std::int64_t MilliCores_ = 0;
};

/// What a worker announces about itself.
struct WorkerAnnouncement {
  Incarnation Worker_ = 0;
  Resources Capacity_;
  std::string Rack_;
  std::vector<std::string> Labels_;
  ServiceName Service_;
  std::uint32_t Slots_ = 0;
  /// The worker accepts no new work and will exit soon.
  bool Leaving_ = false;
  /// The worker has exited; nothing runs on it any more.
  bool Exited_ = false;
};

/// Outcome of a command to start a task.
enum class StartOutcome : std::uint8_t {
  /// The worker has the attempt, from this command or an earlier copy of it.
  Accepted,
  /// The worker refused a copy of the command. Another copy, which the HTTP
  /// client or the network has made of it, may have taken effect or still do.
  Refused,
  /// No answer; the command may still take effect.
  Unknown
};

/// The worker's list of attempts. Clock_ is the worker's own clock at
/// the time of the snapshot.
struct WorkerInventory {
  Incarnation Worker_ = 0;
  Micros Clock_{0};
  std::vector<WorkerTask> Tasks_;
  /// Whether all attempts are listed and could be read. If not, one that is
  /// missing here may still be running, or have ended.
  bool Complete_ = true;
  /// Whether the worker has more ended attempts than it lists at a time. It
  /// lists the others once it has discarded some of these.
  bool MoreEnds_ = false;
  /// The fence of the poll that this answers: when the list was made, the
  /// worker already refused all start commands that were given before that
  /// fence. 0 if the worker has no fences.
  std::uint64_t Fence_ = 0;
};

/// Forwards a quick request to the target.
struct CallTarget {
  RequestId Request_;
  ServiceName Service_;
  std::string Body_;
  Micros Timeout_{0};
  bool Idempotent_ = false;
};

/// The target's complete answer, or the error kind of a failed call.
struct TargetResult {
  RequestId Request_;
  ErrorKind Error_ = ErrorKind::None;
  std::uint16_t Status_ = 0;
  std::string Body_;
};

/// Writes a decision to the log, with the id that it concerns and its reason
/// code.
struct LogDecision {
  std::string_view Event_;
  std::string Subject_;
  Revision Revision_ = 0;
  ErrorKind Reason_ = ErrorKind::None;
  std::string Detail_;
};

/// Ends the process: the graceful shutdown is complete.
struct ExitProcess {};

/// Restarts the agent's state machine on new connections, because the worker
/// was replaced by another instance.
struct RestartAgent {};

/// Requests that the process which runs the state machine keep a connection to
/// each of these entries.
struct ConnectEntries {
  std::vector<std::string> Addresses_;
};

/// Limits a task to a percentage of its full speed, to reduce its interference
/// with the worker's other tasks; 0 percent pauses it.
struct PaceOnWorker {
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
  std::uint32_t Percent_ = 0;
};

using AgentOutput =
    std::variant<SendToEntry, StartOnWorker, StopOnWorker, ForgetOnWorker,
                 PollWorker, PaceOnWorker, CallTarget, LogDecision, ExitProcess,
                 RestartAgent, ConnectEntries>;
using AgentOutbox = std::vector<AgentOutput>;

} // namespace skylark
