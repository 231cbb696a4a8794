#include "core/CrashBlame.h"

#include <algorithm>

namespace skylark {
namespace {

/// A task that has run for this long was not started just before a crash.
constexpr Millis StartupPeriod{300};
/// How long a worker is kept for a suspect that has not started there.
constexpr Millis TrialStartTimeout{2000};
/// How long a worker may have been silent before its agent reports it.
constexpr Millis SilenceReportDelay{2500};

} // namespace

auto isGivenUp(const CrashTally &Crashes) -> bool {
  return Crashes.Blame_ >= Blame::Limit &&
         (Crashes.SeenRunning_ >= Blame::SeenToGiveUp ||
          Crashes.Crashes_ >= Blame::UnseenToGiveUp);
}

auto CrashBlame::running(const WorkerKey &Worker, const TaskId &Task,
                         TimePoint Now, std::uint32_t EarlierBlame) -> void {
  auto &Record = Workers_[Worker];
  // A report is repeated when the agent reconnects.
  if (!Record.Tasks_.try_emplace(Task, RunningTask{Now, EarlierBlame}).second)
    return;
  Record.LastStartAt_ = Now;
  // Losses of the preceding incarnation may still be handled.
  auto Preceding = Workers_.find(Worker);
  if (Preceding == Workers_.begin())
    return;
  --Preceding;
  while (Preceding != Workers_.begin()) {
    const auto Earlier = std::prev(Preceding);
    if (Earlier->first.Agent_ != Worker.Agent_)
      return;
    Workers_.erase(Earlier);
  }
}

auto CrashBlame::responsive(const WorkerKey &Worker, TimePoint Now) -> void {
  const auto Found = Workers_.find(Worker);
  if (Found != Workers_.end())
    Found->second.ResponsiveAt_ = std::max(Found->second.ResponsiveAt_, Now);
}

auto CrashBlame::ended(const WorkerKey &Worker, const TaskId &Task) -> void {
  const auto Found = Workers_.find(Worker);
  if (Found != Workers_.end())
    Found->second.Tasks_.erase(Task);
}

auto CrashBlame::recentSince(const WorkerRecord &Record) -> TimePoint {
  return std::max(Record.LastStartAt_,
                  Record.ResponsiveAt_ - SilenceReportDelay) -
         StartupPeriod;
}

auto CrashBlame::countRecent(const WorkerRecord &Record) -> RecentStarts {
  const auto Since = recentSince(Record);
  RecentStarts Recent;
  for (const auto &[Task, Running] : Record.Tasks_) {
    if (Running.Since_ < Since)
      continue;
    ++Recent.Tasks_;
    if (Running.EarlierBlame_ >= Blame::Suspect)
      ++Recent.Suspects_;
  }
  return Recent;
}

auto CrashBlame::findRunning(const WorkerKey &Worker, const TaskId &Task) const
    -> const RunningTask * {
  const auto Record = Workers_.find(Worker);
  if (Record == Workers_.end())
    return nullptr;
  const auto Found = Record->second.Tasks_.find(Task);
  return Found == Record->second.Tasks_.end() ? nullptr : &Found->second;
}

auto CrashBlame::blameFor(const WorkerKey &Worker, const TaskId &Task,
                          bool LongRunning) const -> std::uint32_t {
  const auto *Running = findRunning(Worker, Task);
  // The answer to its start may have been lost in the crash.
  if (Running == nullptr)
    return Blame::Present;
  const auto &Record = Workers_.at(Worker);
  if (Running->Since_ < recentSince(Record))
    // A long-running task meets crashes by chance in the course of its life.
    return LongRunning ? 0 : Blame::Present;
  const auto Recent = countRecent(Record);
  const auto Suspect = Running->EarlierBlame_ >= Blame::Suspect;
  if (Recent.Suspects_ > 0 && !Suspect)
    return Blame::Present;
  const auto Candidates = Suspect ? Recent.Suspects_ : Recent.Tasks_;
  return Candidates == 1 ? Blame::Sole : Blame::Shared;
}

auto CrashBlame::tallyFor(const WorkerKey &Worker, const TaskId &Task,
                          bool LongRunning) const -> CrashTally {
  const auto Seen = findRunning(Worker, Task) != nullptr;
  return {blameFor(Worker, Task, LongRunning), 1, Seen ? 1U : 0U};
}

auto CrashBlame::startTrial(const WorkerKey &Worker, const TaskId &Task,
                            TimePoint Now) -> void {
  Trials_[Worker.Agent_] = {Worker, Task, Now};
}

auto CrashBlame::endTrial(const AgentId &Agent, const TaskId &Task) -> void {
  const auto Found = Trials_.find(Agent);
  if (Found != Trials_.end() && Found->second.Task_ == Task)
    Trials_.erase(Found);
}

auto CrashBlame::isTrialAt(const AgentId &Agent, TimePoint Now) const -> bool {
  const auto Found = Trials_.find(Agent);
  if (Found == Trials_.end())
    return false;
  const auto *Running = findRunning(Found->second.Worker_, Found->second.Task_);
  return Running == nullptr ? Found->second.BoundAt_ + TrialStartTimeout > Now
                            : Running->Since_ + StartupPeriod > Now;
}

auto CrashBlame::clear() -> void {
  Workers_.clear();
  Trials_.clear();
}

} // namespace skylark
