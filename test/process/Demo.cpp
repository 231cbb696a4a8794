/// \file
/// Runs the demonstration of the README: the whole system as separate
/// processes, used as its callers and operators use it. Exits with a non-zero
/// status if any check fails.

#include "test/process/Cluster.h"

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

using namespace skylark;
using namespace skylark::ProcessTest;

namespace {

int Checks = 0;
int Failures = 0;

auto print(const std::string &Text) -> void { std::cout << Text << std::endl; }

auto check(const std::string &What, bool Passed) -> void {
  ++Checks;
  Failures += Passed ? 0 : 1;
  print((Passed ? "  passed  " : "  FAILED  ") + What);
}

auto bodyOf(const HttpResult &Response) -> std::string {
  const auto Value = Json::parse(Response.Body_, nullptr, false);
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

auto boundAgentOf(const Json &Job) -> std::string {
  if (!Job.contains("tasks"))
    return "";
  const auto &Task = Job.at("tasks").at(0);
  return Task.at("state") == "bound" ? Task.at("agent").get<std::string>() : "";
}

auto isRunning(Cluster &System, const std::string &Task) -> bool {
  for (const auto &Each : System.executions().Attempts_)
    if (Each.Task_ == Task && Each.EndedAtMs_ == 0)
      return true;
  return false;
}

auto sendQuickRequests(Cluster &System) -> void {
  print("Quick requests");
  const auto Body = std::string(20000, 'r');
  check("a receipt check gets the target's complete response",
        bodyOf(System.quickRequest(
            0, Body, "service=receipt-check&idempotent=true")) == Body);
  check("a filing without an idempotency key is run once",
        bodyOf(System.quickRequest(1, "filing", "service=lodgement")) ==
            "filing");
  const auto Key = keyPrefix() + "claim-1";
  const auto First = System.quickRequest(0, "claim", "service=lodgement", Key);
  const auto Second = System.quickRequest(1, "claim", "service=lodgement", Key);
  check("a lodgement with a key gets its first response through any entry",
        First.Status_ == 200 && First.Body_ == Second.Body_ &&
            System.executions().RunCounts_["claim"] == 1);
  const auto Reused = System.quickRequest(0, "other", "service=lodgement", Key);
  check("the same key with another body is refused and not run",
        Reused.Status_ == 422 && System.executions().RunCounts_["other"] == 0);
}

auto updateDocument(Cluster &System) -> void {
  print("The document: trial, promotion, concurrent updates");
  check("a document is applied to the trial environment",
        isSuccess(
            System.callEntry(0, "PUT", "/v1/environments/trial/document",
                             "// A comment that stays.\n" + System.document(),
                             {"If-Match: 0"})));
  const auto Promoted = System.callEntry(
      1, "POST", "/v1/environments/trial/promote?to=production");
  check("it is promoted and in force everywhere", Promoted.Status_ == 200);
  const auto Trial =
      System.callEntry(0, "GET", "/v1/environments/trial/document").Body_;
  const auto Production =
      System.callEntry(1, "GET", "/v1/environments/production/document").Body_;
  check("production has exactly the same text",
        !Trial.empty() && Trial == Production);
  const auto Revision = Json::parse(Promoted.Body_).at("revision").dump();
  HttpResult Left;
  std::thread ConcurrentUpdate([&] {
    Left = System.callEntry(0, "PUT", "/v1/environments/production/document",
                            "// left\n" + System.document(),
                            {"If-Match: " + Revision});
  });
  const auto Right = System.callEntry(
      1, "PUT", "/v1/environments/production/document",
      "// right\n" + System.document(), {"If-Match: " + Revision});
  ConcurrentUpdate.join();
  const auto Accepted = (isSuccess(Left) ? 1 : 0) + (isSuccess(Right) ? 1 : 0);
  const auto Conflicts =
      (Left.Status_ == 412 ? 1 : 0) + (Right.Status_ == 412 ? 1 : 0);
  check("of two concurrent updates, one is applied and one gets a conflict",
        Accepted == 1 && Conflicts == 1);
}

auto runBatchJob(Cluster &System) -> void {
  print("A batch job of 20 tasks with a deadline");
  const auto Id = System.submitJob(0, batchJob(20, 400));
  waitFor("the job to finish", [&] {
    return System.jobStatus(1, Id).value("/tally/finished"_json_pointer, 0) ==
           20;
  });
  const auto Executed = System.executions();
  int Finished = 0;
  for (const auto &Each : Executed.Attempts_)
    Finished += Each.Outcome_ == "finished" && Each.Task_.rfind(Id, 0) == 0;
  check("every task finished, and none ran twice", Finished == 20);
  const auto TooLarge = System.callEntry(
      0, "POST", "/v1/jobs",
      R"({"team":"lodgements","resources":{"millicores":64000,"memory_mb":1}})");
  check("a job that can never run is refused with the reason",
        TooLarge.Status_ == 422 &&
            TooLarge.Body_.find("largest worker") != std::string::npos);
}

auto failOverWatcher(Cluster &System) -> std::string {
  print("A watcher whose worker is killed");
  const auto Id = System.submitJob(0, watcherJob());
  waitFor("the watcher to run", [&] { return isRunning(System, Id + "/0"); });
  const auto BoundAgent = boundAgentOf(System.jobStatus(0, Id));
  System.executions();
  const auto KilledAt = nowMs();
  System.kill("agent-" + BoundAgent);
  System.kill(BoundAgent);
  waitFor("the watcher to run on another worker", [&] {
    for (const auto &Each : System.executions().Attempts_)
      if (Each.Task_ == Id + "/0" && Each.Worker_ != BoundAgent)
        return true;
    return false;
  });
  print("  the watcher was not running for " +
        std::to_string(nowMs() - KilledAt) + " ms");
  check("the watcher runs on another worker", true);
  System.startWorker(BoundAgent);
  System.startAgent(BoundAgent);
  waitFor("the restarted worker", [&] {
    return System.metric(0, "skylark_targets") ==
           static_cast<double>(System.workers().size());
  });
  return Id;
}

auto evacuateDataCentre(Cluster &System, const std::string &Watcher) -> void {
  const auto Centre =
      System.dataCentreOf(boundAgentOf(System.jobStatus(0, Watcher)));
  print("Data centre " + Centre + " is evacuated and returned to service");
  const auto Id = System.submitJob(1, batchJob(16, 3000));
  waitFor("tasks to run on workers of that data centre", [&] {
    for (const auto &Each : System.executions().Attempts_)
      if (Each.Task_.rfind(Id, 0) == 0 && Each.EndedAtMs_ == 0 &&
          System.dataCentreOf(Each.Worker_) == Centre)
        return true;
    return false;
  });
  const auto Evacuation =
      System.callEntry(0, "POST", "/v1/datacentres/" + Centre + "/out");
  const auto EvacuatedAt = nowMs();
  check("the order is in force everywhere", Evacuation.Status_ == 200);
  waitFor("the job to finish in the other data centres", [&] {
    return System.jobStatus(0, Id).value("/tally/finished"_json_pointer, 0) ==
           16;
  });
  auto Executed = System.executions();
  auto StartedThere = false;
  auto Resumed = 0;
  for (const auto &Each : Executed.Attempts_) {
    StartedThere |= System.dataCentreOf(Each.Worker_) == Centre &&
                    Each.StartedAtMs_ > EvacuatedAt;
    Resumed += Each.Task_.rfind(Id, 0) == 0 && Each.Attempt_ > 1;
  }
  check("no task started there once the order was in force", !StartedThere);
  check("evicted tasks resumed elsewhere from their last checkpoint",
        Resumed > 0);
  waitFor("the watcher to run elsewhere", [&] {
    const auto BoundAgent = boundAgentOf(System.jobStatus(0, Watcher));
    return !BoundAgent.empty() && System.dataCentreOf(BoundAgent) != Centre;
  });
  check("the watcher runs in another data centre", true);
  std::string Text;
  System.runCommand(0, {"explain", Id}, &Text);
  check("explain shows why a task was evicted",
        Text.find("data-centre-out") != std::string::npos);
  check("the data centre is returned to service",
        System.callEntry(1, "POST", "/v1/datacentres/" + Centre + "/return")
                .Status_ == 200);
}

auto stopGracefully(Cluster &System) -> void {
  print("A target and an entry stop gracefully under load");
  std::atomic<bool> Done{false};
  std::atomic<int> FailedRequests{0};
  std::atomic<int> SentRequests{0};
  std::thread Load([&] {
    while (!Done) {
      const auto Response =
          System.quickRequest(0, "load " + std::to_string(++SentRequests),
                              "service=receipt-check&idempotent=true");
      FailedRequests += Response.Status_ == 200 ? 0 : 1;
    }
  });
  const auto StoppedWorker = System.workers().back();
  System.signal("agent-" + StoppedWorker, SIGTERM);
  check("the agent exits with status 0",
        System.waitForExit("agent-" + StoppedWorker) == 0);
  System.signal(System.entryName(1), SIGTERM);
  check("the entry exits with status 0",
        System.waitForExit(System.entryName(1)) == 0);
  Done = true;
  Load.join();
  check("none of " + std::to_string(SentRequests) + " requests failed",
        FailedRequests == 0);
  waitFor("the remaining entry to own every shard",
          [&] { return System.metric(0, "skylark_owned_shards") == 8; });
  check("the remaining entry owns every shard", true);
}

auto explainRequest(Cluster &System) -> void {
  print("Explaining a request");
  const auto Response = System.quickRequest(
      0, "explained", "service=receipt-check&idempotent=true");
  std::string Id;
  for (const auto &Line : Response.Headers_)
    if (Line.rfind("Skylark-Request-Id: ", 0) == 0)
      Id = Line.substr(Line.find(' ') + 1);
  std::string Text;
  const auto Status = System.runCommand(0, {"explain", Id}, &Text);
  std::cout << Text;
  check("explain shows that the request ran",
        Status == 0 && Text.find("answered") != std::string::npos);
  check("explain of an unknown request fails",
        System.runCommand(0, {"explain", "r-nowhere-1"}) != 0);
}

auto runDemo() -> void {
  ClusterOptions Options;
  Options.DataCentres_ = {"hobart", "launceston", "devonport"};
  Cluster System(Options);
  print("Starting the store, 2 entries, and 6 workers with their agents in 3 "
        "data centres");
  System.startAll();
  sendQuickRequests(System);
  explainRequest(System);
  updateDocument(System);
  runBatchJob(System);
  const auto Watcher = failOverWatcher(System);
  evacuateDataCentre(System, Watcher);
  stopGracefully(System);
  const auto Executed = System.executions();
  check("no task ran in two places at once",
        overlappingAttempts(Executed).empty());
}

} // namespace

auto main() -> int {
  const auto StartedAt = nowMs();
  try {
    runDemo();
  } catch (const std::exception &Error) {
    check(Error.what(), false);
  }
  constexpr int MillisPerSecond = 1000;
  std::cout << "Totals: " << Checks << " checks, " << Failures << " broken, "
            << (nowMs() - StartedAt) / MillisPerSecond << " s\n";
  return Failures == 0 ? 0 : 1;
}
