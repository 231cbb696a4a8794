/// \file
/// Simulates the state machines of entries and agents under random faults, one
/// run for each seed, and reports violations and coverage. With --mutation it
/// breaks one mechanism on purpose and checks that the runs detect it. The mode
/// --operator-keys runs the client of the platform's store instead, and the
/// mode
/// --worker-lives that of its workers.

#include "core/Mutation.h"
#include "test/fuzz/OperatorKeys.h"
#include "test/fuzz/Simulation.h"
#include "test/fuzz/WorkerLives.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <iostream>
#include <mutex>
#include <thread>

using namespace skylark;
using namespace skylark::Fuzz;

namespace {

/// Faults last from 200 ms to 200 ms plus this time.
constexpr std::uint32_t FaultDurationSpreadMs = 12000;
/// Series of changes last from 5 s to 5 s plus this time.
constexpr std::uint32_t SeriesDurationSpreadMs = 15000;

/// The fault kinds with these names; if `Names` is empty, all kinds but those
/// that are injected by name only.
auto selectKinds(const std::vector<std::string> &Names)
    -> std::vector<FaultKind> {
  std::vector<FaultKind> Kinds;
  for (int Index = 0; Index < static_cast<int>(FaultKind::Count); ++Index) {
    const auto Kind = static_cast<FaultKind>(Index);
    const auto Selected = Names.empty()
                              ? !isInjectedByNameOnly(Kind)
                              : std::find(Names.begin(), Names.end(),
                                          faultName(Kind)) != Names.end();
    if (Selected)
      Kinds.push_back(Kind);
  }
  return Kinds;
}

/// Makes the configuration of one run; the same arguments give the same faults.
/// \param Kinds the kinds to choose from.
auto makeConfig(std::uint64_t Seed, int FaultCount,
                const std::vector<FaultKind> &Kinds) -> SimulationConfig {
  SimulationConfig Config;
  Config.Seed_ = Seed;
  Random Generator(Seed * 7919 + 13);
  const auto Draw = [&](std::uint32_t Max) {
    return std::uniform_int_distribution<std::uint32_t>(0, Max)(Generator);
  };
  for (int Index = 0; Index < FaultCount; ++Index) {
    Fault Each;
    Each.Kind_ = Kinds[Draw(static_cast<std::uint32_t>(Kinds.size()) - 1)];
    Each.StartMs_ =
        3000 + Draw(static_cast<std::uint32_t>(Config.Busy_.count()) - 3000);
    Each.DurationMs_ = Each.Kind_ == FaultKind::ChangeSeries
                           ? 5000 + Draw(SeriesDurationSpreadMs)
                           : 200 + Draw(FaultDurationSpreadMs);
    Each.Selector_ = Draw(1000);
    Config.Faults_.push_back(Each);
  }
  return Config;
}

/// Removes faults one by one while the run still fails.
auto shrink(SimulationConfig Config) -> SimulationConfig {
  for (std::size_t Index = 0; Index < Config.Faults_.size();) {
    auto Candidate = Config;
    Candidate.Faults_.erase(Candidate.Faults_.begin() +
                            static_cast<std::ptrdiff_t>(Index));
    if (Simulation(Candidate).run().empty())
      ++Index;
    else
      Config = Candidate;
  }
  return Config;
}

/// Prints the violations of a failed run, and those of the run with its faults
/// reduced to the necessary ones.
auto printFailure(const SimulationConfig &Config,
                  const std::vector<std::string> &Violations, bool Trace)
    -> void {
  std::cout << "seed " << Config.Seed_ << " failed:\n";
  for (const auto &Each : Violations)
    std::cout << "  " << Each << '\n';
  auto Shrunk = shrink(Config);
  std::cout << "  these faults alone make it fail:\n";
  for (const auto &Each : Shrunk.Faults_)
    std::cout << "    " << Each << '\n';
  Shrunk.Trace_ = Trace;
  for (const auto &Each : Simulation(Shrunk).run())
    std::cout << "  violation with these faults: " << Each << '\n';
}

/// The names that select the runs of the platform's clients as kinds.
constexpr auto OperatorKeysKind = "operator-keys";
constexpr auto WorkerLivesKind = "worker-lives";

/// What a run of a client of the platform has shown.
struct ClientRun {
  std::vector<std::string> Violations_;
  std::string Plan_;
  int Starts_ = 0;
  int Lives_ = 0;
};

struct ClientSoak {
  std::uint64_t FirstSeed_ = 0;
  int RunCount_ = 0;
  int MutationNumber_ = 0;
};

/// Runs a client of the platform once for each seed.
/// \param Name what the report calls the runs.
/// \returns the exit status.
auto soakClient(const std::string &Name, const ClientSoak &Soak,
                const std::function<ClientRun(std::uint64_t)> &RunSeed) -> int {
  std::atomic<int> NextRun{0};
  std::atomic<int> FailedRuns{0};
  std::mutex Mutex;
  int Starts = 0;
  int Lives = 0;
  const auto RunSeeds = [&] {
    for (int Index = NextRun++; Index < Soak.RunCount_; Index = NextRun++) {
      if (Soak.MutationNumber_ != 0 && FailedRuns != 0)
        return;
      const auto Seed = Soak.FirstSeed_ + static_cast<std::uint64_t>(Index);
      const auto Run = RunSeed(Seed);
      const std::lock_guard<std::mutex> Guard(Mutex);
      Starts += Run.Starts_;
      Lives += Run.Lives_;
      if (Run.Violations_.empty())
        continue;
      ++FailedRuns;
      std::cout << (Soak.MutationNumber_ == 0 ? "" : "mutation found, ")
                << "seed " << Seed << " failed: " << Run.Violations_.front()
                << "\n  " << Run.Plan_ << '\n';
    }
  };
  std::vector<std::thread> Threads;
  for (unsigned Index = 0; Index < std::thread::hardware_concurrency(); ++Index)
    Threads.emplace_back(RunSeeds);
  for (auto &Each : Threads)
    Each.join();
  if (Soak.MutationNumber_ != 0 && FailedRuns == 0)
    std::cout << "mutation " << Soak.MutationNumber_ << " NOT found in "
              << Soak.RunCount_ << " runs\n";
  if (Soak.MutationNumber_ != 0)
    return FailedRuns != 0 ? 0 : 1;
  std::cout << Name << ": runs " << Soak.RunCount_ << " from seed "
            << Soak.FirstSeed_ << ", broken " << FailedRuns;
  if (Lives != 0)
    std::cout << "; workers' crashes " << Lives << ", task starts " << Starts;
  std::cout << '\n';
  return FailedRuns == 0 ? 0 : 1;
}

auto runOperatorKeysSeed(std::uint64_t Seed) -> ClientRun {
  const auto Plan = planOperatorKeys(Seed);
  return {runOperatorKeys(Plan), describe(Plan)};
}

auto runWorkerLivesSeed(std::uint64_t Seed, bool LateAcrossLives) -> ClientRun {
  auto Plan = planWorkerLives(Seed);
  Plan.LateAcrossLives_ = LateAcrossLives;
  auto Result = runWorkerLives(Plan);
  return {std::move(Result.Violations_), describe(Plan), Result.Starts_,
          Result.Lives_};
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  cxxopts::Options Options("soak",
                           "Simulates entries and agents under random faults.");
  Options.add_options()("seed", "first seed",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "runs", "number of runs", cxxopts::value<int>()->default_value("20"))(
      "faults", "faults in each run",
      cxxopts::value<int>()->default_value("14"))(
      "quiet", "seconds to complete all work after the last fault",
      cxxopts::value<int>()->default_value("60"))(
      "mutation", "number of the mutation to activate; the run must detect it",
      cxxopts::value<int>()->default_value("0"))(
      "kinds", "kinds of faults to inject, separated by commas; all by default",
      cxxopts::value<std::vector<std::string>>())(
      "minimal-workers", "workers list only task ids and attempts; one shard")(
      "hopeless-jobs", "a job without a worker comes before each urgent one")(
      "lost-service", "one of two services loses all its workers for good")(
      "changing-capacity", "workers' capacities shrink and grow")(
      "crashing-tasks", "some tasks crash each worker that starts them")(
      "prompt-cancellations",
      "callers cancel jobs before, beside and after their submission")(
      "lost-stops",
      "stops of each attempt that are lost, to its agent and to its worker",
      cxxopts::value<int>()->default_value("0"))(
      "operator-keys", "run the client of the platform's store, under "
                       "disruptions of its own; as does the kind of that name")(
      "worker-lives", "run the client of the platform's workers, which crash "
                      "and start again under their ids; as does the kind of "
                      "that name")(
      "late-across-lives", "in the runs of worker-lives, late calls to one "
                           "life may be carried out by the next")(
      "trace", "print what the processes log in a failed run, reduced to the "
               "necessary faults")("h,help", "print this text");
  const auto Parsed = Options.parse(Count, Arguments);
  if (Parsed.count("help") != 0) {
    std::cout << Options.help();
    return 0;
  }
  const auto KindNames = Parsed.count("kinds") != 0
                             ? Parsed["kinds"].as<std::vector<std::string>>()
                             : std::vector<std::string>{};
  const auto MutationNumber = Parsed["mutation"].as<int>();
  setMutation(static_cast<Mutation>(MutationNumber));
  const auto FirstSeed = Parsed["seed"].as<std::uint64_t>();
  const auto RunCount = Parsed["runs"].as<int>();
  const auto IsSelected = [&](const std::string &Kind) {
    return Parsed.count(Kind) != 0 ||
           KindNames == std::vector<std::string>{Kind};
  };
  const ClientSoak Soak{FirstSeed, RunCount, MutationNumber};
  if (IsSelected(OperatorKeysKind))
    return soakClient("operator's keys", Soak, runOperatorKeysSeed);
  if (IsSelected(WorkerLivesKind))
    return soakClient("workers' lives", Soak, [&](std::uint64_t Seed) {
      return runWorkerLivesSeed(Seed, Parsed.count("late-across-lives") != 0);
    });
  const auto Kinds = selectKinds(KindNames);
  if (Kinds.empty()) {
    std::cerr << "--kinds names no known kind of fault\n";
    return 2;
  }
  Coverage Total;
  std::atomic<int> NextRun{0};
  std::atomic<int> FailedRuns{0};
  // The first seed at which the mutation was detected; 0 if there is none.
  std::atomic<std::uint64_t> DetectedSeed{0};
  std::mutex Mutex;
  const auto RunSeeds = [&] {
    for (int Index = NextRun++; Index < RunCount; Index = NextRun++) {
      if (MutationNumber != 0 && DetectedSeed != 0)
        return;
      auto Config = makeConfig(FirstSeed + static_cast<std::uint64_t>(Index),
                               Parsed["faults"].as<int>(), Kinds);
      Config.MinimalWorkers_ = Parsed.count("minimal-workers") != 0;
      Config.HopelessJobs_ = Parsed.count("hopeless-jobs") != 0;
      Config.LostService_ = Parsed.count("lost-service") != 0;
      Config.ChangingCapacity_ = Parsed.count("changing-capacity") != 0;
      Config.CrashingTasks_ = Parsed.count("crashing-tasks") != 0;
      Config.PromptCancellations_ = Parsed.count("prompt-cancellations") != 0;
      Config.LostStops_ = Parsed["lost-stops"].as<int>();
      Config.Quiet_ = Seconds{Parsed["quiet"].as<int>()};
      Simulation Run(Config);
      const auto Violations = Run.run();
      const std::lock_guard<std::mutex> Guard(Mutex);
      const auto &Covered = Run.coverage();
      for (std::size_t Kind = 0; Kind < Total.FaultCounts_.size(); ++Kind)
        Total.FaultCounts_[Kind] += Covered.FaultCounts_[Kind];
      Total.Messages_ += Covered.Messages_;
      Total.StoreCalls_ += Covered.StoreCalls_;
      Total.TaskStarts_ += Covered.TaskStarts_;
      Total.Replies_ += Covered.Replies_;
      if (Violations.empty())
        continue;
      ++FailedRuns;
      if (MutationNumber == 0)
        printFailure(Config, Violations, Parsed.count("trace") != 0);
      else if (DetectedSeed == 0) {
        DetectedSeed = Config.Seed_;
        std::cout << "mutation " << MutationNumber << " found at seed "
                  << Config.Seed_ << ": " << Violations.front() << '\n';
      }
    }
  };
  std::vector<std::thread> Threads;
  const auto ThreadCount =
      MutationNumber != 0 ? 4U : std::thread::hardware_concurrency();
  for (unsigned Index = 0; Index < ThreadCount; ++Index)
    Threads.emplace_back(RunSeeds);
  for (auto &Each : Threads)
    Each.join();
  if (MutationNumber != 0) {
    if (DetectedSeed == 0)
      std::cout << "mutation " << MutationNumber << " NOT found in " << RunCount
                << " runs\n";
    return DetectedSeed != 0 ? 0 : 1;
  }
  std::cout << "runs " << RunCount << " from seed " << FirstSeed << ", broken "
            << FailedRuns << "; messages " << Total.Messages_
            << ", store calls " << Total.StoreCalls_ << ", task starts "
            << Total.TaskStarts_ << ", replies " << Total.Replies_
            << "\nfaults:";
  for (std::size_t Kind = 0; Kind < Total.FaultCounts_.size(); ++Kind)
    std::cout << ' ' << faultName(static_cast<FaultKind>(Kind)) << ' '
              << Total.FaultCounts_[Kind];
  std::cout << '\n';
  return FailedRuns == 0 ? 0 : 1;
}
