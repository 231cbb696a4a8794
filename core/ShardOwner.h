/// \file
/// Defines what an entry decides for a shard that it owns: claims of
/// idempotency keys, jobs, bindings and what follows from reports.
#pragma once

#include "core/LedgerWriter.h"
#include "core/Placement.h"
#include "core/Promise.h"
#include "core/RequestDesk.h"
#include "core/ShardUse.h"
#include "core/ShortDemand.h"

#include <set>

namespace skylark {

/// A worker of one incarnation.
struct WorkerKey {
  AgentId Agent_;
  Incarnation Worker_ = 0;

  friend auto operator<(const WorkerKey &Left, const WorkerKey &Right) -> bool {
    return std::tie(Left.Agent_, Left.Worker_) <
           std::tie(Right.Agent_, Right.Worker_);
  }
};

/// Until when each worker may run tasks on this entry's word.
class RunGrants {
public:
  auto extend(const WorkerKey &Worker, TimePoint Until) -> void;
  auto until(const WorkerKey &Worker) const -> TimePoint;
  /// Drops what ended long ago.
  auto prune(TimePoint Before) -> void;

private:
  std::map<WorkerKey, TimePoint> Until_;
};

/// What a shard owner reads of the entry around it.
struct ShardView {
  TargetTable &Targets_;
  const Configuration &Configuration_;
  const RunGrants &Grants_;
  const PressKnowledge &Presses_;
  Counters &Counters_;
  /// Whether this shard holds all of the system's tasks.
  bool OnlyShard_ = false;
};

/// A claimed request whose claim is committed: it may be dispatched now.
struct ClaimedRequest {
  RequestId Request_;
  CallerToken Token_ = 0;
  QuickRequest Quick_;
};

/// Decides for one shard.
class ShardOwner {
public:
  ShardOwner(LedgerIdentity Identity, StorePort &Store, ShardView View);

  // Commands of callers.
  auto claimKey(Moment Now, CallerToken Token, const RequestId &Request,
                const QuickRequest &Quick, EntryOutbox &Out) -> void;
  auto closeClaim(Moment Now, const RequestOutcome &Outcome) -> void;
  auto submit(Moment Now, CallerToken Token, const SubmitJob &Submission,
              Random &Generator, EntryOutbox &Out) -> void;
  auto cancel(Moment Now, CallerToken Token, const CancelJob &Request,
              EntryOutbox &Out) -> void;

  // Messages of agents.
  auto confirmed(Moment Now, Target &From, const ConfirmOwnership &Confirm,
                 EntryOutbox &Out) -> void;
  auto reported(Moment Now, Target &From, const TaskReport &Report,
                EntryOutbox &Out) -> void;
  /// Claims the shard towards an agent that has tasks of it.
  auto agentJoined(Moment Now, Target &Joined, EntryOutbox &Out) -> void;

  auto take(LedgerWriter::TakeRule MayTake) -> void;
  /// Learns whether another entry has taken the shard meanwhile.
  auto verify() -> void { Ledger_.verify(); }
  /// Takes no new work, and hands the shard over once it is quiet.
  auto release() -> void { Draining_ = true; }
  /// Gives the shard up without a word to the store: another entry owns it.
  auto supersede(Moment Now, EntryOutbox &Out) -> void;
  /// Binds pending tasks, settles what lapsed, commits. `MayGrant` is false
  /// while the entry can't be sure that it still owns the shard.
  auto tick(Moment Now, bool MayGrant, Random &Generator, EntryOutbox &Out)
      -> void;
  /// Binds pending tasks if something committed may have made room or work.
  auto bindDue(Moment Now, Random &Generator, EntryOutbox &Out) -> void;
  /// Carries out what newly committed records call for.
  auto afterStoreCall(Moment Now, EntryOutbox &Out) -> void;

  // Queries.
  auto read(CallerToken Token, const GetJob &Request, EntryOutbox &Out) const
      -> void;
  /// Number of the queue's jobs of which nothing has started.
  auto countUnstarted(const QueueName &Queue) const -> std::uint64_t;
  auto owning() const -> bool { return Ledger_.owning(); }
  auto releasing() const -> bool { return Ledger_.releasing(); }
  /// True if it may be given new work.
  auto open() const -> bool { return Indexed_ && owning() && !Draining_; }
  auto idle() const -> bool { return Ledger_.idle(); }
  auto quiet() const -> bool;
  auto number() const -> ShardNumber { return Shard_; }
  auto epoch() const -> Epoch { return Ledger_.epoch(); }
  auto state() const -> const ShardState & { return Ledger_.state(); }
  auto commits() const -> std::uint64_t { return Ledger_.commits(); }
  auto takeClaimed() -> std::vector<ClaimedRequest>;

private:
  /// Order in which pending tasks are bound: watchers, urgent work, then the
  /// least time until the latest start that meets the deadline.
  struct PendingRank {
    int Class_ = 0;
    WallTime LatestStart_{};
    TaskId Task_;

