#include "core/Placement.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace skylark {
namespace {

/// Expected share of the reserved processors that serving tasks use;
/// best-effort tasks get the rest.
constexpr double ServingUtilization = 0.5;
/// Growth of the neighbours' tails, in logarithm, that is ignored in a ranking.
constexpr double NegligibleInterference = 0.05;

/// The processors as a share of the worker's capacity.
auto shareOf(double MilliCores, const PlacementCandidate &Candidate) -> double {
  const auto Capacity =
      std::max<std::int64_t>(Candidate.Capacity_.MilliCores_, 1);
  return MilliCores / static_cast<double>(Capacity);
}

/// Share of the worker's processors that stays free once the task runs there;
/// negative if best-effort tasks request more than is free.
auto freeShare(const StepDeclaration &Step, const PlacementCandidate &Candidate)
    -> double {
  const auto Remaining = Candidate.Free_.MilliCores_ -
                         Candidate.BestEffortMilliCores_ -
                         Step.Resources_.MilliCores_;
  return shareOf(static_cast<double>(Remaining), Candidate);
}

/// Share that is left for best-effort tasks, which also get what serving tasks
/// reserve and don't use.
auto unusedShare(const StepDeclaration &Step,
                 const PlacementCandidate &Candidate) -> double {
  const auto Unused = (1 - ServingUtilization) *
                      static_cast<double>(Candidate.ServingMilliCores_);
  return freeShare(Step, Candidate) + shareOf(Unused, Candidate);
}

/// Sort key, compared in lexicographic order; a greater key is better.
using PlacementRank = std::array<double, 4>;

/// Packs serving tasks onto few workers, by image where possible, so that
/// best-effort tasks that interfere with them find workers without any.
auto rankForServing(const StepDeclaration &Step,
                    const PlacementCandidate &Candidate) -> PlacementRank {
  const auto OtherImages = Candidate.SameImage_ ? 0 : Candidate.ServingImages_;
  const auto HostsServing = Candidate.ServingImages_ > 0;
  return {HostsServing ? 1.0 : 0.0, -static_cast<double>(OtherImages),
          -Candidate.AddedInterference_, -freeShare(Step, Candidate)};
}

/// Tasks that don't interfere prefer workers with serving tasks, and so leave
/// the others to tasks that would interfere.
auto rankForBestEffort(const StepDeclaration &Step,
                       const PlacementCandidate &Candidate) -> PlacementRank {
  const auto Interference =
      Candidate.AddedInterference_ > NegligibleInterference
          ? Candidate.AddedInterference_
          : 0.0;
  const auto Unused = unusedShare(Step, Candidate);
  const auto HostsServing = Candidate.ServingImages_ > 0;
  return {-Interference, Unused >= 0 ? 1.0 : 0.0, HostsServing ? 1.0 : 0.0,
          Unused};
}

/// Spreads short tasks: the worker with the most free processors wins.
auto rankForShortTask(const StepDeclaration &Step,
                      const PlacementCandidate &Candidate) -> PlacementRank {
  return {freeShare(Step, Candidate), 0, 0, 0};
}

/// Sort key over all criteria; a greater key is better.
auto rankOf(const StepDeclaration &Step, const PlacementCandidate &Candidate) {
  const auto NearData =
      Step.DataRack_.empty() || Step.DataRack_ == Candidate.Rack_;
  const auto Rank = Step.TailTarget_ > Millis{0}
                        ? rankForServing(Step, Candidate)
                    : Step.BestEffort_ ? rankForBestEffort(Step, Candidate)
                                       : rankForShortTask(Step, Candidate);
  return std::make_tuple(-static_cast<std::int64_t>(Candidate.TasksAtRisk_),
                         !Candidate.FailedHere_, NearData,
                         Candidate.SlackOverrun_ <= 0, Rank);
}

} // namespace

auto hasUnusedProcessors(const StepDeclaration &Step,
                         const PlacementCandidate &Candidate) -> bool {
  return !Step.BestEffort_ || unusedShare(Step, Candidate) >= 0;
}

auto canPlace(const StepDeclaration &Step, const PlacementCandidate &Candidate)
    -> bool {
  const auto BelowLimit =
      Step.MaxPerWorker_ == 0 || Candidate.TasksOfStep_ < Step.MaxPerWorker_;
  // A best-effort task waits rather than interfere with serving tasks or share
  // processors that are in use, but not for ever. Where it runs slowly or
  // paused, it holds slack and memory, and tasks of higher rank can't pass it.
  const auto MustWait =
      Step.BestEffort_ && !Candidate.AcceptsAnyWorker_ &&
      (Candidate.SlackOverrun_ > 0 || !hasUnusedProcessors(Step, Candidate));
  auto Free = Candidate.Free_;
  // A long-running task leaves the headroom free, but at most half as many
  // processors as it needs itself: a worker with twice the free processors that
  // it needs must always accept it.
  if (Step.LongRunning_ && !Candidate.AcceptsAnyWorker_)
    Free.MilliCores_ -= std::min(Candidate.HeadroomMilliCores_,
                                 Step.Resources_.MilliCores_ / 2);
  return BelowLimit && !MustWait && Free.holds(Step.reserved());
}

auto choosePlacement(const StepDeclaration &Step,
                     const std::vector<PlacementCandidate> &Candidates)
    -> std::size_t {
  auto Best = Candidates.size();
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    if (!canPlace(Step, Candidates[Index]))
      continue;
    const auto Better =
        Best == Candidates.size() ||
        rankOf(Step, Candidates[Best]) < rankOf(Step, Candidates[Index]);
    if (Better)
      Best = Index;
  }
  return Best;
}

} // namespace skylark
