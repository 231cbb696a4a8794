/// \file
/// Defines an agent's decisions on work that fills beside tasks that serve.
#pragma once

#include "core/AgentOutput.h"
#include "core/PacePlan.h"
#include "core/TailWatch.h"

#include <map>

namespace skylark {

/// What is to be done after one look.
struct SharingOrders {
  std::vector<PaceOnWorker> Paces_;
  /// The serving task that decided, in words for the log.
  std::string Because_;
  /// Tasks that must go on elsewhere.
  std::vector<std::pair<TaskId, AttemptNumber>> Evictions_;
  SharingSample Sample_;
};

/// Keeps serving tasks within their targets: paces what presses them to the
/// room that they leave, and sends away what gets none.
class ShareGuard {
public:
  auto look(TimePoint Now, const std::vector<SharingTask> &Tasks)
      -> SharingOrders;
  auto adopt(const PressTable &Table) -> void { Known_.adopt(Table); }
  auto table() const -> const PressTable & { return Known_.table(); }
  /// Takes room for a task that fills and is about to start. The only task of
  /// its job starts even with little room, if all tails are within targets.
  /// \returns its first pace in percent; 0 if it must not start now.
  auto admit(TimePoint Now, const SharingTask &Filling) -> std::uint32_t;
  /// The pace at which an admitted task has to begin, in percent.
  auto startPace(const TaskId &Task, AttemptNumber Attempt) const
      -> std::uint32_t;

private:
  struct Paced {
    AttemptNumber Attempt_ = 0;
    std::uint32_t Percent_ = FullPace;
    TimePoint OrderedAt_{};
    /// Since when it rests.
    TimePoint PausedAt_{};
  };

  auto noteTails(TimePoint Now, const std::vector<SharingTask> &Tasks) -> void;
  auto isDoubtful(TimePoint Now, const std::vector<SharingTask> &Tasks) const
      -> bool;
  auto roomsOf(const std::vector<SharingTask> &Tasks) const
      -> std::vector<ServingRoom>;
  auto paceOf(const SharingTask &Filling) const -> std::uint32_t;
  auto explain(const std::vector<SharingTask> &Tasks) const -> std::string;
  auto planOrder(const std::vector<SharingTask> &Tasks) const
      -> std::vector<const SharingTask *>;
  auto settle(TimePoint Now, const SharingTask &Filling, std::uint32_t Wanted,
              SharingOrders &Orders) -> void;

  PressKnowledge Known_;
  TailWatch Watch_;
  std::map<TaskId, Paced> Paced_;
  /// Since when each serving task is over its target.
  std::map<TaskId, TimePoint> OverSince_;
  /// Whether what is known failed to explain the last look.
  bool Doubtful_ = false;
  /// What the serving tasks have left since the last look.
  std::vector<ServingRoom> Rooms_;
};

} // namespace skylark
