/// \file
/// Defines what a worker must offer to run a task.
#pragma once

#include "core/Messages.h"

#include <tuple>

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

} // namespace skylark
