/// \file
/// Defines the wrong times of day of simulated entries.
#pragma once

#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace skylark::Fuzz {

/// How far the wall clock of each entry is from the true time of day. Steady
/// clocks are not concerned.
class WallClocks {
public:
  /// \returns the difference from the true time of day; zero if it is right.
  auto offsetOf(std::size_t Entry) const -> Millis;
  /// Makes the wall clock of an entry wrong by somewhat more than a day.
  /// \param Variant selects whether it is ahead or behind.
  auto leap(std::size_t Entry, std::uint32_t Variant) -> void;
  /// Makes the wall clock of an entry right again.
  auto correct(std::size_t Entry) -> void;

private:
  std::map<std::size_t, Millis> Offsets_;
};

} // namespace skylark::Fuzz
