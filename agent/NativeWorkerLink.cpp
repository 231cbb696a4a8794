#include "agent/NativeWorkerLink.h"

#include "wire/WorkerJson.h"

namespace skylark {
namespace {

constexpr Millis WorkerTimeout{1000};

} // namespace

NativeWorkerLink::NativeWorkerLink(HttpClient &Http, std::string Address,
                                   Incarnation AgentIncarnation,
                                   WorkerLinkHandlers Handlers)
    : Http_(Http), BaseUrl_("http://" + std::move(Address) + "/v1/worker/"),
      AgentIncarnation_(AgentIncarnation), Handlers_(std::move(Handlers)) {}

auto NativeWorkerLink::post(const std::string &Operation, std::string Body,
                            std::function<void(HttpResult)> Done) -> void {
  HttpCall Call;
  Call.Method_ = "POST";
  Call.Url_ = BaseUrl_ + Operation;
  Call.Body_ = std::move(Body);
  Call.Timeout_ = WorkerTimeout;
  Http_.call(std::move(Call), std::move(Done));
}

auto NativeWorkerLink::execute(const StartOnWorker &Start) -> void {
  post("start", renderStart(Start, AgentIncarnation_),
       [](const HttpResult &) {});
}

auto NativeWorkerLink::execute(const StopOnWorker &Stop) -> void {
  constexpr std::uint16_t HttpOk = 200;
  post("stop", renderAttempt(Stop.Task_, Stop.Attempt_, AgentIncarnation_),
       [this, Stop](const HttpResult &Answer) {
         if (Answer.Complete_ && Answer.Status_ == HttpOk &&
             Handlers_.StopAnswered_)
           Handlers_.StopAnswered_(Stop.Task_, Stop.Attempt_);
       });
}

auto NativeWorkerLink::execute(const ForgetOnWorker &Forget) -> void {
  post("forget",
       renderAttempt(Forget.Task_, Forget.Attempt_, AgentIncarnation_),
       [](const HttpResult &) {});
}

auto NativeWorkerLink::execute(const PollWorker &Poll) -> void {
  post("poll", renderPoll(Poll, AgentIncarnation_),
       [this](const HttpResult &Answer) {
         auto Inventory = parseInventory(Answer.Body_);
         if (Answer.Complete_ && Inventory)
           Handlers_.InventoryReceived_(std::move(*Inventory));
       });
}

auto NativeWorkerLink::execute(const PaceOnWorker & /*Pace*/) -> void {}

} // namespace skylark
