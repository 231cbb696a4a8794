#include "test/processes/Faults.h"

#include <algorithm>

namespace skylark::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds SchedulerInterval{20};
/// Pauses between the starts of faults; one in four is long enough for the
/// whole site to be calm.
constexpr int ShortestPauseMs = 300;
constexpr int LongestPauseMs = 3000;
constexpr int CalmPauseMs = 9000;
constexpr int CalmOneIn = 6;

} // namespace

auto Faults::table() -> const std::vector<Kind> & {
  static const std::vector<Kind> Table{
      {"kill-one", 3, &Faults::killOne},
      {"kill-several", 2, &Faults::killSeveral},
      {"kill-all", 1, &Faults::killAll},
      {"kill-all-after-acceptance", 1, &Faults::killAllAfterAcceptance},
      {"kill-all-twice", 1, &Faults::killAllTwice},
      {"kill-all-with-silent-store", 1, &Faults::killAllWithSilentStore},
      {"kill-all-with-workers", 1, &Faults::killAllWithWorkers},
      {"crash-workers", 2, &Faults::crashWorkers},
      {"stop-in-turn", 2, &Faults::stopInTurn},
      {"stop-together", 1, &Faults::stopTogether},
      {"freeze", 2, &Faults::freeze},
      {"reload", 1, &Faults::reload},
      {"silence-connections", 4, &Faults::silenceConnections},
      {"silence-entries", 1, &Faults::silenceEntries},
      {"stall-entries", 1, &Faults::stallEntries},
      {"silence-half", 1, &Faults::silenceHalf},
      {"reset-connections", 2, &Faults::resetConnections},
      {"delay-connections", 2, &Faults::delayConnections},
      {"silent-store", 2, &Faults::silenceStore},
      {"slow-store", 1, &Faults::slowStore},
      {"lost-store-answers", 1, &Faults::loseStoreAnswers},
      {"refused-machines", 1, &Faults::refuseMachines},
      {"change-configuration", 2, &Faults::changeConfiguration},
      {"step-clock", 2, &Faults::stepClock},
      {"skip-a-day", 1, &Faults::skipADay}};
  return Table;
}

auto Faults::kinds() -> std::vector<std::string> {
  std::vector<std::string> Names;
  Names.reserve(table().size());
  for (const auto &Each : table())
    Names.emplace_back(Each.Name_);
  return Names;
}

auto Faults::play(milliseconds Duration, const std::vector<std::string> &Kinds)
    -> void {
  std::vector<Kind> Chosen;
  for (const auto &Each : table())
    if (Kinds.empty() ||
        std::find(Kinds.begin(), Kinds.end(), Each.Name_) != Kinds.end())
      Chosen.insert(Chosen.end(), static_cast<std::size_t>(Each.Weight_), Each);
  const auto End = Clock::now() + Duration;
  auto NextAt = Clock::now();
  while (Clock::now() < End) {
    runDue();
    if (!Chosen.empty() && Clock::now() >= NextAt) {
      const auto &Fault = Chosen[Random_() % Chosen.size()];
      Log_.line(std::string("fault: ") + Fault.Name_);
      Violations_.count(std::string("fault ") + Fault.Name_);
      (this->*Fault.Play_)();
      const auto Pause = Random_() % CalmOneIn == 0
                             ? CalmPauseMs
                             : between(ShortestPauseMs, LongestPauseMs);
      NextAt = Clock::now() + milliseconds{Pause};
    }
    std::this_thread::sleep_for(SchedulerInterval);
  }
  while (!Pending_.empty()) {
    runDue();
    std::this_thread::sleep_for(SchedulerInterval);
  }
}

auto Faults::killOne() -> void {
  const auto Entries = Site_.entryNames();
  killAndRestart({Entries[Random_() % Entries.size()]},
                 milliseconds{between(200, 3000)});
}

auto Faults::killSeveral() -> void {
  killAndRestart(randomProcesses(8), milliseconds{between(200, 3000)});
}

auto Faults::killAll() -> void {
  killEverything(milliseconds{between(300, 3000)});
}

auto Faults::killAllAfterAcceptance() -> void {
  constexpr milliseconds Longest{3000};
  Traffic_.awaitAcceptance(Longest);
  killAll();
}

auto Faults::killAllTwice() -> void {
  // The leases of the first lives are still in the store.
  killEverything(milliseconds{200});
  after(milliseconds{between(400, 2500)},
        [this] { killEverything(milliseconds{300}); });
}

