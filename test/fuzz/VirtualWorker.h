/// \file
/// Defines a worker of the users' platform in virtual time, which crashes and
/// starts again under its id.
#pragma once

#include "test/fuzz/RunLog.h"
#include "test/fuzz/VirtualTime.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace skylark::Fuzz {

/// Keeps ends by number, one lease for all runs on a clock of its own, and the
/// highest fencing token that it has seen, each for one life only.
class VirtualWorker {
public:
  using Json = nlohmann::json;
  /// Gets the status and the body of an answer.
  using Responder = std::function<void(std::uint16_t, Json)>;

  /// The longest lease that an agent is granted.
  static constexpr Micros LongestGrant{Millis{4000}};

  VirtualWorker(VirtualTime &Time, RunLog &Log, std::string Name);

  /// Ends all runs; nothing is answered until the next life begins.
  auto crash() -> void;
  /// Begins a life: what the former knew is gone, and its clock and its numbers
  /// begin anew.
  auto begin() -> void;
  auto isUp() const -> bool { return IsUp_; }
  auto born() const -> std::uint64_t { return Born_; }

  /// Does what a call orders. The answer follows at once, or later to a poll
  /// that waits; never if the worker crashes before.
  auto carryOut(const std::string &Path, const Json &Call,
                const Responder &Respond) -> void;
  /// Does what a call orders that was sent to a former life and had no answer.
  /// No client can take such a call back, so neither its deadline nor its
  /// number of ends is a violation; what follows from them may be one.
  auto carryOutStray(const std::string &Path, const Json &Call) -> void;
  /// Ends the runs that are over by now and answers the polls that are due.
  auto advance() -> void;
  /// Composes the next heartbeat.
  auto heartbeat() -> std::string;
  /// Completes the body of an answer.
  auto stamp(Json Body) const -> std::string;

  /// Whether the run has finished in the present life, whose lease has not
  /// expired since.
  auto hasDone(const std::string &Task, std::uint64_t Run) const -> bool;
  /// What a worker of this life states as its kind.
  static auto label(std::uint64_t Born) -> std::string {
    return "life-" + std::to_string(Born);
  }

private:
  struct Run {
    std::uint64_t Number_ = 0;
    /// When its work is done, or earlier, when a stop takes effect.
    Micros EndsAt_{0};
    std::string How_;
  };
  struct End {
    std::uint64_t Number_ = 0;
    std::string Task_;
    std::uint64_t Run_ = 0;
    std::string How_;
  };
  struct OpenPoll {
    Micros Until_{0};
    Responder Respond_;
  };

  /// \returns why the order is rejected; empty if it isn't.
  auto startRun(const Json &Order) -> std::string;
  auto stopRun(const Json &Order) -> void;
  /// Forgets the ends up to a number.
  auto forget(std::uint64_t Through) -> void;
  auto hold(const Json &Poll, const Responder &Respond) -> void;
  auto extendLease(const Json &Call) -> void;
  auto list() -> Json;
  auto describe(std::uint64_t Run) const -> std::string;
  auto clock() const -> Micros;

  VirtualTime &Time_;
  RunLog &Log_;
  std::string Name_;
  bool IsUp_ = false;
  std::uint64_t Born_ = 0;
  /// What the clock of the present life showed at its beginning.
  Micros FirstClock_{0};
  Micros BeganAt_{0};
  /// How many millionths of the true time the clock advances by.
  std::int64_t ClockRate_ = 1000000;
  std::uint64_t Sequence_ = 0;
  std::uint64_t Fence_ = 0;
  Micros LeaseUntil_{0};
  std::map<std::string, Run> Running_;
  std::map<std::string, std::uint64_t> HighestEnded_;
  std::set<std::pair<std::string, std::uint64_t>> Done_;
  std::vector<End> Ended_;
  std::uint64_t LastEnd_ = 0;
  /// Whether the call that is being carried out was sent to a former life.
  bool IsStray_ = false;
  /// Up to which end this life was told to forget by such calls.
  std::uint64_t StrayThrough_ = 0;
  /// The highest number of an end that an answer of this life has listed.
  std::uint64_t ListedThrough_ = 0;
  std::vector<OpenPoll> OpenPolls_;
};

} // namespace skylark::Fuzz
