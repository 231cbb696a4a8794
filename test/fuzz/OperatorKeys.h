/// \file
/// Runs the client of the platform's metadata store against a fake store on a
/// virtual clock, under random disruptions, and checks that the operator's
/// changes come into force in time and stay in force.
#pragma once

#include "core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace skylark::Fuzz {

/// What disturbs the store, the link to it, or the operator's peace for a
/// while.
enum class StoreDisruption : std::uint8_t {
  /// Watches hear nothing, then the history is dropped.
  DeafWatches,
  DroppedHistory,
  /// Events come in any order.
  ShuffledEvents,
  /// Answers are late and overtake each other.
  LateAnswers,
  /// Range reads return an earlier state.
  StaleRanges,
  LostAnswers,
  Refusals,
  /// The operator writes configurations in quick succession.
  ChangeSeries,
  Count
};

struct TimedDisruption {
  StoreDisruption Kind_{};
  Micros Start_{};
  Micros End_{};
};

struct TimedFreeze {
  Micros Start_{};
  Micros End_{};
};

/// What happens in a run; the same seed gives the same plan.
struct OperatorKeysPlan {
  std::uint64_t Seed_ = 0;
  /// Size in bytes to which configurations are padded.
  std::size_t ConfigurationSize_ = 0;
  std::size_t LinkBytesPerMillisecond_ = 0;
  std::vector<TimedDisruption> Disruptions_;
  /// When the entry is frozen.
  std::vector<TimedFreeze> Freezes_;
};

auto planOperatorKeys(std::uint64_t Seed) -> OperatorKeysPlan;

/// Carries out a plan. \returns the violations, none if there were none.
auto runOperatorKeys(const OperatorKeysPlan &Plan) -> std::vector<std::string>;

/// A description of the plan for the report of a failed run.
auto describe(const OperatorKeysPlan &Plan) -> std::string;

} // namespace skylark::Fuzz
