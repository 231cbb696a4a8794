#include "core/PeerTable.h"

#include <algorithm>

namespace skylark {

auto PeerTable::connect(TimePoint Now, const EntryId &Entry) -> void {
  auto &Connected = Peers_[Entry];
  Connected.Connected_ = true;
  Connected.ConnectedSince_ = Now;
}

auto PeerTable::disconnect(const EntryId &Entry) -> void {
  auto &Disconnected = Peers_[Entry];
  Disconnected.Connected_ = false;
  Disconnected.ConnectedSince_ = TimePoint::max();
  Disconnected.Owned_.clear();
}

auto PeerTable::update(TimePoint Now, const EntryId &Entry,
                       const PeerHeartbeat &Message) -> PeerChange {
  PeerChange Change;
  auto &Sender = Peers_[Entry];
  // Incarnations come from wall clocks, which may jump back, so any different
  // incarnation is a newer one: the connection of an earlier process has ended.
  if (Message.Incarnation_ != Sender.Incarnation_) {
    Sender.Incarnation_ = Message.Incarnation_;
    Sender.SeenRevision_ = 0;
    Sender.ConfirmedRevision_ = 0;
    Sender.ConnectedSince_ = Now;
    Change.Restarted_ = true;
  }
  Sender.LastSeenAt_ = Now;
  Sender.SeenRevision_ = std::max(Sender.SeenRevision_, Message.SeenRevision_);
  Sender.ConfirmedRevision_ =
      std::max(Sender.ConfirmedRevision_, Message.ConfirmedRevision_);
  Change.OwnsFewerShards_ = Sender.Owned_.size() > Message.Owned_.size();
  Sender.Owned_.clear();
  for (const auto &Each : Message.Owned_)
    Sender.Owned_[Each.Shard_] = Each.Epoch_;
  Sender.Relinquished_.clear();
  for (const auto &Each : Message.Relinquished_)
    Sender.Relinquished_[Each.Shard_] = Each.Epoch_;
  Sender.StoreReadAt_ = Now - Message.StoreReadAge_;
  Sender.Leaving_ = Message.Leaving_;
  return Change;
}

auto PeerTable::removeOwned(const EntryId &Entry, ShardNumber Shard) -> void {
  Peers_[Entry].Owned_.erase(Shard);
}

auto PeerTable::find(const EntryId &Entry) const -> const Peer * {
  const auto Found = Peers_.find(Entry);
  return Found == Peers_.end() ? nullptr : &Found->second;
}

auto PeerTable::isReachable(TimePoint Now, Duration SilenceTimeout,
                            const EntryId &Entry) const -> bool {
  // The peer answers on a connection that it opens itself. Until a message has
  // arrived on that connection, an answer would be lost.
  const auto *Found = find(Entry);
  return Found != nullptr && Found->Connected_ &&
         Found->LastSeenAt_ != TimePoint{} &&
         Found->LastSeenAt_ + SilenceTimeout >= Now;
}

auto PeerTable::countReachable(TimePoint Now, Duration SilenceTimeout) const
    -> std::size_t {
  return std::count_if(Peers_.begin(), Peers_.end(), [&](const auto &Each) {
    return isReachable(Now, SilenceTimeout, Each.first);
  });
}

auto PeerTable::hasRelinquished(ShardNumber Shard, const ShardHead &Head) const
    -> bool {
  const auto *Owner = find(Head.Owner_);
  if (Owner == nullptr || Owner->Incarnation_ != Head.OwnerIncarnation_)
    return false;
  const auto Found = Owner->Relinquished_.find(Shard);
  return Found != Owner->Relinquished_.end() && Found->second == Head.Epoch_;
}

auto PeerTable::hasConfirmed(const EntryId &Entry, Incarnation Sender,
                             Revision Wanted) const -> bool {
  const auto *Found = find(Entry);
  return Found != nullptr && Found->Incarnation_ == Sender &&
         Found->ConfirmedRevision_ >= Wanted;
}

} // namespace skylark
