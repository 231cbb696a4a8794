/// \file
/// Defines what follows from a job's declaration and from the states of its
/// tasks, so that no decision about one task walks over the whole job.
#pragma once

#include "core/Job.h"

namespace skylark {

/// What follows from the declaration of a job alone. It is computed in one pass
/// over the steps and their dependencies.
class JobOutline {
public:
  explicit JobOutline(const JobDeclaration &Declaration);

  /// Declared run time of the longest chain of dependent steps that starts at
  /// `Step`.
  auto criticalPathFrom(std::size_t Step) const -> Millis {
    return CriticalPaths_[Step];
  }
  /// Position of the step's first task among the tasks of an occurrence.
  auto firstTaskOf(std::size_t Step) const -> std::size_t {
    return FirstTasks_[Step];
  }
  auto tasksPerOccurrence() const -> std::size_t { return FirstTasks_.back(); }
  /// The step with the task at a position within an occurrence.
  auto stepAt(std::size_t Position) const -> std::uint32_t;
  /// The steps that depend on `Step`, each once, in ascending order.
  auto dependentsOf(std::size_t Step) const
      -> const std::vector<std::uint32_t> & {
    return Dependents_[Step];
  }
  auto stepCount() const -> std::size_t { return Dependents_.size(); }

private:
  std::vector<Millis> CriticalPaths_;
  /// One more than there are steps: the last is the number of tasks.
  std::vector<std::size_t> FirstTasks_;
  std::vector<std::vector<std::uint32_t>> Dependents_;
};

/// Counts of a job's tasks by state and step, kept up to date with each change.
class JobProgress {
public:
  explicit JobProgress(const Job &Counted);

  /// Counts a task that has changed.
  /// \param Before the task's state before the change.
  auto taskChanged(const Job &Changed, const TaskId &Task, TaskState Before)
      -> void;
  /// Counts that an attempt of some task has begun.
  auto taskStarted() -> void { Started_ = true; }

  /// True if the steps that the task's step depends on have finished.
  auto isReady(const TaskId &Task) const -> bool;
  /// True if all tasks of the task's step and occurrence have finished.
  auto isStepFinished(const TaskId &Task) const -> bool;
  /// Number of tasks of the step that have not finished, in all occurrences.
  auto unfinishedOf(std::size_t Step) const -> std::uint32_t {
    return UnfinishedOfStep_[Step];
  }
  auto tally() const -> const TaskTally & { return Tally_; }
  /// True once every task has ended.
  auto isOver() const -> bool {
    return Tally_.Pending_ == 0 && Tally_.Bound_ == 0;
  }
  /// True if an attempt of some task is known to have begun.
  auto hasStarted() const -> bool { return Started_; }

private:
  auto indexOf(const TaskId &Task) const -> std::size_t {
    return Task.Occurrence_ * Outline_->stepCount() + Task.Step_;
  }
  auto stepFinished(const TaskId &Task) -> void;

  std::shared_ptr<const JobOutline> Outline_;
  TaskTally Tally_;
  bool Started_ = false;
  std::vector<std::uint32_t> UnfinishedOfStep_;
  /// By occurrence and step: the tasks that have not finished, and the steps
  /// with such tasks that the step depends on.
  std::vector<std::uint32_t> Unfinished_;
  std::vector<std::uint32_t> OpenDependencies_;
};

/// Returns the outline that a job was given, or a new one.
auto outlineOf(const Job &Outlined) -> std::shared_ptr<const JobOutline>;

auto jobState(const Job &Each, const JobProgress &Progress) -> JobState;

} // namespace skylark
