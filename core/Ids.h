/// \file
/// Defines the identifier types, so that one kind can't be passed for another.
#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
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
using Incarnation = std::uint64_t;

/// One task of a job.
struct TaskId {
  JobId Job_;
  std::uint32_t Index_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&TaskId::Job_, &TaskId::Index_);
  }
  friend auto operator==(const TaskId &Left, const TaskId &Right) -> bool {
    return Left.Index_ == Right.Index_ && Left.Job_ == Right.Job_;
  }
  friend auto operator<(const TaskId &Left, const TaskId &Right) -> bool {
    return std::tie(Left.Job_, Left.Index_) <
           std::tie(Right.Job_, Right.Index_);
  }
  friend auto operator<<(std::ostream &Out, const TaskId &Task)
      -> std::ostream & {
    return Out << Task.Job_ << '/' << Task.Index_;
  }
};

} // namespace skylark

template <typename Tag> struct std::hash<skylark::Id<Tag>> {
  auto operator()(const skylark::Id<Tag> &Value) const noexcept -> std::size_t {
    return std::hash<std::string>()(Value.Value_);
  }
};
