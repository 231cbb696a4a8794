/// \file
/// Tests what the client of a worker of the users' platform makes of the
/// worker's answers.

#include "platform/WorkerClient.h"
#include "test/correctness/FreePort.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <set>

using namespace skylark;

namespace {

using Json = nlohmann::json;

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

/// A worker whose calls the test answers, but for probes, which are answered at
/// once. Each open call has a connection of its own, and each connection ends
/// with the life of the worker that accepted it.
class HeldCalls : public HttpCaller {
public:
  auto call(HttpCall Call, std::function<void(HttpResult)> Done)
      -> void override {
    const auto Connection = takeConnection();
    HttpResult Result;
    Result.Connection_ = Connection;
    if (Call.Admit_ && !Call.Admit_(Connection)) {
      Result.NeverSent_ = true;
      Done(std::move(Result));
      return;
    }
    Result.Copies_ = 1;
    const auto IsProbe = !Call.Admit_;
    if (IsProbe)
      Probes_.push_back(Json::parse(Call.Body_));
    Calls_.push_back({std::move(Call), std::move(Result), std::move(Done)});
    if (!IsProbe || HoldsProbes_)
      return;
    auto Probe = std::move(Calls_.back());
    Calls_.pop_back();
    finish(Probe, 200, list());
  }

  auto count() const -> std::size_t { return Calls_.size(); }
  auto probes() const -> const std::vector<Json> & { return Probes_; }
  auto path(std::size_t Index) const -> std::string {
    const auto &Url = Calls_.at(Index).Call_.Url_;
    return Url.substr(Url.rfind('/'));
  }
  auto body(std::size_t Index) const -> Json {
    return Json::parse(Calls_.at(Index).Call_.Body_);
  }
  auto token(std::size_t Index) const -> Incarnation {
    return body(Index).at("fence").get<Incarnation>();
  }
  /// The id of the worker that a call names; empty if it names none.
  auto expectedId(std::size_t Index) const -> std::string {
    const std::string Name = "Expected-Instance: ";
    for (const auto &Line : Calls_.at(Index).Call_.Headers_)
      if (Line.compare(0, Name.size(), Name) == 0)
        return Line.substr(Name.size());
    return {};
  }
  auto answer(std::size_t Index, std::uint16_t Status, const Json &Body)
      -> void {
    auto Each = Calls_.at(Index);
    finish(Each, Status, Body);
  }
  /// The connection ends without an answer.
  auto lose(std::size_t Index) -> void {
    auto Each = Calls_.at(Index);
    Each.Done_(std::move(Each.Result_));
  }
  /// Starts the worker again under its id. The open calls are lost.
  auto restart() -> void {
    ++Born_;
    Idle_.clear();
  }
  /// An empty list of attempts.
  auto list() const -> Json {
    return {{"born", Born_},
            {"clock_ms", 1000},
            {"running", Json::array()},
            {"finished", Json::array()}};
  }

  Incarnation Born_ = 0;
  bool HoldsProbes_ = false;

private:
  struct HeldCall {
    HttpCall Call_;
    HttpResult Result_;
    std::function<void(HttpResult)> Done_;
  };

  auto takeConnection() -> std::uint64_t {
    if (Idle_.empty())
      return ++LastConnection_;
    const auto First = *Idle_.begin();
    Idle_.erase(Idle_.begin());
    return First;
  }
  auto finish(HeldCall &Each, std::uint16_t Status, const Json &Body) -> void {
    Idle_.insert(Each.Result_.Connection_);
    Each.Result_.Complete_ = true;
    Each.Result_.Status_ = Status;
    Each.Result_.Body_ = Body.dump();
    Each.Done_(std::move(Each.Result_));
  }

  std::vector<HeldCall> Calls_;
  std::vector<Json> Probes_;
  std::set<std::uint64_t> Idle_;
  std::uint64_t LastConnection_ = 0;
};

struct OrderFixture {
  auto start() -> void {
    StartOnWorker Start;
    Start.Bind_.Worker_ = Calls_.Born_;
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
  std::vector<WorkerAnnouncement> Announced_;
  std::uint16_t HeartbeatPort_ = freePort();
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
    Handlers.AnnouncementReceived_ = [this](WorkerAnnouncement Received) {
      Announced_.push_back(std::move(Received));
    };
    return Handlers;
  }();
  Platform::WorkerClient Client_{
      Traffic_,
      Calls_,
      {"127.0.0.1:1", {"127.0.0.1", HeartbeatPort_}, 100},
      Handlers_};
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
