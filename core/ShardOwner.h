/// \file
/// Defines the owner of a shard, which handles claims of idempotency keys,
/// jobs, the binding of tasks to workers and the reports of agents.
#pragma once

#include "core/CancelledIds.h"
#include "core/CrashBlame.h"
#include "core/DeadlineFeasibility.h"
#include "core/EndedJobs.h"
#include "core/LedgerSize.h"
#include "core/LedgerWriter.h"
#include "core/OutlierDetector.h"
#include "core/OwnershipProof.h"
#include "core/Placement.h"
#include "core/PlacementFailures.h"
#include "core/RefusalPause.h"
#include "core/RequestDispatcher.h"
#include "core/RunGrants.h"
#include "core/ShardUsage.h"
#include "core/ShortTaskHeadroom.h"
#include "core/StopSchedule.h"
#include "core/TrialBudget.h"
#include "core/WaitingCallers.h"
#include "core/WaitingQueries.h"

#include <set>

namespace skylark {

/// The parts of the entry that a shard owner uses.
struct ShardContext {
  TargetTable &Targets_;
  const Configuration &Configuration_;
  const RunGrants &Grants_;
  const InterferencePredictor &Interference_;
  Counters &Counters_;
  /// Whether this shard is the only one, so that it holds all tasks.
  bool OnlyShard_ = false;
};

/// A request whose claim of its idempotency key is committed, so that it may be
/// dispatched.
struct ClaimedRequest {
  RequestId Request_;
  CallerToken Token_ = 0;
  QuickRequest Quick_;
};

/// Schedules the jobs of one shard and guards its idempotency keys. All
/// decisions are records in the shard's ledger; they take effect once they are
/// committed.
class ShardOwner {
public:
  ShardOwner(LedgerIdentity Identity, StoreClient &Store, ShardContext Context);

  // Commands of callers.
  /// Claims the request's idempotency key. The caller is answered at once if
  /// the key can't be claimed; otherwise takeClaimed() returns the request once
  /// the claim is committed.
  auto claimKey(Moment Now, CallerToken Token, const RequestId &Request,
                const QuickRequest &Quick, EntryOutbox &Out) -> void;
  /// Records the outcome of a request that was dispatched with a claim.
  auto closeClaim(Moment Now, const RequestOutcome &Outcome) -> void;
  /// Adds a job; the caller is answered once the job is committed.
  auto submit(Moment Now, CallerToken Token, const SubmitJob &Submission,
              Random &Generator, EntryOutbox &Out) -> void;
  /// Cancels a job; the caller is answered once that is committed. That there
  /// is no such job is proved by the commit alone: the submission may be queued
  /// before it, and one that follows it never runs.
  auto cancel(Moment Now, CallerToken Token, const CancelJob &Request,
              EntryOutbox &Out) -> void;

  // Messages of agents.
  /// Handles an agent's confirmation that it accepts this owner's commands.
  /// Tasks that are bound to the agent's worker, but not held by the agent,
  /// become pending again, once the agent's list is whole.
  auto ownershipConfirmed(Moment Now, Target &From,
                          const ConfirmOwnership &Confirm, EntryOutbox &Out)
      -> void;
  /// Handles an agent's report of an attempt.
  auto taskReported(Moment Now, Target &From, const TaskReport &Report,
                    EntryOutbox &Out) -> void;
  /// Sends the agent an ownership claim if tasks of the shard are bound to it.
  auto agentJoined(Moment Now, Target &Joined, EntryOutbox &Out) -> void;

  /// Tries to acquire the shard; see LedgerWriter.
  auto acquire(LedgerWriter::AcquireRule Rule) -> void;
  /// Checks in the store whether another entry has acquired the shard.
  auto verifyOwnership() -> void { Ledger_.verifyOwnership(); }
  /// Stops accepting new work, and releases the shard once it is drained.
  auto release() -> void;
  /// Gives up ownership at once, without a write to the store. Used if another
  /// entry owns the shard, or while the store is unreachable.
  auto dropOwnership(Moment Now, EntryOutbox &Out) -> void;
  /// Does the periodic work: answers callers whose wait timed out, checks bound
  /// tasks, binds pending ones and commits.
  /// \param MayGrant whether the entry may grant permits; false while it can't
  /// be sure that it still owns the shard.
  auto tick(Moment Now, bool MayGrant, Random &Generator, EntryOutbox &Out)
      -> void;
  /// Binds pending tasks if a commit may have freed resources or made tasks
  /// ready.
  auto bindIfDue(Moment Now, Random &Generator, EntryOutbox &Out) -> void;
  /// Handles a gain or loss of ownership and the records committed since the
  /// last call. Called after every result of a store call.
  auto afterStoreCall(Moment Now, EntryOutbox &Out) -> void;

