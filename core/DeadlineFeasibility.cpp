#include "core/DeadlineFeasibility.h"

#include <algorithm>

namespace skylark {
namespace {

/// A job that takes longer than this many times the span from its start to its
/// deadline is of no use any more.
constexpr int UsefulTimeFactor = 3;
/// Weights of the two parts of a job's value: the mean work of its queue, which
/// is the same for every job of the queue, and the job's own total work.
constexpr double FixedValueShare = 0.3;
constexpr double WorkValueShare = 0.7;
constexpr double MilliCoresPerCore = 1000.0;

} // namespace

auto feasibilityOf(const Job &Job, const TaskId &Task, WallTime Now)
    -> DeadlineFeasibility {
  const auto &Declaration = Job.Declaration_;
  if (!Job.stepOf(Task).BestEffort_ || Declaration.Deadline_ == WallTime{})
    return DeadlineFeasibility::OnTime;
  const auto Offset = Declaration.Interval_ * Task.Occurrence_;
  const auto Deadline = Declaration.Deadline_ + Offset;
  const auto End = Now + Job.criticalPathFrom(Task);
  if (End <= Deadline)
    return DeadlineFeasibility::OnTime;
  const auto Start = std::max(Job.SubmittedAt_, Declaration.FirstAt_ + Offset);
  return End <= Start + UsefulTimeFactor * (Deadline - Start)
             ? DeadlineFeasibility::Late
             : DeadlineFeasibility::TooLate;
}

auto taskWork(const StepDeclaration &Step) -> double {
  return std::chrono::duration<double>(Step.RunTime_).count() *
         static_cast<double>(Step.Resources_.MilliCores_) / MilliCoresPerCore;
}

auto totalWork(const Job &Job) -> double {
  double Work = 0;
  for (const auto &Step : Job.Declaration_.Steps_)
    Work += taskWork(Step) * Step.TaskCount_;
  return Work * std::max(Job.Declaration_.Occurrences_, 1U);
}

auto remainingWork(const Job &Job, const JobProgress &Progress) -> double {
  const auto &Steps = Job.Declaration_.Steps_;
  double Work = 0;
  for (std::size_t Step = 0; Step < Steps.size(); ++Step)
    Work += taskWork(Steps[Step]) * Progress.unfinishedOf(Step);
  return Work;
}

auto MeanWork::record(const Job &Job) -> void {
  auto &Sum = Sums_[Job.Declaration_.Queue_];
  Sum.Work_ += totalWork(Job);
  ++Sum.Jobs_;
}

auto MeanWork::of(const QueueName &Queue) const -> double {
  const auto Found = Sums_.find(Queue);
  return Found == Sums_.end() ? 0 : Found->second.Work_ / Found->second.Jobs_;
}

auto workPerValue(const Job &Job, const JobProgress &Progress, double MeanWork)
    -> double {
  const auto Value =
      FixedValueShare * MeanWork + WorkValueShare * totalWork(Job);
  return Value > 0 ? remainingWork(Job, Progress) / Value : 0;
}

} // namespace skylark
