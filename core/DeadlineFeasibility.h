/// \file
/// Defines whether a job can still meet its deadline, and how much work it has
/// left relative to its value.
#pragma once

#include "core/JobProgress.h"

#include <map>

namespace skylark {

/// When the job of a task that starts now can end: by its deadline, late but
/// still useful, or too late to be of any use. In order of preference.
enum class DeadlineFeasibility : std::uint8_t { OnTime, Late, TooLate };

/// Deadline feasibility of `Job` if `Task` starts at `Now`. It is determined
/// for best-effort tasks alone, since only they wait for resources that another
/// job could use better; all other tasks count as on time.
auto feasibilityOf(const Job &Job, const TaskId &Task, WallTime Now)
    -> DeadlineFeasibility;

/// Declared work of one task of the step, in core-seconds.
auto taskWork(const StepDeclaration &Step) -> double;
/// Declared work of all tasks of the job, and of those that have not finished,
/// in core-seconds.
auto totalWork(const Job &Job) -> double;
auto remainingWork(const Job &Job, const JobProgress &Progress) -> double;

/// The mean declared work of each queue's jobs, in core-seconds.
class MeanWork {
public:
  auto record(const Job &Job) -> void;
  /// \returns 0 for a queue without a recorded job.
  auto of(const QueueName &Queue) const -> double;

private:
  struct Sum {
    double Work_ = 0;
    double Jobs_ = 0;
  };
  std::map<QueueName, Sum> Sums_;
};

/// Remaining work per unit of the job's value to its users; jobs with a lower
/// ratio come first. The value has a fixed part and a part that grows with the
/// total work.
/// \param MeanWork mean work of the jobs of its queue, in core-seconds.
/// \returns core-seconds of work per core-second of value; 0 for a job without
///     value.
auto workPerValue(const Job &Job, const JobProgress &Progress, double MeanWork)
    -> double;

} // namespace skylark
