/// \file
/// Defines how callers reach an entry, whatever interface they speak.
#pragma once

#include "core/EntryOutput.h"
#include "runtime/StoreTransport.h"
#include "wire/Settings.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace skylark {

class HttpClient;

/// Sends the reply to one request; may be called once, from any thread.
using ReplySender = std::function<void(CallerReply)>;

/// What a server passes on. Called on the traffic thread.
struct CallerHandlers {
  std::function<void(CallerRequest, ReplySender)> Asked_;
  std::function<void(std::function<void(std::string)>)> MetricsAsked_;
  /// Whether the entry takes new callers.
  std::function<void(std::function<void(bool)>)> HealthAsked_;
  /// A request was refused before it reached the entry's decisions.
  std::function<void(ErrorKind)> Refused_;
  /// Whether the entry stops, so that callers are to go elsewhere.
  std::function<bool()> Stopping_;
};

class CallerServer {
public:
  CallerServer() = default;
  virtual ~CallerServer() = default;
  CallerServer(const CallerServer &) = delete;
  auto operator=(const CallerServer &) -> CallerServer & = delete;

  /// Starts to listen; throws where an address is in use.
  virtual auto start() -> void = 0;
};

/// The interfaces that an entry speaks to the world around the system.
struct EntryProtocols {
  std::unique_ptr<StoreTransport> (*MakeStore_)(HttpClient &, const Settings &);
  std::unique_ptr<CallerServer> (*MakeCallers_)(asio::io_context &,
                                                const Settings &,
                                                CallerHandlers);
};

} // namespace skylark
