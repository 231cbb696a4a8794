/// \file
/// Defines a small deployment on loopback addresses: the project's daemons as
/// processes of their own, with settings from the deploy file's templates, and
/// the stand-ins of the platform.
#pragma once

#include "Worker.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <random>
#include <spawn.h>
#include <sstream>
#include <sys/stat.h>
#include <sys/wait.h>

extern char **environ;

namespace review {

/// Renders the parts of the template language that the deploy templates use.
class Template {
public:
  static auto render(const std::string &Text, const Json &Fields)
      -> std::string {
    std::string Result;
    std::size_t Position = 0;
    for (;;) {
      const auto Open = Text.find("{{", Position);
      if (Open == std::string::npos)
        return Result + Text.substr(Position);
      Result += Text.substr(Position, Open - Position);
      const auto Close = Text.find("}}", Open);
      auto Name = Text.substr(Open + 2, Close - Open - 2);
      Position = Close + 2;
      if (Name[0] == '#') {
        Name = Name.substr(1);
        const auto End = Text.find("{{/" + Name + "}}", Position);
        Result += renderSection(Text.substr(Position, End - Position),
                                Fields.at(Name));
        Position = End + Name.size() + 5;
        continue;
      }
      Result += renderValue(Name, Fields);
    }
  }

private:
  static auto renderSection(const std::string &Text, const Json &Table)
      -> std::string {
    std::string Result;
    std::size_t Index = 0;
    for (const auto &[Key, Value] : Table.items()) {
      auto Part = Text;
      replace(Part, "{{@}}", Key);
      replace(Part, "{{,}}", ++Index < Table.size() ? "," : "");
      Result += Part;
    }
    return Result;
  }

  static auto replace(std::string &Text, const std::string &From,
                      const std::string &To) -> void {
    const auto At = Text.find(From);
    if (At != std::string::npos)
      Text.replace(At, From.size(), To);
  }

