/// \file
/// Defines the choice of a worker for a task, as pure functions over plain
/// data.
#pragma once

#include "core/Job.h"

#include <cstddef>

namespace skylark {

/// A worker considered for the task, as the shard's owner sees it.
struct PlacementCandidate {
  Resources Capacity_;
  /// Unreserved part of the capacity.
  Resources Free_;
  /// Processors, in thousandths, that long-running tasks leave free here for
  /// the recurrent peaks of short tasks.
  std::int64_t HeadroomMilliCores_ = 0;
  std::string Rack_;
  /// Processors, in thousandths, that best-effort tasks here request already.
  std::int64_t BestEffortMilliCores_ = 0;
  /// Processors, in thousandths, that serving tasks reserve here.
  std::int64_t ServingMilliCores_ = 0;
  /// Number of different images among the serving tasks here.
  std::size_t ServingImages_ = 0;
  /// Whether serving tasks of the task's own image run here.
  bool SameImage_ = false;
  /// Predicted interference minus slack, in natural logarithm of tail latency:
  /// the largest such difference among the neighbours and the task itself. 0 or
  /// less if no slack would be exceeded.
  double SlackOverrun_ = 0;
  /// Growth of the natural logarithm of the neighbours' tails that the task
  /// would cause, summed over the neighbours.
  double AddedInterference_ = 0;
  /// Whether the task has waited so long for a worker without interference
  /// that it accepts any with enough resources.
  bool AcceptsAnyWorker_ = false;
  /// Number of tasks of the same step and occurrence here.
  std::uint32_t TasksOfStep_ = 0;
  /// Number of tasks here that would be lost if a suspect crashed the worker; 0
  /// unless the task to be placed is a suspect.
  std::uint32_t TasksAtRisk_ = 0;
  /// Whether the last attempt of this task failed here.
  bool FailedHere_ = false;
};

/// Whether the processors that the candidate's other tasks leave unused suffice
/// for a task of the step. Only best-effort tasks, which reserve none, may find
/// too few where they have enough free resources.
auto hasUnusedProcessors(const StepDeclaration &Step,
                         const PlacementCandidate &Candidate) -> bool;

/// Whether a task of the step may run on the candidate: it has enough free
/// resources and fewer tasks of the step than the limit. A best-effort task
/// also finds enough unused processors and causes no interference beyond the
/// slack, unless it accepts any worker.
auto canPlace(const StepDeclaration &Step, const PlacementCandidate &Candidate)
    -> bool;

/// Chooses the best candidate.
/// \returns its index, or Candidates.size() where none is eligible.
auto choosePlacement(const StepDeclaration &Step,
                     const std::vector<PlacementCandidate> &Candidates)
    -> std::size_t;

} // namespace skylark
