#include "core/Job.h"

#include "core/Assert.h"
#include "core/JobProgress.h"

#include <algorithm>
#include <array>

namespace skylark {

namespace {

/// Some ten thousand years: longer chains are of no use, and a deadline that is
/// a multiple of this remains representable.
constexpr Millis MaxCriticalPath{std::int64_t{1} << 48};

} // namespace

auto StepDeclaration::reserved() const -> Resources {
  auto Amount = Resources_;
  if (BestEffort_)
    Amount.MilliCores_ = 0;
  return Amount;
}

auto JobDeclaration::criticalPaths() const -> std::vector<Millis> {
  // Until a step is reached, its entry holds the longest of its dependents'
  // paths. Dependents come later in the list.
  std::vector<Millis> Paths(Steps_.size(), Millis{0});
  for (auto Step = Steps_.size(); Step-- > 0;) {
    Paths[Step] =
        std::min(Paths[Step] + Steps_[Step].RunTime_, MaxCriticalPath);
    for (const auto Dependency : Steps_[Step].Dependencies_)
      Paths[Dependency] = std::max(Paths[Dependency], Paths[Step]);
  }
  return Paths;
}

auto JobDeclaration::criticalPath() const -> Millis {
  const auto Paths = criticalPaths();
  return Paths.empty() ? Millis{0}
                       : *std::max_element(Paths.begin(), Paths.end());
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
  const auto Outline = outlineOf(*this);
  const auto Position = Task.Occurrence_ * Outline->tasksPerOccurrence() +
                        Outline->firstTaskOf(Task.Step_) + Task.Index_;
  return std::min(Position, Tasks_.size());
}

auto Job::taskAt(std::size_t Position) const -> TaskId {
  const auto Outline = outlineOf(*this);
  const auto PerOccurrence = Outline->tasksPerOccurrence();
  const auto Occurrence = static_cast<std::uint32_t>(Position / PerOccurrence);
  const auto InOccurrence = Position % PerOccurrence;
  const auto Step = Outline->stepAt(InOccurrence);
  const auto Index =
      static_cast<std::uint32_t>(InOccurrence - Outline->firstTaskOf(Step));
  return {Id_, Index, Step, Occurrence};
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

auto Job::criticalPathFrom(const TaskId &Task) const -> Millis {
  return outlineOf(*this)->criticalPathFrom(Task.Step_);
}

auto Job::scheduledAt(const TaskId &Task) const -> WallTime {
  if (Declaration_.Occurrences_ == 0)
    return {};
  return Declaration_.FirstAt_ + Declaration_.Interval_ * Task.Occurrence_;
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
