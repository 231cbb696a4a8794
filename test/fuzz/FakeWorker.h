/// \file
/// Defines the worker of the randomised simulation.
#pragma once

#include "core/AgentOutput.h"
#include "test/fuzz/Checker.h"

namespace skylark::Fuzz {

/// Identity and capacity of a fake worker.
struct WorkerConfig {
  std::string Name_;
  DataCentreName DataCentreName_;
  Resources Capacity_;
  Incarnation Incarnation_ = 0;
  /// Whether the worker lists only the ids of its attempts, not their bindings,
  /// and has one lease for all of them.
  bool ListsIdsOnly_ = false;
};

/// The most ended attempts that a worker lists at a time. Lower than that of a
/// real worker, so that few tasks reach it.
constexpr std::size_t MaxListedEnds = 2;

/// The token of an agent's command: its incarnation, and how many fences it had
/// raised before.
struct CommandToken {
  Incarnation Agent_ = 0;
  std::uint64_t Fences_ = 0;

  friend auto operator<(const CommandToken &Left, const CommandToken &Right)
      -> bool {
    return std::tie(Left.Agent_, Left.Fences_) <
           std::tie(Right.Agent_, Right.Fences_);
  }
};

/// Simulates a worker that runs tasks under leases, and reports their starts
/// and ends to the checker. Of its ended attempts it lists the earliest only.
/// Commands with a lower token than the highest one seen have no effect.
class FakeWorker {
public:
  FakeWorker(WorkerConfig Config, Checker &Checker)
      : Config_(std::move(Config)), Checker_(Checker) {}

  /// \param Now time of the simulation, for the checker.
  /// \param Clock time on the worker's own clock, on which leases end.
  /// \param Token the command's token.
  /// \param AgentRevision revision that the agent had when it gave the command.
  /// \returns Accepted if the worker has the attempt, Refused if it is too late
  ///   or not newer than one that has ended, and Unknown for a lower token.
  auto start(TrueTime Now, Micros Clock, const StartOnWorker &Start,
             CommandToken Token, Revision AgentRevision) -> StartOutcome;
  auto stop(const StopOnWorker &Stop, CommandToken Token) -> void;
  auto forget(const ForgetOnWorker &Forget, CommandToken Token) -> void;
  /// \returns false if the poll has a lower token, and so gets no inventory.
  auto renewLeases(const PollWorker &Poll, CommandToken Token) -> bool;
  auto inventory(Micros Clock) const -> WorkerInventory;
  /// Advances the running tasks by `Elapsed`, and ends those that are complete
  /// or whose leases have expired.
  auto advance(Micros Clock, Micros Elapsed) -> void;
  /// Ends and discards all tasks, as when the worker's instance is lost.
  auto terminate() -> void;

  /// Sets whether running tasks fail at the next advance().
  auto setFailing(bool Value) -> void { Failing_ = Value; }
  auto setCapacity(const Resources &Capacity) -> void {
    Config_.Capacity_ = Capacity;
  }
  auto config() const -> const WorkerConfig & { return Config_; }

private:
  using AttemptKey = std::pair<TaskId, AttemptNumber>;
  struct AttemptState {
    WorkerTask Task_;
    Micros LeaseUntil_{0};
    /// Run time completed so far; a checkpoint holds this value.
    Micros WorkDone_{0};
    /// Counts the ends of the worker's attempts; 0 while the attempt runs.
    std::uint64_t EndNumber_ = 0;
    /// Whether the attempt's lease has expired since the attempt ended.
    bool LapsedSinceEnd_ = false;
  };
  /// Whether a command may take effect; records its token if so.
  auto accepts(CommandToken Token) -> bool;
  auto find(const TaskId &Task, AttemptNumber Attempt) -> AttemptState *;
  auto leaseOf(const AttemptState &Each) const -> Micros;
  auto end(AttemptState &Each, TaskPhase Phase, ErrorKind Reason) -> void;
  /// Whether the worker lists the attempt: it runs, or has ended before most
  /// others that have.
  auto isListed(const AttemptState &Each) const -> bool;

  WorkerConfig Config_;
  Checker &Checker_;
  /// The highest token seen.
  CommandToken HighestToken_;
  /// Running attempts, and ended ones that the agent has not discarded.
  std::map<AttemptKey, AttemptState> Attempts_;
  /// The highest attempt of each task that was stopped or ended here; only
  /// higher ones can start.
  std::map<TaskId, AttemptNumber> LastEnded_;
  /// The lease of all attempts of a worker that lists ids only; others have one
  /// for each attempt.
  Micros WorkerLease_{0};
  std::uint64_t LastEndNumber_ = 0;
  bool Failing_ = false;
};

} // namespace skylark::Fuzz
