#include "core/InterferenceController.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace skylark {
namespace {

/// Best-effort tasks get slack until the predicted tail of a serving task
/// reaches this ratio to its target.
constexpr double MaxPlannedTailRatio = 0.85;
/// Time that a task is paused before it is evicted; longer where the eviction
/// loses work or leaves its job with no running task.
constexpr Millis EvictionDelay{1500};
constexpr Millis CostlyEvictionDelay{5000};
/// How long a serving task may exceed its target before the predictions for
/// its neighbours count as unreliable; longer while its tail is falling below
/// the target.
constexpr Millis OverTargetTimeout{500};
constexpr Millis FallingTailTimeout{1500};
/// A pace below 100 percent is ordered again at this interval, since an order
/// may be lost or overtaken by an older one.
constexpr Millis PaceRepeatInterval{1500};
/// Largest change of pace, in percent, that is not worth an order.
constexpr std::uint32_t IgnoredPaceChange = 10;
/// Least pace, in percent, at which starting a task is worthwhile.
constexpr std::uint32_t MinStartPace = 30;
/// Least pace, in percent, of a task that starts despite too little slack.
constexpr std::uint32_t ForcedStartPace = 10;
/// How long after its last order the pace of a task is kept while no sample
/// contains the task, which may not have started yet.
constexpr Millis UnlistedPaceRetention{2000};

auto bestEffortOf(const ColocatedTask &Task) -> BestEffortTask {
  return {Task.Image_, std::max(Task.FullMilliCores_, Task.MilliCores_)};
}

/// Whether the tail exceeds its target and doesn't fall below it if its
/// neighbours' use of processors stays as it is. The measured tail lags behind
/// a change of that use: beside a tail that is falling, the tasks that raised
/// it have been slowed down already.
auto staysOverTarget(const ColocatedTask &Serving, const TailEstimate &Estimate)
    -> bool {
  const auto Target = std::log(static_cast<double>(Serving.Target_.count()));
  return Serving.tailRatio() > 1.0 && Estimate.SteadyState_ >= Target;
}

} // namespace

auto InterferenceController::recordTails(
    TimePoint Now, const std::vector<ColocatedTask> &Tasks) -> void {
  std::map<TaskId, TimePoint> OverTarget;
  for (const auto &Each : Tasks) {
    if (!Each.isServing() || Each.tailRatio() <= 1.0)
      continue;
    const auto Before = OverTargetSince_.find(Each.Task_);
    OverTarget[Each.Task_] =
        Before == OverTargetSince_.end() ? Now : Before->second;
  }
  OverTargetSince_ = std::move(OverTarget);
}

auto InterferenceController::updateProbe(
    TimePoint Now, const std::vector<ColocatedTask> &Tasks) -> void {
  std::map<TaskId, double> Overloaded;
  for (const auto &Each : Tasks) {
    const auto *Estimate = Tracker_.find(Each.Task_);
    if (Estimate != nullptr && staysOverTarget(Each, *Estimate))
      Overloaded[Each.Task_] =
          std::log(static_cast<double>(Each.Tail_.count()));
  }
  const auto NoneUsesProcessors =
      std::all_of(Tasks.begin(), Tasks.end(), [](const ColocatedTask &Each) {
        return !Each.BestEffort_ || Each.MilliCores_ == 0;
      });
  const auto AllPaused =
      std::all_of(PaceStates_.begin(), PaceStates_.end(),
                  [](const auto &Each) { return Each.second.Percent_ == 0; });
  const auto AllKnown =
      std::all_of(Tasks.begin(), Tasks.end(), [&](const ColocatedTask &Each) {
        return !Each.BestEffort_ || PaceStates_.count(Each.Task_) != 0;
      });
  Probe_.observe(Now, Overloaded, NoneUsesProcessors && AllPaused && AllKnown);
}

auto InterferenceController::areTailsOverTargetByOwnLoad() const -> bool {
  return std::all_of(
      OverTargetSince_.begin(), OverTargetSince_.end(),
      [&](const auto &Each) { return Probe_.isOwnLoad(Each.first); });
}

