/// \file
/// Stands in for a worker. The spec of a job is a JSON object that says what
/// its tasks do: `ms` of work, or `lasts`; `cpu` and `mem` that each takes; and
/// the `tail` that a serving task reports, whatever runs beside it.
#pragma once

#include "Store.h"

namespace skylark::review2 {

/// One run of a task on a worker.
struct RunRecord {
  std::string Task_;
  std::uint64_t Run_ = 0;
  std::string Worker_;
  Millis StartedAt_{0};
  /// Empty while the run goes on; "crash" if it ended with its worker.
  std::string How_;
  int Cpu_ = 0;
  int Memory_ = 0;
  /// The kind of the worker at the start.
  std::string Kind_;

  auto job() const -> std::string { return Task_.substr(0, Task_.find('.')); }
};

/// What all workers have run.
class RunLog {
public:
  explicit RunLog(Record &Log) : Log_(Log) {}

  auto start(RunRecord New) -> std::size_t {
    New.StartedAt_ = Log_.now();
    Log_.line(New.Worker_ + ": starts " + New.Task_ + " run " +
              std::to_string(New.Run_));
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Runs_.push_back(std::move(New));
    return Runs_.size() - 1;
  }
  auto end(std::size_t Index, const std::string &How) -> void {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    auto &Ended = Runs_[Index];
    Ended.How_ = How;
    Log_.line(Ended.Worker_ + ": ends " + Ended.Task_ + " run " +
              std::to_string(Ended.Run_) + ": " + How);
  }
  auto all() const -> std::vector<RunRecord> {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return Runs_;
  }

private:
  Record &Log_;
  mutable std::mutex Mutex_;
  std::vector<RunRecord> Runs_;
};

struct WorkerOptions {
  std::string Name_;
  std::string Host_;
  int Port_ = 0;
  int ControlPort_ = 0;
  std::string Zone_;
  std::string Service_;
  std::string Rack_;
  std::string Kind_ = "a";
  int Cpu_ = 32000;
  int Memory_ = 125000;
  Millis LongestHold_{10000};
  Millis HeartbeatInterval_{1100};
  Millis StopTime_{300};
};

class Worker {
public:
  Worker(Record &Log, RunLog &Runs, WorkerOptions Options)
      : Log_(Log), Runs_(Runs), Options_(std::move(Options)),
        Server_(
            Options_.Host_, Options_.Port_,
            [this](const HttpRequest &Request) { return handle(Request); }) {
    std::thread([this] { advancePeriodically(); }).detach();
    std::thread([this] { sendHeartbeats(); }).detach();
  }

  auto options() const -> const WorkerOptions & { return Options_; }
  auto alive() const -> bool { return Alive_; }

  /// A heartbeat that has left the worker and not arrived yet.
  struct Heartbeat {
    std::string Path_;
    std::string Body_;
  };

  /// Begins a new life.
  auto start() -> void { start(Options_.Kind_, true); }

  /// \param Kind the kind of the new life.
  /// \param NewId whether it has another id than the one before.
  auto start(const std::string &Kind, bool NewId) -> void {
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      BornAt_ = Clock::now();
      Born_ = std::chrono::duration_cast<Millis>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
      ++Lives_;
      if (NewId)
        Id_ = "i-" + Options_.Name_ + "-" + std::to_string(Lives_);
      Options_.Kind_ = Kind;
      Acknowledged_ = 0;
      Fence_ = 0;
      LeaseUntil_ = Millis{0};
      Sequence_ = 0;
      LastEnd_ = 0;
      Ended_.clear();
      HighestEnded_.clear();
      Alive_ = true;
    }
    Server_.start();
    Log_.line(Options_.Name_ + ": up, born " + std::to_string(Born_) +
              ", kind " + Kind);
  }

  /// Makes the next heartbeat without delivering it.
  auto makeHeartbeat() -> Heartbeat {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return {"/Instances.Heartbeat/" + Id_, heartbeat().dump()};
  }
  /// \returns whether the agent has acknowledged it.
  auto deliver(const Heartbeat &Each) const -> bool {
    return httpCall(Options_.Host_, Options_.ControlPort_, "POST", Each.Path_,
                    Options_.Host_, Each.Body_, Millis{1000})
               .Status_ == 200;
  }
  /// How many heartbeats of this life have been acknowledged.
  auto acknowledged() const -> int { return Acknowledged_; }

  /// Ends with all that it runs, and tells nobody.
  auto crash() -> void {
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Alive_ = false;
      for (const auto &Each : Running_)
        Runs_.end(Each.second.Index_, "crash");
      Running_.clear();
      Changed_.notify_all();
    }
    Server_.stop();
    Log_.line(Options_.Name_ + ": crashes");
  }

