/// \file
/// Defines how best-effort tasks may work beside serving tasks that their own
/// load holds over their latency targets.
#pragma once

#include "core/Ids.h"
#include "core/PacePlan.h"
#include "core/Time.h"

#include <map>
#include <optional>

namespace skylark {

/// Shows that best-effort tasks are not the cause of a tail over its target:
/// none works, and the tail stays there. They may then work for a short trial,
/// and are paused again to repeat the proof. The pace doubles from one trial to
/// the next, unless a tail has grown in it.
class OverloadProbe {
public:
  /// Processes a sample of the worker.
  /// \param Overloaded the natural logarithm of the tail of each serving task
  ///     that is over its target and not about to fall below it.
  /// \param NoneWorks whether no best-effort task works.
  auto observe(TimePoint Now, const std::map<TaskId, double> &Overloaded,
               bool NoneWorks) -> void;
  /// Begins a trial if one is due: best-effort tasks work from now on.
  auto begin(TimePoint Now) -> void;
  /// Whether the task is known to be over its target by its own load.
  auto isOwnLoad(const TaskId &Task) const -> bool;
  /// Whether best-effort tasks must be paused to repeat the proof.
  auto mustPause() const -> bool { return Phase_ == Phase::Checking; }
  /// Whether a trial is due or under way.
  auto permitsTrial() const -> bool {
    return Phase_ == Phase::Proved || Phase_ == Phase::Trying;
  }
  /// Highest pace, in percent, of a best-effort task.
  auto paceLimit() const -> std::uint32_t;

private:
  enum class Phase : std::uint8_t {
    /// No trial has shown anything about the tails of now.
    Idle,
    /// The serving tasks are over their targets by their own load.
    Proved,
    Trying,
    /// After a trial, until the proof is repeated.
    Checking
  };

  /// Whether a tail has grown in the trial, or another one is over its target.
  auto isHurt(const std::map<TaskId, double> &Overloaded) const -> bool;

  Phase Phase_ = Phase::Idle;
  /// The tails over their targets when no best-effort task worked.
  std::map<TaskId, double> LevelsAlone_;
  /// Since when these tails are over their targets and no such task works.
  std::optional<TimePoint> AloneSince_;
  TimePoint TrialUntil_{};
  /// Pace, in percent, of the next trial or the present one.
  std::uint32_t Pace_ = MinTrialPace;

  static constexpr std::uint32_t MinTrialPace = 10;
};

} // namespace skylark
