#include "core/ShortTaskDemand.h"

#include <algorithm>
#include <cmath>

namespace skylark {
namespace {

/// Time in which a peak decays to 1/e.
constexpr Seconds PeakDecayTime{20};
/// Largest share of a worker's processors that is kept free.
constexpr double MaxHeadroomShare = 0.1;

} // namespace

auto ShortTaskDemand::record(TimePoint Now, std::int64_t MilliCores) -> void {
  const auto Decay =
      std::exp(-std::chrono::duration<double>(Now - RecordedAt_) /
               std::chrono::duration<double>(PeakDecayTime));
  Peak_ = std::max(Peak_ * Decay, static_cast<double>(MilliCores));
  RecordedAt_ = Now;
}

auto ShortTaskDemand::headroomAt(std::int64_t Capacity,
                                 std::size_t Workers) const -> std::int64_t {
  const auto Share =
      Peak_ / static_cast<double>(std::max<std::size_t>(Workers, 1));
  return std::min(static_cast<std::int64_t>(Share), maxHeadroomAt(Capacity));
}

auto ShortTaskDemand::maxHeadroomAt(std::int64_t Capacity) -> std::int64_t {
  return static_cast<std::int64_t>(MaxHeadroomShare *
                                   static_cast<double>(Capacity));
}

} // namespace skylark
