/// \file
/// Defines the websocket connections between the system's own processes.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace skylark {

/// Limits of every connection.
constexpr std::size_t LinkMessageLimit = std::size_t{16} * 1024 * 1024;
/// Bytes that may wait to be sent before a connection counts as broken.
constexpr std::size_t LinkBufferLimit = std::size_t{32} * 1024 * 1024;

/// What happens on connections. All are called on the traffic thread.
struct LinkHandlers {
  /// A connection is open; `Path` is the resource that the client asked for.
  std::function<void(SessionNumber, const std::string &Path)> Opened_;
  std::function<void(SessionNumber, std::string Bytes)> Received_;
  std::function<void(SessionNumber)> Closed_;
};

/// Accepts connections. Every method may be called from any thread.
class LinkServer {
public:
  LinkServer(asio::io_context &Traffic, LinkHandlers Handlers);
  ~LinkServer();
  LinkServer(const LinkServer &) = delete;
  auto operator=(const LinkServer &) -> LinkServer & = delete;

  /// Listens; throws std::system_error where the address is in use.
  auto listen(const std::string &Host, std::uint16_t Port) -> void;
  auto send(SessionNumber Session, std::string Bytes) -> void;
  auto close(SessionNumber Session) -> void;
  auto stop() -> void;

private:
  class Implementation;
  std::shared_ptr<Implementation> Implementation_;
};

/// Holds one connection to a server and opens it again, after a growing delay,
/// whenever it breaks.
class LinkClient {
public:
  /// \param Address the server, as host:port. \param Path the resource to ask
  /// for. \param NextSession makes the number of each new connection.
  LinkClient(asio::io_context &Traffic, std::string Address, std::string Path,
             std::function<SessionNumber()> NextSession, LinkHandlers Handlers);
  ~LinkClient();
  LinkClient(const LinkClient &) = delete;
  auto operator=(const LinkClient &) -> LinkClient & = delete;

  auto start() -> void;
  auto send(SessionNumber Session, std::string Bytes) -> void;
  /// Drops the connection of that number; a new one is opened.
  auto replace(SessionNumber Session) -> void;
  auto stop() -> void;

private:
  class Implementation;
  std::shared_ptr<Implementation> Implementation_;
};

} // namespace skylark
