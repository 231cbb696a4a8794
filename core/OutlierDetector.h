/// \file
/// Defines which workers are kept from work since tasks fail on them.
#pragma once

#include "core/ShardUsage.h"

#include <map>
#include <set>
#include <vector>

namespace skylark {

/// Ejects workers on which task after task fails, for a time that begins short
/// and grows with each further ejection, and then tries them with single tasks.
/// A failure counts against its worker only as long as it isn't explained by
/// the task: tasks of a step that has failed on several workers and finished on
/// none fail wherever they run. At most half of the workers are ejected.
class OutlierDetector {
public:
  /// How far a worker may be used.
  enum class Standing : std::uint8_t {
    /// Without restriction.
    Sound,
    /// For a single task, which shows whether it is sound again.
    Probation,
    /// Only for tasks that find no other worker.
    Ejected
  };

  /// Counts an attempt that failed.
  /// \param Workers number of workers of the fleet.
  auto failed(TimePoint Now, const WorkerKey &Worker, const StepKey &Step,
              std::size_t Workers) -> void;
  /// Counts an attempt that finished.
  auto finished(TimePoint Now, const WorkerKey &Worker, const StepKey &Step)
      -> void;
  /// Counts a task that was bound to a worker: the trial of one that isn't
  /// sound.
  auto bound(TimePoint Now, const WorkerKey &Worker) -> void;

  auto standingOf(TimePoint Now, const WorkerKey &Worker) const -> Standing;
  /// Whether a worker that isn't sound may get a task now, as a trial.
  auto mayTry(TimePoint Now, const WorkerKey &Worker) const -> bool;

  /// True if no failure is known that could count against a worker.
  auto empty() const -> bool { return Workers_.empty(); }
  /// Removes what is known of steps and workers of which nothing was heard for
  /// a long time.
  auto prune(TimePoint Now) -> void;
  auto clear() -> void;

private:
  struct Failure {
    StepKey Step_;
    TimePoint At_{};
  };
  struct WorkerRecord {
    /// Failures since the last success.
    std::vector<Failure> Failures_;
    TimePoint EjectedUntil_{};
    /// Number of ejections since the worker was last sound.
    std::uint32_t Ejections_ = 0;
    /// When a task was last bound to it while it wasn't sound.
    TimePoint TriedAt_{};
    TimePoint HeardAt_{};
  };
  struct StepRecord {
    std::set<AgentId> FailedOn_;
    bool Finished_ = false;
    TimePoint HeardAt_{};
  };

  /// Whether the step's tasks fail wherever they run.
  auto isHopeless(const StepKey &Step) const -> bool;
  /// Number of recent failures that count against the worker.
  auto countFailures(TimePoint Now, const WorkerRecord &Record) const
      -> std::size_t;
  /// Reinstates workers whose ejection rests on failures of hopeless steps.
  auto reinstate(TimePoint Now) -> void;
  auto countEjected(TimePoint Now) const -> std::size_t;

  std::map<WorkerKey, WorkerRecord> Workers_;
  std::map<StepKey, StepRecord> Steps_;
};

} // namespace skylark