  // Queries.
  /// Answers a caller who queries a job. That there is no such job is said only
  /// after a proof that this entry still owns the shard.
  auto answerQuery(Moment Now, CallerToken Token, const GetJob &Request,
                   EntryOutbox &Out) -> void;
  /// Answers how many of the queue's jobs have not started. The number was true
  /// at most MaxCountAge ago.
  auto answerQuery(Moment Now, CallerToken Token,
                   const CountUnstartedJobs &Request, EntryOutbox &Out) -> void;
  auto owning() const -> bool { return Ledger_.owning(); }
  auto releasing() const -> bool { return Ledger_.releasing(); }
  /// True if new work may be submitted.
  auto acceptsRequests() const -> bool {
    return Indexed_ && owning() && !Draining_;
  }
  /// True if the shard is neither owned nor being acquired.
  auto idle() const -> bool { return Ledger_.idle(); }
  /// True if no claim or dispatched request is outstanding, and no record that
  /// was queued when release() was called.
  auto drained() const -> bool;
  auto number() const -> ShardNumber { return Shard_; }
  auto epoch() const -> Epoch { return Ledger_.epoch(); }
  auto state() const -> const ShardState & { return Ledger_.state(); }
  auto commits() const -> std::uint64_t { return Ledger_.commits(); }
  /// What this entry knows of the ledger; nothing if it isn't the owner.
  auto ledgerSize() const -> LedgerSize;
  /// Returns the requests whose claims were committed since the last call.
  auto takeClaimed() -> std::vector<ClaimedRequest>;

private:
  /// Order of pending tasks: by priority class, then by the latest start that
  /// still meets the job's deadline.
  struct PendingRank {
    /// Derived from the job's priority; within one priority, urgent and
    /// long-running work comes first. The lowest class is bound first.
    int PriorityClass_ = 0;
    WallTime LatestStart_{};
    TaskId Task_;

    friend auto operator<(const PendingRank &Left, const PendingRank &Right)
        -> bool {
      return std::tie(Left.PriorityClass_, Left.LatestStart_, Left.Task_) <
             std::tie(Right.PriorityClass_, Right.LatestStart_, Right.Task_);
    }
  };
  /// Delivery state of a bound task's messages. Not in the ledger: a new owner
  /// starts without it.
  struct BindDelivery {
    bool Sent_ = false;
    /// Whether the agent has sent a report of the task.
    bool Reported_ = false;
    /// The agent's list of tasks wasn't whole and lacked this one.
    bool Unlisted_ = false;
    /// When the agent is next told to stop the unlisted task.
    TimePoint NextUnlistedStop_{};
    /// Number of such stops.
    std::uint32_t UnlistedStops_ = 0;
    /// The end that the agent has reported of the current attempt; a phase
    /// that is no end if there is none.
    TaskPhase ReportedEnd_ = TaskPhase::Queued;
    /// The worker on which the agent has reported the attempt; 0 before the
    /// first report. Differs from the one in the ledger if a start command
    /// reached the next incarnation of the worker.
    Incarnation Worker_ = 0;
    TimePoint SentAt_{};
  };
  /// The worker that has or gets the task's current attempt.
  static auto workerOf(const TaskStatus &Task, const BindDelivery &Delivery)
      -> Incarnation {
    return Delivery.Worker_ != 0 ? Delivery.Worker_ : Task.Worker_;
  }
  /// A report of an attempt that the ledger doesn't have.
  struct UnverifiedReport {
    AgentId Agent_;
    TaskReport Report_;
    /// The verification of ownership that has to succeed before it counts.
    std::uint64_t Verification_ = 0;
  };
  /// A claim that is not committed yet; its caller waits until ExpiresAt_.
  struct PendingClaim {
    CallerToken Token_ = 0;
    RequestId Request_;
    QuickRequest Quick_;
    TimePoint ExpiresAt_{};
  };
  /// A pending task with its place in the binding order. Within a priority
  /// class, tasks of jobs that can still meet their deadlines go first, and
  /// among them those of jobs with the most value for their remaining work. If
  /// there is not enough capacity for all, jobs then finish one after the other
  /// instead of all of them a little late.
  struct RankedTask {
    int PriorityClass_ = 0;
    DeadlineFeasibility Feasibility_ = DeadlineFeasibility::OnTime;
    /// Remaining work per unit of the job's value, as returned by
    /// workPerValue(); 0 unless the task is best-effort.
    double WorkPerValue_ = 0;
    PendingRank Rank_;

