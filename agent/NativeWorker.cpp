#include "agent/NativeWorker.h"

#include "wire/WorkerText.h"

namespace skylark {
namespace {

constexpr Millis WorkerTimeout{1000};

} // namespace

NativeWorker::NativeWorker(HttpClient &Http, std::string Address,
                           Incarnation Agent, WorkerLinkHandlers Handlers)
    : Http_(Http), Base_("http://" + std::move(Address) + "/v1/worker/"),
      Agent_(Agent), Handlers_(std::move(Handlers)) {}

auto NativeWorker::post(const std::string &Verb, std::string Body,
                        std::function<void(HttpResult)> Done) -> void {
  HttpCall Call;
  Call.Method_ = "POST";
  Call.Url_ = Base_ + Verb;
  Call.Body_ = std::move(Body);
  Call.Timeout_ = WorkerTimeout;
  Http_.call(std::move(Call), std::move(Done));
}

auto NativeWorker::order(const StartOnWorker &Start) -> void {
  post("start", renderStart(Start, Agent_), [](const HttpResult &) {});
}

auto NativeWorker::order(const StopOnWorker &Stop) -> void {
  post("stop", renderAttempt(Stop.Task_, Stop.Attempt_, Agent_),
       [](const HttpResult &) {});
}

auto NativeWorker::order(const ForgetOnWorker &Forget) -> void {
  post("forget", renderAttempt(Forget.Task_, Forget.Attempt_, Agent_),
       [](const HttpResult &) {});
}

auto NativeWorker::order(const PollWorker &Poll) -> void {
  post("poll", renderPoll(Poll, Agent_), [this](const HttpResult &Answer) {
    auto Inventory = parseInventory(Answer.Body_);
    if (Answer.Whole_ && Inventory)
      Handlers_.Listed_(std::move(*Inventory));
  });
}

auto NativeWorker::order(const PaceOnWorker & /*Pace*/) -> void {}

} // namespace skylark
