/// \file
/// Stands in for a worker and the target on it: runs tasks under leases, writes
/// checkpoints and answers quick requests. /evidence returns the attempts and
/// requests that it has run, and /set changes its behaviour.

#include "test/standin/StandInServer.h"

#include "core/Document.h"
#include "wire/WorkerJson.h"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <map>

namespace {

using namespace skylark::StandIn;
using namespace skylark;
using Json = nlohmann::json;

constexpr Millis StepInterval{20};

struct RunningTask {
  WorkerTask Task_;
  Micros LeaseUntil_{0};
  /// Run time so far, which the checkpoint stores.
  Millis Progress_{0};
};

/// One attempt that was run; times are of the system clock, 0 if not ended.
struct ExecutionRecord {
  std::string TaskName_;
  AttemptNumber Attempt_ = 0;
  std::int64_t StartedAtMs_ = 0;
  std::int64_t EndedAtMs_ = 0;
  std::string Outcome_;
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
    advanceTasks();
  }

  auto handle(const Request &Incoming) -> void {
    const auto Path = std::string(Incoming->header().path());
    if (Path == "/evidence")
      reply(Incoming, 200, executions().dump());
    else if (Path == "/set")
      configure(Incoming);
    else if (Path == "/v1/worker/poll")
      poll(Incoming);
    else if (Path == "/v1/worker/start")
      start(Incoming);
    else if (Path == "/v1/worker/stop")
      stop(Incoming);
    else if (Path == "/v1/worker/forget")
      forget(Incoming);
    else
      answerQuickRequest(Incoming, Path);
  }

private:
  static auto clock() -> Micros {
    return std::chrono::duration_cast<Micros>(
        std::chrono::steady_clock::now().time_since_epoch());
  }

  auto configure(const Request &Incoming) -> void {
    ServiceTime_ =
        Millis{numberParameter(Incoming, "service_ms", ServiceTime_.count())};
    Silent_ = numberParameter(Incoming, "silent", 0) != 0;
    AbortAfterRun_ = numberParameter(Incoming, "break_after_run", 0) != 0;
    reply(Incoming, 200, "");
  }

  /// Records the incarnation of the agent that sent a request. Returns false if
  /// a newer one has been seen; the request must then be refused.
  auto acceptAgent(Incarnation Agent) -> bool {
    if (Agent < Agent_)
      return false;
    Agent_ = Agent;
    return true;
  }

