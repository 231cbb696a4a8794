/// \file
/// Defines how an entry calls the store: rate-limited, with backoff after
/// failures, and with each result passed to the handler of its call.
#pragma once

#include "core/Counters.h"
#include "core/EntryOutput.h"

#include <deque>
#include <functional>
#include <unordered_map>

namespace skylark {

/// Receives the result of one store call.
using StoreHandler =
    std::function<void(Moment, const StoreResult &, EntryOutbox &)>;

/// Sends store calls within a rate limit; calls over the limit are queued in
/// order.
class StoreClient {
public:
  /// \param CallsPerSecond the sustained call rate of this entry, and the
  /// largest number of calls in a burst.
  StoreClient(double CallsPerSecond, Counters &Counters)
      : CallsPerSecond_(CallsPerSecond), Tokens_(CallsPerSecond),
        Counters_(Counters) {}

  /// Queues a call; the handler runs when its result arrives.
  auto call(StoreOperation Operation, StoreHandler Handler) -> void;
  /// Sends the queued calls that the rate limit and the backoff allow.
  auto advance(Moment Now, EntryOutbox &Out) -> void;
  /// Passes a result to its handler; ignores results of unknown calls.
  auto answered(Moment Now, const StoreResult &Result, EntryOutbox &Out)
      -> void;
  auto queuedCalls() const -> std::size_t { return Queue_.size(); }

private:
  struct QueuedCall {
    StoreOperation Operation_;
    StoreHandler Handler_;
  };
  auto refillTokens(Moment Now) -> void;

  double CallsPerSecond_;
  double Tokens_;
  Counters &Counters_;
  TimePoint RefilledAt_{};
  /// Consecutive calls for which the store was unavailable.
  int ConsecutiveFailures_ = 0;
  /// No call is sent before this time.
  TimePoint BackoffUntil_{};
  std::uint64_t LastCall_ = 0;
  std::deque<QueuedCall> Queue_;
  /// Handlers of the calls in flight, by call number.
  std::unordered_map<std::uint64_t, StoreHandler> PendingHandlers_;
};

} // namespace skylark
