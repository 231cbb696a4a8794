#include "core/ShardOwner.h"

#include "core/Assert.h"
#include "core/Mutation.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <utility>

namespace skylark {
namespace {

/// Tasks bound in one pass, so that one shard can't hold up the others.
constexpr int BindLimit = 64;
/// Pending tasks looked at in one pass.
constexpr std::size_t ScanLimit = 4000;
/// Where nothing has changed, passes over the pending tasks and looks after
/// bound ones are this far apart.
constexpr Millis PassEvery{150};
/// Sizes of task that find no room before a pass ends.
constexpr int MissLimit = 48;
/// Workers looked at for one task in a large fleet.
constexpr std::size_t DrawCount = 24;
/// Bound tasks that may wait in one agent's queue.
constexpr std::uint32_t QueueLimit = 4;
constexpr Millis ResendAfter{2000};
/// How long a filling task waits for a place where it disturbs nobody; a task
/// that doesn't run for three seconds beside free room counts as forgotten.
constexpr Millis QuietPlaceWithin{2500};
/// How long a lasting task leaves the last room to short work.
constexpr Millis AnyRoomWithin{4000};
constexpr Millis CallerPatience{5000};
/// First delay before a task that failed again and again is tried once more.
constexpr Millis FailureBackoff{50};
constexpr Millis LongestFailureBackoff{5000};
constexpr Millis ForgetEvery{60000};
/// An owner with nothing to write learns of its successor after this time.
constexpr Millis VerifyEvery{10000};
constexpr std::uint32_t QuarantineAfter = 4;
constexpr Seconds QuarantineFor{20};
constexpr std::uint32_t MaxTasks = 20000;
/// Answers above this size, in bytes, are not kept with their claim.
constexpr std::size_t KeptAnswerSize = std::size_t{16} * 1024;
/// Records that may wait for a commit before new work is refused.
constexpr std::size_t QueuedRecordLimit = 20000;
constexpr std::size_t KeySizeLimit = 64;
constexpr std::size_t KeyDateSize = 8;
constexpr Seconds Day{24 * 3600};
/// Growth of a tail's logarithm below which nobody is disturbed.
constexpr double NoticedPress = 0.03;
/// Share of a target up to which a tail may be planned to go.
constexpr double PlannedShare = 0.9;
/// How long the last look at a worker's serving tasks counts.
constexpr Millis FiguresFreshFor{2000};
/// Pause after an agent had no room for work that fills.
constexpr Millis NoFillersFor{1000};

auto keyDate(const IdempotencyKey &Key) -> std::optional<WallTime> {
  const auto &Text = Key.Value_;
  if (Text.size() <= KeyDateSize + 1 || Text.size() > KeySizeLimit ||
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

auto jobIdOf(ShardNumber Shard, std::uint64_t Number) -> JobId {
  char Text[32];
  std::snprintf(Text, sizeof Text, "j%u-%016llx", Shard,
                static_cast<unsigned long long>(Number));
  return {Text};
}

auto refuse(CallerToken Token, ErrorKind Kind, std::string Detail,
            EntryOutbox &Out) -> void {
  Out.push_back(AnswerCaller{Token, ErrorReply{Kind, std::move(Detail), {}}});
}

/// The answer to a caller who asked for, or changed, one job.
auto jobAnswer(const Job &Each, bool StateOnly) -> CallerReply {
  if (StateOnly)
    return JobStateReply{jobState(Each)};
  return JobReply{Each};
}

auto changeOf(const TaskStatus &Task, TaskState State, ErrorKind Reason,
              Moment Now) -> TaskChanged {
  TaskChanged Change;
  Change.State_ = State;
  Change.Attempt_ = Task.Attempt_;
  Change.Agent_ = Task.Agent_;
  Change.Worker_ = Task.Worker_;
  Change.Checkpoint_ = Task.Checkpoint_;
  Change.Failures_ = Task.Failures_;
  Change.Reason_ = Reason;
  Change.At_ = Now.Wall_;
  if (!Task.History_.empty())
    Change.DataCentre_ = Task.History_.back().DataCentre_;
  return Change;
}

} // namespace

auto RunGrants::extend(const WorkerKey &Worker, TimePoint Until) -> void {
  auto &Known = Until_[Worker];
  Known = std::max(Known, Until);
}

auto RunGrants::until(const WorkerKey &Worker) const -> TimePoint {
  const auto Found = Until_.find(Worker);
  return Found == Until_.end() ? TimePoint{} : Found->second;
}

auto RunGrants::prune(TimePoint Before) -> void {
  for (auto Each = Until_.begin(); Each != Until_.end();)
    Each = Each->second < Before ? Until_.erase(Each) : std::next(Each);
}

auto shardOf(const std::string &Key, ShardNumber ShardCount) -> ShardNumber {
  return static_cast<ShardNumber>(digest64(Key) % ShardCount);
}

auto shardOf(const JobId &Id, ShardNumber ShardCount) -> ShardNumber {
  unsigned Shard = ShardCount;
  if (std::sscanf(Id.Value_.c_str(), "j%u-", &Shard) != 1)
    return ShardCount;
  return std::min<ShardNumber>(Shard, ShardCount);
}

ShardOwner::ShardOwner(LedgerIdentity Identity, StorePort &Store,
                       ShardView View)
    : Shard_(Identity.Shard_), Ledger_(std::move(Identity), Store),
      View_(View) {}

auto ShardOwner::take(LedgerWriter::TakeRule MayTake) -> void {
  Indexed_ = false;
  Draining_ = false;
  Ledger_.take(std::move(MayTake));
}

auto ShardOwner::log(std::string_view Event, std::string Subject,
                     ErrorKind Reason, std::string Detail,
                     EntryOutbox &Out) const -> void {
  Out.push_back(LogDecision{Event, std::move(Subject),
                            View_.Configuration_.Head_.Revision_, Reason,
                            std::move(Detail)});
}

auto ShardOwner::quiet() const -> bool {
  return Ledger_.queued() == 0 && PendingClaims_.empty() && Dispatched_.empty();
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
  // A key's date bounds its life: a claim is kept longer than its key is
  // taken, so no key is ever forgotten and then run.
  const auto Retention = View_.Configuration_.Document_.Policy_.KeyRetention_;
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
  const auto *Known = Closing != Closing_.end() ? &Closing->second
                                                : state().findClaim(Quick.Key_);
  if (Known != nullptr && Known->RequestDigest_ != Digest) {
    refuse(Token, ErrorKind::KeyReused, Quick.Key_.Value_, Out);
    return;
  }
  const auto DidNotRun =
      Known != nullptr && !Known->Open_ &&
      errorAnswer(Known->Error_).Execution_ == Execution::NotRun;
  if (DidNotRun && Closing != Closing_.end()) {
    refuse(Token, ErrorKind::KeyInProgress, Quick.Key_.Value_, Out);
    return;
  }
  if (Known != nullptr && !DidNotRun) {
    answerClaim(Token, *Known, Out);
    return;
  }
  if (Ledger_.queued() >= QueuedRecordLimit) {
    refuse(Token, ErrorKind::KeyNotChecked, "ledger of the shard", Out);
    return;
  }
  PendingClaims_[Quick.Key_] = {Token, Request, Quick,
                                Now.Steady_ + Quick.Within_};
  Ledger_.append(ClaimOpened{Quick.Key_, Digest, Request, Now.Wall_});
  if (isBroken(Mutation::DispatchBeforeClaim)) {
    PendingClaims_.erase(Quick.Key_);
    Dispatched_.insert(Request);
    Claimed_.push_back({Request, Token, Quick});
  }
  Ledger_.advance();
}

auto ShardOwner::answerClaim(CallerToken Token, const Claim &Known,
                             EntryOutbox &Out) -> void {
  if (Known.Open_) {
    const auto InProgress = Dispatched_.count(Known.Request_) != 0;
    Out.push_back(
        AnswerCaller{Token, ErrorReply{InProgress ? ErrorKind::KeyInProgress
                                                  : ErrorKind::OutcomeUnknown,
                                       "the key is claimed", Known.Request_}});
    return;
  }
  if (Known.Error_ == ErrorKind::None)
    Out.push_back(AnswerCaller{
        Token, QuickReply{Known.Request_, Known.Status_, Known.Body_}});
  else
    Out.push_back(AnswerCaller{
        Token, ErrorReply{Known.Error_, "the first outcome of this key",
                          Known.Request_}});
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
  if (Outcome.Body_.size() > KeptAnswerSize)
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
    // The caller was told "not run" meanwhile, so it must never be dispatched.
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

auto ShardOwner::committed(Moment /*Now*/, const ClaimForgotten & /*Record*/,
                           EntryOutbox & /*Out*/) -> void {}

auto ShardOwner::giveUpWaiting(Moment Now, EntryOutbox &Out) -> void {
  for (auto Each = PendingClaims_.begin(); Each != PendingClaims_.end();) {
    if (Each->second.GiveUpAt_ > Now.Steady_) {
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
  for (auto *Waiting : {&WaitingAdd_, &WaitingCancel_}) {
    for (auto Each = Waiting->begin(); Each != Waiting->end();) {
      if (Each->second.front().GiveUpAt_ > Now.Steady_) {
        ++Each;
        continue;
      }
      const auto Job = Each->first;
      const auto Withdrawn = Ledger_.withdraw([&](const LedgerRecord &Record) {
        const auto *Added = std::get_if<JobAdded>(&Record);
        const auto *Cancelled = std::get_if<JobCancelled>(&Record);
        return (Added != nullptr && Added->Job_.Id_ == Job &&
                Waiting == &WaitingAdd_) ||
               (Cancelled != nullptr && Cancelled->Job_ == Job &&
                Waiting == &WaitingCancel_);
      });
      if (Withdrawn)
        Cancelling_.erase(Job);
      for (const auto &Caller : Each->second)
        refuse(Caller.Token_,
               Withdrawn ? Caller.Refusal_ : ErrorKind::OutcomeUnknown,
               Job.Value_, Out);
      Each = Waiting->erase(Each);
    }
  }
}

// Jobs.

auto ShardOwner::checkStep(const StepDeclaration &Step, const Resources &Limit,
                           const char *Holder, std::string &Detail) const
    -> ErrorKind {
  if (Limit.holds(Step.Resources_))
    return ErrorKind::None;
  std::ostringstream Why;
  Why << "a task needs " << Step.Resources_ << "; " << Holder << " " << Limit;
  Detail = Why.str();
  return ErrorKind::NeverFits;
}

auto ShardOwner::checkSubmission(const JobDeclaration &Wanted,
                                 std::string &Detail) const -> ErrorKind {
  const auto Count = Wanted.taskCount();
  if (Count == 0 || Count > MaxTasks) {
    Detail = "tasks must be 1 to " + std::to_string(MaxTasks);
    return ErrorKind::MalformedRequest;
  }
  // A queue's jobs belong to no team, and workers of any size may yet come.
  if (!Wanted.Queue_.empty())
    return ErrorKind::None;
  const auto &Document = View_.Configuration_.Document_;
  const auto *Team = Document.findTeam(Wanted.Team_);
  if (Team == nullptr) {
    Detail = "team \"" + Wanted.Team_.Value_ + "\"";
    return ErrorKind::UnknownTeam;
  }
  for (const auto &Step : Wanted.Steps_) {
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
  const auto &Wanted = Submission.Declaration_;
  std::string Detail;
  const auto Problem = checkSubmission(Wanted, Detail);
  if (Problem != ErrorKind::None) {
    refuse(Token, Problem, Detail, Out);
    return;
  }
  if (Ledger_.queued() >= QueuedRecordLimit) {
    refuse(Token, ErrorKind::QueueFull, "ledger of the shard", Out);
    return;
  }
  const auto StateOnly = !Submission.Job_.empty();
  const auto Id =
      StateOnly ? Submission.Job_ : mintJobId(Submission, Generator);
  if (const auto *Known = state().findJob(Id)) {
    Out.push_back(AnswerCaller{Token, jobAnswer(*Known, StateOnly)});
    return;
  }
  auto &Waiting = WaitingAdd_[Id];
  const auto Refusal = Submission.Key_.empty() ? ErrorKind::StoreUnavailable
                                               : ErrorKind::KeyNotChecked;
  Waiting.push_back({Token, Now.Steady_ + CallerPatience, Refusal, StateOnly});
  if (Waiting.size() > 1)
    return;
  Job New;
  New.Id_ = Id;
  New.Declaration_ = Wanted;
  New.SubmittedAt_ = Now.Wall_;
  New.Tasks_.resize(Wanted.taskCount());
  Ledger_.append(JobAdded{std::move(New)});
  Ledger_.advance();
}

auto ShardOwner::mintJobId(const SubmitJob &Submission, Random &Generator) const
    -> JobId {
  // With a key the id follows from it, so that a retry finds the first job.
  const auto &Team = Submission.Declaration_.Team_.Value_;
  const auto Number = Submission.Key_.empty()
                          ? Generator()
                          : digest64(Team + '\n' + Submission.Key_.Value_);
  return jobIdOf(Shard_, Number);
}

auto ShardOwner::committed(Moment /*Now*/, const JobAdded &Record,
                           EntryOutbox &Out) -> void {
  const auto *Added = state().findJob(Record.Job_.Id_);
  MeanWork_.note(*Added);
  index(*Added);
  log("job-accepted", Added->Id_.Value_, ErrorKind::None,
      "queue " + Added->Declaration_.Queue_.Value_ + ", " +
          std::to_string(Added->Tasks_.size()) + " tasks, chain " +
          std::to_string(Added->Declaration_.longestChain().count()) + " ms",
      Out);
  const auto Waiting = WaitingAdd_.find(Record.Job_.Id_);
  if (Waiting == WaitingAdd_.end())
    return;
  for (const auto &Caller : Waiting->second)
    Out.push_back(
        AnswerCaller{Caller.Token_, jobAnswer(*Added, Caller.StateOnly_)});
  WaitingAdd_.erase(Waiting);
}

auto ShardOwner::read(CallerToken Token, const GetJob &Request,
                      EntryOutbox &Out) const -> void {
  const auto *Found = state().findJob(Request.Job_);
  if (Found == nullptr)
    refuse(Token, ErrorKind::UnknownJob, Request.Job_.Value_, Out);
  else
    Out.push_back(AnswerCaller{Token, jobAnswer(*Found, Request.StateOnly_)});
}

auto ShardOwner::countUnstarted(const QueueName &Queue) const -> std::uint64_t {
  return std::count_if(state().jobs().begin(), state().jobs().end(),
                       [&](const auto &Each) {
                         return Each.second.Declaration_.Queue_ == Queue &&
                                jobState(Each.second) == JobState::Queued;
                       });
}

auto ShardOwner::cancel(Moment Now, CallerToken Token, const CancelJob &Request,
                        EntryOutbox &Out) -> void {
  const auto &Id = Request.Job_;
  const auto *Known = state().findJob(Id);
  if (Known == nullptr) {
    refuse(Token, ErrorKind::UnknownJob, Id.Value_, Out);
    return;
  }
  if (Known->Cancelled_) {
    Out.push_back(AnswerCaller{Token, jobAnswer(*Known, Request.StateOnly_)});
    return;
  }
  auto &Waiting = WaitingCancel_[Id];
  Waiting.push_back({Token, Now.Steady_ + CallerPatience,
                     ErrorKind::StoreUnavailable, Request.StateOnly_});
  if (Waiting.size() > 1 || !Cancelling_.insert(Id).second)
    return;
  Ledger_.append(JobCancelled{Id, Now.Wall_});
  Ledger_.advance();
}

auto ShardOwner::committed(Moment /*Now*/, const JobCancelled &Record,
                           EntryOutbox &Out) -> void {
  Cancelling_.erase(Record.Job_);
  log("job-cancelled", Record.Job_.Value_, ErrorKind::Cancelled, "", Out);
  const auto *Cancelled = state().findJob(Record.Job_);
  if (Cancelled == nullptr)
    return;
  index(*Cancelled);
  const auto Waiting = WaitingCancel_.find(Record.Job_);
  if (Waiting == WaitingCancel_.end())
    return;
  for (const auto &Caller : Waiting->second)
    Out.push_back(
        AnswerCaller{Caller.Token_, jobAnswer(*Cancelled, Caller.StateOnly_)});
  WaitingCancel_.erase(Waiting);
}

auto ShardOwner::committed(Moment /*Now*/, const JobForgotten & /*Record*/,
                           EntryOutbox & /*Out*/) -> void {}

// The index over the ledger: what is pending, bound and used.

auto ShardOwner::rankOf(const Job &Job, const TaskId &Task) const
    -> PendingRank {
  const auto &Wanted = Job.Declaration_;
  const auto First = Wanted.Urgent_ || Job.stepOf(Task).LongRunning_;
  const auto Class = 2 * static_cast<int>(Wanted.Priority_) + (First ? 0 : 1);
  const auto Deadline = Wanted.Deadline_ + Wanted.Interval_ * Task.Occurrence_;
  return {Class, Deadline - Wanted.chainFrom(Task.Step_), Task};
}

auto ShardOwner::indexTask(const Job &Job, const TaskId &Id, bool Ready)
    -> void {
  const auto &Task = Job.task(Id);
  const auto Rank = rankOf(Job, Id);
  if (Task.State_ == TaskState::Pending && Ready)
    Pending_.insert(Rank);
  else
    Pending_.erase(Rank);
  if (Task.State_ != TaskState::Pending)
    NoPlaceSince_.erase(Id);
  if (Task.State_ == TaskState::Bound) {
    Use_.hold(Job, Id, Task.Agent_);
    Bound_.try_emplace(Id);
  } else {
    Use_.release(Job, Id);
    Bound_.erase(Id);
  }
}

auto ShardOwner::indexStep(const Job &Job, std::uint32_t Step,
                           std::uint32_t Occurrence) -> void {
  TaskId Id{Job.Id_, 0, Step, Occurrence};
  const auto Ready = Job.isReady(Id);
  const auto Count = Job.Declaration_.Steps_[Step].TaskCount_;
  for (Id.Index_ = 0; Id.Index_ < Count; ++Id.Index_)
    indexTask(Job, Id, Ready);
}

auto ShardOwner::index(const Job &Job) -> void {
  const auto Occurrences = std::max(Job.Declaration_.Occurrences_, 1U);
  const auto Steps = static_cast<std::uint32_t>(Job.Declaration_.Steps_.size());
  for (std::uint32_t Occurrence = 0; Occurrence < Occurrences; ++Occurrence)
    for (std::uint32_t Step = 0; Step < Steps; ++Step)
      indexStep(Job, Step, Occurrence);
}

auto ShardOwner::indexAfter(const Job &Job, const TaskId &Changed) -> void {
  if (Job.Failed_) {
    index(Job);
    return;
  }
  indexTask(Job, Changed, true);
  const auto &Steps = Job.Declaration_.Steps_;
  if (Job.task(Changed).State_ != TaskState::Finished)
    return;
  for (auto Step = Changed.Step_ + 1; Step < Steps.size(); ++Step) {
    const auto &After = Steps[Step].After_;
    if (std::find(After.begin(), After.end(), Changed.Step_) != After.end())
      indexStep(Job, Step, Changed.Occurrence_);
  }
}

auto ShardOwner::reindex() -> void {
  Indexed_ = true;
  Pending_.clear();
  Bound_.clear();
  Use_.clear();
  Proposed_.clear();
  NoPlaceSince_.clear();
  Closing_.clear();
  Cancelling_.clear();
  Failing_.clear();
  AbandonedKeys_.clear();
  MeanWork_ = {};
  for (const auto &Each : state().jobs()) {
    MeanWork_.note(Each.second);
    index(Each.second);
  }
}

auto ShardOwner::propose(const TaskId &Task, TaskChanged Change) -> void {
  Change.Task_ = Task;
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
  indexAfter(*Job, Record.Task_);
  if (Record.State_ == TaskState::Failed)
    Failing_.erase(Record.Task_.Job_);
  auto *Where = View_.Targets_.findAgent(Record.Agent_);
  if (Record.State_ == TaskState::Bound) {
    ++View_.Counters_.TasksBound_;
    log("task-bound", Record.Task_.text(), ErrorKind::None,
        "attempt " + std::to_string(Record.Attempt_) + " to " +
            Record.Agent_.Value_,
        Out);
    if (Where != nullptr && Where->GrantedShards_.count(Shard_) != 0)
      sendBind(Now, Record.Task_, *Where, Out);
    return;
  }
  if (Record.State_ == TaskState::Finished)
    ++View_.Counters_.TasksFinished_;
  if (Where != nullptr)
    Out.push_back(SendToAgent{Where->Session_,
                              TaskReportAck{Record.Task_, Record.Attempt_}});
  log("task-settled", Record.Task_.text(), Record.Reason_,
      std::string(taskStateText(Record.State_)) + " after attempt " +
          std::to_string(Record.Attempt_) + " at " + Record.Agent_.Value_,
      Out);
}

// Binding.

auto ShardOwner::mayHost(Moment Now, const Target &Candidate, const Job &Job,
                         const StepDeclaration &Step) const -> bool {
  const auto &Offered = Candidate.Hello_.Services_;
  const auto &Labels = Candidate.Hello_.Labels_;
  const auto &Service = Job.Declaration_.Service_;
  const auto Serves =
      Service.empty() ||
      std::find(Offered.begin(), Offered.end(), Service) != Offered.end();
  const auto Labelled = Step.RequiredLabel_.empty() ||
                        std::find(Labels.begin(), Labels.end(),
                                  Step.RequiredLabel_) != Labels.end();
  return Serves && Labelled &&
         mayGetWork(Candidate, View_.Configuration_, Now.Steady_) &&
         Candidate.QuarantinedUntil_ <= Now.Steady_ &&
         !(Step.Fills_ && Now.Steady_ < Candidate.NoFillersUntil_) &&
         Candidate.Load_.TasksQueued_ < QueueLimit;
}

auto ShardOwner::pressThere(const std::string &Serving,
                            const WorkerUse &There) const -> double {
  double Sum = 0;
  for (const auto &[Image, MilliCores] : There.Filling_)
    Sum += View_.Presses_.press(Serving, Image, MilliCores);
  return Sum;
}

auto ShardOwner::slackThere(Moment Now, const std::string &Image,
                            Millis TailTarget, const Target &Candidate) const
    -> double {
  const auto *Worst = static_cast<const ServingFigure *>(nullptr);
  if (Candidate.ServingSeenAt_ + FiguresFreshFor > Now.Steady_)
    for (const auto &Each : Candidate.Serving_)
      if (Each.Image_ == Image && (Worst == nullptr || Each.Own_ > Worst->Own_))
        Worst = &Each;
  if (Worst == nullptr)
    return View_.Presses_.slack(Image, TailTarget);
  if (Worst->Tail_ > Worst->Target_)
    return 0;
  return std::log(PlannedShare * static_cast<double>(TailTarget.count())) -
         Worst->Own_;
}

auto ShardOwner::viewNeighbours(Moment Now, const StepDeclaration &Step,
                                const Target &Candidate, const WorkerUse &There,
                                PlaceView &Place) const -> void {
  const auto &Presses = View_.Presses_;
  Place.ServingImages_ = There.Serving_.size();
  Place.SameImage_ = There.Serving_.count(Step.Image_) != 0;
  if (Step.TailTarget_ > Millis{0})
    Place.Overrun_ = pressThere(Step.Image_, There) -
                     Presses.slack(Step.Image_, Step.TailTarget_);
  if (!Step.Fills_)
    return;
  for (const auto &[Image, Serving] : There.Serving_) {
    const auto Added =
        Presses.press(Image, Step.Image_, Step.Resources_.MilliCores_);
    const auto After = pressThere(Image, There) + Added;
    if (Added > NoticedPress)
      Place.Overrun_ =
          std::max(Place.Overrun_,
                   After - slackThere(Now, Image, Serving.Target_, Candidate));
    Place.AddedPress_ += Added * Serving.Tasks_;
  }
}

auto ShardOwner::placeView(Moment Now, const Target &Candidate, const Job &Job,
                           const TaskId &Task) const -> PlaceView {
  const auto &Status = Job.task(Task);
  PlaceView Place;
  Place.Capacity_ = Candidate.Hello_.Capacity_;
  Place.KeptMilliCores_ =
      ShortDemand_.keptAt(Place.Capacity_.MilliCores_, View_.Targets_.size());
  Place.Rack_ = Candidate.Hello_.Rack_;
  // Other shards' tasks show only in what the agent says of itself; the only
  // shard's owner knows all that it has given, without delay.
  Place.Free_ = View_.OnlyShard_ ? Place.Capacity_ : Candidate.free();
  Place.FailedHere_ =
      Status.Failures_ > 0 && Status.Agent_ == Candidate.agent();
  const auto *There = Use_.at(Candidate.agent());
  if (There == nullptr)
    return Place;
  if (View_.OnlyShard_)
    Place.Free_ -= There->Amount_;
  Place.FillingMilliCores_ = There->FillingMilliCores_;
  Place.ServingMilliCores_ = There->ServingMilliCores_;
  const auto Step = There->TasksOfStep_.find(stepKeyOf(Task));
  if (Step != There->TasksOfStep_.end())
    Place.TasksOfStep_ = Step->second;
  viewNeighbours(Now, Job.stepOf(Task), Candidate, *There, Place);
  return Place;
}

auto ShardOwner::chooseWorker(Moment Now, const Job &Job, const TaskId &Task,
                              Random &Generator, EntryOutbox &Out) -> Target * {
  const auto &All = View_.Targets_.all();
  if (All.empty())
    return nullptr;
  const auto &Step = Job.stepOf(Task);
  const auto TakesAny = hasWaitedLong(Now, Step, Task);
  std::vector<PlaceView> Places;
  std::vector<Target *> Candidates;
  const auto First =
      std::uniform_int_distribution<std::size_t>(0, All.size() - 1)(Generator);
  for (std::size_t Draw = 0; Draw < All.size() && Candidates.size() < DrawCount;
       ++Draw) {
    auto *Each = All[(First + Draw) % All.size()];
    if (!mayHost(Now, *Each, Job, Step))
      continue;
    claimTowards(Now, *Each, Out);
    if (Each->GrantedShards_.count(Shard_) == 0)
      continue;
    Places.push_back(placeView(Now, *Each, Job, Task));
    Places.back().TakesAnyPlace_ = TakesAny;
    Candidates.push_back(Each);
  }
  const auto Chosen = choosePlace(Step, Places);
  return Chosen < Candidates.size() ? Candidates[Chosen] : nullptr;
}

auto ShardOwner::claimTowards(Moment Now, Target &Agent, EntryOutbox &Out)
    -> void {
  if (Agent.ConfirmedShards_.count(Shard_) != 0)
    return;
  auto &ClaimedAt = Agent.ClaimedShards_[Shard_];
  if (ClaimedAt != TimePoint{} && ClaimedAt + ResendAfter > Now.Steady_)
    return;
  ClaimedAt = Now.Steady_;
  Out.push_back(
      SendToAgent{Agent.Session_, ClaimOwnership{Shard_, Ledger_.epoch()}});
}

auto ShardOwner::withinQuota(const JobDeclaration &Wanted,
                             const Resources &Need) const -> bool {
  if (!Wanted.Queue_.empty())
    return true;
  const auto *Team = View_.Configuration_.Document_.findTeam(Wanted.Team_);
  return Team != nullptr &&
         Team->Quota_.holds(Use_.ofTeam(Wanted.Team_) + Need);
}

auto ShardOwner::hasWaitedLong(Moment Now, const StepDeclaration &Step,
                               const TaskId &Task) -> bool {
  const auto Since = NoPlaceSince_.emplace(Task, Now.Steady_).first->second;
  if (Step.LongRunning_)
    return Since + AnyRoomWithin <= Now.Steady_;
  // One task at a time keeps its job going without much harm to neighbours.
  return Step.Fills_ && Use_.isOnlyOne(Task) &&
         Since + QuietPlaceWithin <= Now.Steady_;
}

auto ShardOwner::bindOne(Moment Now, const PendingRank &Rank, BindPass &Pass,
                         Random &Generator, EntryOutbox &Out) -> bool {
  const auto &Job = *state().findJob(Rank.Task_.Job_);
  const auto Need = Job.stepOf(Rank.Task_).reserved();
  if (!withinQuota(Job.Declaration_, Need))
    return false;
  // What has found no room in this pass won't find any for more.
  const auto Hopeless = std::any_of(
      Pass.NoRoom_.begin(), Pass.NoRoom_.end(),
      [&](const Resources &Smaller) { return Need.holds(Smaller); });
  if (Hopeless)
    return false;
  const auto &Step = Job.stepOf(Rank.Task_);
  const auto TakesAny = hasWaitedLong(Now, Step, Rank.Task_);
  if (!TakesAny && Pass.NoPlace_ == stepKeyOf(Rank.Task_))
    return false;
  if (Step.Fills_ && !TakesAny && Pass.NoQuietPlace_.count(Step.Image_) != 0)
    return false;
  auto *Chosen = chooseWorker(Now, Job, Rank.Task_, Generator, Out);
  if (Chosen == nullptr) {
    ++Pass.Misses_;
    Pass.NoPlace_ = stepKeyOf(Rank.Task_);
    if (Step.Fills_ && !TakesAny)
      Pass.NoQuietPlace_.insert(Step.Image_);
    // A step with limits of its own says nothing of other steps.
    else if (Step.MaxPerWorker_ == 0 && Step.RequiredLabel_.empty())
      Pass.NoRoom_.push_back(Need);
    return false;
  }
  Chosen->Promised_ += Need;
  Chosen->PromisedAt_ = Now.Steady_;
  auto Change =
      changeOf(Job.task(Rank.Task_), TaskState::Bound, ErrorKind::None, Now);
  ++Change.Attempt_;
  Change.Agent_ = Chosen->agent();
  Change.DataCentre_ = Chosen->dataCentre();
  Change.Worker_ = Chosen->Hello_.Worker_;
  // The quota and the worker's room count the task from here on, not from the
  // commit on.
  Use_.hold(Job, Rank.Task_, Chosen->agent());
  propose(Rank.Task_, std::move(Change));
  return true;
}

auto ShardOwner::isDue(Moment Now, const TaskId &Task) const -> bool {
  const auto Delayed = NotBefore_.find(Task);
  return (Delayed == NotBefore_.end() || Delayed->second <= Now.Steady_) &&
         state().findJob(Task.Job_)->dueAt(Task) <= Now.Wall_ &&
         Proposed_.count(Task) == 0 && Cancelling_.count(Task.Job_) == 0 &&
         Failing_.count(Task.Job_) == 0;
}

auto ShardOwner::bindOrder(Moment Now) const -> std::vector<BindTurn> {
  std::vector<BindTurn> Order;
  std::map<JobId, double> Costs;
  for (const auto &Rank : Pending_) {
    if (Order.size() >= ScanLimit)
      break;
    if (!isDue(Now, Rank.Task_))
      continue;
    // Tasks of one step follow each other and differ in nothing else.
    if (!Order.empty() &&
        stepKeyOf(Order.back().Rank_.Task_) == stepKeyOf(Rank.Task_)) {
      auto Turn = Order.back();
      Turn.Rank_ = Rank;
      Order.push_back(std::move(Turn));
      continue;
    }
    const auto &Job = *state().findJob(Rank.Task_.Job_);
    BindTurn Turn{Rank.Class_, promiseOf(Job, Rank.Task_, Now.Wall_), 0, Rank};
    if (Job.stepOf(Rank.Task_).Fills_) {
      const auto [Cost, First] = Costs.try_emplace(Job.Id_, 0.0);
      if (First)
        Cost->second = workPerWorth(Job, MeanWork_.of(Job.Declaration_.Queue_));
      Turn.Cost_ = Cost->second;
    }
    Order.push_back(std::move(Turn));
  }
  std::sort(Order.begin(), Order.end());
  return Order;
}

auto ShardOwner::noteShortDemand(Moment Now,
                                 const std::vector<BindTurn> &Waiting) -> void {
  auto MilliCores = Use_.shortMilliCores();
  for (const auto &Turn : Waiting) {
    const auto &Task = Turn.Rank_.Task_;
    const auto &Step = state().findJob(Task.Job_)->stepOf(Task);
    if (isShort(Step))
      MilliCores += Step.Resources_.MilliCores_;
  }
  ShortDemand_.note(Now.Steady_, MilliCores);
}

auto ShardOwner::bindPending(Moment Now, Random &Generator, EntryOutbox &Out)
    -> void {
  int Binds = 0;
  BindPass Pass;
  const auto Order = bindOrder(Now);
  noteShortDemand(Now, Order);
  for (const auto &Turn : Order) {
    if (Binds >= BindLimit || Pass.Misses_ >= MissLimit)
      break;
    NotBefore_.erase(Turn.Rank_.Task_);
    if (bindOne(Now, Turn.Rank_, Pass, Generator, Out))
      ++Binds;
  }
}

auto ShardOwner::sendBind(Moment Now, const TaskId &Id, Target &To,
                          EntryOutbox &Out) -> void {
  const auto &Job = *state().findJob(Id.Job_);
  const auto &Task = Job.task(Id);
  const auto &Step = Job.stepOf(Id);
  auto &Soft = Bound_[Id];
  Soft.Sent_ = true;
  Soft.SentAt_ = Now.Steady_;
  BindTask Bind;
  Bind.Sequence_ = ++To.NextSequence_;
  Bind.Shard_ = Shard_;
  Bind.Epoch_ = Ledger_.epoch();
  Bind.Worker_ = Task.Worker_;
  Bind.Task_ = Id;
  Bind.Attempt_ = Task.Attempt_;
  Bind.Kind_ = Step.LongRunning_ ? WorkKind::Watcher : WorkKind::Batch;
  Bind.Resources_ = Step.reserved();
  Bind.RunTime_ = Step.RunTime_;
  Bind.Deadline_ = Job.Declaration_.Deadline_;
  Bind.Checkpoint_ = Task.Checkpoint_;
  Bind.Payload_ = Job.Declaration_.Payload_;
  Bind.Priority_ = Job.Declaration_.Priority_;
  Bind.Fills_ = Step.Fills_;
  Bind.FillingMilliCores_ = Step.Fills_ ? Step.Resources_.MilliCores_ : 0;
  Bind.Insists_ = Step.Fills_ && Use_.isOnlyOne(Id);
  Bind.Checkpoints_ = Step.Checkpoints_;
  Bind.Image_ = Step.Image_;
  Bind.TailTarget_ = Step.TailTarget_;
  Out.push_back(SendToAgent{To.Session_, std::move(Bind)});
}

// What follows from the word, or the silence, of agents.

auto ShardOwner::agentJoined(Moment Now, Target &Joined, EntryOutbox &Out)
    -> void {
  if (!owning() || releasing())
    return;
  for (const auto &Each : Bound_) {
    const auto *Task = state().findTask(Each.first);
    if (Task == nullptr || Task->Agent_ != Joined.agent())
      continue;
    claimTowards(Now, Joined, Out);
    return;
  }
}

auto ShardOwner::confirmed(Moment Now, Target &From,
                           const ConfirmOwnership &Confirm, EntryOutbox &Out)
    -> void {
  if (!owning() || Confirm.Epoch_ != Ledger_.epoch() ||
      From.ClaimedShards_.count(Shard_) == 0 ||
      Confirm.Worker_ != From.Hello_.Worker_)
    return;
  // Only the first confirmation on a connection tells what the agent does not
  // hold: a later one may be older than a binding sent since.
  if (!From.ConfirmedShards_.insert(Shard_).second)
    return;
  std::set<TaskId> Held;
  for (const auto &Report : Confirm.Held_) {
    Held.insert(Report.Task_);
    reported(Now, From, Report, Out);
  }
  for (const auto &[Id, Soft] : Bound_) {
    const auto *Task = state().findTask(Id);
    const auto Missing = Task != nullptr && Task->State_ == TaskState::Bound &&
                         Task->Agent_ == From.agent() &&
                         Task->Worker_ == From.Hello_.Worker_ &&
                         Held.count(Id) == 0 && Proposed_.count(Id) == 0;
    if (Missing)
      requeue(Now, Id, ErrorKind::WorkerGone, Task->Checkpoint_, false);
  }
  Ledger_.advance();
}

auto ShardOwner::requeue(Moment Now, const TaskId &Id, ErrorKind Reason,
                         const CheckpointId &Checkpoint, bool Failed) -> void {
  const auto &Job = *state().findJob(Id.Job_);
  const auto &Task = Job.task(Id);
  const auto Limit =
      Job.Declaration_.FailureLimit_ > 0
          ? Job.Declaration_.FailureLimit_
          : View_.Configuration_.Document_.Policy_.TaskFailureLimit_;
  auto Change = changeOf(Task, TaskState::Pending, Reason, Now);
  Change.Checkpoint_ = Checkpoint;
  if (Failed) {
    ++Change.Failures_;
    NotBefore_[Id] =
        Now.Steady_ +
        std::min(LongestFailureBackoff,
                 FailureBackoff * (1U << std::min(Task.Failures_, 7U)));
  }
  if (!Job.stepOf(Id).LongRunning_ && Change.Failures_ >= Limit)
    Change.State_ = TaskState::Failed;
  if (Job.isClosed())
    Change.State_ = TaskState::Cancelled;
  propose(Id, std::move(Change));
}

auto ShardOwner::reported(Moment Now, Target &From, const TaskReport &Report,
                          EntryOutbox &Out) -> void {
  if (!owning())
    return;
  const auto *Task = state().findTask(Report.Task_);
  const auto Current = Task != nullptr && Task->State_ == TaskState::Bound &&
                       Task->Attempt_ == Report.Attempt_ &&
                       Task->Agent_ == From.agent() &&
                       Task->Worker_ == From.Hello_.Worker_;
  if (!Current) {
    dismiss(From, Report, Out);
    return;
  }
  auto &Soft = Bound_[Report.Task_];
  Soft.Sent_ = true;
  Soft.Reported_ = true;
  if (Report.NeedsBinding_ && !isEnded(Report.Phase_))
    sendBind(Now, Report.Task_, From, Out);
  if (!isEnded(Report.Phase_) || Proposed_.count(Report.Task_) != 0)
    return;
  settleEnded(Now, From, Report);
  Ledger_.advance();
}

auto ShardOwner::dismiss(const Target &From, const TaskReport &Report,
                         EntryOutbox &Out) const -> void {
  // The ledger has moved on, so the agent may forget the attempt.
  if (isEnded(Report.Phase_) && Proposed_.count(Report.Task_) == 0)
    Out.push_back(SendToAgent{From.Session_,
                              TaskReportAck{Report.Task_, Report.Attempt_}});
  if (!isEnded(Report.Phase_))
    Out.push_back(SendToAgent{
        From.Session_, StopTask{Shard_, Ledger_.epoch(), Report.Task_,
                                Report.Attempt_, ErrorKind::StaleEpoch}});
}

auto ShardOwner::settleEnded(Moment Now, Target &From, const TaskReport &Report)
    -> void {
  const auto &Job = *state().findJob(Report.Task_.Job_);
  const auto Failed = Report.Phase_ == TaskPhase::Failed;
  if (Failed || Report.Phase_ == TaskPhase::Finished)
    noteOutcome(Now, From, Failed);
  if (Report.Phase_ == TaskPhase::Stopped &&
      Report.Reason_ != ErrorKind::Cancelled)
    ++View_.Counters_.Evictions_;
  if (Report.Phase_ == TaskPhase::NotStarted &&
      Report.Reason_ == ErrorKind::Evicted)
    From.NoFillersUntil_ = Now.Steady_ + NoFillersFor;
  // Nobody can say how far the task came before its worker fell silent.
  if (Report.Phase_ == TaskPhase::Stopped &&
      Report.Reason_ == ErrorKind::WorkerGone) {
    loseTask(Now, Report.Task_, Report.Checkpoint_);
    return;
  }
  const auto Done = Report.Phase_ == TaskPhase::Finished &&
                    !Job.stepOf(Report.Task_).LongRunning_;
  if (!Done) {
    requeue(Now, Report.Task_, Report.Reason_, Report.Checkpoint_, Failed);
    return;
  }
  auto Change = changeOf(Job.task(Report.Task_), TaskState::Finished,
                         ErrorKind::None, Now);
  propose(Report.Task_, std::move(Change));
}

auto ShardOwner::noteOutcome(Moment Now, Target &From, bool Failed) -> void {
  From.FailureRun_ = Failed ? From.FailureRun_ + 1 : 0;
  // A worker that fails everything gets no more work until a probe succeeds.
  if (From.FailureRun_ >= QuarantineAfter)
    From.QuarantinedUntil_ = Now.Steady_ + QuarantineFor;
}

auto ShardOwner::watchTask(Moment Now, const TaskId &Id, BoundTask &Soft,
                           EntryOutbox &Out) -> void {
  const auto &Job = *state().findJob(Id.Job_);
  const auto &Task = Job.task(Id);
  if (Task.State_ != TaskState::Bound || Proposed_.count(Id) != 0)
    return;
  auto *Where = View_.Targets_.findAgent(Task.Agent_);
  const auto Present = Where != nullptr &&
                       Where->Hello_.Worker_ == Task.Worker_ &&
                       Where->ConfirmedShards_.count(Shard_) != 0;
  if (Present) {
    if (!Soft.Reported_ && Soft.SentAt_ + ResendAfter < Now.Steady_)
      sendBind(Now, Id, *Where, Out);
    // The request may be lost, or reach the agent while the start is under
    // way and can't be stopped yet, so it is repeated until the task ends.
    if (Job.isClosed() && Soft.StopSentAt_ + ResendAfter < Now.Steady_) {
      Soft.StopSentAt_ = Now.Steady_;
      Out.push_back(SendToAgent{Where->Session_,
                                StopTask{Shard_, Ledger_.epoch(), Id,
                                         Task.Attempt_, ErrorKind::Cancelled}});
    }
    return;
  }
  Soft = {};
  // An agent that joined before the task was bound to it has not been asked
  // yet what it holds of this shard.
  if (Where != nullptr && Where->Hello_.Worker_ == Task.Worker_) {
    claimTowards(Now, *Where, Out);
    return;
  }
  // The agent obeys this owner and has another worker now: the one that the
  // task was bound to has ended, and what ran there with it.
  if (Where != nullptr && Where->ConfirmedShards_.count(Shard_) != 0) {
    loseTask(Now, Id, {});
    return;
  }
  if (Where != nullptr)
    claimTowards(Now, *Where, Out);
  // The worker stops the task by itself once its lease has run out; only
  // then may another worker get it.
  const auto Lease =
      withClockMargin(View_.Configuration_.Document_.Policy_.TaskLease_);
  const auto GrantedUntil =
      std::max(View_.Grants_.until({Task.Agent_, Task.Worker_}),
               Ledger_.oldGrantsUntil() + Lease);
  if (Now.Steady_ > GrantedUntil || isBroken(Mutation::ResumeBeforeLeaseEnds))
    loseTask(Now, Id, {});
}

auto ShardOwner::loseTask(Moment Now, const TaskId &Id,
                          const CheckpointId &Saved) -> void {
  const auto &Job = *state().findJob(Id.Job_);
  const auto &Task = Job.task(Id);
  if (Job.Declaration_.RerunWhenLost_ || Job.stepOf(Id).LongRunning_) {
    requeue(Now, Id, ErrorKind::WorkerGone,
            Saved.empty() ? Task.Checkpoint_ : Saved, false);
    return;
  }
  propose(Id,
          changeOf(Task, TaskState::Failed, ErrorKind::OutcomeUnknown, Now));
}

auto ShardOwner::watchBound(Moment Now, EntryOutbox &Out) -> void {
  for (auto &[Id, Soft] : Bound_)
    watchTask(Now, Id, Soft, Out);
}

auto ShardOwner::forgetOld(Moment Now) -> void {
  if (Now.Steady_ < NextForget_)
    return;
  NextForget_ = Now.Steady_ + ForgetEvery;
  const auto Retention =
      View_.Configuration_.Document_.Policy_.KeyRetention_ + 3 * Day;
  for (const auto &[Key, Claim] : state().claims())
    if (!Claim.Open_ && Claim.At_ + Retention < Now.Wall_)
      Ledger_.append(ClaimForgotten{Key});
  for (const auto &[Id, Job] : state().jobs())
    if (Job.SubmittedAt_ + Day < Now.Wall_ && Job.isOver())
      Ledger_.append(JobForgotten{Id});
}

auto ShardOwner::lost(EntryOutbox &Out) -> void {
  log("shard-given-up", std::to_string(Shard_), ErrorKind::StaleEpoch,
      "epoch " + std::to_string(Ledger_.epoch()), Out);
  for (const auto &[Key, Claim] : PendingClaims_)
    refuse(Claim.Token_, ErrorKind::KeyNotChecked, Key.Value_, Out);
  PendingClaims_.clear();
  for (auto *Waiting : {&WaitingAdd_, &WaitingCancel_}) {
    for (const auto &[Job, Callers] : *Waiting)
      for (const auto &Caller : Callers)
        // A job whose id the caller chose can be asked for again, elsewhere.
        refuse(Caller.Token_,
               Caller.StateOnly_ ? ErrorKind::ShardMoving
                                 : ErrorKind::OutcomeUnknown,
               Job.Value_, Out);
    Waiting->clear();
  }
  for (auto *Each : View_.Targets_.all()) {
    Each->ClaimedShards_.erase(Shard_);
    Each->ConfirmedShards_.erase(Shard_);
    Each->GrantedShards_.erase(Shard_);
  }
  Indexed_ = false;
}

auto ShardOwner::supersede(Moment Now, EntryOutbox &Out) -> void {
  Ledger_.abandon();
  afterStoreCall(Now, Out);
}

auto ShardOwner::afterStoreCall(Moment Now, EntryOutbox &Out) -> void {
  if (!owning()) {
    if (Indexed_)
      lost(Out);
    return;
  }
  if (!Indexed_) {
    reindex();
    log("shard-taken", std::to_string(Shard_), ErrorKind::None,
        "epoch " + std::to_string(Ledger_.epoch()) + ", " +
            std::to_string(state().jobs().size()) + " jobs, " +
            std::to_string(Bound_.size()) + " tasks bound",
        Out);
    for (auto *Each : View_.Targets_.all())
      agentJoined(Now, *Each, Out);
  }
  const auto Committed = Ledger_.takeCommitted();
  for (const auto &Record : Committed)
    std::visit([&](const auto &Each) { committed(Now, Each, Out); }, Record);
  // What makes tasks ready or frees room lets others be bound at once; a task
  // that got a worker does neither.
  const auto Frees =
      std::any_of(Committed.begin(), Committed.end(), [](const auto &Record) {
        const auto *Change = std::get_if<TaskChanged>(&Record);
        return Change == nullptr || Change->State_ != TaskState::Bound;
      });
  if (Frees)
    BindDue_ = true;
  Ledger_.advance();
}

auto ShardOwner::bindDue(Moment Now, Random &Generator, EntryOutbox &Out)
    -> void {
  if (!BindDue_ || !MayGrant_ || !open() || releasing())
    return;
  BindDue_ = false;
  bindPending(Now, Generator, Out);
  Ledger_.advance();
}

auto ShardOwner::tick(Moment Now, bool MayGrant, Random &Generator,
                      EntryOutbox &Out) -> void {
  afterStoreCall(Now, Out);
  giveUpWaiting(Now, Out);
  MayGrant_ = MayGrant;
  if (!owning())
    return;
  if (Now.Steady_ >= NextVerify_) {
    NextVerify_ = Now.Steady_ + VerifyEvery;
    Ledger_.verify();
  }
  if (Draining_ && quiet())
    Ledger_.release(Now);
  if (MayGrant && !releasing() && Now.Steady_ >= NextPass_) {
    NextPass_ = Now.Steady_ + PassEvery;
    watchBound(Now, Out);
    if (!Draining_) {
      bindPending(Now, Generator, Out);
      forgetOld(Now);
    }
  }
  Ledger_.advance();
}

} // namespace skylark
