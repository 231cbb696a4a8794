/// \file
/// Defines the detection of moves of the wall clock.
#pragma once

#include "core/Time.h"

#include <optional>

namespace skylark {

/// Compares the wall clock with the steady clock. No decision depends on it:
/// it shows the operator that times of day are wrong, or were.
class WallClockWatch {
public:
  /// Takes the present time.
  /// \returns by how much the wall clock has moved against the steady clock
  /// since the first call or the last reported move, if it has moved by more
  /// than a second since the last call; at most once a minute.
  auto update(Moment Now) -> std::optional<Millis>;

private:
  std::optional<Millis> Offset_;
  /// The offset at the first call or at the last report.
  Millis ReportedOffset_{};
  bool Moved_ = false;
  TimePoint NextReport_{};
};

} // namespace skylark