auto Faults::killAllWithSilentStore() -> void {
  Site_.setStoreSilent(true);
  after(milliseconds{between(0, 800)},
        [this] { killEverything(milliseconds{500}); });
  after(milliseconds{between(2000, 5000)},
        [this] { Site_.setStoreSilent(false); });
}

auto Faults::killAllWithWorkers() -> void {
  std::vector<int> All;
  All.reserve(static_cast<std::size_t>(Site_.workerCount()));
  for (int Index = 0; Index < Site_.workerCount(); ++Index)
    All.push_back(Index);
  const milliseconds Down{between(500, 2500)};
  killEverything(Down);
  Site_.crashWorkers(All);
  after(Down, [this, All] { Site_.startWorkers(All); });
}

auto Faults::crashWorkers() -> void {
  std::vector<int> Some;
  for (int Index = 0; Index < Site_.workerCount(); ++Index)
    if (Random_() % 4 == 0)
      Some.push_back(Index);
  Site_.crashWorkers(Some);
  after(milliseconds{between(500, 4000)},
        [this, Some] { Site_.startWorkers(Some); });
}

auto Faults::stopInTurn() -> void {
  const auto Step = between(300, 1500);
  int Delay = 0;
  for (const auto &Name : Site_.entryNames()) {
    after(milliseconds{Delay}, [this, Name] { Site_.terminate(Name); });
    Delay += Step;
  }
}

auto Faults::stopTogether() -> void {
  for (const auto &Name : randomProcesses(6))
    Site_.terminate(Name);
}

auto Faults::freeze() -> void {
  for (const auto &Name : randomProcesses(3)) {
    Site_.freeze(Name);
    after(milliseconds{between(500, 8000)},
          [this, Name] { Site_.resume(Name); });
  }
}

auto Faults::reload() -> void {
  for (const auto &Name : everyProcess())
    Site_.reload(Name);
}

auto Faults::silenceConnections() -> void {
  auto Pairs = randomPairs();
  Pairs.erase(Pair::EntryEntry);
  silence(Pairs);
}

auto Faults::silenceEntries() -> void { silence({Pair::EntryEntry}); }

auto Faults::stallEntries() -> void {
  silence({{Pair::EntryEntry}, 0.5}, Silence::Stall, Direction::Both);
}

auto Faults::silenceHalf() -> void {
  silence({{Pair::ClientEntry, Pair::EntryEntry, Pair::AgentEntry, Pair::Store,
            Pair::AgentWorker},
           0.5},
          Silence::Discard, Direction::Both);
}

auto Faults::silence(const std::set<Pair> &Pairs) -> void {
  constexpr std::array<double, 3> Shares{0.2, 0.5, 1.0};
  const auto How = Random_() % 2 == 0 ? Silence::Discard : Silence::Stall;
  silence({Pairs, Shares[Random_() % Shares.size()]}, How,
          static_cast<Direction>(Random_() % 3));
}

auto Faults::silence(const Selection &Chosen, Silence How, Direction Which)
    -> void {
  const auto Count = Site_.forwarder().silence(Chosen, How, Which);
  disturbLinks(milliseconds{0});
  Log_.line("silent for good: " + std::to_string(Count) + " connections");
  Violations_.count("connections silenced", static_cast<int>(Count));
}

auto Faults::resetConnections() -> void {
  const Selection Chosen{randomPairs(), 0.5};
  const auto Count = Site_.forwarder().reset(Chosen);
  disturbLinks(milliseconds{0});
  Violations_.count("connections reset", static_cast<int>(Count));
}

auto Faults::delayConnections() -> void {
  const milliseconds Duration{between(500, 4000)};
  Site_.forwarder().delay({randomPairs(), 0.5}, milliseconds{between(20, 400)},
                          Duration);
  disturbLinks(Duration);
}

auto Faults::silenceStore() -> void {
  Site_.setStoreSilent(true);
  after(milliseconds{between(500, 6000)},
        [this] { Site_.setStoreSilent(false); });
}

auto Faults::slowStore() -> void {
  const milliseconds Duration{between(1000, 5000)};
  Site_.forwarder().delay({{Pair::Store}}, milliseconds{between(50, 600)},
                          Duration);
  disturbLinks(Duration);
}

