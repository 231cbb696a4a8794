/// \file
/// Simulates the state machines of entries and agents under random faults, one
/// run for each seed, and reports violations and coverage. With --mutation it
/// breaks one mechanism on purpose and checks that the runs detect it. The mode
/// --operator-keys runs the client of the platform's store instead.

#include "core/Mutation.h"
#include "test/fuzz/OperatorKeys.h"
#include "test/fuzz/Simulation.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <atomic>
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

/// The name that selects the runs of the store's client as a kind.
constexpr auto OperatorKeysKind = "operator-keys";

/// Runs the client of the platform's store. \returns the exit status.
auto soakOperatorKeys(std::uint64_t FirstSeed, int RunCount, int MutationNumber)
    -> int {
  std::atomic<int> NextRun{0};
  std::atomic<int> FailedRuns{0};
  std::mutex Mutex;
  const auto RunSeeds = [&] {
    for (int Index = NextRun++; Index < RunCount; Index = NextRun++) {
      if (MutationNumber != 0 && FailedRuns != 0)
        return;
      const auto Plan =
          planOperatorKeys(FirstSeed + static_cast<std::uint64_t>(Index));
      const auto Violations = runOperatorKeys(Plan);
      if (Violations.empty())
        continue;
      const std::lock_guard<std::mutex> Guard(Mutex);
      ++FailedRuns;
      std::cout << (MutationNumber == 0 ? "" : "mutation found, ") << "seed "
                << Plan.Seed_ << " failed: " << Violations.front() << "\n  "
                << describe(Plan) << '\n';
    }
  };
  std::vector<std::thread> Threads;
  for (unsigned Index = 0; Index < std::thread::hardware_concurrency(); ++Index)
    Threads.emplace_back(RunSeeds);
  for (auto &Each : Threads)
    Each.join();
  if (MutationNumber != 0 && FailedRuns == 0)
    std::cout << "mutation " << MutationNumber << " NOT found in " << RunCount
              << " runs\n";
  if (MutationNumber != 0)
    return FailedRuns != 0 ? 0 : 1;
  std::cout << "operator's keys: runs " << RunCount << " from seed "
            << FirstSeed << ", broken " << FailedRuns << '\n';
  return FailedRuns == 0 ? 0 : 1;
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
      "changing-capacity", "workers' capacities shrink and grow")(
      "crashing-tasks", "some tasks crash each worker that starts them")(
      "prompt-cancellations",
      "callers cancel jobs before, beside and after their submission")(
      "lost-stops",
      "stops of each attempt that are lost, to its agent and to its worker",
      cxxopts::value<int>()->default_value("0"))(
      "operator-keys", "run the client of the platform's store, under "
                       "disruptions of its own; as does the kind of that name")(
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
  if (Parsed.count("operator-keys") != 0 ||
      KindNames == std::vector<std::string>{OperatorKeysKind})
    return soakOperatorKeys(FirstSeed, RunCount, MutationNumber);
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
