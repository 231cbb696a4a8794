/// \file
/// Defines how best-effort tasks share the slack that serving tasks have below
/// their latency targets, as pure functions over plain data.
#pragma once

#include "core/Interference.h"

#include <cstdint>
#include <string>
#include <vector>

namespace skylark {

/// Pace of a task that runs unrestricted, in percent.
constexpr std::uint32_t FullPace = 100;

/// How much more interference one serving task tolerates.
struct ServingSlack {
  std::string Image_;
  /// Growth of the tail's natural logarithm that best-effort tasks may still
  /// cause; 0 or less for none.
  double Remaining_ = 0;
  /// The tail exceeds its target and is not about to fall below it: tasks that
  /// interfere must be paused.
  bool StaysOverTarget_ = false;
};

/// One best-effort task.
struct BestEffortTask {
  std::string Image_;
  /// Processors, in thousandths, that it uses at full speed.
  std::int64_t FullMilliCores_ = 0;
};

/// Allocates to `Task` the highest pace whose predicted interference fits into
/// the remaining slack of every serving task, and deducts that interference
/// from `Slacks`.
/// \returns the pace in percent; 0 if the task must be paused.
auto allocatePace(const BestEffortTask &Task,
                  const InterferencePredictor &Predictor,
                  std::vector<ServingSlack> &Slacks) -> std::uint32_t;

/// The highest growth of a tail's logarithm that one processor of `Task`
/// causes among the serving tasks.
auto maxGrowthPerCore(const BestEffortTask &Task,
                      const InterferencePredictor &Predictor,
                      const std::vector<ServingSlack> &Slacks) -> double;

} // namespace skylark
