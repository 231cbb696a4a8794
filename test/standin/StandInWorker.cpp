/// \file
/// Stands in for a worker and the target on it: runs tasks under leases, writes
/// checkpoints, answers quick requests, and tells at /evidence what truly ran.

#include "test/standin/StandInServer.h"

#include "core/Document.h"
#include "wire/WorkerText.h"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <map>

namespace {

using namespace skylark::StandIn;
using namespace skylark;
using Json = nlohmann::json;

constexpr Millis StepEvery{20};

struct RunningTask {
  WorkerTask Task_;
  Micros LeaseUntil_{0};
  Millis Done_{0};
};

/// One line of evidence: what ran, from when to when, on the system clock.
struct EvidenceLine {
  std::string What_;
  AttemptNumber Attempt_ = 0;
  std::int64_t FromMs_ = 0;
  std::int64_t ToMs_ = 0;
  std::string End_;
};

auto nowMs() -> std::int64_t {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class Worker {
public:
  Worker(asio::io_context &Context, Millis ServiceTime)
      : Context_(Context), Timer_(Context), ServiceTime_(ServiceTime),
        Incarnation_(static_cast<Incarnation>(nowMs())) {
    step();
  }

  auto handle(const Request &From) -> void {
    const auto Path = std::string(From->header().path());
    if (Path == "/evidence")
      reply(From, 200, evidence().dump());
    else if (Path == "/set")
      set(From);
    else if (Path == "/v1/worker/poll")
      poll(From);
    else if (Path == "/v1/worker/start")
      start(From);
    else if (Path == "/v1/worker/stop")
      stop(From);
    else if (Path == "/v1/worker/forget")
      forget(From);
    else
      answerQuick(From, Path);
  }

private:
  static auto clock() -> Micros {
    return std::chrono::duration_cast<Micros>(
        std::chrono::steady_clock::now().time_since_epoch());
  }

  auto set(const Request &From) -> void {
    ServiceTime_ = Millis{numberIn(From, "service_ms", ServiceTime_.count())};
    Silent_ = numberIn(From, "silent", 0) != 0;
    BreakAfterRun_ = numberIn(From, "break_after_run", 0) != 0;
    reply(From, 200, "");
  }

  /// True if the agent is the newest that the worker has heard of.
  auto obeys(Incarnation Agent) -> bool {
    if (Agent < Agent_)
      return false;
    Agent_ = Agent;
    return true;
  }

  auto poll(const Request &From) -> void {
    const auto Poll = parsePoll(From->body());
    if (!Poll || !obeys(Poll->Agent_)) {
      reply(From, 409, "");
      return;
    }
    for (const auto &Lease : Poll->Poll_.Leases_) {
      const auto Found = Tasks_.find(Lease.Task_);
      if (Found != Tasks_.end() &&
          Found->second.Task_.Bind_.Attempt_ == Lease.Attempt_)
        Found->second.LeaseUntil_ =
            std::max(Found->second.LeaseUntil_, Lease.LeaseUntil_);
    }
    WorkerInventory Inventory;
    Inventory.Worker_ = Incarnation_;
    Inventory.Clock_ = clock();
    for (const auto &Each : Tasks_)
      Inventory.Tasks_.push_back(Each.second.Task_);
    reply(From, 200, renderInventory(Inventory));
  }

  auto start(const Request &From) -> void {
    const auto Start = parseStart(From->body());
    if (!Start || !obeys(Start->Agent_) ||
        Start->Start_.LeaseUntil_ <= clock()) {
      reply(From, 409, "");
      return;
    }
    const auto &Bind = Start->Start_.Bind_;
    const auto Found = Tasks_.find(Bind.Task_);
    if (Found != Tasks_.end() &&
        (Found->second.Task_.Bind_.Attempt_ >= Bind.Attempt_ ||
         !isEnded(Found->second.Task_.Phase_))) {
      reply(From, 409, "");
      return;
    }
    RunningTask New;
    New.Task_.Bind_ = Bind;
    New.Task_.Checkpoint_ = Bind.Checkpoint_;
    New.LeaseUntil_ = Start->Start_.LeaseUntil_;
    if (!Bind.Checkpoint_.empty())
      New.Done_ = Millis{std::stoll(Bind.Checkpoint_.Value_.substr(3))};
    Tasks_[Bind.Task_] = New;
    note(Bind).FromMs_ = nowMs();
    reply(From, 200, "");
  }

  auto note(const BindTask &Bind) -> EvidenceLine & {
    const auto What =
        Bind.Task_.Job_.Value_ + "/" + std::to_string(Bind.Task_.Index_);
    auto &Line = Lines_[What + "#" + std::to_string(Bind.Attempt_)];
    Line.What_ = What;
    Line.Attempt_ = Bind.Attempt_;
    return Line;
  }

  auto end(RunningTask &Each, TaskPhase Phase, ErrorKind Reason,
           const char *Word) -> void {
    Each.Task_.Phase_ = Phase;
    Each.Task_.Reason_ = Reason;
    Each.Task_.Checkpoint_ = {"ck-" + std::to_string(Each.Done_.count())};
    auto &Line = note(Each.Task_.Bind_);
    Line.ToMs_ = nowMs();
    Line.End_ = Word;
  }

  auto stop(const Request &From) -> void {
    const auto Wanted = parseAttempt(From->body());
    const auto Found = Wanted ? Tasks_.find(Wanted->Task_) : Tasks_.end();
    if (Found != Tasks_.end() && obeys(Wanted->Agent_) &&
        Found->second.Task_.Bind_.Attempt_ == Wanted->Attempt_ &&
        !isEnded(Found->second.Task_.Phase_))
      end(Found->second, TaskPhase::Stopped, ErrorKind::None, "stopped");
    reply(From, 200, "");
  }

  auto forget(const Request &From) -> void {
    const auto Wanted = parseAttempt(From->body());
    const auto Found = Wanted ? Tasks_.find(Wanted->Task_) : Tasks_.end();
    if (Found != Tasks_.end() && obeys(Wanted->Agent_) &&
        Found->second.Task_.Bind_.Attempt_ == Wanted->Attempt_ &&
        isEnded(Found->second.Task_.Phase_))
      Tasks_.erase(Found);
    reply(From, 200, "");
  }

  auto step() -> void {
    for (auto &Each : Tasks_)
      stepTask(Each.second);
    Timer_.expires_after(StepEvery);
    Timer_.async_wait([this](std::error_code Error) {
      if (!Error)
        step();
    });
  }

  auto stepTask(RunningTask &Each) -> void {
    const auto &Bind = Each.Task_.Bind_;
    if (isEnded(Each.Task_.Phase_))
      return;
    if (Each.LeaseUntil_ < clock()) {
      end(Each, TaskPhase::Stopped, ErrorKind::LeaseExpired, "lapsed");
      return;
    }
    Each.Done_ += StepEvery;
    Each.Task_.Checkpoint_ = {"ck-" + std::to_string(Each.Done_.count())};
    if (Bind.Payload_ == "fail")
      end(Each, TaskPhase::Failed, ErrorKind::TaskFailed, "failed");
    else if (Bind.Kind_ == WorkKind::Batch && Each.Done_ >= Bind.RunTime_)
      end(Each, TaskPhase::Finished, ErrorKind::None, "finished");
  }

  auto answerQuick(const Request &From, const std::string &Path) -> void {
    const auto Body = From->body();
    const auto Runs = ++Runs_[Body];
    if (Silent_) {
      Kept_.push_back(From);
      return;
    }
    if (BreakAfterRun_) {
      // The request has run; the connection breaks before any answer.
      From->create_response().connection_close();
      std::abort();
    }
    const auto Answer =
        Json{{"service", Path.substr(1)}, {"body", Body}, {"runs", Runs}}.dump(
            -1, ' ', false, Json::error_handler_t::replace);
    const auto Timer =
        std::make_shared<asio::steady_timer>(Context_, ServiceTime_);
    Timer->async_wait(
        [From, Timer, Answer](std::error_code) { reply(From, 200, Answer); });
  }

  auto evidence() const -> Json {
    auto Lines = Json::array();
    for (const auto &Each : Lines_)
      Lines.push_back({{"task", Each.second.What_},
                       {"attempt", Each.second.Attempt_},
                       {"from_ms", Each.second.FromMs_},
                       {"to_ms", Each.second.ToMs_},
                       {"end", Each.second.End_}});
    return {{"tasks", std::move(Lines)}, {"requests", Runs_}};
  }

  asio::io_context &Context_;
  asio::steady_timer Timer_;
  Millis ServiceTime_;
  Incarnation Incarnation_;
  Incarnation Agent_ = 0;
  std::map<TaskId, RunningTask> Tasks_;
  std::map<std::string, EvidenceLine> Lines_;
  std::map<std::string, int> Runs_;
  bool Silent_ = false;
  bool BreakAfterRun_ = false;
  std::vector<Request> Kept_;
};

} // namespace

auto main(int Count, char **Arguments) -> int {
  if (Count != 3) {
    std::cerr << "usage: standin-worker PORT SERVICE_MS\n";
    return 2;
  }
  asio::io_context Context;
  Worker State(Context, Millis{std::stoi(Arguments[2])});
  serve(Context, static_cast<std::uint16_t>(std::stoi(Arguments[1])),
        [&](const Request &From) { State.handle(From); });
  return 0;
}
