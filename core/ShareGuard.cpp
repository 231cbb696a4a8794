#include "core/ShareGuard.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace skylark {
namespace {

/// Share of a target up to which work that fills may bring a tail.
constexpr double PlannedShare = 0.85;
/// A paused task works again once the tails that it presses are below this
/// share of their targets.
constexpr double ResumeShare = 0.7;
/// A paused task goes elsewhere after this time, and later where that loses
/// work or leaves its job with nothing at work.
constexpr Millis EvictAfter{1500};
constexpr Millis EvictLosingAfter{5000};
/// How long a serving task may stay over its target before what is known of
/// its neighbours is doubted, and before that holds even for a falling tail.
constexpr Millis DoubtKnowledgeAfter{500};
constexpr Millis DoubtFallingAfter{1500};
/// An order to pace may be lost, or overtaken by an older one.
constexpr Millis RepeatPaceAfter{1500};
/// Changes of pace, in percent, that are not worth an order.
constexpr std::uint32_t SmallChange = 10;
/// Least pace, in percent, at which it is worth to start a task.
constexpr std::uint32_t LeastStartPace = 30;
/// Pace, in percent, of a task that starts although there is no room.
constexpr std::uint32_t InsistentPace = 10;
/// How long a task that was admitted may take to show in a look.
constexpr Millis ListedWithin{2000};

auto fillingOf(const SharingTask &Task, bool Rests) -> FillingTask {
  return {Task.Image_, std::max(Task.FullMilliCores_, Task.MilliCores_), Rests};
}

} // namespace

auto ShareGuard::noteTails(TimePoint Now, const std::vector<SharingTask> &Tasks)
    -> void {
  std::map<TaskId, TimePoint> Over;
  for (const auto &Each : Tasks) {
    if (!Each.serves() || Each.tailShare() <= 1.0)
      continue;
    const auto Before = OverSince_.find(Each.Task_);
    Over[Each.Task_] = Before == OverSince_.end() ? Now : Before->second;
  }
  OverSince_ = std::move(Over);
}

auto ShareGuard::isDoubtful(TimePoint Now,
                            const std::vector<SharingTask> &Tasks) const
    -> bool {
  // What was learned may be wrong. Where a task stays over its target although
  // all that is known to press it rests, everything that fills does.
  return std::any_of(Tasks.begin(), Tasks.end(), [&](const SharingTask &Each) {
    const auto Over = OverSince_.find(Each.Task_);
    const auto *Reading = Watch_.find(Each.Task_);
    if (Over == OverSince_.end() || Reading == nullptr)
      return false;
    const auto Target = std::log(static_cast<double>(Each.Target_.count()));
    const auto Limit =
        Reading->Settled_ < Target ? DoubtFallingAfter : DoubtKnowledgeAfter;
    return Over->second + Limit <= Now;
  });
}

auto ShareGuard::roomsOf(const std::vector<SharingTask> &Tasks) const
    -> std::vector<ServingRoom> {
  std::vector<ServingRoom> Rooms;
  for (const auto &Each : Tasks) {
    const auto *Reading = Watch_.find(Each.Task_);
    if (Reading == nullptr)
      continue;
    const auto Limit =
        std::log(PlannedShare * static_cast<double>(Each.Target_.count()));
    Rooms.push_back({Each.Image_, Limit - Reading->Own_, Each.tailShare() > 1.0,
                     Each.tailShare() >= ResumeShare});
  }
  return Rooms;
}

auto ShareGuard::paceOf(const SharingTask &Filling) const -> std::uint32_t {
  const auto Found = Paced_.find(Filling.Task_);
  const auto Known =
      Found != Paced_.end() && Found->second.Attempt_ == Filling.Attempt_;
  return Known ? Found->second.Percent_ : FullPace;
}

auto ShareGuard::planOrder(const std::vector<SharingTask> &Tasks) const
    -> std::vector<const SharingTask *> {
  // What presses least goes first, since it does most work in the same room;
  // of equals, what is due first.
  using Place = std::tuple<double, WallTime, TaskId, const SharingTask *>;
  std::vector<Place> Places;
  for (const auto &Each : Tasks)
    if (Each.Fills_)
      Places.emplace_back(pressPerCore(fillingOf(Each, false), Known_, Rooms_),
                          Each.Deadline_, Each.Task_, &Each);
  std::sort(Places.begin(), Places.end());
  std::vector<const SharingTask *> Order;
  Order.reserve(Places.size());
  for (const auto &Place : Places)
    Order.push_back(std::get<const SharingTask *>(Place));
  return Order;
}

