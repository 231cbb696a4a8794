#include "test/processes/Site.h"

#include <algorithm>
#include <future>

namespace skylark::soak {
namespace {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr std::chrono::seconds GracePeriod{6};
constexpr std::chrono::seconds StartTimeout{60};
constexpr milliseconds ReadyTimeout{1000};
/// Traffic starts some seconds after the machines do.
constexpr std::chrono::seconds SettlingTime{6};
constexpr const char *Service = "huvo11a";
const std::vector<std::string> Zones{"tas-hobart", "tas-launceston",
                                     "tas-devonport", "tas-burnie"};

auto canBind(const std::string &Host, int Port) -> bool {
  const auto Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Address = review::makeAddress(Host, Port);
  const auto Bound = ::bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                            sizeof Address) == 0;
  ::close(Socket);
  return Bound;
}

auto zoneOf(int Octet) -> std::string {
  const auto Index = Octet < FirstAgentOctet ? Octet - FirstEntryOctet
                                             : Octet - FirstAgentOctet;
  return Zones[static_cast<std::size_t>(Index) % Zones.size()];
}

} // namespace

auto chooseAddresses(std::uint64_t Seed) -> SiteAddresses {
  std::mt19937_64 Random(Seed);
  constexpr int Tries = 100;
  for (int Try = 0; Try < Tries; ++Try) {
    const SiteAddresses Chosen(30 + static_cast<int>(Random() % 60),
                               1 + static_cast<int>(Random() % 120),
                               20000 + static_cast<int>(Random() % 400) * 20);
    if (canBind(Chosen.own(StoreOctet), Chosen.port(0)) &&
        canBind(Chosen.forwarded(StoreOctet), Chosen.port(0)) &&
        canBind(Chosen.forwarded(FirstEntryOctet),
                Chosen.port(FrontPortOffset)))
      return Chosen;
  }
  throw std::runtime_error("no free network on loopback");
}

Site::Site(review::Record &Log, review::RunLog &Runs, SiteOptions Options)
    : Log_(Log), Options_(std::move(Options)),
      Addresses_(chooseAddresses(Options_.Seed_)), Forwarder_(Options_.Seed_) {
  Store_ = std::make_unique<review::Store>(Log_, Addresses_.own(StoreOctet),
                                           Addresses_.port(0));
  Forwarder_.listen(Addresses_.forwarded(StoreOctet),
                    Addresses_.own(StoreOctet), Addresses_.port(0),
                    Pair::Store);
  for (int Index = 0; Index < Options_.Entries_; ++Index) {
    const auto Octet = FirstEntryOctet + Index;
    Forwarder_.listen(Addresses_.forwarded(Octet), Addresses_.own(Octet),
                      Addresses_.port(FrontPortOffset), Pair::ClientEntry);
    Forwarder_.listen(Addresses_.forwarded(Octet), Addresses_.own(Octet),
                      Addresses_.port(LinkPortOffset), Pair::EntryEntry,
                      Options_.LinkReceiveBytes_);
  }
  for (int Index = 0; Index < Options_.Workers_; ++Index) {
    const auto Octet = FirstAgentOctet + Index;
    Forwarder_.listen(Addresses_.forwarded(Octet), Addresses_.own(Octet),
                      Addresses_.port(WorkerPortOffset), Pair::AgentWorker);
    const auto Zone = static_cast<std::size_t>(Index) % Zones.size();
    review::WorkerOptions Worker;
    Worker.Name_ = "worker-" + std::to_string(Index);
    Worker.Host_ = Addresses_.own(Octet);
    Worker.Port_ = Addresses_.port(WorkerPortOffset);
    Worker.ControlPort_ = Addresses_.port(ControlPortOffset);
    Worker.Zone_ = Zones[Zone];
    Worker.Rack_ =
        "r" + std::to_string(Zone) + "-" +
        std::to_string(static_cast<std::size_t>(Index) / Zones.size() / 3);
    Worker.Service_ = Service;
    Workers_.push_back(std::make_unique<review::Worker>(Log_, Runs, Worker));
  }
  Forwarder_.run();
}

