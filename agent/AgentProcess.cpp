#include "agent/AgentProcess.h"

#include "platform/HttpClient.h"
#include "platform/Process.h"
#include "wire/Cbor.h"
#include "wire/Link.h"
#include "wire/WorkerText.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <map>

namespace skylark {
namespace {

constexpr Millis TickEvery{50};
constexpr Millis WorkerTimeout{1000};
/// Time for the last messages to leave before the process ends.
constexpr Millis FlushTime{200};

class AgentProcess {
public:
  explicit AgentProcess(const Settings &Settings)
      : Settings_(Settings), Incarnation_(newIncarnation()),
        Core_(identity(Settings, Incarnation_)), Http_(Threads_.traffic()) {}

  auto run() -> int {
    for (const auto &Entry : Settings_.Entries_)
      connect(Entry);
    Threads_.every(TickEvery, [this] { tick(); });
    Threads_.onTerminate([this] {
      AgentOutbox Out;
      Core_.leave(currentMoment(), Out);
      deliver(std::move(Out));
    });
    Threads_.run();
    return 0;
  }

private:
  static auto identity(const Settings &Settings, Incarnation Number)
      -> AgentIdentity {
    auto Identity = Settings.Agent_;
    Identity.Incarnation_ = Number;
    return Identity;
  }

  /// Runs one decision on the control thread and carries out what it asks.
  template <typename Decide> auto decide(Decide Decision) -> void {
    asio::post(Threads_.control(), [this, Decision = std::move(Decision)] {
      AgentOutbox Out;
      Decision(currentMoment(), Out);
      deliver(std::move(Out));
    });
  }

  auto connect(const Address &Entry) -> void {
    const auto Index = Links_.size();
    LinkHandlers Handlers;
    Handlers.Opened_ = [this, Index](SessionNumber Session,
                                     const std::string &) {
      decide([this, Index, Session](Moment Now, AgentOutbox &Out) {
        LinkOf_[Session] = Index;
        Core_.openSession(Now, Session, Out);
      });
    };
    Handlers.Received_ = [this](SessionNumber Session,
                                const std::string &Bytes) {
      auto Message = decodeEntryMessage(Bytes);
      if (!Message)
        return;
      decide([this, Session, Message = std::move(*Message)](Moment Now,
                                                            AgentOutbox &Out) {
        Core_.receive(Now, Session, Message, Out);
      });
    };
    Handlers.Closed_ = [this](SessionNumber Session) {
      decide([this, Session](Moment Now, AgentOutbox &) {
        LinkOf_.erase(Session);
        Core_.closeSession(Now, Session);
      });
    };
    Links_.push_back(std::make_unique<LinkClient>(
        Threads_.traffic(), Entry.text(), "/agent",
        [this] { return ++NextSession_; }, std::move(Handlers)));
    Links_.back()->start();
  }

  auto tick() -> void {
    const auto Now = currentMoment();
    AgentOutbox Out;
    Core_.tick(Now, Out);
    deliver(std::move(Out));
    for (const auto Session : Core_.silentSessions(Now))
      replace(Session);
  }

  auto replace(SessionNumber Session) -> void {
    const auto Found = LinkOf_.find(Session);
    if (Found == LinkOf_.end())
      return;
    Links_[Found->second]->replace(Session);
    LinkOf_.erase(Found);
    Core_.closeSession(currentMoment(), Session);
  }

  auto deliver(AgentOutbox Out) -> void {
    for (auto &Each : Out)
      std::visit([this](auto &One) { this->carryOut(One); }, Each);
  }

  auto carryOut(SendToEntry &Send) -> void {
    const auto Found = LinkOf_.find(Send.Session_);
    if (Found != LinkOf_.end())
      Links_[Found->second]->send(Send.Session_, encode(Send.Message_));
  }

  auto carryOut(const StartOnWorker &Start) -> void {
    callWorker("start", renderStart(Start, Incarnation_));
  }

  auto carryOut(const StopOnWorker &Stop) -> void {
    callWorker("stop", renderAttempt(Stop.Task_, Stop.Attempt_, Incarnation_));
  }

  auto carryOut(const ForgetOnWorker &Forget) -> void {
    callWorker("forget",
               renderAttempt(Forget.Task_, Forget.Attempt_, Incarnation_));
  }

  auto callWorker(const std::string &Verb, std::string Body) -> void {
    send(postOf(Settings_.Worker_, "/v1/worker/" + Verb, std::move(Body),
                WorkerTimeout),
         [](const HttpResult &) {});
  }

  auto carryOut(const PollWorker &Poll) -> void {
    send(postOf(Settings_.Worker_, "/v1/worker/poll",
                renderPoll(Poll, Incarnation_), WorkerTimeout),
         [this](const HttpResult &Answer) {
           auto Inventory = parseInventory(Answer.Body_);
           if (!Answer.Whole_ || !Inventory)
             return;
           decide([this, Inventory = std::move(*Inventory)](Moment Now,
                                                            AgentOutbox &Out) {
             Core_.workerListed(Now, Inventory, Out);
           });
         });
  }

  auto carryOut(CallTarget &Call) -> void {
    HttpCall Post = postOf(Settings_.Target_, "/" + Call.Service_.Value_,
                           std::move(Call.Body_), Call.Timeout_);
    Post.OwnConnection_ = !Call.Idempotent_;
    send(std::move(Post), [this, Request = Call.Request_](HttpResult Answer) {
      TargetResult Result;
      Result.Request_ = Request;
      Result.Status_ = Answer.Status_;
      if (Answer.Whole_)
        Result.Body_ = std::move(Answer.Body_);
      else
        Result.Error_ =
            Answer.NeverSent_ ? ErrorKind::NoTarget : ErrorKind::TargetFailed;
      decide([this, Result = std::move(Result)](Moment Now, AgentOutbox &Out) {
        Core_.targetAnswered(Now, Result, Out);
      });
    });
  }

  static auto postOf(const Address &Where, const std::string &Path,
                     std::string Body, Micros Timeout) -> HttpCall {
    HttpCall Call;
    Call.Method_ = "POST";
    Call.Url_ = "http://" + Where.text() + Path;
    Call.Body_ = std::move(Body);
    Call.Timeout_ = Timeout;
    return Call;
  }

  auto send(HttpCall Call, std::function<void(HttpResult)> Done) -> void {
    asio::post(Threads_.traffic(), [this, Call = std::move(Call),
                                    Done = std::move(Done)]() mutable {
      Http_.call(std::move(Call), std::move(Done));
    });
  }

  auto carryOut(const LogDecision &Decision) -> void { writeLog(Decision); }

  auto carryOut(const ExitProcess & /*Exit*/) -> void {
    const auto Timer =
        std::make_shared<asio::steady_timer>(Threads_.control(), FlushTime);
    Timer->async_wait([this, Timer](std::error_code) { Threads_.stop(); });
  }

  Settings Settings_;
  Incarnation Incarnation_;
  ProcessThreads Threads_;
  AgentCore Core_;
  HttpClient Http_;
  std::vector<std::unique_ptr<LinkClient>> Links_;
  std::map<SessionNumber, std::size_t> LinkOf_;
  std::atomic<SessionNumber> NextSession_{0};
};

} // namespace

auto runAgent(const Settings &Settings) -> int {
  startLog(Settings.Agent_.Agent_.Value_);
  return AgentProcess(Settings).run();
}

} // namespace skylark