private:
  struct Run {
    std::uint64_t Number_ = 0;
    std::size_t Index_ = 0;
    Json Spec_;
    Millis Work_{0};
    int Percent_ = 100;
    std::optional<Millis> StopsAt_;
  };
  struct End {
    std::uint64_t Number_ = 0;
    std::string Task_;
    std::uint64_t Run_ = 0;
    std::string How_;
  };

  auto clock() const -> Millis {
    return std::chrono::duration_cast<Millis>(Clock::now() - BornAt_);
  }

  auto handle(const HttpRequest &Request) -> std::optional<HttpResponse> {
    std::unique_lock<std::mutex> Lock(Mutex_);
    if (!Alive_)
      return std::nullopt;
    const auto Instance = Request.Headers_.find("expected-instance");
    if (Instance != Request.Headers_.end() && Instance->second != Id_)
      return HttpResponse{421, answer().dump()};
    const auto Call = Json::parse(Request.Body_, nullptr, false);
    if (!Call.is_object())
      return HttpResponse{400, answer().dump()};
    const auto Fence = Call.value("fence", std::uint64_t{0});
    if (Fence < Fence_)
      return refuse("fence");
    Fence_ = Fence;
    if (Request.Path_ == "/run-start")
      return startRun(Call);
    if (Request.Path_ == "/run-stop")
      return stopRun(Call);
    if (Request.Path_ == "/pace")
      return paceRun(Call);
    if (Request.Path_ == "/hold")
      return hold(Call, Lock);
    return HttpResponse{404, answer().dump()};
  }

  auto answer() const -> Json {
    return {{"clock_ms", clock().count()}, {"born", Born_}};
  }
  auto refuse(const char *Reason) const -> HttpResponse {
    auto Body = answer();
    Body["reason"] = Reason;
    return {409, Body.dump()};
  }
  auto accept() const -> HttpResponse { return {200, answer().dump()}; }

  auto extendLease(const Json &Call) -> void {
    if (Call.contains("deadline_ms"))
      LeaseUntil_ = std::max(
          LeaseUntil_, std::min(Millis{Call["deadline_ms"].get<std::int64_t>()},
                                clock() + Options_.LongestHold_));
  }

  auto startRun(const Json &Call) -> HttpResponse {
    const auto Task = Call["task"].get<std::string>();
    const auto Number = Call["run"].get<std::uint64_t>();
    if (Millis{Call["deadline_ms"].get<std::int64_t>()} < clock())
      return refuse("late");
    extendLease(Call);
    const auto Found = Running_.find(Task);
    if (Found != Running_.end() && Found->second.Number_ == Number)
      return accept();
    const auto Highest = HighestEnded_.find(Task);
    if ((Found != Running_.end() && Found->second.Number_ >= Number) ||
        (Highest != HighestEnded_.end() && Highest->second >= Number))
      return refuse("old");
    Run New;
    New.Number_ = Number;
    New.Spec_ = Json::parse(Call["spec"].get<std::string>());
    New.Index_ = Runs_.start({Task, Number, Options_.Name_, Millis{0}, "",
                              New.Spec_.value("cpu", 0),
                              New.Spec_.value("mem", 0), Options_.Kind_});
    Running_[Task] = std::move(New);
    return accept();
  }

  auto stopRun(const Json &Call) -> HttpResponse {
    const auto Task = Call["task"].get<std::string>();
    const auto Number = Call["run"].get<std::uint64_t>();
    const auto Found = Running_.find(Task);
    if (Found != Running_.end() && Found->second.Number_ <= Number) {
      if (!Found->second.StopsAt_)
        Found->second.StopsAt_ = clock() + Options_.StopTime_;
    } else {
      auto &Highest = HighestEnded_[Task];
      Highest = std::max(Highest, Number);
    }
    return accept();
  }

  auto paceRun(const Json &Call) -> HttpResponse {
    const auto Found = Running_.find(Call["task"].get<std::string>());
    if (Found != Running_.end() &&
        Found->second.Number_ == Call["run"].get<std::uint64_t>() &&
        Found->second.Percent_ != Call["percent"].get<int>()) {
      Found->second.Percent_ = Call["percent"].get<int>();
      Log_.line(Options_.Name_ + ": " + Found->first + " is paced to " +
                std::to_string(Found->second.Percent_) + " %");
    }
    return accept();
  }

  auto hold(const Json &Call, std::unique_lock<std::mutex> &Lock)
      -> std::optional<HttpResponse> {
    extendLease(Call);
    const auto Through = Call.value("acked_through", std::uint64_t{0});
    while (!Ended_.empty() && Ended_.front().Number_ <= Through)
      Ended_.erase(Ended_.begin());
    const auto Life = Lives_;
    Changed_.wait_for(Lock, Millis{Call.value("wait_ms", 0)}, [&] {
      return !Ended_.empty() || !Alive_ || Lives_ != Life;
    });
    if (!Alive_ || Lives_ != Life)
      return std::nullopt;
    constexpr std::size_t MaxEnds = 500;
    auto Body = answer();
    Body["running"] = Json::array();
    for (const auto &[Task, Each] : Running_)
      Body["running"].push_back(
          {Task, Each.Number_, "", progress(Each),
           Each.Spec_.value("tail", 0) > 0
               ? Each.Spec_.value("tail", 0)
               : Each.Spec_.value("cpu", 0) * Each.Percent_ / 100});
    Body["finished"] = Json::array();
    for (const auto &Each : Ended_)
      if (Body["finished"].size() < MaxEnds)
        Body["finished"].push_back(
            {Each.Number_, Each.Task_, Each.Run_, Each.How_, ""});
    return HttpResponse{200, Body.dump()};
  }

  static auto progress(const Run &Each) -> int {
    if (Each.Spec_.value("lasts", false))
      return Each.Work_ >= Millis{300} ? 100 : 50;
    return static_cast<int>(std::min<std::int64_t>(
        99, 100 * Each.Work_.count() / std::max(1, Each.Spec_.value("ms", 1))));
  }

  auto endRun(const std::string &Task, const char *How) -> void {
    const auto Found = Running_.find(Task);
    Runs_.end(Found->second.Index_, How);
    Ended_.push_back({++LastEnd_, Task, Found->second.Number_, How});
    auto &Highest = HighestEnded_[Task];
    Highest = std::max(Highest, Found->second.Number_);
    Running_.erase(Found);
    Changed_.notify_all();
  }

  auto advancePeriodically() -> void {
    constexpr Millis Step{10};
    auto Before = Clock::now();
    for (;;) {
      std::this_thread::sleep_for(Step);
      const auto Now = Clock::now();
      const auto Elapsed = std::chrono::duration_cast<Millis>(Now - Before);
      Before = Now;
      const std::lock_guard<std::mutex> Lock(Mutex_);
      std::vector<std::pair<std::string, const char *>> Over;
      for (auto &[Task, Each] : Running_) {
        Each.Work_ += Elapsed * Each.Percent_ / 100;
        if (LeaseUntil_ < clock())
          Over.emplace_back(Task, "lapsed");
        else if (Each.StopsAt_ && *Each.StopsAt_ <= clock())
          Over.emplace_back(Task, "stopped");
        else if (!Each.Spec_.value("lasts", false) &&
                 Each.Work_ >= Millis{Each.Spec_.value("ms", 0)})
          Over.emplace_back(Task, "done");
      }
      for (const auto &[Task, How] : Over)
        endRun(Task, How);
    }
  }

  auto sendHeartbeats() -> void {
    for (;;) {
      if (Alive_ && deliver(makeHeartbeat()))
        ++Acknowledged_;
      std::this_thread::sleep_for(Options_.HeartbeatInterval_);
    }
  }

  auto heartbeat() -> Json {
    auto Body = answer();
    Body["service"] = Options_.Service_;
    Body["address"] = Options_.Host_ + ":" + std::to_string(Options_.Port_);
    Body["zone"] = Options_.Zone_;
    Body["version"] = "v1";
    Body["slots"] = 8;
    Body["state"] = "ready";
    Body["cold_remaining_ms"] = 0;
    Body["capacity"] = {
        {"cpu", Options_.Cpu_}, {"mem_mb", Options_.Memory_}, {"gpu", 0}};
    Body["labels"] = {Options_.Kind_, Options_.Rack_};
    Body["seq"] = ++Sequence_;
    return Body;
  }

  Record &Log_;
  RunLog &Runs_;
  WorkerOptions Options_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::atomic<bool> Alive_{false};
  Clock::time_point BornAt_ = Clock::now();
  std::int64_t Born_ = 0;
  int Lives_ = 0;
  std::atomic<int> Acknowledged_{0};
  std::string Id_;
  std::uint64_t Fence_ = 0;
  Millis LeaseUntil_{0};
  std::uint64_t Sequence_ = 0;
  std::uint64_t LastEnd_ = 0;
  std::map<std::string, Run> Running_;
  std::vector<End> Ended_;
  std::map<std::string, std::uint64_t> HighestEnded_;
  HttpServer Server_;
};

} // namespace skylark::review2
