#include "core/OwnershipLoss.h"

#include <array>

namespace skylark {

auto ownershipLossText(OwnershipLoss Reason) -> std::string_view {
  constexpr std::array<std::string_view,
                       static_cast<std::size_t>(OwnershipLoss::Count)>
      Texts{"none",
            "released",
            "relinquished",
            "head-replaced",
            "snapshot-part-missing",
            "commit-missing",
            "write-refused"};
  return Texts[static_cast<std::size_t>(Reason)];
}

} // namespace skylark
