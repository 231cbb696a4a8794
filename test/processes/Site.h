/// \file
/// Declares a site on loopback: the system's processes, the stand-ins of the
/// platform, and the forwarder between them.
#pragma once

#include "review/standin/Deployment.h"
#include "test/processes/Disruptions.h"
#include "test/processes/Forwarder.h"
#include "test/processes/SiteAddresses.h"

namespace skylark::soak {

struct SiteOptions {
  std::uint64_t Seed_ = 1;
  int Entries_ = 9;
  int Workers_ = 54;
  /// Size of the forwarder's buffers for links, 0: the system's.
  int LinkReceiveBytes_ = 0;
  /// The programs, and an empty folder for settings and logs.
  std::string Program_;
  std::string Shim_;
  std::string Folder_;
};

/// Addresses and ports of a seed that nobody uses yet.
auto chooseAddresses(std::uint64_t Seed) -> SiteAddresses;

/// Starts, disturbs and restarts the processes. Its calls are thread-safe.
class Site {
public:
  Site(review::Record &Log, review::RunLog &Runs, SiteOptions Options);
  ~Site();
  Site(const Site &) = delete;
  auto operator=(const Site &) -> Site & = delete;

  /// Starts everything and waits until all entries are ready.
  /// \param ClockShifts shifts of the wall clock by process.
  auto
  start(const std::map<std::string, std::chrono::milliseconds> &ClockShifts)
      -> void;

  auto startProcess(const std::string &Name) -> void;
  auto kill(const std::vector<std::string> &Names) -> void;
  /// Sends SIGTERM; the process starts again once it has ended.
  auto terminate(const std::string &Name) -> void;
  auto freeze(const std::string &Name) -> void;
  auto resume(const std::string &Name) -> void;
  auto reload(const std::string &Name) -> void;
  auto shiftClock(const std::string &Name, std::chrono::milliseconds Shift)
      -> void;
  auto crashWorkers(const std::vector<int> &Indexes) -> void;
  auto startWorkers(const std::vector<int> &Indexes) -> void;
  auto setStoreSilent(bool Silent) -> void;
  /// Writes the next version of the configuration.
  auto changeConfiguration() -> void;
  /// Restarts stopped processes; to be called often.
  /// \returns the processes that have ended by themselves.
  auto reap() -> std::vector<std::string>;

  auto forwarder() -> Forwarder & { return Forwarder_; }
  auto disruptions() -> Disruptions & { return Disruptions_; }
  auto entryCount() const -> int { return Options_.Entries_; }
  auto workerCount() const -> int { return Options_.Workers_; }
  auto entryNames() const -> std::vector<std::string>;
  auto agentNames() const -> std::vector<std::string>;
  /// The host at which clients reach an entry; the port is frontPort().
  auto frontHost(int Entry) const -> std::string;
  auto frontPort() const -> int { return Addresses_.port(FrontPortOffset); }
  /// Whether the entry tells the platform that it is ready.
  auto ready(int Entry) const -> bool;

  const review::Queue Quick_{"receipt-check", "nony24.example", "/lohu930/", 0,
                             4};
  const review::Queue Batch_{"claim-batch", "ficu95.example", "/pufi791/", 2,
                             4};
  const review::Queue Feed_{"docket-feed", "nony24.example", "/pule252/", 0, 2};

private:
  struct Process {
    pid_t Id_ = 0;
    bool Frozen_ = false;
    bool Stopping_ = false;
    SteadyTime KillAt_{};
  };

  static auto octet(const std::string &Name) -> int;
  auto settings(const std::string &Name) const -> review::Json;
  auto spawn(const std::string &Name) -> void;
  auto writeClock(const std::string &Name, std::chrono::milliseconds Shift)
      -> void;
  auto file(const std::string &Name) const -> std::string;

  review::Record &Log_;
  SiteOptions Options_;
  SiteAddresses Addresses_;
  Disruptions Disruptions_;
  std::mutex Mutex_;
  std::map<std::string, Process> Processes_;
  int Version_ = 0;
  std::unique_ptr<review::Store> Store_;
  std::vector<std::unique_ptr<review::Worker>> Workers_;
  Forwarder Forwarder_;
};

} // namespace skylark::soak