  static auto renderValue(std::string Name, const Json &Fields) -> std::string {
    const auto Bar = Name.find('|');
    const auto AsJson = Bar != std::string::npos;
    Name = Name.substr(0, Bar);
    const auto *Value = &Fields;
    std::istringstream Parts(Name);
    for (std::string Part; std::getline(Parts, Part, '.');)
      Value =
          Value->is_array() ? &Value->at(std::stoul(Part)) : &Value->at(Part);
    return Value->is_string() && !AsJson ? Value->get<std::string>()
                                         : Value->dump();
  }
};

struct DeploymentOptions {
  int Entries_ = 3;
  int Workers_ = 8;
  std::int64_t MilliCores_ = 32000;
  std::vector<std::string> Zones_{"tas-hobart", "tas-launceston",
                                  "tas-devonport", "tas-burnie"};
};

/// A queue of the deployment.
struct Queue {
  std::string Name_;
  std::string Host_;
  std::string Prefix_;
  int Priority_ = 0;
  int MaxAttempts_ = 4;
};

inline auto readFile(const std::string &Path) -> std::string {
  std::ifstream In(Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

class Deployment {
public:
  Deployment(Record &Log, RunLog &Runs, DeploymentOptions Options)
      : Log_(Log), Runs_(Runs), Options_(std::move(Options)) {
    Directory_ =
        (std::filesystem::temp_directory_path() / "skylark-review-XXXXXX")
            .string();
    if (::mkdtemp(Directory_.data()) == nullptr)
      throw std::runtime_error("no temporary folder");
    std::random_device Device;
    Random_.seed(Device());
    Network_ = "127." + std::to_string(100 + Random_() % 100) + "." +
               std::to_string(1 + Random_() % 250) + ".";
    BasePort_ = 20000 + static_cast<int>(Random_() % 8000);
    Store_ = std::make_unique<Store>(Log_, Network_ + "250", BasePort_);
  }

  ~Deployment() {
    for (auto &[Name, Process] : Processes_)
      ::kill(Process, SIGCONT), ::kill(Process, SIGKILL);
    for (auto &[Name, Process] : Processes_)
      ::waitpid(Process, nullptr, 0);
    Workers_.clear();
    Store_.reset();
    const auto *Keep = std::getenv("KEEP");
    if (Keep == nullptr)
      removeFiles();
  }
  Deployment(const Deployment &) = delete;
  auto operator=(const Deployment &) -> Deployment & = delete;

  /// Starts everything and waits until each entry is ready.
  auto start() -> void {
    putConfiguration();
    for (int Index = 0; Index < Options_.Entries_; ++Index)
      startEntry(Index);
    for (int Index = 0; Index < Options_.Workers_; ++Index) {
      const auto Zone =
          static_cast<std::size_t>(Index) % Options_.Zones_.size();
      WorkerOptions Worker;
      Worker.Name_ = "worker-" + std::to_string(Index);
      Worker.Host_ = sideHost(Index);
      Worker.Port_ = BasePort_ + 4;
      Worker.ControlPort_ = BasePort_ + 3;
      Worker.Zone_ = Options_.Zones_[Zone];
      Worker.Rack_ = "r" + std::to_string(Zone) + "-" +
                     std::to_string(static_cast<std::size_t>(Index) /
                                    Options_.Zones_.size() / 3);
      Worker.Service_ = Service;
      Worker.MilliCores_ = Options_.MilliCores_;
      Workers_.push_back(std::make_unique<review::Worker>(Log_, Runs_, Worker));
      Workers_.back()->start();
      startAgent(Index);
    }
    waitUntilReady();
  }

  auto startEntry(int Index) -> void {
    const auto Name = entryName(Index);
    startProcess(Name, "deploy/entry.json",
                 fields(Name, entryHost(Index), zoneOf(Index)));
  }

  auto startAgent(int Index) -> void {
    const auto Name = "side-" + std::to_string(Index);
    auto Fields = fields(Name, sideHost(Index), zoneOf(Index));
    Fields["app"] = sideHost(Index) + ":" + std::to_string(BasePort_ + 4);
    startProcess(Name, "deploy/agent.json", Fields);
  }

  /// Sends a signal to a process that this deployment started.
  auto signal(const std::string &Name, int Signal) -> void {
    Log_.line(Name + ": signal " + std::to_string(Signal));
    ::kill(Processes_.at(Name), Signal);
  }

  auto kill(const std::string &Name) -> void {
    signal(Name, SIGKILL);
    ::waitpid(Processes_.at(Name), nullptr, 0);
    Processes_.erase(Name);
  }

  /// \returns the names of the processes that have ended by themselves.
  auto endedProcesses() -> std::vector<std::string> {
    std::vector<std::string> Ended;
    for (auto Each = Processes_.begin(); Each != Processes_.end();) {
      int Status = 0;
      if (::waitpid(Each->second, &Status, WNOHANG) == 0) {
        ++Each;
        continue;
      }
      Ended.push_back(Each->first);
      Log_.line(Each->first + ": ended by itself, status " +
                std::to_string(Status));
      Each = Processes_.erase(Each);
    }
    return Ended;
  }

  /// Sends a client's request to an entry.
  auto call(int Entry, const std::string &Method, const Queue &To,
            const std::string &Id, const std::string &Body = "",
            Millis Timeout = Millis{3000}) -> HttpReply {
    return httpCall(entryHost(Entry), BasePort_ + 1, Method, To.Prefix_ + Id,
                    Body, Timeout, To.Host_);
  }

  /// Hands a job in like the platform's clients: the same id again after no
  /// answer, 502 and 504, up to four retries at other nodes.
  /// \returns the status of the last attempt.
  auto submit(const Queue &To, const std::string &Id, const Json &Job,
              int FirstEntry = -1) -> int {
    int Status = 0;
    const auto Body = Job.dump();
    auto Entry = FirstEntry >= 0 ? FirstEntry : nextEntry();
    for (int Attempt = 0; Attempt < 5; ++Attempt) {
      Status = call(Entry, "POST", To, Id, Body).Status_;
      Log_.line("client: POST " + To.Name_ + " " + Id + " at " +
                entryName(Entry) + " -> " + std::to_string(Status));
      if (Status != 0 && Status != 502 && Status != 504 && Status != 503 &&
          Status != 429)
        break;
      std::this_thread::sleep_for(Millis{Status == 0 ? 50 : 1000});
      Entry = (Entry + 1) % Options_.Entries_;
    }
    return Status;
  }

  /// \returns the job's state, or the status as text if there is none.
  auto state(const Queue &Of, const std::string &Id, int Entry = -1)
      -> std::string {
    const auto At = Entry >= 0 ? Entry : nextEntry();
    const auto Reply = call(At, "GET", Of, Id);
    if (Reply.Status_ != 200)
      return std::to_string(Reply.Status_);
    const auto Body = Json::parse(Reply.Body_, nullptr, false);
    return Body.is_object() ? Body.value("state", "unreadable") : "unreadable";
  }

  /// Polls a job's state until it is one of the final ones.
  auto awaitEnd(const Queue &Of, const std::string &Id, Millis Timeout)
      -> std::string {
    const auto Deadline = Clock::now() + Timeout;
    std::string State;
    while (Clock::now() < Deadline) {
      State = state(Of, Id);
      if (State == "completed" || State == "failed" || State == "cancelled")
        break;
      std::this_thread::sleep_for(Millis{100});
    }
    Log_.line("client: GET " + Of.Name_ + " " + Id + " -> " + State);
    return State;
  }

  auto store() -> Store & { return *Store_; }
  auto worker(int Index) -> Worker & {
    return *Workers_.at(static_cast<std::size_t>(Index));
  }
  auto workerCount() const -> int { return Options_.Workers_; }
  auto entryCount() const -> int { return Options_.Entries_; }
  auto newId() -> std::string {
    char Text[24];
    std::snprintf(Text, sizeof Text, "%016llx",
                  static_cast<unsigned long long>(Random_()));
    return Text;
  }
  static auto entryName(int Index) -> std::string {
    return "front-" + std::to_string(Index);
  }
  auto nextEntry() -> int { return NextEntry_++ % Options_.Entries_; }

  const Queue Quick_{"receipt-check", "nony24.example", "/lohu930/", 0, 4};
  const Queue Batch_{"claim-batch", "ficu95.example", "/pufi791/", 2, 4};
  const Queue Feed_{"docket-feed", "nony24.example", "/pule252/", 0, 2};

  /// The number of a metric of an entry or agent; -1 if it doesn't answer.
  auto metric(const std::string &Host, const std::string &Name) -> double {
    const auto Reply =
        httpCall(Host, 9464, "GET", "/metrics", "", Millis{1000});
    std::istringstream Lines(Reply.Body_);
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.compare(0, Name.size(), Name) == 0 &&
          (Line[Name.size()] == ' ' || Line[Name.size()] == '{'))
        return std::stod(Line.substr(Line.rfind(' ') + 1));
    return -1;
  }

  /// The entry that owns the shard; -1 if there is none.
  auto owner() -> int {
    for (int Index = 0; Index < Options_.Entries_; ++Index)
      if (metric(entryHost(Index), "skylark_owned_shards") > 0)
        return Index;
    return -1;
  }

private:
  static constexpr const char *Service = "huvo11a";

  auto entryHost(int Index) const -> std::string {
    return Network_ + std::to_string(1 + Index);
  }
  auto sideHost(int Index) const -> std::string {
    return Network_ + std::to_string(20 + Index);
  }
  auto zoneOf(int Index) const -> std::string {
    return Options_
        .Zones_[static_cast<std::size_t>(Index) % Options_.Zones_.size()];
  }

  /// The settings of a process, with the figures of a small site.
  auto fields(const std::string &Name, const std::string &Host,
              const std::string &Zone) const -> Json {
    const auto At = [&](const std::string &Ip, int Offset) {
      return Ip + ":" + std::to_string(BasePort_ + Offset);
    };
    auto Zones = Json::object();
    for (const auto &Each : Options_.Zones_)
      Zones[Each] = "tas";
    auto Seeds = Json::array();
    for (int Index = 0; Index < std::min(3, Options_.Entries_); ++Index)
      Seeds.push_back(At(entryHost(Index), 3));
    return {{"node_name", Name},
            {"zone", Zone},
            {"zones", Zones},
            {"ip", Host},
            {"port_range", {BasePort_ + 5, BasePort_ + 20}},
            {"seeds", Seeds},
            {"listen",
             {{"front", At(Host, 1)},
              {"ready", At(Host, 2)},
              {"control", At(Host, 3)}}},
            {"limits",
             {{"cpu_share", 0.25},
              {"cores", 1},
              {"memory_mb", 260},
              {"max_fds", 4100},
              {"link_mbps", 1000.0}}},
            {"bounds", {{"grace_s", 6}, {"max_hold_ms", 10000}}},
            {"platform",
             {{"address", Network_ + "250:" + std::to_string(BasePort_)},
              {"writes_per_s", 400}}}};
  }

  auto putConfiguration() -> void {
    auto Routes = Json::array();
    for (const auto *Each : {&Quick_, &Batch_, &Feed_})
      Routes.push_back({{"name", Each->Name_},
                        {"host", Each->Host_},
                        {"prefix", Each->Prefix_},
                        {"kind", "unsafe"},
                        {"timeout_ms", 3000},
                        {"target_latency_ms", 1000},
                        {"priority", Each->Priority_},
                        {"service", Service},
                        {"max_attempts", Each->MaxAttempts_},
                        {"stretch", 2.0}});
    const Json Config{{"version", 7},
                      {"routes", Routes},
                      {"services",
                       {{{"name", Service},
                         {"health_path", "/health"},
                         {"max_conns", 64},
                         {"protocol", "h1"},
                         {"enforces_capacity", false},
                         {"standby", false}}}},
                      {"limits", Json::object()}};
    Store_->put("op/config", Config.dump());
  }

  auto startProcess(const std::string &Name, const std::string &TemplateFile,
                    const Json &Fields) -> void {
    const auto Settings = Directory_ + "/" + Name + ".json";
    std::ofstream(Settings) << Template::render(readFile(TemplateFile), Fields);
    const auto LogFile = Directory_ + "/" + Name + ".log";
    std::string Program = "target/build/command/skylarkd";
    auto SettingsPath = Settings;
    char *Arguments[] = {Program.data(), SettingsPath.data(), nullptr};
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_addopen(&Actions, 1, LogFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&Actions, 1, 2);
    pid_t Process = 0;
    const auto Error = ::posix_spawn(&Process, Program.c_str(), &Actions,
                                     nullptr, Arguments, environ);
    posix_spawn_file_actions_destroy(&Actions);
    if (Error != 0)
      throw std::runtime_error("cannot start " + Program);
    Processes_[Name] = Process;
    Log_.line(Name + ": process starts");
  }

  auto waitUntilReady() -> void {
    const auto Deadline = Clock::now() + std::chrono::seconds{30};
    for (int Index = 0; Index < Options_.Entries_; ++Index)
      while (httpCall(entryHost(Index), BasePort_ + 2, "GET", "/ready", "",
                      Millis{1000})
                 .Status_ != 200) {
        if (Clock::now() > Deadline)
          throw std::runtime_error("an entry isn't ready");
        std::this_thread::sleep_for(Millis{100});
      }
    // Traffic starts some seconds after the machines do.
    std::this_thread::sleep_for(std::chrono::seconds{6});
    while (owner() < 0) {
      if (Clock::now() > Deadline)
        throw std::runtime_error("no entry owns the jobs");
      std::this_thread::sleep_for(Millis{100});
    }
    Log_.line("deployment is ready, " + entryName(owner()) + " owns the jobs");
  }

  auto removeFiles() -> void {
    for (int Index = 0; Index < 64; ++Index)
      for (const auto *Kind : {"front-", "side-"})
        for (const auto *Suffix : {".json", ".log"})
          ::unlink((Directory_ + "/" + Kind + std::to_string(Index) + Suffix)
                       .c_str());
    ::rmdir(Directory_.c_str());
  }

  Record &Log_;
  RunLog &Runs_;
  DeploymentOptions Options_;
  std::string Directory_;
  std::mt19937_64 Random_;
  std::string Network_;
  int BasePort_ = 0;
  int NextEntry_ = 0;
  std::unique_ptr<Store> Store_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::map<std::string, pid_t> Processes_;
};

} // namespace review
