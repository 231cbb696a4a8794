/// \file
/// Tests what the client of a worker of the users' platform makes of the
/// worker's answers.

#include "platform/WorkerClient.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace skylark;

namespace {

using Json = nlohmann::json;

/// Answers each poll as a worker that has `EndCount` ended attempts and lists
/// 500 of them at a time.
class EndedAttempts : public HttpCaller {
public:
  auto call(HttpCall Call, std::function<void(HttpResult)> Done)
      -> void override {
    const auto AcknowledgedThrough =
        Json::parse(Call.Body_).value("acked_through", std::uint64_t{0});
    Json Ended = Json::array();
    for (auto Number = AcknowledgedThrough + 1;
         Number <= EndCount_ && Ended.size() < 500; ++Number)
      Ended.push_back(
          {Number, "j.0.0." + std::to_string(Number), 1, "done", ""});
    HttpResult Answer;
    Answer.Complete_ = true;
    Answer.Status_ = 200;
    Answer.Body_ = Json{{"born", 1},
                        {"clock_ms", ++Clock_},
                        {"running", Json::array()},
                        {"finished", std::move(Ended)}}
                       .dump();
    Done(std::move(Answer));
  }
  std::uint64_t EndCount_ = 0;

private:
  std::int64_t Clock_ = 1000;
};

/// Keeps each call until the test answers it.
class HeldCalls : public HttpCaller {
public:
  auto call(HttpCall Call, std::function<void(HttpResult)> Done)
      -> void override {
    Calls_.push_back({std::move(Call), std::move(Done)});
  }

  auto count() const -> std::size_t { return Calls_.size(); }
  auto path(std::size_t Index) const -> std::string {
    const auto &Url = Calls_.at(Index).first.Url_;
    return Url.substr(Url.rfind('/'));
  }
  auto body(std::size_t Index) const -> Json {
    return Json::parse(Calls_.at(Index).first.Body_);
  }
  auto token(std::size_t Index) const -> Incarnation {
    return body(Index).at("fence").get<Incarnation>();
  }
  auto answer(std::size_t Index, std::uint16_t Status, const Json &Body)
      -> void {
    HttpResult Answer;
    Answer.Complete_ = true;
    Answer.Status_ = Status;
    Answer.Body_ = Body.dump();
    Calls_.at(Index).second(std::move(Answer));
  }
  /// The connection ends without an answer.
  auto lose(std::size_t Index) -> void { Calls_.at(Index).second({}); }

private:
  std::vector<std::pair<HttpCall, std::function<void(HttpResult)>>> Calls_;
};

struct OrderFixture {
  auto start() -> void {
    StartOnWorker Start;
    Start.Bind_.Task_ = {{"j"}, 0};
    Start.Bind_.Attempt_ = 1;
    Start.LeaseUntil_ = Seconds{10};
    Client_.execute(Start);
  }
  auto stop() -> void { Client_.execute(StopOnWorker{{{"j"}, 0}, 1}); }
  auto poll(std::uint64_t Fence) -> void {
    PollWorker Poll;
    Poll.Fence_ = Fence;
    Client_.execute(Poll);
  }

  asio::io_context Traffic_;
  HeldCalls Calls_;
  std::vector<StartOutcome> Outcomes_;
  int StopsAnswered_ = 0;
  std::vector<WorkerInventory> Inventories_;
  WorkerLinkHandlers Handlers_ = [this] {
    WorkerLinkHandlers Handlers;
    Handlers.StartAnswered_ = [this](const TaskId &, AttemptNumber,
                                     StartOutcome Outcome) {
      Outcomes_.push_back(Outcome);
    };
    Handlers.StopAnswered_ = [this](const TaskId &, AttemptNumber) {
      ++StopsAnswered_;
    };
    Handlers.InventoryReceived_ = [this](WorkerInventory Received) {
      Inventories_.push_back(std::move(Received));
    };
    return Handlers;
  }();
  Platform::WorkerClient Client_{
      Traffic_, Calls_, {"127.0.0.1:1", {}, 100}, Handlers_};
};

const Json EmptyList{{"born", 0},
                     {"clock_ms", 1000},
                     {"running", Json::array()},
                     {"finished", Json::array()}};

struct ClientFixture {
  auto poll() -> const WorkerInventory & {
    Client_.execute(PollWorker{});
    return Inventory_;
  }
  auto forgetListed() -> void {
    for (const auto &Each : Inventory_.Tasks_)
      Client_.execute(ForgetOnWorker{Each.Bind_.Task_, Each.Bind_.Attempt_});
  }

