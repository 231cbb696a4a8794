/// \file
/// Tests what the client of a worker of the users' platform makes of heartbeats
/// and deregistrations, which may come from another life of the worker.

#include "test/correctness/WorkerClientFixture.h"

using namespace skylark;

namespace {

/// Sends heartbeats as the worker does.
struct HeartbeatFixture : OrderFixture {
  HeartbeatFixture() { Client_.listen(); }

  auto beat(Incarnation Born, std::uint64_t Sequence,
            const std::vector<std::string> &Labels,
            const std::string &Id = "i-1") -> void {
    send("/Instances.Heartbeat/" + Id,
         {{"service", "s"},
          {"state", "ready"},
          {"slots", 8},
          {"capacity", {{"cpu", 1000}, {"mem_mb", 1000}}},
          {"labels", Labels},
          {"born", Born},
          {"seq", Sequence}});
  }
  auto send(const std::string &Path, const Json &Body) -> void {
    HttpCall Call;
    Call.Method_ = "POST";
    Call.Url_ = "http://127.0.0.1:" + std::to_string(HeartbeatPort_) + Path;
    Call.Body_ = Body.dump();
    auto Answered = false;
    Http_.call(std::move(Call), [&](const HttpResult &) { Answered = true; });
    const auto Deadline = std::chrono::steady_clock::now() + Seconds{10};
    while (!Answered) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < Deadline);
      Traffic_.run_one_for(Millis{20});
    }
  }

  HttpClient Http_{Traffic_};
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerHeartbeats)

// Tasks started without the label that they require.
BOOST_FIXTURE_TEST_CASE(ALateHeartbeatOfAnEarlierLifeDescribesNothing,
                        HeartbeatFixture) {
  Calls_.Born_ = 2;
  poll(0);
  Calls_.answer(0, 200, Calls_.list());
  beat(2, 1, {"a"});
  BOOST_TEST(Announced_.size() == 1U);
  beat(1, 40, {"b"});
  beat(2, 2, {"a"});
  BOOST_REQUIRE(Announced_.size() == 2U);
  for (const auto &Each : Announced_)
    BOOST_TEST(Each.Worker_ == 2U);
}

BOOST_FIXTURE_TEST_CASE(AHeartbeatOfANewLifeIsDeliveredOnceThatHasAnswered,
                        HeartbeatFixture) {
  Calls_.Born_ = 1;
  poll(0);
  Calls_.answer(0, 200, Calls_.list());
  beat(1, 7, {"a"});
  Calls_.restart();
  beat(2, 1, {"b"});
  BOOST_REQUIRE(Announced_.size() == 2U);
  BOOST_TEST(Announced_[1].Worker_ == 2U);
}

// The id of a worker that had left was named in every call to the next one.
BOOST_FIXTURE_TEST_CASE(ALateHeartbeatOfAnotherWorkerDoesNotChangeTheId,
                        HeartbeatFixture) {
  Calls_.Born_ = 2;
  poll(0);
  Calls_.answer(0, 200, Calls_.list());
  beat(2, 1, {"a"});
  Calls_.HoldsProbes_ = true;
  beat(1, 40, {"b"}, "i-0");
  BOOST_REQUIRE(Calls_.count() == 2U);
  BOOST_TEST(Calls_.expectedId(1) == "i-0");
  Calls_.answer(1, 421, Json::object());
  BOOST_REQUIRE(Calls_.count() == 3U);
  BOOST_TEST(Calls_.expectedId(2) == "i-1");
  Calls_.answer(2, 200, Calls_.list());
  stop();
  BOOST_TEST(Calls_.expectedId(3) == "i-1");
}

// It ended the tasks of the worker that was there.
BOOST_FIXTURE_TEST_CASE(ALateDeregistrationOfAnEarlierLifeEndsNothing,
                        HeartbeatFixture) {
  Calls_.Born_ = 2;
  poll(0);
  Calls_.answer(0, 200, Calls_.list());
  beat(2, 1, {"a"});
  send("/Instances.Deregister/i-1", Json{{"born", 1}});
  BOOST_TEST(Announced_.size() == 1U);
  send("/Instances.Deregister/i-1", Json{{"born", 2}});
  BOOST_REQUIRE(Announced_.size() == 2U);
  BOOST_TEST(Announced_[1].Exited_);
}

BOOST_AUTO_TEST_SUITE_END()
