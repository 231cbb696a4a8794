/// \file
/// Defines how an agent's orders reach the worker beside it.
#pragma once

#include "core/AgentOutput.h"

#include <functional>

namespace skylark {

/// What a worker tells without being asked, and in answer to orders. Called on
/// the traffic thread.
struct WorkerLinkHandlers {
  std::function<void(WorkerInventory)> Listed_;
  std::function<void(WorkerAnnouncement)> Announced_;
  std::function<void(TaskId, AttemptNumber, StartOutcome)> StartAnswered_;
};

/// Carries out an agent's orders to its worker. All methods run on the traffic
/// thread; an order may be lost, and may be carried out late.
class WorkerLink {
public:
  WorkerLink() = default;
  virtual ~WorkerLink() = default;
  WorkerLink(const WorkerLink &) = delete;
  auto operator=(const WorkerLink &) -> WorkerLink & = delete;

  /// Starts to listen for what the worker announces, where it does.
  virtual auto open() -> void = 0;
  virtual auto order(const StartOnWorker &Start) -> void = 0;
  virtual auto order(const StopOnWorker &Stop) -> void = 0;
  virtual auto order(const ForgetOnWorker &Forget) -> void = 0;
  virtual auto order(const PollWorker &Poll) -> void = 0;
  virtual auto order(const PaceOnWorker &Pace) -> void = 0;
};

} // namespace skylark
