/// \file
/// Defines the identifier types, so that one kind can't be passed for another.
#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <sstream>
#include <string>
#include <tuple>

namespace skylark {

/// A textual identifier that is only comparable with its own kind.
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

/// One connection between two processes; a new connection gets a new number.
using SessionNumber = std::uint64_t;
using ShardNumber = std::uint32_t;
using Epoch = std::uint64_t;
using Revision = std::uint64_t;
using AttemptNumber = std::uint32_t;
/// Counts the commits of one shard's ledger, over all its owners.
using CommitNumber = std::uint64_t;
using Incarnation = std::uint64_t;

/// One task of a job: the Index_-th of a step, in one occurrence of the job.
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
    return Left.ranked() == Right.ranked();
  }
  friend auto operator<(const TaskId &Left, const TaskId &Right) -> bool {
    return Left.ranked() < Right.ranked();
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
  auto ranked() const -> std::tuple<const JobId &, std::uint32_t, std::uint32_t,
                                    std::uint32_t> {
    return {Job_, Occurrence_, Step_, Index_};
  }
};

} // namespace skylark

template <typename Tag> struct std::hash<skylark::Id<Tag>> {
  auto operator()(const skylark::Id<Tag> &Value) const noexcept -> std::size_t {
    return std::hash<std::string>()(Value.Value_);
  }
};
