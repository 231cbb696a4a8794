/// \file
/// Defines the checker of a randomised simulation. It sees only what workers
/// and targets ran and what callers and operators were told, so that it does
/// not depend on the state machines that it checks.
#pragma once

#include "core/Document.h"
#include "core/EntryOutput.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylark::Fuzz {

/// Time of the simulation itself, which no simulated process can read.
using TrueTime = Micros;

/// Payload of a task that crashes each worker that starts it.
constexpr const char *CrashingPayload = "crashes";

/// A caller's request, with what is known about its execution.
struct RequestRecord {
  std::string Body_;
  bool Idempotent_ = false;
  /// How often a target has executed it.
  int Runs_ = 0;
  /// Whether the caller was told that it was not run and has not repeated it
  /// since. Stays false for idempotent requests.
  bool AnsweredNotRun_ = false;
  int Replies_ = 0;
};

/// Checks the guarantees given to callers and operators, and collects the
/// violations.
class Checker {
public:
  /// \param FaultsInjected whether the run injects faults.
  explicit Checker(bool FaultsInjected) : FaultsInjected_(FaultsInjected) {}

  // Events at workers and targets.

  /// An agent has ordered its worker to start a task. The worker may carry that
  /// out later.
  auto startOrdered(TrueTime Now, const TaskId &Task) -> void;
  /// \param Worker name of the worker instance.
  /// \param Capacity capacity of the worker.
  /// \param AgentRevision revision that the agent had when it gave the command.
  auto taskStarted(TrueTime Now, const std::string &Worker,
                   const DataCentreName &DataCentre, const BindTask &Bind,
                   const Resources &Capacity, Revision AgentRevision) -> void;
  /// \param Reason why the task ended, if the worker ended it.
  auto taskEnded(const std::string &Worker, const TaskId &Task,
                 AttemptNumber Attempt, TaskPhase Phase, ErrorKind Reason)
      -> void;
  /// The worker was allowed to discard the end of a finished attempt, and its
  /// leases have not expired in between: the task must not have started again
  /// since the end, and must not start any more.
  auto finishAcknowledged(const std::string &Worker, const TaskId &Task,
                          AttemptNumber Attempt) -> void;
  auto requestRan(const std::string &Body) -> void;

  // Events at callers and operators.

  auto requestSent(CallerToken Token, const std::string &Body, bool Idempotent)
      -> void;
  auto replyReceived(CallerToken Token, const CallerReply &Reply) -> void;
  /// An operator was told that a revision is in force: from now on no task may
  /// start under an older one.
  auto revisionInForce(Revision Confirmed) -> void;
  /// An operator was told that a data centre is out of service: no task may
  /// start in it after `LatestStart`.
  auto dataCentreTakenOut(const DataCentreName &Name, TrueTime LatestStart)
      -> void;
  /// An operator has asked for a data centre to be put back into service, so
  /// that tasks may start in it again.
  auto dataCentreReturnRequested(const DataCentreName &Name) -> void;

  /// A caller was told that an urgent job of one task was accepted.
  auto urgentJobAccepted(TrueTime Now, const JobId &Job) -> void;
  /// A caller who cancelled a job was told that there is no such job: it must
  /// not have started, and must never start.
  auto cancelledJobDenied(const JobId &Job) -> void;
  /// A caller was told that a job is cancelled.
  auto jobCancelled(TrueTime Now, const JobId &Job) -> void;
  /// Called again and again as time advances.
  /// \param Calm whether entries reach the store, no process is disturbed, and
  ///   only the configuration changes: no lease may expire then.
  /// \param Startable whether an urgent job could start on some worker.
  auto observe(TrueTime Now, bool Calm, bool Startable) -> void;
  /// The resources that a worker's running tasks use.
  auto allocated(const std::string &Worker) const -> Resources;

  /// Only the first few violations are kept.
  auto addViolation(std::string Description) -> void;
  auto violations() const -> const std::vector<std::string> & {
    return Violations_;
  }
  auto taskStartCount() const -> int { return TaskStarts_; }
  auto replyCount() const -> int { return Replies_; }
  auto finishedTasks() const -> const std::set<TaskId> & { return Finished_; }

  /// The body with which a target answers a request with body `Body`.
  static auto expectedAnswer(const std::string &Body) -> std::string;

private:
  bool FaultsInjected_;
  struct RunningTask {
    std::string Worker_;
    AttemptNumber Attempt_ = 0;
  };
  std::map<TaskId, RunningTask> Running_;
  std::map<TaskId, AttemptNumber> LastAttempt_;
  /// Resources of the running tasks of each worker.
  std::map<std::string, std::map<TaskId, Resources>> Allocated_;
  std::set<TaskId> Finished_;
  /// Tasks of which the end of a finished attempt was acknowledged.
  std::set<TaskId> FinishAcknowledged_;
  /// Bodies of the requests that have not been answered.
  std::map<CallerToken, std::string> PendingBodies_;
  /// All requests, by body: bodies are unique, and repeats of a request with an
  /// idempotency key have the same body.
  std::map<std::string, RequestRecord> Requests_;
  /// Data centres that are out of service, and when a task may last start
  /// there.
  std::map<DataCentreName, TrueTime> LatestStart_;
  /// The highest revision that an operator was told to be in force.
  Revision InForce_ = 0;
  /// How often each task that crashes its workers was started.
  std::map<TaskId, int> CrashingStarts_;
  /// When a task of this job may last run, or start, if it is calm all the
  /// time; nothing if the job isn't cancelled.
  /// \param Allowed the time that is allowed after the cancellation.
  auto latestTime(const JobId &Job, Millis Allowed) const
      -> std::optional<TrueTime>;
  /// Checks that no task of a cancelled job runs on.
  auto checkCancelled(TrueTime Now) -> void;

  /// When each cancelled job's cancellation was first acknowledged.
  std::map<JobId, TrueTime> CancelledAt_;
  bool Calm_ = false;
  /// Since when it has been calm.
  TrueTime CalmSince_{0};
  /// Since when each urgent job that has not started could have started.
  std::map<JobId, TrueTime> StartableSince_;
  /// Jobs of which a task has started.
  std::set<JobId> Started_;
  std::set<JobId> Denied_;
  int TaskStarts_ = 0;
  int Replies_ = 0;
  std::vector<std::string> Violations_;
};

} // namespace skylark::Fuzz
