/// \file
/// Defines the way of every store call: numbered, paced by a call budget, and
/// answered to the decision that made it.
#pragma once

#include "core/Counters.h"
#include "core/EntryOutput.h"

#include <deque>
#include <functional>
#include <unordered_map>

namespace skylark {

/// Receives the answer of one store call.
using StoreHandler =
    std::function<void(Moment, const StoreResult &, EntryOutbox &)>;

/// Sends store calls within a budget; calls over the budget wait in order.
class StorePort {
public:
  /// \param CallsPerSecond the sustained rate that this entry may use.
  StorePort(double CallsPerSecond, Counters &Counters)
      : Rate_(CallsPerSecond), Tokens_(CallsPerSecond), Counters_(Counters) {}

  auto call(StoreOperation Operation, StoreHandler Handler) -> void;
  /// Sends what the budget allows.
  auto advance(Moment Now, EntryOutbox &Out) -> void;
  auto answered(Moment Now, const StoreResult &Result, EntryOutbox &Out)
      -> void;
  auto waiting() const -> std::size_t { return Waiting_.size(); }

private:
  struct WaitingCall {
    StoreOperation Operation_;
    StoreHandler Handler_;
  };
  auto refill(Moment Now) -> void;

  double Rate_;
  double Tokens_;
  Counters &Counters_;
  TimePoint RefilledAt_{};
  /// Calls in a row that got no good answer, and until when none is sent.
  int Failures_ = 0;
  TimePoint PausedUntil_{};
  std::uint64_t NextCall_ = 0;
  std::deque<WaitingCall> Waiting_;
  std::unordered_map<std::uint64_t, StoreHandler> Open_;
};

} // namespace skylark
