#include "core/ShardOwnership.h"

#include <algorithm>

namespace skylark {
namespace {

/// How long an entry's readings of the store must have failed before the entry
/// counts as isolated from it. Longer than the time for which a busy store
/// refuses calls.
constexpr Millis StoreIsolationDelay{600};
/// A peer that has relinquished shards may own shards again only if its last
/// store reading is more recent than this.
constexpr Millis RelinquishedReadAgeLimit{700};
/// How long after its registration an entry acquires no shards while an entry
/// with much more capacity is registered but not reachable yet.
constexpr Millis LargerEntryWaitWindow{1500};
/// How long a peer must have been connected before an entry with much less
/// capacity hands its shards over to that peer.
constexpr Millis StablePeerDuration{4000};

} // namespace

auto ShardOwnership::isReachable(const EntryId &Peer) const -> bool {
  return Facts_.Peers_.isReachable(Now_, Facts_.Policy_.SilenceTimeout_, Peer);
}

auto ShardOwnership::isConnected(const EntryId &Peer) const -> bool {
  const auto *Found = Facts_.Peers_.find(Peer);
  return Found != nullptr && Found->Connected_;
}

auto ShardOwnership::isCandidate(const EntryId &Peer) const -> bool {
  const auto *Found = Facts_.Peers_.find(Peer);
  if (Found == nullptr)
    return false;
  // A peer that has relinquished shards may still be unable to reach the store,
  // so a limit of its own applies to the age of its last store reading.
  const auto ReadAgeLimit =
      Found->Relinquished_.empty()
          ? Duration(Facts_.Policy_.FreshnessWindow_ + PeerHeartbeatInterval)
          : Duration(RelinquishedReadAgeLimit);
  return isReachable(Peer) && !Found->Leaving_ &&
         Found->StoreReadAt_ + ReadAgeLimit > Now_;
}

auto ShardOwnership::isRegistered(const EntryId &Peer) const -> bool {
  return std::any_of(
      Facts_.Registrations_.begin(), Facts_.Registrations_.end(),
      [&](const EntryRegistration &Each) { return Each.Entry_ == Peer; });
}

auto ShardOwnership::capacityOf(const EntryId &Peer) const -> std::uint32_t {
  for (const auto &Each : Facts_.Registrations_)
    if (Each.Entry_ == Peer)
      return Each.CapacityMilliCores_;
  return 0;
}

auto ShardOwnership::preferredOwner(ShardNumber Shard) const -> EntryId {
  std::vector<EntryCandidate> Candidates;
  if (Facts_.Registered_ && !Facts_.Leaving_)
    Candidates.push_back({Facts_.Entry_, Facts_.CapacityMilliCores_});
  for (const auto &Each : Facts_.Registrations_)
    if (isCandidate(Each.Entry_))
      Candidates.push_back({Each.Entry_, Each.CapacityMilliCores_});
  return chooseOwner(Candidates, Shard);
}

auto ShardOwnership::awaitsLargerEntry() const -> bool {
  // When all entries start at once, an entry with little capacity that acquires
  // a shard first would spend seconds reading its ledger, only to hand it over.
  return Now_ < Facts_.RegisteredAt_ + LargerEntryWaitWindow &&
         std::any_of(Facts_.Registrations_.begin(), Facts_.Registrations_.end(),
                     [&](const EntryRegistration &Each) {
                       return !isReachable(Each.Entry_) &&
                              hasMuchLessCapacity(Facts_.CapacityMilliCores_,
                                                  Each.CapacityMilliCores_);
                     });
}

auto ShardOwnership::knownOwner(ShardNumber Shard) const -> EntryId {
  EntryId Owner;
  Epoch Newest = 0;
  for (const auto &[Entry, Each] : Facts_.Peers_.all()) {
    const auto Owned = Each.Owned_.find(Shard);
    if (Owned == Each.Owned_.end() || Owned->second <= Newest ||
        !isReachable(Entry))
      continue;
    // An owner whose registration has expired is about to lose its shards.
    if (Facts_.StoreFresh_ && !isRegistered(Entry) &&
        !Facts_.ExpirationsUnreliable_)
      continue;
    Newest = Owned->second;
    Owner = Entry;
  }
  return Owner;
}

auto ShardOwnership::shouldAcquire(ShardNumber Shard) const -> bool {
  return Facts_.Registered_ && !Facts_.Leaving_ && Facts_.StoreFresh_ &&
         preferredOwner(Shard) == Facts_.Entry_ && !awaitsLargerEntry() &&
         knownOwner(Shard).empty();
}

auto ShardOwnership::shouldHandOver(ShardNumber Shard,
                                    std::size_t OwnedShards) const -> bool {
  if (Facts_.Leaving_)
    return true;
  const auto Preferred = preferredOwner(Shard);
  if (Preferred.empty() || Preferred == Facts_.Entry_)
    return false;
  // Handing a shard over interrupts its work. An owner therefore keeps its
  // share of the shards, unless an entry with much more capacity has been
  // connected for long enough.
  const auto Entries = Facts_.Registrations_.size() + 1;
  const auto Share = (Facts_.ShardCount_ + Entries - 1) / Entries;
  const auto *PreferredPeer = Facts_.Peers_.find(Preferred);
  const auto StablePeer =
      PreferredPeer != nullptr &&
      PreferredPeer->ConnectedSince_ <= Now_ - StablePeerDuration;
  const auto TooSmall =
      hasMuchLessCapacity(Facts_.CapacityMilliCores_, capacityOf(Preferred)) &&
      StablePeer;
  return OwnedShards > Share || TooSmall;
}

auto ShardOwnership::isIsolatedFromStore(TimePoint FirstFailureAt,
                                         TimePoint LastFailureAt) const
    -> bool {
  if (LastFailureAt < FirstFailureAt + StoreIsolationDelay)
    return false;
  // A peer's reading of the store between the first and the last of this
  // entry's failed readings shows that the store isn't down for all entries. A
  // later reading doesn't: an outage for all may have ended just before it.
  return std::any_of(Facts_.Peers_.all().begin(), Facts_.Peers_.all().end(),
                     [&](const auto &Each) {
                       const auto ReadAt = Each.second.StoreReadAt_;
                       return ReadAt > FirstFailureAt &&
                              ReadAt < LastFailureAt && isReachable(Each.first);
                     });
}

auto oldGrantsAtAcquisition(ShardNumber Shard, const ShardHead &Head,
                            const EntryId &Self, const PeerTable &Peers,
                            const std::vector<EntryRegistration> &Registrations,
                            Duration OutageHorizon) -> std::optional<Duration> {
  // If a shard has no owner, the only grants that may still hold are those
  // whose remaining time its last owner recorded on releasing it.
  if (Head.Owner_.empty())
    return Head.OldGrantsRemaining_;
  // An earlier process of this entry and an owner that has relinquished the
  // shard have both stopped granting.
  if (Head.Owner_ == Self || Peers.hasRelinquished(Shard, Head))
    return Duration{0};
  auto Restarted = false;
  for (const auto &Each : Registrations) {
    if (Each.Entry_ != Head.Owner_)
      continue;
    if (Each.Incarnation_ == Head.OwnerIncarnation_)
      return std::nullopt;
    Restarted = true;
  }
  return Restarted ? Duration{0} : OutageHorizon;
}

} // namespace skylark
