#include "core/StartPermits.h"

#include "core/Mutation.h"

#include <algorithm>

namespace skylark {

auto StartPermits::grant(SessionNumber Session, TimePoint SentAt,
                         const HeartbeatAck &Ack) -> void {
  auto &Grant = Grants_[Session];
  // A reordered acknowledgement must not replace a grant under a newer revision
  // by one under an older revision.
  if (Ack.Revision_ >= Grant.Revision_) {
    Grant.Revision_ = Ack.Revision_;
    Grant.AsOf_ = std::max(Grant.AsOf_, Ack.AsOf_);
    Grant.StartGrantUntil_ =
        std::max(Grant.StartGrantUntil_, SentAt + Ack.StartGrantDuration_);
  }
  for (const auto Shard : Ack.Shards_) {
    auto &Until = Grant.RunGrantUntil_[Shard];
    Until = std::max(Until, SentAt + Ack.RunGrantDuration_);
  }
  if (Ack.ViewFresh_)
    Grant.FreshAt_ = std::max(Grant.FreshAt_, SentAt);
}

auto StartPermits::close(SessionNumber Session) -> void {
  Grants_.erase(Session);
}

auto StartPermits::startUntil(Revision Seen) const -> TimePoint {
  TimePoint Until{};
  for (const auto &[Session, Grant] : Grants_) {
    // A grant under a newer revision counts only once the agent has applied
    // that revision, which may forbid starts here. A grant of an entry that has
    // not seen every change up to the agent's revision doesn't count either.
    const auto Current = (Grant.Revision_ <= Seen && Seen <= Grant.AsOf_) ||
                         isMutationActive(Mutation::StartUnderOldRevision);
    if (Current)
      Until = std::max(Until, Grant.StartGrantUntil_);
  }
  return Until;
}

auto StartPermits::runUntil(SessionNumber Session, ShardNumber Shard) const
    -> TimePoint {
  const auto Found = Grants_.find(Session);
  if (Found == Grants_.end())
    return {};
  const auto Until = Found->second.RunGrantUntil_.find(Shard);
  return Until == Found->second.RunGrantUntil_.end() ? TimePoint{}
                                                     : Until->second;
}

auto StartPermits::otherEntryFresh(TimePoint Now, SessionNumber Session,
                                   Duration MaxAge) const -> bool {
  return std::any_of(Grants_.begin(), Grants_.end(), [&](const auto &Each) {
    return Each.first != Session && Each.second.FreshAt_ != TimePoint{} &&
           Each.second.FreshAt_ + MaxAge > Now;
  });
}

} // namespace skylark
