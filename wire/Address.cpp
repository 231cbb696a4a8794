#include "wire/Address.h"

#include <asio/ip/address_v4.hpp>

namespace skylark {

auto parseAddress(const std::string &Text) -> std::optional<Address> {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return std::nullopt;
  const auto Digits = Text.substr(Colon + 1);
  constexpr std::size_t MaxPortDigits = 5;
  constexpr long MaxPort = 65535;
  if (Digits.empty() || Digits.size() > MaxPortDigits ||
      Digits.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  const auto Port = std::stol(Digits);
  if (Port < 1 || Port > MaxPort)
    return std::nullopt;
  return Address{Text.substr(0, Colon), static_cast<std::uint16_t>(Port)};
}

auto isConnectable(const std::string &Text) -> bool {
  const auto Parsed = parseAddress(Text);
  std::error_code Error;
  if (Parsed)
    asio::ip::make_address_v4(Parsed->Host_, Error);
  return Parsed && !Error;
}

} // namespace skylark
