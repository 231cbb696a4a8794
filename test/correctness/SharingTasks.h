/// \file
/// Defines the running tasks that the tests of sharing and pacing look at.
#pragma once

#include "core/ColocatedTask.h"

namespace skylark::Test {

/// A task of image "web" that serves.
inline auto servingTask(Millis Target, Millis Tail) -> ColocatedTask {
  ColocatedTask Task;
  Task.Task_ = {{"serves"}, 0};
  Task.Attempt_ = 1;
  Task.Image_ = "web";
  Task.Target_ = Target;
  Task.Tail_ = Tail;
  return Task;
}

/// A checkpointing task that fills, the only one of job `Job`.
inline auto fillingTask(const std::string &Job, const std::string &Image,
                        std::int64_t InUse, std::int64_t Full)
    -> ColocatedTask {
  ColocatedTask Task;
  Task.Task_ = {{Job}, 0};
  Task.Attempt_ = 1;
  Task.Image_ = Image;
  Task.BestEffort_ = true;
  Task.MilliCores_ = InUse;
  Task.FullMilliCores_ = Full;
  Task.Checkpoints_ = true;
  return Task;
}

} // namespace skylark::Test
