/// \file
/// Tests the translation between the formats of the users' platform and those
/// of the scheduler.

#include "platform/ConfigurationParser.h"
#include "platform/HeartbeatParser.h"
#include "platform/QueueApi.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

auto requestWith(std::string Method, std::string Body) -> HttpServerRequest {
  HttpServerRequest Request;
  Request.Method_ = std::move(Method);
  Request.Host_ = "a.example";
  Request.Path_ = "/jobs/0123456789abcdef";
  Request.Body_ = std::move(Body);
  return Request;
}

/// A heartbeat in which the given field, if any, replaces the valid one: of
/// fields with the same name, the last counts.
auto heartbeatWith(const std::string &Field) -> std::string {
  const std::string Valid =
      R"({"service":"s","address":"10.1.0.22:8786","zone":"z","version":"v1",
          "slots":8,"state":"ready","seq":4,"cold_remaining_ms":0,
          "born":1788277008666,
          "capacity":{"cpu":32000,"mem_mb":128000,"gpu":0},
          "labels":["a","r1-1"])";
  return Valid + (Field.empty() ? "" : "," + Field) + "}";
}

auto errorAnswer(const std::string &Method, ErrorKind Kind)
    -> HttpServerAnswer {
  return Platform::renderAnswer(Method, ErrorReply{Kind, "", {}});
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformFormats)

BOOST_AUTO_TEST_CASE(ParsesAJobWithItsSteps) {
  const auto Parsed = Platform::parseRequest(
      requestWith("POST",
                  R"({"spec":"s","steps":[{"count":4,"cpu":500,"mem_mb":256,
          "estimate_ms":900.5},{"count":2,"cpu":9,"mem_mb":1,"estimate_ms":7,
          "after":[0],"checkpointing":true,"fills":true,"image":"i",
          "max_per_server":1}]})"));
  BOOST_REQUIRE(Parsed.has_value());
  const auto &Job = std::get<SubmitToQueue>(*Parsed).Declaration_;
  BOOST_TEST(Job.Payload_ == "s");
  BOOST_REQUIRE(Job.Steps_.size() == 2U);
  BOOST_TEST((Job.Steps_[0].RunTime_ == Millis{900}));
  BOOST_TEST(Job.Steps_[1].Checkpoints_);
  BOOST_TEST(Job.Steps_[1].BestEffort_);
  BOOST_TEST(Job.Steps_[1].MaxPerWorker_ == 1U);
}

BOOST_AUTO_TEST_CASE(IgnoresUnknownFields) {
  BOOST_TEST(
      Platform::parseRequest(
          requestWith("POST", R"({"steps":[{"count":1,"new":{}}],"x":1})"))
          .has_value());
}

BOOST_AUTO_TEST_CASE(RejectsMalformedJobs) {
  for (const auto *Body :
       {"", "[", "{}", R"({"steps":[]})", R"({"steps":[{"count":"1"}]})",
        R"({"steps":[{"count":1,"after":[0]}]})"})
    BOOST_TEST(!Platform::parseRequest(requestWith("POST", Body)).has_value());
  BOOST_TEST(!Platform::parseRequest(requestWith("PATCH", "")).has_value());
}

BOOST_AUTO_TEST_CASE(StatusSaysNotRunOnlyWhereThatIsCertain) {
  BOOST_TEST(errorAnswer("POST", ErrorKind::QueueFull).Status_ == 503);
  BOOST_TEST(errorAnswer("POST", ErrorKind::KeyNotChecked).Status_ == 504);
  BOOST_TEST(errorAnswer("POST", ErrorKind::OutcomeUnknown).Status_ == 504);
}

BOOST_AUTO_TEST_CASE(SendsRetryAfterForTemporaryErrors) {
  BOOST_TEST(
      (errorAnswer("POST", ErrorKind::QueueFull).RetryAfter_ > Seconds{0}));
  BOOST_TEST(
      (errorAnswer("GET", ErrorKind::UnknownQueue).RetryAfter_ == Seconds{0}));
}

BOOST_AUTO_TEST_CASE(DistinguishesUnknownJobsFromUnknownQueues) {
  BOOST_TEST(errorAnswer("GET", ErrorKind::UnknownJob).Status_ == 410);
  BOOST_TEST(errorAnswer("DELETE", ErrorKind::UnknownJob).Status_ == 410);
  BOOST_TEST(errorAnswer("GET", ErrorKind::UnknownQueue).Status_ == 404);
}

BOOST_AUTO_TEST_CASE(RendersStatesAndCounts) {
  BOOST_TEST(
      Platform::renderAnswer("GET", JobStateReply{JobState::Running}).Body_ ==
      R"({"state":"running"})");
  BOOST_TEST(Platform::renderAnswer("GET", UnstartedJobsReply{12}).Body_ ==
             R"({"pending":12})");
}

BOOST_AUTO_TEST_CASE(ParsesTheOperatorsConfiguration) {
  const auto Parsed = Platform::parseConfiguration(
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",
          "service":"s","priority":2,"max_attempts":4,"stretch":1.5,
          "target_latency_ms":250,"kind":"unsafe"}],
          "services":[{"name":"s"}],"limits":{}})",
      {{{"hobart"}}, {}});
  BOOST_REQUIRE(Parsed.has_value());
  BOOST_REQUIRE(Parsed->Queues_.size() == 1U);
  BOOST_TEST(Parsed->Queues_[0].FailureLimit_ == 4U);
  BOOST_TEST((Parsed->Queues_[0].DeadlineSlack_ == Millis{250}));
  BOOST_TEST(Parsed->hasDataCentre({"hobart"}));
}

