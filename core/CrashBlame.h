/// \file
/// Defines which tasks are blamed for the crash of a worker, and how many
/// crashes a task survives before it is given up.
#pragma once

#include "core/Job.h"

#include <map>
#include <optional>

namespace skylark {

/// Blame for one crash, by what is known of the task at that time. Blame adds
/// up over a task's attempts.
namespace Blame {
/// The task was on the worker, but not among those that had just started.
constexpr std::uint32_t Present = 4;
/// One of several tasks that had just started, and none of the others was more
/// suspect.
constexpr std::uint32_t Shared = 9;
/// The only task that had just started, or the only suspect among those.
constexpr std::uint32_t Sole = 11;
/// A task with this much blame is a suspect: nothing else starts on its worker
/// until it has run there for a while.
constexpr std::uint32_t Suspect = 9;
/// A task with this much blame is given up.
constexpr std::uint32_t Limit = 20;

static_assert(Shared + Sole >= Limit && 2 * Shared < Limit,
              "two crashes suffice only if the task was alone in one of them");
static_assert(2 * Shared + Present >= Limit && 5 * Present >= Limit,
              "three crashes suffice if it was twice among the suspects, and "
              "five in any case");
/// Crashes that a task survives if it was seen running before fewer than
/// SeenToGiveUp of them: it may not have begun on those workers.
constexpr std::uint32_t SeenToGiveUp = 2;
constexpr std::uint32_t UnseenToGiveUp = 5;

static_assert(2 * Present < Suspect,
              "a task that met two crashes by chance is no suspect");
} // namespace Blame

/// Whether a task with these crashes is given up.
auto isGivenUp(const CrashTally &Crashes) -> bool;

/// Records which tasks run on which worker and since when, to find the likely
/// cause of a crash: a task that crashes its worker does so soon after its
/// start, so those that started last are blamed most.
class CrashBlame {
public:
  /// Records that a task is reported as running.
  /// \param EarlierBlame blame for crashes before this attempt.
  auto running(const WorkerKey &Worker, const TaskId &Task, TimePoint Now,
               std::uint32_t EarlierBlame) -> void;
  /// Records that the worker was not known to be silent at this time.
  auto responsive(const WorkerKey &Worker, TimePoint Now) -> void;
  /// Records that an attempt ended by any other cause than the loss of its
  /// worker.
  auto ended(const WorkerKey &Worker, const TaskId &Task) -> void;
  /// Returns a task's blame for the crash of its worker. It doesn't depend on
  /// the order in which the worker's tasks are asked for.
  auto blameFor(const WorkerKey &Worker, const TaskId &Task,
                bool LongRunning) const -> std::uint32_t;

  /// Returns what the crash of its worker counts for a task.
  auto tallyFor(const WorkerKey &Worker, const TaskId &Task,
                bool LongRunning) const -> CrashTally;

  /// Records that a suspect was bound to the worker.
  auto startTrial(const WorkerKey &Worker, const TaskId &Task, TimePoint Now)
      -> void;
  /// Records that a task is no longer bound to the agent's worker.
  auto endTrial(const AgentId &Agent, const TaskId &Task) -> void;
  /// Whether a suspect is bound to the agent's worker that has not yet run long
  /// enough there to be cleared. A trial that doesn't begin is given up.
  auto isTrialAt(const AgentId &Agent, TimePoint Now) const -> bool;

  auto clear() -> void;

private:
  struct RunningTask {
    TimePoint Since_{};
    std::uint32_t EarlierBlame_ = 0;
  };
  struct WorkerRecord {
    std::map<TaskId, RunningTask> Tasks_;
    /// When a task was last reported to have started.
    TimePoint LastStartAt_{};
    TimePoint ResponsiveAt_{};
  };
  struct Trial {
    WorkerKey Worker_;
    TaskId Task_;
    TimePoint BoundAt_{};
  };
  struct RecentStarts {
    std::size_t Tasks_ = 0;
    std::size_t Suspects_ = 0;
  };

  /// Returns when a task must have started at the earliest to count as just
  /// started when the worker crashed.
  static auto recentSince(const WorkerRecord &Record) -> TimePoint;
  static auto countRecent(const WorkerRecord &Record) -> RecentStarts;
  auto findRunning(const WorkerKey &Worker, const TaskId &Task) const
      -> const RunningTask *;

  std::map<WorkerKey, WorkerRecord> Workers_;
  std::map<AgentId, Trial> Trials_;
};

} // namespace skylark