auto InterferenceController::arePredictionsUnreliable(
    TimePoint Now, const std::vector<ColocatedTask> &Tasks) const -> bool {
  // The model may be wrong. Where a serving task stays over its target although
  // every task predicted to interfere with it is paused, all best-effort tasks
  // are paused.
  return std::any_of(
      Tasks.begin(), Tasks.end(), [&](const ColocatedTask &Each) {
        const auto OverTarget = OverTargetSince_.find(Each.Task_);
        const auto *Estimate = Tracker_.find(Each.Task_);
        if (OverTarget == OverTargetSince_.end() || Estimate == nullptr ||
            Probe_.isOwnLoad(Each.Task_))
          return false;
        const auto Limit = staysOverTarget(Each, *Estimate)
                               ? OverTargetTimeout
                               : FallingTailTimeout;
        return OverTarget->second + Limit <= Now;
      });
}

auto InterferenceController::slacksOf(const std::vector<ColocatedTask> &Tasks)
    const -> std::vector<ServingSlack> {
  std::vector<ServingSlack> Slacks;
  for (const auto &Each : Tasks) {
    const auto *Estimate = Tracker_.find(Each.Task_);
    if (Estimate == nullptr || Probe_.isOwnLoad(Each.Task_))
      continue;
    const auto Limit = std::log(MaxPlannedTailRatio *
                                static_cast<double>(Each.Target_.count()));
    Slacks.push_back({Each.Image_, Limit - Estimate->Baseline_,
                      staysOverTarget(Each, *Estimate)});
  }
  return Slacks;
}

auto InterferenceController::pacingOrder(
    const std::vector<ColocatedTask> &Tasks) const
    -> std::vector<const ColocatedTask *> {
  // The task that interferes least comes first, since it gets the most work
  // done in the same slack; of equals, the one with the earliest deadline.
  using RankedTask =
      std::tuple<double, WallTime, TaskId, const ColocatedTask *>;
  std::vector<RankedTask> RankedTasks;
  for (const auto &Each : Tasks)
    if (Each.BestEffort_)
      RankedTasks.emplace_back(
          maxGrowthPerCore(bestEffortOf(Each), Predictor_, Slacks_),
          Each.Deadline_, Each.Task_, &Each);
  std::sort(RankedTasks.begin(), RankedTasks.end());
  std::vector<const ColocatedTask *> Order;
  Order.reserve(RankedTasks.size());
  for (const auto &RankedTask : RankedTasks)
    Order.push_back(std::get<const ColocatedTask *>(RankedTask));
  return Order;
}

auto InterferenceController::explain(
    const std::vector<ColocatedTask> &Tasks) const -> std::string {
  const ColocatedTask *Tightest = nullptr;
  for (const auto &Each : Tasks)
    if (Tracker_.find(Each.Task_) != nullptr &&
        (Tightest == nullptr || Each.tailRatio() > Tightest->tailRatio()))
      Tightest = &Each;
  if (Tightest == nullptr)
    return "no task serves";
  const auto Baseline =
      std::lround(std::exp(Tracker_.find(Tightest->Task_)->Baseline_));
  return Tightest->Task_.text() + " at " +
         std::to_string(Tightest->Tail_.count()) + " of " +
         std::to_string(Tightest->Target_.count()) + " ms, " +
         std::to_string(Baseline) + " ms of it without best-effort tasks" +
         (Probe_.isOwnLoad(Tightest->Task_)
              ? ", over its target by its own load"
              : "") +
         (PredictionsUnreliable_
              ? ", predictions of what interferes are unreliable"
              : "");
}

