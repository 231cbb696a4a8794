/// \file
/// Defines jobs, their tasks and the record of each attempt.
#pragma once

#include "core/ErrorKind.h"
#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

#include <memory>
#include <string>
#include <vector>

namespace skylark {

/// A batch task ends by itself; a watcher runs until it is cancelled.
enum class WorkKind : std::uint8_t { Batch, Watcher };

/// A caller's declaration of one step of a job: a set of identical tasks.
struct StepDeclaration {
  std::uint32_t TaskCount_ = 1;
  /// Resources that each task needs.
  Resources Resources_;
  /// Declared run time of one task.
  Millis RunTime_{1000};
  /// Numbers of the steps that this one depends on: all their tasks must have
  /// finished before it starts. They come earlier in the list of steps.
  std::vector<std::uint32_t> Dependencies_;
  /// The tasks run until the job is cancelled, and are restarted if they end.
  bool LongRunning_ = false;
  /// The tasks write checkpoints, from which a later attempt resumes.
  bool Checkpoints_ = false;
  /// Several attempts of one task may run at once; the first to end counts.
  bool Speculative_ = false;
  /// Best-effort tasks use the processors that other tasks leave idle; their
  /// processors don't count against the worker's capacity.
  bool BestEffort_ = false;
  /// All tasks must run at the same time, and end together.
  bool Gang_ = false;
  /// The tasks are slower when they run on more than one rack.
  bool SameRack_ = false;
  /// A label that the worker must have; empty for none.
  std::string RequiredLabel_;
  /// Name of the rack that holds the input data; empty for none.
  std::string DataRack_;
  /// Maximum number of tasks of the step on one worker; 0 for no limit.
  std::uint32_t MaxPerWorker_ = 0;
  /// The program that the tasks run; tasks of one image interfere alike.
  std::string Image_;
  /// Tail-latency target of serving tasks, set by their own users; 0 for all
  /// other tasks.
  Millis TailTarget_{0};
  /// Whether MaxMissing_ limits how many tasks may be stopped by the scheduler
  /// at the same time.
  bool LimitsMissing_ = false;
  std::uint32_t MaxMissing_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(
        &StepDeclaration::TaskCount_, &StepDeclaration::Resources_,
        &StepDeclaration::RunTime_, &StepDeclaration::Dependencies_,
        &StepDeclaration::LongRunning_, &StepDeclaration::Checkpoints_,
        &StepDeclaration::Speculative_, &StepDeclaration::BestEffort_,
        &StepDeclaration::Gang_, &StepDeclaration::SameRack_,
        &StepDeclaration::RequiredLabel_, &StepDeclaration::DataRack_,
        &StepDeclaration::MaxPerWorker_, &StepDeclaration::Image_,
        &StepDeclaration::TailTarget_, &StepDeclaration::LimitsMissing_,
        &StepDeclaration::MaxMissing_);
  }
  /// The part of its worker's capacity that one task reserves; without
  /// processors for a best-effort task.
  auto reserved() const -> Resources;
};

/// A caller's declaration of a job.
struct JobDeclaration {
  TeamName Team_;
  /// The queue that accepted the job; empty if it was submitted to a team.
  QueueName Queue_;
  /// The service whose workers run the tasks; empty for any worker.
  ServiceName Service_;
  std::vector<StepDeclaration> Steps_{StepDeclaration{}};
  /// How often the steps run: occurrence K starts at FirstAt_ + K * Interval_.
  /// 0 for a single run that starts immediately.
  std::uint32_t Occurrences_ = 0;
  WallTime FirstAt_{};
  Millis Interval_{0};
  /// Deadline of the first occurrence; each later one is due Interval_ after
  /// the one before. WallTime{} for no deadline.
  WallTime Deadline_{};
  /// The job's tasks come before others of the same priority.
  bool Urgent_ = false;
  /// A lower number takes precedence.
  std::uint32_t Priority_ = 0;
  /// How often a task may fail; 0 for the default in the policy settings.
  std::uint32_t FailureLimit_ = 0;
  /// Whether a task is run again, from its last checkpoint, if its worker is
  /// lost and its outcome is unknown. Otherwise it ends as failed with an
  /// unknown outcome.
  bool RerunWhenLost_ = true;
  /// Opaque data for the worker; the scheduler doesn't interpret it.
  std::string Payload_;

  static constexpr auto fields() {
    return std::make_tuple(
        &JobDeclaration::Team_, &JobDeclaration::Queue_,
        &JobDeclaration::Service_, &JobDeclaration::Steps_,
        &JobDeclaration::Occurrences_, &JobDeclaration::FirstAt_,
        &JobDeclaration::Interval_, &JobDeclaration::Deadline_,
        &JobDeclaration::Urgent_, &JobDeclaration::Priority_,
        &JobDeclaration::FailureLimit_, &JobDeclaration::RerunWhenLost_,
        &JobDeclaration::Payload_);
  }
  /// Declared run times of the critical paths that start at each step: of the
  /// longest chains of dependent steps. Bounded, so that a time which many of
  /// them are added to doesn't overflow. Takes one pass from the last step to
  /// the first.
  auto criticalPaths() const -> std::vector<Millis>;
  /// Declared run time of the critical path of the whole job.
  auto criticalPath() const -> Millis;
  auto tasksPerOccurrence() const -> std::size_t;
  auto taskCount() const -> std::size_t;
};

enum class TaskState : std::uint8_t {
  Pending,
  Bound,
  Finished,
  Failed,
  Cancelled
};

