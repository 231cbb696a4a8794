/// \file
/// Defines what one binding pass remembers of the tasks that found no worker,
/// so that it doesn't try others that can't find one either.
#pragma once

#include "core/JobWaits.h"
#include "core/OutlierDetector.h"

#include <optional>
#include <vector>

namespace skylark {

/// What decides on which workers a task may run.
struct PlacementDemand {
  StepKey Step_;
  /// Of the step's job; empty for any worker.
  ServiceName Service_;
  /// The step; not null.
  const StepDeclaration *Declaration_ = nullptr;
  /// Whether the task accepts any worker with enough resources; see
  /// PlacementCandidate.
  bool AcceptsAnyWorker_ = false;
  /// The worst standing of a worker that the task accepts.
  OutlierDetector::Standing WorstStanding_ = OutlierDetector::Standing::Sound;
};

/// Why a task found no worker.
struct PlacementFailure {
  TaskWait Reason_ = TaskWait::Worker;
  /// Whether a worker was considered at all.
  bool HasCandidate_ = false;
  /// Whether a worker has enough free resources, so that only a limit of the
  /// task's own keeps it away.
  bool HasRoom_ = false;
  /// Whether only some of the workers that may host the task were considered.
  bool IsSample_ = false;
};

/// The failed placements of one binding pass. Free resources only shrink during
/// a pass. So a task finds no worker if all workers that it may use were
/// considered in vain for one that needs no more.
class PlacementFailures {
public:
  auto record(const PlacementDemand &Demand, const PlacementFailure &Failure)
      -> void;
  /// Returns why the task would find no worker; nothing if it may find one.
  auto find(const PlacementDemand &Demand) const -> std::optional<TaskWait>;

private:
  struct Record {
    PlacementDemand Demand_;
    PlacementFailure Failure_;
  };
  static auto covers(const Record &Failed, const PlacementDemand &Demand)
      -> bool;

  std::vector<Record> Records_;
};

} // namespace skylark
