/// \file
/// Declares an HTTP client that keeps its connection to each entry.
#pragma once

#include "test/processes/Site.h"

namespace skylark::soak {

enum class CallEnd { Answered, Refused, Cut, TimedOut };

struct CallResult {
  CallEnd End_ = CallEnd::Refused;
  int Status_ = 0;
  std::string Body_;
  SteadyTime SentAt_{};
  /// From the last byte sent to the end of the call.
  std::chrono::milliseconds Waited_{0};
};

/// Not thread-safe.
class KeepAliveClient {
public:
  explicit KeepAliveClient(const Site &System) : Site_(System) {}
  ~KeepAliveClient();
  KeepAliveClient(const KeepAliveClient &) = delete;
  auto operator=(const KeepAliveClient &) -> KeepAliveClient & = delete;

  /// Sends a request, on the open connection if there is one.
  /// \param Path the path after the queue's prefix.
  auto call(int Entry, const std::string &Method, const review::Queue &To,
            const std::string &Path, const std::string &Body,
            std::chrono::milliseconds Timeout) -> CallResult;

private:
  struct Connection {
    int Socket_ = -1;
    std::unique_ptr<review::MessageReader> Reader_;
  };

  auto connection(int Entry) -> Connection *;
  auto drop(int Entry) -> void;

  const Site &Site_;
  std::map<int, Connection> Connections_;
};

} // namespace skylark::soak
