#include "core/ShardOwner.h"

#include "core/Assert.h"
#include "core/EncodedSize.h"
#include "core/Mutation.h"
#include "core/StaleReport.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <limits>
#include <utility>

namespace skylark {
namespace {

/// Maximum number of tasks bound in one pass, so that one shard can't delay the
/// others.
constexpr int MaxBindsPerPass = 64;
/// Number of due tasks that are all considered in one binding pass; of each
/// step behind them, only the tasks up to the first that finds no worker.
constexpr std::size_t MaxTasksPerPass = 4000;
/// Maximum number of steps with due tasks that are ranked for a binding pass.
constexpr std::size_t MaxStepsPerPass = 4000;
/// Number of these that are the first ones in each pass. The others take turns.
constexpr std::size_t FirstStepsPerPass = MaxStepsPerPass / 2;
/// Interval of the checks of bound tasks and of the binding passes that no
/// commit has triggered.
constexpr Millis PassInterval{150};
/// Number of failed placements after which a binding pass skips the steps that
/// earlier passes have tried behind this limit, and further failed placements
/// after which it ends.
constexpr int MaxFailedPlacements = 48;
/// Maximum number of workers with room that are compared for one task.
constexpr std::size_t MaxCandidates = 24;
/// Maximum number of workers without room that are passed over in the search.
constexpr std::size_t MaxFullWorkers = 400;
constexpr std::uint32_t MaxTasksQueuedAtAgent = 4;
constexpr Millis ResendInterval{2000};
/// Maximum number of stops sent at a time, so that a large job can't delay
/// other work.
constexpr std::size_t MaxStopsPerPass = 2000;
/// How long a best-effort task waits for a worker where it causes no harmful
/// interference. Must be below three seconds, after which a task that isn't
/// running although a worker has free capacity counts as starved.
constexpr Millis BestEffortPlacementTimeout{2500};
/// How long a long-running task waits before it may use the capacity that is
/// kept free for short tasks.
constexpr Millis LongRunningPlacementTimeout{4000};
constexpr Millis CallerTimeout{5000};
/// How long an agent's list of tasks may not be whole before the tasks that it
/// lacks are stopped.
constexpr Millis UnlistedTimeout{1500};
/// Delay after a task's first failure; doubles with each further failure.
constexpr Millis FailureBackoff{50};
constexpr Millis MaxFailureBackoff{5000};
constexpr Millis RemovalInterval{10000};
/// Maximum number of ended jobs removed in one pass. Many more records than
/// MaxQueuedRecords would make the owner refuse new work.
constexpr std::size_t MaxRemovalsPerPass = 1000;
/// Interval at which an owner reads the shard's head. An owner with nothing to
/// write learns of a successor only from these reads.
constexpr Millis VerifyInterval{10000};
constexpr Millis TakeoverLogInterval{1000};
/// How old the number of a queue's jobs that have not started may be.
constexpr Millis MaxCountAge{2000};
/// How long a task waits for a worker before it may use one on which tasks
/// fail. Must be below three seconds, after which a task that isn't running
/// although a worker has free capacity counts as starved.
constexpr Millis LastResortDelay{1000};
constexpr std::uint32_t MaxTasksPerJob = 20000;
/// Size in bytes above which an answer is not kept with its claim.
constexpr std::size_t MaxKeptAnswerSize = std::size_t{16} * 1024;
/// Number of uncommitted records, and their encoded size in bytes, at which new
/// work is refused. A job takes many times its encoded size in memory.
constexpr std::size_t MaxQueuedRecords = 20000;
constexpr std::size_t MaxQueuedSize = std::size_t{4} * 1024 * 1024;
constexpr std::size_t MaxCheckpointSize = std::size_t{64} * 1024;
constexpr std::size_t MaxKeySize = 64;
/// A key begins with its date, YYYYMMDD.
constexpr std::size_t KeyDateSize = 8;
constexpr Seconds Day{24 * 3600};
/// Largest growth of the logarithm of a tail latency that doesn't count as
/// interference.
constexpr double NegligibleInterference = 0.03;
/// Fraction of its target up to which placement may raise a tail latency.
constexpr double TailTargetShare = 0.9;
/// Maximum age of a sample of a worker's serving tasks that is used for
/// placement.
constexpr Millis ServingSampleMaxAge{2000};
/// Delay before another best-effort task is bound to an agent that had no
/// capacity for one.
constexpr Millis BestEffortRetryDelay{1000};

auto keyDate(const IdempotencyKey &Key) -> std::optional<WallTime> {
  const auto &Text = Key.Value_;
  if (Text.size() <= KeyDateSize + 1 || Text.size() > MaxKeySize ||
      Text[KeyDateSize] != '-')
    return std::nullopt;
  int Digits = 0;
  for (std::size_t Index = 0; Index < KeyDateSize; ++Index) {
    if (Text[Index] < '0' || Text[Index] > '9')
      return std::nullopt;
    Digits = Digits * 10 + (Text[Index] - '0');
  }
  std::tm Date{};
  Date.tm_year = Digits / 10000 - 1900;
  Date.tm_mon = Digits / 100 % 100 - 1;
  Date.tm_mday = Digits % 100;
  return std::chrono::time_point_cast<Millis>(
      std::chrono::system_clock::from_time_t(timegm(&Date)));
}

auto formatJobId(ShardNumber Shard, std::uint64_t Number) -> JobId {
  char Text[32];
  std::snprintf(Text, sizeof Text, "j%u-%016llx", Shard,
                static_cast<unsigned long long>(Number));
  return {Text};
}

auto refuse(CallerToken Token, ErrorKind Kind, std::string Detail,
            EntryOutbox &Out) -> void {
  Out.push_back(AnswerCaller{Token, ErrorReply{Kind, std::move(Detail), {}}});
}

/// Returns the answer to a caller who asked for, or changed, one job.
auto jobAnswer(const ShardState &State, const Job &Each, bool StateOnly)
    -> CallerReply {
  if (StateOnly)
    return JobStateReply{jobState(Each, State.progressOf(Each.Id_))};
  return JobReply{Each};
}

/// Returns a task's blame if all its silent losses were crashes.
auto possibleBlame(const TaskStatus &Task) -> std::uint32_t {
  auto Sum = Task.Crashes_.Blame_;
  for (const auto &Each : Task.SilentLosses_)
    Sum += Each.Crash_.Blame_;
  return Sum;
}

auto isSuspect(const TaskStatus &Task) -> bool {
  return possibleBlame(Task) >= Blame::Suspect;
}

auto requirementOf(const Job &Job, const StepDeclaration &Step)
    -> WorkerRequirement {
  return {Job.Declaration_.Service_, Step.RequiredLabel_};
}

auto makeChange(const TaskStatus &Task, TaskState State, ErrorKind Reason,
                Moment Now) -> TaskChanged {
  TaskChanged Change;
  Change.State_ = State;
  Change.Attempt_ = Task.Attempt_;
  Change.Agent_ = Task.Agent_;
  Change.Worker_ = Task.Worker_;
  Change.Checkpoint_ = Task.Checkpoint_;
  Change.Failures_ = Task.Failures_;
  Change.Started_ = Task.Started_;
  Change.Crashes_ = Task.Crashes_;
  Change.SilentLosses_ = Task.SilentLosses_;
  Change.Reason_ = Reason;
  Change.At_ = Now.Wall_;
  if (!Task.History_.empty())
    Change.DataCentre_ = Task.History_.back().DataCentre_;
  return Change;
}

} // namespace

auto shardOf(const std::string &Key, ShardNumber ShardCount) -> ShardNumber {
  return static_cast<ShardNumber>(digest64(Key) % ShardCount);
}

auto shardOf(const JobId &Id, ShardNumber ShardCount) -> ShardNumber {
  unsigned Shard = ShardCount;
  if (std::sscanf(Id.Value_.c_str(), "j%u-", &Shard) != 1)
    return ShardCount;
  return std::min<ShardNumber>(Shard, ShardCount);
}

ShardOwner::ShardOwner(LedgerIdentity Identity, StoreClient &Store,
                       ShardContext Context)
    : Shard_(Identity.Shard_), Ledger_(std::move(Identity), Store),
      Context_(Context) {}

auto ShardOwner::acquire(LedgerWriter::AcquireRule Rule) -> void {
  Indexed_ = false;
  Draining_ = false;
  Ledger_.acquire(std::move(Rule));
}

auto ShardOwner::log(std::string_view Event, std::string Subject,
                     ErrorKind Reason, std::string Detail,
                     EntryOutbox &Out) const -> void {
  Out.push_back(LogDecision{Event, std::move(Subject),
                            Context_.Configuration_.Head_.Revision_, Reason,
                            std::move(Detail)});
}

auto ShardOwner::release() -> void {
  if (Draining_)
    return;
  Draining_ = true;
  AppendedBeforeDraining_ = Ledger_.appended();
}

auto ShardOwner::drained() const -> bool {
  // Tasks go on ending, so there may always be newer records.
  return Ledger_.settled() >= AppendedBeforeDraining_ &&
         PendingClaims_.empty() && Dispatched_.empty();
}

auto ShardOwner::takeClaimed() -> std::vector<ClaimedRequest> {
  return std::exchange(Claimed_, {});
}

// Claims of idempotency keys.

auto ShardOwner::checkKey(Moment Now, const IdempotencyKey &Key) const
    -> ErrorKind {
  const auto Date = keyDate(Key);
  if (!Date)
    return ErrorKind::KeyMalformed;
  // The date limits how long a key is accepted. Claims are kept for longer than
  // that, so a request can't run again after the claim of its key was removed.
  const auto Retention =
      Context_.Configuration_.Document_.Policy_.KeyRetention_;
  if (*Date + Retention + Day < Now.Wall_ || *Date > Now.Wall_ + Day)
    return ErrorKind::KeyTooOld;
  return ErrorKind::None;
}

auto ShardOwner::claimKey(Moment Now, CallerToken Token,
                          const RequestId &Request, const QuickRequest &Quick,
                          EntryOutbox &Out) -> void {
  const auto Problem = checkKey(Now, Quick.Key_);
  if (Problem != ErrorKind::None) {
    refuse(Token, Problem, Quick.Key_.Value_, Out);
    return;
  }
  const auto Digest = digest64(Quick.Service_.Value_ + '\n' + Quick.Body_);
  if (PendingClaims_.count(Quick.Key_) != 0 ||
      AbandonedKeys_.count(Quick.Key_) != 0) {
    refuse(Token, ErrorKind::KeyInProgress, Quick.Key_.Value_, Out);
    return;
  }
  const auto Closing = Closing_.find(Quick.Key_);
  const auto *ExistingClaim = Closing != Closing_.end()
                                  ? &Closing->second
                                  : state().findClaim(Quick.Key_);
  if (ExistingClaim != nullptr && ExistingClaim->RequestDigest_ != Digest) {
    refuse(Token, ErrorKind::KeyReused, Quick.Key_.Value_, Out);
    return;
  }
  const auto DidNotRun =
      ExistingClaim != nullptr && !ExistingClaim->Open_ &&
      errorInfo(ExistingClaim->Error_).Execution_ == Execution::NotRun;
  if (DidNotRun && Closing != Closing_.end()) {
    refuse(Token, ErrorKind::KeyInProgress, Quick.Key_.Value_, Out);
    return;
  }
  if (ExistingClaim != nullptr && !DidNotRun) {
    answerClaim(Token, *ExistingClaim, Out);
    return;
  }
  if (Ledger_.queued() >= MaxQueuedRecords) {
    refuse(Token, ErrorKind::KeyNotChecked, "ledger of the shard", Out);
    return;
  }
  PendingClaims_[Quick.Key_] = {Token, Request, Quick,
                                Now.Steady_ + Quick.Timeout_};
  Ledger_.append(ClaimOpened{Quick.Key_, Digest, Request, Now.Wall_});
  if (isMutationActive(Mutation::DispatchBeforeClaim)) {
    PendingClaims_.erase(Quick.Key_);
    Dispatched_.insert(Request);
    Claimed_.push_back({Request, Token, Quick});
  }
  Ledger_.advance();
}

auto ShardOwner::answerClaim(CallerToken Token, const Claim &ExistingClaim,
                             EntryOutbox &Out) -> void {
  if (ExistingClaim.Open_) {
    const auto InProgress = Dispatched_.count(ExistingClaim.Request_) != 0;
    Out.push_back(AnswerCaller{
        Token, ErrorReply{InProgress ? ErrorKind::KeyInProgress
                                     : ErrorKind::OutcomeUnknown,
                          "the key is claimed", ExistingClaim.Request_}});
    return;
  }
  if (ExistingClaim.Error_ == ErrorKind::None)
    Out.push_back(AnswerCaller{Token, QuickReply{ExistingClaim.Request_,
                                                 ExistingClaim.Status_,
                                                 ExistingClaim.Body_}});
  else
    Out.push_back(AnswerCaller{
        Token, ErrorReply{ExistingClaim.Error_, "the first outcome of this key",
                          ExistingClaim.Request_}});
}

auto ShardOwner::closeClaim(Moment Now, const RequestOutcome &Outcome) -> void {
  Dispatched_.erase(Outcome.Request_);
  if (!owning())
    return;
  ClaimClosed Record;
  Record.Key_ = Outcome.Key_;
  Record.Request_ = Outcome.Request_;
  Record.Error_ = Outcome.Error_;
  Record.Status_ = Outcome.Status_;
  Record.At_ = Now.Wall_;
  if (Outcome.Body_.size() > MaxKeptAnswerSize)
    Record.Error_ = ErrorKind::AnswerNotKept;
  else
    Record.Body_ = Outcome.Body_;
  if (const auto *Open = state().findClaim(Outcome.Key_)) {
    auto &Closing = Closing_[Outcome.Key_];
    Closing = *Open;
    Closing.Open_ = false;
    Closing.Error_ = Record.Error_;
    Closing.Status_ = Record.Status_;
    Closing.Body_ = Record.Body_;
  }
  Ledger_.append(std::move(Record));
  Ledger_.advance();
}

auto ShardOwner::committed(Moment Now, const ClaimOpened &Record,
                           EntryOutbox & /*Out*/) -> void {
  AbandonedKeys_.erase(Record.Key_);
  const auto Found = PendingClaims_.find(Record.Key_);
  if (Found == PendingClaims_.end() ||
      Found->second.Request_ != Record.Request_) {
    // The caller has been answered "not run", so the request must never be
    // dispatched.
    ClaimClosed Closed;
    Closed.Key_ = Record.Key_;
    Closed.Request_ = Record.Request_;
    Closed.Error_ = ErrorKind::StoreUnavailable;
    Closed.At_ = Now.Wall_;
    Ledger_.append(std::move(Closed));
    return;
  }
  Dispatched_.insert(Record.Request_);
  Claimed_.push_back(
      {Record.Request_, Found->second.Token_, std::move(Found->second.Quick_)});
  PendingClaims_.erase(Found);
}

auto ShardOwner::committed(Moment /*Now*/, const ClaimClosed &Record,
                           EntryOutbox & /*Out*/) -> void {
  Closing_.erase(Record.Key_);
}

auto ShardOwner::committed(Moment /*Now*/, const ClaimRemoved & /*Record*/,
                           EntryOutbox & /*Out*/) -> void {}

auto ShardOwner::expireWaitingCallers(Moment Now, EntryOutbox &Out) -> void {
  for (auto Each = PendingClaims_.begin(); Each != PendingClaims_.end();) {
    if (Each->second.ExpiresAt_ > Now.Steady_) {
      ++Each;
      continue;
    }
    const auto Request = Each->second.Request_;
    const auto Withdrawn = Ledger_.withdraw([&](const LedgerRecord &Record) {
      const auto *Opened = std::get_if<ClaimOpened>(&Record);
      return Opened != nullptr && Opened->Request_ == Request;
    });
    if (!Withdrawn)
      AbandonedKeys_.insert(Each->first);
    refuse(Each->second.Token_, ErrorKind::KeyNotChecked,
           "the claim was not committed in time", Out);
    Each = PendingClaims_.erase(Each);
  }
  for (const auto &[WaitingJob, Callers] :
       SubmitCallers_.takeExpired(Now.Steady_)) {
    const auto Withdrawn =
        Ledger_.withdraw([&, &Id = WaitingJob](const LedgerRecord &Record) {
          const auto *AddedRecord = std::get_if<JobAdded>(&Record);
          return AddedRecord != nullptr && AddedRecord->Job_.Id_ == Id;
        });
    // An earlier copy that is being written may still take effect.
    const auto WillNotRun = Withdrawn && submissionSettled(WaitingJob);
    for (const auto &Caller : Callers)
      refuse(Caller.Token_,
             WillNotRun ? Caller.Refusal_ : ErrorKind::OutcomeUnknown,
             WaitingJob.Value_, Out);
  }
  // A cancellation is carried out though its callers don't wait any longer: it
  // is idempotent, and callers rely on it.
  for (const auto &[WaitingJob, Callers] :
       CancelCallers_.takeExpired(Now.Steady_))
    for (const auto &Caller : Callers)
      refuse(Caller.Token_, ErrorKind::OutcomeUnknown, WaitingJob.Value_, Out);
}

// Jobs.

auto ShardOwner::checkStep(const StepDeclaration &Step, const Resources &Limit,
                           const char *LimitText, std::string &Detail) const
    -> ErrorKind {
  if (Limit.holds(Step.Resources_))
    return ErrorKind::None;
  std::ostringstream Message;
  Message << "a task needs " << Step.Resources_ << "; " << LimitText << " "
          << Limit;
  Detail = Message.str();
  return ErrorKind::NeverFits;
}

auto ShardOwner::checkSubmission(const JobDeclaration &Declaration,
                                 std::string &Detail) const -> ErrorKind {
  const auto HasEmptyStep =
      std::any_of(Declaration.Steps_.begin(), Declaration.Steps_.end(),
                  [](const auto &Step) { return Step.TaskCount_ == 0; });
  if (HasEmptyStep) {
    Detail = "a step must have at least one task";
    return ErrorKind::MalformedRequest;
  }
  const auto Count = Declaration.taskCount();
  if (Count == 0 || Count > MaxTasksPerJob) {
    Detail = "tasks must be 1 to " + std::to_string(MaxTasksPerJob);
    return ErrorKind::MalformedRequest;
  }
  // The resources of a queue's jobs are not checked: they belong to no team, so
  // no quota applies, and a worker that is large enough may still join.
  if (!Declaration.Queue_.empty())
    return ErrorKind::None;
  const auto &Document = Context_.Configuration_.Document_;
  const auto *Team = Document.findTeam(Declaration.Team_);
  if (Team == nullptr) {
    Detail = "team \"" + Declaration.Team_.Value_ + "\"";
    return ErrorKind::UnknownTeam;
  }
  for (const auto &Step : Declaration.Steps_) {
    auto Problem = checkStep(Step, Document.LargestWorker_,
                             "the largest worker has", Detail);
    if (Problem == ErrorKind::None)
      Problem =
          checkStep(Step, Team->Quota_, "the quota of the team is", Detail);
    if (Problem != ErrorKind::None)
      return Problem;
  }
  return ErrorKind::None;
}

auto ShardOwner::submit(Moment Now, CallerToken Token,
                        const SubmitJob &Submission, Random &Generator,
                        EntryOutbox &Out) -> void {
  const auto &Declaration = Submission.Declaration_;
  std::string Detail;
  const auto Problem = checkSubmission(Declaration, Detail);
  if (Problem != ErrorKind::None) {
    refuse(Token, Problem, Detail, Out);
    return;
  }
  const auto StateOnly = !Submission.Job_.empty();
  const auto Id =
      StateOnly ? Submission.Job_ : makeJobId(Submission, Generator);
  if (const auto *ExistingJob = state().findJob(Id)) {
    Out.push_back(
        AnswerCaller{Token, jobAnswer(state(), *ExistingJob, StateOnly)});
    return;
  }
  // Refusing a copy would deny a job whose earlier copy is being committed.
  const auto IsFull = Ledger_.queued() >= MaxQueuedRecords ||
                      Ledger_.queuedSize() >= MaxQueuedSize;
  if (IsFull && Submitting_.count(Id) == 0) {
    refuse(Token, ErrorKind::QueueFull, "ledger of the shard", Out);
    return;
  }
  Job New;
  New.Id_ = Id;
  New.Declaration_ = Declaration;
  New.SubmittedAt_ = Now.Wall_;
  New.Tasks_.resize(Declaration.taskCount());
  JobAdded Record{std::move(New)};
  const auto Size = encodedSize(LedgerRecord{Record});
  if (Size > Ledger_.maxRecordSize()) {
    refuse(Token, ErrorKind::BodyTooLarge,
           "the job takes " + std::to_string(Size) +
               " bytes; the store takes at most " +
               std::to_string(Ledger_.maxRecordSize()),
           Out);
    return;
  }
  const auto Refusal = Submission.Key_.empty() ? ErrorKind::StoreUnavailable
                                               : ErrorKind::KeyNotChecked;
  if (!SubmitCallers_.add(
          Id, {Token, Now.Steady_ + CallerTimeout, Refusal, StateOnly}))
    return;
  ++Submitting_[Id];
  Ledger_.append(std::move(Record));
  if (CancelledIds_.contains(Id)) {
    log("submitted-after-cancellation", Id.Value_, ErrorKind::Cancelled, "",
        Out);
    ++Context_.Counters_.SubmittedCancelled_;
    cancelSubmitted(Now, Id);
  }
  Ledger_.advance();
}

auto ShardOwner::cancelSubmitted(Moment Now, const JobId &Id) -> void {
  Cancelling_.insert(Id);
  Ledger_.append(JobCancelled{Id, Now.Wall_});
}

auto ShardOwner::submissionSettled(const JobId &Id) -> bool {
  const auto Found = Submitting_.find(Id);
  if (Found == Submitting_.end() || --Found->second > 0)
    return false;
  Submitting_.erase(Found);
  return true;
}

auto ShardOwner::makeJobId(const SubmitJob &Submission, Random &Generator) const
    -> JobId {
  // If the submission has a key, the id is derived from that key, so that a
  // retry finds the first job.
  const auto &Team = Submission.Declaration_.Team_.Value_;
  const auto Number = Submission.Key_.empty()
                          ? Generator()
                          : digest64(Team + '\n' + Submission.Key_.Value_);
  return formatJobId(Shard_, Number);
}

auto ShardOwner::committed(Moment Now, const JobAdded &Record, EntryOutbox &Out)
    -> void {
  submissionSettled(Record.Job_.Id_);
  const auto *AddedJob = state().findJob(Record.Job_.Id_);
  MeanWork_.record(*AddedJob);
  indexJob(Now.Steady_, *AddedJob);
  log("job-accepted", AddedJob->Id_.Value_, ErrorKind::None,
      "queue " + AddedJob->Declaration_.Queue_.Value_ + ", " +
          std::to_string(AddedJob->Tasks_.size()) + " tasks, critical path " +
          std::to_string(AddedJob->Declaration_.criticalPath().count()) + " ms",
      Out);
  for (const auto &Caller : SubmitCallers_.take(Record.Job_.Id_))
    Out.push_back(AnswerCaller{
        Caller.Token_, jobAnswer(state(), *AddedJob, Caller.StateOnly_)});
}

auto ShardOwner::answerQuery(Moment Now, CallerToken Token,
                             const GetJob &Request, EntryOutbox &Out) -> void {
  if (state().findJob(Request.Job_) != nullptr)
    answerFromState(Token, Request, Out);
  else
    awaitProof(Now, Token, Request);
}

auto ShardOwner::answerQuery(Moment Now, CallerToken Token,
                             const CountUnstartedJobs &Request,
                             EntryOutbox &Out) -> void {
  const auto ProvedAt = Proof_.provedAt();
  if (ProvedAt && *ProvedAt + MaxCountAge > Now.Steady_)
    answerFromState(Token, Request, Out);
  else
    awaitProof(Now, Token, Request);
}

auto ShardOwner::awaitProof(Moment Now, CallerToken Token, ShardQuery Query)
    -> void {
  Queries_.add(Now.Steady_, Token, std::move(Query));
  Queries_.requestProof(Now.Steady_, Proof_, Ledger_);
  Ledger_.advance();
}

auto ShardOwner::answerFromState(CallerToken Token, const ShardQuery &Query,
                                 EntryOutbox &Out) const -> bool {
  if (const auto *Count = std::get_if<CountUnstartedJobs>(&Query)) {
    Out.push_back(AnswerCaller{
        Token, UnstartedJobsReply{state().countUnstarted(Count->Queue_)}});
    return true;
  }
  const auto &Request = std::get<GetJob>(Query);
  const auto *Found = state().findJob(Request.Job_);
  if (Found != nullptr)
    Out.push_back(
        AnswerCaller{Token, jobAnswer(state(), *Found, Request.StateOnly_)});
  else if (Submitting_.count(Request.Job_) != 0)
    return false;
  else
    refuse(Token, ErrorKind::UnknownJob, Request.Job_.Value_, Out);
  return true;
}

auto ShardOwner::cancel(Moment Now, CallerToken Token, const CancelJob &Request,
                        EntryOutbox &Out) -> void {
  const auto &Id = Request.Job_;
  const auto *ExistingJob = state().findJob(Id);
  if (ExistingJob == nullptr && !mayCancelUnknown(Now, Token, Id, Out))
    return;
  if (ExistingJob != nullptr && ExistingJob->Cancelled_) {
    Out.push_back(AnswerCaller{
        Token, jobAnswer(state(), *ExistingJob, Request.StateOnly_)});
    return;
  }
  const auto IsFirst =
      CancelCallers_.add(Id, {Token, Now.Steady_ + CallerTimeout,
                              ErrorKind::StoreUnavailable, Request.StateOnly_});
  if (!IsFirst || !Cancelling_.insert(Id).second)
    return;
  Ledger_.append(JobCancelled{Id, Now.Wall_});
  Ledger_.advance();
}

auto ShardOwner::mayCancelUnknown(Moment Now, CallerToken Token,
                                  const JobId &Id, EntryOutbox &Out) -> bool {
  // No job has an empty id.
  if (Id.empty() || isMutationActive(Mutation::DenyUnknownJobs)) {
    refuseUnknown(Now, Token, Id, Out);
    return false;
  }
  const auto IsNew = Submitting_.count(Id) == 0 && !CancelledIds_.contains(Id);
  if (IsNew &&
      (Ledger_.queued() >= MaxQueuedRecords || CancelledIds_.isFull())) {
    Context_.Counters_.countRefusal(ErrorKind::QueueFull);
    refuse(Token, ErrorKind::QueueFull, "cancellations of unknown jobs", Out);
    return false;
  }
  CancelledIds_.add(Now.Steady_, Id);
  return true;
}

auto ShardOwner::refuseUnknown(Moment Now, CallerToken Token, const JobId &Id,
                               EntryOutbox &Out) -> void {
  const auto ProvedAt = Proof_.provedAt();
  const auto Age = std::chrono::duration_cast<Millis>(
      Now.Steady_ - ProvedAt.value_or(Now.Steady_));
  log("cancelled-unknown", Id.Value_, ErrorKind::UnknownJob,
      "epoch " + std::to_string(Ledger_.epoch()) + ", submission " +
          (Submitting_.count(Id) != 0 ? "queued" : "not queued") +
          ", ownership " +
          (ProvedAt ? "verified " + std::to_string(Age.count()) + " ms ago"
                    : "not verified since it was acquired"),
      Out);
  ++Context_.Counters_.UnknownJobsCancelled_;
  refuse(Token, ErrorKind::UnknownJob, Id.Value_, Out);
}

auto ShardOwner::committed(Moment Now, const JobCancelled &Record,
                           EntryOutbox &Out) -> void {
  const auto *Cancelled = state().findJob(Record.Job_);
  // The job was submitted meanwhile; the cancellation that follows its
  // submission is still queued.
  if (Cancelled != nullptr && !Cancelled->Cancelled_)
    return;
  Cancelling_.erase(Record.Job_);
  log("job-cancelled", Record.Job_.Value_, ErrorKind::Cancelled, "", Out);
  if (Cancelled == nullptr) {
    CancelledIds_.add(Now.Steady_, Record.Job_);
    for (const auto &Caller : CancelCallers_.take(Record.Job_))
      refuseUnknown(Now, Caller.Token_, Record.Job_, Out);
    return;
  }
  CancelledIds_.remove(Record.Job_);
  indexJob(Now.Steady_, *Cancelled);
  recordIfOver(Now, *Cancelled, Out);
  for (const auto &Caller : CancelCallers_.take(Record.Job_))
    Out.push_back(AnswerCaller{
        Caller.Token_, jobAnswer(state(), *Cancelled, Caller.StateOnly_)});
}

auto ShardOwner::committed(Moment /*Now*/, const JobRemoved &Record,
                           EntryOutbox & /*Out*/) -> void {
  FailedIndexed_.erase(Record.Job_);
  CancelledIds_.remove(Record.Job_);
}

// The index of pending and bound tasks and of the resources they use.

auto ShardOwner::rankOf(const Job &Job, const TaskId &Task) const
    -> PendingRank {
  const auto &Declaration = Job.Declaration_;
  const auto IsFirstInPriority =
      Declaration.Urgent_ || Job.stepOf(Task).LongRunning_;
  const auto PriorityClass =
      2 * static_cast<int>(Declaration.Priority_) + (IsFirstInPriority ? 0 : 1);
  const auto Deadline =
      Declaration.Deadline_ + Declaration.Interval_ * Task.Occurrence_;
  return {PriorityClass, Deadline - Job.criticalPathFrom(Task), Task};
}

auto ShardOwner::indexTask(TimePoint Now, const Job &Job, const TaskId &Id,
                           bool Ready) -> void {
  const auto &Task = Job.task(Id);
  const auto Rank = rankOf(Job, Id);
  const auto Ends = !Job.stepOf(Id).LongRunning_;
  if (Task.State_ == TaskState::Pending && Ready) {
    Pending_.insert(Rank);
    // A scheduled task waits from the first try to bind it.
    if (Ends && Job.Declaration_.Occurrences_ == 0)
      Waits_.becomePending(Now, Id);
  } else {
    Pending_.erase(Rank);
  }
  if (Task.State_ != TaskState::Pending)
    UnplacedSince_.erase(Id);
  if (Task.State_ == TaskState::Bound) {
    Usage_.hold(Job, Id, Task.Agent_);
    if (Bound_.try_emplace(Id).second && Ends)
      Waits_.enter(Now, Id, TaskWait::Start);
    if (Job.isClosed())
      Stops_.add(Now, Id);
  } else {
    Stops_.remove(Id);
    if (Task.State_ != TaskState::Pending || !Ready)
      Waits_.end(Now, Id);
    Crashes_.endTrial(Task.Agent_, Id);
    Usage_.release(Job, Id);
    Bound_.erase(Id);
  }
}

auto ShardOwner::indexStep(TimePoint Now, const Job &Job,
                           std::uint32_t StepIndex, std::uint32_t Occurrence)
    -> void {
  TaskId Id{Job.Id_, 0, StepIndex, Occurrence};
  const auto Ready = state().progressOf(Job.Id_).isReady(Id);
  const auto Count = Job.Declaration_.Steps_[StepIndex].TaskCount_;
  for (Id.Index_ = 0; Id.Index_ < Count; ++Id.Index_)
    indexTask(Now, Job, Id, Ready);
}

auto ShardOwner::indexJob(TimePoint Now, const Job &Job) -> void {
  const auto Occurrences = std::max(Job.Declaration_.Occurrences_, 1U);
  const auto Steps = static_cast<std::uint32_t>(Job.Declaration_.Steps_.size());
  for (std::uint32_t Occurrence = 0; Occurrence < Occurrences; ++Occurrence)
    for (std::uint32_t StepIndex = 0; StepIndex < Steps; ++StepIndex)
      indexStep(Now, Job, StepIndex, Occurrence);
}

auto ShardOwner::updateIndex(TimePoint Now, const Job &Job,
                             const TaskId &Changed) -> void {
  // The failure of a job ends its pending tasks, all at once.
  if (Job.Failed_ && FailedIndexed_.insert(Job.Id_).second) {
    indexJob(Now, Job);
    return;
  }
  indexTask(Now, Job, Changed, true);
  if (Job.task(Changed).State_ == TaskState::Finished &&
      state().progressOf(Job.Id_).isStepFinished(Changed))
    FinishedSteps_.insert(stepKeyOf(Changed));
}

auto ShardOwner::indexReadySteps(TimePoint Now) -> void {
  std::set<StepKey> Ready;
  for (const auto &[JobOfStep, Step, Occurrence] : FinishedSteps_) {
    const auto *Job = state().findJob(JobOfStep);
    if (Job == nullptr)
      continue;
    for (const auto Dependent : Job->Outline_->dependentsOf(Step))
      if (state().progressOf(JobOfStep).isReady(
              {JobOfStep, 0, Dependent, Occurrence}))
        Ready.insert({JobOfStep, Dependent, Occurrence});
  }
  FinishedSteps_.clear();
  for (const auto &[JobOfStep, Step, Occurrence] : Ready)
    indexStep(Now, *state().findJob(JobOfStep), Step, Occurrence);
}

auto ShardOwner::reindex(Moment Now) -> void {
  Indexed_ = true;
  Pending_.clear();
  Bound_.clear();
  Stops_.clear();
  Usage_.clear();
  Crashes_.clear();
  Outliers_.clear();
  Refusals_.clear();
  Returned_.clear();
  Proposed_.clear();
  UnplacedSince_.clear();
  TriedSteps_.clear();
  NextTurn_.reset();
  Closing_.clear();
  Proof_.clear();
  Submitting_.clear();
  Cancelling_.clear();
  CancelledIds_.reset(Now.Steady_, state().cancelledIds());
  Failing_.clear();
  FailedIndexed_.clear();
  FinishedSteps_.clear();
  AbandonedKeys_.clear();
  Unverified_.clear();
  FinishReported_.clear();
  Waits_.clear();
  MeanWork_ = {};
  Ended_.clear();
  for (const auto &[Id, Each] : state().jobs()) {
    MeanWork_.record(Each);
    indexJob(Now.Steady_, Each);
    if (state().progressOf(Id).isOver())
      Ended_.add(Now.Steady_, Id, Each.Tasks_.size());
  }
  // An earlier owner stored the job without its cancellation.
  for (const auto &Id : state().cancelledIds())
    if (state().findJob(Id) != nullptr)
      cancelSubmitted(Now, Id);
}

auto ShardOwner::propose(const TaskId &Task, TaskChanged Change) -> void {
  Change.Task_ = Task;
  // A checkpoint that can't be stored is dropped: the task resumes from the
  // last one that was.
  if (Change.Checkpoint_.Value_.size() > MaxCheckpointSize)
    Change.Checkpoint_ = state().findTask(Task)->Checkpoint_;
  Proposed_.insert(Task);
  if (Change.State_ == TaskState::Failed)
    Failing_.insert(Task.Job_);
  Ledger_.append(std::move(Change));
}

auto ShardOwner::committed(Moment Now, const TaskChanged &Record,
                           EntryOutbox &Out) -> void {
  Proposed_.erase(Record.Task_);
  const auto *Job = state().findJob(Record.Task_.Job_);
  if (Job == nullptr)
    return;
  const auto FoundDelivery = Bound_.find(Record.Task_);
  const auto WasBound = FoundDelivery != Bound_.end();
  const auto ReportedEnd =
      WasBound ? FoundDelivery->second.ReportedEnd_ : TaskPhase::Queued;
  updateIndex(Now.Steady_, *Job, Record.Task_);
  if (Record.State_ == TaskState::Pending)
    Waits_.attemptLost(Record.Task_.Job_);
  recordIfOver(Now, *Job, Out);
  if (Record.State_ == TaskState::Failed)
    Failing_.erase(Record.Task_.Job_);
  const auto Finished = FinishReported_.erase(Record.Task_) != 0 ||
                        ReportedEnd == TaskPhase::Finished;
  const auto &Status = Job->task(Record.Task_);
  const auto Open =
      Status.State_ == TaskState::Pending || Status.State_ == TaskState::Bound;
  const auto Closing = Cancelling_.count(Record.Task_.Job_) != 0 ||
                       Failing_.count(Record.Task_.Job_) != 0;
  if (Finished && Open && !Closing && !Job->stepOf(Record.Task_).LongRunning_) {
    propose(Record.Task_,
            makeChange(Status, TaskState::Finished, ErrorKind::None, Now));
    return;
  }
  auto *BoundTo = Context_.Targets_.findAgent(Record.Agent_);
  if (Record.State_ == TaskState::Bound) {
    ++Context_.Counters_.TasksBound_;
    log("task-bound", Record.Task_.text(), ErrorKind::None,
        "attempt " + std::to_string(Record.Attempt_) + " bound to " +
            Record.Agent_.Value_,
        Out);
    if (BoundTo != nullptr && BoundTo->GrantedShards_.count(Shard_) != 0 &&
        !isClosing(*Job))
      sendBind(Now, Record.Task_, *BoundTo, Out);
    return;
  }
  if (Record.State_ == TaskState::Finished)
    ++Context_.Counters_.TasksFinished_;
  // An attempt that finished while its task was being put back is not recorded
  // yet; the agent reports it again.
  const auto Unrecorded =
      ReportedEnd == TaskPhase::Finished &&
      Job->task(Record.Task_).State_ == TaskState::Pending &&
      !Job->stepOf(Record.Task_).LongRunning_;
  if (BoundTo != nullptr && isEnded(ReportedEnd) && !Unrecorded)
    Out.push_back(
        SendToAgent{BoundTo->Session_,
                    TaskReportAck{Record.Task_, Record.Attempt_, ReportedEnd}});
  // An earlier attempt has finished.
  if (BoundTo != nullptr && WasBound && !isEnded(ReportedEnd) &&
      Record.State_ == TaskState::Finished)
    Out.push_back(SendToAgent{BoundTo->Session_,
                              StopTask{Shard_, Ledger_.epoch(), Record.Task_,
                                       Record.Attempt_, ErrorKind::Cancelled}});
  log("task-settled", Record.Task_.text(), Record.Reason_,
      std::string(taskStateText(Record.State_)) + " after attempt " +
          std::to_string(Record.Attempt_) + " at " + Record.Agent_.Value_,
      Out);
}

auto ShardOwner::committed(Moment /*Now*/, const TasksRestored & /*Record*/,
                           EntryOutbox & /*Out*/) -> void {}

// Records that the store refuses.

auto ShardOwner::refused(const JobAdded &Record, EntryOutbox &Out) -> void {
  submissionSettled(Record.Job_.Id_);
  SubmitCallers_.refuse(Record.Job_.Id_, ErrorKind::BodyTooLarge, Out);
}

auto ShardOwner::refused(const JobCancelled &Record, EntryOutbox &Out) -> void {
  Cancelling_.erase(Record.Job_);
  if (state().cancelledIds().count(Record.Job_) == 0)
    CancelledIds_.remove(Record.Job_);
  CancelCallers_.refuse(Record.Job_, ErrorKind::StoreUnavailable, Out);
}

auto ShardOwner::refused(const TaskChanged &Record, EntryOutbox & /*Out*/)
    -> void {
  Proposed_.erase(Record.Task_);
  const auto *Job = state().findJob(Record.Task_.Job_);
  if (Record.State_ == TaskState::Failed)
    Failing_.erase(Record.Task_.Job_);
  if (Record.State_ != TaskState::Bound || Job == nullptr)
    return;
  Crashes_.endTrial(Record.Agent_, Record.Task_);
  Usage_.release(*Job, Record.Task_);
}

auto ShardOwner::refused(const ClaimOpened &Record, EntryOutbox &Out) -> void {
  AbandonedKeys_.erase(Record.Key_);
  const auto Found = PendingClaims_.find(Record.Key_);
  if (Found == PendingClaims_.end() ||
      Found->second.Request_ != Record.Request_)
    return;
  refuse(Found->second.Token_, ErrorKind::KeyNotChecked, Record.Key_.Value_,
         Out);
  PendingClaims_.erase(Found);
}

auto ShardOwner::refused(const ClaimClosed &Record, EntryOutbox & /*Out*/)
    -> void {
  // The outcome is kept without its answer.
  auto WithoutAnswer = Record;
  if (WithoutAnswer.Body_.empty())
    return;
  WithoutAnswer.Body_.clear();
  WithoutAnswer.Error_ = ErrorKind::AnswerNotKept;
  Ledger_.append(std::move(WithoutAnswer));
}

// Binding.

auto ShardOwner::BindPass::isOver() const -> bool {
  return Binds_ >= MaxBindsPerPass ||
         FailedPlacements_ >= 2 * MaxFailedPlacements;
}

auto ShardOwner::mayHost(Moment Now, const Target &Candidate, const Job &Job,
                         const StepDeclaration &Step) const -> bool {
  return requirementOf(Job, Step).isMetBy(Candidate.Hello_) &&
         acceptsNewWork(Candidate, Context_.Configuration_, Now.Steady_) &&
         !(Step.BestEffort_ && Now.Steady_ < Candidate.NoBestEffortUntil_) &&
         Candidate.Load_.TasksQueued_ < MaxTasksQueuedAtAgent;
}

auto ShardOwner::interferenceAt(const std::string &Serving,
                                const WorkerUsage &Usage) const -> double {
  double Sum = 0;
  for (const auto &[Image, MilliCores] : Usage.BestEffortMilliCoresByImage_)
    Sum += Context_.Interference_.predictGrowth(Serving, Image, MilliCores);
  return Sum;
}

auto ShardOwner::tailHeadroom(Moment Now, const std::string &Image,
                              Millis TailTarget, const Target &Candidate) const
    -> double {
  const auto *Worst = static_cast<const ServingSample *>(nullptr);
  if (Candidate.ServingSampledAt_ + ServingSampleMaxAge > Now.Steady_)
    for (const auto &Each : Candidate.Serving_)
      if (Each.Image_ == Image &&
          (Worst == nullptr || Each.Baseline_ > Worst->Baseline_))
        Worst = &Each;
  if (Worst == nullptr)
    return Context_.Interference_.slack(Image, TailTarget);
  if (Worst->Tail_ > Worst->Target_)
    return 0;
  return std::log(TailTargetShare * static_cast<double>(TailTarget.count())) -
         Worst->Baseline_;
}

auto ShardOwner::addInterference(Moment Now, const StepDeclaration &Step,
                                 const Target &Candidate,
                                 const WorkerUsage &Usage,
                                 PlacementCandidate &Place) const -> void {
  const auto &Interference = Context_.Interference_;
  Place.ServingImages_ = Usage.Serving_.size();
  Place.SameImage_ = Usage.Serving_.count(Step.Image_) != 0;
  if (Step.TailTarget_ > Millis{0})
    Place.SlackOverrun_ = interferenceAt(Step.Image_, Usage) -
                          Interference.slack(Step.Image_, Step.TailTarget_);
  if (!Step.BestEffort_)
    return;
  for (const auto &[Image, Serving] : Usage.Serving_) {
    const auto AddedGrowth = Interference.predictGrowth(
        Image, Step.Image_, Step.Resources_.MilliCores_);
    const auto TotalGrowth = interferenceAt(Image, Usage) + AddedGrowth;
    if (AddedGrowth > NegligibleInterference)
      Place.SlackOverrun_ = std::max(
          Place.SlackOverrun_,
          TotalGrowth - tailHeadroom(Now, Image, Serving.Target_, Candidate));
    Place.AddedInterference_ += AddedGrowth * Serving.Tasks_;
  }
}

auto ShardOwner::freeOn(const Target &Worker) const -> Resources {
  // Tasks of other shards are visible only in the free resources that the agent
  // reports. If there is no other shard, this owner's own account is complete
  // and, unlike the reports, not delayed.
  if (!Context_.OnlyShard_)
    return Worker.free();
  const auto *Usage = Usage_.at(Worker.agent());
  return Usage == nullptr ? Worker.Capacity_
                          : Worker.Capacity_ - Usage->Allocated_;
}

auto ShardOwner::candidateView(Moment Now, const Target &Candidate,
                               const Job &Job, const TaskId &Task) const
    -> PlacementCandidate {
  const auto &Status = Job.task(Task);
  PlacementCandidate Place;
  Place.Capacity_ = Candidate.Capacity_;
  Place.HeadroomMilliCores_ = Headroom_.at(Candidate, Context_.Targets_);
  Place.Rack_ = Candidate.Hello_.Rack_;
  Place.Free_ = freeOn(Candidate);
  Place.FailedHere_ =
      Status.Failures_ > 0 && Status.Agent_ == Candidate.agent();
  const auto *Usage = Usage_.at(Candidate.agent());
  if (Usage == nullptr)
    return Place;
  if (isSuspect(Status))
    for (const auto &Each : Usage->TasksOfStep_)
      Place.TasksAtRisk_ += Each.second;
  Place.BestEffortMilliCores_ = Usage->BestEffortMilliCores_;
  Place.ServingMilliCores_ = Usage->ServingMilliCores_;
  const auto FoundStep = Usage->TasksOfStep_.find(stepKeyOf(Task));
  if (FoundStep != Usage->TasksOfStep_.end())
    Place.TasksOfStep_ = FoundStep->second;
  addInterference(Now, Job.stepOf(Task), Candidate, *Usage, Place);
  return Place;
}

auto ShardOwner::chooseWorker(Moment Now, const Job &Job, const TaskId &Task,
                              Random &Generator, PlacementFailure &Failure,
                              EntryOutbox &Out) -> Target * {
  const auto &All = Context_.Targets_.all();
  Failure = {};
  if (All.empty())
    return nullptr;
  auto *Chosen = chooseStanding(Now, Job, Task, false, Generator, Failure, Out);
  if (Chosen != nullptr || Outliers_.empty() ||
      !acceptsStanding(Now, Job, Task, OutlierDetector::Standing::Ejected))
    return Chosen;
  const auto Reason = Failure.Reason_;
  Chosen = chooseStanding(Now, Job, Task, true, Generator, Failure, Out);
  Failure.Reason_ = Reason;
  return Chosen;
}

auto ShardOwner::acceptsStanding(Moment Now, const Job &Job, const TaskId &Task,
                                 OutlierDetector::Standing Standing) const
    -> bool {
  if (Standing == OutlierDetector::Standing::Sound)
    return true;
  const auto Found = UnplacedSince_.find(Task);
  const auto Waited =
      Found == UnplacedSince_.end() ? Duration{0} : Now.Steady_ - Found->second;
  const auto MayFail = Job.stepOf(Task).LongRunning_ ||
                       Job.task(Task).Failures_ + 1 < failureLimitOf(Job);
  if (Standing == OutlierDetector::Standing::Probation)
    return MayFail || Waited >= 2 * LastResortDelay;
  return MayFail && Waited >= LastResortDelay;
}

auto ShardOwner::demandOf(Moment Now, const Job &Job, const TaskId &Task,
                          bool AcceptsAny) const -> PlacementDemand {
  using Standing = OutlierDetector::Standing;
  auto Worst = Standing::Ejected;
  // Without outliers, no worker is anything but sound.
  if (!Outliers_.empty())
    while (!acceptsStanding(Now, Job, Task, Worst))
      Worst =
          Worst == Standing::Ejected ? Standing::Probation : Standing::Sound;
  return {stepKeyOf(Task), Job.Declaration_.Service_, &Job.stepOf(Task),
          AcceptsAny, Worst};
}

auto ShardOwner::standsFor(Moment Now, const Target &Candidate, const Job &Job,
                           const TaskId &Task, bool LastResort) const -> bool {
  const WorkerKey Worker{Candidate.agent(), Candidate.Hello_.Worker_};
  const auto Standing = Outliers_.standingOf(Now.Steady_, Worker);
  const auto IsEjected = Standing == OutlierDetector::Standing::Ejected;
  return IsEjected == LastResort && acceptsStanding(Now, Job, Task, Standing) &&
         (Standing == OutlierDetector::Standing::Sound ||
          Outliers_.mayTry(Now.Steady_, Worker));
}

auto ShardOwner::chooseStanding(Moment Now, const Job &Job, const TaskId &Task,
                                bool LastResort, Random &Generator,
                                PlacementFailure &Failure, EntryOutbox &Out)
    -> Target * {
  const auto &All = Context_.Targets_.all();
  const auto &Step = Job.stepOf(Task);
  const auto AcceptsAny = recordWait(Now, Step, Task);
  std::vector<PlacementCandidate> Places;
  std::vector<Target *> Candidates;
  const auto FirstIndex =
      std::uniform_int_distribution<std::size_t>(0, All.size() - 1)(Generator);
  std::size_t FullWorkers = 0;
  const auto IsSampleFull = [&] {
    return Candidates.size() == MaxCandidates || FullWorkers == MaxFullWorkers;
  };
  for (std::size_t Offset = 0; Offset < All.size() && !IsSampleFull();
       ++Offset) {
    auto *Each = All[(FirstIndex + Offset) % All.size()];
    if (!mayHost(Now, *Each, Job, Step) ||
        !standsFor(Now, *Each, Job, Task, LastResort) ||
        Crashes_.isTrialAt(Each->agent(), Now.Steady_) ||
        Refusals_.isPaused(Now.Steady_, {Each->agent(), Each->Hello_.Worker_}))
      continue;
    sendOwnershipClaim(Now, *Each, Out);
    if (Each->GrantedShards_.count(Shard_) == 0)
      continue;
    if (!freeOn(*Each).holds(Step.reserved())) {
      ++FullWorkers;
      continue;
    }
    Places.push_back(candidateView(Now, *Each, Job, Task));
    Places.back().AcceptsAnyWorker_ = AcceptsAny;
    Candidates.push_back(Each);
  }
  const auto Chosen = choosePlacement(Step, Places);
  if (Chosen < Candidates.size())
    return Candidates[Chosen];
  if (!Places.empty() || FullWorkers > 0) {
    Failure.Reason_ = TaskWait::Room;
    Failure.HasCandidate_ = true;
  }
  if (IsSampleFull())
    Failure.IsSample_ = true;
  if (!Places.empty())
    Failure.HasRoom_ = true;
  for (auto &Each : Places) {
    Each.AcceptsAnyWorker_ = true;
    if (hasUnusedProcessors(Step, Each) && canPlace(Step, Each))
      Failure.Reason_ = TaskWait::Interference;
  }
  return nullptr;
}

auto ShardOwner::sendOwnershipClaim(Moment Now, Target &Agent, EntryOutbox &Out)
    -> void {
  if (Agent.ConfirmedShards_.count(Shard_) != 0)
    return;
  auto &ClaimedAt = Agent.ClaimedShards_[Shard_];
  if (ClaimedAt != TimePoint{} && ClaimedAt + ResendInterval > Now.Steady_)
    return;
  ClaimedAt = Now.Steady_;
  Out.push_back(
      SendToAgent{Agent.Session_, ClaimOwnership{Shard_, Ledger_.epoch()}});
}

auto ShardOwner::withinQuota(const JobDeclaration &Declaration,
                             const Resources &Need) const -> bool {
  if (!Declaration.Queue_.empty())
    return true;
  const auto *Team =
      Context_.Configuration_.Document_.findTeam(Declaration.Team_);
  return Team != nullptr &&
         Team->Quota_.holds(Usage_.ofTeam(Declaration.Team_) + Need);
}

auto ShardOwner::recordWait(Moment Now, const StepDeclaration &Step,
                            const TaskId &Task) -> bool {
  const auto Since = UnplacedSince_.emplace(Task, Now.Steady_).first->second;
  if (Step.LongRunning_)
    return Since + LongRunningPlacementTimeout <= Now.Steady_;
  // A job without another bound task may place one on any worker with capacity:
  // this keeps the job progressing, and a single task causes little
  // interference.
  return Step.BestEffort_ && Usage_.isOnlyTaskOfJob(Task) &&
         Since + BestEffortPlacementTimeout <= Now.Steady_;
}

auto ShardOwner::tryBind(Moment Now, const PendingRank &Rank, BindPass &Pass,
                         Random &Generator, EntryOutbox &Out) -> BindResult {
  const auto &Job = *state().findJob(Rank.Task_.Job_);
  const auto &Status = Job.task(Rank.Task_);
  if (settlePending(Now, Rank.Task_, Out))
    return BindResult::TaskSkipped;
  const auto &Step = Job.stepOf(Rank.Task_);
  const auto Requirement = requirementOf(Job, Step);
  if (isSuspect(Status) &&
      !Pass.Trials_.mayTry(Requirement, [&](const auto &Each) {
        return countTrials(Now, Each);
      }))
    return BindResult::TaskSkipped;
  const auto Need = Step.reserved();
  if (!withinQuota(Job.Declaration_, Need))
    return BindResult::StepSkipped;
  const auto Waits = [&](TaskWait Reason) {
    if (!Step.LongRunning_)
      Waits_.enter(Now.Steady_, Rank.Task_, Reason);
    return BindResult::StepSkipped;
  };
  const auto AcceptsAny = recordWait(Now, Step, Rank.Task_);
  // Costs no search, so it doesn't count as a failed placement.
  if (!Context_.Targets_.offers(Requirement))
    return Waits(TaskWait::Worker);
  const auto Demand = demandOf(Now, Job, Rank.Task_, AcceptsAny);
  if (const auto Known = Pass.Failures_.find(Demand))
    return Waits(*Known);
  PlacementFailure Failure;
  auto *Chosen = chooseWorker(Now, Job, Rank.Task_, Generator, Failure, Out);
  if (Chosen == nullptr) {
    ++Pass.FailedPlacements_;
    Pass.Failures_.record(Demand, Failure);
    return Waits(Failure.Reason_);
  }
  Waits(TaskWait::Commit);
  Outliers_.bound(Now.Steady_, {Chosen->agent(), Chosen->Hello_.Worker_});
  Chosen->Reserved_ += Need;
  Chosen->ReservedAt_ = Now.Steady_;
  auto Change = makeChange(Status, TaskState::Bound, ErrorKind::None, Now);
  ++Change.Attempt_;
  Change.Agent_ = Chosen->agent();
  Change.DataCentre_ = Chosen->dataCentre();
  Change.Worker_ = Chosen->Hello_.Worker_;
  // The task counts towards the quota and the worker's capacity at once, before
  // its commit, so that the rest of the pass doesn't exceed them.
  Usage_.hold(Job, Rank.Task_, Chosen->agent());
  if (isSuspect(Status)) {
    Crashes_.startTrial({Change.Agent_, Change.Worker_}, Rank.Task_,
                        Now.Steady_);
    Pass.Trials_.bound(Chosen->Hello_);
  }
  propose(Rank.Task_, std::move(Change));
  return BindResult::Bound;
}

auto ShardOwner::recordIfOver(Moment Now, const Job &Job, EntryOutbox &Out)
    -> void {
  const auto FirstBound = Bound_.lower_bound(TaskId{Job.Id_});
  const auto HasBoundTask =
      FirstBound != Bound_.end() && FirstBound->first.Job_ == Job.Id_;
  const auto &Progress = state().progressOf(Job.Id_);
  if (Progress.isOver())
    Ended_.add(Now.Steady_, Job.Id_, Job.Tasks_.size());
  if (HasBoundTask || !Progress.isOver())
    return;
  const auto Ended = Waits_.takeEnded();
  for (std::size_t Index = 0; Index < Ended.size(); ++Index)
    Context_.Counters_.TaskWaitMicros_[Index] +=
        std::chrono::duration_cast<Micros>(Ended[Index]).count();
  const auto Summary = Waits_.take(Job.Id_);
  if (Summary)
    log("job-ended", Job.Id_.Value_, ErrorKind::None,
        "queue " + Job.Declaration_.Queue_.Value_ + ", " +
            std::string(jobStateText(jobState(Job, Progress))) + ", " +
            std::to_string(Job.Tasks_.size()) + " tasks, critical path " +
            std::to_string(Job.Declaration_.criticalPath().count()) + " ms; " +
            Summary->text(),
        Out);
}

auto ShardOwner::isDue(Moment Now, const TaskId &Task) const -> bool {
  const auto Delayed = NotBefore_.find(Task);
  return (Delayed == NotBefore_.end() || Delayed->second <= Now.Steady_) &&
         state().findJob(Task.Job_)->scheduledAt(Task) <= Now.Wall_ &&
         Proposed_.count(Task) == 0 && Cancelling_.count(Task.Job_) == 0 &&
         !CancelledIds_.contains(Task.Job_) && Failing_.count(Task.Job_) == 0;
}

auto ShardOwner::rankSteps(Moment Now, PendingPosition First,
                           PendingPosition Last, std::size_t MaxSteps,
                           std::vector<RankedTask> &Steps) const
    -> PendingPosition {
  std::map<JobId, double> WorkPerValueByJob;
  auto Next = First;
  // The last position may be within a step.
  while (Next != Pending_.end() && (Last == Pending_.end() || *Next < *Last) &&
         Steps.size() < MaxSteps) {
    const auto End = endOfStep(Next);
    const auto Due = std::find_if(
        Next, End, [&](const auto &Each) { return isDue(Now, Each.Task_); });
    Next = End;
    if (Due == End)
      continue;
    const auto &Job = *state().findJob(Due->Task_.Job_);
    RankedTask Ranked{Due->PriorityClass_,
                      feasibilityOf(Job, Due->Task_, Now.Wall_), 0, *Due};
    if (Job.stepOf(Due->Task_).BestEffort_) {
      const auto [WorkPerValue, Inserted] =
          WorkPerValueByJob.try_emplace(Job.Id_, 0.0);
      if (Inserted)
        WorkPerValue->second =
            workPerValue(Job, state().progressOf(Job.Id_),
                         MeanWork_.of(Job.Declaration_.Queue_));
      Ranked.WorkPerValue_ = WorkPerValue->second;
    }
    Steps.push_back(std::move(Ranked));
  }
  return Next;
}

auto ShardOwner::dueStepsInOrder(Moment Now) const -> DueSteps {
  DueSteps Due;
  auto &Steps = Due.Steps_;
  const auto End = Pending_.end();
  const auto Others =
      rankSteps(Now, Pending_.begin(), End, FirstStepsPerPass, Steps);
  const auto Turn = NextTurn_ && Others != End && *Others < *NextTurn_
                        ? Pending_.lower_bound(*NextTurn_)
                        : Others;
  auto Next = rankSteps(Now, Turn, End, MaxStepsPerPass, Steps);
  if (Next == End)
    Next = rankSteps(Now, Others, Turn, MaxStepsPerPass, Steps);
  if (Next != End && Steps.size() == MaxStepsPerPass)
    Due.NextTurn_ = *Next;
  std::sort(Steps.begin(), Steps.end());
  return Due;
}

auto ShardOwner::endOfStep(PendingPosition First) const -> PendingPosition {
  auto Last = *First;
  Last.Task_.Index_ = std::numeric_limits<std::uint32_t>::max();
  return Pending_.upper_bound(Last);
}

auto ShardOwner::bindOrder(Moment Now,
                           const std::vector<RankedTask> &Steps) const
    -> BindOrder {
  // The limit applies to the ranked steps. Applied to the pending tasks, which
  // are sorted by their latest start, it would hide everything behind a backlog
  // of late tasks.
  BindOrder Order;
  for (const auto &Step : Steps) {
    const auto First = Pending_.find(Step.Rank_);
    const auto End = endOfStep(First);
    for (auto Each = First; Each != End; ++Each) {
      if (Order.Tasks_.size() >= MaxTasksPerPass)
        return Order;
      if (!isDue(Now, Each->Task_))
        continue;
      auto Ranked = Step;
      Ranked.Rank_ = *Each;
      Order.Tasks_.push_back(std::move(Ranked));
    }
    ++Order.Steps_;
  }
  return Order;
}

auto ShardOwner::recordShortDemand(Moment Now,
                                   const std::vector<RankedTask> &Waiting)
    -> void {
  auto MilliCores = Usage_.shortTaskMilliCores();
  for (const auto &Ranked : Waiting) {
    const auto &Task = Ranked.Rank_.Task_;
    const auto &Job = *state().findJob(Task.Job_);
    const auto &Step = Job.stepOf(Task);
    if (isShortTask(Step))
      MilliCores[Job.Declaration_.Service_] += Step.Resources_.MilliCores_;
  }
  Headroom_.record(Now.Steady_, MilliCores);
}

auto ShardOwner::countTrials(Moment Now,
                             const WorkerRequirement &Requirement) const
    -> TrialBudget::WorkerCount {
  TrialBudget::WorkerCount Count;
  for (const auto *Each : Context_.Targets_.all()) {
    if (!Requirement.isMetBy(Each->Hello_) ||
        !acceptsNewWork(*Each, Context_.Configuration_, Now.Steady_))
      continue;
    ++Count.Workers_;
    Count.Trials_ += Crashes_.isTrialAt(Each->agent(), Now.Steady_) ? 1 : 0;
  }
  return Count;
}

auto ShardOwner::bindInTurn(Moment Now, const PendingRank &Rank, BindPass &Pass,
                            Random &Generator, EntryOutbox &Out) -> BindResult {
  // Another task of the job may have been given up in this pass.
  if (Failing_.count(Rank.Task_.Job_) != 0)
    return BindResult::StepSkipped;
  const auto Step = stepKeyOf(Rank.Task_);
  const auto IsBehindLimit = Pass.FailedPlacements_ >= MaxFailedPlacements;
  if (IsBehindLimit && TriedSteps_.count(Step) != 0)
    return BindResult::StepSkipped;
  const auto FailedBefore = Pass.FailedPlacements_;
  NotBefore_.erase(Rank.Task_);
  const auto Result = tryBind(Now, Rank, Pass, Generator, Out);
  if (Result == BindResult::Bound)
    ++Pass.Binds_;
  else if (IsBehindLimit && Pass.FailedPlacements_ > FailedBefore)
    TriedSteps_.insert(Step);
  return Result;
}

auto ShardOwner::bindStep(Moment Now, const PendingRank &FirstTask,
                          BindPass &Pass, Random &Generator, EntryOutbox &Out)
    -> void {
  const auto First = Pending_.find(FirstTask);
  const auto End = endOfStep(First);
  for (auto Each = First; Each != End && !Pass.isOver(); ++Each)
    if (isDue(Now, Each->Task_) &&
        bindInTurn(Now, *Each, Pass, Generator, Out) == BindResult::StepSkipped)
      return;
}

auto ShardOwner::bindPending(Moment Now, Random &Generator, EntryOutbox &Out)
    -> void {
  BindPass Pass;
  const auto Due = dueStepsInOrder(Now);
  const auto Order = bindOrder(Now, Due.Steps_);
  recordShortDemand(Now, Order.Tasks_);
  for (const auto &Ranked : Order.Tasks_) {
    if (Pass.isOver())
      return;
    bindInTurn(Now, Ranked.Rank_, Pass, Generator, Out);
  }
  for (auto Step = Order.Steps_; Step < Due.Steps_.size(); ++Step) {
    if (Pass.isOver())
      return;
    bindStep(Now, Due.Steps_[Step].Rank_, Pass, Generator, Out);
  }
  // Each of these steps has had its turn.
  TriedSteps_.clear();
  NextTurn_ = Due.NextTurn_;
}

auto ShardOwner::sendBind(Moment Now, const TaskId &Id, Target &To,
                          EntryOutbox &Out) -> void {
  const auto &Job = *state().findJob(Id.Job_);
  const auto &Task = Job.task(Id);
  const auto &Step = Job.stepOf(Id);
  auto &Delivery = Bound_[Id];
  Delivery.Sent_ = true;
  Delivery.SentAt_ = Now.Steady_;
  BindTask Bind;
  Bind.Sequence_ = ++To.LastSequence_;
  Bind.Shard_ = Shard_;
  Bind.Epoch_ = Ledger_.epoch();
  Bind.Worker_ = workerOf(Task, Delivery);
  Bind.Task_ = Id;
  Bind.Attempt_ = Task.Attempt_;
  Bind.Kind_ = Step.LongRunning_ ? WorkKind::Watcher : WorkKind::Batch;
  Bind.Resources_ = Step.reserved();
  Bind.RunTime_ = Step.RunTime_;
  Bind.Deadline_ = Job.Declaration_.Deadline_;
  Bind.Checkpoint_ = Task.Checkpoint_;
  Bind.Payload_ = Job.Declaration_.Payload_;
  Bind.Priority_ = Job.Declaration_.Priority_;
  Bind.BestEffort_ = Step.BestEffort_;
  Bind.BestEffortMilliCores_ =
      Step.BestEffort_ ? Step.Resources_.MilliCores_ : 0;
  Bind.StartsDespiteInterference_ =
      Step.BestEffort_ && Usage_.isOnlyTaskOfJob(Id);
  Bind.Checkpoints_ = Step.Checkpoints_;
  Bind.Image_ = Step.Image_;
  Bind.TailTarget_ = Step.TailTarget_;
  Out.push_back(SendToAgent{To.Session_, std::move(Bind)});
}

// Reports and failures of agents.

auto ShardOwner::agentJoined(Moment Now, Target &Joined, EntryOutbox &Out)
    -> void {
  if (!owning())
    return;
  // What was sent on an earlier connection may be lost.
  for (const auto &Id : Stops_.tasks()) {
    const auto *Task = state().findTask(Id);
    if (Task != nullptr && Task->Agent_ == Joined.agent())
      Stops_.hasten(Now.Steady_, Id);
  }
  sendStops(Now, Out);
  if (releasing())
    return;
  // The agent may hold ends of tasks that are bound elsewhere by now.
  sendOwnershipClaim(Now, Joined, Out);
}

auto ShardOwner::ownershipConfirmed(Moment Now, Target &From,
                                    const ConfirmOwnership &Confirm,
                                    EntryOutbox &Out) -> void {
  if (!owning() || releasing() || Confirm.Epoch_ != Ledger_.epoch() ||
      From.ClaimedShards_.count(Shard_) == 0 ||
      Confirm.Worker_ != From.Hello_.Worker_)
    return;
  // Only the first confirmation on a connection shows which tasks the agent
  // doesn't hold: a later one may have been sent before the agent received a
  // task that was bound in the meantime. A later one counts for the tasks that
  // the first one couldn't show.
  const auto First = From.ConfirmedShards_.insert(Shard_).second;
  std::set<std::pair<TaskId, AttemptNumber>> HeldAttempts;
  for (const auto &Report : Confirm.HeldTasks_) {
    HeldAttempts.insert({Report.Task_, Report.Attempt_});
    taskReported(Now, From, Report, Out);
  }
  for (auto &[Id, Delivery] : Bound_) {
    const auto *Task = state().findTask(Id);
    const auto Missing = Task != nullptr && Task->State_ == TaskState::Bound &&
                         (First || Delivery.Unlisted_) &&
                         Task->Agent_ == From.agent() &&
                         workerOf(*Task, Delivery) == From.Hello_.Worker_ &&
                         HeldAttempts.count({Id, Task->Attempt_}) == 0 &&
                         Proposed_.count(Id) == 0;
    if (!Missing)
      continue;
    if (!Delivery.Unlisted_)
      Delivery.NextUnlistedStop_ = Now.Steady_ + UnlistedTimeout;
    Delivery.Unlisted_ = Confirm.MoreEnds_;
    if (Confirm.MoreEnds_)
      continue;
    log("task-missing-at-agent", Id.text(), ErrorKind::WorkerGone,
        "attempt " + std::to_string(Task->Attempt_) + " at " +
            From.agent().Value_ + ", epoch " + std::to_string(Confirm.Epoch_),
        Out);
    requeue(Now, Id, ErrorKind::WorkerGone, Task->Checkpoint_, false);
  }
  Ledger_.advance();
}

auto ShardOwner::failureLimitOf(const Job &Job) const -> std::uint32_t {
  return Job.Declaration_.FailureLimit_ > 0
             ? Job.Declaration_.FailureLimit_
             : Context_.Configuration_.Document_.Policy_.TaskFailureLimit_;
}

auto ShardOwner::requeue(Moment Now, const TaskId &Id, ErrorKind Reason,
                         const CheckpointId &Checkpoint, bool Failed) -> void {
  const auto &Job = *state().findJob(Id.Job_);
  const auto &Task = Job.task(Id);
  const auto Limit = failureLimitOf(Job);
  auto Change = makeChange(Task, TaskState::Pending, Reason, Now);
  Change.Checkpoint_ = Checkpoint;
  if (Failed) {
    ++Change.Failures_;
    NotBefore_[Id] =
        Now.Steady_ +
        std::min(MaxFailureBackoff,
                 FailureBackoff * (1U << std::min(Task.Failures_, 7U)));
  }
  if (!Job.stepOf(Id).LongRunning_ && Change.Failures_ >= Limit)
    Change.State_ = TaskState::Failed;
  if (Job.isClosed())
    Change.State_ = TaskState::Cancelled;
  propose(Id, std::move(Change));
}

auto ShardOwner::taskReported(Moment Now, Target &From,
                              const TaskReport &Report, EntryOutbox &Out)
    -> void {
  // Agents repeat their reports to the next owner. A record for each one would
  // delay the release for as long as tasks end.
  if (!owning() || releasing())
    return;
  if (hasBegun(Report))
    Ledger_.recordStart(Report.Task_);
  const auto *Task = state().findTask(Report.Task_);
  const auto Current = Task != nullptr && Task->State_ == TaskState::Bound &&
                       Task->Attempt_ == Report.Attempt_ &&
                       Task->Agent_ == From.agent();
  if (!Current) {
    handleStaleReport(Now, From, Report, Out);
    return;
  }
  auto &Delivery = Bound_[Report.Task_];
  Delivery.Sent_ = true;
  Delivery.Reported_ = true;
  Delivery.Unlisted_ = false;
  Delivery.Worker_ = From.Hello_.Worker_;
  if (isEnded(Report.Phase_))
    Delivery.ReportedEnd_ = Report.Phase_;
  if (Report.Phase_ == TaskPhase::Running &&
      !state().findJob(Report.Task_.Job_)->stepOf(Report.Task_).LongRunning_)
    Waits_.enter(Now.Steady_, Report.Task_, TaskWait::Run);
  const WorkerKey Worker{From.agent(), Delivery.Worker_};
  recordForBlame(Now, Worker, Report, *Task);
  if (hasBegun(Report))
    Refusals_.started(Worker);
  else if (Report.Phase_ == TaskPhase::NotStarted &&
           Report.Reason_ == ErrorKind::WorkerGone)
    Refusals_.refused(Now.Steady_, Worker);
  if (Report.NeedsBinding_ && !isEnded(Report.Phase_) &&
      !state().findJob(Report.Task_.Job_)->isClosed())
    sendBind(Now, Report.Task_, From, Out);
  if (!isEnded(Report.Phase_) || Proposed_.count(Report.Task_) != 0)
    return;
  handleTaskEnd(Now, From, Report, Out);
  Ledger_.advance();
}

auto ShardOwner::handleStaleReport(Moment Now, const Target &From,
                                   const TaskReport &Report, EntryOutbox &Out)
    -> void {
  const auto &Id = Report.Task_;
  const auto *Job = state().findJob(Id.Job_);
  const auto *Task = state().findTask(Id);
  log("report-not-current", Id.text(), Report.Reason_,
      "attempt " + std::to_string(Report.Attempt_) + " " +
          std::string(taskPhaseText(Report.Phase_)) + " at " +
          From.agent().Value_ + "; epoch " + std::to_string(Ledger_.epoch()) +
          " has " +
          (Task == nullptr ? std::string("no such task")
                           : std::string(taskStateText(Task->State_)) +
                                 " attempt " + std::to_string(Task->Attempt_) +
                                 " at " + Task->Agent_.Value_) +
          (Proposed_.count(Id) != 0 ? ", change being committed" : ""),
      Out);
  const auto Verified =
      (Task != nullptr && Report.Attempt_ <= Task->Attempt_) ||
      isVerifiedSince(From, Report);
  // The end of the job, which is being committed, cancels a pending task.
  const auto Closing =
      Cancelling_.count(Id.Job_) != 0 || Failing_.count(Id.Job_) != 0;
  const auto Action = chooseStaleReportAction(
      Task, Report, Task != nullptr && Job->stepOf(Id).LongRunning_,
      Closing ||
          (Proposed_.count(Id) != 0 && !(Verified && withdrawBinding(Report))),
      Verified);
  if (Action == StaleReportAction::RecordFinish) {
    propose(Id, makeChange(*Task, TaskState::Finished, ErrorKind::None, Now));
    Ledger_.advance();
  } else if (Action == StaleReportAction::Wait &&
             Report.Phase_ == TaskPhase::Finished) {
    FinishReported_.insert(Id);
  } else if (Action == StaleReportAction::Acknowledge) {
    Out.push_back(SendToAgent{
        From.Session_, TaskReportAck{Id, Report.Attempt_, Report.Phase_}});
  } else if (Action == StaleReportAction::Stop) {
    Out.push_back(SendToAgent{From.Session_, StopTask{Shard_, Ledger_.epoch(),
                                                      Id, Report.Attempt_,
                                                      ErrorKind::StaleEpoch}});
  }
}

auto ShardOwner::handleVerifiedReports(Moment Now, EntryOutbox &Out) -> void {
  std::vector<UnverifiedReport> Verified;
  for (const auto &Each : Unverified_)
    if (Each.second.Verification_ <= Ledger_.lastVerification() &&
        !isEnded(Each.second.Report_.Phase_))
      Verified.push_back(Each.second);
  for (const auto &[Agent, Report, Verification] : Verified) {
    auto *From = Context_.Targets_.findAgent(Agent);
    if (From != nullptr)
      taskReported(Now, *From, Report, Out);
    Unverified_.erase({Report.Task_, Report.Attempt_});
  }
}

auto ShardOwner::isVerifiedSince(const Target &From, const TaskReport &Report)
    -> bool {
  const auto Found =
      Unverified_
          .try_emplace({Report.Task_, Report.Attempt_},
                       UnverifiedReport{From.agent(), Report,
                                        Ledger_.nextVerification()})
          .first;
  Found->second.Agent_ = From.agent();
  Found->second.Report_ = Report;
  if (Ledger_.lastVerification() < Found->second.Verification_) {
    Ledger_.verifyOwnership();
    Ledger_.advance();
    return false;
  }
  Unverified_.erase(Found);
  return true;
}

auto ShardOwner::withdrawBinding(const TaskReport &Report) -> bool {
  const auto &Id = Report.Task_;
  if (Report.Phase_ != TaskPhase::Finished)
    return false;
  const auto Withdrawn = Ledger_.withdraw([&](const LedgerRecord &Record) {
    const auto *Change = std::get_if<TaskChanged>(&Record);
    return Change != nullptr && Change->Task_ == Id &&
           Change->State_ == TaskState::Bound;
  });
  if (!Withdrawn)
    return false;
  Proposed_.erase(Id);
  Usage_.release(*state().findJob(Id.Job_), Id);
  return true;
}

auto ShardOwner::handleTaskEnd(Moment Now, Target &From,
                               const TaskReport &Report, EntryOutbox &Out)
    -> void {
  const auto &Job = *state().findJob(Report.Task_.Job_);
  const auto Failed = Report.Phase_ == TaskPhase::Failed;
  if (Failed || Report.Phase_ == TaskPhase::Finished)
    recordOutcome(Now, From, Report.Task_, Failed, Out);
  if (Report.Phase_ == TaskPhase::Stopped &&
      Report.Reason_ != ErrorKind::Cancelled)
    ++Context_.Counters_.Evictions_;
  if (Report.Phase_ == TaskPhase::NotStarted &&
      Report.Reason_ == ErrorKind::Evicted)
    From.NoBestEffortUntil_ = Now.Steady_ + BestEffortRetryDelay;
  // It is unknown how far the task got before its worker stopped answering.
  if (Report.Phase_ == TaskPhase::Stopped &&
      Report.Reason_ == ErrorKind::WorkerGone) {
    handleLostTask(Now, Report.Task_, Report.Checkpoint_);
    return;
  }
  const auto Done = Report.Phase_ == TaskPhase::Finished &&
                    !Job.stepOf(Report.Task_).LongRunning_;
  if (!Done) {
    requeue(Now, Report.Task_, Report.Reason_, Report.Checkpoint_, Failed);
    return;
  }
  auto Change = makeChange(Job.task(Report.Task_), TaskState::Finished,
                           ErrorKind::None, Now);
  propose(Report.Task_, std::move(Change));
}

auto ShardOwner::recordOutcome(Moment Now, const Target &From,
                               const TaskId &Task, bool Failed,
                               EntryOutbox &Out) -> void {
  const WorkerKey Worker{From.agent(), From.Hello_.Worker_};
  if (!Failed) {
    Outliers_.finished(Now.Steady_, Worker, stepKeyOf(Task));
    return;
  }
  const auto Before = Outliers_.standingOf(Now.Steady_, Worker);
  Outliers_.failed(Now.Steady_, Worker, stepKeyOf(Task),
                   Context_.Targets_.size());
  const auto After = Outliers_.standingOf(Now.Steady_, Worker);
  if (After == Before || After != OutlierDetector::Standing::Ejected)
    return;
  ++Context_.Counters_.WorkersEjected_;
  log("worker-ejected", From.agent().Value_, ErrorKind::TaskFailed,
      "tasks fail on worker " + std::to_string(Worker.Worker_) + ", last " +
          Task.text(),
      Out);
}

auto ShardOwner::checkBoundTask(Moment Now, const TaskId &Id,
                                BindDelivery &Delivery, EntryOutbox &Out)
    -> void {
  const auto &Job = *state().findJob(Id.Job_);
  const auto &Task = Job.task(Id);
  if (Task.State_ != TaskState::Bound || Proposed_.count(Id) != 0)
    return;
  noteReturned(Task.SilentLosses_);
  auto *BoundTo = Context_.Targets_.findAgent(Task.Agent_);
  const auto Present = BoundTo != nullptr &&
                       BoundTo->Hello_.Worker_ == workerOf(Task, Delivery) &&
                       BoundTo->ConfirmedShards_.count(Shard_) != 0;
  if (Present) {
    if (!BoundTo->Leaving_)
      Crashes_.responsive({Task.Agent_, Task.Worker_}, BoundTo->LastSeenAt_);
    if (!Delivery.Reported_ && !Delivery.Unlisted_ && !isClosing(Job) &&
        Delivery.SentAt_ + ResendInterval < Now.Steady_)
      sendBind(Now, Id, *BoundTo, Out);
    if (Delivery.Unlisted_ && !Job.isClosed())
      stopUnlisted(Now, Id, Delivery, *BoundTo, Out);
    return;
  }
  const auto Worker = workerOf(Task, Delivery);
  Delivery = {};
  Delivery.Worker_ = Worker;
  // An agent that joined before the task was bound to it has not been asked yet
  // which tasks of this shard it holds.
  if (BoundTo != nullptr && BoundTo->Hello_.Worker_ == Worker) {
    sendOwnershipClaim(Now, *BoundTo, Out);
    return;
  }
  // The agent has confirmed this owner and has a newer worker: the one that the
  // task was bound to has ended, and its tasks with it.
  if (BoundTo != nullptr && BoundTo->Hello_.Worker_ > Worker &&
      BoundTo->ConfirmedShards_.count(Shard_) != 0) {
    handleCrashedTask(Now, Id, Out);
    return;
  }
  if (BoundTo != nullptr)
    sendOwnershipClaim(Now, *BoundTo, Out);
  // The worker stops the task by itself once the task's lease has expired; only
  // then may the task be bound to another worker.
  const auto LeaseDuration = withClockMargin(
      Context_.Configuration_.Document_.Policy_.TaskLeaseDuration_);
  const auto GrantExpiry =
      std::max(Context_.Grants_.expiryOf({Task.Agent_, Worker}),
               Ledger_.oldGrantsUntil() + LeaseDuration);
  if (Now.Steady_ > GrantExpiry ||
      isMutationActive(Mutation::ResumeBeforeLeaseEnds))
    handleLostTask(Now, Id, {});
}

auto ShardOwner::makeLossChange(Moment Now, const TaskId &Id) -> TaskChanged {
  const auto &Job = *state().findJob(Id.Job_);
  const auto &Task = Job.task(Id);
  if (!Job.Declaration_.RerunWhenLost_ && !Job.stepOf(Id).LongRunning_)
    return makeChange(Task, TaskState::Failed, ErrorKind::OutcomeUnknown, Now);
  return makeChange(Task,
                    Job.isClosed() ? TaskState::Cancelled : TaskState::Pending,
                    ErrorKind::WorkerGone, Now);
}

auto ShardOwner::handleLostTask(Moment Now, const TaskId &Id,
                                const CheckpointId &NewerCheckpoint) -> void {
  const auto &Task = *state().findTask(Id);
  auto Change = makeLossChange(Now, Id);
  if (!NewerCheckpoint.empty())
    Change.Checkpoint_ = NewerCheckpoint;
  const auto Crash =
      Crashes_.tallyFor({Task.Agent_, workerOf(Task, Bound_[Id])}, Id,
                        state().findJob(Id.Job_)->stepOf(Id).LongRunning_);
  if (Crash.Blame_ > 0)
    Change.SilentLosses_.push_back({Task.Agent_, Task.Worker_, Crash});
  propose(Id, std::move(Change));
}

auto ShardOwner::handleCrashedTask(Moment Now, const TaskId &Id,
                                   EntryOutbox &Out) -> void {
  const auto &Task = *state().findTask(Id);
  const WorkerKey Worker{Task.Agent_, workerOf(Task, Bound_[Id])};
  auto Change = makeLossChange(Now, Id);
  settleSilentLosses(Id, Change, Out);
  blame(Id, Worker,
        Crashes_.tallyFor(Worker, Id,
                          state().findJob(Id.Job_)->stepOf(Id).LongRunning_),
        Change, Out);
  propose(Id, std::move(Change));
}

auto ShardOwner::blame(const TaskId &Id, const WorkerKey &Worker,
                       const CrashTally &Crash, TaskChanged &Change,
                       EntryOutbox &Out) -> void {
  if (Crash.Blame_ == 0)
    return;
  ++Context_.Counters_.CrashesBlamed_;
  Change.Crashes_ += Crash;
  const auto GivenUp =
      isGivenUp(Change.Crashes_) && (Change.State_ == TaskState::Pending ||
                                     Change.State_ == TaskState::Bound);
  log(GivenUp ? "task-given-up" : "crash-blamed", Id.text(),
      ErrorKind::WorkerGone,
      "attempt " + std::to_string(Change.Attempt_) + ", worker " +
          std::to_string(Worker.Worker_) + " at " + Worker.Agent_.Value_ +
          ", blame " + std::to_string(Crash.Blame_) + ", in all " +
          std::to_string(Change.Crashes_.Blame_) + " of " +
          std::to_string(Blame::Limit) + " in " +
          std::to_string(Change.Crashes_.Crashes_) + " crashes, running in " +
          std::to_string(Change.Crashes_.SeenRunning_),
      Out);
  if (!GivenUp)
    return;
  ++Context_.Counters_.TasksGivenUp_;
  Change.State_ = TaskState::Failed;
  Change.Reason_ = ErrorKind::WorkerGone;
}

auto ShardOwner::settleSilentLosses(const TaskId &Id, TaskChanged &Change,
                                    EntryOutbox &Out) -> void {
  noteReturned(Change.SilentLosses_);
  auto &Losses = Change.SilentLosses_;
  for (auto Each = Losses.begin(); Each != Losses.end();) {
    const auto *Agent = Context_.Targets_.findAgent(Each->Agent_);
    const auto Confirmed =
        Agent != nullptr && Agent->ConfirmedShards_.count(Shard_) != 0;
    const WorkerKey Worker{Each->Agent_, Each->Worker_};
    const auto Returned = Returned_.count(Worker) != 0;
    const auto Crashed =
        !Returned && Confirmed && Agent->Hello_.Worker_ > Each->Worker_;
    if (Crashed)
      blame(Id, Worker, Each->Crash_, Change, Out);
    Each = Crashed || Returned ? Losses.erase(Each) : std::next(Each);
  }
}

auto ShardOwner::noteReturned(const std::vector<SilentLoss> &Losses) -> void {
  for (const auto &Each : Losses) {
    const auto *Agent = Context_.Targets_.findAgent(Each.Agent_);
    const auto Answers = Agent != nullptr && Agent->HeartbeatSequence_ != 0 &&
                         Agent->Hello_.Worker_ == Each.Worker_ &&
                         !Agent->Leaving_;
    if (Answers)
      Returned_.insert({Each.Agent_, Each.Worker_});
  }
}

auto ShardOwner::settlePending(Moment Now, const TaskId &Id, EntryOutbox &Out)
    -> bool {
  const auto &Task = *state().findTask(Id);
  if (Task.SilentLosses_.empty())
    return false;
  auto Change =
      makeChange(Task, TaskState::Pending, ErrorKind::WorkerGone, Now);
  settleSilentLosses(Id, Change, Out);
  if (Change.Crashes_.Crashes_ == Task.Crashes_.Crashes_)
    return false;
  propose(Id, std::move(Change));
  return true;
}

auto ShardOwner::recordForBlame(Moment Now, const WorkerKey &Worker,
                                const TaskReport &Report,
                                const TaskStatus &Task) -> void {
  if (Report.Phase_ == TaskPhase::Running)
    Crashes_.running(Worker, Report.Task_, Now.Steady_, possibleBlame(Task));
  else if (isEnded(Report.Phase_) && Report.Reason_ != ErrorKind::WorkerGone)
    Crashes_.ended(Worker, Report.Task_);
}

auto ShardOwner::isClosing(const Job &Each) const -> bool {
  return Each.isClosed() || Cancelling_.count(Each.Id_) != 0 ||
         Failing_.count(Each.Id_) != 0;
}

auto ShardOwner::checkBoundTasks(Moment Now, EntryOutbox &Out) -> void {
  for (auto &[Id, Delivery] : Bound_)
    checkBoundTask(Now, Id, Delivery, Out);
}

auto ShardOwner::sendStops(Moment Now, EntryOutbox &Out) -> void {
  for (const auto &Turn : Stops_.takeDue(Now.Steady_, MaxStopsPerPass)) {
    const auto *Task = state().findTask(Turn.Task_);
    if (Task == nullptr || Task->State_ != TaskState::Bound) {
      Stops_.remove(Turn.Task_);
      continue;
    }
    const auto *BoundTo = Context_.Targets_.findAgent(Task->Agent_);
    if (BoundTo != nullptr)
      sendStop(Turn, *Task, *BoundTo, Out);
    if (!Turn.NewlyOverdue_)
      continue;
    ++Context_.Counters_.StopsOverdue_;
    logOverdueStop(Turn, *Task, BoundTo, Out);
  }
}

auto ShardOwner::sendStop(const StopSchedule::Due &Turn, const TaskStatus &Task,
                          const Target &To, EntryOutbox &Out) -> void {
  ++Context_.Counters_.StopsSent_;
  Stops_.recordSent(Turn.Task_);
  Out.push_back(
      SendToAgent{To.Session_, StopTask{Shard_, Ledger_.epoch(), Turn.Task_,
                                        Task.Attempt_, ErrorKind::Cancelled}});
  log("stop-sent", Turn.Task_.text(), ErrorKind::Cancelled,
      "attempt " + std::to_string(Task.Attempt_) + " at " + Task.Agent_.Value_ +
          ", " + std::to_string(Turn.Elapsed_.count()) + " ms, try " +
          std::to_string(Turn.Sent_ + 1),
      Out);
}

auto ShardOwner::stopUnlisted(Moment Now, const TaskId &Id,
                              BindDelivery &Delivery, const Target &To,
                              EntryOutbox &Out) -> void {
  if (Now.Steady_ < Delivery.NextUnlistedStop_)
    return;
  constexpr std::uint32_t MaxDoublings = 4;
  Delivery.NextUnlistedStop_ =
      Now.Steady_ +
      StopRepeatInterval *
          (1U << std::min(Delivery.UnlistedStops_++, MaxDoublings));
  const auto &Task = *state().findTask(Id);
  Out.push_back(
      SendToAgent{To.Session_, StopTask{Shard_, Ledger_.epoch(), Id,
                                        Task.Attempt_, ErrorKind::WorkerGone}});
  log("unlisted-stopped", Id.text(), ErrorKind::WorkerGone,
      "attempt " + std::to_string(Task.Attempt_) + " at " + Task.Agent_.Value_,
      Out);
}

auto ShardOwner::logOverdueStop(const StopSchedule::Due &Turn,
                                const TaskStatus &Task, const Target *BoundTo,
                                EntryOutbox &Out) const -> void {
  const auto Delivery = Bound_.find(Turn.Task_);
  const auto *Why = "its agent reports no end";
  if (BoundTo == nullptr)
    Why = "its agent isn't connected";
  else if (Proposed_.count(Turn.Task_) != 0)
    Why = "its end is being committed";
  else if (BoundTo->ConfirmedShards_.count(Shard_) == 0)
    Why = "its agent hasn't confirmed this owner";
  else if (Delivery != Bound_.end() && !Delivery->second.Reported_)
    Why = "its agent hasn't reported it";
  log("stop-overdue", Turn.Task_.text(), ErrorKind::Cancelled,
      "attempt " + std::to_string(Task.Attempt_) + " at " + Task.Agent_.Value_ +
          ", " + std::to_string(Turn.Elapsed_.count()) + " ms, stops sent " +
          std::to_string(Turn.Sent_ + (BoundTo != nullptr ? 1 : 0)) + ": " +
          Why,
      Out);
}

auto ShardOwner::ledgerSize() const -> LedgerSize {
  LedgerSize Size;
  if (!owning())
    return Size;
  Size.Jobs_ = state().jobs().size();
  Size.EndedJobs_ = Ended_.size();
  Size.SnapshotBytes_ = Ledger_.snapshotSize();
  Size.CommitBytes_ = Ledger_.commitsSize();
  return Size;
}

auto ShardOwner::removeExpired(Moment Now, EntryOutbox &Out) -> void {
  if (Now.Steady_ < NextRemoval_)
    return;
  NextRemoval_ = Now.Steady_ + RemovalInterval;
  Outliers_.prune(Now.Steady_);
  Refusals_.prune(Now.Steady_);
  const auto Retention =
      Context_.Configuration_.Document_.Policy_.KeyRetention_ + 3 * Day;
  for (const auto &[Key, Claim] : state().claims())
    if (!Claim.Open_ && Claim.At_ + Retention < Now.Wall_)
      Ledger_.append(ClaimRemoved{Key});
  removeEndedJobs(Now, Out);
  for (const auto &Id : CancelledIds_.expired(Now.Steady_))
    if (Submitting_.count(Id) == 0 && Cancelling_.count(Id) == 0)
      Ledger_.append(JobRemoved{Id});
}

auto ShardOwner::removeEndedJobs(Moment Now, EntryOutbox &Out) -> void {
  const auto Removed = Ended_.takeExpired(
      Now.Steady_, Context_.Configuration_.Document_.Policy_.JobStatusTime_,
      MaxRemovalsPerPass);
  for (const auto &Each : Removed)
    Ledger_.append(JobRemoved{Each.Job_});
  if (isMutationActive(Mutation::RemoveJobsByWallClock))
    for (const auto &[Id, Each] : state().jobs())
      if (state().progressOf(Id).isOver() &&
          Each.SubmittedAt_ + Day < Now.Wall_)
        Ledger_.append(JobRemoved{Id});
  if (Removed.empty())
    return;
  Context_.Counters_.JobsRemoved_ += Removed.size();
  const auto AgeText = [](const EndedJobs::Removal &Each) {
    return std::to_string(
        std::chrono::duration_cast<Seconds>(Each.Age_).count());
  };
  log("jobs-removed", std::to_string(Shard_), ErrorKind::None,
      std::to_string(Removed.size()) + " of " +
          std::to_string(state().jobs().size()) +
          " jobs, known to be over for " + AgeText(Removed.front()) + " to " +
          AgeText(Removed.back()) + " s by the owner's steady clock",
      Out);
}

auto ShardOwner::logTakeoverEnd(Moment Now, OwnershipLoss Reason,
                                EntryOutbox &Out) -> void {
  ++Context_.Counters_.TakeoversEnded_;
  if (Now.Steady_ < NextTakeoverLog_)
    return;
  NextTakeoverLog_ = Now.Steady_ + TakeoverLogInterval;
  log("takeover-ended", std::to_string(Shard_), ErrorKind::StaleEpoch,
      "epoch " + std::to_string(Ledger_.epoch()) + ", " +
          std::string(ownershipLossText(Reason)) + ", " +
          Ledger_.loadProgress(),
      Out);
}

auto ShardOwner::handleOwnershipLoss(OwnershipLoss Reason, EntryOutbox &Out)
    -> void {
  log("shard-given-up", std::to_string(Shard_), ErrorKind::StaleEpoch,
      "epoch " + std::to_string(Ledger_.epoch()) + ", " +
          std::string(ownershipLossText(Reason)),
      Out);
  for (const auto &[Key, Claim] : PendingClaims_)
    refuse(Claim.Token_, ErrorKind::KeyNotChecked, Key.Value_, Out);
  PendingClaims_.clear();
  SubmitCallers_.refuseAll(Out);
  CancelCallers_.refuseAll(Out);
  Queries_.refuseAll(Shard_, Out);
  for (auto *Each : Context_.Targets_.all()) {
    Each->ClaimedShards_.erase(Shard_);
    Each->ConfirmedShards_.erase(Shard_);
    Each->GrantedShards_.erase(Shard_);
  }
  Indexed_ = false;
}

auto ShardOwner::dropOwnership(Moment Now, EntryOutbox &Out) -> void {
  Ledger_.abandon();
  afterStoreCall(Now, Out);
}

auto ShardOwner::afterStoreCall(Moment Now, EntryOutbox &Out) -> void {
  if (!owning()) {
    const auto Loss = Ledger_.takeLoss();
    if (Indexed_)
      handleOwnershipLoss(Loss, Out);
    else if (Loss != OwnershipLoss::None)
      logTakeoverEnd(Now, Loss, Out);
    return;
  }
  Proof_.update(Ledger_);
  if (!Indexed_) {
    reindex(Now);
    log("shard-taken", std::to_string(Shard_), ErrorKind::None,
        "epoch " + std::to_string(Ledger_.epoch()) + ", " +
            std::to_string(state().jobs().size()) + " jobs, " +
            std::to_string(Bound_.size()) + " tasks bound",
        Out);
    for (auto *Each : Context_.Targets_.all())
      if (!releasing())
        sendOwnershipClaim(Now, *Each, Out);
  }
  for (const auto &Record : Ledger_.takeRefused())
    std::visit([&](const auto &Each) { refused(Each, Out); }, Record);
  const auto Committed = Ledger_.takeCommitted();
  for (const auto &Record : Committed)
    std::visit([&](const auto &Each) { committed(Now, Each, Out); }, Record);
  indexReadySteps(Now.Steady_);
  Queries_.requestProof(Now.Steady_, Proof_, Ledger_);
  Queries_.answerProved(
      Now.Steady_, Ledger_,
      [&](CallerToken Token, const ShardQuery &Query) {
        return answerFromState(Token, Query, Out);
      },
      Out);
  // Every record except one that binds a task may make tasks ready or free
  // resources, so that more tasks can be bound at once.
  const auto MayBindMore =
      std::any_of(Committed.begin(), Committed.end(), [](const auto &Record) {
        const auto *Change = std::get_if<TaskChanged>(&Record);
        return Change == nullptr || Change->State_ != TaskState::Bound;
      });
  if (MayBindMore)
    BindDue_ = true;
  sendStops(Now, Out);
  handleVerifiedReports(Now, Out);
  Ledger_.advance();
}

auto ShardOwner::bindIfDue(Moment Now, Random &Generator, EntryOutbox &Out)
    -> void {
  if (!BindDue_ || !MayGrant_ || !acceptsRequests() || releasing())
    return;
  BindDue_ = false;
  bindPending(Now, Generator, Out);
  Ledger_.advance();
}

auto ShardOwner::tick(Moment Now, bool MayGrant, Random &Generator,
                      EntryOutbox &Out) -> void {
  afterStoreCall(Now, Out);
  expireWaitingCallers(Now, Out);
  MayGrant_ = MayGrant;
  Ledger_.retryLoad(Now);
  if (!owning())
    return;
  if (Now.Steady_ >= NextVerify_) {
    NextVerify_ = Now.Steady_ + VerifyInterval;
    Proof_.request(Now.Steady_, Ledger_);
  }
  if (Draining_ && drained())
    Ledger_.release(Now);
  if (MayGrant && !releasing() && Now.Steady_ >= NextPass_) {
    NextPass_ = Now.Steady_ + PassInterval;
    checkBoundTasks(Now, Out);
    if (!Draining_) {
      bindPending(Now, Generator, Out);
      removeExpired(Now, Out);
    }
  }
  Ledger_.advance();
}

} // namespace skylark
