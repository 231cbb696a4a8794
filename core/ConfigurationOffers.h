/// \file
/// Defines when an entry sends its configuration to entries that can't read it
/// from the store.
#pragma once

#include "core/PeerTable.h"

namespace skylark {

/// What an entry knows about its own configuration when it offers it.
struct HeldConfiguration {
  EntryId Entry_;
  Revision Revision_ = 0;
  /// A peer with an older read than this may be unable to read the store.
  Duration MaxReadAge_{};
  Duration SilenceTimeout_{};
};

/// Decides to which peers a configuration goes and when. A peer gets it if its
/// heartbeat shows an older revision and a read of the store that is too old
/// for it to find the newer one soon. One entry after the other offers it,
/// until the peer's revision rises; an offer without effect is repeated at
/// growing intervals.
class ConfigurationOffers {
public:
  /// Returns the peers to which the configuration must be sent now, and records
  /// that it has been.
  auto takeDue(TimePoint Now, const HeldConfiguration &Held,
               const PeerTable &Peers) -> std::vector<EntryId>;

private:
  struct Offer {
    /// The peer's revision, and since when it is known.
    Revision SeenRevision_ = 0;
    TimePoint SeenSince_{};
    Revision SentRevision_ = 0;
    TimePoint SentAt_{};
    Duration ResendDelay_{};
  };

  std::map<EntryId, Offer> Offers_;
};

} // namespace skylark
