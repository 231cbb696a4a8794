/// \file
/// Defines the count of an HTTP server's connections.
#pragma once

#include "core/Time.h"
#include "runtime/HttpServerLoad.h"

#include <restinio/all.hpp>

namespace skylark {

/// Counts connections and logs when they reach their limit. RESTinio calls it
/// on the traffic thread.
class ConnectionCounter {
public:
  ConnectionCounter(std::shared_ptr<HttpServerLoad> Load, std::uint16_t Port,
                    std::size_t Limit)
      : Load_(std::move(Load)), Port_(Port), Limit_(Limit) {}

  // NOLINTNEXTLINE: named by RESTinio
  auto state_changed(const restinio::connection_state::notice_t &Notice)
      -> void;

  /// Counts and logs a connection that could not be accepted.
  auto acceptFailed(std::error_code Error) -> void;

private:
  /// Logs an event about the port, unless another line was logged lately.
  auto log(std::string_view Event, const std::string &Detail) -> void;

  std::shared_ptr<HttpServerLoad> Load_;
  std::uint16_t Port_;
  std::size_t Limit_;
  TimePoint NextLine_{};
};

} // namespace skylark
