#include "core/Counters.h"

namespace skylark {

auto retryReasonText(RetryReason Reason) -> std::string_view {
  constexpr std::array<std::string_view,
                       static_cast<std::size_t>(RetryReason::Count)>
      Texts{"refused",        "target-failed", "connection-lost",
            "answer-damaged", "hedge",         "budget-spent"};
  return Texts[static_cast<std::size_t>(Reason)];
}

auto unansweredReasonText(UnansweredReason Reason) -> std::string_view {
  constexpr std::array<std::string_view,
                       static_cast<std::size_t>(UnansweredReason::Count)>
      Texts{"expired", "peer-silent", "link-closed"};
  return Texts[static_cast<std::size_t>(Reason)];
}

} // namespace skylark
