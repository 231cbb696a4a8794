/// \file
/// Defines how many suspects one binding pass may try.
#pragma once

#include "core/WorkerRequirement.h"

#include <functional>
#include <map>

namespace skylark {

/// Limits how many workers are used at once to try suspects, tasks that may
/// have crashed their workers, so that enough remain for other tasks. The limit
/// holds among the workers that a task may use: the suspects of one service
/// leave those of others alone, also while the service has no workers.
class TrialBudget {
public:
  /// The workers that meet a requirement and accept new work.
  struct WorkerCount {
    int Workers_ = 0;
    /// Those of them on which a suspect is being tried.
    int Trials_ = 0;
  };
  using CountWorkers = std::function<WorkerCount(const WorkerRequirement &)>;

  /// Whether one more suspect with this requirement may be bound.
  /// \param Count is called for a requirement that the pass hasn't met yet.
  auto mayTry(const WorkerRequirement &Requirement, const CountWorkers &Count)
      -> bool;
  /// Counts a suspect that was bound to a worker.
  auto bound(const Hello &Worker) -> void;

private:
  std::map<WorkerRequirement, int> TrialsLeft_;
};

} // namespace skylark