Site::~Site() {
  for (auto &[Name, Each] : Processes_)
    ::kill(Each.Id_, SIGKILL);
  for (auto &[Name, Each] : Processes_)
    ::waitpid(Each.Id_, nullptr, 0);
  std::vector<std::future<void>> Ends;
  for (auto &Each : Workers_)
    Ends.push_back(std::async(std::launch::async, [&Each] { Each.reset(); }));
}

auto Site::start(const std::map<std::string, milliseconds> &ClockShifts)
    -> void {
  changeConfiguration();
  for (const auto &Names : {entryNames(), agentNames()})
    for (const auto &Name : Names) {
      const auto Shift = ClockShifts.find(Name);
      writeClock(Name,
                 Shift == ClockShifts.end() ? milliseconds{0} : Shift->second);
      startProcess(Name);
    }
  std::vector<int> All;
  All.reserve(static_cast<std::size_t>(Options_.Workers_));
  for (int Index = 0; Index < Options_.Workers_; ++Index)
    All.push_back(Index);
  startWorkers(All);
  const auto Deadline = SteadyClock::now() + StartTimeout;
  for (int Index = 0; Index < Options_.Entries_; ++Index)
    while (!ready(Index)) {
      if (SteadyClock::now() > Deadline)
        throw std::runtime_error("an entry isn't ready");
      std::this_thread::sleep_for(milliseconds{100});
    }
  std::this_thread::sleep_for(SettlingTime);
  Log_.line("site is ready");
}

auto Site::ready(int Entry) const -> bool {
  return review::httpCall(Addresses_.own(FirstEntryOctet + Entry),
                          Addresses_.port(ReadyPortOffset), "GET", "/ready", "",
                          ReadyTimeout)
             .Status_ == 200;
}

auto Site::startProcess(const std::string &Name) -> void {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  if (Processes_.count(Name) != 0)
    return;
  spawn(Name);
  Disruptions_.end(Name);
}

auto Site::kill(const std::vector<std::string> &Names) -> void {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  for (const auto &Name : Names)
    if (Processes_.count(Name) != 0) {
      Disruptions_.begin(Name, Planning::Unplanned);
      ::kill(Processes_[Name].Id_, SIGKILL);
    }
  for (const auto &Name : Names)
    if (Processes_.count(Name) != 0) {
      ::waitpid(Processes_[Name].Id_, nullptr, 0);
      if (Processes_[Name].Frozen_ || Processes_[Name].Stopping_)
        Disruptions_.end(Name);
      Processes_.erase(Name);
    }
}

auto Site::terminate(const std::string &Name) -> void {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  const auto Found = Processes_.find(Name);
  if (Found == Processes_.end() || Found->second.Stopping_)
    return;
  Disruptions_.begin(Name, Planning::Planned);
  Found->second.Stopping_ = true;
  Found->second.KillAt_ = SteadyClock::now() + GracePeriod;
  ::kill(Found->second.Id_, SIGTERM);
}

auto Site::freeze(const std::string &Name) -> void {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  const auto Found = Processes_.find(Name);
  if (Found == Processes_.end() || Found->second.Frozen_)
    return;
  Disruptions_.begin(Name, Planning::Unplanned);
  Found->second.Frozen_ = true;
  ::kill(Found->second.Id_, SIGSTOP);
}

auto Site::resume(const std::string &Name) -> void {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  const auto Found = Processes_.find(Name);
  if (Found == Processes_.end() || !Found->second.Frozen_)
    return;
  ::kill(Found->second.Id_, SIGCONT);
  Found->second.Frozen_ = false;
  Disruptions_.end(Name);
}

auto Site::reload(const std::string &Name) -> void {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  const auto Found = Processes_.find(Name);
  if (Found == Processes_.end())
    return;
  Disruptions_.note(Name, Planning::Planned);
  ::kill(Found->second.Id_, SIGHUP);
}

