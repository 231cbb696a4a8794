#include "core/RunGrants.h"

#include <algorithm>

namespace skylark {

auto RunGrants::extend(const WorkerKey &Worker, TimePoint Expiry) -> void {
  auto &LatestExpiry = Expiry_[Worker];
  LatestExpiry = std::max(LatestExpiry, Expiry);
}

auto RunGrants::expiryOf(const WorkerKey &Worker) const -> TimePoint {
  const auto Found = Expiry_.find(Worker);
  return Found == Expiry_.end() ? TimePoint{} : Found->second;
}

auto RunGrants::prune(TimePoint Before) -> void {
  for (auto Each = Expiry_.begin(); Each != Expiry_.end();)
    Each = Each->second < Before ? Expiry_.erase(Each) : std::next(Each);
}

} // namespace skylark