    friend auto operator<(const RankedTask &Left, const RankedTask &Right)
        -> bool {
      return std::tie(Left.PriorityClass_, Left.Feasibility_,
                      Left.WorkPerValue_, Left.Rank_) <
             std::tie(Right.PriorityClass_, Right.Feasibility_,
                      Right.WorkPerValue_, Right.Rank_);
    }
  };
  /// The state of one binding pass.
  struct BindPass {
    int FailedPlacements_ = 0;
    PlacementFailures Failures_;
    TrialBudget Trials_;
    int Binds_ = 0;

    /// Whether the limits of the pass's work are reached.
    auto isOver() const -> bool;
  };
  /// What became of a task in a binding pass.
  enum class BindResult : std::uint8_t {
    Bound,
    /// The task can't be bound now; others of its step may be.
    TaskSkipped,
    /// No task of the step can be bound in this pass, but for one whose own
    /// failures or wait make it accept more workers.
    StepSkipped
  };
  /// Steps with tasks that may be bound now.
  struct DueSteps {
    /// In the order in which to bind them, each with the first of its tasks.
    std::vector<RankedTask> Steps_;
    /// Where the turn of the steps that were left out begins; nothing if there
    /// are none.
    std::optional<PendingRank> NextTurn_;
  };
  /// The first tasks of a pass, and the number of steps that these are of.
  struct BindOrder {
    std::vector<RankedTask> Tasks_;
    std::size_t Steps_ = 0;
  };

