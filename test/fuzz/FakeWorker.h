/// \file
/// Defines the worker of the randomised simulation.
#pragma once

#include "core/AgentOutput.h"
#include "test/fuzz/Checker.h"

namespace skylark::Fuzz {

/// Identity and capacity of a fake worker.
struct WorkerConfig {
  std::string Name_;
  DataCentreName DataCentreName_;
  Resources Capacity_;
  Incarnation Incarnation_ = 0;
};

/// Simulates a worker that runs tasks under leases, and reports their starts
/// and ends to the checker. Commands of an agent incarnation older than the
/// newest one seen have no effect.
class FakeWorker {
public:
  FakeWorker(WorkerConfig Config, Checker &Checker)
      : Config_(std::move(Config)), Checker_(Checker) {}

  /// \param Now time of the simulation, for the checker.
  /// \param Clock time on the worker's own clock, on which leases end.
  /// \param Agent incarnation of the agent that gives the command.
  /// \param AgentRevision revision that the agent had when it gave the command.
  auto start(TrueTime Now, Micros Clock, const StartOnWorker &Start,
             Incarnation Agent, Revision AgentRevision) -> void;
  auto stop(const StopOnWorker &Stop, Incarnation Agent) -> void;
  auto forget(const ForgetOnWorker &Forget, Incarnation Agent) -> void;
  auto renewLeases(const PollWorker &Poll, Incarnation Agent) -> void;
  auto inventory(Micros Clock) const -> WorkerInventory;
  /// Advances the running tasks by `Elapsed`, and ends those that are complete
  /// or whose leases have expired.
  auto advance(Micros Clock, Micros Elapsed) -> void;
  /// Ends and discards all tasks, as when the worker's instance is lost.
  auto terminate() -> void;

  /// Sets whether running tasks fail at the next advance().
  auto setFailing(bool Value) -> void { Failing_ = Value; }
  auto config() const -> const WorkerConfig & { return Config_; }

private:
  struct TaskRecord {
    WorkerTask Task_;
    Micros LeaseUntil_{0};
    /// Run time completed so far; a checkpoint holds this value.
    Micros WorkDone_{0};
  };
  /// Whether an agent's command may take effect; records the agent if so.
  auto acceptsAgent(Incarnation Agent) -> bool;
  auto end(TaskRecord &Each, TaskPhase Phase, ErrorKind Reason) -> void;

  WorkerConfig Config_;
  Checker &Checker_;
  /// The highest agent incarnation seen.
  Incarnation NewestAgent_ = 0;
  std::map<TaskId, TaskRecord> Tasks_;
  bool Failing_ = false;
};

} // namespace skylark::Fuzz
