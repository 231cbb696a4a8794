#include "core/WaitingQueries.h"

#include <algorithm>
#include <utility>

namespace skylark {
namespace {

/// How long a query waits for the proof; no longer than entries wait for the
/// owner's answer.
constexpr Millis QueryTimeout{2800};
/// How long a count waits for the proof. It denies no job, and while the store
/// can't be reached, no other entry is likely to have a better one.
constexpr Millis CountTimeout{500};
constexpr Millis MinRequestInterval{100};

auto isCount(const ShardQuery &Query) -> bool {
  return std::holds_alternative<CountUnstartedJobs>(Query);
}

auto refuse(CallerToken Token, ErrorKind Kind, std::string Detail,
            EntryOutbox &Out) -> void {
  Out.push_back(AnswerCaller{Token, ErrorReply{Kind, std::move(Detail), {}}});
}

} // namespace

auto WaitingQueries::add(TimePoint Now, CallerToken Token, ShardQuery Query)
    -> void {
  const auto Timeout = isCount(Query) ? CountTimeout : QueryTimeout;
  Queries_.push_back({Token, std::move(Query), std::nullopt, Now + Timeout});
}

auto WaitingQueries::requestProof(TimePoint Now, OwnershipProof &Proof,
                                  LedgerWriter &Ledger) -> void {
  // Those that were added last have no request.
  if (Queries_.empty() || Queries_.back().Proof_ || Now < NextRequest_)
    return;
  NextRequest_ = Now + MinRequestInterval;
  const auto Request = Proof.request(Now, Ledger);
  for (auto &Each : Queries_)
    if (!Each.Proof_)
      Each.Proof_ = Request;
}

auto WaitingQueries::answerProved(
    TimePoint Now, const LedgerWriter &Ledger,
    const std::function<bool(CallerToken, const ShardQuery &)> &Answer,
    EntryOutbox &Out) -> void {
  const auto IsDone = [&](const WaitingQuery &Each) {
    const auto Proved =
        Each.Proof_ && OwnershipProof::isProvedSince(*Each.Proof_, Ledger);
    const auto Expired = Each.ExpiresAt_ <= Now;
    if ((Proved || (Expired && isCount(Each.Query_))) &&
        Answer(Each.Token_, Each.Query_))
      return true;
    if (!Expired)
      return false;
    refuse(Each.Token_, ErrorKind::StoreUnavailable,
           "the ownership of the shard was not verified in time", Out);
    return true;
  };
  Queries_.erase(std::remove_if(Queries_.begin(), Queries_.end(), IsDone),
                 Queries_.end());
}

auto WaitingQueries::refuseAll(ShardNumber Shard, EntryOutbox &Out) -> void {
  for (const auto &Each : std::exchange(Queries_, {}))
    refuse(Each.Token_, ErrorKind::ShardMoving,
           "shard " + std::to_string(Shard), Out);
}

} // namespace skylark
