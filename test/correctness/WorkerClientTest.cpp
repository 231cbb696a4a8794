/// \file
/// Tests what the client of a worker of the users' platform makes of the
/// worker's answers.

#include "test/correctness/WorkerClientFixture.h"

using namespace skylark;

namespace {

/// Answers each poll as a worker that has `EndCount` ended attempts and lists
/// 500 of them at a time.
class EndedAttempts : public HttpCaller {
public:
  auto call(HttpCall Call, std::function<void(HttpResult)> Done)
      -> void override {
    AcknowledgedThrough_ = std::max(
        AcknowledgedThrough_,
        Json::parse(Call.Body_).value("acked_through", std::uint64_t{0}));
    Json Ended = Json::array();
    for (auto Number = AcknowledgedThrough_ + 1;
         Number <= EndCount_ && Ended.size() < 500; ++Number)
      Ended.push_back(
          {Number, "j.0.0." + std::to_string(Number), 1, "done", ""});
    HttpResult Answer;
    Answer.Complete_ = true;
    Answer.Connection_ = 1;
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
  std::uint64_t AcknowledgedThrough_ = 0;
};

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

// The raises were limited to 64 s each, so that an agent whose clock had been
// set back by a day needed 1,400 polls.
BOOST_FIXTURE_TEST_CASE(AnAgentSoonReachesATokenOfADayAhead, OrderFixture) {
  constexpr Incarnation Seen = 100 + Incarnation{25} * 3600 * 1000000;
  int Polls = 0;
  std::size_t Answered = 0;
  for (; Polls < 30; ++Answered) {
    if (Answered == Calls_.count()) {
      poll(5);
      ++Polls;
    }
    if (Calls_.token(Answered) >= Seen)
      break;
    Calls_.answer(Answered, 409, {{"reason", "fence"}});
  }
  BOOST_REQUIRE(Polls <= 10);
  Calls_.answer(Answered, 200, EmptyList);
  BOOST_TEST(Inventories_.size() == 1U);
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
  Calls_.Born_ = 1;
  poll(0);
  Calls_.answer(0, 200, Calls_.list());
  poll(0);
  Calls_.restart();
  Calls_.lose(1);
  poll(0);
  Calls_.answer(2, 200, Calls_.list());
  // The state machine has decided on this poll before it heard of the new one.
  PollWorker Poll;
  Poll.Worker_ = Inventories_.at(0).Worker_;
  Poll.Leases_.push_back({{{"j"}, 0}, 1, Seconds{480}});
  Client_.execute(Poll);
  BOOST_TEST(Inventories_.at(1).Worker_ == 2U);
  BOOST_TEST(!Calls_.body(3).contains("deadline_ms"));
}

BOOST_FIXTURE_TEST_CASE(ARefusalIsReportedWhateverWasSentBefore, OrderFixture) {
  start();
  start();
  Calls_.lose(0);
  Calls_.answer(1, 503, {{"clock_ms", 1000}});
  BOOST_TEST((Outcomes_ == std::vector<StartOutcome>{StartOutcome::Unknown,
                                                     StartOutcome::Refused}));
}

// Its number counted for the ends of the next life.
BOOST_FIXTURE_TEST_CASE(AnAcknowledgementForAnEarlierLifeIsNotSentToTheNext,
                        OrderFixture) {
  Calls_.Born_ = 1;
  poll(0);
  auto List = Calls_.list();
  for (int Number = 1; Number <= 3; ++Number)
    List["finished"].push_back(
        {Number, "j.0.0." + std::to_string(Number), 1, "done", ""});
  Calls_.answer(0, 200, List);
  for (std::uint32_t Index = 1; Index <= 3; ++Index)
    Client_.execute(ForgetOnWorker{{{"j"}, Index}, 1});
  poll(0);
  BOOST_TEST(Calls_.body(1).at("acked_through") == 3);
  Calls_.restart();
  Calls_.lose(1);
  poll(0);
  BOOST_TEST(Calls_.probes().back().value("acked_through", 0) == 0);
  BOOST_TEST(!Calls_.probes().back().contains("deadline_ms"));
  BOOST_REQUIRE(Calls_.count() == 3U);
  BOOST_TEST(Calls_.body(2).at("acked_through") == 0);
  BOOST_TEST(Calls_.token(2) > Calls_.token(1));
}

// A repeated start ran in the next life, under a deadline of the earlier clock.
BOOST_FIXTURE_TEST_CASE(AStartForAnEarlierLifeIsNotSentToTheNext,
                        OrderFixture) {
  Calls_.Born_ = 1;
  poll(0);
  Calls_.answer(0, 200, Calls_.list());
  start();
  StartOnWorker Repeated;
  Repeated.Bind_.Worker_ = 1;
  Repeated.Bind_.Task_ = {{"j"}, 0};
  Repeated.Bind_.Attempt_ = 1;
  Calls_.restart();
  Calls_.lose(1);
  Client_.execute(Repeated);
  BOOST_TEST(Calls_.count() == 2U);
}

// A call that was answered late by the earlier life was taken for the list of
// the present one.
BOOST_FIXTURE_TEST_CASE(AListOfAnEarlierLifeIsIgnored, OrderFixture) {
  Calls_.Born_ = 1;
  poll(0);
  const auto Earlier = Calls_.list();
  Calls_.restart();
  poll(0);
  Calls_.answer(0, 200, Earlier);
  BOOST_TEST(Inventories_.empty());
  Calls_.answer(1, 200, Calls_.list());
  BOOST_TEST(Inventories_.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AProbeReachesTheTokenOfAForerunner, OrderFixture) {
  constexpr Incarnation Seen = 100 + 60 * 1000000;
  Calls_.HoldsProbes_ = true;
  poll(5);
  std::size_t Answered = 0;
  for (; Answered < Calls_.count() && Calls_.token(Answered) < Seen; ++Answered)
    Calls_.answer(Answered, 409, {{"reason", "fence"}});
  BOOST_REQUIRE(Answered < Calls_.count());
  BOOST_TEST(Answered <= 6U);
  Calls_.answer(Answered, 200, EmptyList);
  BOOST_REQUIRE(Calls_.count() == Answered + 2);
  BOOST_TEST(Calls_.token(Answered + 1) > Seen);
}

BOOST_FIXTURE_TEST_CASE(AWorkerThatAcceptsNoProbeGetsFewOfThem, OrderFixture) {
  Calls_.HoldsProbes_ = true;
  poll(5);
  start();
  for (std::size_t Call = 0; Call < Calls_.count() && Call < 100; ++Call)
    Calls_.answer(Call, 409, {{"reason", "fence"}});
  BOOST_TEST(Calls_.count() <= 11U);
}

BOOST_FIXTURE_TEST_CASE(OrdersAreSentInTheirOrderOnceAProbeIsAnswered,
                        OrderFixture) {
  Calls_.HoldsProbes_ = true;
  start();
  stop();
  poll(0);
  BOOST_REQUIRE(Calls_.count() == 1U);
  for (std::size_t Call = 0; Call < Calls_.count(); ++Call)
    if (Calls_.path(Call) == "/hold")
      Calls_.answer(Call, 200, EmptyList);
  std::vector<std::string> Orders;
  for (std::size_t Call = 0; Call < Calls_.count(); ++Call)
    if (Calls_.path(Call) != "/hold")
      Orders.push_back(Calls_.path(Call));
  BOOST_TEST((Orders == std::vector<std::string>{"/run-start", "/run-stop"}));
}

// While the worker can't be reached no order waits for it.
BOOST_FIXTURE_TEST_CASE(OrdersFailWithTheProbeThatTheyWaitFor, OrderFixture) {
  Calls_.HoldsProbes_ = true;
  start();
  poll(0);
  Calls_.lose(0);
  BOOST_TEST((Outcomes_ == std::vector<StartOutcome>{StartOutcome::Unknown}));
  BOOST_TEST(Calls_.count() == 1U);
  poll(0);
  BOOST_TEST(Calls_.count() == 2U);
}

// Each poll with a number that was answered before could still reach the next
// life late.
BOOST_FIXTURE_TEST_CASE(AnAcknowledgementIsNotRepeatedOnceItWasAnswered,
                        OrderFixture) {
  poll(0);
  auto List = EmptyList;
  List["finished"].push_back({1, "j.0.0.1", 1, "done", ""});
  Calls_.answer(0, 200, List);
  Client_.execute(ForgetOnWorker{{{"j"}, 1}, 1});
  poll(0);
  Calls_.lose(1);
  poll(0);
  Calls_.answer(2, 200, EmptyList);
  poll(0);
  BOOST_TEST(Calls_.body(1).at("acked_through") == 1);
  BOOST_TEST(Calls_.body(2).at("acked_through") == 1);
  BOOST_TEST(Calls_.body(3).at("acked_through") == 0);
}

// A poll behind a later fence had reached the worker first.
BOOST_FIXTURE_TEST_CASE(AnOvertakenProbeIsRepeated, OrderFixture) {
  poll(5);
  Calls_.answer(0, 200, EmptyList);
  poll(5);
  Calls_.HoldsProbes_ = true;
  stop();
  BOOST_REQUIRE(Calls_.count() == 3U);
  Calls_.answer(1, 200, EmptyList);
  poll(6);
  BOOST_TEST(StopsAnswered_ == 0);
  Calls_.answer(2, 409, {{"reason", "fence"}});
  BOOST_TEST(Calls_.path(Calls_.count() - 1) == "/hold");
  BOOST_TEST(Calls_.token(Calls_.count() - 1) > Calls_.token(2));
}

// A stop that waited was lost, though a connection to the worker was in use.
BOOST_FIXTURE_TEST_CASE(AnOrderOutlastsAFailedProbeWhileAConnectionIsInUse,
                        OrderFixture) {
  poll(5);
  Calls_.HoldsProbes_ = true;
  stop();
  Calls_.answer(1, 503, Json::object());
  BOOST_TEST(Calls_.count() == 2U);
  Calls_.answer(0, 200, EmptyList);
  BOOST_REQUIRE(Calls_.count() == 3U);
  BOOST_TEST(Calls_.path(2) == "/run-stop");
}

BOOST_AUTO_TEST_SUITE_END()
