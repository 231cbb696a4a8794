#include "core/TailWatch.h"

#include <algorithm>
#include <cmath>

namespace skylark {
namespace {

/// Time in which a tail closes all but 1/e of the gap to its settled level.
constexpr Millis TailSettlesIn{450};
/// Looks further apart than this can't be compared.
constexpr Millis ComparableWithin{900};
/// A settled level is never taken to be below this share of the tail.
constexpr double LeastSettledShare = 0.3;
/// Weight of the newest look in the own level.
constexpr double OwnLevelWeight = 0.5;

auto settledTail(double Before, double Tail, Duration Since) -> double {
  const auto Left = std::exp(-std::chrono::duration<double>(Since) /
                             std::chrono::duration<double>(TailSettlesIn));
  const auto Settled = (Tail - Left * Before) / (1.0 - Left);
  return std::max({1.0, Settled, LeastSettledShare * Tail});
}

} // namespace

auto TailWatch::read(const SharingTask &Serving, Duration Since,
                     double Press) const -> TailReading {
  TailReading Reading;
  Reading.Tail_ = Serving.Tail_;
  const auto Tail = std::max(1.0, static_cast<double>(Serving.Tail_.count()));
  const auto Before = Readings_.find(Serving.Task_);
  if (Before == Readings_.end() || Since > ComparableWithin ||
      Since <= Duration{0}) {
    Reading.Settled_ = std::log(Tail);
    Reading.Own_ = Reading.Settled_ - Press;
    return Reading;
  }
  const auto &Last = Before->second;
  Reading.Settled_ = std::log(
      settledTail(static_cast<double>(Last.Tail_.count()), Tail, Since));
  Reading.Own_ =
      Last.Own_ + OwnLevelWeight * (Reading.Settled_ - Press - Last.Own_);
  Reading.Change_ = Reading.Settled_ - Last.Settled_;
  Reading.Comparable_ = true;
  return Reading;
}

auto TailWatch::look(TimePoint Now, const std::vector<SharingTask> &Tasks,
                     const PressKnowledge &Known) -> void {
  auto Before = std::move(Use_);
  Use_.clear();
  for (const auto &Each : Tasks)
    if (Each.Fills_)
      Use_[Each.Image_] += Each.MilliCores_;
  UseChange_ = Use_;
  for (const auto &[Image, MilliCores] : Before)
    UseChange_[Image] -= MilliCores;
  std::map<TaskId, TailReading> Readings;
  for (const auto &Each : Tasks) {
    // A task that has just begun has no tail yet.
    if (!Each.serves() || Each.Tail_ <= Millis{0})
      continue;
    double Press = 0;
    for (const auto &[Image, MilliCores] : Use_)
      Press += Known.press(Each.Image_, Image, MilliCores);
    Readings[Each.Task_] = read(Each, Now - LookedAt_, Press);
  }
  Readings_ = std::move(Readings);
  LookedAt_ = Now;
}

auto TailWatch::find(const TaskId &Task) const -> const TailReading * {
  const auto Found = Readings_.find(Task);
  return Found == Readings_.end() ? nullptr : &Found->second;
}

auto TailWatch::sample(const std::vector<SharingTask> &Tasks) const
    -> SharingSample {
  SharingSample Sample;
  for (const auto &Each : Tasks) {
    const auto *Reading = find(Each.Task_);
    if (Reading != nullptr)
      Sample.Serving_.push_back({Each.Image_, Each.Target_, Each.Tail_,
                                 Reading->Own_, Reading->Change_,
                                 Reading->Comparable_});
  }
  for (const auto &[Image, Change] : UseChange_) {
    const auto InUse = Use_.find(Image);
    Sample.Filling_.push_back(
        {Image, InUse == Use_.end() ? 0 : InUse->second, Change});
  }
  return Sample;
}

} // namespace skylark