auto ShareGuard::explain(const std::vector<SharingTask> &Tasks) const
    -> std::string {
  const SharingTask *Tightest = nullptr;
  for (const auto &Each : Tasks)
    if (Watch_.find(Each.Task_) != nullptr &&
        (Tightest == nullptr || Each.tailShare() > Tightest->tailShare()))
      Tightest = &Each;
  if (Tightest == nullptr)
    return "nothing serves";
  const auto Own = std::lround(std::exp(Watch_.find(Tightest->Task_)->Own_));
  return Tightest->Task_.text() + " at " +
         std::to_string(Tightest->Tail_.count()) + " of " +
         std::to_string(Tightest->Target_.count()) + " ms, " +
         std::to_string(Own) + " ms of it its own" +
         (Doubtful_ ? ", what is known of it is doubted" : "");
}

auto ShareGuard::settle(TimePoint Now, const SharingTask &Filling,
                        std::uint32_t Wanted, SharingOrders &Orders) -> void {
  auto &Known = Paced_[Filling.Task_];
  const auto First = Known.Attempt_ != Filling.Attempt_;
  if (First)
    Known = {Filling.Attempt_, FullPace, {}, {}};
  const auto Gap =
      std::max(Wanted, Known.Percent_) - std::min(Wanted, Known.Percent_);
  const auto ToLimit = Wanted == 0 || Wanted == FullPace;
  const auto Changed = Gap > SmallChange || (Gap > 0 && ToLimit);
  if (Changed && Wanted == 0)
    Known.PausedAt_ = Now;
  const auto Repeat =
      Known.Percent_ < FullPace && Known.OrderedAt_ + RepeatPaceAfter <= Now;
  if (Changed)
    Known.Percent_ = Wanted;
  if (Changed || Repeat || (First && Filling.PaceUnknown_)) {
    Known.OrderedAt_ = Now;
    Orders.Paces_.push_back({Filling.Task_, Filling.Attempt_, Known.Percent_});
  }
  const auto Movable = Filling.Checkpoints_ && !Filling.OnlyOne_;
  const auto Patience = Movable ? EvictAfter : EvictLosingAfter;
  if (Known.Percent_ == 0 && Known.PausedAt_ + Patience <= Now)
    Orders.Evictions_.push_back({Filling.Task_, Filling.Attempt_});
}

auto ShareGuard::look(TimePoint Now, const std::vector<SharingTask> &Tasks)
    -> SharingOrders {
  SharingOrders Orders;
  Watch_.look(Now, Tasks, Known_);
  Orders.Sample_ = Watch_.sample(Tasks);
  noteTails(Now, Tasks);
  Doubtful_ = isDoubtful(Now, Tasks);
  Rooms_ = roomsOf(Tasks);
  std::set<TaskId> Present;
  for (const auto *Each : planOrder(Tasks)) {
    Present.insert(Each->Task_);
    const auto Filling = fillingOf(*Each, paceOf(*Each) == 0);
    const auto Wanted = Doubtful_ ? 0 : takeRoom(Filling, Known_, Rooms_);
    settle(Now, *Each, Wanted, Orders);
  }
  if (!Orders.Paces_.empty() || !Orders.Evictions_.empty())
    Orders.Because_ = explain(Tasks);
  for (auto Each = Paced_.begin(); Each != Paced_.end();) {
    const auto Gone = Present.count(Each->first) == 0 &&
                      Each->second.OrderedAt_ + ListedWithin <= Now;
    Each = Gone ? Paced_.erase(Each) : std::next(Each);
  }
  return Orders;
}

auto ShareGuard::admit(TimePoint Now, const SharingTask &Filling)
    -> std::uint32_t {
  auto Left = Rooms_;
  auto Pace = takeRoom(fillingOf(Filling, false), Known_, Left);
  const auto MayInsist = Filling.OnlyOne_ && OverSince_.empty();
  if (Doubtful_ || (Pace < LeastStartPace && !MayInsist))
    return 0;
  Pace = std::max(Pace, InsistentPace);
  Rooms_ = std::move(Left);
  Paced_[Filling.Task_] = {Filling.Attempt_, Pace, Now, {}};
  return Pace;
}

auto ShareGuard::startPace(const TaskId &Task, AttemptNumber Attempt) const
    -> std::uint32_t {
  const auto Found = Paced_.find(Task);
  const auto Known = Found != Paced_.end() && Found->second.Attempt_ == Attempt;
  return Known ? Found->second.Percent_ : FullPace;
}

} // namespace skylark
