#include "core/ShareGuard.h"

#include <algorithm>
#include <set>

namespace skylark {
namespace {

constexpr std::uint32_t Paused = 0;
constexpr std::uint32_t FullSpeed = 100;
/// A paused task works again once all tails are below this share of their
/// targets.
constexpr double ResumeShare = 0.7;
/// From this share on, what may disturb the task is paused.
constexpr double PauseShare = 0.95;
/// A task that has been paused for this long goes elsewhere.
constexpr Millis EvictAfter{1500};
/// How long a serving task may stay over its target before what is known of
/// its neighbours is doubted.
constexpr Millis DoubtKnowledgeAfter{500};
/// An order to pace may be lost, or overtaken by an older one.
constexpr Millis RepeatPaceAfter{1500};
/// Share of the recent use that one look keeps.
constexpr double UseMemory = 0.5;
/// Growth of a tail's logarithm for one processor that is taken for harmless.
constexpr double HarmlessPress = 0.04;
constexpr std::int64_t ReferenceMilliCores = 1000;

auto serves(const SharingTask &Task) -> bool {
  return !Task.Fills_ && Task.Target_ > Millis{0};
}

auto shareOf(const SharingTask &Serving) -> double {
  return static_cast<double>(Serving.Tail_.count()) /
         static_cast<double>(Serving.Target_.count());
}

} // namespace

auto ShareGuard::sampleOf(const std::vector<SharingTask> &Tasks)
    -> SharingSample {
  std::map<std::string, std::int64_t> Use;
  SharingSample Sample;
  for (const auto &Each : Tasks) {
    if (Each.Fills_)
      Use[Each.Image_] += Each.MilliCores_;
    if (serves(Each))
      Sample.Serving_.push_back({Each.Image_, Each.Target_, Each.Tail_});
  }
  for (auto &[Image, Recent] : RecentMilliCores_)
    Recent *= UseMemory;
  for (const auto &[Image, MilliCores] : Use)
    RecentMilliCores_[Image] +=
        (1.0 - UseMemory) * static_cast<double>(MilliCores);
  for (auto Each = RecentMilliCores_.begin();
       Each != RecentMilliCores_.end();) {
    if (Each->second < 1.0) {
      Each = RecentMilliCores_.erase(Each);
      continue;
    }
    Sample.Filling_.push_back(
        {Each->first, static_cast<std::int64_t>(Each->second)});
    ++Each;
  }
  return Sample;
}

auto ShareGuard::noteTails(TimePoint Now, const std::vector<SharingTask> &Tasks)
    -> void {
  std::map<TaskId, TimePoint> Over;
  for (const auto &Each : Tasks) {
    if (!serves(Each) || shareOf(Each) <= 1.0)
      continue;
    const auto Before = OverSince_.find(Each.Task_);
    Over[Each.Task_] = Before == OverSince_.end() ? Now : Before->second;
  }
  OverSince_ = std::move(Over);
}

auto ShareGuard::mayRun(TimePoint Now, const SharingTask &Filling,
                        const std::vector<SharingTask> &Tasks) const -> bool {
  // What was learned may be wrong. Where a task stays over its target although
  // all that is known to press it is paused, everything that fills is.
  const auto LongOver =
      std::any_of(OverSince_.begin(), OverSince_.end(), [&](const auto &Each) {
        return Each.second + DoubtKnowledgeAfter <= Now;
      });
  if (LongOver)
    return false;
  const auto Found = Paced_.find(Filling.Task_);
  const auto IsPaused =
      Found != Paced_.end() && Found->second.Percent_ == Paused;
  const auto Limit = IsPaused ? ResumeShare : PauseShare;
  return std::none_of(
      Tasks.begin(), Tasks.end(), [&](const SharingTask &Serving) {
        return serves(Serving) && shareOf(Serving) >= Limit &&
               Known_.press(Serving.Image_, Filling.Image_,
                            ReferenceMilliCores) > HarmlessPress;
      });
}

auto ShareGuard::look(TimePoint Now, const std::vector<SharingTask> &Tasks)
    -> SharingOrders {
  SharingOrders Orders;
  Orders.Sample_ = sampleOf(Tasks);
  noteTails(Now, Tasks);
  std::set<TaskId> Present;
  for (const auto &Each : Tasks) {
    if (!Each.Fills_)
      continue;
    Present.insert(Each.Task_);
    const auto MayRun = mayRun(Now, Each, Tasks);
    const auto Wanted = MayRun ? FullSpeed : Paused;
    auto &Known = Paced_[Each.Task_];
    if (Known.Attempt_ != Each.Attempt_)
      Known = {Each.Attempt_, FullSpeed, {}, {}};
    const auto Changed = Known.Percent_ != Wanted;
    if (Changed && !MayRun)
      Known.PausedAt_ = Now;
    const auto Repeat = !MayRun && Known.OrderedAt_ + RepeatPaceAfter <= Now;
    if (Changed || Repeat) {
      Known.Percent_ = Wanted;
      Known.OrderedAt_ = Now;
      Orders.Paces_.push_back({Each.Task_, Each.Attempt_, Wanted});
    }
    if (!MayRun && Known.PausedAt_ + EvictAfter <= Now)
      Orders.Evictions_.push_back({Each.Task_, Each.Attempt_});
  }
  for (auto Each = Paced_.begin(); Each != Paced_.end();)
    Each =
        Present.count(Each->first) == 0 ? Paced_.erase(Each) : std::next(Each);
  return Orders;
}

} // namespace skylark
