#include "core/ShardUse.h"

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

auto isShort(const StepDeclaration &Step) -> bool {
  return !Step.Fills_ && !Step.LongRunning_;
}

auto ShardUse::hold(const Job &Job, const TaskId &Task, const AgentId &Agent)
    -> void {
  const auto &Step = Job.stepOf(Task);
  auto &Held = Held_[Task];
  if (!Held.Agent_.empty())
    return;
  Held.Agent_ = Agent;
  Held.Amount_ = Step.reserved();
  Held.FillingMilliCores_ = Step.Fills_ ? Step.Resources_.MilliCores_ : 0;
  Held.Target_ = Step.TailTarget_;
  Held.Image_ = Step.Image_;
  Held.ShortTask_ = isShort(Step);
  if (Held.ShortTask_)
    ShortTaskMilliCores_ += Held.Amount_.MilliCores_;
  PerTeam_[Job.Declaration_.Team_] += Held.Amount_;
  auto &Usage = PerWorker_[Agent];
  Usage.Amount_ += Held.Amount_;
  Usage.FillingMilliCores_ += Held.FillingMilliCores_;
  if (Held.Target_ > Millis{0}) {
    Usage.ServingMilliCores_ += Held.Amount_.MilliCores_;
    auto &Serving = Usage.Serving_[Held.Image_];
    ++Serving.Tasks_;
    Serving.Target_ = Held.Target_;
  }
  if (Held.FillingMilliCores_ > 0)
    Usage.Filling_[Held.Image_] += Held.FillingMilliCores_;
  ++Usage.TasksOfStep_[stepKeyOf(Task)];
}

auto ShardUse::release(const Job &Job, const TaskId &Task) -> void {
  const auto Found = Held_.find(Task);
  if (Found == Held_.end())
    return;
  const auto Held = Found->second;
  Held_.erase(Found);
  if (Held.ShortTask_)
    ShortTaskMilliCores_ -= Held.Amount_.MilliCores_;
  PerTeam_[Job.Declaration_.Team_] -= Held.Amount_;
  auto &Usage = PerWorker_[Held.Agent_];
  Usage.Amount_ -= Held.Amount_;
  Usage.FillingMilliCores_ -= Held.FillingMilliCores_;
  if (Held.Target_ > Millis{0}) {
    Usage.ServingMilliCores_ -= Held.Amount_.MilliCores_;
    if (--Usage.Serving_[Held.Image_].Tasks_ == 0)
      Usage.Serving_.erase(Held.Image_);
  }
  if (Held.FillingMilliCores_ > 0)
    subtract(Usage.Filling_, Held.Image_, Held.FillingMilliCores_);
  subtract(Usage.TasksOfStep_, stepKeyOf(Task), 1U);
}

auto ShardUse::clear() -> void { *this = {}; }

auto ShardUse::at(const AgentId &Agent) const -> const WorkerUse * {
  const auto Found = PerWorker_.find(Agent);
  return Found == PerWorker_.end() ? nullptr : &Found->second;
}

auto ShardUse::ofTeam(const TeamName &Team) const -> Resources {
  const auto Found = PerTeam_.find(Team);
  return Found == PerTeam_.end() ? Resources{} : Found->second;
}

auto ShardUse::isOnlyOne(const TaskId &Task) const -> bool {
  auto Held = Held_.lower_bound(TaskId{Task.Job_, 0, 0, 0});
  if (Held != Held_.end() && Held->first == Task)
    ++Held;
  return Held == Held_.end() || Held->first.Job_ != Task.Job_;
}

} // namespace skylark
