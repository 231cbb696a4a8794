/// \file
/// Defines two services of unequal size for the randomised runs. All workers of
/// the smaller one crash in the middle of a run and stay away.
#pragma once

#include "core/Job.h"

#include <string>

namespace skylark::Fuzz {

class UnequalServices {
public:
  /// \param Agents number of all agents.
  UnequalServices(bool Enabled, std::size_t Agents)
      : Enabled_(Enabled), Agents_(Agents) {}

  auto enabled() const -> bool { return Enabled_; }
  /// Whether the agent's worker serves the smaller service.
  auto isInSmaller(std::size_t Agent) const -> bool;
  auto serviceOf(std::size_t Agent) const -> ServiceName;
  /// Makes a job one of the smaller service, of which some ask for a label that
  /// no worker has.
  static auto moveToSmaller(JobDeclaration &Job, bool WithLabel) -> void;
  static auto moveToLarger(JobDeclaration &Job) -> void;
  /// Records that the smaller service has lost its workers.
  auto loseSmaller() -> void { IsLost_ = true; }
  /// Whether the agent's worker has crashed for good.
  auto isLost(std::size_t Agent) const -> bool {
    return IsLost_ && isInSmaller(Agent);
  }
  /// Whether no worker can run what is left of the job.
  auto isLost(const JobDeclaration &Job) const -> bool;

private:
  bool Enabled_;
  std::size_t Agents_;
  bool IsLost_ = false;
};

} // namespace skylark::Fuzz
