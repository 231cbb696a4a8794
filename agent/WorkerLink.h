/// \file
/// Defines the interface through which an agent controls its worker.
#pragma once

#include "core/AgentOutput.h"

#include <functional>

namespace skylark {

/// Callbacks for a worker's announcements and its answers to commands. All are
/// called on the traffic thread.
struct WorkerLinkHandlers {
  /// The worker's list of attempts, in answer to PollWorker.
  std::function<void(WorkerInventory)> InventoryReceived_;
  std::function<void(WorkerAnnouncement)> AnnouncementReceived_;
  /// The outcome of StartOnWorker.
  std::function<void(TaskId, AttemptNumber, StartOutcome)> StartAnswered_;
  /// The worker has carried StopOnWorker out; may be empty.
  std::function<void(TaskId, AttemptNumber)> StopAnswered_;
};

/// Sends an agent's commands to its worker. All methods run on the traffic
/// thread. A command may be lost, and may take effect late.
class WorkerLink {
public:
  WorkerLink() = default;
  virtual ~WorkerLink() = default;
  WorkerLink(const WorkerLink &) = delete;
  auto operator=(const WorkerLink &) -> WorkerLink & = delete;

  /// Starts to listen for the worker's announcements, if the interface has any.
  virtual auto listen() -> void = 0;
  virtual auto execute(const StartOnWorker &Start) -> void = 0;
  virtual auto execute(const StopOnWorker &Stop) -> void = 0;
  virtual auto execute(const ForgetOnWorker &Forget) -> void = 0;
  virtual auto execute(const PollWorker &Poll) -> void = 0;
  virtual auto execute(const PaceOnWorker &Pace) -> void = 0;
};

} // namespace skylark
