#include "core/ShardUsage.h"

#include "core/Assert.h"

namespace skylark {
namespace {

/// Subtracts from a sum, and erases it when it reaches zero.
template <typename Key, typename Amount>
auto subtract(std::map<Key, Amount> &Sums, const Key &Item, Amount Delta)
    -> void {
  const auto Found = Sums.find(Item);
  SKYLARK_ASSERT(Found != Sums.end() && Found->second >= Delta,
                 "usage sum below zero");
  Found->second -= Delta;
  if (Found->second == 0)
    Sums.erase(Found);
}

} // namespace

auto stepKeyOf(const TaskId &Task) -> StepKey {
  return {Task.Job_, Task.Step_, Task.Occurrence_};
}

auto isShortTask(const StepDeclaration &Step) -> bool {
  return !Step.BestEffort_ && !Step.LongRunning_;
}

auto ShardUsage::hold(const Job &Job, const TaskId &Task, const AgentId &Agent)
    -> void {
  const auto &Step = Job.stepOf(Task);
  auto &Held = HeldTasks_[Task];
  if (!Held.Agent_.empty())
    return;
  Held.Agent_ = Agent;
  Held.Allocated_ = Step.reserved();
  Held.BestEffortMilliCores_ =
      Step.BestEffort_ ? Step.Resources_.MilliCores_ : 0;
  Held.Target_ = Step.TailTarget_;
  Held.Image_ = Step.Image_;
  Held.ShortTask_ = isShortTask(Step);
  if (Held.ShortTask_)
    ShortTaskMilliCores_[Job.Declaration_.Service_] +=
        Held.Allocated_.MilliCores_;
  PerTeam_[Job.Declaration_.Team_] += Held.Allocated_;
  auto &Usage = PerWorker_[Agent];
  Usage.Allocated_ += Held.Allocated_;
  Usage.BestEffortMilliCores_ += Held.BestEffortMilliCores_;
  if (Held.Target_ > Millis{0}) {
    Usage.ServingMilliCores_ += Held.Allocated_.MilliCores_;
    auto &Serving = Usage.Serving_[Held.Image_];
    ++Serving.Tasks_;
    Serving.Target_ = Held.Target_;
  }
  if (Held.BestEffortMilliCores_ > 0)
    Usage.BestEffortMilliCoresByImage_[Held.Image_] +=
        Held.BestEffortMilliCores_;
  ++Usage.TasksOfStep_[stepKeyOf(Task)];
}

auto ShardUsage::release(const Job &Job, const TaskId &Task) -> void {
  const auto Found = HeldTasks_.find(Task);
  if (Found == HeldTasks_.end())
    return;
  const auto Held = Found->second;
  HeldTasks_.erase(Found);
  if (Held.ShortTask_)
    ShortTaskMilliCores_[Job.Declaration_.Service_] -=
        Held.Allocated_.MilliCores_;
  PerTeam_[Job.Declaration_.Team_] -= Held.Allocated_;
  auto &Usage = PerWorker_[Held.Agent_];
  Usage.Allocated_ -= Held.Allocated_;
  Usage.BestEffortMilliCores_ -= Held.BestEffortMilliCores_;
  if (Held.Target_ > Millis{0}) {
    Usage.ServingMilliCores_ -= Held.Allocated_.MilliCores_;
    if (--Usage.Serving_[Held.Image_].Tasks_ == 0)
      Usage.Serving_.erase(Held.Image_);
  }
  if (Held.BestEffortMilliCores_ > 0)
    subtract(Usage.BestEffortMilliCoresByImage_, Held.Image_,
             Held.BestEffortMilliCores_);
  subtract(Usage.TasksOfStep_, stepKeyOf(Task), 1U);
}

auto ShardUsage::clear() -> void { *this = {}; }

auto ShardUsage::at(const AgentId &Agent) const -> const WorkerUsage * {
  const auto Found = PerWorker_.find(Agent);
  return Found == PerWorker_.end() ? nullptr : &Found->second;
}

auto ShardUsage::ofTeam(const TeamName &Team) const -> Resources {
  const auto Found = PerTeam_.find(Team);
  return Found == PerTeam_.end() ? Resources{} : Found->second;
}

auto ShardUsage::isOnlyTaskOfJob(const TaskId &Task) const -> bool {
  auto NextTask = HeldTasks_.lower_bound(TaskId{Task.Job_, 0, 0, 0});
  if (NextTask != HeldTasks_.end() && NextTask->first == Task)
    ++NextTask;
  return NextTask == HeldTasks_.end() || NextTask->first.Job_ != Task.Job_;
}

} // namespace skylark
