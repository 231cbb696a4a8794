/// \file
/// Defines the record of what one shard's bound tasks take of workers and
/// teams.
#pragma once

#include "core/Job.h"

#include <map>
#include <tuple>

namespace skylark {

/// Whether a task ends by itself and counts against its worker's processors.
auto isShort(const StepDeclaration &Step) -> bool;

/// One step of one occurrence of a job.
using StepKey = std::tuple<JobId, std::uint32_t, std::uint32_t>;
auto stepKeyOf(const TaskId &Task) -> StepKey;

/// What the shard's tasks take of one worker.
struct WorkerUse {
  struct ServingUse {
    std::uint32_t Tasks_ = 0;
    Millis Target_{0};
  };

  Resources Amount_;
  std::int64_t FillingMilliCores_ = 0;
  /// What serving tasks reserve; a part of Amount_.
  std::int64_t ServingMilliCores_ = 0;
  /// By image: what serves, and the processors that fillers ask for.
  std::map<std::string, ServingUse> Serving_;
  std::map<std::string, std::int64_t> Filling_;
  std::map<StepKey, std::uint32_t> TasksOfStep_;
};

/// Counts a task from the moment at which it is given a worker, not only from
/// the commit on.
class ShardUse {
public:
  /// Counts the task; no effect where it is counted.
  auto hold(const Job &Job, const TaskId &Task, const AgentId &Agent) -> void;
  /// Counts it no more; no effect where it isn't counted.
  auto release(const Job &Job, const TaskId &Task) -> void;
  auto clear() -> void;

  /// What is taken of the agent's worker; null where nothing ever was.
  auto at(const AgentId &Agent) const -> const WorkerUse *;
  auto ofTeam(const TeamName &Team) const -> Resources;
  /// Whether no other task of its job holds anything.
  auto isOnlyOne(const TaskId &Task) const -> bool;
  /// Processors, in thousandths, that short tasks hold.
  auto shortMilliCores() const -> std::int64_t { return ShortMilliCores_; }

private:
  /// What a bound or proposed task takes of its worker.
  struct HeldTask {
    AgentId Agent_;
    Resources Amount_;
    std::int64_t FillingMilliCores_ = 0;
    Millis Target_{0};
    std::string Image_;
    bool Short_ = false;
  };

  std::map<TaskId, HeldTask> Held_;
  std::map<AgentId, WorkerUse> At_;
  std::map<TeamName, Resources> OfTeam_;
  std::int64_t ShortMilliCores_ = 0;
};

} // namespace skylark