auto Site::shiftClock(const std::string &Name, milliseconds Shift) -> void {
  Disruptions_.note(Name, Planning::Unplanned);
  writeClock(Name, Shift);
}

auto Site::crashWorkers(const std::vector<int> &Indexes) -> void {
  std::vector<std::future<void>> Ends;
  for (const auto Index : Indexes) {
    auto &Worker = *Workers_.at(static_cast<std::size_t>(Index));
    if (!Worker.alive())
      continue;
    Disruptions_.begin(Worker.name(), Planning::Unplanned);
    Ends.push_back(
        std::async(std::launch::async, [&Worker] { Worker.crash(); }));
  }
}

auto Site::startWorkers(const std::vector<int> &Indexes) -> void {
  for (const auto Index : Indexes) {
    auto &Worker = *Workers_.at(static_cast<std::size_t>(Index));
    if (Worker.alive())
      continue;
    Worker.start();
    Disruptions_.end(Worker.name());
  }
}

auto Site::setStoreSilent(bool Silent) -> void {
  if (Silent)
    Disruptions_.begin("store", Planning::Unplanned);
  Store_->setSilent(Silent);
  if (!Silent)
    Disruptions_.end("store");
}

auto Site::changeConfiguration() -> void {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Disruptions_.note("configuration", Planning::Planned);
  Version_ += 7;
  auto Routes = review::Json::array();
  for (const auto *Each : {&Quick_, &Batch_, &Feed_})
    Routes.push_back({{"name", Each->Name_},
                      {"host", Each->Host_},
                      {"prefix", Each->Prefix_},
                      {"kind", "unsafe"},
                      {"timeout_ms", 3000 + Version_},
                      {"target_latency_ms", 1000},
                      {"priority", Each->Priority_},
                      {"service", Service},
                      {"max_attempts", Each->MaxAttempts_},
                      {"stretch", 2.0}});
  const review::Json Configuration{{"version", Version_},
                                   {"routes", Routes},
                                   {"services",
                                    {{{"name", Service},
                                      {"health_path", "/health"},
                                      {"max_conns", 64},
                                      {"protocol", "h1"},
                                      {"enforces_capacity", false},
                                      {"standby", false}}}},
                                   {"limits", review::Json::object()}};
  Store_->put("op/config", Configuration.dump());
}

auto Site::reap() -> std::vector<std::string> {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  std::vector<std::string> EndedByThemselves;
  std::vector<std::string> Ended;
  for (auto &[Name, Each] : Processes_) {
    int Status = 0;
    if (Each.Stopping_ && SteadyClock::now() > Each.KillAt_)
      ::kill(Each.Id_, SIGKILL);
    if (::waitpid(Each.Id_, &Status, WNOHANG) == 0)
      continue;
    Ended.push_back(Name);
    Log_.line(Name + ": ended, status " + std::to_string(Status));
    if (!Each.Stopping_) {
      EndedByThemselves.push_back(Name);
      Disruptions_.begin(Name, Planning::Unplanned);
    }
  }
  for (const auto &Name : Ended) {
    Processes_.erase(Name);
    spawn(Name);
    Disruptions_.end(Name);
  }
  return EndedByThemselves;
}

auto Site::entryNames() const -> std::vector<std::string> {
  std::vector<std::string> Names;
  Names.reserve(static_cast<std::size_t>(Options_.Entries_));
  for (int Index = 0; Index < Options_.Entries_; ++Index)
    Names.push_back("front-" + std::to_string(Index));
  return Names;
}

auto Site::agentNames() const -> std::vector<std::string> {
  std::vector<std::string> Names;
  Names.reserve(static_cast<std::size_t>(Options_.Workers_));
  for (int Index = 0; Index < Options_.Workers_; ++Index)
    Names.push_back("side-" + std::to_string(Index));
  return Names;
}

