#include "core/ConfigurationOffers.h"

#include <algorithm>

namespace skylark {
namespace {

/// Longer than the time between two heartbeats, the second of which may show
/// that the peer has read the store.
constexpr Millis FirstOfferDelay{400};
constexpr Millis InitialResendDelay{1000};
constexpr Millis MaxResendDelay{8000};

/// Whether the peer had read the store recently when it sent its last
/// heartbeat.
auto readsStore(const Peer &Each, Duration MaxReadAge) -> bool {
  return Each.LastSeenAt_ - Each.StoreReadAt_ <= MaxReadAge;
}

} // namespace

auto ConfigurationOffers::takeDue(TimePoint Now, const HeldConfiguration &Held,
                                  const PeerTable &Peers)
    -> std::vector<EntryId> {
  std::vector<EntryId> Due;
  // Of the entries that may offer it, each one sends only if the one before it
  // hasn't helped.
  const auto MayOffer = [&](const EntryId &Entry, const Peer &Each) {
    return Peers.isReachable(Now, Held.SilenceTimeout_, Entry) &&
           (readsStore(Each, Held.MaxReadAge_) ||
            Each.SeenRevision_ >= Held.Revision_);
  };
  const auto Before = std::count_if(
      Peers.all().begin(), Peers.all().end(), [&](const auto &Each) {
        return Each.first < Held.Entry_ && MayOffer(Each.first, Each.second);
      });
  for (const auto &[Entry, Each] : Peers.all()) {
    const auto Lags = Each.SeenRevision_ < Held.Revision_ &&
                      !readsStore(Each, Held.MaxReadAge_) &&
                      Peers.isReachable(Now, Held.SilenceTimeout_, Entry);
    if (!Lags) {
      Offers_.erase(Entry);
      continue;
    }
    auto &Current =
        Offers_.try_emplace(Entry, Offer{0, Now, 0, {}, {}}).first->second;
    if (Each.SeenRevision_ > Current.SeenRevision_) {
      Current.SeenRevision_ = Each.SeenRevision_;
      Current.SeenSince_ = Now;
    }
    const auto Received = Current.SentRevision_ <= Each.SeenRevision_;
    if (Received)
      Current.ResendDelay_ = InitialResendDelay;
    const auto OwnTurnAt = Current.SeenSince_ + FirstOfferDelay +
                           Before * Duration{PeerHeartbeatInterval};
    const auto ResendAt =
        Received ? TimePoint{} : Current.SentAt_ + Current.ResendDelay_;
    if (Now < std::max(OwnTurnAt, ResendAt))
      continue;
    if (!Received)
      Current.ResendDelay_ =
          std::min<Duration>(2 * Current.ResendDelay_, MaxResendDelay);
    Current.SentRevision_ = Held.Revision_;
    Current.SentAt_ = Now;
    Due.push_back(Entry);
  }
  return Due;
}

} // namespace skylark
