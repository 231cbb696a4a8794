/// \file
/// Defines the rule that assigns each shard to an entry.
#pragma once

#include "core/Ids.h"

#include <vector>

namespace skylark {

/// An entry that may own shards.
struct EntryCandidate {
  EntryId Entry_;
  /// Capacity of its machine, in thousandths of a processor.
  std::uint32_t CapacityMilliCores_ = 0;
};

/// Whether an entry of `Capacity` should leave shards to one of
/// `OtherCapacity`, because it has much less capacity. Both are in thousandths
/// of a processor.
auto hasMuchLessCapacity(std::uint32_t Capacity, std::uint32_t OtherCapacity)
    -> bool;

/// Chooses an owner by rendezvous hashing among the candidates that don't have
/// much less capacity than the largest one, so that an entry that joins or
/// leaves changes the owner of only the shards that it gains or loses. Entries
/// whose candidate sets differ may choose different owners; the
/// compare-and-swap of the shard's head in the store then succeeds for only one
/// of them.
/// \returns the owner; empty if there is no candidate.
auto chooseOwner(const std::vector<EntryCandidate> &Candidates,
                 ShardNumber Shard) -> EntryId;

} // namespace skylark
