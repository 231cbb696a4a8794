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

/// Whether an entry has so much less capacity than another one that it should
/// leave shards to it. Both are in thousandths of a processor.
auto hasMuchLessCapacity(std::uint32_t Capacity, std::uint32_t OtherCapacity)
    -> bool;

/// Chooses an owner by rendezvous hashing among the candidates that don't have
/// much less capacity than the largest one, so that an entry that joins or
/// leaves moves only its own shards. Entries whose candidate sets differ may
/// choose different owners; the compare-and-swap of the shard's head in the
/// store then lets one of them win.
/// \returns the owner; empty if there is no candidate.
auto chooseOwner(const std::vector<EntryCandidate> &Candidates,
                 ShardNumber Shard) -> EntryId;

} // namespace skylark
