/// \file
/// Defines the accounting of the resources that one shard's tasks use, by
/// worker and by team.
#pragma once

#include "core/Job.h"

#include <map>
#include <tuple>

namespace skylark {

/// Whether the step's tasks end by themselves and reserve processors: neither
/// long-running nor best-effort.
auto isShortTask(const StepDeclaration &Step) -> bool;

/// One step of one occurrence of a job.
using StepKey = std::tuple<JobId, std::uint32_t, std::uint32_t>;
auto stepKeyOf(const TaskId &Task) -> StepKey;

/// The resources of one worker that the shard's tasks use.
struct WorkerUsage {
  struct ServingUsage {
    std::uint32_t Tasks_ = 0;
    Millis Target_{0};
  };

  /// Resources reserved by all tasks.
  Resources Allocated_;
  /// Processors, in thousandths, that best-effort tasks request; they reserve
  /// none.
  std::int64_t BestEffortMilliCores_ = 0;
  /// Processors, in thousandths, that serving tasks reserve; included in
  /// Allocated_.
  std::int64_t ServingMilliCores_ = 0;
  /// By image: the serving tasks, and the processors, in thousandths, that
  /// best-effort tasks request.
  std::map<std::string, ServingUsage> Serving_;
  std::map<std::string, std::int64_t> BestEffortMilliCoresByImage_;
  /// Number of tasks by step and occurrence.
  std::map<StepKey, std::uint32_t> TasksOfStep_;
};

/// Accounts for the resources that one shard's tasks use. A task counts from
/// the moment at which a worker is chosen for it, not only from the commit of
/// that binding.
class ShardUsage {
public:
  /// Adds the task; no effect if it is present.
  auto hold(const Job &Job, const TaskId &Task, const AgentId &Agent) -> void;
  /// Removes the task; no effect if it is absent.
  auto release(const Job &Job, const TaskId &Task) -> void;
  auto clear() -> void;

  /// Usage of the agent's worker; null if it never had a task of this shard.
  auto at(const AgentId &Agent) const -> const WorkerUsage *;
  /// Resources that the team's tasks reserve on all workers.
  auto ofTeam(const TeamName &Team) const -> Resources;
  /// Whether `Task` is, or would be, the only accounted task of its job.
  auto isOnlyTaskOfJob(const TaskId &Task) const -> bool;
  /// Processors, in thousandths, that short tasks reserve, by service.
  auto shortTaskMilliCores() const
      -> const std::map<ServiceName, std::int64_t> & {
    return ShortTaskMilliCores_;
  }

private:
  /// The resources of its worker that one task uses.
  struct HeldTask {
    AgentId Agent_;
    Resources Allocated_;
    std::int64_t BestEffortMilliCores_ = 0;
    Millis Target_{0};
    std::string Image_;
    bool ShortTask_ = false;
  };

  std::map<TaskId, HeldTask> HeldTasks_;
  std::map<AgentId, WorkerUsage> PerWorker_;
  std::map<TeamName, Resources> PerTeam_;
  std::map<ServiceName, std::int64_t> ShortTaskMilliCores_;
};

} // namespace skylark
