/// \file
/// Defines the choice of a port for tests over loopback sockets.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>

namespace skylark {

/// Returns a port of the loopback address that no socket uses now.
inline auto freePort() -> std::uint16_t {
  asio::io_context Unused;
  const asio::ip::tcp::acceptor Acceptor(Unused,
                                         {asio::ip::address_v4::loopback(), 0});
  return Acceptor.local_endpoint().port();
}

} // namespace skylark
