#include "core/JobProgress.h"

#include <algorithm>

namespace skylark {
namespace {

auto counterOf(TaskTally &Tally, TaskState State) -> std::uint32_t & {
  static constexpr std::array<std::uint32_t TaskTally::*, 5> Counters{
      &TaskTally::Pending_, &TaskTally::Bound_, &TaskTally::Finished_,
      &TaskTally::Failed_, &TaskTally::Cancelled_};
  return Tally.*Counters[static_cast<std::size_t>(State)];
}

} // namespace

JobOutline::JobOutline(const JobDeclaration &Declaration)
    : CriticalPaths_(Declaration.criticalPaths()),
      Dependents_(Declaration.Steps_.size()) {
  FirstTasks_.reserve(Declaration.Steps_.size() + 1);
  std::size_t Position = 0;
  for (std::uint32_t Step = 0; Step < Declaration.Steps_.size(); ++Step) {
    FirstTasks_.push_back(Position);
    Position += Declaration.Steps_[Step].TaskCount_;
    for (const auto Dependency : Declaration.Steps_[Step].Dependencies_) {
      // A dependency that is listed again was added for the same step, so it
      // is the last one.
      auto &Dependents = Dependents_[Dependency];
      if (Dependents.empty() || Dependents.back() != Step)
        Dependents.push_back(Step);
    }
  }
  FirstTasks_.push_back(Position);
}

auto JobOutline::stepAt(std::size_t Position) const -> std::uint32_t {
  const auto Next =
      std::upper_bound(FirstTasks_.begin(), FirstTasks_.end(), Position);
  return static_cast<std::uint32_t>(Next - FirstTasks_.begin() - 1);
}

auto outlineOf(const Job &Outlined) -> std::shared_ptr<const JobOutline> {
  return Outlined.Outline_ != nullptr
             ? Outlined.Outline_
             : std::make_shared<JobOutline>(Outlined.Declaration_);
}

JobProgress::JobProgress(const Job &Counted)
    : Outline_(outlineOf(Counted)), UnfinishedOfStep_(Outline_->stepCount()) {
  const auto &Steps = Counted.Declaration_.Steps_;
  const auto Occurrences = std::max(Counted.Declaration_.Occurrences_, 1U);
  Unfinished_.resize(Occurrences * Steps.size());
  OpenDependencies_.resize(Unfinished_.size());
  std::size_t Position = 0;
  for (std::size_t Index = 0; Index < Unfinished_.size(); ++Index) {
    const auto Step = Index % Steps.size();
    const auto End =
        std::min(Position + Steps[Step].TaskCount_, Counted.Tasks_.size());
    for (; Position < End; ++Position) {
      const auto &Status = Counted.Tasks_[Position];
      ++counterOf(Tally_, Status.State_);
      Started_ |= Status.hasStarted();
      if (Status.State_ != TaskState::Finished)
        ++Unfinished_[Index];
    }
    UnfinishedOfStep_[Step] += Unfinished_[Index];
    if (Unfinished_[Index] == 0)
      continue;
    for (const auto Dependent : Outline_->dependentsOf(Step))
      ++OpenDependencies_[Index - Step + Dependent];
  }
}

auto JobProgress::taskChanged(const Job &Changed, const TaskId &Task,
                              TaskState Before) -> void {
  const auto &Status = Changed.task(Task);
  Started_ |= Status.hasStarted();
  if (Status.State_ == Before)
    return;
  --counterOf(Tally_, Before);
  ++counterOf(Tally_, Status.State_);
  if (Status.State_ != TaskState::Finished)
    return;
  --UnfinishedOfStep_[Task.Step_];
  if (--Unfinished_[indexOf(Task)] == 0)
    stepFinished(Task);
}

auto JobProgress::stepFinished(const TaskId &Task) -> void {
  const auto FirstOfOccurrence = indexOf(Task) - Task.Step_;
  for (const auto Dependent : Outline_->dependentsOf(Task.Step_))
    --OpenDependencies_[FirstOfOccurrence + Dependent];
}

auto JobProgress::isReady(const TaskId &Task) const -> bool {
  return OpenDependencies_[indexOf(Task)] == 0;
}

auto JobProgress::isStepFinished(const TaskId &Task) const -> bool {
  return Unfinished_[indexOf(Task)] == 0;
}

auto jobState(const Job &Each, const JobProgress &Progress) -> JobState {
  if (Each.Cancelled_)
    return JobState::Cancelled;
  if (Each.Failed_)
    return JobState::Failed;
  if (Progress.tally().Finished_ == Each.Tasks_.size())
    return JobState::Completed;
  return Progress.hasStarted() ? JobState::Running : JobState::Queued;
}

auto jobState(const Job &Job) -> JobState {
  return jobState(Job, JobProgress(Job));
}

auto tallyTasks(const Job &Job) -> TaskTally {
  return JobProgress(Job).tally();
}

} // namespace skylark
