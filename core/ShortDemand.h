/// \file
/// Defines how much room short work needs, so that tasks which last don't take
/// the last of it.
#pragma once

#include "core/Time.h"

#include <cstddef>
#include <cstdint>

namespace skylark {

/// The recent peak of what short work asks for, in thousandths of a processor.
/// It fades, so that a burst is not held against lasting tasks for ever.
class ShortDemand {
public:
  /// \param MilliCores what short work holds and waits for now.
  auto note(TimePoint Now, std::int64_t MilliCores) -> void;
  /// What each of `Workers` keeps free for it, in thousandths of a processor:
  /// its part of the peak, up to a share of its `Capacity`.
  auto keptAt(std::int64_t Capacity, std::size_t Workers) const -> std::int64_t;

private:
  double Peak_ = 0;
  TimePoint NotedAt_{};
};

} // namespace skylark
