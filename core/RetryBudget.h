/// \file
/// Defines the budget that limits retries to a share of recent successes.
#pragma once

#include <algorithm>
#include <cstdint>

namespace skylark {

/// A token bucket: each success adds a fraction of a retry and each retry takes
/// a whole one, so that retries can't amplify an overload.
class RetryBudget {
public:
  /// Adds `Percent` of a retry.
  auto earn(std::uint32_t Percent) -> void {
    Balance_ = std::min(Balance_ + Percent, MaxBalance);
  }
  auto canSpend() const -> bool { return Unlimited_ || Balance_ >= RetryCost; }
  /// Takes one retry from the budget, which must hold one.
  auto spend() -> void {
    if (!Unlimited_)
      Balance_ -= RetryCost;
  }
  /// Disables the limit, to measure a baseline without it.
  auto setUnlimited(bool Value) -> void { Unlimited_ = Value; }

private:
  /// Cost of one retry, in percent of a retry.
  static constexpr std::uint32_t RetryCost = 100;
  /// Upper bound of the balance, in percent of a retry.
  static constexpr std::uint32_t MaxBalance = 20 * RetryCost;
  std::uint32_t Balance_ = MaxBalance;
  bool Unlimited_ = false;
};

} // namespace skylark
