/// \file
/// Defines the budget that keeps retries a share of recent successes.
#pragma once

#include <algorithm>
#include <cstdint>

namespace skylark {

/// Earns a share of a retry with each success and spends a whole one on each
/// retry, so that retries can't amplify an overload.
class RetryBudget {
public:
  auto earn(std::uint32_t Percent) -> void {
    Balance_ = std::min(Balance_ + Percent, Ceiling);
  }
  /// Spends one retry; false where the budget does not hold one.
  auto spend() -> bool {
    if (Unlimited_)
      return true;
    if (Balance_ < One)
      return false;
    Balance_ -= One;
    return true;
  }
  /// Switches the limit off, as a baseline to measure against.
  auto setUnlimited(bool Value) -> void { Unlimited_ = Value; }

private:
  /// One retry, in percent of a retry.
  static constexpr std::uint32_t One = 100;
  /// Most retries that can be saved up, in percent of a retry.
  static constexpr std::uint32_t Ceiling = 20 * One;
  std::uint32_t Balance_ = Ceiling;
  bool Unlimited_ = false;
};

} // namespace skylark
