#include "core/RequestRefusal.h"

#include <utility>

namespace skylark {

auto isForQueue(const CallerRequest &Request) -> bool {
  if (const auto *Job = std::get_if<SubmitJob>(&Request))
    return !Job->Job_.empty();
  if (const auto *Job = std::get_if<GetJob>(&Request))
    return !Job->Queue_.empty();
  if (const auto *Job = std::get_if<CancelJob>(&Request))
    return !Job->Queue_.empty();
  return std::holds_alternative<SubmitToQueue>(Request) ||
         std::holds_alternative<ReadQueue>(Request) ||
         std::holds_alternative<CancelInQueue>(Request) ||
         std::holds_alternative<CountUnstartedJobs>(Request);
}

auto mayHaveSideEffects(const CallerRequest &Request) -> bool {
  return std::holds_alternative<QuickRequest>(Request) ||
         std::holds_alternative<SubmitJob>(Request) ||
         std::holds_alternative<CancelJob>(Request);
}

auto refuse(Counters &Counted, CallerToken Token, ErrorKind Kind,
            std::string Detail, EntryOutbox &Out) -> void {
  Counted.countRefusal(Kind);
  Out.push_back(AnswerCaller{Token, ErrorReply{Kind, std::move(Detail), {}}});
}

auto refuseRequest(Counters &Counted, CallerToken Token,
                   const CallerRequest &Request, ErrorKind Kind,
                   std::string Detail, EntryOutbox &Out) -> void {
  // Only the shard's ledger shows whether the work of a key has run: an earlier
  // request with the same key may have started it.
  const auto *Quick = std::get_if<QuickRequest>(&Request);
  const auto *Job = std::get_if<SubmitJob>(&Request);
  const auto Keyed =
      (Quick != nullptr && !Quick->Idempotent_ && !Quick->Key_.empty()) ||
      (Job != nullptr && (!Job->Key_.empty() || !Job->Job_.empty()));
  refuse(Counted, Token, Keyed ? ErrorKind::KeyNotChecked : Kind,
         std::move(Detail), Out);
}

} // namespace skylark
