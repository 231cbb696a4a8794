/// \file
/// Defines how many processors each worker keeps free for the short tasks of
/// the services that it serves.
#pragma once

#include "core/ShortTaskDemand.h"
#include "core/TargetTable.h"

#include <map>

namespace skylark {

/// The recent demand of short tasks by service. A worker keeps room for those
/// that may run there and for no others.
class ShortTaskHeadroom {
public:
  /// Processors, in thousandths, by service; for any worker if it is empty.
  using Demand = std::map<ServiceName, std::int64_t>;

  /// Records the present demand of all services.
  auto record(TimePoint Now, const Demand &MilliCores) -> void;
  /// Processors, in thousandths, that the worker keeps free.
  /// \param Targets the table that `Worker` belongs to.
  auto at(const Target &Worker, const TargetTable &Targets) const
      -> std::int64_t;

private:
  std::map<ServiceName, ShortTaskDemand> PerService_;
};

} // namespace skylark
