/// \file
/// Defines a small deployment on loopback: the project's programs, started
/// with the commands of the deploy file, beside a stand-in store and workers.
#pragma once

#include "Worker.h"

#include <csignal>
#include <fcntl.h>
#include <memory>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace skylark::review2 {

inline auto readFile(const std::string &Name) -> std::string {
  std::ifstream In(Name);
  if (!In)
    throw std::runtime_error("cannot read " + Name);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

/// Fills in a settings template as the platform does.
class Template {
public:
  static auto render(const std::string &Text, const Json &Fields)
      -> std::string {
    return Template(Text).renderUntil("", {{Fields, "", true}});
  }

private:
  struct Scope {
    Json Value_;
    std::string Key_;
    bool Last_ = true;
  };
  using Scopes = std::vector<Scope>;

  explicit Template(const std::string &Text) : Text_(Text) {}

  static auto find(const std::string &Path, const Scopes &Context) -> Json {
    if (Path == ".")
      return Context.back().Value_;
    for (auto Each = Context.rbegin(); Each != Context.rend(); ++Each) {
      auto Value = Each->Value_;
      std::istringstream Parts(Path);
      std::string Part;
      auto Found = true;
      while (Found && std::getline(Parts, Part, '.')) {
        if (Value.is_object() && Value.contains(Part))
          Value = Json(Value[Part]);
        else if (Value.is_array() && std::isdigit(Part[0]) != 0)
          Value = Json(Value.at(std::stoul(Part)));
        else
          Found = false;
      }
      if (Found)
        return Value;
    }
    return {};
  }

  auto renderTag(const std::string &Tag, const Scopes &Context) const
      -> std::string {
    if (Tag == "@")
      return Context.back().Key_;
    if (Tag == ",")
      return Context.back().Last_ ? "" : ",";
    const auto Bar = Tag.find('|');
    const auto Value = find(Tag.substr(0, Bar), Context);
    if (Bar != std::string::npos)
      return Value.dump();
    if (Value.is_null())
      return "";
    return Value.is_string() ? Value.get<std::string>() : Value.dump();
  }

  auto renderSection(const std::string &Name, const Scopes &Context)
      -> std::string {
    const auto Value = find(Name, Context);
    const auto Body = Position_;
    std::string Result;
    if (Value.is_object() || Value.is_array()) {
      std::size_t Index = 0;
      for (const auto &Each : Value.items()) {
        Position_ = Body;
        auto Inner = Context;
        Inner.push_back({Each.value(), Each.key(), ++Index == Value.size()});
        Result += renderUntil(Name, Inner);
      }
    }
    if (Position_ == Body)
      renderUntil(Name, Context);
    return Result;
  }

  /// Renders up to the end of the section `Name`, or of the text.
  auto renderUntil(const std::string &Name, const Scopes &Context)
      -> std::string {
    std::string Result;
    for (;;) {
      const auto Open = Text_.find("{{", Position_);
      Result += Text_.substr(
          Position_, Open == std::string::npos ? Open : Open - Position_);
      if (Open == std::string::npos)
        return Result;
      const auto Close = Text_.find("}}", Open);
      const auto Tag = Text_.substr(Open + 2, Close - Open - 2);
      Position_ = Close + 2;
      if (Tag == "/" + Name)
        return Result;
      Result += Tag[0] == '#' ? renderSection(Tag.substr(1), Context)
                              : renderTag(Tag, Context);
    }
  }

  const std::string &Text_;
  std::size_t Position_ = 0;
};

/// A role of the deploy file.
struct Role {
  std::string Program_;
  std::string Template_;
};

/// Reads a role's command and template from the deploy file.
inline auto readRole(const std::string &Name) -> Role {
  std::istringstream Lines(readFile("deploy/system.toml"));
  std::string Line;
  auto Inside = false;
  Role Result;
  const auto Quoted = [&Line] {
    const auto Start = Line.find('"') + 1;
    return Line.substr(Start, Line.rfind('"') - Start);
  };
  while (std::getline(Lines, Line)) {
    if (Line.rfind('[', 0) == 0)
      Inside = Line == "[roles." + Name + "]";
    if (Inside && Line.rfind("run", 0) == 0)
      Result.Program_ = Quoted().substr(0, Quoted().find(' '));
    if (Inside && Line.rfind("template", 0) == 0)
      Result.Template_ = Quoted();
  }
  return Result;
}

/// A route of the configuration.
struct Queue {
  std::string Name_;
  std::string Service_;
  int Priority_ = 0;
  int MaxAttempts_ = 4;

  auto host() const -> std::string { return Name_ + ".example"; }
  auto prefix() const -> std::string { return "/" + Name_ + "/"; }
};

struct DeploymentOptions {
  int Entries_ = 3;
  /// The service of each worker.
  std::vector<std::string> Workers_;
  /// The kinds of the first workers; the others are of kind "a".
  std::vector<std::string> Kinds_;
  Millis HeartbeatInterval_{1100};
  std::vector<Queue> Queues_;
};

class Deployment {
public:
  Deployment(Record &Log, RunLog &Runs, std::string Folder,
             DeploymentOptions Options)
      : Log_(Log), Folder_(std::move(Folder)), Options_(std::move(Options)) {
    chooseAddresses();
    Store_ = std::make_unique<Store>(host(StoreOctet), port(0));
    for (std::size_t Index = 0; Index < Options_.Workers_.size(); ++Index) {
      WorkerOptions Each;
      Each.Name_ = "worker-" + std::to_string(Index);
      Each.Host_ = host(FirstAgentOctet + static_cast<int>(Index));
      Each.Port_ = port(WorkerPort);
      Each.ControlPort_ = port(ControlPort);
      Each.Zone_ = zone(Index);
      Each.Service_ = Options_.Workers_[Index];
      // Racks of a service hold three workers, as in the sites.
      Each.Rack_ = "r-" + Each.Service_;
      Each.HeartbeatInterval_ = Options_.HeartbeatInterval_;
      if (Index < Options_.Kinds_.size())
        Each.Kind_ = Options_.Kinds_[Index];
      Workers_.push_back(std::make_unique<Worker>(Log, Runs, Each));
    }
  }

  /// Ends the project's processes. The stand-ins go on until this process ends.
  auto endProcesses() -> void {
    for (const auto Each : Processes_)
      ::kill(Each, SIGKILL);
    for (const auto Each : Processes_)
      ::waitpid(Each, nullptr, 0);
    Processes_.clear();
  }
  Deployment(const Deployment &) = delete;
  auto operator=(const Deployment &) -> Deployment & = delete;

  /// Starts all and waits until each entry is ready and each agent has had
  /// time to join.
  auto start() -> void {
    Store_->put("op/config", configuration().dump());
    for (int Index = 0; Index < Options_.Entries_; ++Index)
      spawn("entry", "front-" + std::to_string(Index), FirstEntryOctet + Index,
            static_cast<std::size_t>(Index));
    for (std::size_t Index = 0; Index < Workers_.size(); ++Index)
      spawn("agent", "side-" + std::to_string(Index),
            FirstAgentOctet + static_cast<int>(Index), Index);
    for (const auto &Each : Workers_)
      Each->start();
    const auto Deadline = Clock::now() + std::chrono::seconds{20};
    for (int Index = 0; Index < Options_.Entries_; ++Index)
      while (httpCall(host(FirstEntryOctet + Index), port(ReadyPort), "GET",
                      "/ready", "", "", Millis{1000})
                 .Status_ != 200) {
        if (Clock::now() > Deadline)
          throw std::runtime_error("an entry isn't ready");
        std::this_thread::sleep_for(Millis{100});
      }
    std::this_thread::sleep_for(std::chrono::seconds{6});
    Log_.line("the deployment is ready");
  }

  auto worker(std::size_t Index) -> Worker & { return *Workers_[Index]; }
  auto workers() -> std::vector<std::unique_ptr<Worker>> & { return Workers_; }

  /// Calls an entry as a client does; entries take turns.
  auto call(const std::string &Method, const Queue &To, const std::string &Id,
            const std::string &Body) -> CallResult {
    const auto Entry =
        static_cast<int>(++Calls_ % static_cast<unsigned>(Options_.Entries_));
    return httpCall(host(FirstEntryOctet + Entry), port(FrontPort), Method,
                    To.prefix() + Id, To.host(), Body, Millis{3000});
  }

  /// Whether all of the project's processes are running.
  auto allRun() -> bool {
    for (const auto Each : Processes_)
      if (::waitpid(Each, nullptr, WNOHANG) != 0)
        return false;
    return true;
  }

private:
  static constexpr int FirstEntryOctet = 1;
  static constexpr int FirstAgentOctet = 20;
  static constexpr int StoreOctet = 250;
  static constexpr int FrontPort = 1;
  static constexpr int ReadyPort = 2;
  static constexpr int ControlPort = 3;
  static constexpr int WorkerPort = 4;
  static constexpr int LinkPort = 5;

  static auto zone(std::size_t Index) -> std::string {
    const std::vector<std::string> Zones{"delta-north", "delta-east",
                                         "delta-west"};
    return Zones[Index % Zones.size()];
  }
  auto host(int Octet) const -> std::string {
    return Network_ + "." + std::to_string(Octet);
  }
  auto port(int Offset) const -> int { return BasePort_ + Offset; }
  auto at(int Octet, int Offset) const -> std::string {
    return host(Octet) + ":" + std::to_string(port(Offset));
  }

  auto chooseAddresses() -> void {
    std::random_device Random;
    for (int Try = 0; Try < 50; ++Try) {
      Network_ = "127." + std::to_string(30 + Random() % 60) + "." +
                 std::to_string(1 + Random() % 200);
      BasePort_ = static_cast<int>(20000 + Random() % 400 * 20);
      auto Free = true;
      for (const auto Octet : {FirstEntryOctet, FirstAgentOctet, StoreOctet})
        for (int Offset = 0; Offset <= LinkPort; ++Offset)
          Free = Free && canBind(host(Octet), port(Offset));
      if (Free)
        return;
    }
    throw std::runtime_error("no free addresses");
  }
  static auto canBind(const std::string &Host, int Port) -> bool {
    const auto Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto Address = makeAddress(Host, Port);
    const auto Bound = ::bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                              sizeof Address) == 0;
    ::close(Socket);
    return Bound;
  }

  auto configuration() const -> Json {
    auto Routes = Json::array();
    std::set<std::string> Names(Options_.Workers_.begin(),
                                Options_.Workers_.end());
    for (const auto &Each : Options_.Queues_) {
      Names.insert(Each.Service_);
      Routes.push_back({{"name", Each.Name_},
                        {"host", Each.host()},
                        {"prefix", Each.prefix()},
                        {"service", Each.Service_},
                        {"priority", Each.Priority_},
                        {"max_attempts", Each.MaxAttempts_},
                        {"stretch", 2.0},
                        {"target_latency_ms", 1000}});
    }
    auto Services = Json::array();
    for (const auto &Each : Names)
      Services.push_back({{"name", Each}, {"enforces_capacity", false}});
    return {{"version", 7},
            {"routes", Routes},
            {"services", Services},
            {"limits", Json::object()}};
  }

  auto settings(const std::string &Name, int Octet, std::size_t Index) const
      -> Json {
    auto Seeds = Json::array();
    for (int Each = 0; Each < std::min(3, Options_.Entries_); ++Each)
      Seeds.push_back(at(FirstEntryOctet + Each, ControlPort));
    return {{"node_name", Name},
            {"zone", zone(Index)},
            {"zones",
             {{"delta-north", "nile-delta"},
              {"delta-east", "nile-delta"},
              {"delta-west", "nile-delta"}}},
            {"ip", host(Octet)},
            {"port_range", {port(LinkPort), port(19)}},
            {"seeds", Seeds},
            {"app", at(Octet, WorkerPort)},
            {"listen",
             {{"front", at(Octet, FrontPort)},
              {"ready", at(Octet, ReadyPort)},
              {"control", at(Octet, ControlPort)}}},
            {"limits",
             {{"cpu_share", 0.25},
              {"cores", 1},
              {"memory_mb", 260},
              {"max_fds", 4100},
              {"link_mbps", 1000.0}}},
            {"bounds", {{"grace_s", 6}, {"max_hold_ms", 10000}}},
            {"platform",
             {{"address", at(StoreOctet, 0)},
              {"form", "kv"},
              {"writes_per_s", 400},
              {"reads_per_s", 2000},
              {"history_s", 20},
              {"value_bytes", 1048576},
              {"min_ttl_ms", 1000}}}};
  }

  auto spawn(const std::string &RoleName, const std::string &Name, int Octet,
             std::size_t Index) -> void {
    const auto Kind = readRole(RoleName);
    const auto File = Folder_ + "/" + Name + ".json";
    std::ofstream(File) << Template::render(readFile(Kind.Template_),
                                            settings(Name, Octet, Index));
    const auto Id = ::fork();
    if (Id == 0) {
      // The program ends with the case, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const auto Out = ::open((Folder_ + "/" + Name + ".log").c_str(),
                              O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(Out, 1);
      ::dup2(Out, 2);
      ::setenv("SKYLARKSADDLE_SETTINGS", File.c_str(), 1);
      ::execl(Kind.Program_.c_str(), Kind.Program_.c_str(), File.c_str(),
              static_cast<char *>(nullptr));
      ::_exit(127);
    }
    Processes_.push_back(Id);
  }

  Record &Log_;
  std::string Folder_;
  DeploymentOptions Options_;
  std::string Network_;
  int BasePort_ = 0;
  std::unique_ptr<Store> Store_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::vector<pid_t> Processes_;
  std::atomic<unsigned> Calls_{0};
};

} // namespace skylark::review2
