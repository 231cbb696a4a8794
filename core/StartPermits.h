/// \file
/// Defines the agent's rule for when a task may start and run on: short grants
/// from entries, counted from the agent's own heartbeats.
#pragma once

#include "core/Messages.h"

#include <map>

namespace skylark {

/// Holds the grants of each connected entry.
class StartPermits {
public:
  /// Notes a grant that answers the heartbeat sent at `SentAt`.
  auto grant(SessionNumber Session, TimePoint SentAt, const HeartbeatAck &Ack)
      -> void;
  /// Drops the run grant of a closed connection; what it granted to start runs
  /// out by itself.
  auto close(SessionNumber Session) -> void;

  /// Until when tasks may start under the revision `Seen`, the highest that the
  /// agent knows; in the past where no entry grants that.
  auto startUntil(Revision Seen) const -> TimePoint;
  /// Until when tasks of `Shard` may run by the word of the entry on `Session`.
  auto runUntil(SessionNumber Session, ShardNumber Shard) const -> TimePoint;
  /// True if an entry other than `Session` read the store within `Within`.
  auto otherFresh(TimePoint Now, SessionNumber Session, Duration Within) const
      -> bool;

private:
  struct Grant {
    Revision Revision_ = 0;
    Revision AsOf_ = 0;
    TimePoint StartUntil_{};
    std::map<ShardNumber, TimePoint> RunUntil_;
    TimePoint FreshAt_{};
  };
  std::map<SessionNumber, Grant> Grants_;
};

} // namespace skylark
