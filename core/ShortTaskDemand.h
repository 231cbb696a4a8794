/// \file
/// Defines how many processors long-running tasks leave free for short tasks.
#pragma once

#include "core/Time.h"

#include <cstddef>
#include <cstdint>

namespace skylark {

/// Tracks the recent peak demand of short tasks. The peak decays, so that one
/// burst doesn't keep long-running tasks out for ever.
class ShortTaskDemand {
public:
  /// Records the current demand.
  /// \param MilliCores processors, in thousandths, that short tasks have
  ///     reserved or are waiting for.
  auto record(TimePoint Now, std::int64_t MilliCores) -> void;
  /// Processors, in thousandths, that one of `Workers` workers keeps free for
  /// short tasks: an equal share of the peak, limited to a share of its
  /// `Capacity`, also in thousandths of a processor.
  auto headroomAt(std::int64_t Capacity, std::size_t Workers) const
      -> std::int64_t;

  /// The most processors, in thousandths, that a worker keeps free.
  static auto maxHeadroomAt(std::int64_t Capacity) -> std::int64_t;

private:
  /// In thousandths of a processor.
  double Peak_ = 0;
  TimePoint RecordedAt_{};
};

} // namespace skylark
