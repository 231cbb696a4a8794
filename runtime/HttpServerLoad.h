/// \file
/// Defines the figures of what an HTTP server carries.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace skylark {

/// What an HTTP server carries. Written on the traffic thread, read on any.
struct HttpServerLoad {
  std::atomic<std::size_t> Connections_{0};
  /// Requests that were read, and whose answers aren't written completely.
  std::atomic<std::size_t> OpenRequests_{0};
  /// How often the connections have reached their limit.
  std::atomic<std::uint64_t> LimitsReached_{0};
  /// Connections that could not be accepted, usually for want of descriptors.
  std::atomic<std::uint64_t> AcceptFailures_{0};
};

/// Counts an open request until the last copy of the result is gone.
inline auto countOpenRequest(const std::shared_ptr<HttpServerLoad> &Load)
    -> std::shared_ptr<void> {
  ++Load->OpenRequests_;
  return {nullptr, [Load](void * /*None*/) { --Load->OpenRequests_; }};
}

} // namespace skylark