auto InterferenceController::applyPace(TimePoint Now,
                                       const ColocatedTask &BestEffort,
                                       std::uint32_t Desired,
                                       ControlActions &Actions) -> void {
  auto &Current = PaceStates_[BestEffort.Task_];
  const auto NewAttempt = Current.Attempt_ != BestEffort.Attempt_;
  if (NewAttempt)
    Current = {BestEffort.Attempt_, FullPace, {}, {}};
  const auto Gap =
      std::max(Desired, Current.Percent_) - std::min(Desired, Current.Percent_);
  const auto BeginsTrial = Current.Percent_ == 0 && Probe_.permitsTrial();
  const auto AtLimit = Desired == 0 || Desired == FullPace || BeginsTrial;
  const auto Changed = Gap > IgnoredPaceChange || (Gap > 0 && AtLimit);
  if (Changed && Desired == 0)
    Current.PausedAt_ = Now;
  const auto Repeat = Current.Percent_ < FullPace &&
                      Current.OrderedAt_ + PaceRepeatInterval <= Now;
  if (Changed)
    Current.Percent_ = Desired;
  if (Changed || Repeat || (NewAttempt && BestEffort.PaceUnknown_)) {
    Current.OrderedAt_ = Now;
    Actions.Paces_.push_back(
        {BestEffort.Task_, BestEffort.Attempt_, Current.Percent_});
  }
  const auto CheapEviction =
      BestEffort.Checkpoints_ && !BestEffort.OnlyTaskOfJob_;
  const auto Delay = CheapEviction ? EvictionDelay : CostlyEvictionDelay;
  if (Current.Percent_ == 0 && Current.PausedAt_ + Delay <= Now)
    Actions.Evictions_.push_back({BestEffort.Task_, BestEffort.Attempt_});
}

auto InterferenceController::observe(TimePoint Now,
                                     const std::vector<ColocatedTask> &Tasks)
    -> ControlActions {
  ControlActions Actions;
  Tracker_.observe(Now, Tasks, Predictor_);
  Actions.Sample_ = Tracker_.sample(Tasks);
  recordTails(Now, Tasks);
  updateProbe(Now, Tasks);
  PredictionsUnreliable_ = arePredictionsUnreliable(Now, Tasks);
  Slacks_ = slacksOf(Tasks);
  std::set<TaskId> Present;
  for (const auto *Each : pacingOrder(Tasks)) {
    Present.insert(Each->Task_);
    const auto BestEffort = bestEffortOf(*Each);
    const auto Allocated = PredictionsUnreliable_
                               ? 0
                               : allocatePace(BestEffort, Predictor_, Slacks_);
    const auto MayWork = Each->OnlyTaskOfJob_ || !Probe_.permitsTrial();
    const auto Desired =
        MayWork ? std::min(Allocated, Probe_.paceLimit()) : std::uint32_t{0};
    if (Desired != 0)
      Probe_.begin(Now);
    applyPace(Now, *Each, Desired, Actions);
  }
  if (!Actions.Paces_.empty() || !Actions.Evictions_.empty())
    Actions.Explanation_ = explain(Tasks);
  for (auto Each = PaceStates_.begin(); Each != PaceStates_.end();) {
    const auto Expired = Present.count(Each->first) == 0 &&
                         Each->second.OrderedAt_ + UnlistedPaceRetention <= Now;
    Each = Expired ? PaceStates_.erase(Each) : std::next(Each);
  }
  return Actions;
}

auto InterferenceController::admit(TimePoint Now,
                                   const ColocatedTask &BestEffort)
    -> std::uint32_t {
  auto Remaining = Slacks_;
  auto Pace = allocatePace(bestEffortOf(BestEffort), Predictor_, Remaining);
  const auto MayForceStart =
      BestEffort.OnlyTaskOfJob_ && areTailsOverTargetByOwnLoad();
  const auto MustForceStart = Pace < MinStartPace || Probe_.permitsTrial();
  if (PredictionsUnreliable_ || Probe_.mustPause() ||
      (MustForceStart && !MayForceStart))
    return 0;
  Pace = std::max(Pace, ForcedStartPace);
  if (Probe_.permitsTrial())
    Pace = ForcedStartPace;
  Probe_.begin(Now);
  Slacks_ = std::move(Remaining);
  PaceStates_[BestEffort.Task_] = {BestEffort.Attempt_, Pace, Now, {}};
  return Pace;
}

auto InterferenceController::startPace(const TaskId &Task,
                                       AttemptNumber Attempt) const
    -> std::uint32_t {
  const auto Found = PaceStates_.find(Task);
  const auto IsCurrentAttempt =
      Found != PaceStates_.end() && Found->second.Attempt_ == Attempt;
  return IsCurrentAttempt ? Found->second.Percent_ : FullPace;
}

} // namespace skylark
