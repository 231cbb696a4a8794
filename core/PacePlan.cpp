#include "core/PacePlan.h"

#include <algorithm>

namespace skylark {
namespace {

/// Predicted growth of a tail's logarithm up to which it never limits a pace.
constexpr double NegligibleGrowth = 0.03;
/// Paces are rounded down to a multiple of this, in percent, so that noise
/// rarely changes them.
constexpr std::uint32_t PaceStep = 10;
/// Least pace of a task that isn't paused, in percent.
constexpr std::uint32_t MinPace = 10;
constexpr std::int64_t MilliCoresPerCore = 1000;

} // namespace

auto maxGrowthPerCore(const BestEffortTask &Task,
                      const InterferencePredictor &Predictor,
                      const std::vector<ServingSlack> &Slacks) -> double {
  double Highest = 0;
  for (const auto &Slack : Slacks)
    Highest =
        std::max(Highest, Predictor.predictGrowth(Slack.Image_, Task.Image_,
                                                  MilliCoresPerCore));
  return Highest;
}

auto allocatePace(const BestEffortTask &Task,
                  const InterferencePredictor &Predictor,
                  std::vector<ServingSlack> &Slacks) -> std::uint32_t {
  auto Fraction = 1.0;
  for (const auto &Slack : Slacks) {
    const auto Growth = Predictor.predictGrowth(Slack.Image_, Task.Image_,
                                                Task.FullMilliCores_);
    if (Growth <= NegligibleGrowth)
      continue;
    if (Slack.StaysOverTarget_)
      return 0;
    Fraction = std::min(Fraction, Slack.Remaining_ / Growth);
  }
  const auto Percent =
      static_cast<std::uint32_t>(std::max(0.0, Fraction) * FullPace) /
      PaceStep * PaceStep;
  if (Percent < MinPace)
    return 0;
  for (auto &Slack : Slacks)
    Slack.Remaining_ -= Predictor.predictGrowth(Slack.Image_, Task.Image_,
                                                Task.FullMilliCores_) *
                        Percent / FullPace;
  return Percent;
}

} // namespace skylark
