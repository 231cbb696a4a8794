/// \file
/// Tests the system under failures of real processes. Assertions are about
/// which attempts ran, as recorded by the workers, and not about durations, so
/// that they don't depend on the machine's speed.

#define BOOST_TEST_MODULE process_failures
#include "test/process/Cluster.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

using namespace skylark;
using namespace skylark::ProcessTest;

namespace {

auto batchJob(int Tasks, int RunMs) -> Json {
  return {{"team", "lodgements"},
          {"tasks", Tasks},
          {"resources", {{"millicores", 500}, {"memory_mb", 500}}},
          {"run_time_ms", RunMs},
          {"deadline_in_ms", 60000}};
}

auto runningTasks(Cluster &System, const std::string &Job) -> int {
  int Running = 0;
  for (const auto &Each : System.executions().Attempts_)
    Running += Each.Task_.rfind(Job, 0) == 0 && Each.EndedAtMs_ == 0;
  return Running;
}

auto highestAttempt(Cluster &System, const std::string &Job) -> int {
  int Highest = 0;
  for (const auto &Each : System.executions().Attempts_)
    if (Each.Task_.rfind(Job, 0) == 0)
      Highest = std::max(Highest, Each.Attempt_);
  return Highest;
}

auto finishedTasks(Cluster &System, int Entry, const std::string &Job) -> int {
  return System.jobStatus(Entry, Job).value("/tally/finished"_json_pointer, -1);
}

} // namespace

// Guards against tasks being restarted because the owner of their shard was
// killed: the new owner must keep the running attempts.
BOOST_AUTO_TEST_CASE(TasksKeepRunningWhenKilledOwnerIsReplaced) {
  ClusterOptions Options;
  // The product's default task lease, which is longer than the 6 s after which
  // the store lets another entry acquire the shards.
  Options.Policy_ = R"({"task_lease_ms":10000,"outage_horizon_ms":20000})";
  Cluster System(Options);
  System.startAll();
  const auto Id = System.submitJob(0, batchJob(6, 12000));
  waitFor("six tasks to run", [&] { return runningTasks(System, Id) == 6; });
  System.kill("entry-a");
  waitFor("the other entry to own every shard",
          [&] { return System.metric(1, "skylark_owned_shards") == 8; });
  waitFor("the job to end", [&] { return finishedTasks(System, 1, Id) == 6; });
  std::string Explanation;
  System.runCommand(1, {"explain", Id}, &Explanation);
  BOOST_TEST_INFO(Explanation);
  BOOST_TEST(highestAttempt(System, Id) == 1);
  BOOST_TEST(overlappingAttempts(System.executions()).empty());
}

// Guards against a task running twice at once: a suspended entry resumes after
// it has lost its shards, and may still act as their owner.
BOOST_AUTO_TEST_CASE(ResumedStaleOwnerCausesNoOverlappingAttempts) {
  Cluster System(ClusterOptions{});
  System.startAll();
  const auto Id = System.submitJob(0, batchJob(8, 15000));
  waitFor("eight tasks to run", [&] { return runningTasks(System, Id) == 8; });
  System.signal("entry-a", SIGSTOP);
  waitFor("the other entry to own every shard",
          [&] { return System.metric(1, "skylark_owned_shards") == 8; });
  System.signal("entry-a", SIGCONT);
  waitFor("the job to end", [&] { return finishedTasks(System, 1, Id) == 8; });
  BOOST_TEST(overlappingAttempts(System.executions()).empty());
  int FinishedAttempts = 0;
  for (const auto &Each : System.executions().Attempts_)
    FinishedAttempts += Each.Outcome_ == "finished";
  BOOST_TEST(FinishedAttempts == 8);
}

// Guards against a restarted agent losing or restarting the tasks that its
// worker is still running.
BOOST_AUTO_TEST_CASE(RestartedAgentAdoptsRunningTasks) {
  ClusterOptions Options;
  Options.DataCentres_ = {"hobart"};
  Options.WorkersPerDataCentre_ = 1;
  Cluster System(Options);
  System.startAll();
  const auto Id = System.submitJob(0, batchJob(4, 6000));
  waitFor("four tasks to run", [&] { return runningTasks(System, Id) == 4; });
  System.kill("agent-hobart-1");
  System.startAgent("hobart-1");
  waitFor("the job to end", [&] { return finishedTasks(System, 0, Id) == 4; });
  BOOST_TEST(highestAttempt(System, Id) == 1);
}

// While the store is down for longer than every lease, running tasks and
// idempotent requests must go on. A request with an idempotency key must be
// refused without being run, because its key can't be checked.
BOOST_AUTO_TEST_CASE(StoreOutageLongerThanEveryLease) {
  Cluster System(ClusterOptions{});
  System.startAll();
  const auto Id = System.submitJob(0, batchJob(4, 12000));
  waitFor("four tasks to run", [&] { return runningTasks(System, Id) == 4; });
  System.post("store", "/fault?mode=down");
  std::this_thread::sleep_for(Seconds{9});
  const auto Response =
      System.quickRequest(0, "check", "service=receipt-check&idempotent=true");
  BOOST_TEST(Response.Status_ == 200);
  const auto Keyed = System.quickRequest(
      0, "lodge in the outage", "service=lodgement", keyPrefix() + "out");
  BOOST_TEST(Keyed.Status_ == 503);
  BOOST_TEST(System.executions().RunCounts_["lodge in the outage"] == 0);
  System.post("store", "/fault");
  waitFor("the job to end", [&] { return finishedTasks(System, 0, Id) == 4; });
  BOOST_TEST(highestAttempt(System, Id) == 1);
  waitFor("the lodgement to be accepted", [&] {
    return System
               .quickRequest(1, "lodge in the outage", "service=lodgement",
                             keyPrefix() + "out")
               .Status_ == 200;
  });
  BOOST_TEST(System.executions().RunCounts_["lodge in the outage"] == 1);
}

// Guards against running a keyed request twice, or never answering it, when the
// store carries out a write but its response is lost.
BOOST_AUTO_TEST_CASE(LostStoreResponsesDoNotRepeatRequest) {
  Cluster System(ClusterOptions{});
  System.startAll();
  System.post("store", "/fault?mode=drop&count=3");
  const auto Key = keyPrefix() + "dropped";
  waitFor("the lodgement's outcome", [&] {
    return System
               .quickRequest(0, "dropped", "service=lodgement&within_ms=20000",
                             Key)
               .Status_ == 200;
  });
  BOOST_TEST(System.executions().RunCounts_["dropped"] == 1);
}

// An entry that starts while the store is down must get the document from the
// agents and serve requests.
BOOST_AUTO_TEST_CASE(EntryStartedInStoreOutageGetsDocumentFromAgents) {
  Cluster System(ClusterOptions{});
  System.startAll();
  System.kill("entry-b");
  System.post("store", "/fault?mode=down");
  System.startEntry(1);
  waitFor("the document to come from the agents", [&] {
    return System.callEntry(1, "GET", "/v1/health").Status_ == 200;
  });
  waitFor("a quick request to be answered", [&] {
    return System
               .quickRequest(1, "after start",
                             "service=receipt-check&idempotent=true")
               .Status_ == 200;
  });
}
