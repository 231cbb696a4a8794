#include "core/ShortDemand.h"

#include <algorithm>
#include <cmath>

namespace skylark {
namespace {

/// Time in which a peak fades to 1/e.
constexpr Seconds PeakFadesIn{20};
/// Largest share of a worker that is kept free.
constexpr double LargestShare = 0.1;

} // namespace

auto ShortDemand::note(TimePoint Now, std::int64_t MilliCores) -> void {
  const auto Faded = std::exp(-std::chrono::duration<double>(Now - NotedAt_) /
                              std::chrono::duration<double>(PeakFadesIn));
  Peak_ = std::max(Peak_ * Faded, static_cast<double>(MilliCores));
  NotedAt_ = Now;
}

auto ShortDemand::keptAt(std::int64_t Capacity, std::size_t Workers) const
    -> std::int64_t {
  const auto Part =
      Peak_ / static_cast<double>(std::max<std::size_t>(Workers, 1));
  return static_cast<std::int64_t>(
      std::min(Part, LargestShare * static_cast<double>(Capacity)));
}

} // namespace skylark
