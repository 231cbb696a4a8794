/// \file
/// Defines the sample of a task that shares its worker with others.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

#include <string>

namespace skylark {

/// One running task in one sample of its worker.
struct ColocatedTask {
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
  std::string Image_;
  bool BestEffort_ = false;
  /// Tail-latency target of a serving task; 0 for none.
  Millis Target_{0};
  /// Measured tail latency of a serving task; 0 while there is none.
  Millis Tail_{0};
  /// Processors, in thousandths, in use by a task that isn't a serving task.
  std::int64_t MilliCores_ = 0;
  /// Processors, in thousandths, that a best-effort task uses at full pace.
  std::int64_t FullMilliCores_ = 0;
  /// Whether the task writes checkpoints, so that an eviction loses no work.
  bool Checkpoints_ = false;
  /// Deadline of the task's job.
  WallTime Deadline_{};
  /// Whether its job has no other running task.
  bool OnlyTaskOfJob_ = false;
  /// Whether an earlier process of the agent may have set the task's pace.
  bool PaceUnknown_ = false;

  auto isServing() const -> bool { return !BestEffort_ && Target_ > Millis{0}; }
  /// Ratio of the tail to its target; 1 is at the target.
  auto tailRatio() const -> double {
    return static_cast<double>(Tail_.count()) /
           static_cast<double>(Target_.count());
  }
};

} // namespace skylark