/// One state change of an attempt in a task's history: where, when and why.
struct AttemptRecord {
  AttemptNumber Attempt_ = 0;
  TaskState State_ = TaskState::Pending;
  AgentId Agent_;
  DataCentreName DataCentre_;
  WallTime At_{};
  ErrorKind Reason_ = ErrorKind::None;

  static constexpr auto fields() {
    return std::make_tuple(&AttemptRecord::Attempt_, &AttemptRecord::State_,
                           &AttemptRecord::Agent_, &AttemptRecord::DataCentre_,
                           &AttemptRecord::At_, &AttemptRecord::Reason_);
  }
};

/// The proved crashes of workers on which a task was.
struct CrashTally {
  /// The task's blame for them; see CrashBlame.
  std::uint32_t Blame_ = 0;
  std::uint32_t Crashes_ = 0;
  /// The crashes before which the task was reported running.
  std::uint32_t SeenRunning_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&CrashTally::Blame_, &CrashTally::Crashes_,
                           &CrashTally::SeenRunning_);
  }
  auto operator+=(const CrashTally &Other) -> CrashTally & {
    Blame_ += Other.Blame_;
    Crashes_ += Other.Crashes_;
    SeenRunning_ += Other.SeenRunning_;
    return *this;
  }
};

/// The loss of an attempt whose worker fell silent. It counts once the agent
/// has a newer worker; if the same one answers again, it was no crash.
struct SilentLoss {
  AgentId Agent_;
  Incarnation Worker_ = 0;
  /// What counts for the task if the worker has crashed.
  CrashTally Crash_;

  static constexpr auto fields() {
    return std::make_tuple(&SilentLoss::Agent_, &SilentLoss::Worker_,
                           &SilentLoss::Crash_);
  }
};

/// The persistent state of one task.
struct TaskStatus {
  TaskState State_ = TaskState::Pending;
  /// Number of the current attempt; never decreases.
  AttemptNumber Attempt_ = 0;
  AgentId Agent_;
  /// Incarnation of the worker that the current attempt is bound to.
  Incarnation Worker_ = 0;
  CheckpointId Checkpoint_;
  /// How often the task has failed.
  std::uint32_t Failures_ = 0;
  std::vector<AttemptRecord> History_;
  /// Whether an attempt is known to have begun on a worker.
  bool Started_ = false;
  CrashTally Crashes_;
  std::vector<SilentLoss> SilentLosses_;

  static constexpr std::size_t RequiredFields = 7;
  static constexpr auto fields() {
    return std::make_tuple(&TaskStatus::State_, &TaskStatus::Attempt_,
                           &TaskStatus::Agent_, &TaskStatus::Worker_,
                           &TaskStatus::Checkpoint_, &TaskStatus::Failures_,
                           &TaskStatus::History_, &TaskStatus::Started_,
                           &TaskStatus::Crashes_, &TaskStatus::SilentLosses_);
  }
  /// True if an attempt is known to have begun, also where the record of it is
  /// of a version that didn't store Started_.
  auto hasStarted() const -> bool;
};

class JobOutline;

struct Job {
  JobId Id_;
  JobDeclaration Declaration_;
  WallTime SubmittedAt_{};
  bool Cancelled_ = false;
  /// A task has failed permanently, so no other task is started.
  bool Failed_ = false;
  std::vector<TaskStatus> Tasks_;
  /// What follows from the declaration. Not stored: computed when the job
  /// enters a shard's state, after which its declaration doesn't change. Null
  /// for any other job.
  std::shared_ptr<const JobOutline> Outline_;

  static constexpr auto fields() {
    return std::make_tuple(&Job::Id_, &Job::Declaration_, &Job::SubmittedAt_,
                           &Job::Cancelled_, &Job::Failed_, &Job::Tasks_);
  }
  /// Index of a task in Tasks_; Tasks_.size() if there is no such task.
  auto positionOf(const TaskId &Task) const -> std::size_t;
  /// The task at an index of Tasks_.
  auto taskAt(std::size_t Position) const -> TaskId;
  auto stepOf(const TaskId &Task) const -> const StepDeclaration &;
  auto task(const TaskId &Task) const -> const TaskStatus &;
  /// True if the job has a long-running step.
  auto isWatcher() const -> bool;
  /// Declared run time of the critical path that starts at the task's step.
  auto criticalPathFrom(const TaskId &Task) const -> Millis;
  /// True if no task of the job may start any more.
  auto isClosed() const -> bool { return Cancelled_ || Failed_; }
  /// Scheduled start of the task's occurrence; WallTime{} for an immediate
  /// start.
  auto scheduledAt(const TaskId &Task) const -> WallTime;
};

/// State of a whole job, as callers see it.
enum class JobState : std::uint8_t {
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled
};

auto jobState(const Job &Job) -> JobState;
auto jobStateText(JobState State) -> std::string_view;

/// Number of tasks of a job in each state.
struct TaskTally {
  std::uint32_t Pending_ = 0;
  std::uint32_t Bound_ = 0;
  std::uint32_t Finished_ = 0;
  std::uint32_t Failed_ = 0;
  std::uint32_t Cancelled_ = 0;
};

auto tallyTasks(const Job &Job) -> TaskTally;

/// Lower-case name of a state or kind, as callers see it.
auto taskStateText(TaskState State) -> std::string_view;
auto workKindText(WorkKind Kind) -> std::string_view;

} // namespace skylark
