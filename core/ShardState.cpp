#include "core/ShardState.h"

#include "core/Assert.h"
#include "core/EncodedSize.h"

#include <algorithm>

namespace skylark {
namespace {

/// Maximum number of items in a task's history; the event log has all of them.
constexpr std::size_t HistoryLimit = 16;

auto isTerminal(TaskState State) -> bool {
  return State == TaskState::Finished || State == TaskState::Failed ||
         State == TaskState::Cancelled;
}

auto addToHistory(TaskStatus &Task, AttemptRecord Attempt) -> void {
  if (Task.History_.size() >= HistoryLimit)
    Task.History_.erase(Task.History_.begin());
  Task.History_.push_back(std::move(Attempt));
}

auto cancelPending(Job &Job, WallTime At, ErrorKind Reason) -> void {
  for (auto &Task : Job.Tasks_) {
    if (Task.State_ != TaskState::Pending)
      continue;
    Task.State_ = TaskState::Cancelled;
    addToHistory(Task, {Task.Attempt_, Task.State_, {}, {}, At, Reason});
  }
}

/// Appends the records of a job: one if it has at most `MaxSize` bytes, and
/// otherwise the job as it was submitted and the states of its tasks in parts.
auto addJob(const Job &Added, std::size_t MaxSize,
            std::vector<LedgerRecord> &Records) -> void {
  if (encodedSize(Added) <= MaxSize) {
    Records.emplace_back(JobAdded{Added});
    return;
  }
  auto Submitted = Added;
  Submitted.Tasks_.assign(Added.Tasks_.size(), {});
  Records.emplace_back(JobAdded{std::move(Submitted)});
  std::size_t Size = MaxSize;
  TasksRestored *Part = nullptr;
  for (std::uint32_t Position = 0; Position < Added.Tasks_.size(); ++Position) {
    const auto &Task = Added.Tasks_[Position];
    const auto TaskSize = encodedSize(Task);
    if (Part == nullptr || Size + TaskSize > MaxSize) {
      Records.emplace_back(TasksRestored{Added.Id_, Position, {}});
      Part = &std::get<TasksRestored>(Records.back());
      Size = encodedSize(Added.Id_);
    }
    Part->Tasks_.push_back(Task);
    Size += TaskSize;
  }
}

auto isUnstarted(const Job &Each, const JobProgress &Progress) -> bool {
  return jobState(Each, Progress) == JobState::Queued;
}

/// Applies a change of a task to its job.
auto applyChange(const TaskChanged &Record, Job &Changed, JobProgress &Progress)
    -> void {
  const auto Position = Changed.positionOf(Record.Task_);
  SKYLARK_ASSERT(Position < Changed.Tasks_.size(),
                 "no such task:", Record.Task_);
  auto &Task = Changed.Tasks_[Position];
  const auto Before = Task.State_;
  SKYLARK_ASSERT(Record.Attempt_ >= Task.Attempt_,
                 "attempt number decreased:", Record.Task_, Task.Attempt_, "to",
                 Record.Attempt_);
  SKYLARK_ASSERT(
      !isTerminal(Task.State_), "task left its terminal state:", Record.Task_,
      taskStateText(Task.State_), "to", taskStateText(Record.State_));
  const auto Binds = Record.State_ == TaskState::Bound;
  SKYLARK_ASSERT(!Binds || (Task.State_ == TaskState::Pending &&
                            Record.Attempt_ == Task.Attempt_ + 1),
                 "task bound twice:", Record.Task_, Record.Attempt_);
  // The job may have failed or been cancelled after this change was queued; its
  // tasks must not become pending again.
  const auto CannotRequeue =
      Changed.isClosed() && Record.State_ == TaskState::Pending;
  Task.State_ = CannotRequeue ? TaskState::Cancelled : Record.State_;
  Task.Attempt_ = Record.Attempt_;
  Task.Agent_ = Record.Agent_;
  Task.Worker_ = Record.Worker_;
  Task.Checkpoint_ = Record.Checkpoint_;
  Task.Failures_ = Record.Failures_;
  Task.Started_ |= Record.Started_;
  Task.Crashes_ = Record.Crashes_;
  Task.SilentLosses_ = Record.SilentLosses_;
  addToHistory(Task, {Record.Attempt_, Record.State_, Record.Agent_,
                      Record.DataCentre_, Record.At_, Record.Reason_});
  if (Record.State_ == TaskState::Failed) {
    Changed.Failed_ = true;
    cancelPending(Changed, Record.At_, ErrorKind::TaskFailed);
    Progress = JobProgress(Changed);
  } else {
    Progress.taskChanged(Changed, Record.Task_, Before);
  }
}

} // namespace

auto ShardState::apply(const LedgerRecord &Record) -> void {
  std::visit([this](const auto &Each) { apply(Each); }, Record);
}

template <typename Function>
auto ShardState::changeJob(const JobId &Id, Function Change) -> void {
  const auto Found = Jobs_.find(Id);
  if (Found == Jobs_.end())
    return;
  auto &Progress = Progress_.at(Id);
  const auto WasUnstarted = isUnstarted(Found->second, Progress);
  Change(Found->second, Progress);
  if (WasUnstarted && !isUnstarted(Found->second, Progress))
    --Unstarted_[Found->second.Declaration_.Queue_];
}

auto ShardState::apply(const JobAdded &Record) -> void {
  const auto [Added, Inserted] = Jobs_.emplace(Record.Job_.Id_, Record.Job_);
  if (!Inserted)
    return;
  auto &Job = Added->second;
  Job.Outline_ = std::make_shared<JobOutline>(Job.Declaration_);
  const auto &Progress = Progress_.emplace(Job.Id_, Job).first->second;
  if (isUnstarted(Job, Progress))
    ++Unstarted_[Job.Declaration_.Queue_];
}

auto ShardState::apply(const JobCancelled &Record) -> void {
  if (Jobs_.count(Record.Job_) == 0) {
    CancelledIds_.insert(Record.Job_);
    return;
  }
  CancelledIds_.erase(Record.Job_);
  changeJob(Record.Job_, [&](Job &Cancelled, JobProgress &Progress) {
    Cancelled.Cancelled_ = true;
    cancelPending(Cancelled, Record.At_, ErrorKind::Cancelled);
    Progress = JobProgress(Cancelled);
  });
}

auto ShardState::apply(const TaskChanged &Record) -> void {
  changeJob(Record.Task_.Job_, [&](Job &Changed, JobProgress &Progress) {
    applyChange(Record, Changed, Progress);
  });
}

auto ShardState::apply(const JobRemoved &Record) -> void {
  CancelledIds_.erase(Record.Job_);
  const auto Found = Jobs_.find(Record.Job_);
  if (Found == Jobs_.end())
    return;
  if (isUnstarted(Found->second, Progress_.at(Record.Job_)))
    --Unstarted_[Found->second.Declaration_.Queue_];
  Progress_.erase(Record.Job_);
  Jobs_.erase(Found);
}

auto ShardState::apply(const ClaimOpened &Record) -> void {
  auto &Claim = Claims_[Record.Key_];
  // A key may be claimed again only if the request that claimed it first is
  // known not to have run.
  SKYLARK_ASSERT(Claim.Request_.empty() ||
                     (!Claim.Open_ &&
                      errorInfo(Claim.Error_).Execution_ == Execution::NotRun),
                 "key claimed twice:", Record.Key_);
  Claim = {};
  Claim.RequestDigest_ = Record.RequestDigest_;
  Claim.Request_ = Record.Request_;
  Claim.At_ = Record.At_;
}

auto ShardState::apply(const ClaimClosed &Record) -> void {
  const auto Found = Claims_.find(Record.Key_);
  if (Found == Claims_.end() || Found->second.Request_ != Record.Request_)
    return;
  auto &Claim = Found->second;
  Claim.Open_ = false;
  Claim.Error_ = Record.Error_;
  Claim.Status_ = Record.Status_;
  Claim.Body_ = Record.Body_;
}

auto ShardState::apply(const ClaimRemoved &Record) -> void {
  Claims_.erase(Record.Key_);
}

auto ShardState::recordStart(const TaskId &Id) -> void {
  changeJob(Id.Job_, [&](Job &Changed, JobProgress &Progress) {
    const auto Position = Changed.positionOf(Id);
    if (Position >= Changed.Tasks_.size())
      return;
    Changed.Tasks_[Position].Started_ = true;
    Progress.taskStarted();
  });
}

auto ShardState::apply(const TasksRestored &Record) -> void {
  changeJob(Record.Job_, [&](Job &Restored, JobProgress &Progress) {
    SKYLARK_ASSERT(Record.First_ + Record.Tasks_.size() <=
                       Restored.Tasks_.size(),
                   "no such tasks:", Record.Job_, Record.First_);
    std::copy(Record.Tasks_.begin(), Record.Tasks_.end(),
              Restored.Tasks_.begin() + Record.First_);
    Progress = JobProgress(Restored);
  });
}

auto ShardState::snapshot(std::size_t MaxSize) const
    -> std::vector<LedgerRecord> {
  std::vector<LedgerRecord> Records;
  Records.reserve(Jobs_.size() + CancelledIds_.size() + 2 * Claims_.size());
  // Before the jobs, or the id of a job that is yet to be cancelled would be
  // applied to it.
  for (const auto &Id : CancelledIds_)
    Records.emplace_back(JobCancelled{Id, {}});
  for (const auto &Each : Jobs_)
    addJob(Each.second, MaxSize, Records);
  for (const auto &[Key, Claim] : Claims_) {
    Records.emplace_back(
        ClaimOpened{Key, Claim.RequestDigest_, Claim.Request_, Claim.At_});
    if (!Claim.Open_)
      Records.emplace_back(ClaimClosed{Key, Claim.Request_, Claim.Error_,
                                       Claim.Status_, Claim.Body_, Claim.At_});
  }
  return Records;
}

auto ShardState::findJob(const JobId &Id) const -> const Job * {
  const auto Found = Jobs_.find(Id);
  return Found == Jobs_.end() ? nullptr : &Found->second;
}

auto ShardState::progressOf(const JobId &Id) const -> const JobProgress & {
  return Progress_.at(Id);
}

auto ShardState::countUnstarted(const QueueName &Queue) const -> std::uint64_t {
  const auto Found = Unstarted_.find(Queue);
  return Found == Unstarted_.end() ? 0 : Found->second;
}

auto ShardState::findTask(const TaskId &Id) const -> const TaskStatus * {
  const auto *Job = findJob(Id.Job_);
  if (Job == nullptr)
    return nullptr;
  const auto Position = Job->positionOf(Id);
  return Position < Job->Tasks_.size() ? &Job->Tasks_[Position] : nullptr;
}

auto ShardState::findClaim(const IdempotencyKey &Key) const -> const Claim * {
  const auto Found = Claims_.find(Key);
  return Found == Claims_.end() ? nullptr : &Found->second;
}

} // namespace skylark
