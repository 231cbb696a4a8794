/// \file
/// Defines the interface to the client of the platform's key-value service.
#pragma once

#include "core/StoreCalls.h"

#include <functional>

namespace skylark {

/// Carries out store calls. A call without a complete answer in time ends as
/// Unavailable, although it may have taken effect. All methods and callbacks
/// run on the traffic thread.
class StoreTransport {
public:
  StoreTransport() = default;
  virtual ~StoreTransport() = default;
  StoreTransport(const StoreTransport &) = delete;
  auto operator=(const StoreTransport &) -> StoreTransport & = delete;

  /// \param CallNumber returned with the result, to match it to the call.
  virtual auto call(std::uint64_t CallNumber, const StoreOperation &Operation,
                    std::function<void(StoreResult)> Done) -> void = 0;
};

} // namespace skylark
