#include "core/ConfigurationSource.h"

#include <array>

namespace skylark {

auto configurationSourceText(ConfigurationSource Source) -> std::string_view {
  constexpr std::array<std::string_view,
                       static_cast<std::size_t>(ConfigurationSource::Count)>
      Texts{"a read of the store", "a watch", "a listing", "a read of the key",
            "an agent"};
  return Texts[static_cast<std::size_t>(Source)];
}

} // namespace skylark
