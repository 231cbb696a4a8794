/// \file
/// Defines the time types. Code in core never reads a clock: the current time
/// is passed in.
#pragma once

#include <chrono>

namespace skylark {

/// A clock that never jumps and also counts the time for which the machine is
/// suspended: a lease that ran out meanwhile has expired when it resumes.
struct SteadyClock {
  // The standard library prescribes the names of these members.
  // NOLINTBEGIN(readability-identifier-naming)
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SteadyClock>;
  static constexpr bool is_steady = true;
  /// Defined in runtime; the state machines are passed the time.
  static auto now() noexcept -> time_point;
  // NOLINTEND(readability-identifier-naming)
};
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
