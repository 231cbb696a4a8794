/// \file
/// Declares the clients of the soak and what they remember of their jobs.
#pragma once

#include "test/processes/KeepAliveClient.h"
#include "test/processes/Violations.h"

#include <condition_variable>

namespace skylark::soak {

struct TrafficOptions {
  std::uint64_t Seed_ = 1;
  int Clients_ = 16;
  std::chrono::milliseconds LongestPause_{400};
  int LastingJobs_ = 12;
};

enum class JobOutcome { Unknown, Accepted, Refused };

/// A job as its client knows it.
struct JobRecord {
  std::string Id_;
  const review::Queue *Queue_ = nullptr;
  JobOutcome Outcome_ = JobOutcome::Unknown;
  SteadyTime AcceptedAt_{};
  bool Lasts_ = false;
  /// Tasks of all steps.
  int Tasks_ = 0;
  bool CancelSent_ = false;
  bool CancelAcknowledged_ = false;
  /// In the time of the run's log.
  double CancelAcknowledgedAt_ = 0;
  SteadyTime CancelAcknowledgedSteady_{};
};

/// Hands jobs in, asks for them and cancels some, until it is stopped.
class Traffic {
public:
  Traffic(Site &System, review::RunLog &Runs, review::Record &Log,
          Violations &Found, TrafficOptions Options);
  ~Traffic() { stop(); }
  Traffic(const Traffic &) = delete;
  auto operator=(const Traffic &) -> Traffic & = delete;

  auto start() -> void;
  auto stop() -> void;
  auto jobs() const -> std::vector<JobRecord>;
  /// Waits until a job has been accepted, from now on.
  auto awaitAcceptance(std::chrono::milliseconds Timeout) -> void;
  /// Asks for a job and checks the answer.
  /// \returns the state, or the status as text.
  auto query(KeepAliveClient &Client, const JobRecord &Job, int Entry)
      -> std::string;

private:
  using Generator = std::mt19937_64;

  auto runClient(std::uint64_t Seed) -> void;
  auto makeJob(Generator &Random, JobRecord &Job) -> review::Json;
  auto submit(KeepAliveClient &Client, Generator &Random, JobRecord &Job,
              const std::string &Body) -> void;
  auto cancel(KeepAliveClient &Client, Generator &Random, std::size_t Index)
      -> void;
  auto call(KeepAliveClient &Client, int Entry, const std::string &Method,
            const JobRecord &Job, const std::string &Body) -> CallResult;
  auto checkCut(const CallResult &Result, const JobRecord &Job, int Entry)
      -> void;
  auto chooseEntry(Generator &Random) const -> int;

  Site &Site_;
  review::RunLog &Runs_;
  review::Record &Log_;
  Violations &Violations_;
  TrafficOptions Options_;
  std::atomic<bool> Running_{false};
  mutable std::mutex Mutex_;
  std::condition_variable Accepted_;
  std::vector<JobRecord> Jobs_;
  int Lasting_ = 0;
  std::vector<std::thread> Threads_;
};

} // namespace skylark::soak
