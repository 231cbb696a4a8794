/// \file
/// Defines how store calls reach the platform's key-value service.
#pragma once

#include "core/StoreCalls.h"

#include <functional>

namespace skylark {

/// Carries out store calls. A call whose answer does not come whole and in
/// time ends as Unavailable, whether or not it took effect. All methods and
/// callbacks run on the traffic thread.
class StoreTransport {
public:
  StoreTransport() = default;
  virtual ~StoreTransport() = default;
  StoreTransport(const StoreTransport &) = delete;
  auto operator=(const StoreTransport &) -> StoreTransport & = delete;

  virtual auto call(std::uint64_t Number, const StoreOperation &Operation,
                    std::function<void(StoreResult)> Done) -> void = 0;
};

} // namespace skylark
