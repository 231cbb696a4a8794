#include "core/EndedJobs.h"

#include <algorithm>

namespace skylark {
namespace {

/// How long a copy of a submission may be on its way, or be repeated by its
/// caller; as for CancelledIds.
constexpr Seconds LateSubmissionTime{300};
/// How long a job is kept while there is room.
constexpr Seconds KeepTime{24 * 3600};
/// Number of ended tasks for which there is room: about 21 MB, and as much
/// again while a snapshot is made.
constexpr std::size_t MaxTasks = 50000;

} // namespace

auto EndedJobs::clear() -> void {
  Jobs_.clear();
  ByEnd_.clear();
  Tasks_ = 0;
}

auto EndedJobs::add(TimePoint Now, const JobId &Id, std::size_t Tasks) -> void {
  if (!Jobs_.try_emplace(Id, Ended{Now, Tasks}).second)
    return;
  ByEnd_.emplace(Now, Id);
  Tasks_ += Tasks;
}

auto EndedJobs::takeExpired(TimePoint Now, Duration Promise, std::size_t Limit)
    -> std::vector<Removal> {
  const auto MinTime = std::max<Duration>(Promise, LateSubmissionTime);
  const auto MaxTime = std::max<Duration>(MinTime, KeepTime);
  std::vector<Removal> Expired;
  while (!ByEnd_.empty() && Expired.size() < Limit) {
    const auto &[Since, Id] = *ByEnd_.begin();
    const auto Age = Now - Since;
    if (Age < MinTime || (Age < MaxTime && Tasks_ <= MaxTasks))
      break;
    Expired.push_back({Id, Age});
    const auto Found = Jobs_.find(Id);
    Tasks_ -= Found->second.Tasks_;
    Jobs_.erase(Found);
    ByEnd_.erase(ByEnd_.begin());
  }
  return Expired;
}

} // namespace skylark
