#include "core/RefusalPause.h"

#include <algorithm>

namespace skylark {
namespace {

constexpr Millis FirstPause{100};
/// Must be below three seconds, after which a task that isn't running although
/// a worker has free capacity counts as starved.
constexpr Millis MaxPause{1600};
constexpr std::uint32_t MaxDoublings = 4;
constexpr Seconds RecordRetention{60};

} // namespace

auto RefusalPause::refused(TimePoint Now, const WorkerKey &Worker) -> void {
  auto &Record = Workers_[Worker];
  if (Record.PausedUntil_ > Now)
    return;
  Record.PausedUntil_ =
      Now + std::min(MaxPause, FirstPause * (1U << std::min(Record.Refusals_,
                                                            MaxDoublings)));
  ++Record.Refusals_;
}

auto RefusalPause::started(const WorkerKey &Worker) -> void {
  Workers_.erase(Worker);
}

auto RefusalPause::isPaused(TimePoint Now, const WorkerKey &Worker) const
    -> bool {
  const auto Found = Workers_.find(Worker);
  return Found != Workers_.end() && Found->second.PausedUntil_ > Now;
}

auto RefusalPause::prune(TimePoint Now) -> void {
  for (auto Each = Workers_.begin(); Each != Workers_.end();)
    Each = Each->second.PausedUntil_ + RecordRetention < Now
               ? Workers_.erase(Each)
               : std::next(Each);
}

auto RefusalPause::clear() -> void { Workers_.clear(); }

} // namespace skylark