  auto poll(const Request &Incoming) -> void {
    const auto Poll = parsePoll(Incoming->body());
    if (!Poll || !acceptAgent(Poll->Agent_)) {
      reply(Incoming, 409, "");
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
    reply(Incoming, 200, renderInventory(Inventory));
  }

  auto start(const Request &Incoming) -> void {
    const auto Start = parseStart(Incoming->body());
    if (!Start || !acceptAgent(Start->Agent_) ||
        Start->Start_.LeaseUntil_ <= clock()) {
      reply(Incoming, 409, "");
      return;
    }
    const auto &Bind = Start->Start_.Bind_;
    const auto Found = Tasks_.find(Bind.Task_);
    if (Found != Tasks_.end() &&
        (Found->second.Task_.Bind_.Attempt_ >= Bind.Attempt_ ||
         !isEnded(Found->second.Task_.Phase_))) {
      reply(Incoming, 409, "");
      return;
    }
    RunningTask NewTask;
    NewTask.Task_.Bind_ = Bind;
    NewTask.Task_.Checkpoint_ = Bind.Checkpoint_;
    NewTask.LeaseUntil_ = Start->Start_.LeaseUntil_;
    if (!Bind.Checkpoint_.empty())
      NewTask.Progress_ = Millis{std::stoll(Bind.Checkpoint_.Value_.substr(3))};
    Tasks_[Bind.Task_] = NewTask;
    recordOf(Bind).StartedAtMs_ = nowMs();
    reply(Incoming, 200, "");
  }

  auto recordOf(const BindTask &Bind) -> ExecutionRecord & {
    const auto TaskName =
        Bind.Task_.Job_.Value_ + "/" + std::to_string(Bind.Task_.Index_);
    auto &Record = Records_[TaskName + "#" + std::to_string(Bind.Attempt_)];
    Record.TaskName_ = TaskName;
    Record.Attempt_ = Bind.Attempt_;
    return Record;
  }

  auto end(RunningTask &Each, TaskPhase Phase, ErrorKind Reason,
           const char *Outcome) -> void {
    Each.Task_.Phase_ = Phase;
    Each.Task_.Reason_ = Reason;
    Each.Task_.Checkpoint_ = {"ck-" + std::to_string(Each.Progress_.count())};
    auto &Record = recordOf(Each.Task_.Bind_);
    Record.EndedAtMs_ = nowMs();
    Record.Outcome_ = Outcome;
  }

  auto stop(const Request &Incoming) -> void {
    const auto Attempt = parseAttempt(Incoming->body());
    const auto Found = Attempt ? Tasks_.find(Attempt->Task_) : Tasks_.end();
    if (Found != Tasks_.end() && acceptAgent(Attempt->Agent_) &&
        Found->second.Task_.Bind_.Attempt_ == Attempt->Attempt_ &&
        !isEnded(Found->second.Task_.Phase_))
      end(Found->second, TaskPhase::Stopped, ErrorKind::None, "stopped");
    reply(Incoming, 200, "");
  }

  auto forget(const Request &Incoming) -> void {
    const auto Attempt = parseAttempt(Incoming->body());
    const auto Found = Attempt ? Tasks_.find(Attempt->Task_) : Tasks_.end();
    if (Found != Tasks_.end() && acceptAgent(Attempt->Agent_) &&
        Found->second.Task_.Bind_.Attempt_ == Attempt->Attempt_ &&
        isEnded(Found->second.Task_.Phase_))
      Tasks_.erase(Found);
    reply(Incoming, 200, "");
  }

  auto advanceTasks() -> void {
    for (auto &Each : Tasks_)
      advanceTask(Each.second);
    Timer_.expires_after(StepInterval);
    Timer_.async_wait([this](std::error_code Error) {
      if (!Error)
        advanceTasks();
    });
  }

  auto advanceTask(RunningTask &Each) -> void {
    const auto &Bind = Each.Task_.Bind_;
    if (isEnded(Each.Task_.Phase_))
      return;
    if (Each.LeaseUntil_ < clock()) {
      end(Each, TaskPhase::Stopped, ErrorKind::LeaseExpired, "lapsed");
      return;
    }
    Each.Progress_ += StepInterval;
    Each.Task_.Checkpoint_ = {"ck-" + std::to_string(Each.Progress_.count())};
    if (Bind.Payload_ == "fail")
      end(Each, TaskPhase::Failed, ErrorKind::TaskFailed, "failed");
    else if (Bind.Kind_ == WorkKind::Batch && Each.Progress_ >= Bind.RunTime_)
      end(Each, TaskPhase::Finished, ErrorKind::None, "finished");
  }

  auto answerQuickRequest(const Request &Incoming, const std::string &Path)
      -> void {
    const auto Body = Incoming->body();
    const auto Runs = ++RunCounts_[Body];
    if (Silent_) {
      UnansweredRequests_.push_back(Incoming);
      return;
    }
    if (AbortAfterRun_) {
      // The request has been run, but the connection closes before a response:
      // the caller cannot know the outcome.
      Incoming->create_response().connection_close();
      std::abort();
    }
    const auto Answer =
        Json{{"service", Path.substr(1)}, {"body", Body}, {"runs", Runs}}.dump(
            -1, ' ', false, Json::error_handler_t::replace);
    const auto Timer =
        std::make_shared<asio::steady_timer>(Context_, ServiceTime_);
    Timer->async_wait([Incoming, Timer, Answer](std::error_code) {
      reply(Incoming, 200, Answer);
    });
  }

  auto executions() const -> Json {
    auto Records = Json::array();
    for (const auto &Each : Records_)
      Records.push_back({{"task", Each.second.TaskName_},
                         {"attempt", Each.second.Attempt_},
                         {"from_ms", Each.second.StartedAtMs_},
                         {"to_ms", Each.second.EndedAtMs_},
                         {"end", Each.second.Outcome_}});
    return {{"tasks", std::move(Records)}, {"requests", RunCounts_}};
  }

  asio::io_context &Context_;
  asio::steady_timer Timer_;
  Millis ServiceTime_;
  Incarnation Incarnation_;
  Incarnation Agent_ = 0;
  std::map<TaskId, RunningTask> Tasks_;
  std::map<std::string, ExecutionRecord> Records_;
  std::map<std::string, int> RunCounts_;
  bool Silent_ = false;
  bool AbortAfterRun_ = false;
  /// Stored so that their connections stay open.
  std::vector<Request> UnansweredRequests_;
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
        [&](const Request &Incoming) { State.handle(Incoming); });
  return 0;
}