    friend auto operator<(const PendingRank &Left, const PendingRank &Right)
        -> bool {
      return std::tie(Left.Class_, Left.LatestStart_, Left.Task_) <
             std::tie(Right.Class_, Right.LatestStart_, Right.Task_);
    }
  };
  /// What is known of a bound task beyond the ledger.
  struct BoundTask {
    bool Sent_ = false;
    bool Reported_ = false;
    TimePoint SentAt_{};
    /// When the agent was last asked to stop it.
    TimePoint StopSentAt_{};
  };
  struct PendingClaim {
    CallerToken Token_ = 0;
    RequestId Request_;
    QuickRequest Quick_;
    TimePoint GiveUpAt_{};
  };
  /// When a pending task gets its turn. Where not all jobs can end on time,
  /// room goes to what still can, and of that to what is worth most for its
  /// work: one job after the other ends, instead of all of them a little late.
  struct BindTurn {
    int Class_ = 0;
    Promise Promise_ = Promise::OnTime;
    /// Work that is left for its job's worth; 0 for work that doesn't fill.
    double Cost_ = 0;
    PendingRank Rank_;

    friend auto operator<(const BindTurn &Left, const BindTurn &Right) -> bool {
      return std::tie(Left.Class_, Left.Promise_, Left.Cost_, Left.Rank_) <
             std::tie(Right.Class_, Right.Promise_, Right.Cost_, Right.Rank_);
    }
  };
  /// What one pass over the pending tasks has learned.
  struct BindPass {
    int Misses_ = 0;
    std::vector<Resources> NoRoom_;
    /// The last step whose task found no place; nor will the others.
    StepKey NoPlace_;
    /// Filling images that disturb what serves wherever there is room.
    std::set<std::string> NoQuietPlace_;
  };
  struct WaitingCaller {
    CallerToken Token_ = 0;
    TimePoint GiveUpAt_{};
    /// What the caller is told if the record was certainly never written.
    ErrorKind Refusal_ = ErrorKind::StoreUnavailable;
    /// Whether the caller wants the job's state only.
    bool StateOnly_ = false;
  };

  auto checkKey(Moment Now, const IdempotencyKey &Key) const -> ErrorKind;
  auto answerClaim(CallerToken Token, const Claim &Known, EntryOutbox &Out)
      -> void;
  auto checkStep(const StepDeclaration &Step, const Resources &Limit,
                 const char *Holder, std::string &Detail) const -> ErrorKind;
  auto checkSubmission(const JobDeclaration &Wanted, std::string &Detail) const
      -> ErrorKind;
  auto mintJobId(const SubmitJob &Submission, Random &Generator) const -> JobId;
  auto propose(const TaskId &Task, TaskChanged Change) -> void;
  auto requeue(Moment Now, const TaskId &Task, ErrorKind Reason,
               const CheckpointId &Checkpoint, bool Failed) -> void;
  /// \param Saved a newer checkpoint than the ledger's, where one is known.
  auto loseTask(Moment Now, const TaskId &Task, const CheckpointId &Saved)
      -> void;
  auto reindex() -> void;
  auto index(const Job &Job) -> void;
  auto indexStep(const Job &Job, std::uint32_t Step, std::uint32_t Occurrence)
      -> void;
  auto indexTask(const Job &Job, const TaskId &Id, bool Ready) -> void;
  /// Brings the index up to date after one task has changed.
  auto indexAfter(const Job &Job, const TaskId &Changed) -> void;
  auto rankOf(const Job &Job, const TaskId &Task) const -> PendingRank;
  auto bindPending(Moment Now, Random &Generator, EntryOutbox &Out) -> void;
  /// Due tasks in the order in which they get room.
  auto bindOrder(Moment Now) const -> std::vector<BindTurn>;
  /// Notes what short work holds and waits for.
  auto noteShortDemand(Moment Now, const std::vector<BindTurn> &Waiting)
      -> void;
  auto isDue(Moment Now, const TaskId &Task) const -> bool;
  auto bindOne(Moment Now, const PendingRank &Rank, BindPass &Pass,
               Random &Generator, EntryOutbox &Out) -> bool;
  auto chooseWorker(Moment Now, const Job &Job, const TaskId &Task,
                    Random &Generator, EntryOutbox &Out) -> Target *;
  auto mayHost(Moment Now, const Target &Candidate, const Job &Job,
               const StepDeclaration &Step) const -> bool;
  auto placeView(Moment Now, const Target &Candidate, const Job &Job,
                 const TaskId &Task) const -> PlaceView;
  /// Adds what is known of the step's image and its neighbours there.
  auto viewNeighbours(Moment Now, const StepDeclaration &Step,
                      const Target &Candidate, const WorkerUse &There,
                      PlaceView &Place) const -> void;
  /// Growth of the logarithm of a serving image's tail that is left there.
  auto slackThere(Moment Now, const std::string &Image, Millis TailTarget,
                  const Target &Candidate) const -> double;
  /// How much the fillers at a worker lengthen a serving image's tail there.
  auto pressThere(const std::string &Serving, const WorkerUse &There) const
      -> double;
  /// Notes that the task waits. \returns whether it has waited so long that it
  /// takes any place.
  auto hasWaitedLong(Moment Now, const StepDeclaration &Step,
                     const TaskId &Task) -> bool;
  auto withinQuota(const JobDeclaration &Wanted, const Resources &Need) const
      -> bool;
  auto claimTowards(Moment Now, Target &Agent, EntryOutbox &Out) -> void;
  auto sendBind(Moment Now, const TaskId &Task, Target &To, EntryOutbox &Out)
      -> void;
  auto watchBound(Moment Now, EntryOutbox &Out) -> void;
  auto watchTask(Moment Now, const TaskId &Task, BoundTask &Soft,
                 EntryOutbox &Out) -> void;
  auto dismiss(const Target &From, const TaskReport &Report,
               EntryOutbox &Out) const -> void;
  auto settleEnded(Moment Now, Target &From, const TaskReport &Report) -> void;
  auto noteOutcome(Moment Now, Target &From, bool Failed) -> void;
  auto giveUpWaiting(Moment Now, EntryOutbox &Out) -> void;
  auto forgetOld(Moment Now) -> void;
  auto lost(EntryOutbox &Out) -> void;
  auto log(std::string_view Event, std::string Subject, ErrorKind Reason,
           std::string Detail, EntryOutbox &Out) const -> void;

