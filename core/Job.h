/// \file
/// Defines jobs, their tasks and the record of each attempt.
#pragma once

#include "core/ErrorKind.h"
#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

#include <string>
#include <vector>

namespace skylark {

/// A batch task ends; a watcher runs until it is cancelled.
enum class WorkKind : std::uint8_t { Batch, Watcher };

/// What a caller declares of one step of a job: tasks that are alike.
struct StepDeclaration {
  std::uint32_t TaskCount_ = 1;
  /// What each task needs.
  Resources Resources_;
  /// Declared run time of one task.
  Millis RunTime_{1000};
  /// Numbers of the earlier steps whose tasks must all have finished first.
  std::vector<std::uint32_t> After_;
  /// The tasks run until the job is cancelled, and start again when they end.
  bool LongRunning_ = false;
  /// The tasks write checkpoints, from which a later attempt resumes.
  bool Checkpoints_ = false;
  /// Several attempts of one task may run at once; the first to end counts.
  bool Speculative_ = false;
  /// The tasks take what processors the others leave; their processors are not
  /// counted against the worker's capacity.
  bool Fills_ = false;
  /// All tasks work only together, and end together.
  bool Gang_ = false;
  /// The tasks are slower when they run on more than one rack.
  bool SameRack_ = false;
  /// A label that the worker must have; empty for none.
  std::string RequiredLabel_;
  /// The rack that holds the data; empty for none.
  std::string DataRack_;
  /// Most tasks of the step on one worker; 0 for no limit.
  std::uint32_t MaxPerWorker_ = 0;
  /// What the tasks run; tasks of one image behave alike.
  std::string Image_;
  /// Longest tail latency that the tasks' own users accept; 0 for none.
  Millis TailTarget_{0};
  /// Whether MaxMissing_ limits how many tasks may be away by orders of ours.
  bool LimitsMissing_ = false;
  std::uint32_t MaxMissing_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(
        &StepDeclaration::TaskCount_, &StepDeclaration::Resources_,
        &StepDeclaration::RunTime_, &StepDeclaration::After_,
        &StepDeclaration::LongRunning_, &StepDeclaration::Checkpoints_,
        &StepDeclaration::Speculative_, &StepDeclaration::Fills_,
        &StepDeclaration::Gang_, &StepDeclaration::SameRack_,
        &StepDeclaration::RequiredLabel_, &StepDeclaration::DataRack_,
        &StepDeclaration::MaxPerWorker_, &StepDeclaration::Image_,
        &StepDeclaration::TailTarget_, &StepDeclaration::LimitsMissing_,
        &StepDeclaration::MaxMissing_);
  }
  /// What one task takes of its worker's capacity.
  auto reserved() const -> Resources;
};

/// What a caller declares of a job.
struct JobDeclaration {
  TeamName Team_;
  /// The queue that took the job; empty for one submitted to a team.
  QueueName Queue_;
  /// The service whose workers run the tasks; empty for any worker.
  ServiceName Service_;
  std::vector<StepDeclaration> Steps_{StepDeclaration{}};
  /// How often the steps run, occurrence K from FirstAt_ + K * Interval_ on;
  /// 0 for one run at once.
  std::uint32_t Occurrences_ = 0;
  WallTime FirstAt_{};
  Millis Interval_{0};
  /// When the whole job is to be finished.
  WallTime Deadline_{};
  bool Urgent_ = false;
  /// Work of a lower number goes first.
  std::uint32_t Priority_ = 0;
  /// How often a task may fail; 0 for the limit of the policy.
  std::uint32_t FailureLimit_ = 0;
  /// Whether a task is run again, from its last checkpoint, when its worker was
  /// lost and nobody knows whether it finished. Otherwise it ends as failed
  /// with an unknown outcome.
  bool RerunWhenLost_ = true;
  /// Opaque to the system; handed to the worker.
  std::string Payload_;

