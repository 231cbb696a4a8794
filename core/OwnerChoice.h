/// \file
/// Defines the choice of the entry that should own a shard.
#pragma once

#include "core/Ids.h"

#include <vector>

namespace skylark {

/// An entry that could own shards.
struct EntryCandidate {
  EntryId Entry_;
  /// What it can carry, in thousandths of a processor.
  std::uint32_t Strength_ = 0;
};

/// Whether an entry is so much weaker that it should leave a shard to the
/// other.
auto isTooWeak(std::uint32_t Strength, std::uint32_t Other) -> bool;

/// Chooses by rendezvous hashing among those that aren't much weaker than the
/// strongest, so that a change of the set moves only the shards of the entry
/// that came or went. Where entries differ on the set, the store's record lets
/// one of them win.
/// \returns the owner; empty where there is no candidate.
auto chooseOwner(const std::vector<EntryCandidate> &Candidates,
                 ShardNumber Shard) -> EntryId;

} // namespace skylark
