#include "test/process/Cluster.h"

#include "command/BlockingCall.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ; // NOLINT: the C library's name

namespace skylark::ProcessTest {
namespace {

constexpr Millis PollInterval{50};

auto binary(const std::string &Name) -> std::string {
  const auto *BuildDirectory = std::getenv("SKYLARK_BUILD");
  const std::string Root = BuildDirectory == nullptr ? "build" : BuildDirectory;
  const auto StandIn = Name.rfind("standin-", 0) == 0;
  return Root + (StandIn ? "/test/" : "/command/") + Name;
}

auto readFile(const std::string &Path) -> std::string {
  std::ifstream In(Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

auto spawn(const std::vector<std::string> &Arguments,
           const std::string &LogFile) -> pid_t {
  std::vector<char *> Pointers;
  Pointers.reserve(Arguments.size() + 1);
  for (const auto &Argument : Arguments)
    Pointers.push_back(const_cast<char *>(Argument.c_str()));
  Pointers.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  constexpr int FileMode = 0644;
  posix_spawn_file_actions_addopen(&Actions, 1, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, FileMode);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  pid_t Process = 0;
  const auto Error = posix_spawn(&Process, Arguments[0].c_str(), &Actions,
                                 nullptr, Pointers.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0)
    throw std::system_error(Error, std::generic_category(), Arguments[0]);
  return Process;
}

} // namespace

auto nowMs() -> std::int64_t {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto waitFor(const std::string &What, const std::function<bool()> &Condition,
             Seconds Timeout) -> void {
  const auto Deadline = SteadyClock::now() + Timeout;
  while (!Condition()) {
    if (SteadyClock::now() > Deadline)
      throw std::runtime_error("timed out waiting for: " + What);
    std::this_thread::sleep_for(PollInterval);
  }
}

auto keyPrefix() -> std::string {
  const auto Now = std::time(nullptr);
  std::tm Parts{};
  gmtime_r(&Now, &Parts);
  char Text[16];
  std::strftime(Text, sizeof Text, "%Y%m%d-", &Parts);
  return Text;
}

auto isSuccess(const HttpResult &Response) -> bool {
  return Response.Complete_ && Response.Status_ >= 200 &&
         Response.Status_ < 300;
}

auto overlappingAttempts(const Executions &Executed)
    -> std::vector<std::string> {
  std::vector<std::string> Found;
  const auto EndOf = [](const ExecutedAttempt &Each) {
    return Each.EndedAtMs_ == 0 ? nowMs() : Each.EndedAtMs_;
  };
  for (std::size_t I = 0; I < Executed.Attempts_.size(); ++I) {
    for (std::size_t J = I + 1; J < Executed.Attempts_.size(); ++J) {
      const auto &Left = Executed.Attempts_[I];
      const auto &Right = Executed.Attempts_[J];
      if (Left.Task_ != Right.Task_)
        continue;
      if (Left.StartedAtMs_ < EndOf(Right) && Right.StartedAtMs_ < EndOf(Left))
        Found.push_back(Left.Task_ + " on " + Left.Worker_ + " and " +
                        Right.Worker_);
    }
  }
  return Found;
}

Cluster::Cluster(ClusterOptions Options) : Options_(std::move(Options)) {
  char Template[] = "/tmp/skylark-test-XXXXXX";
  Directory_ = mkdtemp(Template);
  pickFreePort("store");
  for (int Index = 0; Index < Options_.EntryCount_; ++Index) {
    pickFreePort(entryName(Index));
    pickFreePort(entryName(Index) + "-link");
  }
  for (const auto &Centre : Options_.DataCentres_)
    for (int Index = 1; Index <= Options_.WorkersPerDataCentre_; ++Index) {
      Workers_.push_back(Centre + "-" + std::to_string(Index));
      pickFreePort(Workers_.back());
    }
}

Cluster::~Cluster() {
  const auto Started = Processes_;
  for (const auto &Each : Started)
    kill(Each.first);
  if (std::getenv("SKYLARK_KEEP") == nullptr)
    std::filesystem::remove_all(Directory_);
}

auto Cluster::entryName(int Index) const -> std::string {
  return std::string("entry-") + static_cast<char>('a' + Index);
}

auto Cluster::entryAddress(int Index) const -> std::string {
  return "127.0.0.1:" + std::to_string(port(entryName(Index)));
}

auto Cluster::dataCentreOf(const std::string &Worker) const -> std::string {
  return Worker.substr(0, Worker.rfind('-'));
}

auto Cluster::pickFreePort(const std::string &Name) -> void {
  const auto Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof Address;
  bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  Ports_[Name] = ntohs(Address.sin_port);
  close(Socket);
}

auto Cluster::writeFile(const std::string &Name, const std::string &Text)
    -> std::string {
  const auto Path = Directory_ + "/" + Name;
  std::ofstream(Path) << Text;
  return Path;
}

auto Cluster::startProcess(const std::string &Name,
                           std::vector<std::string> Arguments) -> void {
  Arguments[0] = binary(Arguments[0]);
  Processes_[Name] = spawn(Arguments, Directory_ + "/" + Name + ".log");
}

auto Cluster::startStore() -> void {
  startProcess("store", {"standin-store", std::to_string(port("store"))});
  waitFor("the store to respond",
          [&] { return post("store", "/calls").Complete_; });
}

auto Cluster::startEntry(int Index) -> void {
  const auto Name = entryName(Index);
  const Json Settings{
      {"role", "entry"},
      {"id", Name},
      {"environment", "production"},
      {"data_centre",
       Options_.DataCentres_[Index % Options_.DataCentres_.size()]},
      {"shards", 8},
      {"http", {{"address", "127.0.0.1"}, {"port", port(Name)}}},
      {"link", {{"address", "127.0.0.1"}, {"port", port(Name + "-link")}}},
      {"store",
       {{"address", "127.0.0.1"},
        {"port", port("store")},
        {"calls_per_second", 300}}}};
  startProcess(Name, {"skylarkd", writeFile(Name + ".json", Settings.dump(2))});
}

auto Cluster::startWorker(const std::string &Name) -> void {
  startProcess(Name, {"standin-worker", std::to_string(port(Name)),
                      std::to_string(Options_.ServiceTimeMs_)});
}

auto Cluster::startAgent(const std::string &Name) -> void {
  auto Entries = Json::array();
  for (int Index = 0; Index < Options_.EntryCount_; ++Index)
    Entries.push_back(
        {{"address", "127.0.0.1"}, {"port", port(entryName(Index) + "-link")}});
  const Json Settings{{"role", "agent"},
                      {"id", Name},
                      {"data_centre", dataCentreOf(Name)},
                      {"rack", "rack-1"},
                      {"entries", Entries},
                      {"worker",
                       {{"address", "127.0.0.1"},
                        {"port", port(Name)},
                        {"millicores", 4000},
                        {"memory_mb", 8000},
                        {"accelerators", 1}}},
                      {"target",
                       {{"address", "127.0.0.1"},
                        {"port", port(Name)},
                        {"slots", 8},
                        {"connections", 64},
                        {"services", {"receipt-check", "lodgement"}}}}};
  startProcess(
      "agent-" + Name,
      {"skylarkd", writeFile("agent-" + Name + ".json", Settings.dump(2))});
}

auto Cluster::document() const -> std::string {
  const Json Quota{
      {"millicores", 1000000}, {"memory_mb", 1000000}, {"accelerators", 100}};
  const Json Value{
      {"data_centres", Options_.DataCentres_},
      {"services",
       {{{"name", "receipt-check"}, {"answer_within_ms", 2000}},
        {{"name", "lodgement"}, {"answer_within_ms", 3000}}}},
      {"teams",
       {{{"name", "lodgements"}, {"quota", Quota}},
        {{"name", "feeds"}, {"quota", Quota}}}},
      {"largest_worker",
       {{"millicores", 4000}, {"memory_mb", 8000}, {"accelerators", 1}}},
      {"policy", Json::parse(Options_.Policy_)}};
  return "// The document of the process tests.\n" + Value.dump(2) + "\n";
}

auto Cluster::startAll() -> void {
  startStore();
  for (const auto &Name : Workers_)
    startWorker(Name);
  for (int Index = 0; Index < Options_.EntryCount_; ++Index)
    startEntry(Index);
  for (const auto &Name : Workers_)
    startAgent(Name);
  waitFor("an entry to accept the document", [&] {
    return isSuccess(callEntry(0, "PUT", "/v1/environments/production/document",
                               document(), {"If-Match: 0"}));
  });
  for (int Index = 0; Index < Options_.EntryCount_; ++Index)
    waitFor("all targets and peers at " + entryName(Index), [&] {
      return callEntry(Index, "GET", "/v1/health").Status_ == 200 &&
             metric(Index, "skylark_targets") ==
                 static_cast<double>(Workers_.size()) &&
             metric(Index, "skylark_peers") == Options_.EntryCount_ - 1;
    });
  waitFor("an owner for each shard", [&] {
    double Owned = 0;
    for (int Index = 0; Index < Options_.EntryCount_; ++Index)
      Owned += metric(Index, "skylark_owned_shards");
    return Owned == 8;
  });
}

auto Cluster::signal(const std::string &Name, int Signal) -> void {
  ::kill(Processes_.at(Name), Signal);
}

auto Cluster::kill(const std::string &Name) -> void {
  const auto Found = Processes_.find(Name);
  if (Found == Processes_.end())
    return;
  ::kill(Found->second, SIGKILL);
  waitpid(Found->second, nullptr, 0);
  Processes_.erase(Found);
}

auto Cluster::isRunning(const std::string &Name) -> bool {
  const auto Found = Processes_.find(Name);
  if (Found == Processes_.end())
    return false;
  int Status = 0;
  if (waitpid(Found->second, &Status, WNOHANG) == 0)
    return true;
  Processes_.erase(Found);
  return false;
}

auto Cluster::waitForExit(const std::string &Name) -> int {
  const auto Process = Processes_.at(Name);
  int Status = 0;
  waitFor("the exit of " + Name,
          [&] { return waitpid(Process, &Status, WNOHANG) == Process; });
  Processes_.erase(Name);
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
}

auto Cluster::callEntry(int Entry, const std::string &Method,
                        const std::string &Path, const std::string &Body,
                        std::vector<std::string> Headers) -> HttpResult {
  HttpCall Call;
  Call.Method_ = Method;
  Call.Url_ = "http://" + entryAddress(Entry) + Path;
  Call.Body_ = Body;
  Call.Headers_ = std::move(Headers);
  Call.Timeout_ = Seconds{30};
  return callAndWait(std::move(Call));
}

auto Cluster::post(const std::string &Name, const std::string &Path)
    -> HttpResult {
  HttpCall Call;
  Call.Method_ = "POST";
  Call.Url_ = "http://127.0.0.1:" + std::to_string(port(Name)) + Path;
  Call.Timeout_ = Seconds{2};
  return callAndWait(std::move(Call));
}

auto Cluster::runCommand(int Entry, const std::vector<std::string> &Arguments,
                         std::string *Output) -> int {
  auto Line = Arguments;
  Line.insert(Line.begin(), binary("skylark"));
  if (Arguments[0] != "check")
    Line.insert(Line.begin() + 2, "--entry=" + entryAddress(Entry));
  const auto File = Directory_ + "/command.log";
  std::filesystem::remove(File);
  const auto Process = spawn(Line, File);
  int Status = 0;
  waitpid(Process, &Status, 0);
  if (Output != nullptr)
    *Output = readFile(File);
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
}

auto Cluster::quickRequest(int Entry, const std::string &Body,
                           const std::string &Query, const std::string &Key)
    -> HttpResult {
  std::vector<std::string> Headers;
  if (!Key.empty())
    Headers.push_back("Idempotency-Key: " + Key);
  return callEntry(Entry, "POST", "/v1/requests?" + Query, Body, Headers);
}

auto Cluster::submitJob(int Entry, const Json &Job) -> std::string {
  std::string Id;
  waitFor("a job to be accepted", [&] {
    const auto Response = callEntry(Entry, "POST", "/v1/jobs", Job.dump());
    if (Response.Status_ == 200)
      Id = Json::parse(Response.Body_).at("job").get<std::string>();
    return !Id.empty();
  });
  return Id;
}

auto Cluster::jobStatus(int Entry, const std::string &Id) -> Json {
  const auto Response = callEntry(Entry, "GET", "/v1/jobs/" + Id);
  return Response.Status_ == 200 ? Json::parse(Response.Body_) : Json::object();
}

auto Cluster::metric(int Entry, const std::string &Name) -> double {
  const auto Response = callEntry(Entry, "GET", "/v1/metrics");
  if (!Response.Complete_)
    return -1;
  std::istringstream Lines(Response.Body_);
  double Sum = 0;
  for (std::string Text; std::getline(Lines, Text);)
    if (Text.rfind(Name, 0) == 0)
      Sum += std::stod(Text.substr(Text.rfind(' ') + 1));
  return Sum;
}

auto Cluster::executions() -> Executions {
  for (const auto &Name : Workers_) {
    const auto Response = post(Name, "/evidence");
    if (Response.Complete_)
      LastReports_[Name] = Json::parse(Response.Body_);
  }
  Executions Executed;
  for (const auto &[Name, Report] : LastReports_) {
    for (const auto &Line : Report.at("tasks"))
      Executed.Attempts_.push_back({Line.at("task"), Name, Line.at("attempt"),
                                    Line.at("from_ms"), Line.at("to_ms"),
                                    Line.at("end")});
    for (const auto &[Body, Runs] : Report.at("requests").items())
      Executed.RunCounts_[Body] += Runs.get<int>();
  }
  return Executed;
}

auto Cluster::log(const std::string &Name) const -> std::string {
  return readFile(Directory_ + "/" + Name + ".log");
}

} // namespace skylark::ProcessTest
