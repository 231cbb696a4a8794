/// \file
/// Declares the record of what was disturbed and when.
#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace skylark::soak {

using SteadyTime = std::chrono::steady_clock::time_point;

enum class Planning { Planned, Unplanned };

/// Knows which machines have been calm for how long. Thread-safe.
class Disruptions {
public:
  /// A disruption of no length, or one that goes on until end().
  auto note(const std::string &Machine, Planning Kind) -> void;
  auto begin(const std::string &Machine, Planning Kind) -> void;
  auto end(const std::string &Machine) -> void;

  /// Whether a machine has been undisturbed since a time.
  auto calmSince(const std::string &Machine, SteadyTime Since) const -> bool;
  /// Whether everything has.
  auto allCalmSince(SteadyTime Since) const -> bool;
  /// Whether there was planned work at most since a time.
  auto onlyPlannedSince(SteadyTime Since) const -> bool;

private:
  struct State {
    int Open_ = 0;
    SteadyTime LastAt_{};
    SteadyTime LastUnplannedAt_{};
    bool OpenIsUnplanned_ = false;
  };

  mutable std::mutex Mutex_;
  std::map<std::string, State> States_;
};

} // namespace skylark::soak
