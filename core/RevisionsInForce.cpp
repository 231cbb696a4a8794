#include "core/RevisionsInForce.h"

#include "core/Mutation.h"

#include <algorithm>

namespace skylark {

auto confirmedRevision(TimePoint Now, const RevisionFacts &Facts) -> Revision {
  if (Now >= Facts.OldGrantsEnd_)
    return Facts.Seen_;
  if (Facts.RemovedTargetGrantsEnd_ > Now || Facts.EarlierGrantsPossible_)
    return 0;
  // Grants from now on are under Seen_ or newer; an agent that still holds an
  // older grant starts work only under the revision that it has confirmed.
  auto Confirmed = Facts.Seen_;
  for (const auto *Each : Facts.Targets_.all())
    if (Each->StartGrantUntil_ > Now)
      Confirmed = std::min(Confirmed, Each->InForceRevision_);
  return Confirmed;
}

auto pendingConfirmations(TimePoint Now, const RevisionFacts &Facts,
                          Revision Wanted) -> std::vector<std::string> {
  std::vector<std::string> Pending;
  if (isMutationActive(Mutation::InForceWithoutConfirmation))
    return Pending;
  if (confirmedRevision(Now, Facts) < Wanted) {
    for (const auto *Each : Facts.Targets_.all())
      if (Each->InForceRevision_ < Wanted)
        Pending.push_back("target " + Each->agent().Value_);
    if (Pending.empty())
      Pending.push_back("entry " + Facts.Entry_.Value_);
  }
  // Only a reading of the store that shows this revision also shows which
  // entries may be granting permits. A configuration learned from agents
  // doesn't.
  if (Facts.Known_ < Wanted)
    Pending.push_back("store");
  for (const auto &Each : Facts.Grantors_) {
    if (Each.first == Facts.Entry_ || Each.second.Until_ <= Now)
      continue;
    if (!Facts.Peers_.hasConfirmed(Each.first, Each.second.Incarnation_,
                                   Wanted))
      Pending.push_back("entry " + Each.first.Value_);
  }
  return Pending;
}

auto longestOldGrant(TimePoint Now, const EntryId &Self,
                     const std::map<EntryId, Grantor> &Grantors,
                     const PolicySettings &Policy) -> Duration {
  Duration Longest = Policy.PermitDuration_;
  for (const auto &Each : Grantors) {
    if (Each.first == Self)
      continue;
    const auto Until =
        std::min(Each.second.Until_,
                 Now + Policy.OutageHorizon_ + Policy.PermitDuration_);
    Longest = std::max(Longest, Until - Now);
  }
  return withClockMargin(Longest);
}

} // namespace skylark