auto Site::frontHost(int Entry) const -> std::string {
  return Addresses_.forwarded(FirstEntryOctet + Entry);
}

auto Site::octet(const std::string &Name) -> int {
  const auto Dash = Name.find('-');
  const auto Index = std::stoi(Name.substr(Dash + 1));
  return Index + (Name[0] == 'f' ? FirstEntryOctet : FirstAgentOctet);
}

auto Site::settings(const std::string &Name) const -> review::Json {
  const auto Octet = octet(Name);
  const auto Host = Addresses_.forwarded(Octet);
  const auto At = [&](const std::string &Ip, int Offset) {
    return Ip + ":" + std::to_string(Addresses_.port(Offset));
  };
  auto ZoneTable = review::Json::object();
  for (const auto &Each : Zones)
    ZoneTable[Each] = "tas";
  auto Seeds = review::Json::array();
  for (int Index = 0; Index < std::min(3, Options_.Entries_); ++Index)
    Seeds.push_back(
        At(Addresses_.forwarded(FirstEntryOctet + Index), ControlPortOffset));
  return {
      {"node_name", Name},
      {"zone", zoneOf(Octet)},
      {"zones", ZoneTable},
      {"ip", Host},
      {"port_range", {Addresses_.port(LinkPortOffset), Addresses_.port(19)}},
      {"seeds", Seeds},
      {"app", At(Host, WorkerPortOffset)},
      {"listen",
       {{"front", At(Host, FrontPortOffset)},
        {"ready", At(Host, ReadyPortOffset)},
        {"control", At(Host, ControlPortOffset)}}},
      {"limits",
       {{"cpu_share", 0.25},
        {"cores", 1},
        {"memory_mb", 260},
        {"max_fds", 4100},
        {"link_mbps", 1000.0}}},
      {"bounds",
       {{"grace_s", GracePeriod.count()},
        {"max_hold_ms", 10000},
        {"stop_timeout_ms", 900}}},
      {"platform",
       {{"address", At(Addresses_.forwarded(StoreOctet), 0)},
        {"writes_per_s", 400}}}};
}

auto Site::file(const std::string &Name) const -> std::string {
  return Options_.Folder_ + "/" + Name;
}

auto Site::writeClock(const std::string &Name, milliseconds Shift) -> void {
  // In place: processes have mapped the file.
  const auto Value = static_cast<std::int64_t>(Shift.count());
  const auto File = ::open(file(Name + ".clock").c_str(),
                           O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
  if (::pwrite(File, &Value, sizeof Value, 0) != sizeof Value)
    throw std::runtime_error("can't write the clock of " + Name);
  ::close(File);
}

auto Site::spawn(const std::string &Name) -> void {
  const auto *Role = Name[0] == 'f' ? "entry" : "agent";
  auto Settings = file(Name + ".json");
  std::ofstream(Settings) << review::Template::render(
      review::readFile(std::string("deploy/") + Role + ".json"),
      settings(Name));
  std::vector<std::string> Variables{"LD_PRELOAD=" + Options_.Shim_,
                                     "SOAK_HOST=" + Addresses_.own(octet(Name)),
                                     "SOAK_CLOCK=" + file(Name + ".clock")};
  std::vector<char *> Environment;
  for (auto **Each = environ; *Each != nullptr; ++Each)
    Environment.push_back(*Each);
  for (auto &Each : Variables)
    Environment.push_back(Each.data());
  Environment.push_back(nullptr);
  auto Program = Options_.Program_;
  char *Arguments[] = {Program.data(), Settings.data(), nullptr};
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, 1, file(Name + ".log").c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  pid_t Id = 0;
  const auto Error = ::posix_spawn(&Id, Program.c_str(), &Actions, nullptr,
                                   Arguments, Environment.data());
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0)
    throw std::runtime_error("cannot start " + Program);
  Processes_[Name] = {};
  Processes_[Name].Id_ = Id;
  Log_.line(Name + ": process " + std::to_string(Id) + " starts");
}

} // namespace skylark::soak
