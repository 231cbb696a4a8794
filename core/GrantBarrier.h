/// \file
/// Defines why an entry may not grant permits, and detects when grants stop and
/// resume.
#pragma once

#include "core/Time.h"

#include <optional>
#include <string_view>

namespace skylark {

/// The first condition for granting permits that an entry doesn't meet.
enum class GrantBarrier : std::uint8_t {
  /// The entry may grant.
  None,
  NotRegistered,
  Leaving,
  /// The store has a newer configuration than the entry holds.
  NewerConfiguration,
  /// The last read that showed the entry to be current is too old, although no
  /// read has failed since.
  StaleView,
  /// The store has been unreachable for longer than the outage horizon.
  OutageHorizonPassed,
  Count
};

/// Interval at which agents ask an entry for permits.
constexpr Millis AgentHeartbeatInterval{500};

/// The label of `Barrier` in logs and metrics.
auto grantBarrierText(GrantBarrier Barrier) -> std::string_view;

/// Reports pauses of an entry's grants that are long enough to matter to
/// agents; shorter ones occur with each change of the configuration.
class GrantMonitor {
public:
  /// A pause that has become long enough to report, or the end of one.
  struct Change {
    /// None if grants have resumed.
    GrantBarrier Barrier_ = GrantBarrier::None;
    /// Length of the pause so far, or of the pause that has ended.
    Duration Pause_{};
  };
  /// \param Barrier what prevents grants now; None if nothing does.
  /// \returns the change to report, if there is one.
  auto update(TimePoint Now, GrantBarrier Barrier) -> std::optional<Change>;

private:
  /// When the current pause began; no value while the entry may grant.
  std::optional<TimePoint> PausedAt_;
  bool Reported_ = false;
};

} // namespace skylark
