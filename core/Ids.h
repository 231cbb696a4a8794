/// \file
/// Defines a distinct type for each kind of identifier, so that one kind can't
/// be passed in place of another.
#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <sstream>
#include <string>
#include <tuple>

namespace skylark {

/// A textual identifier, comparable only with identifiers of the same kind.
template <typename Tag> struct Id {
  std::string Value_;

  auto empty() const -> bool { return Value_.empty(); }
  friend auto operator==(const Id &Left, const Id &Right) -> bool {
    return Left.Value_ == Right.Value_;
  }
  friend auto operator!=(const Id &Left, const Id &Right) -> bool {
    return Left.Value_ != Right.Value_;
  }
  friend auto operator<(const Id &Left, const Id &Right) -> bool {
    return Left.Value_ < Right.Value_;
  }
  friend auto operator<<(std::ostream &Out, const Id &Value) -> std::ostream & {
    return Out << Value.Value_;
  }
};

using AgentId = Id<struct AgentTag>;
using EntryId = Id<struct EntryTag>;
using RequestId = Id<struct RequestTag>;
using JobId = Id<struct JobTag>;
using TeamName = Id<struct TeamTag>;
using QueueName = Id<struct QueueTag>;
using ServiceName = Id<struct ServiceTag>;
using DataCentreName = Id<struct DataCentreTag>;
using EnvironmentName = Id<struct EnvironmentTag>;
using IdempotencyKey = Id<struct IdempotencyKeyTag>;
using WriteId = Id<struct WriteTag>;
using LeaseId = Id<struct LeaseTag>;
using CheckpointId = Id<struct CheckpointTag>;

/// Identifies one connection between two processes; never reused for another
/// connection.
using SessionNumber = std::uint64_t;
using ShardNumber = std::uint32_t;
/// Incremented each time an entry acquires a shard.
using Epoch = std::uint64_t;
/// Incremented by each change of an environment's configuration.
using Revision = std::uint64_t;
using AttemptNumber = std::uint32_t;
/// Numbers the commits of one shard's ledger, across all its owners.
using CommitNumber = std::uint64_t;
/// Identifies one run of an entry or agent process, or of a worker.
using Incarnation = std::uint64_t;

/// Identifies one incarnation of an agent's worker.
struct WorkerKey {
  AgentId Agent_;
  Incarnation Worker_ = 0;

  friend auto operator<(const WorkerKey &Left, const WorkerKey &Right) -> bool {
    return std::tie(Left.Agent_, Left.Worker_) <
           std::tie(Right.Agent_, Right.Worker_);
  }
};

/// Identifies a task: the Index_-th task of a step, in one occurrence of a
/// recurring job.
struct TaskId {
  JobId Job_;
  std::uint32_t Index_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Occurrence_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&TaskId::Job_, &TaskId::Index_, &TaskId::Step_,
                           &TaskId::Occurrence_);
  }
  friend auto operator==(const TaskId &Left, const TaskId &Right) -> bool {
    return Left.comparisonKey() == Right.comparisonKey();
  }
  friend auto operator<(const TaskId &Left, const TaskId &Right) -> bool {
    return Left.comparisonKey() < Right.comparisonKey();
  }
  friend auto operator<<(std::ostream &Out, const TaskId &Task)
      -> std::ostream & {
    Out << Task.Job_ << '/';
    if (Task.Occurrence_ != 0 || Task.Step_ != 0)
      Out << Task.Occurrence_ << '/' << Task.Step_ << '/';
    return Out << Task.Index_;
  }
  auto text() const -> std::string {
    std::ostringstream Out;
    Out << *this;
    return Out.str();
  }

private:
  auto comparisonKey() const -> std::tuple<const JobId &, std::uint32_t,
                                           std::uint32_t, std::uint32_t> {
    return {Job_, Occurrence_, Step_, Index_};
  }
};

} // namespace skylark

template <typename Tag> struct std::hash<skylark::Id<Tag>> {
  auto operator()(const skylark::Id<Tag> &Value) const noexcept -> std::size_t {
    return std::hash<std::string>()(Value.Value_);
  }
};
