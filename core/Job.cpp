#include "core/Job.h"

#include "core/Assert.h"

#include <algorithm>
#include <array>

namespace skylark {

auto tallyTasks(const Job &Job) -> TaskTally {
  static constexpr std::array<std::uint32_t TaskTally::*, 5> Counters{
      &TaskTally::Pending_, &TaskTally::Bound_, &TaskTally::Finished_,
      &TaskTally::Failed_, &TaskTally::Cancelled_};
  TaskTally Tally;
  for (const auto &Task : Job.Tasks_)
    ++(Tally.*Counters[static_cast<std::size_t>(Task.State_)]);
  return Tally;
}

auto StepDeclaration::reserved() const -> Resources {
  auto Amount = Resources_;
  if (BestEffort_)
    Amount.MilliCores_ = 0;
  return Amount;
}

auto JobDeclaration::criticalPathFrom(std::size_t Step) const -> Millis {
  Millis LongestDependent{0};
  for (auto Next = Step + 1; Next < Steps_.size(); ++Next) {
    const auto &Dependencies = Steps_[Next].Dependencies_;
    if (std::find(Dependencies.begin(), Dependencies.end(), Step) !=
        Dependencies.end())
      LongestDependent = std::max(LongestDependent, criticalPathFrom(Next));
  }
  return Steps_[Step].RunTime_ + LongestDependent;
}

auto JobDeclaration::criticalPath() const -> Millis {
  Millis Longest{0};
  for (std::size_t Step = 0; Step < Steps_.size(); ++Step)
    Longest = std::max(Longest, criticalPathFrom(Step));
  return Longest;
}

auto JobDeclaration::tasksPerOccurrence() const -> std::size_t {
  std::size_t Count = 0;
  for (const auto &Step : Steps_)
    Count += Step.TaskCount_;
  return Count;
}

auto JobDeclaration::taskCount() const -> std::size_t {
  return tasksPerOccurrence() * std::max<std::size_t>(Occurrences_, 1);
}

auto TaskStatus::hasStarted() const -> bool {
  return Started_ || State_ == TaskState::Finished || Failures_ > 0 ||
         !Checkpoint_.empty();
}

auto Job::positionOf(const TaskId &Task) const -> std::size_t {
  const auto &Steps = Declaration_.Steps_;
  if (Task.Step_ >= Steps.size() || Task.Index_ >= Steps[Task.Step_].TaskCount_)
    return Tasks_.size();
  auto Position = Task.Occurrence_ * Declaration_.tasksPerOccurrence();
  for (std::uint32_t Step = 0; Step < Task.Step_; ++Step)
    Position += Steps[Step].TaskCount_;
  return std::min(Position + Task.Index_, Tasks_.size());
}

auto Job::taskAt(std::size_t Position) const -> TaskId {
  const auto PerOccurrence = Declaration_.tasksPerOccurrence();
  TaskId Task{Id_, 0, 0, static_cast<std::uint32_t>(Position / PerOccurrence)};
  auto Remaining = static_cast<std::uint32_t>(Position % PerOccurrence);
  while (Remaining >= Declaration_.Steps_[Task.Step_].TaskCount_)
    Remaining -= Declaration_.Steps_[Task.Step_++].TaskCount_;
  Task.Index_ = Remaining;
  return Task;
}

auto Job::stepOf(const TaskId &Task) const -> const StepDeclaration & {
  SKYLARK_ASSERT(Task.Step_ < Declaration_.Steps_.size(),
                 "no such step:", Task);
  return Declaration_.Steps_[Task.Step_];
}

auto Job::task(const TaskId &Task) const -> const TaskStatus & {
  const auto Position = positionOf(Task);
  SKYLARK_ASSERT(Position < Tasks_.size(), "no such task:", Task);
  return Tasks_[Position];
}

auto Job::isWatcher() const -> bool {
  return std::any_of(
      Declaration_.Steps_.begin(), Declaration_.Steps_.end(),
      [](const StepDeclaration &Step) { return Step.LongRunning_; });
}

auto Job::isOver() const -> bool {
  return std::none_of(Tasks_.begin(), Tasks_.end(), [](const TaskStatus &Task) {
    return Task.State_ == TaskState::Pending || Task.State_ == TaskState::Bound;
  });
}

auto Job::isReady(const TaskId &Task) const -> bool {
  for (const auto Dependency : stepOf(Task).Dependencies_) {
    const auto First = positionOf({Id_, 0, Dependency, Task.Occurrence_});
    const auto Count = Declaration_.Steps_[Dependency].TaskCount_;
    for (auto Position = First; Position < First + Count; ++Position)
      if (Tasks_[Position].State_ != TaskState::Finished)
        return false;
  }
  return true;
}

auto Job::scheduledAt(const TaskId &Task) const -> WallTime {
  if (Declaration_.Occurrences_ == 0)
    return {};
  return Declaration_.FirstAt_ + Declaration_.Interval_ * Task.Occurrence_;
}

auto jobState(const Job &Job) -> JobState {
  const auto Tally = tallyTasks(Job);
  if (Job.Cancelled_)
    return JobState::Cancelled;
  if (Job.Failed_)
    return JobState::Failed;
  if (Tally.Finished_ == Job.Tasks_.size())
    return JobState::Completed;
  const auto Started =
      std::any_of(Job.Tasks_.begin(), Job.Tasks_.end(),
                  [](const TaskStatus &Task) { return Task.hasStarted(); });
  return Started ? JobState::Running : JobState::Queued;
}

auto jobStateText(JobState State) -> std::string_view {
  constexpr std::array<std::string_view, 5> Texts{
      "queued", "running", "completed", "failed", "cancelled"};
  return Texts[static_cast<std::size_t>(State)];
}

auto taskStateText(TaskState State) -> std::string_view {
  constexpr std::array<std::string_view, 5> Texts{
      "pending", "bound", "finished", "failed", "cancelled"};
  return Texts[static_cast<std::size_t>(State)];
}

auto workKindText(WorkKind Kind) -> std::string_view {
  return Kind == WorkKind::Watcher ? "watcher" : "batch";
}

} // namespace skylark
