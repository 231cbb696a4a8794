/// \file
/// Defines the time types. Code in core never reads a clock: the current time
/// is passed in.
#pragma once

#include <chrono>

namespace skylark {

using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;
using Duration = SteadyClock::duration;
using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// The same instant on the steady and the wall clock of an instance. Safety
/// depends on the steady clock alone; the wall clock is for timestamps of
/// records and for job deadlines.
struct Moment {
  TimePoint Steady_;
  WallTime Wall_;

  auto after(Duration Delay) const -> Moment {
    return {Steady_ + Delay, Wall_ + std::chrono::duration_cast<Millis>(Delay)};
  }
};

/// Upper bound on how much faster or slower one instance's steady clock may run
/// than another's, as a fraction.
constexpr double MaxClockRateError = 0.01;

/// Lengthens a wait so that at least `Wait` has passed on the steady clock of
/// every other instance too.
constexpr auto withClockMargin(Duration Wait) -> Duration {
  return std::chrono::duration_cast<Duration>(Wait *
                                              (1.0 + 2.0 * MaxClockRateError));
}

} // namespace skylark
