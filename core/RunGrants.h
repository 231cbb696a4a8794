/// \file
/// Defines until when workers may run tasks.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

#include <map>

namespace skylark {

/// Records until when this entry's grants allow each worker to run tasks.
class RunGrants {
public:
  /// Extends a worker's grant; never shortens it.
  auto extend(const WorkerKey &Worker, TimePoint Expiry) -> void;
  /// Returns when the worker's grant expires; the clock's epoch if the worker
  /// has none.
  auto expiryOf(const WorkerKey &Worker) const -> TimePoint;
  /// Removes the grants that expired before `Before`.
  auto prune(TimePoint Before) -> void;

private:
  std::map<WorkerKey, TimePoint> Expiry_;
};

} // namespace skylark
