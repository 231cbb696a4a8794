/// \file
/// Plays randomised faults on a site of real processes and checks what callers
/// and workers are promised.

#include "test/processes/Faults.h"
#include "test/processes/Promises.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>

namespace skylark::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds MonitorInterval{100};
/// The faults begin after this time of traffic, and end before its end.
constexpr milliseconds FirstFaultAfter{4000};
constexpr milliseconds CalmBeforeEnd{6000};
/// `finish_s` of the platform.
constexpr std::chrono::seconds FinishTime{14};
/// How wrong clocks are at the start, if the seed or the caller says so.
constexpr milliseconds WrongClock = std::chrono::hours{25};

struct SoakOptions {
  std::uint64_t Seed_ = 1;
  int Entries_ = 9;
  int Workers_ = 54;
  int Clients_ = 16;
  int LinkReceiveBytes_ = 0;
  std::chrono::seconds Duration_{40};
  std::string Program_;
  std::string Shim_;
  std::string Folder_;
  std::string Clocks_;
  std::vector<std::string> Kinds_;
};

/// Shifts of the clocks at the start: `none`, `one`, `all`, or drawn.
auto drawClocks(const SoakOptions &Options, const Site &System)
    -> std::map<std::string, milliseconds> {
  std::mt19937_64 Random(Options.Seed_);
  auto Choice = Options.Clocks_;
  if (Choice == "drawn")
    Choice =
        std::array<const char *, 4>{"none", "none", "one", "all"}[Random() % 4];
  std::map<std::string, milliseconds> Shifts;
  const auto Shift = Random() % 2 == 0 ? WrongClock : -WrongClock;
  const auto Entries = System.entryNames();
  if (Choice == "one")
    Shifts[Entries[Random() % Entries.size()]] = Shift;
  if (Choice == "all")
    for (const auto &Names : {Entries, System.agentNames()})
      for (const auto &Name : Names)
        Shifts[Name] = Shift;
  return Shifts;
}

auto printSummary(const SoakOptions &Options, const Violations &Found,
                  std::size_t Jobs) -> void {
  std::cout << "seed " << Options.Seed_ << ": " << Options.Entries_
            << " entries, " << Options.Workers_ << " workers, " << Jobs
            << " jobs\n";
  for (const auto &[What, Count] : Found.counts())
    std::cout << "  " << What << ": " << Count << "\n";
  for (const auto &[Promise, Count] : Found.broken())
    std::cout << "  BROKEN " << Promise << ": " << Count << "\n";
  std::cout << "seed " << Options.Seed_ << ": "
            << (Found.total() == 0
                    ? "all promises kept"
                    : std::to_string(Found.total()) +
                          " promises broken, logs in " + Options.Folder_)
            << std::endl;
}

/// \returns whether all promises were kept.
auto playSeed(const SoakOptions &Options) -> bool {
  std::filesystem::create_directories(Options.Folder_);
  review::Record Log(Options.Folder_ + "/soak.log");
  review::RunLog Runs(Log);
  Violations Found(Log);
  Site System(Log, Runs,
              {Options.Seed_, Options.Entries_, Options.Workers_,
               Options.LinkReceiveBytes_, Options.Program_, Options.Shim_,
               Options.Folder_});
  System.start(drawClocks(Options, System));
  Traffic Clients(System, Runs, Log, Found, {Options.Seed_, Options.Clients_});
  Promises Checks(System, Runs, Log, Clients, Found);
  std::atomic<bool> Monitoring{true};
  std::thread Monitor([&] {
    while (Monitoring) {
      for (const auto &Name : System.reap())
        Found.report("OWN-END", Name, "the process has ended by itself");
      Checks.checkLastingTasks();
      std::this_thread::sleep_for(MonitorInterval);
    }
  });
  const auto EndsAt = std::chrono::steady_clock::now() + Options.Duration_;
  Clients.start();
  std::this_thread::sleep_for(FirstFaultAfter);
  Faults(System, Clients, Log, Found, Options.Seed_)
      .play(Options.Duration_ - FirstFaultAfter - CalmBeforeEnd,
            Options.Kinds_);
  std::this_thread::sleep_until(EndsAt);
  Clients.stop();
  Log.line("end of the traffic");
  std::this_thread::sleep_for(FinishTime);
  Checks.checkEnd();
  Monitoring = false;
  Monitor.join();
  Found.count("longest stall of the forwarder in ms",
              static_cast<int>(System.forwarder().longestStall().count()));
  printSummary(Options, Found, Clients.jobs().size());
  return Found.total() == 0;
}

