#include "core/Placement.h"

#include <algorithm>
#include <tuple>

namespace skylark {
namespace {

/// Share of a worker's processors that stay unused once the task runs there.
auto freeShare(const StepDeclaration &Step, const PlaceView &Place) -> double {
  const auto Left = Place.Free_.MilliCores_ - Place.FillingMilliCores_ -
                    Step.Resources_.MilliCores_;
  const auto Capacity = std::max<std::int64_t>(Place.Capacity_.MilliCores_, 1);
  return static_cast<double>(Left) / static_cast<double>(Capacity);
}

/// Images that the place would have beyond the one that it has at least.
/// Serving tasks of one image are kept together, so that work which disturbs
/// that image finds workers without it.
auto mixedImages(const StepDeclaration &Step, const PlaceView &Place)
    -> std::int64_t {
  if (Step.TailTarget_ == Millis{0})
    return 0;
  return Place.SameImage_ ? 0 : static_cast<std::int64_t>(Place.ServingImages_);
}

/// Orders places from worst to best.
auto rankOf(const StepDeclaration &Step, const PlaceView &Place) {
  const auto NearData = Step.DataRack_.empty() || Step.DataRack_ == Place.Rack_;
  return std::make_tuple(!Place.Suspect_, !Place.FailedHere_, NearData,
                         Place.Overrun_ <= 0, -mixedImages(Step, Place),
                         -Place.AddedPress_, freeShare(Step, Place));
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
