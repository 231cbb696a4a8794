/// \file
/// Defines a virtual clock with the actions that are due on it.
#pragma once

#include "core/Time.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace skylark::Fuzz {

/// Carries out actions in the order of their times; those of the same time in
/// the order in which they were given.
class VirtualTime {
public:
  explicit VirtualTime(std::uint64_t Seed) : Generator_(Seed) {}

  auto now() const -> Micros { return Now_; }
  auto after(Micros Delay, std::function<void()> Action) -> void {
    Actions_.emplace(Now_ + Delay, std::move(Action));
  }
  auto advance(Micros Until) -> void {
    while (!Actions_.empty() && Actions_.begin()->first <= Until) {
      auto Next = Actions_.extract(Actions_.begin());
      Now_ = Next.key();
      Next.mapped()();
    }
    Now_ = Until;
  }

  /// Draws a number from 0 to `Max`.
  auto draw(std::uint32_t Max) -> std::uint32_t {
    return std::uniform_int_distribution<std::uint32_t>(0, Max)(Generator_);
  }
  auto draw(Micros Least, Micros Most) -> Micros {
    return Least +
           Micros{draw(static_cast<std::uint32_t>((Most - Least).count()))};
  }
  auto chance(std::uint32_t Percent) -> bool { return draw(99) < Percent; }

private:
  std::mt19937_64 Generator_;
  Micros Now_{0};
  std::multimap<Micros, std::function<void()>> Actions_;
};

/// Hands actions from one thread, or end of a connection, to another, late but
/// in their order.
class VirtualChannel {
public:
  VirtualChannel(VirtualTime &Time, Micros LongestDelay)
      : Time_(Time), LongestDelay_(LongestDelay) {}

  auto post(std::function<void()> Action) -> void {
    const auto Arrival = Time_.now() + Time_.draw(Micros{0}, LongestDelay_);
    LastArrival_ = std::max(LastArrival_, Arrival);
    Time_.after(LastArrival_ - Time_.now(), std::move(Action));
  }
  /// Delivers nothing for a while.
  auto hold(Micros Duration) -> void {
    LastArrival_ = std::max(LastArrival_, Time_.now() + Duration);
  }

private:
  VirtualTime &Time_;
  Micros LongestDelay_;
  Micros LastArrival_{0};
};

} // namespace skylark::Fuzz