auto Faults::loseStoreAnswers() -> void {
  const auto Count = Site_.forwarder().silence(
      {{Pair::Store}, 0.5}, Silence::Discard, Direction::ToSource);
  disturbLinks(milliseconds{0});
  Violations_.count("connections to the store without answers",
                    static_cast<int>(Count));
}

auto Faults::refuseMachines() -> void {
  const milliseconds Duration{between(1000, 6000)};
  for (int Index = 0; Index < Site_.entryCount(); ++Index)
    if (Random_() % 3 == 0) {
      const Selection Machine{{Pair::Store}, 1, FirstEntryOctet + Index};
      Site_.forwarder().refuse(Machine, Duration);
      Site_.forwarder().reset(Machine);
    }
  disturbLinks(Duration);
}

auto Faults::changeConfiguration() -> void {
  const auto Count = between(1, 4);
  for (int Index = 0; Index < Count; ++Index)
    after(milliseconds{Index * between(100, 900)},
          [this] { Site_.changeConfiguration(); });
}

auto Faults::stepClock() -> void {
  constexpr std::array<int, 6> Steps{-90000000, -60000, -1000,
                                     1000,      60000,  90000000};
  const milliseconds Shift{Steps[Random_() % Steps.size()]};
  shiftClocks(Random_() % 3 == 0 ? everyProcess() : randomProcesses(3), Shift);
}

auto Faults::skipADay() -> void {
  SkippedDays_ += std::chrono::hours{25};
  shiftClocks(everyProcess(), SkippedDays_);
}

auto Faults::shiftClocks(const std::vector<std::string> &Names,
                         milliseconds Shift) -> void {
  Log_.line("clocks of " + std::to_string(Names.size()) +
            " processes are shifted by " + std::to_string(Shift.count()) +
            " ms");
  for (const auto &Name : Names)
    Site_.shiftClock(Name, Shift);
}

auto Faults::after(milliseconds Delay, Action Work) -> void {
  Pending_.emplace(Clock::now() + Delay, std::move(Work));
}

auto Faults::runDue() -> void {
  while (!Pending_.empty() && Pending_.begin()->first <= Clock::now()) {
    const auto Work = std::move(Pending_.begin()->second);
    Pending_.erase(Pending_.begin());
    Work();
  }
}

auto Faults::killAndRestart(const std::vector<std::string> &Names,
                            milliseconds Down) -> void {
  Site_.kill(Names);
  after(Down, [this, Names] {
    for (const auto &Name : Names)
      Site_.startProcess(Name);
  });
}

auto Faults::killEverything(milliseconds Down) -> void {
  killAndRestart(everyProcess(), Down);
}

auto Faults::disturbLinks(milliseconds Duration) -> void {
  auto Machines = everyProcess();
  Machines.emplace_back("store");
  for (const auto &Name : Machines)
    Site_.disruptions().begin(Name, Planning::Unplanned);
  after(Duration, [this, Machines] {
    for (const auto &Name : Machines)
      Site_.disruptions().end(Name);
  });
}

auto Faults::between(int Low, int High) -> int {
  return std::uniform_int_distribution<>(Low, High)(Random_);
}

auto Faults::randomProcesses(int Most) -> std::vector<std::string> {
  auto Names = Site_.entryNames();
  if (Random_() % 2 == 0) {
    const auto Agents = Site_.agentNames();
    Names.insert(Names.end(), Agents.begin(), Agents.end());
  }
  std::shuffle(Names.begin(), Names.end(), Random_);
  Names.resize(std::min<std::size_t>(
      Names.size(), static_cast<std::size_t>(between(1, Most))));
  return Names;
}

auto Faults::randomPairs() -> std::set<Pair> {
  static const std::vector<std::set<Pair>> Choices{
      {Pair::EntryEntry},
      {Pair::AgentEntry},
      {Pair::AgentWorker},
      {Pair::Store},
      {Pair::EntryEntry, Pair::AgentEntry},
      {Pair::ClientEntry, Pair::EntryEntry, Pair::AgentEntry, Pair::Store,
       Pair::AgentWorker}};
  return Choices[Random_() % Choices.size()];
}

auto Faults::everyProcess() const -> std::vector<std::string> {
  auto Names = Site_.entryNames();
  const auto Agents = Site_.agentNames();
  Names.insert(Names.end(), Agents.begin(), Agents.end());
  return Names;
}

} // namespace skylark::soak
