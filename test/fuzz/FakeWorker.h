/// \file
/// Defines the worker and target of the randomised runs.
#pragma once

#include "core/AgentOutput.h"
#include "test/fuzz/Checker.h"

namespace skylark::Fuzz {

/// What a fake worker is told of itself.
struct WorkerPlan {
  std::string Name_;
  DataCentreName Centre_;
  Resources Capacity_;
  Incarnation Incarnation_ = 0;
};

/// Runs tasks under leases on its own clock, and tells the checker.
class FakeWorker {
public:
  FakeWorker(WorkerPlan Plan, Checker &Checker)
      : Plan_(std::move(Plan)), Checker_(Checker) {}

  /// `Clock` is the worker's own; `Now` the true time, for the checker.
  auto start(TrueTime Now, Micros Clock, const StartOnWorker &Start,
             Incarnation Agent, Revision AgentRevision) -> void;
  auto stop(const StopOnWorker &Stop, Incarnation Agent) -> void;
  auto forget(const ForgetOnWorker &Forget, Incarnation Agent) -> void;
  auto renew(const PollWorker &Poll, Incarnation Agent) -> void;
  auto list(Micros Clock) const -> WorkerInventory;
  /// Lets tasks progress, finish and lapse.
  auto step(Micros Clock, Micros Passed) -> void;
  /// The instance dies: all that it ran ends here.
  auto die() -> void;

  auto setFailing(bool Value) -> void { Failing_ = Value; }
  auto plan() const -> const WorkerPlan & { return Plan_; }

private:
  struct Held {
    WorkerTask Task_;
    Micros LeaseUntil_{0};
    Micros Done_{0};
  };
  auto obeys(Incarnation Agent) -> bool;
  auto end(Held &Each, TaskPhase Phase, ErrorKind Reason) -> void;

  WorkerPlan Plan_;
  Checker &Checker_;
  Incarnation Agent_ = 0;
  std::map<TaskId, Held> Tasks_;
  bool Failing_ = false;
};

} // namespace skylark::Fuzz
