/// \file
/// Tests over real connections that a task runs in one place at a time, however
/// the calls to the workers fail: agents with their HTTP clients, workers that
/// answer only some calls, and an owner that binds a task elsewhere as soon as
/// it hears that an attempt has ended.

#include "test/process/AgentPair.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <optional>

using namespace skylark;
using namespace skylark::ProcessTest;
using namespace skylark::StandIn;

namespace {

/// How long a test may take before it counts as hung.
constexpr Seconds HangTimeout{60};

/// Runs the context until the condition holds.
auto runUntil(asio::io_context &Context, const std::function<bool()> &Condition)
    -> void {
  const auto Deadline = std::chrono::steady_clock::now() + HangTimeout;
  while (!Condition()) {
    BOOST_REQUIRE(std::chrono::steady_clock::now() < Deadline);
    Context.run_one_for(Millis{20});
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RefusedStarts)

// What the agents must reckon with: libcurl repeats a request by itself.
BOOST_AUTO_TEST_CASE(ARequestOnAKeptConnectionThatBreaksIsSentTwice) {
  asio::io_context Context;
  RunLog Runs;
  FaultyWorker Worker(Context, "worker", Runs, 1);
  HttpClient Http(Context);
  const auto Post = [&] {
    HttpCall Call;
    Call.Method_ = "POST";
    Call.Url_ = "http://" + Worker.address() + "/run-stop";
    Call.Body_ = R"({"task":"job.0.0.0","run":1})";
    Call.Timeout_ = HangTimeout;
    std::optional<HttpResult> Answer;
    Http.call(Call, [&](HttpResult Result) { Answer = std::move(Result); });
    runUntil(Context, [&] { return Answer.has_value(); });
    return *Answer;
  };
  BOOST_TEST(Post().Copies_ == 1);
  Worker.script({CallFate::Broken, CallFate::Refused});
  const auto Second = Post();
  BOOST_TEST(Second.Complete_);
  BOOST_TEST(Second.Status_ == 503);
  BOOST_TEST(Second.Copies_ == 2);
  BOOST_TEST(Worker.orderCount() == 3);
}

// The task was bound elsewhere while the first copy of its start ran.
BOOST_AUTO_TEST_CASE(ATaskWhoseStartIsRefusedInASecondCopyRunsOn) {
  asio::io_context Context;
  AgentPair Tested(Context, 1, HangTimeout);
  runUntil(Context, [&] { return Tested.ready(); });
  // The connection that this leaves open is used for the next start.
  Tested.submit(0);
  runUntil(Context, [&] { return Tested.unfinished() == 0; });
  Tested.worker(0).script({CallFate::Broken, CallFate::Refused});
  Tested.submit(0);
  runUntil(Context, [&] { return Tested.unfinished() == 0; });
  BOOST_TEST(Tested.runs().violations().empty());
  BOOST_TEST(Tested.highestAttempt() == 1U);
  BOOST_TEST(Tested.runs().startCount() == 2);
}

// Tasks ran twice when the copies of an order met different fates.
BOOST_AUTO_TEST_CASE(NoTaskRunsTwiceHoweverCallsFail) {
  struct Mix {
    FaultShares Orders_;
    FaultShares Polls_;
  };
  const std::array<Mix, 4> Mixes{{{{45, 40, 0}, {0, 0, 0}},
                                  {{30, 30, 30}, {0, 0, 0}},
                                  {{30, 30, 30}, {15, 15, 15}},
                                  {{0, 30, 60}, {10, 10, 10}}}};
  constexpr std::uint32_t SeedsPerMix = 2;
  constexpr int TaskCount = 80;
  asio::io_context Context;
  std::vector<std::unique_ptr<AgentPair>> Pairs;
  for (std::uint32_t Index = 0; Index < Mixes.size() * SeedsPerMix; ++Index)
    Pairs.push_back(
        std::make_unique<AgentPair>(Context, 1 + Index, Millis{2000}));
  const auto AllOf = [&](const std::function<bool(const AgentPair &)> &Holds) {
    return [&Pairs, Holds] {
      return std::all_of(Pairs.begin(), Pairs.end(),
                         [&](const auto &Each) { return Holds(*Each); });
    };
  };
  runUntil(Context, AllOf([](const AgentPair &Each) { return Each.ready(); }));
  for (std::size_t Index = 0; Index < Pairs.size(); ++Index) {
    const auto &Chosen = Mixes[Index / SeedsPerMix];
    Pairs[Index]->setFaults(Chosen.Orders_, Chosen.Polls_);
  }
  int Submitted = 0;
  Periodic Submissions(Context, Millis{30}, [&] {
    if (Submitted == TaskCount)
      return;
    for (auto &Each : Pairs)
      Each->submit(Submitted % 2);
    ++Submitted;
  });
  runUntil(Context, [&] { return Submitted == TaskCount; });
  for (auto &Each : Pairs)
    Each->setFaults({}, {});
  runUntil(Context,
           AllOf([](const AgentPair &Each) { return Each.unfinished() == 0; }));
  runUntil(Context,
           AllOf([](const AgentPair &Each) { return Each.settled(); }));
  for (std::size_t Index = 0; Index < Pairs.size(); ++Index) {
    BOOST_TEST_CONTEXT("seed " << 1 + Index)
    for (const auto &Each : Pairs[Index]->runs().violations())
      BOOST_ERROR(Each);
    BOOST_TEST(Pairs[Index]->runs().startCount() >= TaskCount);
    BOOST_TEST(Pairs[Index]->orderCount() > TaskCount);
  }
}

BOOST_AUTO_TEST_SUITE_END()
