/// \file
/// Defines how an entry can find a configuration.
#pragma once

#include <cstdint>
#include <string_view>

namespace skylark {

/// How the newest change of a configuration was found.
enum class ConfigurationSource : std::uint8_t {
  Unknown,
  /// The stream of changes told it.
  Watch,
  /// A complete read of the operators' keys showed it.
  Listing,
  /// A read of the configuration alone showed it.
  KeyRead,
  /// An agent offered it.
  Agent,
  Count
};

auto configurationSourceText(ConfigurationSource Source) -> std::string_view;

} // namespace skylark
