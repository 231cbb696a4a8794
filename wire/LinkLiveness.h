/// \file
/// Defines how an end of a connection decides whether the other end still
/// answers on it.
#pragma once

#include "core/Time.h"

#include <cstdint>

namespace skylark {

/// Interval of the checks of an open connection.
constexpr Millis LinkCheckInterval{500};

enum class LinkCheck : std::uint8_t {
  /// Something has arrived within the last two intervals.
  Alive,
  /// The other end is to be asked for an answer.
  Probe,
  /// Probes were not answered in time.
  Dead
};

/// Decides from what arrives on one connection whether the other process still
/// receives on it. That sent bytes are acknowledged doesn't show it: what is
/// between the two ends may acknowledge and discard them.
class LinkLiveness {
public:
  /// Records that something has arrived.
  auto received() -> void { SilentChecks_ = 0; }
  /// To be called each LinkCheckInterval. Counts checks, not time, so that a
  /// process that was suspended itself reads what has arrived meanwhile first.
  auto check() -> LinkCheck;

private:
  /// Number of checks since something has arrived.
  int SilentChecks_ = 0;
};

/// Decides when an accepted connection on which nothing arrives is closed. The
/// end that opened it sends heartbeats and probes.
class AcceptedLinkLiveness {
public:
  auto received() -> void { SilentChecks_ = 0; }
  /// To be called each LinkCheckInterval. \returns whether to close it.
  auto isDead() -> bool;

private:
  int SilentChecks_ = 0;
};

} // namespace skylark