  auto committed(Moment Now, const JobAdded &Record, EntryOutbox &Out) -> void;
  auto committed(Moment Now, const JobCancelled &Record, EntryOutbox &Out)
      -> void;
  auto committed(Moment Now, const TaskChanged &Record, EntryOutbox &Out)
      -> void;
  auto committed(Moment Now, const JobForgotten &Record, EntryOutbox &Out)
      -> void;
  auto committed(Moment Now, const ClaimOpened &Record, EntryOutbox &Out)
      -> void;
  auto committed(Moment Now, const ClaimClosed &Record, EntryOutbox &Out)
      -> void;
  auto committed(Moment Now, const ClaimForgotten &Record, EntryOutbox &Out)
      -> void;

  ShardNumber Shard_;
  LedgerWriter Ledger_;
  ShardView View_;
  bool Indexed_ = false;
  bool Draining_ = false;
  /// Whether the entry may grant, as of the last tick.
  bool MayGrant_ = false;
  bool BindDue_ = false;
  std::set<PendingRank> Pending_;
  std::map<TaskId, BoundTask> Bound_;
  std::set<TaskId> Proposed_;
  std::map<TaskId, TimePoint> NotBefore_;
  /// Since when tasks that fill or last find no place that suits all.
  std::map<TaskId, TimePoint> NoPlaceSince_;
  ShardUse Use_;
  MeanWork MeanWork_;
  ShortDemand ShortDemand_;
  std::map<IdempotencyKey, PendingClaim> PendingClaims_;
  /// Keys whose caller was told "not run" while their claim was on its way.
  std::set<IdempotencyKey> AbandonedKeys_;
  std::set<JobId> Cancelling_;
  /// Jobs that a proposed end of one of their tasks will close.
  std::set<JobId> Failing_;
  /// Requests that this owner has dispatched and not closed.
  std::set<RequestId> Dispatched_;
  /// Outcomes that are known here and not committed yet.
  std::map<IdempotencyKey, Claim> Closing_;
  std::map<JobId, std::vector<WaitingCaller>> WaitingAdd_;
  std::map<JobId, std::vector<WaitingCaller>> WaitingCancel_;
  std::vector<ClaimedRequest> Claimed_;
  TimePoint NextForget_{};
  TimePoint NextVerify_{};
  TimePoint NextPass_{};
};

/// The shard of a key or a team.
auto shardOf(const std::string &Key, ShardNumber ShardCount) -> ShardNumber;
/// The shard that a job id names; ShardCount where the id is malformed.
auto shardOf(const JobId &Id, ShardNumber ShardCount) -> ShardNumber;

} // namespace skylark
