#include "core/PlacementFailures.h"

#include "core/Mutation.h"

#include <algorithm>

namespace skylark {
namespace {

/// Whether a task with the wanted service or label, empty for any, may run only
/// where one that wanted `Failed` may.
template <typename Value>
auto isWithin(const Value &Failed, const Value &Wanted, bool IsSample) -> bool {
  // Another sample may find a worker of the few that have a label.
  return Failed == Wanted || (Failed == Value{} && !IsSample);
}

/// Whether the limits that kept the failed task away from workers with room
/// also apply to the other.
auto sharesLimits(const StepDeclaration &Failed, const PlacementDemand &Demand)
    -> bool {
  const auto &Other = *Demand.Declaration_;
  if (Failed.MaxPerWorker_ != 0 || Demand.AcceptsAnyWorker_)
    return false;
  // Tasks of one image keep their order.
  if (Failed.BestEffort_ && (Failed.Image_ != Other.Image_ ||
                             Failed.TailTarget_ != Other.TailTarget_))
    return false;
  return !Failed.LongRunning_ ||
         (Other.LongRunning_ && Other.Resources_.holds(Failed.Resources_));
}

} // namespace

auto PlacementFailures::covers(const Record &Failed,
                               const PlacementDemand &Demand) -> bool {
  const auto &Tried = Failed.Demand_;
  if (Tried.WorstStanding_ < Demand.WorstStanding_)
    return false;
  if (Tried.Step_ == Demand.Step_)
    return Tried.AcceptsAnyWorker_ || !Demand.AcceptsAnyWorker_;
  const auto &TriedStep = *Tried.Declaration_;
  const auto &Step = *Demand.Declaration_;
  const auto IsSample = Failed.Failure_.IsSample_;
  // A worker may accept no best-effort task for a while.
  if (TriedStep.BestEffort_ && !Step.BestEffort_)
    return false;
  const auto IsServiceWithin =
      isWithin(Tried.Service_, Demand.Service_, IsSample) ||
      isMutationActive(Mutation::IgnoreServiceOfFailure);
  if (!IsServiceWithin ||
      !isWithin(TriedStep.RequiredLabel_, Step.RequiredLabel_, IsSample))
    return false;
  // Where no worker may host the task, its size doesn't matter.
  if (!Failed.Failure_.HasCandidate_)
    return true;
  if (Failed.Failure_.HasRoom_)
    return sharesLimits(TriedStep, Demand);
  return Step.reserved().holds(TriedStep.reserved());
}

auto PlacementFailures::record(const PlacementDemand &Demand,
                               const PlacementFailure &Failure) -> void {
  Records_.push_back({Demand, Failure});
}

auto PlacementFailures::find(const PlacementDemand &Demand) const
    -> std::optional<TaskWait> {
  const auto Found =
      std::find_if(Records_.begin(), Records_.end(),
                   [&](const Record &Each) { return covers(Each, Demand); });
  if (Found == Records_.end())
    return std::nullopt;
  return Found->Failure_.Reason_;
}

} // namespace skylark
