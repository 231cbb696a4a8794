/// \file
/// Runs the scene of the README: the whole system as separate processes, and
/// what a person would see of it. Exits non-zero if any promise broke.

#include "test/process/Cluster.h"

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

using namespace skylark;
using namespace skylark::ProcessTest;

namespace {

int Steps = 0;
int Broken = 0;

auto say(const std::string &Text) -> void { std::cout << Text << std::endl; }

auto promise(const std::string &What, bool Kept) -> void {
  ++Steps;
  Broken += Kept ? 0 : 1;
  say((Kept ? "  kept    " : "  BROKEN  ") + What);
}

auto bodyOf(const HttpResult &Answer) -> std::string {
  const auto Value = Json::parse(Answer.Body_, nullptr, false);
  return Value.is_object() ? Value.value("body", "") : "";
}

auto batchJob(int Tasks, int RunMs) -> Json {
  return {{"team", "lodgements"},
          {"tasks", Tasks},
          {"resources", {{"millicores", 1000}, {"memory_mb", 1000}}},
          {"run_time_ms", RunMs},
          {"deadline_in_ms", 60000}};
}

auto watcherJob() -> Json {
  return {{"team", "feeds"},
          {"kind", "watcher"},
          {"tasks", 1},
          {"resources", {{"millicores", 500}, {"memory_mb", 500}}}};
}

auto placeOf(const Json &Job) -> std::string {
  if (!Job.contains("tasks"))
    return "";
  const auto &Task = Job.at("tasks").at(0);
  return Task.at("state") == "bound" ? Task.at("agent").get<std::string>() : "";
}

auto isRunning(Cluster &System, const std::string &Task) -> bool {
  for (const auto &Each : System.evidence().Attempts_)
    if (Each.Task_ == Task && Each.ToMs_ == 0)
      return true;
  return false;
}

auto quickRequests(Cluster &System) -> void {
  say("Quick requests");
  const auto Whole = std::string(20000, 'r');
  promise("a receipt check gets the target's whole answer",
          bodyOf(System.quick(
              0, Whole, "service=receipt-check&idempotent=true")) == Whole);
  promise("a filing without a key is run once",
          bodyOf(System.quick(1, "filing", "service=lodgement")) == "filing");
  const auto Key = keyPrefix() + "claim-1";
  const auto First = System.quick(0, "claim", "service=lodgement", Key);
  const auto Second = System.quick(1, "claim", "service=lodgement", Key);
  promise("a lodgement with a key gets its first outcome through any entry",
          First.Status_ == 200 && First.Body_ == Second.Body_ &&
              System.evidence().Runs_["claim"] == 1);
  const auto Reused = System.quick(0, "other", "service=lodgement", Key);
  promise("the same key with another body is refused, and does not run",
          Reused.Status_ == 422 && System.evidence().Runs_["other"] == 0);
}

auto changes(Cluster &System) -> void {
  say("The document: trial, promotion, race");
  promise("a document is tried in the trial environment",
          accepted(System.ask(0, "PUT", "/v1/environments/trial/document",
                              "// A comment that stays.\n" + System.document(),
                              {"If-Match: 0"})));
  const auto Promoted =
      System.ask(1, "POST", "/v1/environments/trial/promote?to=production");
  promise("it is promoted and in force everywhere", Promoted.Status_ == 200);
  const auto Trial =
      System.ask(0, "GET", "/v1/environments/trial/document").Body_;
  const auto Production =
      System.ask(1, "GET", "/v1/environments/production/document").Body_;
  promise("production holds the very same text",
          !Trial.empty() && Trial == Production);
  const auto Revision = Json::parse(Promoted.Body_).at("revision").dump();
  HttpResult Left;
  std::thread Racer([&] {
    Left =
        System.ask(0, "PUT", "/v1/environments/production/document",
                   "// left\n" + System.document(), {"If-Match: " + Revision});
  });
  const auto Right =
      System.ask(1, "PUT", "/v1/environments/production/document",
                 "// right\n" + System.document(), {"If-Match: " + Revision});
  Racer.join();
  const auto Winners = (accepted(Left) ? 1 : 0) + (accepted(Right) ? 1 : 0);
  const auto Losers =
      (Left.Status_ == 412 ? 1 : 0) + (Right.Status_ == 412 ? 1 : 0);
  promise("of two operators who race, one wins and one sees the conflict",
          Winners == 1 && Losers == 1);
}

auto batch(Cluster &System) -> void {
  say("A batch job of 20 tasks with a deadline");
  const auto Id = System.submitJob(0, batchJob(20, 400));
  waitFor("the job", [&] {
    return System.job(1, Id).value("/tally/finished"_json_pointer, 0) == 20;
  });
  const auto Seen = System.evidence();
  int Finished = 0;
  for (const auto &Each : Seen.Attempts_)
    Finished += Each.End_ == "finished" && Each.Task_.rfind(Id, 0) == 0;
  promise("every task finished, and none ran twice", Finished == 20);
  const auto TooLarge = System.ask(
      0, "POST", "/v1/jobs",
      R"({"team":"lodgements","resources":{"millicores":64000,"memory_mb":1}})");
  promise("a job that can never run is refused with the reason",
          TooLarge.Status_ == 422 &&
              TooLarge.Body_.find("largest worker") != std::string::npos);
}

auto watcher(Cluster &System) -> std::string {
  say("A watcher, and the death of its worker");
  const auto Id = System.submitJob(0, watcherJob());
  waitFor("the watcher", [&] { return isRunning(System, Id + "/0"); });
  const auto Place = placeOf(System.job(0, Id));
  System.evidence();
  const auto KilledAt = nowMs();
  System.kill("agent-" + Place);
  System.kill(Place);
  waitFor("the watcher on another worker", [&] {
    for (const auto &Each : System.evidence().Attempts_)
      if (Each.Task_ == Id + "/0" && Each.Worker_ != Place)
        return true;
    return false;
  });
  say("  the watcher was away for " + std::to_string(nowMs() - KilledAt) +
      " ms");
  promise("the watcher runs on another worker", true);
  System.startWorker(Place);
  System.startAgent(Place);
  waitFor("the replaced worker", [&] {
    return System.metric(0, "skylark_targets") ==
           static_cast<double>(System.workers().size());
  });
  return Id;
}

auto dataCentre(Cluster &System, const std::string &Watcher) -> void {
  const auto Centre = System.dataCentreOf(placeOf(System.job(0, Watcher)));
  say("Data centre " + Centre + " is taken out and brought back");
  const auto Id = System.submitJob(1, batchJob(16, 3000));
  waitFor("tasks to run there", [&] {
    for (const auto &Each : System.evidence().Attempts_)
      if (Each.Task_.rfind(Id, 0) == 0 && Each.ToMs_ == 0 &&
          System.dataCentreOf(Each.Worker_) == Centre)
        return true;
    return false;
  });
  const auto Out = System.ask(0, "POST", "/v1/datacentres/" + Centre + "/out");
  const auto OutAt = nowMs();
  promise("the order is in force everywhere", Out.Status_ == 200);
  waitFor("the job to end elsewhere", [&] {
    return System.job(0, Id).value("/tally/finished"_json_pointer, 0) == 16;
  });
  auto Seen = System.evidence();
  auto StartedThere = false;
  auto Resumed = 0;
  for (const auto &Each : Seen.Attempts_) {
    StartedThere |=
        System.dataCentreOf(Each.Worker_) == Centre && Each.FromMs_ > OutAt;
    Resumed += Each.Task_.rfind(Id, 0) == 0 && Each.Attempt_ > 1;
  }
  promise("no task started there after the order was in force", !StartedThere);
  promise("evicted work went on from its checkpoint elsewhere", Resumed > 0);
  waitFor("the watcher elsewhere", [&] {
    const auto Place = placeOf(System.job(0, Watcher));
    return !Place.empty() && System.dataCentreOf(Place) != Centre;
  });
  promise("the watcher moved", true);
  std::string Text;
  System.command(0, {"explain", Id}, &Text);
  promise("explain tells where and why a task was evicted and resumed",
          Text.find("data-centre-out") != std::string::npos);
  promise(
      "the data centre comes back",
      System.ask(1, "POST", "/v1/datacentres/" + Centre + "/return").Status_ ==
          200);
}

auto gracefulStop(Cluster &System) -> void {
  say("A target and an entry stop gracefully under load");
  std::atomic<bool> Done{false};
  std::atomic<int> Cut{0};
  std::atomic<int> Sent{0};
  std::thread Load([&] {
    while (!Done) {
      const auto Answer = System.quick(0, "load " + std::to_string(++Sent),
                                       "service=receipt-check&idempotent=true");
      Cut += Answer.Status_ == 200 ? 0 : 1;
    }
  });
  const auto Leaving = System.workers().back();
  System.signal("agent-" + Leaving, SIGTERM);
  promise("the agent exits with status 0",
          System.waitForEnd("agent-" + Leaving) == 0);
  System.signal(System.entryName(1), SIGTERM);
  promise("the entry exits with status 0",
          System.waitForEnd(System.entryName(1)) == 0);
  Done = true;
  Load.join();
  promise("none of " + std::to_string(Sent) + " requests was cut", Cut == 0);
  waitFor("the remaining entry to own every shard",
          [&] { return System.metric(0, "skylark_owned_shards") == 8; });
  promise("the remaining entry owns every shard", true);
}

auto explainRequest(Cluster &System) -> void {
  say("Explaining a request");
  const auto Answer =
      System.quick(0, "explained", "service=receipt-check&idempotent=true");
  std::string Id;
  for (const auto &Line : Answer.Headers_)
    if (Line.rfind("Skylark-Request-Id: ", 0) == 0)
      Id = Line.substr(Line.find(' ') + 1);
  std::string Text;
  const auto Status = System.command(0, {"explain", Id}, &Text);
  std::cout << Text;
  promise("explain tells where the request ran",
          Status == 0 && Text.find("answered") != std::string::npos);
  promise("explain of an unknown request says that it is not known",
          System.command(0, {"explain", "r-nowhere-1"}) != 0);
}

auto runScene() -> void {
  ClusterPlan Plan;
  Plan.DataCentres_ = {"hobart", "launceston", "devonport"};
  Cluster System(Plan);
  say("Starting the store, 2 entries, and 6 workers with their agents in 3 "
      "data centres");
  System.startAll();
  quickRequests(System);
  explainRequest(System);
  changes(System);
  batch(System);
  const auto Watcher = watcher(System);
  dataCentre(System, Watcher);
  gracefulStop(System);
  const auto Seen = System.evidence();
  promise("no task ever ran in two places at once", overlaps(Seen).empty());
}

} // namespace

auto main() -> int {
  const auto StartedAt = nowMs();
  try {
    runScene();
  } catch (const std::exception &Error) {
    promise(Error.what(), false);
  }
  constexpr int Thousand = 1000;
  std::cout << "Totals: " << Steps << " promises checked, " << Broken
            << " broken, " << (nowMs() - StartedAt) / Thousand << " s\n";
  return Broken == 0 ? 0 : 1;
}
