/// \file
/// Defines the fixture of the process tests: starts, signals, stops and calls
/// the daemons and stand-ins of one small system on the loopback interface.
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

/// One attempt of a task as recorded by the worker that ran it; times are of
/// the system clock.
struct ExecutedAttempt {
  std::string Task_;
  std::string Worker_;
  int Attempt_ = 0;
  std::int64_t StartedAtMs_ = 0;
  /// 0 while the attempt is running.
  std::int64_t EndedAtMs_ = 0;
  /// "finished", "failed", "stopped" or "lapsed" (the lease expired); empty
  /// while the attempt is running.
  std::string Outcome_;
};

/// What all workers have run, from their own records. The tests check this
/// rather than the state that an entry reports, which may differ from it.
struct Executions {
  std::vector<ExecutedAttempt> Attempts_;
  /// Number of runs of each quick request, by request body.
  std::map<std::string, int> RunCounts_;
};

struct ClusterOptions {
  std::vector<std::string> DataCentres_{"hobart", "launceston"};
  int WorkersPerDataCentre_ = 2;
  int EntryCount_ = 2;
  /// Time that a target takes for a quick request.
  int ServiceTimeMs_ = 5;
  /// The "policy" object of the document, as JSON.
  std::string Policy_ =
      R"({"task_lease_ms":3000,"outage_horizon_ms":20000,"permit_ms":1500})";
};

/// A running system. The destructor kills every process that it started, and
/// removes their files unless SKYLARK_KEEP is set in the environment.
class Cluster {
public:
  explicit Cluster(ClusterOptions Options);
  ~Cluster();
  Cluster(const Cluster &) = delete;
  auto operator=(const Cluster &) -> Cluster & = delete;

  /// Starts all processes, applies the document, and waits until every entry is
  /// healthy, sees all targets and peers, and each shard has an owner.
  auto startAll() -> void;
  auto startStore() -> void;
  auto startEntry(int Index) -> void;
  auto startWorker(const std::string &Name) -> void;
  auto startAgent(const std::string &Name) -> void;

  /// Sends a signal to the process of this name, such as "entry-a".
  auto signal(const std::string &Name, int Signal) -> void;
  /// Sends SIGKILL to a process and waits until it has exited; does nothing if
  /// it is not running.
  auto kill(const std::string &Name) -> void;
  /// Waits for a process to exit by itself. Returns its exit status, or 128
  /// plus the number of the signal that ended it.
  auto waitForExit(const std::string &Name) -> int;
  auto isRunning(const std::string &Name) -> bool;
  auto processId(const std::string &Name) const -> pid_t {
    return Processes_.at(Name);
  }

  /// Calls an entry's HTTP API and waits for the response for at most 30 s.
  auto callEntry(int Entry, const std::string &Method, const std::string &Path,
                 const std::string &Body = "",
                 std::vector<std::string> Headers = {}) -> HttpResult;
  /// Sends a POST without a body to the stand-in of this name.
  auto post(const std::string &Name, const std::string &Path) -> HttpResult;
  /// Runs the `skylark` command against an entry.
  ///
  /// \param Output receives stdout and stderr; may be null.
  /// \returns the exit status, or -1 if a signal ended the command.
  auto runCommand(int Entry, const std::vector<std::string> &Arguments,
                  std::string *Output = nullptr) -> int;

  /// Sends a quick request; `Key` is its idempotency key, empty for none.
  auto quickRequest(int Entry, const std::string &Body,
                    const std::string &Query, const std::string &Key = "")
      -> HttpResult;
  /// Submits a job, with retries until an entry accepts it; returns its id.
  auto submitJob(int Entry, const Json &Job) -> std::string;
  /// The job's state as reported by an entry; an empty object if the entry does
  /// not return it.
  auto jobStatus(int Entry, const std::string &Id) -> Json;
  /// Sum of a metric over all label values; -1 if the entry does not respond.
  auto metric(int Entry, const std::string &Name) -> double;

  /// Collects the execution records of all workers. For a worker that does not
  /// respond, its last known records are used.
  auto executions() -> Executions;

  auto workers() const -> const std::vector<std::string> & { return Workers_; }
  auto entryName(int Index) const -> std::string;
  auto entryAddress(int Index) const -> std::string;
  auto dataCentreOf(const std::string &Worker) const -> std::string;
  auto document() const -> std::string;
  auto directory() const -> const std::string & { return Directory_; }
  auto port(const std::string &Name) const -> int { return Ports_.at(Name); }
  auto log(const std::string &Name) const -> std::string;

private:
  auto startProcess(const std::string &Name, std::vector<std::string> Arguments)
      -> void;
  auto writeFile(const std::string &Name, const std::string &Text)
      -> std::string;
  auto pickFreePort(const std::string &Name) -> void;

  ClusterOptions Options_;
  std::string Directory_;
  std::map<std::string, pid_t> Processes_;
  std::map<std::string, int> Ports_;
  std::vector<std::string> Workers_;
  std::map<std::string, Json> LastReports_;
};

/// Polls until the condition holds.
///
/// \param What the awaited event, for the message of the exception.
/// \throws std::runtime_error after the timeout. It is long, so that a slow
/// machine does not make a test fail.
auto waitFor(const std::string &What, const std::function<bool()> &Condition,
             Seconds Timeout = Seconds{60}) -> void;

/// The prefix that idempotency keys must have: the current UTC date.
auto keyPrefix() -> std::string;

/// Describes each pair of attempts of the same task that ran at the same time.
/// Empty if the system works correctly.
auto overlappingAttempts(const Executions &Executed)
    -> std::vector<std::string>;

/// True for a complete response with a 2xx status.
auto isSuccess(const HttpResult &Response) -> bool;

auto nowMs() -> std::int64_t;

} // namespace skylark::ProcessTest
