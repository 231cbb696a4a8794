/// \file
/// Measures the cost of idle agents and entries as real processes: processor
/// time, resident memory, and store calls per second.

#include "test/process/Cluster.h"

#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace skylark;
using namespace skylark::ProcessTest;

namespace {

constexpr Seconds MeasurementDuration{10};

struct Usage {
  double CpuSeconds_ = 0;
  double ResidentMegabytes_ = 0;
};

auto usageOf(pid_t Process) -> Usage {
  std::ifstream In("/proc/" + std::to_string(Process) + "/stat");
  std::string Text;
  std::getline(In, Text);
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  std::vector<std::string> Values;
  for (std::string Each; Fields >> Each;)
    Values.push_back(Each);
  constexpr std::size_t UserTime = 11;
  constexpr std::size_t SystemTime = 12;
  constexpr std::size_t ResidentPages = 21;
  Usage Result;
  Result.CpuSeconds_ =
      (std::stod(Values[UserTime]) + std::stod(Values[SystemTime])) /
      static_cast<double>(sysconf(_SC_CLK_TCK));
  Result.ResidentMegabytes_ = std::stod(Values[ResidentPages]) *
                              static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  return Result;
}

auto measure(int WorkersPerDataCentre) -> void {
  ClusterOptions Options;
  Options.WorkersPerDataCentre_ = WorkersPerDataCentre;
  Cluster System(Options);
  System.startAll();
  const auto Agent = System.processId("agent-" + System.workers().front());
  const auto Entry = System.processId("entry-a");
  const auto AgentBefore = usageOf(Agent);
  const auto EntryBefore = usageOf(Entry);
  const auto StoreCallsBefore = System.metric(0, "skylark_store_calls_total");
  std::this_thread::sleep_for(MeasurementDuration);
  const auto AgentAfter = usageOf(Agent);
  const auto EntryAfter = usageOf(Entry);
  const auto StoreCalls =
      System.metric(0, "skylark_store_calls_total") - StoreCallsBefore;
  const auto DurationSeconds = static_cast<double>(MeasurementDuration.count());
  constexpr double Percent = 100;
  std::printf("%3zu agents, 2 entries, idle: agent %.2f %% of a core, %.1f MB; "
              "entry %.2f %%, %.1f MB, %.1f store calls a second\n",
              System.workers().size(),
              Percent * (AgentAfter.CpuSeconds_ - AgentBefore.CpuSeconds_) /
                  DurationSeconds,
              AgentAfter.ResidentMegabytes_,
              Percent * (EntryAfter.CpuSeconds_ - EntryBefore.CpuSeconds_) /
                  DurationSeconds,
              EntryAfter.ResidentMegabytes_, StoreCalls / DurationSeconds);
}

} // namespace

auto main() -> int {
  for (const int WorkersPerDataCentre : {2, 8, 24})
    measure(WorkersPerDataCentre);
  return 0;
}
