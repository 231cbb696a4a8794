#include "core/Placement.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace skylark {
namespace {

/// Part of what serving tasks reserve that they use; fillers get the rest.
constexpr double ServingUse = 0.5;
/// Growth of neighbours' tails that is too small to choose by.
constexpr double SmallPress = 0.05;

auto shareOf(double MilliCores, const PlaceView &Place) -> double {
  const auto Capacity = std::max<std::int64_t>(Place.Capacity_.MilliCores_, 1);
  return MilliCores / static_cast<double>(Capacity);
}

/// Share of a worker's processors that stay free once the task runs there.
auto freeShare(const StepDeclaration &Step, const PlaceView &Place) -> double {
  const auto Left = Place.Free_.MilliCores_ - Place.FillingMilliCores_ -
                    Step.Resources_.MilliCores_;
  return shareOf(static_cast<double>(Left), Place);
}

/// Share that is left for fillers, which also get what others reserve and
/// don't use.
auto unusedShare(const StepDeclaration &Step, const PlaceView &Place)
    -> double {
  const auto Unused =
      (1 - ServingUse) * static_cast<double>(Place.ServingMilliCores_);
  return freeShare(Step, Place) + shareOf(Unused, Place);
}

/// Orders places from worst to best; the first that differs decides.
using PlaceRank = std::array<double, 4>;

/// Serving tasks stand close together, those of one image first: work that
/// disturbs them finds workers without them.
auto rankForServing(const StepDeclaration &Step, const PlaceView &Place)
    -> PlaceRank {
  const auto Mixed = Place.SameImage_ ? 0 : Place.ServingImages_;
  const auto Serves = Place.ServingImages_ > 0;
  return {Serves ? 1.0 : 0.0, -static_cast<double>(Mixed), -Place.AddedPress_,
          -freeShare(Step, Place)};
}

/// Work that disturbs nobody leaves the workers without serving tasks to work
/// that would.
auto rankForFilling(const StepDeclaration &Step, const PlaceView &Place)
    -> PlaceRank {
  const auto Press = Place.AddedPress_ > SmallPress ? Place.AddedPress_ : 0.0;
  const auto Unused = unusedShare(Step, Place);
  const auto Serves = Place.ServingImages_ > 0;
  return {-Press, Unused >= 0 ? 1.0 : 0.0, Serves ? 1.0 : 0.0, Unused};
}

auto rankForShort(const StepDeclaration &Step, const PlaceView &Place)
    -> PlaceRank {
  return {freeShare(Step, Place), 0, 0, 0};
}

auto rankOf(const StepDeclaration &Step, const PlaceView &Place) {
  const auto NearData = Step.DataRack_.empty() || Step.DataRack_ == Place.Rack_;
  const auto Rank = Step.TailTarget_ > Millis{0} ? rankForServing(Step, Place)
                    : Step.Fills_                ? rankForFilling(Step, Place)
                                                 : rankForShort(Step, Place);
  return std::make_tuple(!Place.Suspect_, !Place.FailedHere_, NearData,
                         Place.Overrun_ <= 0, Rank);
}

} // namespace

auto canPlace(const StepDeclaration &Step, const PlaceView &Place) -> bool {
  const auto BelowLimit =
      Step.MaxPerWorker_ == 0 || Place.TasksOfStep_ < Step.MaxPerWorker_;
  // Work that fills rather waits than disturbs what serves, but not for ever:
  // the agents pause it while it does harm.
  const auto Disturbs =
      Step.Fills_ && Place.Overrun_ > 0 && !Place.TakesAnyPlace_;
  auto Free = Place.Free_;
  // A lasting task must not stay away from a place that has room for it twice
  // over, so a small one keeps less free.
  if (Step.LongRunning_ && !Place.TakesAnyPlace_)
    Free.MilliCores_ -=
        std::min(Place.KeptMilliCores_, Step.Resources_.MilliCores_ / 2);
  return BelowLimit && !Disturbs && Free.holds(Step.reserved());
}

auto choosePlace(const StepDeclaration &Step,
                 const std::vector<PlaceView> &Places) -> std::size_t {
  auto Best = Places.size();
  for (std::size_t Index = 0; Index < Places.size(); ++Index) {
    if (!canPlace(Step, Places[Index]))
      continue;
    const auto Better =
        Best == Places.size() ||
        rankOf(Step, Places[Best]) < rankOf(Step, Places[Index]);
    if (Better)
      Best = Index;
  }
  return Best;
}

} // namespace skylark
