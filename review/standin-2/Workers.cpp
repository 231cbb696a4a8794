/// \file
/// Cases about what workers report: a late heartbeat, and serving tasks that
/// are over their target.

#include "Cases.h"

#include <algorithm>

namespace skylark::review2 {

namespace {

auto playOverTarget(Context &Case, const DeploymentOptions &Options)
    -> Verdict {
  constexpr int Target = 10;
  const auto Tail = Case.Trouble_ ? 12 : 5;
  const auto Workers = static_cast<int>(Options.Workers_.size());
  auto Serving =
      makeJob(Options.Queues_[0], Workers,
              {{"lasts", true}, {"cpu", 6400}, {"mem", 13000}, {"tail", Tail}},
              {{"long_running", true},
               {"max_per_server", 1},
               {"image", "portal"},
               {"target_ms", Target}});
  if (!submit(Case, Serving))
    return Verdict::NotRun;
  std::this_thread::sleep_for(Millis{12000});
  std::vector<Job> Batch;
  for (int Index = 0; Index < 3; ++Index) {
    Batch.push_back(makeJob(Options.Queues_[1], 1,
                            {{"ms", 1000}, {"cpu", 3500}, {"mem", 6400}},
                            {{"fills", true}, {"image", "claims"}}));
    if (!submit(Case, Batch.back()))
      return Verdict::NotRun;
  }
  StarvationCheck Check(Case);
  std::set<std::string> Broken;
  const auto Until = Clock::now() + Millis{40000};
  while (Clock::now() < Until) {
    for (const auto &Id : Check.look(Batch))
      if (Broken.insert(Id).second)
        Case.Log_.line("LOST: nothing of job " + Id + " has run for 3 s");
    std::this_thread::sleep_for(Millis{100});
  }
  for (const auto &Each : Batch)
    readState(Case, Each);
  return Broken.empty() ? Verdict::Held : Verdict::Broken;
}

auto playLateHeartbeat(Context &Case, const DeploymentOptions &Options)
    -> Verdict {
  constexpr Millis DownTime{500};
  const std::vector<Millis> Delays{Millis{100}, Millis{100}, Millis{1500}};
  constexpr Millis WatchTime{10000};
  auto &Restarted = Case.System_.worker(0);
  // What the worker sends in the last 4.5 s of its life is delayed.
  const std::vector<Worker::Heartbeat> Late{Restarted.makeHeartbeat(),
                                            Restarted.makeHeartbeat(),
                                            Restarted.makeHeartbeat()};
  Restarted.crash();
  std::this_thread::sleep_for(DownTime);
  Restarted.start("b", false);
  while (Restarted.acknowledged() == 0)
    std::this_thread::sleep_for(Millis{5});
  Case.Log_.line("the new life of worker-0 is registered");
  auto Each = makeJob(Options.Queues_.front(), 3,
                      {{"ms", 500}, {"cpu", 500}, {"mem", 500}},
                      {{"requirements", "a"}});
  if (!submit(Case, Each))
    return Verdict::NotRun;
  if (Case.Trouble_)
    for (std::size_t Index = 0; Index < Late.size(); ++Index) {
      const auto &Beat = Late[Index];
      std::this_thread::sleep_for(Delays[Index]);
      const auto Acknowledged = Restarted.deliver(Beat);
      Case.Log_.line("a late heartbeat of its old life arrives: " +
                     std::string(Acknowledged ? "200" : "no answer") + ", " +
                     Beat.Body_);
    }
  std::this_thread::sleep_for(WatchTime);
  readState(Case, Each);
  auto Broken = false;
  for (const auto &Run : runsOf(Case, Each))
    if (Run.Kind_ != "a") {
      Broken = true;
      Case.Log_.line("ROUTE: " + Run.Task_ + " has started on " + Run.Worker_ +
                     " of kind " + Run.Kind_ + " without the label a");
    }
  return Broken ? Verdict::Broken : Verdict::Held;
}

} // namespace

auto lateHeartbeat() -> Case {
  constexpr std::size_t Workers = 8;
  Case Result;
  Result.Options_.Workers_.assign(Workers, "rebates");
  Result.Options_.Kinds_.assign(Workers, "b");
  Result.Options_.Kinds_.front() = "a";
  Result.Options_.HeartbeatInterval_ = Millis{1500};
  Result.Options_.Queues_ = {{"claims", "rebates", 2, 4}};
  Result.Play_ = playLateHeartbeat;
  return Result;
}

auto overTarget() -> Case {
  Case Result;
  Result.Options_.Workers_ = {"rebates", "rebates", "rebates", "rebates"};
  Result.Options_.Queues_ = {{"feeds", "rebates", 0, 2},
                             {"claims", "rebates", 2, 4}};
  Result.Play_ = playOverTarget;
  return Result;
}

} // namespace skylark::review2
