/// \file
/// Defines the colocated tasks that the tests of interference and pacing use.
#pragma once

#include "core/ColocatedTask.h"

namespace skylark::Test {

/// A serving task of image "web".
inline auto servingTask(Millis Target, Millis Tail) -> ColocatedTask {
  ColocatedTask Task;
  Task.Task_ = {{"serves"}, 0};
  Task.Attempt_ = 1;
  Task.Image_ = "web";
  Task.Target_ = Target;
  Task.Tail_ = Tail;
  return Task;
}

/// A best-effort task with checkpoints, task 0 of job `Job`.
/// \param MilliCores processors, in thousandths, that it uses now.
/// \param FullMilliCores the same at full pace.
inline auto bestEffortTask(const std::string &Job, const std::string &Image,
                           std::int64_t MilliCores, std::int64_t FullMilliCores)
    -> ColocatedTask {
  ColocatedTask Task;
  Task.Task_ = {{Job}, 0};
  Task.Attempt_ = 1;
  Task.Image_ = Image;
  Task.BestEffort_ = true;
  Task.MilliCores_ = MilliCores;
  Task.FullMilliCores_ = FullMilliCores;
  Task.Checkpoints_ = true;
  return Task;
}

} // namespace skylark::Test
