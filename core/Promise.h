/// \file
/// Defines what a job can still be worth to its caller.
#pragma once

#include "core/Job.h"

#include <map>

namespace skylark {

/// Whether a task that starts now lets its job end on time, late but still of
/// use, or too late.
enum class Promise : std::uint8_t { OnTime, Late, Hopeless };

/// What `Job` can still be worth if `Task` starts at `Now`. Only work that
/// fills is judged, since nothing else waits for room that others could use
/// better; the rest counts as on time.
auto promiseOf(const Job &Job, const TaskId &Task, WallTime Now) -> Promise;

/// Declared work of one task, in core-seconds.
auto workOf(const StepDeclaration &Step) -> double;
/// Declared work of the whole job, and of what has not finished yet, in
/// core-seconds.
auto totalWork(const Job &Job) -> double;
auto remainingWork(const Job &Job) -> double;

/// The mean declared work of each queue's jobs, in core-seconds.
class MeanWork {
public:
  auto note(const Job &Job) -> void;
  /// 0 for a queue that had no job yet.
  auto of(const QueueName &Queue) const -> double;

private:
  struct Sum {
    double Work_ = 0;
    double Jobs_ = 0;
  };
  std::map<QueueName, Sum> Sums_;
};

/// Work that is left for each unit of what the job is worth to its users, who
/// pay for a part of it whatever its size.
/// \param MeanWork mean work of the jobs of its queue, in core-seconds.
auto workPerWorth(const Job &Job, double MeanWork) -> double;

} // namespace skylark
