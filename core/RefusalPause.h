/// \file
/// Defines how long a worker that refuses starts gets no further tasks.
#pragma once

#include "core/ShardUsage.h"

#include <map>

namespace skylark {

/// Pauses the binding of tasks to workers that refuse starts. The pause begins
/// short, since a worker may refuse a single start, and doubles with each
/// refusal until an attempt runs. Without it a worker that refuses everything
/// looks empty and attracts most tasks.
class RefusalPause {
public:
  /// Counts an attempt that was not started. Refusals during a pause belong to
  /// bindings made before it and don't lengthen it.
  auto refused(TimePoint Now, const WorkerKey &Worker) -> void;
  /// Counts an attempt that runs or has run, which ends the series of refusals.
  auto started(const WorkerKey &Worker) -> void;
  auto isPaused(TimePoint Now, const WorkerKey &Worker) const -> bool;
  /// Removes what is known of workers that refused their last start long ago.
  auto prune(TimePoint Now) -> void;
  auto clear() -> void;

private:
  struct Series {
    std::uint32_t Refusals_ = 0;
    TimePoint PausedUntil_{};
  };
  std::map<WorkerKey, Series> Workers_;
};

} // namespace skylark
