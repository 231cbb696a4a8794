/// \file
/// Defines why a call to the store failed.
#pragma once

#include <cstdint>
#include <string_view>

namespace skylark {

/// Why a call to the store failed. Each reason is named after its label in the
/// metrics.
enum class StoreFailure : std::uint8_t {
  /// The call succeeded, or the reason isn't known.
  None,
  /// Nothing of an answer arrived in time.
  NoAnswer,
  /// The answer broke off, or the time limit passed while it arrived.
  PartialAnswer,
  /// The store answered with another status than the call needs.
  Refused,
  Unreadable,
  Count
};

/// The label of `Reason` in the metrics.
auto storeFailureText(StoreFailure Reason) -> std::string_view;

} // namespace skylark
