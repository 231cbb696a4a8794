/// \file
/// Causes failures of real processes and checks what truly ran. Verdicts rest
/// on what happened, not on how long it took.

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

auto runningNow(Cluster &System, const std::string &Job) -> int {
  int Running = 0;
  for (const auto &Each : System.evidence().Attempts_)
    Running += Each.Task_.rfind(Job, 0) == 0 && Each.ToMs_ == 0;
  return Running;
}

auto highestAttempt(Cluster &System, const std::string &Job) -> int {
  int Highest = 0;
  for (const auto &Each : System.evidence().Attempts_)
    if (Each.Task_.rfind(Job, 0) == 0)
      Highest = std::max(Highest, Each.Attempt_);
  return Highest;
}

auto finished(Cluster &System, int Entry, const std::string &Job) -> int {
  return System.job(Entry, Job).value("/tally/finished"_json_pointer, -1);
}

} // namespace

BOOST_AUTO_TEST_CASE(KilledOwnerIsReplacedAndTasksRunOn) {
  ClusterPlan Plan;
  // The task lease of the product's default outlasts the 6 s after which the
  // store lets another entry take the shards.
  Plan.Policy_ = R"({"task_lease_ms":10000,"outage_horizon_ms":20000})";
  Cluster System(Plan);
  System.startAll();
  const auto Id = System.submitJob(0, batchJob(6, 12000));
  waitFor("six tasks to run", [&] { return runningNow(System, Id) == 6; });
  System.kill("entry-a");
  waitFor("the other entry to own every shard",
          [&] { return System.metric(1, "skylark_owned_shards") == 8; });
  waitFor("the job to end", [&] { return finished(System, 1, Id) == 6; });
  std::string Story;
  System.command(1, {"explain", Id}, &Story);
  BOOST_TEST_INFO(Story);
  BOOST_TEST(highestAttempt(System, Id) == 1);
  BOOST_TEST(overlaps(System.evidence()).empty());
}

BOOST_AUTO_TEST_CASE(FrozenEntryThatWakesHurtsNobody) {
  Cluster System(ClusterPlan{});
  System.startAll();
  const auto Id = System.submitJob(0, batchJob(8, 15000));
  waitFor("eight tasks to run", [&] { return runningNow(System, Id) == 8; });
  System.signal("entry-a", SIGSTOP);
  waitFor("the other entry to own every shard",
          [&] { return System.metric(1, "skylark_owned_shards") == 8; });
  System.signal("entry-a", SIGCONT);
  waitFor("the job to end", [&] { return finished(System, 1, Id) == 8; });
  BOOST_TEST(overlaps(System.evidence()).empty());
  int Ends = 0;
  for (const auto &Each : System.evidence().Attempts_)
    Ends += Each.End_ == "finished";
  BOOST_TEST(Ends == 8);
}

BOOST_AUTO_TEST_CASE(KilledAgentAdoptsWhatRuns) {
  ClusterPlan Plan;
  Plan.DataCentres_ = {"hobart"};
  Plan.WorkersEach_ = 1;
  Cluster System(Plan);
  System.startAll();
  const auto Id = System.submitJob(0, batchJob(4, 6000));
  waitFor("four tasks to run", [&] { return runningNow(System, Id) == 4; });
  System.kill("agent-hobart-1");
  System.startAgent("hobart-1");
  waitFor("the job to end", [&] { return finished(System, 0, Id) == 4; });
  BOOST_TEST(highestAttempt(System, Id) == 1);
}

BOOST_AUTO_TEST_CASE(StoreOutageLongerThanEveryLease) {
  Cluster System(ClusterPlan{});
  System.startAll();
  const auto Id = System.submitJob(0, batchJob(4, 12000));
  waitFor("four tasks to run", [&] { return runningNow(System, Id) == 4; });
  System.post("store", "/fault?mode=down");
  std::this_thread::sleep_for(Seconds{9});
  const auto Answer =
      System.quick(0, "check", "service=receipt-check&idempotent=true");
  BOOST_TEST(Answer.Status_ == 200);
  const auto Keyed = System.quick(0, "lodge in the outage", "service=lodgement",
                                  keyPrefix() + "out");
  BOOST_TEST(Keyed.Status_ == 503);
  BOOST_TEST(System.evidence().Runs_["lodge in the outage"] == 0);
  System.post("store", "/fault");
  waitFor("the job to end", [&] { return finished(System, 0, Id) == 4; });
  BOOST_TEST(highestAttempt(System, Id) == 1);
  waitFor("the lodgement to be taken", [&] {
    return System
               .quick(1, "lodge in the outage", "service=lodgement",
                      keyPrefix() + "out")
               .Status_ == 200;
  });
  BOOST_TEST(System.evidence().Runs_["lodge in the outage"] == 1);
}

BOOST_AUTO_TEST_CASE(LostAnswersOfTheStoreAreSettled) {
  Cluster System(ClusterPlan{});
  System.startAll();
  System.post("store", "/fault?mode=drop&count=3");
  const auto Key = keyPrefix() + "dropped";
  waitFor("the lodgement's outcome", [&] {
    return System.quick(0, "dropped", "service=lodgement&within_ms=20000", Key)
               .Status_ == 200;
  });
  BOOST_TEST(System.evidence().Runs_["dropped"] == 1);
}

BOOST_AUTO_TEST_CASE(EntryBornInAnOutageLearnsTheDocument) {
  Cluster System(ClusterPlan{});
  System.startAll();
  System.kill("entry-b");
  System.post("store", "/fault?mode=down");
  System.startEntry(1);
  waitFor("the document to come from the agents",
          [&] { return System.ask(1, "GET", "/v1/health").Status_ == 200; });
  waitFor("a quick request to be answered", [&] {
    return System.quick(1, "newborn", "service=receipt-check&idempotent=true")
               .Status_ == 200;
  });
}
