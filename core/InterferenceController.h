/// \file
/// Defines how an agent controls the best-effort tasks that share its worker
/// with serving tasks.
#pragma once

#include "core/AgentOutput.h"
#include "core/OverloadProbe.h"
#include "core/PacePlan.h"
#include "core/TailTracker.h"

#include <map>

namespace skylark {

/// What the agent has to do after one sample.
struct ControlActions {
  std::vector<PaceOnWorker> Paces_;
  /// The serving task that caused the actions, as text for the log.
  std::string Explanation_;
  /// Attempts to stop here, so that their tasks can be bound to another worker.
  std::vector<std::pair<TaskId, AttemptNumber>> Evictions_;
  /// The sample, in the form from which the interference model learns.
  ColocationSample Sample_;
};

/// Keeps serving tasks within their latency targets: limits the pace of
/// best-effort tasks so that their interference fits into the slack, and evicts
/// those that stay paused. A serving task that its own load holds over its
/// target limits them to short trials.
class InterferenceController {
public:
  /// Processes a sample of all tasks that run on the worker.
  /// \returns what the agent has to do in response.
  auto observe(TimePoint Now, const std::vector<ColocatedTask> &Tasks)
      -> ControlActions;
  auto adopt(const InterferenceTable &Table) -> void {
    Predictor_.adopt(Table);
  }
  auto table() const -> const InterferenceTable & { return Predictor_.table(); }
  /// Allocates slack to a best-effort task that is about to start. The only
  /// task of its job starts even with little slack, if all tails are within
  /// their targets or over them by their own load.
  /// \returns its initial pace in percent; 0 if it must not start now.
  auto admit(TimePoint Now, const ColocatedTask &BestEffort) -> std::uint32_t;
  /// Pace, in percent, at which an admitted task has to start; FullPace for an
  /// attempt that was not admitted.
  auto startPace(const TaskId &Task, AttemptNumber Attempt) const
      -> std::uint32_t;

private:
  struct PaceState {
    AttemptNumber Attempt_ = 0;
    std::uint32_t Percent_ = FullPace;
    TimePoint OrderedAt_{};
    /// When it was last paused.
    TimePoint PausedAt_{};
  };

  /// Records which serving tasks exceed their targets, and since when.
  auto recordTails(TimePoint Now, const std::vector<ColocatedTask> &Tasks)
      -> void;
  /// Lets the probe know of the tails over their targets, and of whether any
  /// best-effort task works.
  auto updateProbe(TimePoint Now, const std::vector<ColocatedTask> &Tasks)
      -> void;
  auto areTailsOverTargetByOwnLoad() const -> bool;
  auto arePredictionsUnreliable(TimePoint Now,
                                const std::vector<ColocatedTask> &Tasks) const
      -> bool;
  auto slacksOf(const std::vector<ColocatedTask> &Tasks) const
      -> std::vector<ServingSlack>;
  /// Describes, for the log, the serving task whose tail is the highest
  /// relative to its target.
  auto explain(const std::vector<ColocatedTask> &Tasks) const -> std::string;
  /// The best-effort tasks in the order in which they get slack.
  auto pacingOrder(const std::vector<ColocatedTask> &Tasks) const
      -> std::vector<const ColocatedTask *>;
  /// Appends to `Actions` an order of the pace if `Desired`, in percent,
  /// differs enough from the current one or the last order is due to be
  /// repeated, and an eviction if the task has been paused for too long.
  auto applyPace(TimePoint Now, const ColocatedTask &BestEffort,
                 std::uint32_t Desired, ControlActions &Actions) -> void;

  InterferencePredictor Predictor_;
  TailTracker Tracker_;
  OverloadProbe Probe_;
  std::map<TaskId, PaceState> PaceStates_;
  /// Since when each serving task has exceeded its target.
  std::map<TaskId, TimePoint> OverTargetSince_;
  /// Whether the predictions fail to explain the last sample.
  bool PredictionsUnreliable_ = false;
  /// Slack of the serving tasks as of the last sample, less what has been
  /// allocated to best-effort tasks since.
  std::vector<ServingSlack> Slacks_;
};

} // namespace skylark
