/// \file
/// Defines what a worker must offer to run a task.
#pragma once

#include "core/Messages.h"

#include <tuple>
#include <vector>

namespace skylark {

/// The properties of a worker that a task depends on and that don't change
/// while the worker lives.
struct WorkerRequirement {
  /// Empty for any.
  ServiceName Service_;
  /// Empty for none.
  std::string Label_;

  auto isMetBy(const Hello &Worker) const -> bool;

  friend auto operator<(const WorkerRequirement &Left,
                        const WorkerRequirement &Right) -> bool {
    return std::tie(Left.Service_, Left.Label_) <
           std::tie(Right.Service_, Right.Label_);
  }
};

/// Returns all requirements that the worker meets: each combination of one of
/// its services, or any, with one of its labels, or none.
auto requirementsMetBy(const Hello &Worker) -> std::vector<WorkerRequirement>;

} // namespace skylark
