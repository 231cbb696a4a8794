/// \file
/// Stands in for a worker of the users' platform that doesn't answer all calls:
/// some break, some are refused and some take effect late.
#pragma once

#include "core/Time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace skylark::StandIn {

/// What becomes of a call.
enum class CallFate {
  Answered,
  /// Carried out; the connection is closed without an answer.
  Broken,
  /// Answered 503, without effect.
  Refused,
  /// Carried out some 100 ms later, without an answer.
  Late
};

/// How many of 100 calls break, are refused and take effect late. The others
/// are answered.
struct FaultShares {
  int Broken_ = 0;
  int Refused_ = 0;
  int Late_ = 0;
};

/// What all workers have run, and the rules that this has broken.
class RunLog {
public:
  /// \param Advance ends the runs of the worker that are over by now.
  auto addWorker(std::function<void()> Advance) -> void {
    Workers_.push_back(std::move(Advance));
  }
  auto started(const std::string &Task, const std::string &Run) -> void;
  auto ended(const std::string &Task, const std::string &Run) -> void;
  /// The agent has confirmed that it knows of the task's finish.
  auto finishAcknowledged(const std::string &Task, const std::string &Run)
      -> void {
    Finished_[Task] = Run;
  }

  auto violate(std::string Violation) -> void {
    Violations_.push_back(std::move(Violation));
  }

  auto startCount() const -> int { return StartCount_; }
  /// Each start of a task that was running, or whose finish was acknowledged;
  /// and each number or time that a worker was told but can't have given.
  auto violations() const -> const std::vector<std::string> & {
    return Violations_;
  }

private:
  std::vector<std::function<void()>> Workers_;
  std::map<std::string, std::string> Running_;
  std::map<std::string, std::string> Finished_;
  std::vector<std::string> Violations_;
  int StartCount_ = 0;
};

/// Serves on a port of its own on the loopback interface.
class FaultyWorker {
public:
  FaultyWorker(asio::io_context &Context, std::string Name, RunLog &Runs,
               std::uint32_t Seed);

  /// host:port at which it accepts calls.
  auto address() const -> std::string;
  /// \param Orders the shares of the calls that start and stop runs.
  /// \param Polls those of the calls for the list of runs.
  auto setFaults(const FaultShares &Orders, const FaultShares &Polls) -> void {
    Orders_ = Orders;
    Polls_ = Polls;
  }
  /// Sets the fates of the next calls that start and stop runs.
  auto script(std::deque<CallFate> Next) -> void { Script_ = std::move(Next); }
  /// How many calls to start and stop runs have arrived.
  auto orderCount() const -> int { return OrderCount_; }
  /// Ends all runs and connections, and starts again under the same id: what it
  /// knew is gone, and its numbers and its clock begin anew.
  auto restart() -> void;
  /// How many ends the present life has been told to forget.
  auto acknowledgedEnds() const -> std::uint64_t { return Acknowledged_; }
  /// How many polls the present life has carried out.
  auto pollCount() const -> int { return PollCount_; }
  /// How many calls have yet to take effect.
  auto lateCount() const -> int { return LateCount_; }

private:
  using Json = nlohmann::json;
  using Responder = std::function<void(int, Json)>;
  struct Connection;
  using ConnectionPointer = std::shared_ptr<Connection>;

  struct Run {
    std::uint64_t Number_ = 0;
    /// When its work is done, or earlier, when a stop takes effect; on the
    /// worker's clock.
    Millis EndsAt_{0};
    std::string How_;
  };
  struct End {
    std::uint64_t Number_ = 0;
    std::string Task_;
    std::uint64_t Run_ = 0;
    std::string How_;
  };
  struct OpenPoll {
    Millis Until_{0};
    Responder Respond_;
  };

  auto accept() -> void;
  auto read(const ConnectionPointer &From) -> void;
  auto readBody(const ConnectionPointer &From, std::size_t HeadSize) -> void;
  auto handle(const ConnectionPointer &From, const std::string &Path,
              const std::string &Body) -> void;
  auto answer(const ConnectionPointer &To, int Status, Json Body) -> void;
  auto chooseFate(const std::string &Path) -> CallFate;
  auto chance(int From, int To) -> int;

  auto carryOut(const std::string &Path, const Json &Call,
                const Responder &Respond) -> void;
  /// \returns why the order is rejected; empty if it isn't.
  auto startRun(const Json &Order) -> std::string;
  auto stopRun(const Json &Order) -> void;
  auto hold(const Json &Poll, const Responder &Respond) -> void;
  auto extendLease(const Json &Call) -> void;
  auto list() const -> Json;
  /// How the log names a run.
  auto describe(std::uint64_t Run) const -> std::string {
    return "run " + std::to_string(Run) + " at " + Name_;
  }
  auto clock() const -> Millis;
  /// Ends the runs that are over by now and answers the open polls.
  auto advance() -> void;
  auto advancePeriodically() -> void;

  asio::io_context &Context_;
  asio::ip::tcp::acceptor Acceptor_;
  asio::steady_timer Timer_;
  std::string Name_;
  RunLog &Runs_;
  std::mt19937 Random_;
  FaultShares Orders_;
  FaultShares Polls_;
  std::deque<CallFate> Script_;
  int OrderCount_ = 0;
  int LateCount_ = 0;
  std::vector<std::weak_ptr<Connection>> Connections_;
  int PollCount_ = 0;
  std::uint64_t Acknowledged_ = 0;
  /// What the clock of the present life showed at its start. It is far behind
  /// that of the life before.
  Millis FirstClock_{std::chrono::hours{100}};
  std::chrono::steady_clock::time_point StartedAt_;
  std::int64_t Born_ = 0;
  std::uint64_t Fence_ = 0;
  Millis LeaseUntil_{0};
  std::map<std::string, Run> Running_;
  std::map<std::string, std::uint64_t> HighestEnded_;
  std::vector<End> Ended_;
  std::uint64_t LastEnd_ = 0;
  std::vector<OpenPoll> OpenPolls_;
};

} // namespace skylark::StandIn
