/// \file
/// Defines when the tasks of closed jobs are told to stop, again and again
/// until they have ended.
#pragma once

#include "core/Job.h"

#include <set>

namespace skylark {

/// Time after the acknowledgement of a job's cancellation by which each of its
/// tasks has been told to stop.
constexpr Millis CancelTarget{3000};
/// The longest that a worker takes to carry a stop out.
constexpr Millis StopDuration{400};
/// Interval at which a stop is repeated. Several may be lost within
/// CancelTarget, on the way to the agent and on the way to its worker.
constexpr Millis StopRepeatInterval = CancelTarget / 6;

/// Schedules the stops of the bound tasks of closed jobs.
class StopSchedule {
public:
  /// A task whose turn has come.
  struct Due {
    TaskId Task_;
    /// Time since the job was closed, or since this owner took the shard over.
    Millis Elapsed_{0};
    /// Number of stops sent before.
    int Sent_ = 0;
    /// The task has just turned out to exceed CancelTarget and StopDuration.
    bool NewlyOverdue_ = false;
  };

  /// Schedules a stop for now; does nothing if the task has a schedule.
  auto add(TimePoint Now, const TaskId &Task) -> void;
  auto remove(const TaskId &Task) -> void;
  auto clear() -> void;
  /// Schedules the task's next stop for now, if it has a schedule.
  auto hasten(TimePoint Now, const TaskId &Task) -> void;
  /// Returns the tasks whose turn has come, at most this many, and schedules
  /// their next turns.
  auto takeDue(TimePoint Now, std::size_t Most) -> std::vector<Due>;
  /// Counts a stop as sent.
  auto recordSent(const TaskId &Task) -> void;
  auto tasks() const -> std::vector<TaskId>;

private:
  struct State {
    TimePoint Since_{};
    TimePoint Next_{};
    int Sent_ = 0;
    bool Overdue_ = false;
  };

  auto setNext(const TaskId &Task, State &Each, TimePoint Next) -> void;

  std::map<TaskId, State> States_;
  /// The turns of all tasks, in their order.
  std::set<std::pair<TimePoint, TaskId>> Turns_;
};

} // namespace skylark
