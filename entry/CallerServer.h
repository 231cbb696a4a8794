/// \file
/// Defines the interface between an entry and the server that accepts its
/// callers' requests, independent of the protocol.
#pragma once

#include "core/EntryOutput.h"
#include "runtime/HttpServerLoad.h"
#include "runtime/StoreTransport.h"
#include "wire/Settings.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace skylark {

class HttpClient;

/// Sends the reply to one request. May be called at most once, from any thread.
using ReplySender = std::function<void(CallerReply)>;

/// Callbacks of a CallerServer. All are called on the traffic thread.
struct CallerHandlers {
  /// A well-formed request has arrived.
  std::function<void(CallerRequest, ReplySender)> RequestReceived_;
  /// Passes the metrics in Prometheus text format to the argument.
  std::function<void(std::function<void(std::string)>)> MetricsRequested_;
  /// Passes to the argument whether the entry accepts requests.
  std::function<void(std::function<void(bool)>)> HealthRequested_;
  /// The server refused a request without passing it to the entry.
  std::function<void(ErrorKind)> RequestRefused_;
  /// Whether the entry is shutting down, so that callers should connect to
  /// another one.
  std::function<bool()> Stopping_;
};

/// Accepts requests of callers and operators and passes them to an entry.
class CallerServer {
public:
  CallerServer() = default;
  virtual ~CallerServer() = default;
  CallerServer(const CallerServer &) = delete;
  auto operator=(const CallerServer &) -> CallerServer & = delete;

  /// Starts to listen. Throws an exception if an address is in use.
  virtual auto start() -> void = 0;
  /// What the server carries for callers.
  virtual auto load() const -> const HttpServerLoad & = 0;
};

/// Factories for an entry's connections to external systems.
struct EntryProtocols {
  std::unique_ptr<StoreTransport> (*MakeStore_)(HttpClient &, const Settings &);
  std::unique_ptr<CallerServer> (*MakeCallerServer_)(asio::io_context &,
                                                     const Settings &,
                                                     CallerHandlers);
  /// Size in bytes of the largest value that the store takes.
  std::size_t (*MaxValueSize_)(const Settings &);
};

} // namespace skylark