auto parse(int Count, char **Arguments) -> cxxopts::ParseResult {
  cxxopts::Options Options("soak-processes");
  auto Add = Options.add_options();
  Add("seed", "first seed",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  Add("seeds", "number of seeds", cxxopts::value<int>()->default_value("1"));
  Add("seconds", "length of the traffic",
      cxxopts::value<int>()->default_value("40"));
  Add("entries", "", cxxopts::value<int>()->default_value("9"));
  Add("workers", "", cxxopts::value<int>()->default_value("54"));
  Add("clients", "", cxxopts::value<int>()->default_value("16"));
  Add("clocks", "wrong clocks at the start: none, one, all, drawn",
      cxxopts::value<std::string>()->default_value("drawn"));
  Add("faults", "kinds of faults, or none; see the table in Faults.cpp",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  Add("link-bytes", "size of the forwarder's buffers for links",
      cxxopts::value<int>()->default_value("0"));
  Add("without", "kinds of faults that aren't played",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  Add("skylarkd", "the program",
      cxxopts::value<std::string>()->default_value(SOAK_SKYLARKD));
  Add("keep", "folder for logs; those of kept promises are removed",
      cxxopts::value<std::string>()->default_value("build/soak-processes"));
  return Options.parse(Count, Arguments);
}

} // namespace
} // namespace skylark::soak

auto main(int Count, char **Arguments) -> int {
  const auto Parsed = skylark::soak::parse(Count, Arguments);
  skylark::soak::SoakOptions Options;
  Options.Entries_ = Parsed["entries"].as<int>();
  Options.Workers_ = Parsed["workers"].as<int>();
  Options.LinkReceiveBytes_ = Parsed["link-bytes"].as<int>();
  Options.Clients_ = Parsed["clients"].as<int>();
  Options.Duration_ = std::chrono::seconds{Parsed["seconds"].as<int>()};
  Options.Program_ = Parsed["skylarkd"].as<std::string>();
  Options.Shim_ = SOAK_SHIM;
  Options.Clocks_ = Parsed["clocks"].as<std::string>();
  for (const auto &Each : Parsed["faults"].as<std::vector<std::string>>())
    if (!Each.empty())
      Options.Kinds_.push_back(Each);
  const auto Without = Parsed["without"].as<std::vector<std::string>>();
  if (Options.Kinds_.empty())
    for (const auto &Each : skylark::soak::Faults::kinds())
      if (std::find(Without.begin(), Without.end(), Each) == Without.end())
        Options.Kinds_.push_back(Each);
  const auto First = Parsed["seed"].as<std::uint64_t>();
  const auto Seeds = static_cast<std::uint64_t>(Parsed["seeds"].as<int>());
  int Failed = 0;
  for (auto Seed = First; Seed < First + Seeds; ++Seed) {
    Options.Seed_ = Seed;
    Options.Folder_ =
        std::filesystem::absolute(Parsed["keep"].as<std::string>() + "/" +
                                  std::to_string(Seed) + "-" +
                                  std::to_string(::getpid()))
            .string();
    if (skylark::soak::playSeed(Options))
      std::filesystem::remove_all(Options.Folder_);
    else
      ++Failed;
  }
  std::cout << "seeds with broken promises: " << Failed << " of " << Seeds
            << std::endl;
  return Failed == 0 ? 0 : 1;
}
