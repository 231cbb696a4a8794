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
    Grant.ViewFreshAt_ = std::max(Grant.ViewFreshAt_, SentAt);
}

auto StartPermits::close(SessionNumber Session) -> void {
  Grants_.erase(Session);
}

auto StartPermits::startUntil(Revision AgentRevision) const -> TimePoint {
  TimePoint Until{};
  for (const auto &[Session, Grant] : Grants_) {
    // A grant under a newer revision counts only once the agent has applied
    // that revision, which may forbid starts here. A grant also counts only if
    // its entry has seen every change up to the agent's revision.
    const auto GrantApplies =
        (Grant.Revision_ <= AgentRevision && AgentRevision <= Grant.AsOf_) ||
        isMutationActive(Mutation::StartUnderOldRevision);
    if (GrantApplies)
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

auto StartPermits::isOtherEntryViewFresh(TimePoint Now, SessionNumber Session,
                                         Duration MaxAge) const -> bool {
  return std::any_of(Grants_.begin(), Grants_.end(), [&](const auto &Each) {
    return Each.first != Session && Each.second.ViewFreshAt_ != TimePoint{} &&
           Each.second.ViewFreshAt_ + MaxAge > Now;
  });
}

} // namespace skylark
