/// \file
/// Stands in for a worker of the platform: runs tasks under leases, lists what
/// runs and what has ended, and reports about itself to the agent beside it.
#pragma once

#include "Store.h"

#include <condition_variable>
#include <vector>

namespace review {

/// How the tasks of a job behave on a worker.
struct TaskBehaviour {
  Millis Work_{1000};
  /// The task ends `failed` once its work is done.
  bool Fails_ = false;
  /// Task runs until it is stopped.
  bool Lasts_ = false;
};

/// One run of a task, as seen by its worker.
struct Run {
  std::string Task_;
  std::uint64_t Number_ = 0;
  std::string Worker_;
  double StartedAt_ = 0;
  /// Negative while the task runs.
  double EndedAt_ = -1;
  /// done, failed, stopped or lapsed; crashed if the worker has ended.
  std::string How_;
  /// Whether acked_through has reached the end.
  bool Noted_ = false;
  double NotedAt_ = -1;
  /// Whether the worker's lease lapsed between the end and the note.
  bool LapsedBetween_ = false;
};

/// What all workers have run.
class RunLog {
public:
  explicit RunLog(Record &Log) : Log_(Log) {}

  auto setBehaviour(const std::string &Job, TaskBehaviour Behaviour) -> void {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Behaviours_[Job] = Behaviour;
  }

  auto behaviour(const std::string &Task) -> TaskBehaviour {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return Behaviours_[Task.substr(0, Task.find('.'))];
  }

  auto started(const std::string &Task, std::uint64_t Number,
               const std::string &Worker) -> std::size_t {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Run Started;
    Started.Task_ = Task;
    Started.Number_ = Number;
    Started.Worker_ = Worker;
    Started.StartedAt_ = Log_.now();
    Runs_.push_back(Started);
    if (Verbose_)
      Log_.line(Worker + ": start of " + Task + " run " +
                std::to_string(Number));
    return Runs_.size() - 1;
  }

  auto ended(std::size_t Index, const std::string &How) -> void {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    auto &Ended = Runs_[Index];
    Ended.EndedAt_ = Log_.now();
    Ended.How_ = How;
    if (Verbose_)
      Log_.line(Ended.Worker_ + ": end of " + Ended.Task_ + " run " +
                std::to_string(Ended.Number_) + " " + How);
  }

  auto noted(std::size_t Index) -> void {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Runs_[Index].Noted_ = true;
    Runs_[Index].NotedAt_ = Log_.now();
  }

  auto lapsedBetween(std::size_t Index) -> void {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Runs_[Index].LapsedBetween_ = true;
  }

  auto runs() -> std::vector<Run> {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return Runs_;
  }

  /// The runs of one job's tasks.
  auto runsOf(const std::string &Job) -> std::vector<Run> {
    std::vector<Run> Result;
    for (const auto &Each : runs())
      if (Each.Task_.compare(0, Job.size() + 1, Job + ".") == 0)
        Result.push_back(Each);
    return Result;
  }

  auto setVerbose(bool Verbose) -> void { Verbose_ = Verbose; }

private:
  Record &Log_;
  std::mutex Mutex_;
  std::map<std::string, TaskBehaviour> Behaviours_;
  std::vector<Run> Runs_;
  bool Verbose_ = true;
};

struct WorkerOptions {
  std::string Name_;
  std::string Host_;
  int Port_ = 0;
  /// Where the agent beside the worker takes heartbeats.
  int ControlPort_ = 0;
  std::string Zone_;
  std::string Rack_;
  std::string Service_;
  std::int64_t MilliCores_ = 32000;
  std::int64_t MemoryMb_ = 128000;
};

class Worker {
public:
  Worker(Record &Log, RunLog &Runs, WorkerOptions Options)
      : Log_(Log), Runs_(Runs), Options_(std::move(Options)) {}
  ~Worker() {
    if (Alive_)
      end("gone");
  }
  Worker(const Worker &) = delete;
  auto operator=(const Worker &) -> Worker & = delete;

  auto start() -> void {
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Id_ = "i-" + Options_.Name_ + "-" + std::to_string(++Lives_);
      Born_ = std::chrono::duration_cast<Millis>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
      StartedAt_ = Clock::now();
      Fence_ = 0;
      LeaseEnd_ = 0;
      Sequence_ = 0;
      LastEnd_ = 0;
      Alive_ = true;
    }
    Log_.line(Options_.Name_ + ": worker starts as " + Id_);
    Server_ = std::make_unique<HttpServer>(
        Options_.Host_, Options_.Port_,
        [this](const HttpRequest &Request) { return handle(Request); });
    Server_->start();
    Heart_ = std::thread([this] { beat(); });
    Ticker_ = std::thread([this] { tick(); });
  }