  auto checkKey(Moment Now, const IdempotencyKey &Key) const -> ErrorKind;
  auto answerClaim(CallerToken Token, const Claim &ExistingClaim,
                   EntryOutbox &Out) -> void;
  /// Checks that one task of the step fits within `Limit`.
  /// \param LimitText introduces the limit in `Detail`.
  auto checkStep(const StepDeclaration &Step, const Resources &Limit,
                 const char *LimitText, std::string &Detail) const -> ErrorKind;
  auto checkSubmission(const JobDeclaration &Declaration,
                       std::string &Detail) const -> ErrorKind;
  auto makeJobId(const SubmitJob &Submission, Random &Generator) const -> JobId;
  /// Queues a task's change of state for commit. No other change of the task is
  /// proposed until this one is committed.
  auto propose(const TaskId &Task, TaskChanged Change) -> void;
  /// Ends the current attempt: the task becomes pending again, or fails once it
  /// has reached its failure limit.
  /// \param Failed whether the attempt counts as a failure.
  auto requeue(Moment Now, const TaskId &Task, ErrorKind Reason,
               const CheckpointId &Checkpoint, bool Failed) -> void;
  /// Handles a task whose worker was lost and whose outcome is unknown: reruns
  /// it if it may be rerun, and fails it otherwise.
  /// \param NewerCheckpoint a newer checkpoint than the ledger's; empty if none
  /// is known.
  auto handleLostTask(Moment Now, const TaskId &Task,
                      const CheckpointId &NewerCheckpoint) -> void;
  /// Handles a task whose worker has certainly crashed, since its agent has a
  /// newer one. A task that is blamed for too many crashes is given up.
  auto handleCrashedTask(Moment Now, const TaskId &Task, EntryOutbox &Out)
      -> void;
  /// Returns the change that makes a lost task pending again, or ends it if it
  /// may not be rerun.
  auto makeLossChange(Moment Now, const TaskId &Task) -> TaskChanged;
  /// Records for later findings which attempts run on a worker.
  auto recordForBlame(Moment Now, const WorkerKey &Worker,
                      const TaskReport &Report, const TaskStatus &Task) -> void;
  /// Adds blame to a task; it fails once it has reached the limit.
  auto blame(const TaskId &Task, const WorkerKey &Worker,
             const CrashTally &Crash, TaskChanged &Change, EntryOutbox &Out)
      -> void;
  /// Counts the silent losses that have turned out to be crashes, and removes
  /// those of workers that answer again.
  auto settleSilentLosses(const TaskId &Task, TaskChanged &Change,
                          EntryOutbox &Out) -> void;
  /// Proposes the blame of a pending task for silent losses that have turned
  /// out to be crashes. \returns false if there is none.
  auto settlePending(Moment Now, const TaskId &Task, EntryOutbox &Out) -> bool;
  /// Records which workers of these losses answer again.
  auto noteReturned(const std::vector<SilentLoss> &Losses) -> void;
  /// Rebuilds the index from the ledger's state.
  auto reindex(Moment Now) -> void;
  auto indexJob(TimePoint Now, const Job &Job) -> void;
  auto indexStep(TimePoint Now, const Job &Job, std::uint32_t StepIndex,
                 std::uint32_t Occurrence) -> void;
  auto indexTask(TimePoint Now, const Job &Job, const TaskId &Id, bool Ready)
      -> void;
  /// Updates the index after one task has changed.
  auto updateIndex(TimePoint Now, const Job &Job, const TaskId &Changed)
      -> void;
  /// Adds the tasks of steps whose last dependency has finished.
  auto indexReadySteps(TimePoint Now) -> void;
  auto rankOf(const Job &Job, const TaskId &Task) const -> PendingRank;
  /// How often a task of the job may fail.
  auto failureLimitOf(const Job &Job) const -> std::uint32_t;
  /// Counts the workers that a requirement admits, and the trials there.
  auto countTrials(Moment Now, const WorkerRequirement &Requirement) const
      -> TrialBudget::WorkerCount;
  auto bindPending(Moment Now, Random &Generator, EntryOutbox &Out) -> void;
  using PendingPosition = std::set<PendingRank>::const_iterator;
  /// Returns the position behind the last pending task of a task's step. The
  /// tasks of one step of an occurrence are adjacent.
  auto endOfStep(PendingPosition First) const -> PendingPosition;
  /// Ranks the steps between two positions that have tasks which may be bound
  /// now, up to a number of steps in all.
  /// \returns the position behind the last one considered.
  auto rankSteps(Moment Now, PendingPosition First, PendingPosition Last,
                 std::size_t MaxSteps, std::vector<RankedTask> &Steps) const
      -> PendingPosition;
  /// Returns the first steps with tasks that may be bound now and, in turn,
  /// some of the others.
  auto dueStepsInOrder(Moment Now) const -> DueSteps;
  /// Returns the first tasks of these steps that may be bound now, in the order
  /// in which to bind them.
  auto bindOrder(Moment Now, const std::vector<RankedTask> &Steps) const
      -> BindOrder;
  /// Records the processors that short tasks hold or wait for.
  auto recordShortDemand(Moment Now, const std::vector<RankedTask> &Waiting)
      -> void;
  /// Whether the task's scheduled time and its delay after a failure have
  /// passed, and neither a change of the task nor the end of its job is
  /// awaiting commit.
  auto isDue(Moment Now, const TaskId &Task) const -> bool;
  /// Proposes to bind one task, unless the team's quota is exhausted or no
  /// worker can take the task.
  auto tryBind(Moment Now, const PendingRank &Rank, BindPass &Pass,
               Random &Generator, EntryOutbox &Out) -> BindResult;
  /// Tries to bind one task, unless it is behind the limit of failed placements
  /// and its step was tried there before.
  auto bindInTurn(Moment Now, const PendingRank &Rank, BindPass &Pass,
                  Random &Generator, EntryOutbox &Out) -> BindResult;
  /// Binds the tasks of one step up to the first that finds no worker.
  auto bindStep(Moment Now, const PendingRank &FirstTask, BindPass &Pass,
                Random &Generator, EntryOutbox &Out) -> void;
  /// Chooses a worker for the task.
  /// \param[out] Failure why none was found.
  /// \returns null if no worker can take the task.
  auto chooseWorker(Moment Now, const Job &Job, const TaskId &Task,
                    Random &Generator, PlacementFailure &Failure,
                    EntryOutbox &Out) -> Target *;
  auto mayHost(Moment Now, const Target &Candidate, const Job &Job,
               const StepDeclaration &Step) const -> bool;
  /// Whether the task may run on a worker in this standing: on one that isn't
  /// sound only if a failure there isn't the last that the task may have, and
  /// on an ejected one only as the last resort, after it has waited.
  auto acceptsStanding(Moment Now, const Job &Job, const TaskId &Task,
                       OutlierDetector::Standing Standing) const -> bool;
  /// Returns what decides on which workers the task may run.
  auto demandOf(Moment Now, const Job &Job, const TaskId &Task,
                bool AcceptsAny) const -> PlacementDemand;
  /// Whether the candidate's standing allows the task there.
  /// \param LastResort whether the task finds no other worker.
  auto standsFor(Moment Now, const Target &Candidate, const Job &Job,
                 const TaskId &Task, bool LastResort) const -> bool;
  /// Chooses among the workers whose standing allows it.
  auto chooseStanding(Moment Now, const Job &Job, const TaskId &Task,
                      bool LastResort, Random &Generator,
                      PlacementFailure &Failure, EntryOutbox &Out) -> Target *;
  /// Resources of the worker that no task reserves.
  auto freeOn(const Target &Worker) const -> Resources;
  /// Returns the properties of one candidate on which the choice of a worker
  /// depends.
  auto candidateView(Moment Now, const Target &Candidate, const Job &Job,
                     const TaskId &Task) const -> PlacementCandidate;
  /// Adds to `Place` the expected interference between the step's tasks and
  /// those already on the worker.
  auto addInterference(Moment Now, const StepDeclaration &Step,
                       const Target &Candidate, const WorkerUsage &Usage,
                       PlacementCandidate &Place) const -> void;
  /// Returns how much the logarithm of a serving image's tail latency may still
  /// grow on the candidate.
  auto tailHeadroom(Moment Now, const std::string &Image, Millis TailTarget,
                    const Target &Candidate) const -> double;
  /// Returns how much the best-effort tasks on a worker raise the logarithm of
  /// a serving image's tail latency.
  auto interferenceAt(const std::string &Serving,
                      const WorkerUsage &Usage) const -> double;
  /// Records that the task waits for a worker. \returns whether it has waited
  /// so long that it accepts any worker with capacity.
  auto recordWait(Moment Now, const StepDeclaration &Step, const TaskId &Task)
      -> bool;
  /// Adds the job to the ended ones if its last task has ended, and logs its
  /// waits.
  auto recordIfOver(Moment Now, const Job &Job, EntryOutbox &Out) -> void;
  auto withinQuota(const JobDeclaration &Declaration,
                   const Resources &Need) const -> bool;
  /// Sends an agent this owner's claim of the shard, unless the agent has
  /// confirmed it or was sent it within the last ResendInterval.
  auto sendOwnershipClaim(Moment Now, Target &Agent, EntryOutbox &Out) -> void;
  auto sendBind(Moment Now, const TaskId &Task, Target &To, EntryOutbox &Out)
      -> void;
  auto checkBoundTasks(Moment Now, EntryOutbox &Out) -> void;
  /// Whether the job is closed, or its end is being committed, so that nothing
  /// is to be started for it.
  auto isClosing(const Job &Each) const -> bool;
  /// Sends the stops of closed jobs whose turn has come. A stop is safe at any
  /// time, so neither a grant nor a confirmation of the agent is awaited.
  auto sendStops(Moment Now, EntryOutbox &Out) -> void;
  /// Makes an agent stop a task that it doesn't list, and may be running, once
  /// the worker's list has not been whole for long: it can be bound again after
  /// the worker has answered the stop.
  auto stopUnlisted(Moment Now, const TaskId &Id, BindDelivery &Delivery,
                    const Target &To, EntryOutbox &Out) -> void;
  auto sendStop(const StopSchedule::Due &Turn, const TaskStatus &Task,
                const Target &To, EntryOutbox &Out) -> void;
  /// Logs why a task of a cancelled job may still run.
  auto logOverdueStop(const StopSchedule::Due &Turn, const TaskStatus &Task,
                      const Target *BoundTo, EntryOutbox &Out) const -> void;
  /// Repeats messages that the agent has not acted on, and handles the task as
  /// lost once its worker is gone and can no longer be running it.
  auto checkBoundTask(Moment Now, const TaskId &Task, BindDelivery &Delivery,
                      EntryOutbox &Out) -> void;
  /// Handles the reports that waited for a verification of the ownership. An
  /// agent doesn't repeat the report of an attempt that runs.
  auto handleVerifiedReports(Moment Now, EntryOutbox &Out) -> void;
  /// Handles a report of an attempt that is not the current one of its task.
  auto handleStaleReport(Moment Now, const Target &From,
                         const TaskReport &Report, EntryOutbox &Out) -> void;
  /// Withdraws the binding of a task whose earlier attempt is reported as
  /// finished. \returns whether there was one whose write had not begun.
  auto withdrawBinding(const TaskReport &Report) -> bool;
  /// Whether the ownership was verified since this attempt, which the ledger
  /// doesn't have, was first reported. Requests the verification if not.
  auto isVerifiedSince(const Target &From, const TaskReport &Report) -> bool;
  auto handleTaskEnd(Moment Now, Target &From, const TaskReport &Report,
                     EntryOutbox &Out) -> void;
  /// Counts an attempt's outcome for or against its worker.
  auto recordOutcome(Moment Now, const Target &From, const TaskId &Task,
                     bool Failed, EntryOutbox &Out) -> void;
  auto expireWaitingCallers(Moment Now, EntryOutbox &Out) -> void;
  /// Cancels a job that was submitted under an id which had been cancelled.
  auto cancelSubmitted(Moment Now, const JobId &Id) -> void;
  /// Records that a queued submission was committed or won't be.
  /// \returns whether it was the last one of the job.
  auto submissionSettled(const JobId &Id) -> bool;
  /// Prepares to cancel a job that the ledger doesn't have, or refuses that.
  /// \returns whether to go on.
  auto mayCancelUnknown(Moment Now, CallerToken Token, const JobId &Id,
                        EntryOutbox &Out) -> bool;
  /// Answers a query once it is proved that this entry owns the shard.
  auto awaitProof(Moment Now, CallerToken Token, ShardQuery Query) -> void;
  /// Answers a query by the ledger's state. \returns false if a submission
  /// that is being committed will decide it.
  auto answerFromState(CallerToken Token, const ShardQuery &Query,
                       EntryOutbox &Out) const -> bool;
  /// Answers "no such job" to a cancellation, and logs what is known about the
  /// job.
  auto refuseUnknown(Moment Now, CallerToken Token, const JobId &Id,
                     EntryOutbox &Out) -> void;
  /// Queues the removal of old jobs and claims.
  auto removeExpired(Moment Now, EntryOutbox &Out) -> void;
  /// Queues the removal of ended jobs that callers need no more.
  auto removeEndedJobs(Moment Now, EntryOutbox &Out) -> void;
  /// Refuses all waiting callers and removes the shard from the records of all
  /// targets.
  auto handleOwnershipLoss(OwnershipLoss Reason, EntryOutbox &Out) -> void;
  /// Counts a takeover that ended before the shard was owned, and logs it, at
  /// most once in TakeoverLogInterval.
  auto logTakeoverEnd(Moment Now, OwnershipLoss Reason, EntryOutbox &Out)
      -> void;
  auto log(std::string_view Event, std::string Subject, ErrorKind Reason,
           std::string Detail, EntryOutbox &Out) const -> void;

