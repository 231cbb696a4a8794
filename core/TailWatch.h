/// \file
/// Defines the reading of serving tasks' tails: where each is heading, and what
/// part of it is the task's own.
#pragma once

#include "core/Interference.h"
#include "core/SharingTask.h"

#include <map>
#include <vector>

namespace skylark {

/// What the looks so far tell of one serving task. All levels are natural
/// logarithms of milliseconds.
struct TailReading {
  Millis Tail_{0};
  /// The level that the tail approaches while its neighbours work as they do.
  double Settled_ = 0;
  /// The level without work that fills, as known of late.
  double Own_ = 0;
  /// Growth of Settled_ since the look before, if that can be told.
  double Change_ = 0;
  bool Comparable_ = false;
};

/// Follows the tails on one worker. A tail follows its neighbours' work with a
/// delay: it closes the gap to its settled level exponentially.
class TailWatch {
public:
  auto look(TimePoint Now, const std::vector<SharingTask> &Tasks,
            const PressKnowledge &Known) -> void;
  /// The reading of a serving task at the last look; null if it wasn't there.
  auto find(const TaskId &Task) const -> const TailReading *;
  /// What is worth telling of the last look.
  auto sample(const std::vector<SharingTask> &Tasks) const -> SharingSample;

private:
  auto read(const SharingTask &Serving, Duration Since, double Press) const
      -> TailReading;

  TimePoint LookedAt_{};
  std::map<TaskId, TailReading> Readings_;
  /// By filling image, in thousandths of a processor: in use at the last look,
  /// and growth since the one before.
  std::map<std::string, std::int64_t> Use_;
  std::map<std::string, std::int64_t> UseChange_;
};

} // namespace skylark
