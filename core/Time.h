/// \file
/// Defines the clocks that every decision is given: core never reads one.
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

/// One instant on both clocks of an instance. Safety rests on the steady clock
/// alone; the wall clock dates records and job deadlines.
struct Moment {
  TimePoint Steady_;
  WallTime Wall_;

  auto after(Duration Delay) const -> Moment {
    return {Steady_ + Delay, Wall_ + std::chrono::duration_cast<Millis>(Delay)};
  }
};

/// Upper bound on how much faster or slower one instance's steady clock may
/// run than another's, as a share.
constexpr double MaxClockRateError = 0.01;

/// Lengthens a wait so that `Wait` has passed on every other clock too.
constexpr auto withClockMargin(Duration Wait) -> Duration {
  return std::chrono::duration_cast<Duration>(Wait *
                                              (1.0 + 2.0 * MaxClockRateError));
}

} // namespace skylark
