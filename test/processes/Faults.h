/// \file
/// Declares the faults of the soak, drawn from a seed.
#pragma once

#include "test/processes/Traffic.h"

#include <functional>

namespace skylark::soak {

/// Plays faults one after the other and overlapping.
class Faults {
public:
  using Clock = std::chrono::steady_clock;

  Faults(Site &System, Traffic &Clients, review::Record &Log, Violations &Found,
         std::uint64_t Seed)
      : Site_(System), Traffic_(Clients), Log_(Log), Violations_(Found),
        Random_(Seed) {}

  /// Plays faults of the named kinds, or of all kinds if none is named.
  /// Afterwards all machines and the store work; silent connections stay so.
  auto play(std::chrono::milliseconds Duration,
            const std::vector<std::string> &Kinds) -> void;
  static auto kinds() -> std::vector<std::string>;

private:
  using Action = std::function<void()>;
  using Play = void (Faults::*)();

  struct Kind {
    const char *Name_;
    /// Relative frequency.
    int Weight_;
    Play Play_;
  };

  static auto table() -> const std::vector<Kind> &;

  auto killOne() -> void;
  auto killSeveral() -> void;
  auto killAll() -> void;
  auto killAllAfterAcceptance() -> void;
  auto killAllTwice() -> void;
  auto killAllWithSilentStore() -> void;
  auto killAllWithWorkers() -> void;
  auto crashWorkers() -> void;
  auto stopInTurn() -> void;
  auto stopTogether() -> void;
  auto freeze() -> void;
  auto reload() -> void;
  /// Connections other than those among entries.
  auto silenceConnections() -> void;
  auto silenceEntries() -> void;
  /// With --link-bytes 4096, bytes are unacknowledged from then on.
  auto stallEntries() -> void;
  /// Half of all connections, both ways.
  auto silenceHalf() -> void;
  auto resetConnections() -> void;
  auto delayConnections() -> void;
  auto silenceStore() -> void;
  auto slowStore() -> void;
  auto loseStoreAnswers() -> void;
  auto refuseMachines() -> void;
  auto changeConfiguration() -> void;
  auto stepClock() -> void;
  /// All clocks leap by 25 hours, once more each time.
  auto skipADay() -> void;

  auto after(std::chrono::milliseconds Delay, Action Work) -> void;
  auto runDue() -> void;
  auto killAndRestart(const std::vector<std::string> &Names,
                      std::chrono::milliseconds Down) -> void;
  auto shiftClocks(const std::vector<std::string> &Names,
                   std::chrono::milliseconds Shift) -> void;
  auto silence(const std::set<Pair> &Pairs) -> void;
  auto silence(const Selection &Chosen, Silence How, Direction Which) -> void;
  auto killEverything(std::chrono::milliseconds Down) -> void;
  auto disturbLinks(std::chrono::milliseconds Duration) -> void;
  auto between(int Low, int High) -> int;
  auto randomProcesses(int Most) -> std::vector<std::string>;
  auto randomPairs() -> std::set<Pair>;
  auto everyProcess() const -> std::vector<std::string>;

  Site &Site_;
  Traffic &Traffic_;
  review::Record &Log_;
  Violations &Violations_;
  std::mt19937_64 Random_;
  std::chrono::milliseconds SkippedDays_{0};
  std::multimap<Clock::time_point, Action> Pending_;
};

} // namespace skylark::soak
