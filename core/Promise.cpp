#include "core/Promise.h"

#include <algorithm>

namespace skylark {
namespace {

/// A job that ends after this many times the time that it was given is of no
/// use any more.
constexpr int UsefulFor = 3;
/// Part of a mean job's worth that every job has, and the part that grows with
/// its work.
constexpr double FixedWorth = 0.3;
constexpr double WorthOfWork = 0.7;
constexpr double MilliCoresPerCore = 1000.0;

} // namespace

auto promiseOf(const Job &Job, const TaskId &Task, WallTime Now) -> Promise {
  const auto &Wanted = Job.Declaration_;
  if (!Job.stepOf(Task).Fills_ || Wanted.Deadline_ == WallTime{})
    return Promise::OnTime;
  const auto Shift = Wanted.Interval_ * Task.Occurrence_;
  const auto Due = Wanted.Deadline_ + Shift;
  const auto End = Now + Wanted.chainFrom(Task.Step_);
  if (End <= Due)
    return Promise::OnTime;
  const auto From = std::max(Job.SubmittedAt_, Wanted.FirstAt_ + Shift);
  return End <= From + UsefulFor * (Due - From) ? Promise::Late
                                                : Promise::Hopeless;
}

auto workOf(const StepDeclaration &Step) -> double {
  return std::chrono::duration<double>(Step.RunTime_).count() *
         static_cast<double>(Step.Resources_.MilliCores_) / MilliCoresPerCore;
}

auto totalWork(const Job &Job) -> double {
  double Work = 0;
  for (const auto &Step : Job.Declaration_.Steps_)
    Work += workOf(Step) * Step.TaskCount_;
  return Work * std::max(Job.Declaration_.Occurrences_, 1U);
}

auto remainingWork(const Job &Job) -> double {
  double Work = 0;
  for (std::size_t Position = 0; Position < Job.Tasks_.size(); ++Position)
    if (Job.Tasks_[Position].State_ != TaskState::Finished)
      Work += workOf(Job.stepOf(Job.taskAt(Position)));
  return Work;
}

auto MeanWork::note(const Job &Job) -> void {
  auto &Sum = Sums_[Job.Declaration_.Queue_];
  Sum.Work_ += totalWork(Job);
  ++Sum.Jobs_;
}

auto MeanWork::of(const QueueName &Queue) const -> double {
  const auto Found = Sums_.find(Queue);
  return Found == Sums_.end() ? 0 : Found->second.Work_ / Found->second.Jobs_;
}

auto workPerWorth(const Job &Job, double MeanWork) -> double {
  const auto Worth = FixedWorth * MeanWork + WorthOfWork * totalWork(Job);
  return Worth > 0 ? remainingWork(Job) / Worth : 0;
}

} // namespace skylark
