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

/// What a caller declares of a job.
struct JobDeclaration {
  TeamName Team_;
  WorkKind Kind_ = WorkKind::Batch;
  std::uint32_t TaskCount_ = 1;
  Resources TaskResources_;
  /// Declared run time of one task.
  Millis RunTime_{1000};
  /// When the whole job is to be finished.
  WallTime Deadline_{};
  bool Urgent_ = false;
  /// Whether a task is run again, from its last checkpoint, when its worker was
  /// lost and nobody knows whether it finished. Otherwise it ends as failed
  /// with an unknown outcome.
  bool RerunWhenLost_ = true;
  /// Opaque to the system; handed to the worker.
  std::string Payload_;

  static constexpr auto fields() {
    return std::make_tuple(
        &JobDeclaration::Team_, &JobDeclaration::Kind_,
        &JobDeclaration::TaskCount_, &JobDeclaration::TaskResources_,
        &JobDeclaration::RunTime_, &JobDeclaration::Deadline_,
        &JobDeclaration::Urgent_, &JobDeclaration::RerunWhenLost_,
        &JobDeclaration::Payload_);
  }
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
  std::vector<TaskStatus> Tasks_;

  static constexpr auto fields() {
    return std::make_tuple(&Job::Id_, &Job::Declaration_, &Job::SubmittedAt_,
                           &Job::Cancelled_, &Job::Tasks_);
  }
};

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
