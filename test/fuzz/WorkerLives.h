/// \file
/// Runs agents with the client of the platform's workers against workers that
/// crash and start again under their ids, in virtual time and under random
/// faults, and checks that no life of a worker does what was meant for another.
#pragma once

#include "core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace skylark::Fuzz {

enum class LivesFault : std::uint8_t {
  /// Happens once; the worker is back at the end.
  Crash,
  /// Calls are carried out, but their connections end.
  BrokenCalls,
  RefusedCalls,
  /// Calls are carried out late, by the same life.
  LateCalls,
  SlowAnswers,
  LateHeartbeats,
  /// The agent's connection to its owner ends.
  CutOwner,
  /// Its messages are lost.
  SilentOwner,
  /// The agent's state machine stands still.
  HeldAgent,
  Count
};

struct TimedLivesFault {
  LivesFault Kind_{};
  std::size_t Agent_ = 0;
  Micros Start_{};
  Micros End_{};
};

/// What happens in a run; the same seed gives the same plan.
struct WorkerLivesPlan {
  std::uint64_t Seed_ = 0;
  /// Whether late calls to one life may be carried out by the next.
  bool LateAcrossLives_ = false;
  std::vector<TimedLivesFault> Faults_;
};

auto planWorkerLives(std::uint64_t Seed) -> WorkerLivesPlan;

/// What a run has shown.
struct WorkerLivesResult {
  std::vector<std::string> Violations_;
  int Starts_ = 0;
  int Lives_ = 0;
};

auto runWorkerLives(const WorkerLivesPlan &Plan) -> WorkerLivesResult;

/// A description of the plan for the report of a failed run.
auto describe(const WorkerLivesPlan &Plan) -> std::string;

} // namespace skylark::Fuzz