  // Handlers of newly committed records, by type: they update the index and
  // answer waiting callers.

  auto committed(Moment Now, const JobAdded &Record, EntryOutbox &Out) -> void;
  auto committed(Moment Now, const JobCancelled &Record, EntryOutbox &Out)
      -> void;
  auto committed(Moment Now, const TaskChanged &Record, EntryOutbox &Out)
      -> void;
  auto committed(Moment Now, const JobRemoved &Record, EntryOutbox &Out)
      -> void;
  auto committed(Moment Now, const ClaimOpened &Record, EntryOutbox &Out)
      -> void;
  auto committed(Moment Now, const ClaimClosed &Record, EntryOutbox &Out)
      -> void;
  auto committed(Moment Now, const ClaimRemoved &Record, EntryOutbox &Out)
      -> void;
  auto committed(Moment Now, const TasksRestored &Record, EntryOutbox &Out)
      -> void;

  // Handlers of records that the store refuses: they answer waiting callers,
  // and undo what the proposal of the record has changed.

  auto refused(const JobAdded &Record, EntryOutbox &Out) -> void;
  auto refused(const JobCancelled &Record, EntryOutbox &Out) -> void;
  auto refused(const TaskChanged &Record, EntryOutbox &Out) -> void;
  auto refused(const ClaimOpened &Record, EntryOutbox &Out) -> void;
  auto refused(const ClaimClosed &Record, EntryOutbox &Out) -> void;
  template <typename Other>
  auto refused(const Other & /*Record*/, EntryOutbox & /*Out*/) -> void {}

