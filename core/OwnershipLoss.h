/// \file
/// Defines why an entry stopped owning a shard, or gave up acquiring it.
#pragma once

#include <cstdint>
#include <string_view>

namespace skylark {

/// Why an entry stopped owning a shard, or gave up acquiring it. Each reason is
/// named after its text in the log.
enum class OwnershipLoss : std::uint8_t {
  /// The shard is owned, or was never about to be.
  None,
  /// The owner wrote into the head that it released the shard.
  Released,
  /// The owner stopped without a write to the store.
  Relinquished,
  /// Another write has replaced the head.
  HeadReplaced,
  /// The store has no such part of the snapshot.
  SnapshotPartMissing,
  /// The store's answer lacks a commit that the head names.
  CommitMissing,
  /// The store refused the write of the head.
  WriteRefused,
  Count
};

/// The text of `Reason` in the log.
auto ownershipLossText(OwnershipLoss Reason) -> std::string_view;

} // namespace skylark
