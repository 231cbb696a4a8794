#include "core/GrantBarrier.h"

#include <array>
#include <utility>

namespace skylark {

auto grantBarrierText(GrantBarrier Barrier) -> std::string_view {
  constexpr std::array<std::string_view,
                       static_cast<std::size_t>(GrantBarrier::Count)>
      Texts{"none",       "not-registered",
            "leaving",    "newer-configuration",
            "stale-view", "outage-horizon-passed"};
  return Texts[static_cast<std::size_t>(Barrier)];
}

auto GrantMonitor::update(TimePoint Now, GrantBarrier Barrier)
    -> std::optional<Change> {
  if (Barrier != GrantBarrier::None) {
    if (!PausedAt_)
      PausedAt_ = Now;
    const auto Pause = Now - *PausedAt_;
    if (Reported_ || Pause < AgentHeartbeatInterval)
      return std::nullopt;
    Reported_ = true;
    return Change{Barrier, Pause};
  }
  const auto Resumed = std::exchange(Reported_, false);
  const auto Pause = PausedAt_ ? Now - *PausedAt_ : Duration{};
  PausedAt_.reset();
  if (!Resumed)
    return std::nullopt;
  return Change{GrantBarrier::None, Pause};
}

} // namespace skylark