  static constexpr auto fields() {
    return std::make_tuple(
        &JobDeclaration::Team_, &JobDeclaration::Queue_,
        &JobDeclaration::Service_, &JobDeclaration::Steps_,
        &JobDeclaration::Occurrences_, &JobDeclaration::FirstAt_,
        &JobDeclaration::Interval_, &JobDeclaration::Deadline_,
        &JobDeclaration::Urgent_, &JobDeclaration::Priority_,
        &JobDeclaration::FailureLimit_, &JobDeclaration::RerunWhenLost_,
        &JobDeclaration::Payload_);
  }
  /// Declared time of the longest chain of steps that begins with `Step`.
  auto chainFrom(std::size_t Step) const -> Millis;
  /// The same over the whole job.
  auto longestChain() const -> Millis;
  auto tasksPerOccurrence() const -> std::size_t;
  auto taskCount() const -> std::size_t;
};

enum class TaskState : std::uint8_t {
  Pending,
  Bound,
  Finished,
  Failed,
  Cancelled
};

/// One line of a task's history: what was decided, where, when and why.
struct AttemptNote {
  AttemptNumber Attempt_ = 0;
  TaskState State_ = TaskState::Pending;
  AgentId Agent_;
  DataCentreName DataCentre_;
  WallTime At_{};
  ErrorKind Reason_ = ErrorKind::None;

  static constexpr auto fields() {
    return std::make_tuple(&AttemptNote::Attempt_, &AttemptNote::State_,
                           &AttemptNote::Agent_, &AttemptNote::DataCentre_,
                           &AttemptNote::At_, &AttemptNote::Reason_);
  }
};

/// The durable state of one task.
struct TaskStatus {
  TaskState State_ = TaskState::Pending;
  /// Number of the current attempt; never goes down.
  AttemptNumber Attempt_ = 0;
  AgentId Agent_;
  /// The worker that the current attempt is bound to.
  Incarnation Worker_ = 0;
  CheckpointId Checkpoint_;
  std::uint32_t Failures_ = 0;
  std::vector<AttemptNote> History_;

  static constexpr auto fields() {
    return std::make_tuple(&TaskStatus::State_, &TaskStatus::Attempt_,
                           &TaskStatus::Agent_, &TaskStatus::Worker_,
                           &TaskStatus::Checkpoint_, &TaskStatus::Failures_,
                           &TaskStatus::History_);
  }
};

struct Job {
  JobId Id_;
  JobDeclaration Declaration_;
  WallTime SubmittedAt_{};
  bool Cancelled_ = false;
  /// A task has failed for good, so the others are not run any more.
  bool Failed_ = false;
  std::vector<TaskStatus> Tasks_;

  static constexpr auto fields() {
    return std::make_tuple(&Job::Id_, &Job::Declaration_, &Job::SubmittedAt_,
                           &Job::Cancelled_, &Job::Failed_, &Job::Tasks_);
  }
  /// Where a task stands in Tasks_; Tasks_.size() where there is no such task.
  auto positionOf(const TaskId &Task) const -> std::size_t;
  auto taskAt(std::size_t Position) const -> TaskId;
  auto stepOf(const TaskId &Task) const -> const StepDeclaration &;
  auto task(const TaskId &Task) const -> const TaskStatus &;
  auto isWatcher() const -> bool;
  /// True once every task has ended.
  auto isOver() const -> bool;
  /// True if nothing of the job may start any more.
  auto isClosed() const -> bool { return Cancelled_ || Failed_; }
  /// True if the steps before the task's step have finished.
  auto isReady(const TaskId &Task) const -> bool;
  /// When the task's occurrence is due; the epoch where that is at once.
  auto dueAt(const TaskId &Task) const -> WallTime;
};

/// What a caller is told of a whole job.
enum class JobState : std::uint8_t {
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled
};

auto jobState(const Job &Job) -> JobState;
auto jobStateText(JobState State) -> std::string_view;

/// Number of tasks of a job in each state.
struct TaskTally {
  std::uint32_t Pending_ = 0;
  std::uint32_t Bound_ = 0;
  std::uint32_t Finished_ = 0;
  std::uint32_t Failed_ = 0;
  std::uint32_t Cancelled_ = 0;
};

auto tallyTasks(const Job &Job) -> TaskTally;

/// The lower-case word for a state or kind, as callers see it.
auto taskStateText(TaskState State) -> std::string_view;
auto workKindText(WorkKind Kind) -> std::string_view;

} // namespace skylark
