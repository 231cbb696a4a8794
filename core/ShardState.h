/// \file
/// Defines the records of a shard's ledger and the state they add up to.
#pragma once

#include "core/Job.h"

#include <map>
#include <variant>
#include <vector>

namespace skylark {

struct JobAdded {
  Job Job_;

  static constexpr auto fields() { return std::make_tuple(&JobAdded::Job_); }
};

/// Cancels a job: its pending tasks end at once, bound ones when they stop.
struct JobCancelled {
  JobId Job_;
  WallTime At_{};

  static constexpr auto fields() {
    return std::make_tuple(&JobCancelled::Job_, &JobCancelled::At_);
  }
};

/// Moves one task into another state.
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

  static constexpr auto fields() {
    return std::make_tuple(&TaskChanged::Task_, &TaskChanged::State_,
                           &TaskChanged::Attempt_, &TaskChanged::Agent_,
                           &TaskChanged::DataCentre_, &TaskChanged::Worker_,
                           &TaskChanged::Checkpoint_, &TaskChanged::Failures_,
                           &TaskChanged::Reason_, &TaskChanged::At_);
  }
};

/// Forgets a job that ended long ago.
struct JobForgotten {
  JobId Job_;

  static constexpr auto fields() {
    return std::make_tuple(&JobForgotten::Job_);
  }
};

/// Binds an idempotency key to one request, before that is dispatched.
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

/// Forgets a key whose date is outside the retention time.
struct ClaimForgotten {
  IdempotencyKey Key_;

  static constexpr auto fields() {
    return std::make_tuple(&ClaimForgotten::Key_);
  }
};

using LedgerRecord =
    std::variant<JobAdded, JobCancelled, TaskChanged, JobForgotten, ClaimOpened,
                 ClaimClosed, ClaimForgotten>;

struct Claim {
  std::uint64_t RequestDigest_ = 0;
  RequestId Request_;
  bool Open_ = true;
  ErrorKind Error_ = ErrorKind::None;
  std::uint16_t Status_ = 0;
  std::string Body_;
  WallTime At_{};
};

/// What the records of one shard add up to.
class ShardState {
public:
  /// Applies one committed record. Asserts that no attempt goes down and that
  /// no task leaves an end state.
  auto apply(const LedgerRecord &Record) -> void;
  /// Records that add up to this state, for compaction.
  auto snapshot() const -> std::vector<LedgerRecord>;

  auto findJob(const JobId &Id) const -> const Job *;
  auto findTask(const TaskId &Id) const -> const TaskStatus *;
  auto findClaim(const IdempotencyKey &Key) const -> const Claim *;
  auto jobs() const -> const std::map<JobId, Job> & { return Jobs_; }
  auto claims() const -> const std::map<IdempotencyKey, Claim> & {
    return Claims_;
  }

private:
  auto apply(const JobAdded &Record) -> void;
  auto apply(const JobCancelled &Record) -> void;
  auto apply(const TaskChanged &Record) -> void;
  auto apply(const JobForgotten &Record) -> void;
  auto apply(const ClaimOpened &Record) -> void;
  auto apply(const ClaimClosed &Record) -> void;
  auto apply(const ClaimForgotten &Record) -> void;

  std::map<JobId, Job> Jobs_;
  std::map<IdempotencyKey, Claim> Claims_;
};

/// Roughly the encoded size of a record, in bytes.
auto recordSize(const LedgerRecord &Record) -> std::size_t;

} // namespace skylark
