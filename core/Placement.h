/// \file
/// Defines the choice of a worker for a task: a pass over plain data.
#pragma once

#include "core/Job.h"

#include <cstddef>

namespace skylark {

/// What one shard's owner knows of one worker that may be given the task.
struct PlaceView {
  Resources Capacity_;
  /// What is left of the capacity.
  Resources Free_;
  /// Processors, in thousandths, that short work needs here again and again;
  /// tasks that last leave them free.
  std::int64_t KeptMilliCores_ = 0;
  std::string Rack_;
  /// Processors, in thousandths, that tasks which fill already ask for here.
  std::int64_t FillingMilliCores_ = 0;
  /// Processors, in thousandths, that serving tasks reserve here.
  std::int64_t ServingMilliCores_ = 0;
  /// Different images of the tasks here that serve users of their own.
  std::size_t ServingImages_ = 0;
  /// Whether tasks of the same image serve here.
  bool SameImage_ = false;
  /// By how much the logarithm of some neighbour's, or the task's own, tail
  /// would pass what its target leaves; at most 0 where none would.
  double Overrun_ = 0;
  /// Growth that the task would add to its neighbours' tails, all together.
  double AddedPress_ = 0;
  /// Whether the task has waited so long for a quiet place that it takes any.
  bool TakesAnyPlace_ = false;
  /// Tasks of the same step and occurrence here.
  std::uint32_t TasksOfStep_ = 0;
  /// Whether recent attempts here failed or stalled.
  bool Suspect_ = false;
  /// Whether the last attempt of this very task ended here without success.
  bool FailedHere_ = false;
};

/// True if the task may run there at all: room, and the step's own limit.
auto canPlace(const StepDeclaration &Step, const PlaceView &Place) -> bool;

/// Chooses among `Places`; returns its index, or Places.size() where none
/// will do.
auto choosePlace(const StepDeclaration &Step,
                 const std::vector<PlaceView> &Places) -> std::size_t;

} // namespace skylark
