/// \file
/// Defines the HTTP client of every process: libcurl's multi interface on an
/// Asio context, which needs no thread per call.
#pragma once

#include "core/Time.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylark {

struct HttpCall {
  std::string Method_ = "GET";
  std::string Url_;
  std::string Body_;
  /// Complete header lines, as "Name: value".
  std::vector<std::string> Headers_;
  Micros Timeout_ = Seconds{1};
  /// Uses a new connection for this call only. On a reused connection libcurl
  /// resends a request if the connection breaks before any answer, so a request
  /// that must not run twice needs a connection of its own.
  bool DedicatedConnection_ = false;
  /// Decides whether a copy of the request may be sent on a connection, given
  /// its number; may be empty. A connection on which it may not is closed, and
  /// the call fails.
  std::function<bool(std::uint64_t)> Admit_;
};

struct HttpResult {
  /// False if the connection failed or no complete answer arrived in time.
  bool Complete_ = false;
  /// True if the request was certainly never sent.
  bool NeverSent_ = false;
  /// How often the request was sent. On a reused connection that breaks before
  /// any answer, libcurl sends it again, and each copy may have been carried
  /// out; the answer is that to the last one.
  int Copies_ = 0;
  /// The number of the connection that was chosen for the last copy; 0 if there
  /// was none. No two connections of a process have the same number.
  std::uint64_t Connection_ = 0;
  std::uint16_t Status_ = 0;
  std::string Body_;
  /// Header lines of the answer, without line ends.
  std::vector<std::string> Headers_;
};

/// Makes HTTP calls.
class HttpCaller {
public:
  HttpCaller() = default;
  virtual ~HttpCaller() = default;
  HttpCaller(const HttpCaller &) = delete;
  auto operator=(const HttpCaller &) -> HttpCaller & = delete;

  virtual auto call(HttpCall Call, std::function<void(HttpResult)> Done)
      -> void = 0;
};

/// Makes HTTP calls on kept connections. Once a call has timed out without an
/// answer, later calls to its host use none of the connections opened before.
/// All methods and callbacks run on the context's thread.
class HttpClient : public HttpCaller {
public:
  explicit HttpClient(asio::io_context &Traffic);
  ~HttpClient() override;

  auto call(HttpCall Call, std::function<void(HttpResult)> Done)
      -> void override;

private:
  class Implementation;
  std::shared_ptr<Implementation> Implementation_;
};

} // namespace skylark
