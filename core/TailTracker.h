/// \file
/// Defines the estimation of serving tasks' tail latencies: the steady state
/// that each approaches, and its baseline without interference.
#pragma once

#include "core/ColocatedTask.h"
#include "core/Interference.h"

#include <map>
#include <vector>

namespace skylark {

/// Estimates for one serving task from the samples so far. All levels are
/// natural logarithms of milliseconds.
struct TailEstimate {
  Millis Tail_{0};
  /// The level that the tail approaches if its neighbours' use of processors
  /// stays as it is.
  double SteadyState_ = 0;
  /// Moving average of the level that the tail would have if no best-effort
  /// tasks shared the worker.
  double Baseline_ = 0;
  /// Growth of the steady-state level since the previous sample, and whether it
  /// is valid: the previous sample is recent enough.
  double Change_ = 0;
  bool ChangeKnown_ = false;
};

/// Tracks the tails on one worker. The measured tail lags behind a change in
/// its neighbours' work: it approaches its steady state exponentially.
class TailTracker {
public:
  /// Processes a sample of all tasks that run on the worker.
  auto observe(TimePoint Now, const std::vector<ColocatedTask> &Tasks,
               const InterferencePredictor &Predictor) -> void;
  /// The estimate for a serving task as of the last sample; null if that sample
  /// had no tail latency of the task.
  auto find(const TaskId &Task) const -> const TailEstimate *;
  /// The last sample, in the form from which the interference model learns.
  auto sample(const std::vector<ColocatedTask> &Tasks) const
      -> ColocationSample;

private:
  /// \param Elapsed time since the previous sample.
  /// \param Growth predicted growth of the tail's natural logarithm that the
  ///     best-effort tasks cause.
  auto estimate(const ColocatedTask &Serving, Duration Elapsed,
                double Growth) const -> TailEstimate;

  TimePoint ObservedAt_{};
  std::map<TaskId, TailEstimate> Estimates_;
  /// Thousandths of a processor by best-effort image: in use in the last
  /// sample, and growth since the one before.
  std::map<std::string, std::int64_t> MilliCoresInUse_;
  std::map<std::string, std::int64_t> MilliCoresChange_;
};

} // namespace skylark
