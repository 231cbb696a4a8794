#include "core/ShardOwner.h"

#include "core/Assert.h"
#include "core/Mutation.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace skylark {
namespace {

/// Tasks bound in one pass, so that one shard can't hold up the others.
constexpr int BindLimit = 64;
/// Pending tasks looked at in one pass.
constexpr int ScanLimit = 4000;
/// Sizes of task that find no room before a pass ends.
constexpr int MissLimit = 8;
/// Workers drawn for one task in a large fleet.
constexpr std::size_t DrawCount = 24;
/// Bound tasks that may wait in one agent's queue.
constexpr std::uint32_t QueueLimit = 4;
constexpr Millis ResendAfter{2000};
constexpr Millis CallerPatience{5000};
constexpr Millis FailureBackoff{500};
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

auto isOver(const Job &Each) -> bool {
  const auto Tally = tallyTasks(Each);
  return Tally.Pending_ == 0 && Tally.Bound_ == 0;
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

auto ShardOwner::take(std::function<bool(const ShardHead &)> MayTake) -> void {
  Indexed_ = false;
  Draining_ = false;
  Ledger_.take(std::move(MayTake),
               View_.Configuration_.Document_.Policy_.OutageHorizon_);
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

auto ShardOwner::checkSubmission(const JobDeclaration &Wanted,
                                 std::string &Detail) const -> ErrorKind {
  const auto &Document = View_.Configuration_.Document_;
  const auto *Team = Document.findTeam(Wanted.Team_);
  if (Team == nullptr) {
    Detail = "team \"" + Wanted.Team_.Value_ + "\"";
    return ErrorKind::UnknownTeam;
  }
  std::ostringstream Why;
  Why << "a task needs " << Wanted.TaskResources_;
  if (!Document.LargestWorker_.holds(Wanted.TaskResources_)) {
    Why << "; the largest worker has " << Document.LargestWorker_;
    Detail = Why.str();
    return ErrorKind::NeverFits;
  }
  if (!Team->Quota_.holds(Wanted.TaskResources_)) {
    Why << "; the quota of the team is " << Team->Quota_;
    Detail = Why.str();
    return ErrorKind::NeverFits;
  }
  if (Wanted.TaskCount_ == 0 || Wanted.TaskCount_ > MaxTasks) {
    Detail = "tasks must be 1 to " + std::to_string(MaxTasks);
    return ErrorKind::MalformedRequest;
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
  // With a key the id follows from it, so that a retry finds the first job.
  const auto Number =
      Submission.Key_.empty()
          ? Generator()
          : digest64(Wanted.Team_.Value_ + '\n' + Submission.Key_.Value_);
  const auto Id = jobIdOf(Shard_, Number);
  if (const auto *Known = state().findJob(Id)) {
    Out.push_back(AnswerCaller{Token, JobReply{*Known}});
    return;
  }
  auto &Waiting = WaitingAdd_[Id];
  const auto Refusal = Submission.Key_.empty() ? ErrorKind::StoreUnavailable
                                               : ErrorKind::KeyNotChecked;
  Waiting.push_back({Token, Now.Steady_ + CallerPatience, Refusal});
  if (Waiting.size() > 1)
    return;
  Job New;
  New.Id_ = Id;
  New.Declaration_ = Wanted;
  New.SubmittedAt_ = Now.Wall_;
  New.Tasks_.resize(Wanted.TaskCount_);
  Ledger_.append(JobAdded{std::move(New)});
  Ledger_.advance();
}

auto ShardOwner::committed(Moment /*Now*/, const JobAdded &Record,
                           EntryOutbox &Out) -> void {
  const auto *Added = state().findJob(Record.Job_.Id_);
  index(*Added);
  const auto Waiting = WaitingAdd_.find(Record.Job_.Id_);
  if (Waiting == WaitingAdd_.end())
    return;
  for (const auto &Caller : Waiting->second)
    Out.push_back(AnswerCaller{Caller.Token_, JobReply{*Added}});
  WaitingAdd_.erase(Waiting);
}

auto ShardOwner::cancel(Moment Now, CallerToken Token, const JobId &Id,
                        EntryOutbox &Out) -> void {
  const auto *Known = state().findJob(Id);
  if (Known == nullptr) {
    refuse(Token, ErrorKind::UnknownJob, Id.Value_, Out);
    return;
  }
  if (Known->Cancelled_) {
    Out.push_back(AnswerCaller{Token, JobReply{*Known}});
    return;
  }
  auto &Waiting = WaitingCancel_[Id];
  Waiting.push_back(
      {Token, Now.Steady_ + CallerPatience, ErrorKind::StoreUnavailable});
  if (Waiting.size() > 1 || !Cancelling_.insert(Id).second)
    return;
  Ledger_.append(JobCancelled{Id, Now.Wall_});
  Ledger_.advance();
}

auto ShardOwner::committed(Moment /*Now*/, const JobCancelled &Record,
                           EntryOutbox &Out) -> void {
  Cancelling_.erase(Record.Job_);
  const auto *Cancelled = state().findJob(Record.Job_);
  if (Cancelled == nullptr)
    return;
  for (std::uint32_t Index = 0; Index < Cancelled->Tasks_.size(); ++Index)
    Pending_.erase(rankOf(*Cancelled, Index));
  const auto Waiting = WaitingCancel_.find(Record.Job_);
  if (Waiting == WaitingCancel_.end())
    return;
  for (const auto &Caller : Waiting->second)
    Out.push_back(AnswerCaller{Caller.Token_, JobReply{*Cancelled}});
  WaitingCancel_.erase(Waiting);
}

auto ShardOwner::committed(Moment /*Now*/, const JobForgotten & /*Record*/,
                           EntryOutbox & /*Out*/) -> void {}

// The index over the ledger: what is pending, bound and used.

auto ShardOwner::rankOf(const Job &Job, std::uint32_t Index) const
    -> PendingRank {
  const auto &Wanted = Job.Declaration_;
  const auto First = Wanted.Kind_ == WorkKind::Watcher || Wanted.Urgent_;
  return {First ? 0 : 1, Wanted.Deadline_ - Wanted.RunTime_, {Job.Id_, Index}};
}

auto ShardOwner::indexTask(const Job &Job, std::uint32_t Index) -> void {
  const auto &Task = Job.Tasks_[Index];
  const TaskId Id{Job.Id_, Index};
  const auto Rank = rankOf(Job, Index);
  if (Task.State_ == TaskState::Pending)
    Pending_.insert(Rank);
  else
    Pending_.erase(Rank);
  const auto WasHeld = Held_.find(Id);
  const auto IsHeld = Task.State_ == TaskState::Bound;
  auto &Use = Use_[Job.Declaration_.Team_];
  if (IsHeld && WasHeld == Held_.end()) {
    Held_[Id] = Job.Declaration_.TaskResources_;
    Use += Job.Declaration_.TaskResources_;
  }
  if (IsHeld)
    Bound_.try_emplace(Id);
  if (!IsHeld && WasHeld != Held_.end()) {
    Use -= WasHeld->second;
    Held_.erase(WasHeld);
    Bound_.erase(Id);
  }
}

auto ShardOwner::index(const Job &Job) -> void {
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index)
    indexTask(Job, Index);
}

auto ShardOwner::reindex() -> void {
  Indexed_ = true;
  Pending_.clear();
  Bound_.clear();
  Held_.clear();
  Use_.clear();
  Proposed_.clear();
  Closing_.clear();
  Cancelling_.clear();
  AbandonedKeys_.clear();
  for (const auto &Each : state().jobs())
    index(Each.second);
}

auto ShardOwner::teamUse(const TeamName &Team) const -> Resources {
  const auto Found = Use_.find(Team);
  return Found == Use_.end() ? Resources{} : Found->second;
}

auto ShardOwner::propose(const TaskId &Task, TaskChanged Change) -> void {
  Change.Task_ = Task;
  Proposed_.insert(Task);
  Ledger_.append(std::move(Change));
}

auto ShardOwner::committed(Moment Now, const TaskChanged &Record,
                           EntryOutbox &Out) -> void {
  Proposed_.erase(Record.Task_);
  const auto *Job = state().findJob(Record.Task_.Job_);
  if (Job == nullptr)
    return;
  indexTask(*Job, Record.Task_.Index_);
  auto *Where = View_.Targets_.findAgent(Record.Agent_);
  if (Record.State_ == TaskState::Bound) {
    ++View_.Counters_.TasksBound_;
    if (Where != nullptr && Where->GrantedShards_.count(Shard_) != 0)
      sendBind(Now, Record.Task_, *Where, Out);
    return;
  }
  if (Record.State_ == TaskState::Finished)
    ++View_.Counters_.TasksFinished_;
  if (Where != nullptr)
    Out.push_back(SendToAgent{Where->Session_,
                              TaskReportAck{Record.Task_, Record.Attempt_}});
  Out.push_back(LogDecision{
      "task-changed",
      Record.Task_.Job_.Value_ + "/" + std::to_string(Record.Task_.Index_),
      View_.Configuration_.Head_.Revision_, Record.Reason_,
      std::string(taskStateText(Record.State_))});
}

// Binding.

auto ShardOwner::mayHost(Moment Now, const Target &Candidate,
                         const Resources &Need) const -> bool {
  return mayGetWork(Candidate, View_.Configuration_, Now.Steady_) &&
         Candidate.QuarantinedUntil_ <= Now.Steady_ &&
         Candidate.Load_.TasksQueued_ < QueueLimit &&
         Candidate.free().holds(Need);
}

auto ShardOwner::chooseWorker(Moment Now, const Resources &Need,
                              Random &Generator, EntryOutbox &Out) -> Target * {
  const auto &All = View_.Targets_.all();
  if (All.empty())
    return nullptr;
  Target *Best = nullptr;
  const auto Draws = std::min(DrawCount, All.size());
  const auto First =
      std::uniform_int_distribution<std::size_t>(0, All.size() - 1)(Generator);
  const auto Stride = std::max<std::size_t>(All.size() / Draws, 1);
  for (std::size_t Draw = 0; Draw < Draws; ++Draw) {
    auto *Each = All[(First + Draw * Stride) % All.size()];
    if (!mayHost(Now, *Each, Need))
      continue;
    claimTowards(Now, *Each, Out);
    if (Each->GrantedShards_.count(Shard_) == 0)
      continue;
    const auto Freer =
        Best == nullptr ||
        Each->free().MilliCores_ * Best->Hello_.Capacity_.MilliCores_ >
            Best->free().MilliCores_ * Each->Hello_.Capacity_.MilliCores_;
    if (Freer)
      Best = Each;
  }
  return Best;
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

auto ShardOwner::bindOne(Moment Now, const PendingRank &Rank, BindPass &Pass,
                         Random &Generator, EntryOutbox &Out) -> bool {
  const auto &Job = *state().findJob(Rank.Task_.Job_);
  const auto &Wanted = Job.Declaration_;
  const auto *Team = View_.Configuration_.Document_.findTeam(Wanted.Team_);
  const auto &Need = Wanted.TaskResources_;
  if (Team == nullptr || !Team->Quota_.holds(teamUse(Wanted.Team_) + Need))
    return false;
  // What has found no room in this pass won't find any for more.
  const auto Hopeless = std::any_of(
      Pass.NoRoom_.begin(), Pass.NoRoom_.end(),
      [&](const Resources &Smaller) { return Need.holds(Smaller); });
  if (Hopeless)
    return false;
  auto *Chosen = chooseWorker(Now, Need, Generator, Out);
  if (Chosen == nullptr) {
    ++Pass.Misses_;
    Pass.NoRoom_.push_back(Need);
    return false;
  }
  Chosen->Promised_ += Wanted.TaskResources_;
  Chosen->PromisedAt_ = Now.Steady_;
  auto Change = changeOf(Job.Tasks_[Rank.Task_.Index_], TaskState::Bound,
                         ErrorKind::None, Now);
  ++Change.Attempt_;
  Change.Agent_ = Chosen->agent();
  Change.DataCentre_ = Chosen->dataCentre();
  Change.Worker_ = Chosen->Hello_.Worker_;
  // The quota counts the task from here on, not from the commit on.
  Held_[Rank.Task_] = Wanted.TaskResources_;
  Use_[Wanted.Team_] += Wanted.TaskResources_;
  propose(Rank.Task_, std::move(Change));
  return true;
}

auto ShardOwner::bindPending(Moment Now, Random &Generator, EntryOutbox &Out)
    -> void {
  int Binds = 0;
  int Scanned = 0;
  BindPass Pass;
  for (auto Each = Pending_.begin(); Each != Pending_.end();) {
    if (Binds >= BindLimit || Scanned++ >= ScanLimit ||
        Pass.Misses_ >= MissLimit)
      break;
    const auto Rank = *Each++;
    const auto Delayed = NotBefore_.find(Rank.Task_);
    const auto Ready =
        Delayed == NotBefore_.end() || Delayed->second <= Now.Steady_;
    if (!Ready || Proposed_.count(Rank.Task_) != 0 ||
        Cancelling_.count(Rank.Task_.Job_) != 0)
      continue;
    if (Delayed != NotBefore_.end())
      NotBefore_.erase(Delayed);
    if (bindOne(Now, Rank, Pass, Generator, Out))
      ++Binds;
  }
}

auto ShardOwner::sendBind(Moment Now, const TaskId &Id, Target &To,
                          EntryOutbox &Out) -> void {
  const auto &Job = *state().findJob(Id.Job_);
  const auto &Task = Job.Tasks_[Id.Index_];
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
  Bind.Kind_ = Job.Declaration_.Kind_;
  Bind.Resources_ = Job.Declaration_.TaskResources_;
  Bind.RunTime_ = Job.Declaration_.RunTime_;
  Bind.Deadline_ = Job.Declaration_.Deadline_;
  Bind.Checkpoint_ = Task.Checkpoint_;
  Bind.Payload_ = Job.Declaration_.Payload_;
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
  const auto &Task = Job.Tasks_[Id.Index_];
  const auto Limit = View_.Configuration_.Document_.Policy_.TaskFailureLimit_;
  auto Change = changeOf(Task, TaskState::Pending, Reason, Now);
  Change.Checkpoint_ = Checkpoint;
  if (Failed) {
    ++Change.Failures_;
    NotBefore_[Id] =
        Now.Steady_ + FailureBackoff * (1U << std::min(Task.Failures_, 6U));
  }
  if (Job.Declaration_.Kind_ == WorkKind::Batch && Change.Failures_ >= Limit)
    Change.State_ = TaskState::Failed;
  if (Job.Cancelled_)
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
  const auto Done = Report.Phase_ == TaskPhase::Finished &&
                    Job.Declaration_.Kind_ == WorkKind::Batch;
  if (!Done) {
    requeue(Now, Report.Task_, Report.Reason_, Report.Checkpoint_, Failed);
    return;
  }
  auto Change = changeOf(Job.Tasks_[Report.Task_.Index_], TaskState::Finished,
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
  const auto &Task = Job.Tasks_[Id.Index_];
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
    if (Job.Cancelled_ && Soft.StopSentAt_ + ResendAfter < Now.Steady_) {
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
  // The worker stops the task by itself once its lease has run out; only
  // then may another worker get it.
  const auto Lease =
      withClockMargin(View_.Configuration_.Document_.Policy_.TaskLease_);
  const auto GrantedUntil =
      std::max(View_.Grants_.until({Task.Agent_, Task.Worker_}),
               Ledger_.oldGrantsUntil() + Lease);
  if (Now.Steady_ > GrantedUntil || isBroken(Mutation::ResumeBeforeLeaseEnds))
    loseTask(Now, Id);
}

auto ShardOwner::loseTask(Moment Now, const TaskId &Id) -> void {
  const auto &Job = *state().findJob(Id.Job_);
  const auto &Task = Job.Tasks_[Id.Index_];
  if (Job.Declaration_.RerunWhenLost_ ||
      Job.Declaration_.Kind_ == WorkKind::Watcher) {
    requeue(Now, Id, ErrorKind::WorkerGone, Task.Checkpoint_, false);
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
    if (Job.SubmittedAt_ + Day < Now.Wall_ && isOver(Job))
      Ledger_.append(JobForgotten{Id});
}

auto ShardOwner::lost(EntryOutbox &Out) -> void {
  for (const auto &[Key, Claim] : PendingClaims_)
    refuse(Claim.Token_, ErrorKind::KeyNotChecked, Key.Value_, Out);
  PendingClaims_.clear();
  for (auto *Waiting : {&WaitingAdd_, &WaitingCancel_}) {
    for (const auto &[Job, Callers] : *Waiting)
      for (const auto &Caller : Callers)
        refuse(Caller.Token_, ErrorKind::OutcomeUnknown, Job.Value_, Out);
    Waiting->clear();
  }
  for (auto *Each : View_.Targets_.all()) {
    Each->ClaimedShards_.erase(Shard_);
    Each->ConfirmedShards_.erase(Shard_);
    Each->GrantedShards_.erase(Shard_);
  }
  Indexed_ = false;
}

auto ShardOwner::afterStoreCall(Moment Now, EntryOutbox &Out) -> void {
  if (!owning()) {
    if (Indexed_)
      lost(Out);
    return;
  }
  if (!Indexed_) {
    reindex();
    for (auto *Each : View_.Targets_.all())
      agentJoined(Now, *Each, Out);
  }
  for (const auto &Record : Ledger_.takeCommitted())
    std::visit([&](const auto &Each) { committed(Now, Each, Out); }, Record);
  Ledger_.advance();
}

auto ShardOwner::tick(Moment Now, bool MayGrant, Random &Generator,
                      EntryOutbox &Out) -> void {
  afterStoreCall(Now, Out);
  giveUpWaiting(Now, Out);
  if (!owning())
    return;
  if (Now.Steady_ >= NextVerify_) {
    NextVerify_ = Now.Steady_ + VerifyEvery;
    Ledger_.verify();
  }
  if (Draining_ && quiet())
    Ledger_.release(Now);
  if (MayGrant && !releasing()) {
    watchBound(Now, Out);
    if (!Draining_) {
      bindPending(Now, Generator, Out);
      forgetOld(Now);
    }
  }
  Ledger_.advance();
}

} // namespace skylark
