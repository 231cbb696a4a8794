/// \file
/// Defines when a revision of the configuration is in force: no agent starts
/// work under an older one any more.
#pragma once

#include "core/EnvironmentView.h"
#include "core/PeerTable.h"
#include "core/TargetTable.h"

namespace skylark {

/// What an entry knows of the grants under earlier revisions.
struct RevisionFacts {
  /// The deciding entry.
  const EntryId &Entry_;
  const TargetTable &Targets_;
  const PeerTable &Peers_;
  /// Entries that may still be granting start permits.
  const std::map<EntryId, Grantor> &Grantors_;
  /// The revision that the entry holds.
  Revision Seen_ = 0;
  /// The highest revision that a read of the store has returned.
  Revision Known_ = 0;
  /// When the last start grant of the entry under older revisions ends.
  TimePoint OldGrantsEnd_{};
  /// End of the last start grant to an agent that is no longer connected.
  TimePoint RemovedTargetGrantsEnd_{};
  /// Whether start grants by an earlier incarnation of the entry may still be
  /// valid.
  bool EarlierGrantsPossible_ = false;
};

/// Returns the revision below which no agent known to the entry can start work;
/// zero if that revision isn't known.
auto confirmedRevision(TimePoint Now, const RevisionFacts &Facts) -> Revision;

/// Returns what has not confirmed a revision yet: targets and entries by name,
/// and the store.
auto pendingConfirmations(TimePoint Now, const RevisionFacts &Facts,
                          Revision Wanted) -> std::vector<std::string>;

/// Returns an upper bound on how long start grants under older revisions may
/// still last.
/// \param Self the deciding entry.
auto longestOldGrant(TimePoint Now, const EntryId &Self,
                     const std::map<EntryId, Grantor> &Grantors,
                     const PolicySettings &Policy) -> Duration;

} // namespace skylark
