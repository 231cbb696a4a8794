/// \file
/// Defines how an agent decides whether tasks may start and keep running:
/// entries grant both for short periods, each of which begins when the agent
/// sends the heartbeat that the entry acknowledges.
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
  /// Drops every grant received on `Session`, whose connection has closed.
  auto close(SessionNumber Session) -> void;

  /// Returns the time until which tasks may start under `AgentRevision`, the
  /// highest revision that the agent knows; a time in the past if no entry has
  /// granted starts.
  auto startUntil(Revision AgentRevision) const -> TimePoint;
  /// Returns the time until which tasks of `Shard` may run under the grants of
  /// the entry on `Session`; a time in the past if that entry has granted
  /// nothing.
  auto runUntil(SessionNumber Session, ShardNumber Shard) const -> TimePoint;
  /// Whether an entry on another connection than `Session` has reported a fresh
  /// view of the store in reply to a heartbeat that was sent within `MaxAge`
  /// before `Now`.
  auto isOtherEntryViewFresh(TimePoint Now, SessionNumber Session,
                             Duration MaxAge) const -> bool;

private:
  struct Grant {
    Revision Revision_ = 0;
    /// The revision up to which the entry has seen every change.
    Revision AsOf_ = 0;
    TimePoint StartGrantUntil_{};
    std::map<ShardNumber, TimePoint> RunGrantUntil_;
    /// When the agent sent the latest heartbeat whose acknowledgement reported
    /// a fresh view of the store.
    TimePoint ViewFreshAt_{};
  };
  std::map<SessionNumber, Grant> Grants_;
};

} // namespace skylark
