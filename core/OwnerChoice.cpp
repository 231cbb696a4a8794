#include "core/OwnerChoice.h"

#include "core/Document.h"

#include <algorithm>
#include <string>

namespace skylark {
namespace {

/// An entry leaves shards to another one whose capacity is at least this many
/// times its own.
constexpr std::uint32_t MuchLargerFactor = 2;

} // namespace

auto hasMuchLessCapacity(std::uint32_t Capacity, std::uint32_t OtherCapacity)
    -> bool {
  return Capacity * std::uint64_t{MuchLargerFactor} <= OtherCapacity;
}

auto chooseOwner(const std::vector<EntryCandidate> &Candidates,
                 ShardNumber Shard) -> EntryId {
  std::uint32_t LargestCapacity = 0;
  for (const auto &Candidate : Candidates)
    LargestCapacity = std::max(LargestCapacity, Candidate.CapacityMilliCores_);
  const auto Score = [&](const EntryId &Entry) {
    return digest64(Entry.Value_ + "#" + std::to_string(Shard));
  };
  EntryId Best;
  for (const auto &Candidate : Candidates) {
    if (LargestCapacity > 0 &&
        hasMuchLessCapacity(Candidate.CapacityMilliCores_, LargestCapacity))
      continue;
    if (Best.empty() || Score(Candidate.Entry_) > Score(Best))
      Best = Candidate.Entry_;
  }
  return Best;
}

} // namespace skylark
