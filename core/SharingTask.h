/// \file
/// Defines what one look at a worker shows of a running task.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

#include <string>

namespace skylark {

/// One running task at one look.
struct SharingTask {
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
  std::string Image_;
  bool Fills_ = false;
  /// Longest tail that a serving task's users accept; 0 for none.
  Millis Target_{0};
  /// Tail of a serving task.
  Millis Tail_{0};
  /// Processors in use of another task, in thousandths.
  std::int64_t MilliCores_ = 0;
  /// Processors, in thousandths, that a filling task uses at full speed.
  std::int64_t FullMilliCores_ = 0;
  /// Whether a stop loses no work.
  bool Checkpoints_ = false;
  /// When the task's job is due.
  WallTime Deadline_{};
  /// Whether its job has no other task at work.
  bool OnlyOne_ = false;
  /// Whether another process of the agent may have paced the task.
  bool PaceUnknown_ = false;

  auto serves() const -> bool { return !Fills_ && Target_ > Millis{0}; }
  /// The tail as a share of its target.
  auto tailShare() const -> double {
    return static_cast<double>(Tail_.count()) /
           static_cast<double>(Target_.count());
  }
};

} // namespace skylark
