#include "core/TailTracker.h"

#include <algorithm>
#include <cmath>

namespace skylark {
namespace {

/// Time in which the gap between a tail and its steady state shrinks to 1/e.
constexpr Millis TailTimeConstant{450};
/// Samples further apart than this are not compared.
constexpr Millis MaxComparableInterval{900};
/// Lower limit of the estimated steady state, as a ratio to the measured tail.
constexpr double MinSteadyStateRatio = 0.3;
/// Weight of the newest sample in the moving average of the baseline.
constexpr double BaselineWeight = 0.5;

/// Extrapolates the steady state, in milliseconds, from two tails of the
/// exponential approach.
auto steadyStateTail(double Previous, double Tail, Duration Elapsed) -> double {
  const auto Remaining =
      std::exp(-std::chrono::duration<double>(Elapsed) /
               std::chrono::duration<double>(TailTimeConstant));
  const auto SteadyState = (Tail - Remaining * Previous) / (1.0 - Remaining);
  return std::max({1.0, SteadyState, MinSteadyStateRatio * Tail});
}

} // namespace

auto TailTracker::estimate(const ColocatedTask &Serving, Duration Elapsed,
                           double Growth) const -> TailEstimate {
  TailEstimate Estimate;
  Estimate.Tail_ = Serving.Tail_;
  const auto Tail = std::max(1.0, static_cast<double>(Serving.Tail_.count()));
  const auto Previous = Estimates_.find(Serving.Task_);
  if (Previous == Estimates_.end() || Elapsed > MaxComparableInterval ||
      Elapsed <= Duration{0}) {
    Estimate.SteadyState_ = std::log(Tail);
    Estimate.Baseline_ = Estimate.SteadyState_ - Growth;
    return Estimate;
  }
  const auto &Last = Previous->second;
  Estimate.SteadyState_ = std::log(
      steadyStateTail(static_cast<double>(Last.Tail_.count()), Tail, Elapsed));
  Estimate.Baseline_ =
      Last.Baseline_ +
      BaselineWeight * (Estimate.SteadyState_ - Growth - Last.Baseline_);
  Estimate.Change_ = Estimate.SteadyState_ - Last.SteadyState_;
  Estimate.ChangeKnown_ = true;
  return Estimate;
}

auto TailTracker::observe(TimePoint Now,
                          const std::vector<ColocatedTask> &Tasks,
                          const InterferencePredictor &Predictor) -> void {
  auto Previous = std::move(MilliCoresInUse_);
  MilliCoresInUse_.clear();
  for (const auto &Each : Tasks)
    if (Each.BestEffort_)
      MilliCoresInUse_[Each.Image_] += Each.MilliCores_;
  MilliCoresChange_ = MilliCoresInUse_;
  for (const auto &[Image, MilliCores] : Previous)
    MilliCoresChange_[Image] -= MilliCores;
  std::map<TaskId, TailEstimate> Estimates;
  for (const auto &Each : Tasks) {
    // A task that has just started has no tail yet.
    if (!Each.isServing() || Each.Tail_ <= Millis{0})
      continue;
    double Growth = 0;
    for (const auto &[Image, MilliCores] : MilliCoresInUse_)
      Growth += Predictor.predictGrowth(Each.Image_, Image, MilliCores);
    Estimates[Each.Task_] = estimate(Each, Now - ObservedAt_, Growth);
  }
  Estimates_ = std::move(Estimates);
  ObservedAt_ = Now;
}

auto TailTracker::find(const TaskId &Task) const -> const TailEstimate * {
  const auto Found = Estimates_.find(Task);
  return Found == Estimates_.end() ? nullptr : &Found->second;
}

auto TailTracker::sample(const std::vector<ColocatedTask> &Tasks) const
    -> ColocationSample {
  ColocationSample Sample;
  for (const auto &Each : Tasks) {
    const auto *Estimate = find(Each.Task_);
    if (Estimate != nullptr)
      Sample.Serving_.push_back({Each.Image_, Each.Target_, Each.Tail_,
                                 Estimate->Baseline_, Estimate->Change_,
                                 Estimate->ChangeKnown_});
  }
  for (const auto &[Image, Change] : MilliCoresChange_) {
    const auto InUse = MilliCoresInUse_.find(Image);
    Sample.BestEffortWork_.push_back(
        {Image, InUse == MilliCoresInUse_.end() ? 0 : InUse->second, Change});
  }
  return Sample;
}

} // namespace skylark