  asio::io_context Traffic_;
  EndedAttempts Worker_;
  WorkerInventory Inventory_;
  WorkerLinkHandlers Handlers_ = [this] {
    WorkerLinkHandlers Handlers;
    Handlers.InventoryReceived_ = [this](WorkerInventory Received) {
      Inventory_ = std::move(Received);
    };
    return Handlers;
  }();
  Platform::WorkerClient Client_{Traffic_, Worker_, {}, Handlers_};
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerClients)

// Ends beyond those listed were taken for attempts that the worker had lost,
// and their tasks ran again.
BOOST_FIXTURE_TEST_CASE(AListOfAsManyEndsAsTheWorkerListsIsNotWhole,
                        ClientFixture) {
  Worker_.EndCount_ = 499;
  BOOST_TEST(poll().Complete_);
  Worker_.EndCount_ = 700;
  BOOST_TEST(!poll().Complete_);
  BOOST_TEST(Inventory_.Tasks_.size() == 500U);
  forgetListed();
  BOOST_TEST(poll().Complete_);
  BOOST_TEST(Inventory_.Tasks_.size() == 200U);
}

BOOST_FIXTURE_TEST_CASE(AFenceRaisesTheTokenOfLaterOrders, OrderFixture) {
  poll(5);
  start();
  poll(5);
  poll(6);
  start();
  BOOST_TEST(Calls_.token(1) == Calls_.token(0));
  BOOST_TEST(Calls_.token(2) == Calls_.token(0));
  BOOST_TEST(Calls_.token(3) > Calls_.token(0));
  BOOST_TEST(Calls_.token(4) == Calls_.token(3));
}

BOOST_FIXTURE_TEST_CASE(OnlyAStopThatWasCarriedOutCountsAsAnswered,
                        OrderFixture) {
  for (int Index = 0; Index < 4; ++Index)
    stop();
  Calls_.lose(0);
  Calls_.answer(1, 503, {});
  Calls_.answer(2, 409, {{"reason", "fence"}});
  BOOST_TEST(StopsAnswered_ == 0);
  Calls_.answer(3, 200, {});
  BOOST_TEST(StopsAnswered_ == 1);
}

BOOST_FIXTURE_TEST_CASE(AListNamesTheFenceOfItsPoll, OrderFixture) {
  poll(5);
  poll(6);
  Calls_.answer(1, 200, EmptyList);
  Calls_.answer(0, 200, EmptyList);
  BOOST_REQUIRE(Inventories_.size() == 2U);
  BOOST_TEST(Inventories_[0].Fence_ == 6U);
  BOOST_TEST(Inventories_[1].Fence_ == 5U);
}

// A list that was made before the token changed for another reason than a
// fence shows nothing about the orders that were sent before it.
BOOST_FIXTURE_TEST_CASE(AListFromBeforeAHigherTokenWasSeenIsIgnored,
                        OrderFixture) {
  poll(5);
  start();
  Calls_.answer(1, 409, {{"reason", "fence"}});
  Calls_.answer(0, 200, EmptyList);
  BOOST_TEST(Inventories_.empty());
}

// Each of several orders that a fence had overtaken raised the token by a
// second's worth, beyond that of an agent started anew.
BOOST_FIXTURE_TEST_CASE(OrdersThatAFenceHasOvertakenDoNotRaiseTheToken,
                        OrderFixture) {
  poll(5);
  start();
  start();
  poll(6);
  Calls_.answer(1, 409, {{"reason", "fence"}});
  Calls_.answer(2, 409, {{"reason", "fence"}});
  poll(6);
  BOOST_TEST(Calls_.token(4) == Calls_.token(3));
  BOOST_TEST((Outcomes_ == std::vector<StartOutcome>{StartOutcome::Unknown,
                                                     StartOutcome::Unknown}));
}

BOOST_FIXTURE_TEST_CASE(AStopThatAFenceHasOvertakenIsSentAgain, OrderFixture) {
  poll(5);
  Client_.execute(StopOnWorker{{{"j"}, 0}, 1});
  poll(6);
  Calls_.answer(1, 409, {{"reason", "fence"}});
  BOOST_REQUIRE(Calls_.count() == 4U);
  BOOST_TEST(Calls_.path(3) == "/run-stop");
  BOOST_TEST(Calls_.token(3) == Calls_.token(2));
  // The worker has seen the token of another agent, which may be the later one.
  Calls_.answer(3, 409, {{"reason", "fence"}});
  BOOST_TEST(Calls_.count() == 4U);
}

// Such a start ran after the next agent, with a lower token, had its list.
BOOST_FIXTURE_TEST_CASE(NoStartCarriesATokenThatTheWorkerHasNotAccepted,
                        OrderFixture) {
  poll(5);
  Calls_.answer(0, 200, EmptyList);
  start();
  Calls_.answer(1, 409, {{"reason", "fence"}});
  start();
  BOOST_REQUIRE(Calls_.count() == 2U);
  BOOST_TEST((Outcomes_ == std::vector<StartOutcome>{StartOutcome::Unknown,
                                                     StartOutcome::Unknown}));
  poll(5);
  Calls_.answer(2, 200, EmptyList);
  start();
  BOOST_REQUIRE(Calls_.count() == 4U);
  BOOST_TEST(Calls_.path(3) == "/run-start");
  BOOST_TEST(Calls_.token(3) == Calls_.token(2));
}

// After a step back of the clock the leases ended before it was accepted.
BOOST_FIXTURE_TEST_CASE(AnAgentSoonReachesTheTokenOfItsForerunner,
                        OrderFixture) {
  constexpr Incarnation Seen = 100 + 60 * 1000000;
  poll(5);
  std::size_t Answered = 0;
  for (; Answered < Calls_.count() && Calls_.token(Answered) < Seen; ++Answered)
    Calls_.answer(Answered, 409, {{"reason", "fence"}});
  BOOST_REQUIRE(Answered < Calls_.count());
  BOOST_TEST(Answered <= 6U);
  Calls_.answer(Answered, 200, EmptyList);
  BOOST_TEST(Inventories_.size() == 1U);
  BOOST_TEST(Calls_.count() == Answered + 1);
}

// Two agents that use one worker must not call it without a pause.
BOOST_FIXTURE_TEST_CASE(AWorkerThatAcceptsNoTokenGetsFewPolls, OrderFixture) {
  poll(5);
  for (std::size_t Call = 0; Call < Calls_.count() && Call < 100; ++Call)
    Calls_.answer(Call, 409, {{"reason", "fence"}});
  BOOST_TEST(Calls_.count() <= 11U);
  poll(5);
  Calls_.answer(Calls_.count() - 1, 409, {{"reason", "fence"}});
  BOOST_TEST(Calls_.count() <= 12U);
}

// An overtaken pace that was sent again replaced the one that had followed it.
BOOST_FIXTURE_TEST_CASE(AnOvertakenPaceDoesNotReplaceALaterOne, OrderFixture) {
  Client_.execute(PaceOnWorker{{{"j"}, 0}, 1, 20});
  poll(5);
  Client_.execute(PaceOnWorker{{{"j"}, 0}, 1, 100});
  Calls_.answer(1, 200, EmptyList);
  Calls_.answer(2, 200, {{"clock_ms", 1000}});
  Calls_.answer(0, 409, {{"reason", "fence"}});
  BOOST_TEST(Calls_.count() == 3U);
}

BOOST_FIXTURE_TEST_CASE(APaceThatAFenceHasOvertakenIsSentAgain, OrderFixture) {
  poll(5);
  Client_.execute(PaceOnWorker{{{"j"}, 0}, 1, 20});
  poll(6);
  Calls_.answer(1, 409, {{"reason", "fence"}});
  BOOST_REQUIRE(Calls_.count() == 4U);
  BOOST_TEST(Calls_.path(3) == "/pace");
  BOOST_TEST(Calls_.body(3).at("percent") == 20);
}

// A worker that had started again under its id got a lease that had no end on
// its own clock.
BOOST_FIXTURE_TEST_CASE(ALeaseOnTheClockOfAnEarlierWorkerIsNotSent,
                        OrderFixture) {
  auto List = EmptyList;
  for (const auto Born : {1, 2}) {
    List["born"] = Born;
    Client_.execute(PollWorker{});
    Calls_.answer(Calls_.count() - 1, 200, List);
  }
  // The state machine has decided on this poll before it heard of the new one.
  PollWorker Poll;
  Poll.Worker_ = Inventories_.at(0).Worker_;
  Poll.Leases_.push_back({{{"j"}, 0}, 1, Seconds{480}});
  Client_.execute(Poll);
  BOOST_TEST(!Calls_.body(2).contains("deadline_ms"));
}

BOOST_FIXTURE_TEST_CASE(ARefusalIsReportedWhateverWasSentBefore, OrderFixture) {
  start();
  start();
  Calls_.lose(0);
  Calls_.answer(1, 503, {{"clock_ms", 1000}});
  BOOST_TEST((Outcomes_ == std::vector<StartOutcome>{StartOutcome::Unknown,
                                                     StartOutcome::Refused}));
}

BOOST_AUTO_TEST_SUITE_END()
