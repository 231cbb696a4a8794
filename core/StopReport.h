/// \file
/// Defines what a stopping entry reports when it decides to end.
#pragma once

#include "core/Time.h"

#include <cstddef>
#include <string>

namespace skylark {

/// Numbers of calls of an entry that have no answer yet.
struct OpenCalls {
  /// Sent to the owner of their shard.
  std::size_t Forwarded_ = 0;
  /// Wait until their shard has an owner.
  std::size_t Parked_ = 0;
  /// Handled by a shard owner of the entry itself.
  std::size_t Own_ = 0;
  /// Handled for other entries.
  std::size_t FromPeers_ = 0;
};

/// What a stopping entry has left undone when it decides to end.
struct StopReport {
  /// Time since it was told to stop.
  Millis Elapsed_{0};
  /// Whether its time was up before everything was done.
  bool Forced_ = false;
  OpenCalls Calls_;
  /// Quick requests in flight.
  std::size_t Dispatched_ = 0;
  bool ChangesOpen_ = false;
  bool CancellationsOpen_ = false;
  /// Shards that are not handed over.
  std::size_t ShardsHeld_ = 0;
  /// How long the last start grant still holds; 0 if it has ended.
  Millis GrantsLeft_{0};
  bool StoreReached_ = true;
  bool RegistrationWithdrawn_ = false;
};

/// The report as text for the log: what kept the entry, and how long.
auto describe(const StopReport &Report) -> std::string;

} // namespace skylark
