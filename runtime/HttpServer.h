/// \file
/// Defines a small HTTP server on an Asio context. It has no routing; one
/// handler receives the requests of all paths.
#pragma once

#include "core/Time.h"
#include "runtime/HttpServerLoad.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace skylark {

/// One request, received completely.
struct HttpServerRequest {
  std::string Method_;
  /// Value of the Host header, without a port.
  std::string Host_;
  std::string Path_;
  std::string Body_;
};

/// The answer to one request.
struct HttpServerAnswer {
  std::uint16_t Status_ = 200;
  std::string ContentType_ = "application/json";
  std::string Body_;
  /// Sent as Retry-After; 0 omits the header.
  Seconds RetryAfter_{0};
  /// Whether to close the connection after this answer.
  bool CloseConnection_ = false;
};

/// Sends the answer of one request; may be called once, from any thread.
using HttpResponder = std::function<void(HttpServerAnswer)>;
using HttpHandler = std::function<void(HttpServerRequest, HttpResponder)>;

struct HttpServerOptions {
  std::string Host_;
  std::uint16_t Port_ = 0;
  /// Largest request body accepted.
  std::size_t BodyBytes_ = std::size_t{1024} * 1024;
  /// Most connections open at once.
  std::size_t Connections_ = 1024;
};

/// Listens once start() has been called. The handler runs on the context's
/// thread.
class HttpServer {
public:
  HttpServer(asio::io_context &Traffic, const HttpServerOptions &Options,
             HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  auto operator=(const HttpServer &) -> HttpServer & = delete;

  /// Starts to listen; throws if the address is in use. Must be called on
  /// the context's thread, or before it runs.
  auto start() -> void;
  auto load() const -> const HttpServerLoad &;

private:
  class Implementation;
  std::unique_ptr<Implementation> Implementation_;
};

} // namespace skylark
