/// \file
/// Defines the accounting of what the tasks of a job wait for, so that the log
/// and the metrics show why a job was late.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylark {

/// What a task does from the moment at which it is ready to its end. Where no
/// worker was found for a task, the reason is that of the latest try.
enum class TaskWait : std::uint8_t {
  /// Not tried: other tasks come first, or its delay after a failure lasts.
  Turn,
  /// No worker accepts the task at all.
  Worker,
  /// No worker that accepts the task has enough free resources; for a
  /// best-effort task, enough unused processors.
  Room,
  /// Every worker with enough resources has a serving task that would suffer.
  Interference,
  /// A worker is chosen; the binding is being committed.
  Commit,
  /// The binding is committed; the task is not reported running.
  Start,
  Run,
  Count
};

/// The label of `Wait` in logs and metrics.
auto taskWaitText(TaskWait Wait) -> std::string_view;

/// Time spent in each kind of wait.
using WaitTimes =
    std::array<Duration, static_cast<std::size_t>(TaskWait::Count)>;

/// What made one job take its time.
struct JobWaitSummary {
  /// The times of the task of each step that ended last, summed over the steps.
  /// For a job whose steps run one after the other, these times add up to the
  /// job's time.
  WaitTimes LastTasks_{};
  /// The times of all tasks.
  WaitTimes AllTasks_{};
  /// Number of attempts that ended without a result.
  std::uint32_t AttemptsLost_ = 0;

  auto text() const -> std::string;
};

/// Accounts for the waits of the tasks that one owner handles. A new owner
/// starts without the times spent under an earlier one.
class JobWaits {
public:
  /// Records that the task now waits for `Wait`; no effect if it does already.
  auto enter(TimePoint Now, const TaskId &Task, TaskWait Wait) -> void;
  /// Records that the task waits to be bound, unless the reason that it is not
  /// bound is known already.
  auto becomePending(TimePoint Now, const TaskId &Task) -> void;
  /// Counts an attempt of the job that ended without a result.
  auto attemptLost(const JobId &Job) -> void;
  /// Records that the task has ended; no effect if it isn't accounted for.
  auto end(TimePoint Now, const TaskId &Task) -> void;
  /// Removes the job. \returns its account; none if no task was accounted for.
  auto take(const JobId &Job) -> std::optional<JobWaitSummary>;
  auto clear() -> void { Jobs_.clear(); }
  /// The times of all tasks that have ended, since the last call.
  auto takeEnded() -> WaitTimes { return std::exchange(Ended_, {}); }

private:
  /// An occurrence of a step.
  using StepOccurrence = std::pair<std::uint32_t, std::uint32_t>;
  struct OpenTask {
    TaskWait Wait_ = TaskWait::Turn;
    TimePoint Since_{};
    WaitTimes Times_{};
  };
  struct JobAccount {
    std::map<TaskId, OpenTask> Open_;
    /// Of the task that ended last.
    std::map<StepOccurrence, WaitTimes> LastTasks_;
    WaitTimes AllTasks_{};
    std::uint32_t AttemptsLost_ = 0;
  };

  static auto change(TimePoint Now, OpenTask &Task, TaskWait Wait) -> void;

  std::map<JobId, JobAccount> Jobs_;
  WaitTimes Ended_{};
};

} // namespace skylark
