#include "core/StoreFailure.h"

#include <array>

namespace skylark {

auto storeFailureText(StoreFailure Reason) -> std::string_view {
  constexpr std::array<std::string_view,
                       static_cast<std::size_t>(StoreFailure::Count)>
      Texts{"none", "no-answer", "partial-answer", "refused", "unreadable"};
  return Texts[static_cast<std::size_t>(Reason)];
}

} // namespace skylark
