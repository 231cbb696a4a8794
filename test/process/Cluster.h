/// \file
/// Defines the scaffold of the process tests: starts, stops, freezes and asks
/// the daemons and stand-ins of one small system on loopback.
#pragma once

#include "core/Time.h"
#include "runtime/HttpClient.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace skylark::ProcessTest {

using Json = nlohmann::json;

/// One attempt of a task as a worker saw it, on the system clock.
struct RanAttempt {
  std::string Task_;
  std::string Worker_;
  int Attempt_ = 0;
  std::int64_t FromMs_ = 0;
  /// 0 while it runs.
  std::int64_t ToMs_ = 0;
  std::string End_;
};

/// What every worker says of what truly ran.
struct Evidence {
  std::vector<RanAttempt> Attempts_;
  /// How often each quick request's body was run.
  std::map<std::string, int> Runs_;
};

struct ClusterPlan {
  std::vector<std::string> DataCentres_{"hobart", "launceston"};
  int WorkersEach_ = 2;
  int Entries_ = 2;
  int ServiceMs_ = 5;
  /// The policy part of the document.
  std::string Policy_ =
      R"({"task_lease_ms":3000,"outage_horizon_ms":20000,"permit_ms":1500})";
};

/// A running system. Ends every process that it started.
class Cluster {
public:
  explicit Cluster(ClusterPlan Plan);
  ~Cluster();
  Cluster(const Cluster &) = delete;
  auto operator=(const Cluster &) -> Cluster & = delete;

  /// Starts everything, applies the document and waits until all is ready.
  auto startAll() -> void;
  auto startStore() -> void;
  auto startEntry(int Index) -> void;
  auto startWorker(const std::string &Name) -> void;
  auto startAgent(const std::string &Name) -> void;

  /// Sends a signal to a process by its name, such as "entry-a".
  auto signal(const std::string &Name, int Number) -> void;
  /// Kills a process and waits for its end.
  auto kill(const std::string &Name) -> void;
  /// Waits for a process to end by itself; returns its exit status.
  auto waitForEnd(const std::string &Name) -> int;
  auto running(const std::string &Name) -> bool;
  auto process(const std::string &Name) const -> pid_t {
    return Processes_.at(Name);
  }

  auto ask(int Entry, const std::string &Method, const std::string &Path,
           const std::string &Body = "", std::vector<std::string> Headers = {})
      -> HttpResult;
  /// Posts to a stand-in by its name.
  auto post(const std::string &Name, const std::string &Path) -> HttpResult;
  /// Runs the command line with an entry's address; returns the exit status.
  auto command(int Entry, const std::vector<std::string> &Words,
               std::string *Output = nullptr) -> int;

  auto quick(int Entry, const std::string &Body, const std::string &Query,
             const std::string &Key = "") -> HttpResult;
  auto submitJob(int Entry, const Json &Job) -> std::string;
  /// The job as the entry tells it; an empty object where it can't.
  auto job(int Entry, const std::string &Id) -> Json;
  /// Sum of a metric over its labels; -1 where the entry does not answer.
  auto metric(int Entry, const std::string &Name) -> double;

  /// Gathers what every worker alive has run; what dead ones said last stays.
  auto evidence() -> Evidence;

  auto workers() const -> const std::vector<std::string> & { return Workers_; }
  auto entryName(int Index) const -> std::string;
  auto entryAddress(int Index) const -> std::string;
  auto dataCentreOf(const std::string &Worker) const -> std::string;
  auto document() const -> std::string;
  auto folder() const -> const std::string & { return Folder_; }
  auto port(const std::string &Name) const -> int { return Ports_.at(Name); }
  auto log(const std::string &Name) const -> std::string;

private:
  auto start(const std::string &Name, std::vector<std::string> Words) -> void;
  auto writeFile(const std::string &Name, const std::string &Text)
      -> std::string;
  auto reservePort(const std::string &Name) -> void;

  ClusterPlan Plan_;
  std::string Folder_;
  std::map<std::string, pid_t> Processes_;
  std::map<std::string, int> Ports_;
  std::vector<std::string> Workers_;
  std::map<std::string, Json> LastEvidence_;
};

/// Waits for an event; throws, naming it, after one generous deadline.
auto waitFor(const std::string &What, const std::function<bool()> &Happened,
             Seconds Deadline = Seconds{60}) -> void;

/// Today's date, with which idempotency keys begin.
auto keyPrefix() -> std::string;

/// Pairs of attempts of one task that overlapped in time; must be empty.
auto overlaps(const Evidence &Seen) -> std::vector<std::string>;

/// True for a whole answer with a status of success.
auto accepted(const HttpResult &Answer) -> bool;

auto nowMs() -> std::int64_t;

} // namespace skylark::ProcessTest
