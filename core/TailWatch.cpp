#include "core/TailWatch.h"

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

auto TailWatch::estimate(const SharingTask &Serving, Duration Elapsed,
                         double Growth) const -> TailEstimate {
  TailEstimate Estimate;
  Estimate.Tail_ = Serving.Tail_;
  const auto Tail = std::max(1.0, static_cast<double>(Serving.Tail_.count()));
  const auto Previous = Estimates_.find(Serving.Task_);
  if (Previous == Estimates_.end() || Elapsed > MaxComparableInterval ||
      Elapsed <= Duration{0}) {
    Estimate.Settled_ = std::log(Tail);
    Estimate.Own_ = Estimate.Settled_ - Growth;
    return Estimate;
  }
  const auto &Last = Previous->second;
  Estimate.Settled_ = std::log(
      steadyStateTail(static_cast<double>(Last.Tail_.count()), Tail, Elapsed));
  Estimate.Own_ =
      Last.Own_ + BaselineWeight * (Estimate.Settled_ - Growth - Last.Own_);
  Estimate.Change_ = Estimate.Settled_ - Last.Settled_;
  Estimate.Comparable_ = true;
  return Estimate;
}

auto TailWatch::look(TimePoint Now, const std::vector<SharingTask> &Tasks,
                     const PressKnowledge &Predictor) -> void {
  auto Previous = std::move(MilliCoresInUse_);
  MilliCoresInUse_.clear();
  for (const auto &Each : Tasks)
    if (Each.Fills_)
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
      Growth += Predictor.press(Each.Image_, Image, MilliCores);
    Estimates[Each.Task_] = estimate(Each, Now - ObservedAt_, Growth);
  }
  Estimates_ = std::move(Estimates);
  ObservedAt_ = Now;
}

auto TailWatch::find(const TaskId &Task) const -> const TailEstimate * {
  const auto Found = Estimates_.find(Task);
  return Found == Estimates_.end() ? nullptr : &Found->second;
}

auto TailWatch::sample(const std::vector<SharingTask> &Tasks) const
    -> SharingSample {
  SharingSample Sample;
  for (const auto &Each : Tasks) {
    const auto *Estimate = find(Each.Task_);
    if (Estimate != nullptr)
      Sample.Serving_.push_back({Each.Image_, Each.Target_, Each.Tail_,
                                 Estimate->Own_, Estimate->Change_,
                                 Estimate->Comparable_});
  }
  for (const auto &[Image, Change] : MilliCoresChange_) {
    const auto InUse = MilliCoresInUse_.find(Image);
    Sample.Filling_.push_back(
        {Image, InUse == MilliCoresInUse_.end() ? 0 : InUse->second, Change});
  }
  return Sample;
}

} // namespace skylark