  ShardNumber Shard_;
  LedgerWriter Ledger_;
  OwnershipProof Proof_;
  ShardContext Context_;
  /// Whether the members below reflect the ledger's state.
  bool Indexed_ = false;
  bool Draining_ = false;
  /// Number of records appended before draining began.
  std::uint64_t AppendedBeforeDraining_ = 0;
  /// Whether the entry could grant permits at the last tick.
  bool MayGrant_ = false;
  bool BindDue_ = false;
  /// Pending tasks whose preceding steps have finished.
  std::set<PendingRank> Pending_;
  std::map<TaskId, BindDelivery> Bound_;
  /// The bound tasks of closed jobs.
  StopSchedule Stops_;
  /// Tasks with a change of state that is not committed yet.
  std::set<TaskId> Proposed_;
  /// The earliest time at which a task that failed may be bound again.
  std::map<TaskId, TimePoint> NotBefore_;
  /// Since when pending tasks have waited for a worker.
  std::map<TaskId, TimePoint> UnplacedSince_;
  /// Steps that binding passes have tried in vain behind their limit of failed
  /// placements, since a pass last reached the end of the order.
  std::set<StepKey> TriedSteps_;
  /// Where the steps begin that the next pass ranks besides the first ones;
  /// nothing if it ranks all.
  std::optional<PendingRank> NextTurn_;
  /// Resources held by tasks that are bound or proposed to be bound.
  ShardUsage Usage_;
  CrashBlame Crashes_;
  OutlierDetector Outliers_;
  RefusalPause Refusals_;
  /// Workers that answered again after a silent loss; a newer incarnation then
  /// doesn't show that the loss was a crash.
  std::set<WorkerKey> Returned_;
  JobWaits Waits_;
  MeanWork MeanWork_;
  ShortTaskHeadroom Headroom_;
  std::map<IdempotencyKey, PendingClaim> PendingClaims_;
  /// Keys whose callers were answered "not run" while the claim was being
  /// written.
  std::set<IdempotencyKey> AbandonedKeys_;
  /// Reports of attempts that the ledger doesn't have.
  std::map<std::pair<TaskId, AttemptNumber>, UnverifiedReport> Unverified_;
  /// Tasks of which an earlier attempt was reported as finished while a change
  /// of the task was being committed.
  std::set<TaskId> FinishReported_;
  /// Number of the submissions of each job that are not committed yet.
  std::map<JobId, int> Submitting_;
  /// Jobs whose cancellation is not committed yet.
  std::set<JobId> Cancelling_;
  /// Jobs that will fail once a proposed change of one of their tasks is
  /// committed.
  std::set<JobId> Failing_;
  /// Failed jobs whose ended tasks are no longer in the index.
  std::set<JobId> FailedIndexed_;
  /// Steps of which the last task has finished since the index was updated.
  std::set<StepKey> FinishedSteps_;
  /// Requests with a committed claim whose outcome is not known yet.
  std::set<RequestId> Dispatched_;
  /// Outcomes that are known and not committed yet.
  std::map<IdempotencyKey, Claim> Closing_;
  WaitingCallers SubmitCallers_;
  WaitingCallers CancelCallers_;
  CancelledIds CancelledIds_;
  EndedJobs Ended_;
  WaitingQueries Queries_;
  std::vector<ClaimedRequest> Claimed_;
  TimePoint NextRemoval_{};
  TimePoint NextVerify_{};
  TimePoint NextTakeoverLog_{};
  TimePoint NextPass_{};
};

/// Returns the shard of an idempotency key, a team or a queue.
auto shardOf(const std::string &Key, ShardNumber ShardCount) -> ShardNumber;
/// Returns the shard that a job id names, or `ShardCount` if it names none.
auto shardOf(const JobId &Id, ShardNumber ShardCount) -> ShardNumber;

} // namespace skylark
