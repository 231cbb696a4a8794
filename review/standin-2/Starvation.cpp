/// \file
/// Cases in which an accepted job is never run although its service has room.

#include "Cases.h"

#include <algorithm>

namespace skylark::review2 {

namespace {

/// The time that the 3 s and the 4 s before them have to be without a
/// disruption.
constexpr Millis CalmBefore{4000};
constexpr Millis WatchTime{20000};

const Json ShortTask{{"ms", 200}, {"cpu", 500}, {"mem", 500}};

/// Hands jobs in and watches them for WatchTime.
auto watch(Context &Case, std::vector<Job> Jobs) -> Verdict {
  for (auto &Each : Jobs)
    if (!submit(Case, Each))
      return Verdict::NotRun;
  StarvationCheck Check(Case);
  std::set<std::string> Broken;
  const auto Until = Clock::now() + WatchTime;
  while (Clock::now() < Until) {
    for (const auto &Id : Check.look(Jobs))
      if (Broken.insert(Id).second)
        Case.Log_.line("LOST: nothing of job " + Id +
                       " has run for 3 s, with room for it twice over");
    std::this_thread::sleep_for(Millis{100});
  }
  for (const auto &Each : Jobs)
    readState(Case, Each);
  return Broken.empty() ? Verdict::Held : Verdict::Broken;
}

auto playUndoableJobs(Context &Case, const DeploymentOptions &Options)
    -> Verdict {
  // In spells of 3 s, one job in 20 asks for a label that no worker has.
  constexpr int Spells = 13;
  constexpr int RoundsInSpell = 9;
  constexpr int DoableInRound = 19;
  constexpr int UndoableTasks = 36;
  constexpr Millis RoundTime{333};
  constexpr Millis Pause{500};
  const auto &To = Options.Queues_.front();
  const Json Tiny{{"ms", 50}, {"cpu", 500}, {"mem", 500}};
  auto Next = Clock::now();
  for (int Round = 0; Round < Spells * RoundsInSpell; ++Round) {
    std::vector<std::thread> Clients;
    std::vector<Job> Jobs;
    for (int Index = 0; Index < DoableInRound; ++Index)
      Jobs.push_back(makeJob(To, 1, Tiny, Json::object()));
    if (Case.Trouble_)
      Jobs.push_back(makeJob(To, UndoableTasks, Tiny, {{"requirements", "b"}}));
    for (auto &Each : Jobs)
      Clients.emplace_back([&Case, &Each] { submit(Case, Each); });
    for (auto &Each : Clients)
      Each.join();
    Next += RoundTime;
    if (Round % RoundsInSpell == RoundsInSpell - 1)
      Next += Pause;
    std::this_thread::sleep_until(Next);
  }
  Case.Log_.line("the traffic ends");
  std::this_thread::sleep_for(CalmBefore);
  std::vector<Job> Last;
  for (int Index = 0; Index < 5; ++Index)
    Last.push_back(makeJob(To, 1, ShortTask, Json::object()));
  return watch(Case, std::move(Last));
}

auto playEmptyService(Context &Case, const DeploymentOptions &Options)
    -> Verdict {
  const auto &First = Options.Queues_[0];
  const auto &Second = Options.Queues_[1];
  if (Case.Trouble_)
    for (const auto &Each : Case.System_.workers())
      if (Each->options().Service_ == First.Service_)
        Each->crash();
  // Until their agents have found that the workers are gone.
  std::this_thread::sleep_for(3 * CalmBefore);
  std::vector<Job> Waiting;
  Waiting.push_back(makeJob(First, 1, ShortTask, Json::object()));
  if (!submit(Case, Waiting.front()))
    return Verdict::NotRun;
  std::this_thread::sleep_for(CalmBefore);
  std::vector<Job> Jobs;
  for (int Index = 0; Index < 5; ++Index)
    Jobs.push_back(makeJob(Second, 1, ShortTask, Json::object()));
  return watch(Case, std::move(Jobs));
}

} // namespace

auto undoableJobs() -> Case {
  Case Result;
  Result.Options_.Workers_ = {"rebates", "rebates", "rebates", "rebates"};
  Result.Options_.Queues_ = {{"receipts", "rebates", 0, 4}};
  Result.Play_ = playUndoableJobs;
  return Result;
}

auto emptyService() -> Case {
  Case Result;
  Result.Options_.Workers_ = {"rebates", "rebates", "rebates",
                              "spills",  "spills",  "spills"};
  Result.Options_.Queues_ = {{"receipts", "rebates", 0, 4},
                             {"levels", "spills", 0, 4}};
  Result.Play_ = playEmptyService;
  return Result;
}

} // namespace skylark::review2
