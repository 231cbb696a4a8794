/// \file
/// Defines what an agent asks of the world around it, and what the worker and
/// the target answer.
#pragma once

#include "core/Messages.h"

namespace skylark {

/// Sends a message to the entry on one connection.
struct SendToEntry {
  SessionNumber Session_ = 0;
  AgentMessage Message_;
};

/// Starts a task on the worker, which refuses it once its clock has passed
/// LeaseUntil_. The time is on the worker's clock, so that a delay between
/// agent and worker can't lengthen the lease.
struct StartOnWorker {
  BindTask Bind_;
  Micros LeaseUntil_{0};

  static constexpr auto fields() {
    return std::make_tuple(&StartOnWorker::Bind_, &StartOnWorker::LeaseUntil_);
  }
};

/// Writes a checkpoint of a task and stops it.
struct StopOnWorker {
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
};

/// Lets the worker drop what it remembers of an ended attempt.
struct ForgetOnWorker {
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
};

struct WorkerLease {
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
  Micros LeaseUntil_{0};
};

/// Renews leases and asks for the worker's inventory in one call.
struct PollWorker {
  std::vector<WorkerLease> Leases_;
};

/// One attempt as the worker knows it.
struct WorkerTask {
  BindTask Bind_;
  TaskPhase Phase_ = TaskPhase::Running;
  CheckpointId Checkpoint_;
  ErrorKind Reason_ = ErrorKind::None;
  /// Whether Bind_ names the task and attempt only: the worker doesn't keep
  /// what the task was bound with.
  bool NameOnly_ = false;
  /// Share of the work done, in percent, where the worker tells it.
  std::uint32_t Progress_ = 0;
  /// Tail latency of a task that serves users of its own, where told.
  Millis Tail_{0};
  /// Processors in use of any other task, in thousandths, where told.
  std::int64_t MilliCores_ = 0;
};

/// What a worker announces of itself.
struct WorkerAnnouncement {
  Incarnation Worker_ = 0;
  Resources Capacity_;
  std::string Rack_;
  std::vector<std::string> Labels_;
  ServiceName Service_;
  std::uint32_t Slots_ = 0;
  /// The worker takes nothing new and ends soon.
  bool Leaving_ = false;
  /// The worker has ended: nothing runs on it any more.
  bool Gone_ = false;
};

/// What became of an order to start a task.
enum class StartOutcome : std::uint8_t {
  /// The attempt is there, from this order or an earlier copy of it.
  Accepted,
  /// The order was refused, and no copy of it can take effect any more.
  Refused,
  /// No answer: the order may take effect late.
  Unknown
};

/// The worker's whole list; Clock_ is its own clock when it made the list.
struct WorkerInventory {
  Incarnation Worker_ = 0;
  Micros Clock_{0};
  std::vector<WorkerTask> Tasks_;
};

/// Passes a quick request to the target.
struct CallTarget {
  RequestId Request_;
  ServiceName Service_;
  std::string Body_;
  Micros Timeout_{0};
  bool Idempotent_ = false;
};

/// The target's whole answer, or the error kind of a call that broke.
struct TargetResult {
  RequestId Request_;
  ErrorKind Error_ = ErrorKind::None;
  std::uint16_t Status_ = 0;
  std::string Body_;
};

/// A decision for the log, with the ids and the reason code it belongs to.
struct LogDecision {
  std::string_view Event_;
  std::string Subject_;
  Revision Revision_ = 0;
  ErrorKind Reason_ = ErrorKind::None;
  std::string Detail_;
};

/// A graceful shutdown is complete.
struct ExitProcess {};

/// The worker was replaced by another one: the agent begins anew, on new
/// connections.
struct StartAnew {};

/// Asks the driver to hold a connection to each of these entries.
struct ConnectEntries {
  std::vector<std::string> Addresses_;
};

/// Lets a task work, and disturb its neighbours, at a share of its speed.
struct PaceOnWorker {
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
  std::uint32_t Percent_ = 0;
};

using AgentOutput =
    std::variant<SendToEntry, StartOnWorker, StopOnWorker, ForgetOnWorker,
                 PollWorker, PaceOnWorker, CallTarget, LogDecision, ExitProcess,
                 StartAnew, ConnectEntries>;
using AgentOutbox = std::vector<AgentOutput>;

} // namespace skylark
