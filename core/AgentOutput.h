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

using AgentOutput =
    std::variant<SendToEntry, StartOnWorker, StopOnWorker, ForgetOnWorker,
                 PollWorker, CallTarget, LogDecision, ExitProcess>;
using AgentOutbox = std::vector<AgentOutput>;

} // namespace skylark
