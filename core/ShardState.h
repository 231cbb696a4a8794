/// \file
/// Defines the records of a shard's ledger and the state that results from
/// them.
#pragma once

#include "core/JobProgress.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace skylark {

/// Adds a job with all its tasks.
struct JobAdded {
  Job Job_;

  static constexpr auto fields() { return std::make_tuple(&JobAdded::Job_); }
};

/// Cancels a job. Its pending tasks end at once; its bound tasks end once their
/// agents report so. If there is no such job, its id is kept, and the owner
/// cancels a job that is added under it.
struct JobCancelled {
  JobId Job_;
  WallTime At_{};

  static constexpr auto fields() {
    return std::make_tuple(&JobCancelled::Job_, &JobCancelled::At_);
  }
};

/// Changes the state of one task.
struct TaskChanged {
  TaskId Task_;
  TaskState State_ = TaskState::Pending;
  AttemptNumber Attempt_ = 0;
  AgentId Agent_;
  DataCentreName DataCentre_;
  Incarnation Worker_ = 0;
  CheckpointId Checkpoint_;
  std::uint32_t Failures_ = 0;
  ErrorKind Reason_ = ErrorKind::None;
  WallTime At_{};
  /// Whether an attempt of the task is known to have begun.
  bool Started_ = false;
  CrashTally Crashes_;
  std::vector<SilentLoss> SilentLosses_;

  static constexpr std::size_t RequiredFields = 10;
  static constexpr auto fields() {
    return std::make_tuple(
        &TaskChanged::Task_, &TaskChanged::State_, &TaskChanged::Attempt_,
        &TaskChanged::Agent_, &TaskChanged::DataCentre_, &TaskChanged::Worker_,
        &TaskChanged::Checkpoint_, &TaskChanged::Failures_,
        &TaskChanged::Reason_, &TaskChanged::At_, &TaskChanged::Started_,
        &TaskChanged::Crashes_, &TaskChanged::SilentLosses_);
  }
};

/// Removes a job that has ended long ago, or the cancellation of a job that was
/// never submitted.
struct JobRemoved {
  JobId Job_;

  static constexpr auto fields() { return std::make_tuple(&JobRemoved::Job_); }
};

/// Assigns an idempotency key to one request before the request is dispatched,
/// so that no other request with the key runs.
struct ClaimOpened {
  IdempotencyKey Key_;
  std::uint64_t RequestDigest_ = 0;
  RequestId Request_;
  WallTime At_{};

  static constexpr auto fields() {
    return std::make_tuple(&ClaimOpened::Key_, &ClaimOpened::RequestDigest_,
                           &ClaimOpened::Request_, &ClaimOpened::At_);
  }
};

/// Records the outcome of a claimed request.
struct ClaimClosed {
  IdempotencyKey Key_;
  RequestId Request_;
  ErrorKind Error_ = ErrorKind::None;
  std::uint16_t Status_ = 0;
  std::string Body_;
  WallTime At_{};

  static constexpr auto fields() {
    return std::make_tuple(&ClaimClosed::Key_, &ClaimClosed::Request_,
                           &ClaimClosed::Error_, &ClaimClosed::Status_,
                           &ClaimClosed::Body_, &ClaimClosed::At_);
  }
};

/// Removes the claim of a key that is too old to be accepted again.
struct ClaimRemoved {
  IdempotencyKey Key_;

  static constexpr auto fields() {
    return std::make_tuple(&ClaimRemoved::Key_);
  }
};

/// Sets the state of some tasks of a job, next to each other. A snapshot has
/// these for a job that is too large for one value of the store.
struct TasksRestored {
  JobId Job_;
  /// Position of the first of them.
  std::uint32_t First_ = 0;
  std::vector<TaskStatus> Tasks_;

  static constexpr auto fields() {
    return std::make_tuple(&TasksRestored::Job_, &TasksRestored::First_,
                           &TasksRestored::Tasks_);
  }
};

using LedgerRecord =
    std::variant<JobAdded, JobCancelled, TaskChanged, JobRemoved, ClaimOpened,
                 ClaimClosed, ClaimRemoved, TasksRestored>;

/// The claim of an idempotency key by one request; open until the request's
/// outcome is recorded.
struct Claim {
  std::uint64_t RequestDigest_ = 0;
  RequestId Request_;
  bool Open_ = true;
  ErrorKind Error_ = ErrorKind::None;
  std::uint16_t Status_ = 0;
  std::string Body_;
  /// When the claim was opened.
  WallTime At_{};
};

/// The jobs and claims that result from applying a shard's records in order.
class ShardState {
public:
  /// Applies one committed record. Asserts that no attempt number decreases and
  /// that no task leaves a terminal state.
  auto apply(const LedgerRecord &Record) -> void;
  /// Records that an attempt of the task has begun. This is stored with the
  /// task's next change; an owner before that learns it from the task's agent.
  auto recordStart(const TaskId &Id) -> void;
  /// Returns records that result in this state when applied in order to an
  /// empty one, for compaction.
  /// \param MaxSize size in bytes above which a job is split into several
  /// records.
  auto snapshot(std::size_t MaxSize) const -> std::vector<LedgerRecord>;

  auto findJob(const JobId &Id) const -> const Job *;
  auto findTask(const TaskId &Id) const -> const TaskStatus *;
  /// The counts of a job that is in the state.
  auto progressOf(const JobId &Id) const -> const JobProgress &;
  /// Returns the number of the queue's jobs of which no task has started.
  auto countUnstarted(const QueueName &Queue) const -> std::uint64_t;
  auto findClaim(const IdempotencyKey &Key) const -> const Claim *;
  /// The ids that were cancelled while there was no such job.
  auto cancelledIds() const -> const std::set<JobId> & { return CancelledIds_; }
  auto jobs() const -> const std::map<JobId, Job> & { return Jobs_; }
  auto claims() const -> const std::map<IdempotencyKey, Claim> & {
    return Claims_;
  }

private:
  auto apply(const JobAdded &Record) -> void;
  auto apply(const JobCancelled &Record) -> void;
  auto apply(const TaskChanged &Record) -> void;
  auto apply(const JobRemoved &Record) -> void;
  auto apply(const ClaimOpened &Record) -> void;
  auto apply(const ClaimClosed &Record) -> void;
  auto apply(const ClaimRemoved &Record) -> void;
  auto apply(const TasksRestored &Record) -> void;

  /// Calls `Change` with a job and its counts, and updates the number of
  /// unstarted jobs. No effect if there is no such job.
  template <typename Function>
  auto changeJob(const JobId &Id, Function Change) -> void;

  std::map<JobId, Job> Jobs_;
  std::map<JobId, JobProgress> Progress_;
  /// Number of jobs of which no task has started.
  std::map<QueueName, std::uint64_t> Unstarted_;
  std::map<IdempotencyKey, Claim> Claims_;
  std::set<JobId> CancelledIds_;
};

} // namespace skylark
