#include "core/WaitingCallers.h"

namespace skylark {

auto WaitingCallers::add(const JobId &Job, const WaitingCaller &Caller)
    -> bool {
  auto &JobCallers = Callers_[Job];
  JobCallers.push_back(Caller);
  return JobCallers.size() == 1;
}

auto WaitingCallers::take(const JobId &Job) -> std::vector<WaitingCaller> {
  const auto Found = Callers_.find(Job);
  if (Found == Callers_.end())
    return {};
  auto Taken = std::move(Found->second);
  Callers_.erase(Found);
  return Taken;
}

auto WaitingCallers::takeExpired(TimePoint Now)
    -> std::vector<std::pair<JobId, std::vector<WaitingCaller>>> {
  std::vector<std::pair<JobId, std::vector<WaitingCaller>>> Expired;
  for (auto Each = Callers_.begin(); Each != Callers_.end();) {
    if (Each->second.front().ExpiresAt_ > Now) {
      ++Each;
      continue;
    }
    Expired.emplace_back(Each->first, std::move(Each->second));
    Each = Callers_.erase(Each);
  }
  return Expired;
}

auto WaitingCallers::refuse(const JobId &Job, ErrorKind Kind, EntryOutbox &Out)
    -> void {
  for (const auto &Caller : take(Job))
    Out.push_back(AnswerCaller{
        Caller.Token_, ErrorReply{Kind, "the store refuses to record it", {}}});
}

auto WaitingCallers::refuseAll(EntryOutbox &Out) -> void {
  for (const auto &[Job, JobCallers] : std::exchange(Callers_, {}))
    for (const auto &Caller : JobCallers)
      // If the caller chose the job's id, the request can safely be repeated at
      // the shard's next owner.
      Out.push_back(
          AnswerCaller{Caller.Token_,
                       ErrorReply{Caller.StateOnly_ ? ErrorKind::ShardMoving
                                                    : ErrorKind::OutcomeUnknown,
                                  Job.Value_,
                                  {}}});
}

} // namespace skylark
