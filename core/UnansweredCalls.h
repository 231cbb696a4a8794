/// \file
/// Defines the count and the log lines of forwarded calls without an answer.
#pragma once

#include "core/Counters.h"
#include "core/EntryOutput.h"

#include <map>

namespace skylark {

/// Counts forwarded calls that got no answer. Logs them for each peer at short
/// intervals.
class UnansweredCalls {
public:
  /// \param SentAt when the call was forwarded.
  auto add(TimePoint SentAt, const EntryId &Peer, UnansweredReason Reason,
           Counters &Counted) -> void;
  /// Logs the calls that have not been logged yet, unless a line about the
  /// same peer was written shortly before.
  auto report(TimePoint Now, EntryOutbox &Out) -> void;

private:
  struct PeerCalls {
    std::array<std::uint64_t, static_cast<std::size_t>(UnansweredReason::Count)>
        ByReason_{};
    TimePoint OldestSentAt_ = TimePoint::max();
    TimePoint NextLine_{};
  };
  std::map<EntryId, PeerCalls> Peers_;
};

} // namespace skylark