BOOST_AUTO_TEST_CASE(RejectsMalformedConfigurations) {
  for (const auto *Text : {"", "{}", R"({"routes":[{}],"services":[]})"})
    BOOST_TEST(!Platform::parseConfiguration(Text, {}).has_value());
}

BOOST_AUTO_TEST_CASE(RejectsConfigurationsWithImpossibleNumbers) {
  const std::string Start =
      R"({"services":[],"routes":[{"name":"r","host":"h","prefix":"/",
          "service":"s",)";
  for (const auto *Field :
       {R"("priority":1e30)", R"("priority":-3)", R"("priority":"1")",
        R"("max_attempts":4294967296)", R"("max_attempts":-1)",
        R"("stretch":-1)", R"("stretch":1e300)", R"("stretch":null)",
        R"("target_latency_ms":9223372036854775807)",
        R"("target_latency_ms":-1)"}) {
    std::string Problem;
    const auto Text = Start + Field + "}]}";
    BOOST_TEST(!Platform::parseConfiguration(Text, {}, &Problem).has_value(),
               Field);
    BOOST_TEST(Problem.find("route 0: ") == 0U, Problem);
  }
}

BOOST_AUTO_TEST_CASE(ParsesAHeartbeat) {
  const auto Parsed = Platform::parseHeartbeat(heartbeatWith(""));
  BOOST_REQUIRE(Parsed.has_value());
  BOOST_TEST(Parsed->Sequence_ == 4U);
  BOOST_TEST(Parsed->Announcement_.Worker_ == 1788277008666U);
  BOOST_TEST((Parsed->Announcement_.Capacity_ == Resources{32000, 128000, 0}));
  BOOST_TEST(Parsed->Announcement_.Rack_ == "r1-1");
  BOOST_TEST(!Parsed->Announcement_.Leaving_);
}

BOOST_AUTO_TEST_CASE(ACapacityMayBeAFraction) {
  const auto Parsed = Platform::parseHeartbeat(
      heartbeatWith(R"("capacity":{"cpu":19200.5,"mem_mb":76800.0})"));
  BOOST_REQUIRE(Parsed.has_value());
  BOOST_TEST((Parsed->Announcement_.Capacity_ == Resources{19200, 76800, 0}));
}

BOOST_AUTO_TEST_CASE(RejectsHeartbeatsWithMissingOrImpossibleFields) {
  BOOST_TEST(!Platform::parseHeartbeat("").has_value());
  BOOST_TEST(!Platform::parseHeartbeat("[]").has_value());
  BOOST_TEST(!Platform::parseHeartbeat("\xff\xfe").has_value());
  for (const auto *Field :
       {R"("capacity":{"cpu":-1,"mem_mb":9})",
        R"("capacity":{"cpu":9,"mem_mb":-9})",
        R"("capacity":{"cpu":9,"mem_mb":9,"gpu":-1})",
        R"("capacity":{"cpu":1e300,"mem_mb":9})",
        R"("capacity":{"cpu":18446744073709551615,"mem_mb":9})",
        R"("capacity":{"cpu":"9","mem_mb":9})",
        R"("capacity":{"cpu":true,"mem_mb":9})",
        R"("capacity":{"cpu":9})",
        R"("capacity":null)",
        R"("capacity":[9,9])",
        R"("seq":-1)",
        R"("seq":1e300)",
        R"("seq":"5")",
        R"("seq":null)",
        R"("born":null)",
        R"("born":-5)",
        R"("born":"1")",
        R"("state":"asleep")",
        R"("service":7)",
        R"("labels":"a")",
        R"("labels":[1])",
        R"("slots":-1)",
        R"("slots":4294967296)"})
    BOOST_TEST(!Platform::parseHeartbeat(heartbeatWith(Field)).has_value(),
               Field);
}

BOOST_AUTO_TEST_CASE(RejectsAHeartbeatThatDoesNotNameItsIncarnation) {
  BOOST_TEST(!Platform::parseHeartbeat(
                  R"({"service":"s","state":"ready","seq":4,"labels":["a"],
               "capacity":{"cpu":9,"mem_mb":9}})")
                  .has_value());
}

BOOST_AUTO_TEST_CASE(RejectsJobsWithImpossibleNumbers) {
  for (const auto *Field :
       {R"("count":-1)", R"("count":1e300)", R"("count":4294967295)",
        R"("cpu":-500)", R"("mem_mb":-1)", R"("gpu":-1)",
        R"("cpu":18446744073709551615)", R"("cpu":1e300)",
        R"("estimate_ms":-1)", R"("estimate_ms":1e300)", R"("target_ms":1e300)",
        R"("max_per_server":-1)", R"("max_missing":-1)"})
    BOOST_TEST(
        !Platform::parseRequest(
             requestWith("POST", std::string(R"({"steps":[{"count":1,)") +
                                     Field + "}]}"))
             .has_value(),
        Field);
}

BOOST_AUTO_TEST_CASE(RejectsDependenciesThatAreNotEarlierSteps) {
  for (const auto *After : {"[4294967296]", "[-4294967296]", "[0.9]", "[-1]",
                            "[1]", "[\"0\"]", "[[0]]", "[null]", "0"})
    BOOST_TEST(!Platform::parseRequest(
                    requestWith("POST",
                                R"({"steps":[{"count":1},{"count":1,"after":)" +
                                    std::string(After) + "}]}"))
                    .has_value(),
               After);
}

BOOST_AUTO_TEST_CASE(RejectsIdsThatCanNotBeWrittenAsJson) {
  for (const auto *Method : {"POST", "GET", "DELETE"}) {
    auto Request = requestWith(Method, R"({"steps":[{"count":1}]})");
    BOOST_TEST(Platform::parseRequest(Request).has_value());
    Request.Path_ = "/jobs/\xff\xfe";
    BOOST_TEST(!Platform::parseRequest(Request).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()
