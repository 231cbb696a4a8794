#include "core/OwnerChoice.h"

#include "core/Document.h"

#include <algorithm>
#include <string>

namespace skylark {
namespace {

/// An entry below this part of another's strength is too weak beside it.
constexpr std::uint32_t WeakPart = 2;

} // namespace

auto isTooWeak(std::uint32_t Strength, std::uint32_t Other) -> bool {
  return Strength * std::uint64_t{WeakPart} <= Other;
}

auto chooseOwner(const std::vector<EntryCandidate> &Candidates,
                 ShardNumber Shard) -> EntryId {
  std::uint32_t Strongest = 0;
  for (const auto &Each : Candidates)
    Strongest = std::max(Strongest, Each.Strength_);
  const auto Score = [&](const EntryId &Entry) {
    return digest64(Entry.Value_ + "#" + std::to_string(Shard));
  };
  EntryId Best;
  for (const auto &Each : Candidates) {
    if (Strongest > 0 && isTooWeak(Each.Strength_, Strongest))
      continue;
    if (Best.empty() || Score(Each.Entry_) > Score(Best))
      Best = Each.Entry_;
  }
  return Best;
}

} // namespace skylark
