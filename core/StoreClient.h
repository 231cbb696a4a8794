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

/// Consul takes 512 KB in one transaction, in which values are written in
/// base64.
inline constexpr std::size_t DefaultMaxValueSize = std::size_t{380} * 1024;

/// Receives the result of one store call.
using StoreHandler =
    std::function<void(Moment, const StoreResult &, EntryOutbox &)>;

/// Sends store calls within a rate limit; calls over the limit are queued in
/// order.
class StoreClient {
public:
  /// \param CallsPerSecond the sustained call rate of this entry, and the
  /// largest number of calls in a burst.
  /// \param MaxValueSize size in bytes of the largest value that the store
  /// takes.
  StoreClient(double CallsPerSecond, Counters &Counters,
              std::size_t MaxValueSize = DefaultMaxValueSize)
      : CallsPerSecond_(CallsPerSecond), Tokens_(CallsPerSecond),
        Counters_(Counters), MaxValueSize_(MaxValueSize) {}

  /// Queues a call; the handler runs when its result arrives.
  auto call(StoreOperation Operation, StoreHandler Handler) -> void;
  /// Sends the queued calls that the rate limit and the backoff allow.
  auto advance(Moment Now, EntryOutbox &Out) -> void;
  /// Passes a result to its handler; ignores results of unknown calls.
  auto answered(Moment Now, const StoreResult &Result, EntryOutbox &Out)
      -> void;
  auto queuedCalls() const -> std::size_t { return Queue_.size(); }
  auto maxValueSize() const -> std::size_t { return MaxValueSize_; }

private:
  struct QueuedCall {
    StoreOperation Operation_;
    StoreHandler Handler_;
  };
  auto refillTokens(Moment Now) -> void;

  double CallsPerSecond_;
  double Tokens_;
  Counters &Counters_;
  std::size_t MaxValueSize_;
  TimePoint RefilledAt_{};
  /// Consecutive calls for which the store was unavailable.
  int ConsecutiveFailures_ = 0;
  /// No call is sent before this time.
  TimePoint BackoffUntil_{};
  std::uint64_t LastCall_ = 0;
  std::deque<QueuedCall> Queue_;
  struct PendingCall {
    StoreHandler Handler_;
    std::string Key_;
  };
  /// The calls in flight, by call number.
  std::unordered_map<std::uint64_t, PendingCall> PendingCalls_;
};

} // namespace skylark
