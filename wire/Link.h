/// \file
/// Defines the WebSocket connections between entries and agents, and among
/// entries.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"
#include "wire/LinkEnd.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace skylark {

/// Largest message that a connection accepts.
constexpr std::size_t MaxLinkMessageBytes = std::size_t{16} * 1024 * 1024;
/// Bytes that may wait to be sent on a connection before it is closed as
/// broken.
constexpr std::size_t MaxLinkBufferBytes = std::size_t{32} * 1024 * 1024;

/// Callbacks for the events of connections. All are called on the thread that
/// runs the I/O context.
struct LinkHandlers {
  /// A connection was opened; `Path` is the resource that the client requested.
  std::function<void(SessionNumber, const std::string &Path)> Opened_;
  std::function<void(SessionNumber, std::string Bytes)> Received_;
  /// An open connection was closed or lost, and why. Not called where this end
  /// closed it by LinkServer::close() or stop().
  std::function<void(SessionNumber, LinkEnd)> Closed_;
};

/// Accepts connections. send(), close() and stop() may be called from any
/// thread.
class LinkServer {
public:
  LinkServer(asio::io_context &IoContext, LinkHandlers Handlers);
  ~LinkServer();
  LinkServer(const LinkServer &) = delete;
  auto operator=(const LinkServer &) -> LinkServer & = delete;

  /// Starts listening. Must be called on the thread that runs the I/O context,
  /// or before it runs. Throws std::system_error where the address is in use.
  auto listen(const std::string &Host, std::uint16_t Port) -> void;
  /// Sends a message; does nothing where the connection is closed.
  auto send(SessionNumber Session, std::string Bytes) -> void;
  /// Closes a connection without waiting for the other end.
  auto close(SessionNumber Session) -> void;
  /// Stops listening and closes all connections.
  auto stop() -> void;

private:
  class Implementation;
  std::shared_ptr<Implementation> Implementation_;
};

/// Keeps one connection to a server open and reconnects with exponential
/// backoff whenever it is lost. Every method may be called from any thread.
class LinkClient {
public:
  /// \param Address the server, as host:port.
  /// \param Path the resource to request.
  /// \param NextSession returns a new number for each attempt to connect.
  LinkClient(asio::io_context &IoContext, std::string Address, std::string Path,
             std::function<SessionNumber()> NextSession, LinkHandlers Handlers);
  ~LinkClient();
  LinkClient(const LinkClient &) = delete;
  auto operator=(const LinkClient &) -> LinkClient & = delete;

  auto start() -> void;
  /// Sends a message; does nothing where `Session` isn't the open connection.
  auto send(SessionNumber Session, std::string Bytes) -> void;
  /// Closes the connection `Session`, without waiting for the other end, and
  /// reconnects. Does nothing where it isn't the open connection.
  auto dropAndReconnect(SessionNumber Session) -> void;
  /// Closes the connection for good.
  auto stop() -> void;

private:
  class Implementation;
  std::shared_ptr<Implementation> Implementation_;
};

} // namespace skylark
