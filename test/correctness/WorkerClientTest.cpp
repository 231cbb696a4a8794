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

BOOST_AUTO_TEST_SUITE_END()
