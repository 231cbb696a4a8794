/// \file
/// Defines which entry should own a shard, and when an entry acquires, hands
/// over or relinquishes shards.
#pragma once

#include "core/OwnerChoice.h"
#include "core/PeerTable.h"

#include <optional>

namespace skylark {

/// What an entry knows that decides about the ownership of shards.
struct OwnershipFacts {
  /// The deciding entry.
  const EntryId &Entry_;
  const PeerTable &Peers_;
  /// The other entries that are registered in the store.
  const std::vector<EntryRegistration> &Registrations_;
  const PolicySettings &Policy_;
  /// Capacity of the entry's machine, in thousandths of a processor.
  std::uint32_t CapacityMilliCores_ = 0;
  ShardNumber ShardCount_ = 0;
  /// Whether the entry itself is registered, and since when.
  bool Registered_ = false;
  TimePoint RegisteredAt_{};
  bool Leaving_ = false;
  /// Whether the entry's last reading of the store is recent enough.
  bool StoreFresh_ = false;
  /// Whether live entries may be missing from `Registrations_`, because an
  /// outage of the store has just ended.
  bool ExpirationsUnreliable_ = false;
};

/// Decides for one entry, at one time, which shards it should own. The entry
/// may be wrong about others, since its facts may be out of date: the
/// compare-and-swap of a shard's head in the store makes ownership unique.
class ShardOwnership {
public:
  ShardOwnership(TimePoint Now, const OwnershipFacts &Facts)
      : Now_(Now), Facts_(Facts) {}

  /// Whether this entry has an open connection to the peer.
  auto isConnected(const EntryId &Peer) const -> bool;
  /// Whether the peer is connected and has been seen recently.
  auto isReachable(const EntryId &Peer) const -> bool;
  /// Returns the reachable peer that owns a shard according to its last
  /// heartbeat; empty if there is none.
  auto knownOwner(ShardNumber Shard) const -> EntryId;
  /// Returns the entry that should own a shard; empty if none can.
  auto preferredOwner(ShardNumber Shard) const -> EntryId;
  /// Whether the entry should acquire a shard that it doesn't own.
  auto shouldAcquire(ShardNumber Shard) const -> bool;
  /// Whether the entry should hand over a shard that it owns.
  /// \param OwnedShards the number of shards that the entry owns.
  auto shouldHandOver(ShardNumber Shard, std::size_t OwnedShards) const -> bool;
  /// Whether the entry can't read the store although a reachable peer can, so
  /// that it should relinquish its shards.
  /// \param FirstFailureAt when the first of the consecutive failed readings
  /// was sent.
  /// \param LastFailureAt when the last one was sent.
  auto isIsolatedFromStore(TimePoint FirstFailureAt,
                           TimePoint LastFailureAt) const -> bool;

private:
  /// Whether a peer could acquire a shard, according to its last heartbeat.
  auto isCandidate(const EntryId &Peer) const -> bool;
  auto isRegistered(const EntryId &Peer) const -> bool;
  auto capacityOf(const EntryId &Peer) const -> std::uint32_t;
  /// Whether an entry with much more capacity is registered but not reachable
  /// yet, and may soon acquire the shards that have no owner.
  auto awaitsLargerEntry() const -> bool;

  TimePoint Now_;
  OwnershipFacts Facts_;
};

/// Decides whether an entry may acquire a shard.
/// \param Head the shard's head.
/// \param Self the entry that would acquire it.
/// \param Registrations the other entries that are registered in the store.
/// \param OutageHorizon for how long an owner may grant without the store.
/// \returns how long earlier owners may still extend task leases, or nothing if
/// the shard must not be acquired.
auto oldGrantsAtAcquisition(ShardNumber Shard, const ShardHead &Head,
                            const EntryId &Self, const PeerTable &Peers,
                            const std::vector<EntryRegistration> &Registrations,
                            Duration OutageHorizon) -> std::optional<Duration>;

} // namespace skylark
