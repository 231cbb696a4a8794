/// \file
/// Defines the agent's rule for when tasks may start and keep running: short
/// grants from entries, timed from the heartbeats that the agent sent.
#pragma once

#include "core/Messages.h"

#include <map>

namespace skylark {

/// The grants received from each connected entry.
class StartPermits {
public:
  /// Records the grants in an acknowledgement of the heartbeat sent at
  /// `SentAt`.
  auto grant(SessionNumber Session, TimePoint SentAt, const HeartbeatAck &Ack)
      -> void;
  /// Drops every grant received on a closed connection.
  auto close(SessionNumber Session) -> void;

  /// Until when tasks may start under `Seen`, the highest revision that the
  /// agent knows. A time in the past if no entry has granted it.
  auto startUntil(Revision Seen) const -> TimePoint;
  /// Until when tasks of `Shard` may run under the grants of the entry on
  /// `Session`. A time in the past if it has granted nothing.
  auto runUntil(SessionNumber Session, ShardNumber Shard) const -> TimePoint;
  /// Whether an entry on another connection than `Session` has read the store
  /// within `MaxAge` before `Now`.
  auto otherEntryFresh(TimePoint Now, SessionNumber Session,
                       Duration MaxAge) const -> bool;

private:
  struct Grant {
    Revision Revision_ = 0;
    /// Up to this revision the entry has seen every change.
    Revision AsOf_ = 0;
    TimePoint StartGrantUntil_{};
    std::map<ShardNumber, TimePoint> RunGrantUntil_;
    /// When the heartbeat was sent whose acknowledgement last said that the
    /// entry's view of the store was fresh.
    TimePoint FreshAt_{};
  };
  std::map<SessionNumber, Grant> Grants_;
};

} // namespace skylark
