/// \file
/// Defines the independent checker of a randomised run: it sees what workers
/// ran and what callers and operators were told, and nothing else.
#pragma once

#include "core/Document.h"
#include "core/EntryOutput.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace skylark::Fuzz {

/// True time of a run, which no process can read.
using TrueTime = Micros;

/// What a caller asked, as the checker keeps it.
struct AskedRequest {
  std::string Body_;
  bool Idempotent_ = false;
  int Runs_ = 0;
  bool ToldNotRun_ = false;
  int Replies_ = 0;
};

class Checker {
public:
  /// \param Faulty whether any fault may strike.
  explicit Checker(bool Faulty) : Faulty_(Faulty) {}

  // What workers and targets do.
  auto taskStarted(TrueTime Now, const std::string &Worker,
                   const DataCentreName &Centre, const BindTask &Bind,
                   const Resources &Capacity, Revision AgentRevision) -> void;
  auto taskEnded(const std::string &Worker, const TaskId &Task, TaskPhase Phase)
      -> void;
  auto requestRan(const std::string &Body) -> void;

  // What callers and operators are told.
  auto asked(CallerToken Token, const std::string &Body, bool Idempotent)
      -> void;
  auto told(CallerToken Token, const CallerReply &Reply) -> void;
  auto inForce(Revision Confirmed) -> void;
  auto dataCentreOut(const DataCentreName &Name, TrueTime LatestStart) -> void;
  auto dataCentreReturning(const DataCentreName &Name) -> void;

  auto broken(std::string What) -> void;
  auto violations() const -> const std::vector<std::string> & {
    return Violations_;
  }
  auto starts() const -> int { return Starts_; }
  auto replies() const -> int { return Replies_; }
  auto finished() const -> const std::set<TaskId> & { return Finished_; }

  /// The body that a target answers to a request's body.
  static auto answerTo(const std::string &Body) -> std::string;

private:
  bool Faulty_;
  struct RunningTask {
    std::string Worker_;
    AttemptNumber Attempt_ = 0;
  };
  std::map<TaskId, RunningTask> Running_;
  std::map<TaskId, AttemptNumber> LastAttempt_;
  std::map<std::string, std::map<TaskId, Resources>> Used_;
  std::set<TaskId> Finished_;
  std::map<CallerToken, std::string> BodyOf_;
  std::map<std::string, AskedRequest> Requests_;
  std::map<DataCentreName, TrueTime> OutSince_;
  Revision InForce_ = 0;
  int Starts_ = 0;
  int Replies_ = 0;
  std::vector<std::string> Violations_;
};

} // namespace skylark::Fuzz
