/// \file
/// Defines an entry's table of the other entries of its environment.
#pragma once

#include "core/EntryOutput.h"

#include <map>

namespace skylark {

/// How often an entry sends a heartbeat to each peer.
constexpr Millis PeerHeartbeatInterval{300};

/// What an entry knows of another one from its connection and its heartbeats.
struct Peer {
  bool Connected_ = false;
  /// When a message from the peer last arrived.
  TimePoint LastSeenAt_{};
  /// Incarnation that sent the two revisions below, which are reset when it
  /// changes.
  Incarnation Incarnation_ = 0;
  Revision SeenRevision_ = 0;
  Revision ConfirmedRevision_ = 0;
  /// Shards that the peer owns according to its last heartbeat, and their
  /// epochs.
  std::map<ShardNumber, Epoch> Owned_;
  /// Shards that the peer has relinquished according to its last heartbeat,
  /// and their epochs.
  std::map<ShardNumber, Epoch> Relinquished_;
  /// When the peer last read the store, according to its last heartbeat.
  TimePoint StoreReadAt_{};
  bool Leaving_ = false;
  /// Start of the connection to this incarnation; TimePoint::max() while the
  /// peer is disconnected.
  TimePoint ConnectedSince_{};
};

/// What a heartbeat changed in the table.
struct PeerChange {
  /// The heartbeat came from another incarnation than the one before.
  bool Restarted_ = false;
  /// The peer owns fewer shards than before.
  bool OwnsFewerShards_ = false;
};

/// Records the connections and heartbeats of the other entries.
class PeerTable {
public:
  /// Records that this entry has connected to the peer.
  auto connect(TimePoint Now, const EntryId &Entry) -> void;
  auto disconnect(const EntryId &Entry) -> void;
  /// Records a heartbeat that arrived from the peer.
  auto update(TimePoint Now, const EntryId &Entry, const PeerHeartbeat &Message)
      -> PeerChange;
  /// Records that the peer doesn't own the shard, contrary to its last
  /// heartbeat.
  auto removeOwned(const EntryId &Entry, ShardNumber Shard) -> void;

  /// Returns a peer; nullptr if nothing is known of it.
  auto find(const EntryId &Entry) const -> const Peer *;
  auto all() const -> const std::map<EntryId, Peer> & { return Peers_; }
  /// Whether the peer is connected and a message from it arrived within
  /// `SilenceTimeout`.
  auto isReachable(TimePoint Now, Duration SilenceTimeout,
                   const EntryId &Entry) const -> bool;
  /// Returns the number of reachable peers.
  auto countReachable(TimePoint Now, Duration SilenceTimeout) const
      -> std::size_t;
  /// Whether the owner named by the shard's head has reported that it
  /// relinquished the shard.
  auto hasRelinquished(ShardNumber Shard, const ShardHead &Head) const -> bool;
  /// Whether this incarnation of an entry has reported that the agents known to
  /// it start work only under `Wanted` or a newer revision.
  auto hasConfirmed(const EntryId &Entry, Incarnation Sender,
                    Revision Wanted) const -> bool;

private:
  std::map<EntryId, Peer> Peers_;
};

} // namespace skylark
