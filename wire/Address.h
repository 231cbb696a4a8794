/// \file
/// Defines the address of a process.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace skylark {

/// An IP address and a port.
struct Address {
  std::string Host_;
  std::uint16_t Port_ = 0;

  auto text() const -> std::string {
    return Host_ + ":" + std::to_string(Port_);
  }
};

/// Parses "address:port" with a port from 1 to 65535. The host isn't checked.
/// \returns nothing for other text.
auto parseAddress(const std::string &Text) -> std::optional<Address>;

/// Whether the text is an IPv4 address and a port to which a connection can be
/// opened.
auto isConnectable(const std::string &Text) -> bool;

} // namespace skylark