  /// The worker crashes: everything on it ends and nothing is reported.
  auto crash() -> void { end("crashed"); }

  auto name() const -> const std::string & { return Options_.Name_; }
  auto alive() const -> bool { return Alive_; }

private:
  static constexpr std::size_t MaxListedEnds = 500;
  static constexpr std::int64_t MaxHoldMs = 10000;
  static constexpr Millis HeartbeatInterval{1100};
  static constexpr Millis StopDuration{100};

  struct Running {
    std::uint64_t Run_ = 0;
    std::size_t Index_ = 0;
    Clock::time_point StartedAt_;
    TaskBehaviour Behaviour_;
    Clock::time_point StopAt_ = Clock::time_point::max();
  };
  struct End {
    std::uint64_t Number_ = 0;
    std::string Task_;
    std::uint64_t Run_ = 0;
    std::string How_;
    std::size_t Index_ = 0;
  };

  auto end(const std::string &How) -> void {
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Alive_ = false;
      for (const auto &[Task, Each] : Running_)
        Runs_.ended(Each.Index_, How);
      Running_.clear();
      Ended_.clear();
      HighestEnded_.clear();
      Changed_.notify_all();
    }
    Log_.line(Options_.Name_ + ": worker " + Id_ + " " + How);
    Server_->stop();
    Server_.reset();
    Heart_.join();
    Ticker_.join();
  }

  auto clockMs() const -> std::int64_t {
    return std::chrono::duration_cast<Millis>(Clock::now() - StartedAt_)
        .count();
  }

  auto beat() -> void {
    while (Alive_) {
      Json Beat{
          {"service", Options_.Service_},
          {"address", Options_.Host_ + ":" + std::to_string(Options_.Port_)},
          {"zone", Options_.Zone_},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"capacity",
           {{"cpu", Options_.MilliCores_},
            {"mem_mb", Options_.MemoryMb_},
            {"gpu", 0}}},
          {"labels", {"a", Options_.Rack_}},
          {"clock_ms", clockMs()},
          {"born", Born_},
          {"seq", ++Sequence_}};
      httpCall(Options_.Host_, Options_.ControlPort_, "POST",
               "/Instances.Heartbeat/" + Id_, Beat.dump(), Millis{1000});
      for (Millis Waited{0}; Waited < HeartbeatInterval && Alive_;
           Waited += Millis{20})
        std::this_thread::sleep_for(Millis{20});
    }
  }

  auto tick() -> void {
    while (Alive_) {
      std::this_thread::sleep_for(Millis{5});
      const std::lock_guard<std::mutex> Lock(Mutex_);
      const auto Now = Clock::now();
      const auto Lapsed = clockMs() > LeaseEnd_;
      if (Lapsed)
        for (const auto &Each : Ended_)
          Runs_.lapsedBetween(Each.Index_);
      std::vector<std::pair<std::string, std::string>> Ends;
      for (const auto &[Task, Each] : Running_) {
        const auto &Behaviour = Each.Behaviour_;
        if (Lapsed)
          Ends.emplace_back(Task, "lapsed");
        else if (Now >= Each.StopAt_)
          Ends.emplace_back(Task, "stopped");
        else if (!Behaviour.Lasts_ && Now - Each.StartedAt_ >= Behaviour.Work_)
          Ends.emplace_back(Task, Behaviour.Fails_ ? "failed" : "done");
      }
      for (const auto &[Task, How] : Ends)
        endRun(Task, How);
    }
  }

  auto endRun(const std::string &Task, const std::string &How) -> void {
    const auto Found = Running_.find(Task);
    const auto Run = Found->second.Run_;
    const auto Index = Found->second.Index_;
    Running_.erase(Found);
    HighestEnded_[Task] = std::max(HighestEnded_[Task], Run);
    Ended_.push_back({++LastEnd_, Task, Run, How, Index});
    Runs_.ended(Index, How);
    Changed_.notify_all();
  }

  auto answer(int Status, Json Body) -> HttpResponse {
    Body["clock_ms"] = clockMs();
    Body["born"] = Born_;
    return {Status, Body.dump()};
  }

  auto handle(const HttpRequest &Request) -> HttpResponse {
    const auto Expected = Request.Headers_.find("expected-instance");
    if (Expected != Request.Headers_.end() && Expected->second != Id_)
      return answer(421, Json::object());
    std::unique_lock<std::mutex> Lock(Mutex_);
    try {
      const auto Body = Json::parse(Request.Body_);
      const auto Fence = Body.value("fence", std::uint64_t{0});
      if (Fence < Fence_)
        return answer(409, {{"reason", "fence"}});
      Fence_ = Fence;
      if (Request.Path_ == "/run-start")
        return startRun(Body);
      if (Request.Path_ == "/run-stop")
        return stopRun(Body);
      if (Request.Path_ == "/pace")
        return answer(200, Json::object());
      if (Request.Path_ == "/hold")
        return hold(Body, Lock);
    } catch (const std::exception &Error) {
      return answer(400, {{"error", Error.what()}});
    }
    return answer(404, Json::object());
  }

  auto extendLease(const Json &Body) -> void {
    if (Body.contains("deadline_ms"))
      LeaseEnd_ =
          std::max(LeaseEnd_, std::min(Body["deadline_ms"].get<std::int64_t>(),
                                       clockMs() + MaxHoldMs));
  }

  auto startRun(const Json &Body) -> HttpResponse {
    const auto Task = Body.at("task").get<std::string>();
    const auto Run = Body.at("run").get<std::uint64_t>();
    if (Body.at("deadline_ms").get<std::int64_t>() <= clockMs())
      return answer(409, {{"reason", "late"}});
    extendLease(Body);
    const auto Found = Running_.find(Task);
    if (Found != Running_.end() && Found->second.Run_ == Run)
      return answer(200, Json::object());
    const auto Ended = HighestEnded_.find(Task);
    if (Found != Running_.end() ||
        (Ended != HighestEnded_.end() && Run <= Ended->second))
      return answer(409, {{"reason", "old"}});
    Running New;
    New.Run_ = Run;
    New.StartedAt_ = Clock::now();
    New.Behaviour_ = Runs_.behaviour(Task);
    New.Index_ = Runs_.started(Task, Run, Options_.Name_);
    Running_[Task] = New;
    return answer(200, Json::object());
  }

  auto stopRun(const Json &Body) -> HttpResponse {
    const auto Task = Body.at("task").get<std::string>();
    const auto Run = Body.at("run").get<std::uint64_t>();
    const auto Found = Running_.find(Task);
    if (Found != Running_.end() && Found->second.Run_ <= Run)
      Found->second.StopAt_ =
          std::min(Found->second.StopAt_, Clock::now() + StopDuration);
    else if (Found == Running_.end())
      HighestEnded_[Task] = std::max(HighestEnded_[Task], Run);
    return answer(200, Json::object());
  }

  auto hold(const Json &Body, std::unique_lock<std::mutex> &Lock)
      -> HttpResponse {
    extendLease(Body);
    const auto Through = Body.value("acked_through", std::uint64_t{0});
    while (!Ended_.empty() && Ended_.front().Number_ <= Through) {
      Runs_.noted(Ended_.front().Index_);
      Ended_.erase(Ended_.begin());
    }
    const Millis Wait{Body.value("wait_ms", 0)};
    const auto Life = Lives_;
    Changed_.wait_for(Lock, Wait, [&] {
      return !Ended_.empty() || !Alive_ || Life != Lives_;
    });
    Json Answer{{"running", Json::array()}, {"finished", Json::array()}};
    for (const auto &[Task, Each] : Running_)
      Answer["running"].push_back({Task, Each.Run_, "", 50, 100});
    for (const auto &Each : Ended_) {
      if (Answer["finished"].size() >= MaxListedEnds)
        break;
      Answer["finished"].push_back(
          {Each.Number_, Each.Task_, Each.Run_, Each.How_, ""});
    }
    return answer(200, std::move(Answer));
  }

  Record &Log_;
  RunLog &Runs_;
  WorkerOptions Options_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::string Id_;
  std::int64_t Born_ = 0;
  int Lives_ = 0;
  std::atomic<bool> Alive_{false};
  Clock::time_point StartedAt_;
  std::uint64_t Fence_ = 0;
  std::int64_t LeaseEnd_ = 0;
  std::uint64_t Sequence_ = 0;
  std::uint64_t LastEnd_ = 0;
  std::map<std::string, Running> Running_;
  std::map<std::string, std::uint64_t> HighestEnded_;
  std::vector<End> Ended_;
  std::unique_ptr<HttpServer> Server_;
  std::thread Heart_;
  std::thread Ticker_;
};

} // namespace review
