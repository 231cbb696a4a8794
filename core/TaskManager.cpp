#include "core/TaskManager.h"

#include "core/Assert.h"
#include "core/Mutation.h"
#include "core/StopSchedule.h"

#include <algorithm>
#include <array>

namespace skylark {
namespace {

/// Limit on batch tasks that write checkpoints at the same time while draining.
constexpr int MaxConcurrentDrains = 4;
/// How long a best-effort task waits for latency headroom before it is returned
/// to its owner.
constexpr Millis HeadroomTimeout{700};
/// How long after a shrink of the worker's capacity bindings may arrive that
/// its owner made for the larger one.
constexpr Millis StaleBindingPeriod{1000};
/// Longer than a worker takes to carry a stop out that it has answered.
constexpr Millis StopSettledPeriod{2000};
/// A worker that can't be connected to fails each start command at once.
constexpr Millis StartRepeatInterval{50};
/// Time within which a stop that is due is ordered and reaches the worker.
constexpr Millis StopOrderDelay{150};
/// A task is stopped this much before the end of its lease at most: grants are
/// renewed twice a second, and a stall of some of them must not stop it.
constexpr Millis MaxEarlyStop{2000};

/// A number that is higher than those of all earlier fences of the process.
auto fenceAt(TimePoint Now) -> std::uint64_t {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Micros>(Now.time_since_epoch()).count());
}

auto keyOf(const BindTask &Bind) -> std::pair<TaskId, AttemptNumber> {
  return {Bind.Task_, Bind.Attempt_};
}

auto endEvent(TaskPhase Phase) -> std::string_view {
  switch (Phase) {
  case TaskPhase::Finished:
    return "attempt-finished";
  case TaskPhase::Failed:
    return "attempt-failed";
  case TaskPhase::NotStarted:
    return "attempt-not-started";
  default:
    return "attempt-stopped";
  }
}

} // namespace

auto taskPhaseText(TaskPhase Phase) -> std::string_view {
  constexpr std::array<std::string_view, 8> Texts{
      "queued",   "starting", "running", "stopping",
      "finished", "failed",   "stopped", "not started"};
  return Texts[static_cast<std::size_t>(Phase)];
}

auto hasBegun(const TaskReport &Report) -> bool {
  switch (Report.Phase_) {
  case TaskPhase::Queued:
  case TaskPhase::Starting:
  case TaskPhase::NotStarted:
    return false;
  case TaskPhase::Stopped:
    // If the worker is gone, its start may have had no effect.
    return Report.Reason_ != ErrorKind::WorkerGone;
  default:
    return true;
  }
}

auto TaskManager::reportOf(const HeldTask &Held) -> TaskReport {
  return {Held.Bind_.Shard_, Held.Bind_.Task_, Held.Bind_.Attempt_, Held.Phase_,
          Held.Checkpoint_,  Held.Reason_,     Held.NeedsBinding_};
}

auto TaskManager::adopt(TimePoint Now, const WorkerInventory &Inventory,
                        const EarlierLeases &Earlier) -> void {
  Earlier_ = Earlier;
  Worker_ = Inventory.Worker_;
  MoreEnds_ = Inventory.MoreEnds_;
  ListIsWhole_ = Inventory.Complete_ && !Inventory.MoreEnds_;
  // An answer to a poll of an earlier state machine of this process, which may
  // still arrive, has a lower fence.
  Fence_ = fenceAt(Now);
  ConfirmedFence_ = Fence_;
  for (const auto &Task : Inventory.Tasks_) {
    adoptTask(Task);
    if (!isEnded(Task.Phase_))
      recordLease(Now, Earlier.Until_);
  }
}

auto TaskManager::adoptTask(const WorkerTask &Task) -> void {
  auto &Held = Tasks_[Task.Bind_.Task_];
  // The worker may still list the end of an earlier attempt.
  if (Held.Bind_.Attempt_ > Task.Bind_.Attempt_)
    return;
  Ledger_.release(Task.Bind_.Task_);
  Held.Bind_ = Task.Bind_;
  Held.Phase_ = Task.Phase_;
  Held.Checkpoint_ = Task.Checkpoint_;
  Held.Reason_ = Task.Reason_;
  Held.NeedsBinding_ = Task.IdOnly_ && !isEnded(Task.Phase_);
  Held.Adopted_ = true;
  // Reject owners with an older epoch than the one that bound the task: they
  // don't know the task, and would acknowledge its end without recording it.
  auto &Owner = Owners_[Held.Bind_.Shard_];
  Owner.Epoch_ = std::max(Owner.Epoch_, Held.Bind_.Epoch_);
  if (!isEnded(Held.Phase_))
    Ledger_.adopt(Held.Bind_.Task_, Held.Bind_.Resources_);
}

auto TaskManager::update(TimePoint Now, const WorkerInventory &Inventory,
                         AgentOutbox &Out) -> bool {
  // Ignore an inventory that is older than the last one processed.
  if (Inventory.Clock_ < WorkerClock_)
    return false;
  WorkerClock_ = Inventory.Clock_;
  WorkerClockAt_ = Now;
  ConfirmedFence_ = std::max(ConfirmedFence_, Inventory.Fence_);
  MoreEnds_ = Inventory.MoreEnds_;
  ListIsWhole_ = Inventory.Complete_ && !Inventory.MoreEnds_;
  ListWasWhole_ |= !MoreEnds_;
  if (ListIsWhole_)
    UnknownStops_.clear();
  std::map<AttemptKey, const WorkerTask *> Observed;
  for (const auto &Task : Inventory.Tasks_)
    Observed[keyOf(Task.Bind_)] = &Task;
  auto NewlyEnded = false;
  for (auto &[Task, Held] : Tasks_) {
    const auto Found = Observed.find(keyOf(Held.Bind_));
    if (Found != Observed.end())
      NewlyEnded |= updateTask(Held, *Found->second, Out);
    else {
      Held.RunsAfterEnd_ = false;
      resolveMissing(Held, Inventory, Out);
    }
  }
  handleUnheldAttempts(Inventory, Out);
  RunsUnreserved_ = std::any_of(
      Inventory.Tasks_.begin(), Inventory.Tasks_.end(), [&](const auto &Task) {
        return !isEnded(Task.Phase_) && !isReserved(Task.Bind_);
      });
  for (auto &[Shard, Owner] : Owners_)
    if (Owner.AwaitsList_ && ListIsWhole_ && Owner.Session_ != 0)
      sendConfirmation(Shard, Owner, Out);
  return NewlyEnded;
}

auto TaskManager::isReserved(const BindTask &Bind) const -> bool {
  const auto Found = Tasks_.find(Bind.Task_);
  return Found != Tasks_.end() &&
         Found->second.Bind_.Attempt_ == Bind.Attempt_ &&
         !isEnded(Found->second.Phase_);
}

auto TaskManager::resize(TimePoint Now, const Resources &Capacity) -> void {
  if (!Capacity.holds(Ledger_.capacity()))
    StaleBindingsUntil_ = Now + StaleBindingPeriod;
  Ledger_.resize(Capacity);
}

auto TaskManager::returnUnplaceable(TimePoint Now, AgentOutbox &Out) -> void {
  if (Now >= StaleBindingsUntil_)
    return;
  auto Free = Ledger_.free();
  for (auto *Held : startOrder()) {
    const auto &Need = Held->Bind_.Resources_;
    if (Free.holds(Need))
      Free -= Need;
    else
      end(*Held, TaskPhase::NotStarted, ErrorKind::NeverFits, Out);
  }
}

auto TaskManager::anyOwnerSession() const -> SessionNumber {
  for (const auto &[Shard, Owner] : Owners_)
    if (Owner.Session_ != 0)
      return Owner.Session_;
  return 0;
}

auto TaskManager::colocatedTaskOf(const HeldTask &Held) -> ColocatedTask {
  const auto &Bind = Held.Bind_;
  ColocatedTask Task;
  Task.Task_ = Bind.Task_;
  Task.Attempt_ = Bind.Attempt_;
  Task.Image_ = Bind.Image_;
  Task.BestEffort_ = Bind.BestEffort_;
  Task.Target_ = Bind.TailTarget_;
  Task.FullMilliCores_ = Bind.BestEffortMilliCores_;
  Task.Checkpoints_ = Bind.Checkpoints_;
  Task.Deadline_ = Bind.Deadline_;
  Task.OnlyTaskOfJob_ = Bind.StartsDespiteInterference_;
  Task.PaceUnknown_ = Held.Adopted_;
  return Task;
}

auto TaskManager::paceBestEffort(TimePoint Now,
                                 const WorkerInventory &Inventory,
                                 AgentOutbox &Out) -> void {
  std::vector<ColocatedTask> Tasks;
  for (const auto &Observed : Inventory.Tasks_) {
    const auto Found = Tasks_.find(Observed.Bind_.Task_);
    if (Found == Tasks_.end() || isEnded(Observed.Phase_) ||
        Found->second.Phase_ != TaskPhase::Running ||
        Found->second.Bind_.Attempt_ != Observed.Bind_.Attempt_)
      continue;
    auto Task = colocatedTaskOf(Found->second);
    Task.Tail_ = Observed.Tail_;
    Task.MilliCores_ = Observed.MilliCores_;
    Tasks.push_back(std::move(Task));
  }
  const auto Orders = InterferenceController_.observe(Now, Tasks);
  for (const auto &Pace : Orders.Paces_) {
    Out.push_back(Pace);
    Out.push_back(LogDecision{
        "task-paced", Pace.Task_.text(), 0, ErrorKind::None,
        "attempt " + std::to_string(Pace.Attempt_) + " to " +
            std::to_string(Pace.Percent_) + " %: " + Orders.Explanation_});
  }
  for (const auto &[Task, Attempt] : Orders.Evictions_) {
    Out.push_back(LogDecision{
        "task-sent-away", Task.text(), 0, ErrorKind::Evicted,
        "attempt " + std::to_string(Attempt) + ": " + Orders.Explanation_});
    stopHeld(Tasks_.at(Task), ErrorKind::Evicted, Out);
  }
  const auto Session = anyOwnerSession();
  if (!Orders.Sample_.Serving_.empty() && Session != 0)
    Out.push_back(SendToEntry{Session, Orders.Sample_});
}

auto TaskManager::handleUnheldAttempts(const WorkerInventory &Inventory,
                                       AgentOutbox &Out) -> void {
  std::map<AttemptKey, TaskReport> Listed;
  for (const auto &Task : Inventory.Tasks_) {
    const auto &Bind = Task.Bind_;
    const auto FoundTask = Tasks_.find(Bind.Task_);
    if (FoundTask != Tasks_.end() &&
        FoundTask->second.Bind_.Attempt_ <= Bind.Attempt_)
      continue;
    const auto Acknowledged = isAcknowledged(Task);
    if (!isEnded(Task.Phase_))
      Out.push_back(StopOnWorker{Bind.Task_, Bind.Attempt_});
    else if (Acknowledged)
      Out.push_back(ForgetOnWorker{Bind.Task_, Bind.Attempt_});
    else
      AcknowledgedEnds_.erase(keyOf(Bind));
    const TaskReport Report{Bind.Shard_, Bind.Task_,       Bind.Attempt_,
                            Task.Phase_, Task.Checkpoint_, Task.Reason_,
                            false};
    Listed.emplace(keyOf(Bind), Report);
    const auto Known = UnheldAttempts_.find(keyOf(Bind));
    const auto Changed =
        Known == UnheldAttempts_.end() || Known->second.Phase_ != Report.Phase_;
    if (!Changed || Acknowledged)
      continue;
    Out.push_back(LogDecision{
        "attempt-not-held", Bind.Task_.text(), 0, Task.Reason_,
        "attempt " + std::to_string(Bind.Attempt_) + " " +
            std::string(taskPhaseText(Task.Phase_)) + " on the worker; holds " +
            (FoundTask == Tasks_.end()
                 ? std::string("none")
                 : "attempt " +
                       std::to_string(FoundTask->second.Bind_.Attempt_))});
    if (isEnded(Task.Phase_))
      sendReport(Report, Out);
  }
  for (auto Each = AcknowledgedEnds_.begin();
       Each != AcknowledgedEnds_.end();) {
    const auto Found = Listed.find(Each->first);
    const auto IsListed = Found != Listed.end();
    if (IsListed && isEnded(Found->second.Phase_))
      Listed.erase(Found);
    // An end that isn't listed now may be listed later if there are more.
    Each =
        IsListed || MoreEnds_ ? std::next(Each) : AcknowledgedEnds_.erase(Each);
  }
  UnheldAttempts_ = std::move(Listed);
}

auto TaskManager::isAcknowledged(const WorkerTask &Ended) const -> bool {
  const auto Found = AcknowledgedEnds_.find(keyOf(Ended.Bind_));
  return Found != AcknowledgedEnds_.end() &&
         (Found->second == Ended.Phase_ || Ended.Phase_ != TaskPhase::Finished);
}

auto TaskManager::finishedAttempt(const BindTask &Later) const
    -> std::optional<TaskReport> {
  if (Later.Kind_ == WorkKind::Watcher)
    return std::nullopt;
  const auto Held = Tasks_.find(Later.Task_);
  if (Held != Tasks_.end() && Held->second.Phase_ == TaskPhase::Finished)
    return reportOf(Held->second);
  return finishedUnheld(Later.Task_);
}

auto TaskManager::finishedUnheld(const TaskId &Task) const
    -> std::optional<TaskReport> {
  for (auto Each = UnheldAttempts_.lower_bound({Task, 0});
       Each != UnheldAttempts_.end() && Each->first.first == Task; ++Each)
    if (Each->second.Phase_ == TaskPhase::Finished)
      return Each->second;
  return std::nullopt;
}

auto TaskManager::updateTask(HeldTask &Held, const WorkerTask &Observed,
                             AgentOutbox &Out) -> bool {
  Held.Checkpoint_ = Observed.Checkpoint_;
  if (isEnded(Held.Phase_)) {
    Held.RunsAfterEnd_ = !isEnded(Observed.Phase_);
    correctEnd(Held, Observed, Out);
    return false;
  }
  if (isEnded(Observed.Phase_)) {
    // A stop that was requested keeps the reason given with the request.
    const auto StopRequested =
        Held.StopRequested_ && Observed.Phase_ == TaskPhase::Stopped;
    end(Held, Observed.Phase_, StopRequested ? Held.Reason_ : Observed.Reason_,
        Out);
    return true;
  }
  if (Held.Phase_ == TaskPhase::Starting)
    startObserved(Held, Out);
  return false;
}

auto TaskManager::correctEnd(HeldTask &Held, const WorkerTask &Observed,
                             AgentOutbox &Out) -> void {
  if (Held.Phase_ == Observed.Phase_)
    return;
  // The attempt was reported ended, so its owner may have started another one.
  if (!isEnded(Observed.Phase_))
    Out.push_back(StopOnWorker{Held.Bind_.Task_, Held.Bind_.Attempt_});
  if (!Held.ConflictLogged_) {
    Held.ConflictLogged_ = true;
    Out.push_back(LogDecision{
        "end-contradicted", Held.Bind_.Task_.text(), Held.StartRevision_,
        Held.Reason_,
        "attempt " + std::to_string(Held.Bind_.Attempt_) + " was reported " +
            std::string(taskPhaseText(Held.Phase_)) + "; the worker lists " +
            std::string(taskPhaseText(Observed.Phase_))});
  }
  if (Observed.Phase_ != TaskPhase::Finished)
    return;
  Held.Phase_ = TaskPhase::Finished;
  Held.Reason_ = ErrorKind::None;
  report(Held, Out);
}

auto TaskManager::startObserved(HeldTask &Held, AgentOutbox &Out) -> void {
  Held.Phase_ = TaskPhase::Running;
  report(Held, Out);
  if (Held.StopRequested_)
    stopHeld(Held, Held.Reason_, Out);
}

auto TaskManager::startAnswered(TimePoint Now, const TaskId &Task,
                                AttemptNumber Attempt, StartOutcome Outcome,
                                const StartPermits &Permits, AgentOutbox &Out)
    -> void {
  const auto Found = Tasks_.find(Task);
  if (Found == Tasks_.end() || Found->second.Bind_.Attempt_ != Attempt ||
      Found->second.Phase_ != TaskPhase::Starting)
    return;
  auto &Held = Found->second;
  if (Outcome == StartOutcome::Accepted) {
    const auto Pace = InterferenceController_.startPace(Task, Attempt);
    if (Held.Bind_.BestEffort_ && Pace < FullPace)
      Out.push_back(PaceOnWorker{Task, Attempt, Pace});
    startObserved(Held, Out);
    return;
  }
  if (Outcome == StartOutcome::Refused) {
    Held.StartRefused_ = true;
    // The lists of the confirmed fences came too early to end the attempt, so
    // it needs a new one.
    if (ConfirmedFence_ == Fence_)
      Held.StartFence_ = Fence_;
    if (isMutationActive(Mutation::TrustRefusals)) {
      Out.push_back(StopOnWorker{Task, Attempt});
      end(Held, TaskPhase::NotStarted, ErrorKind::WorkerGone, Out);
    }
    return;
  }
  Held.StartUnanswered_ = true;
  repeatStart(Now, Held, Permits, Out);
}

auto TaskManager::repeatStarts(TimePoint Now, const StartPermits &Permits,
                               AgentOutbox &Out) -> void {
  for (auto &[Task, Held] : Tasks_)
    repeatStart(Now, Held, Permits, Out);
}

auto TaskManager::repeatStart(TimePoint Now, HeldTask &Held,
                              const StartPermits &Permits, AgentOutbox &Out)
    -> void {
  if (Held.Phase_ != TaskPhase::Starting || !Held.StartUnanswered_ ||
      Now < Held.NextStartRepeat_)
    return;
  Held.StartUnanswered_ = false;
  if (Held.StopRequested_ || Held.StartRefused_)
    return;
  // A second copy of the start command is harmless: the worker runs an attempt
  // only once.
  const auto Until =
      std::min(Held.LeaseUntil_, Permits.startUntil(Held.StartRevision_));
  if (Until <= Now)
    return;
  Held.NextStartRepeat_ = Now + StartRepeatInterval;
  recordLease(Now, Until);
  Held.StartLeaseUntil_ = std::max(Held.StartLeaseUntil_, toWorkerClock(Until));
  commandStart(Held, Out);
}

auto TaskManager::commandStart(HeldTask &Held, AgentOutbox &Out) const -> void {
  Held.StartFence_ = Fence_;
  Out.push_back(StartOnWorker{Held.Bind_, Held.StartLeaseUntil_});
}

auto TaskManager::fenceRefusedStarts(TimePoint Now, bool Renew,
                                     AgentOutbox &Out) -> void {
  const auto MayStartStill = [&](const auto &Each) {
    const auto &Held = Each.second;
    return Held.Phase_ == TaskPhase::Starting && Held.StartRefused_ &&
           Held.StartFence_ == Fence_;
  };
  if (ConfirmedFence_ != Fence_ ||
      std::none_of(Tasks_.begin(), Tasks_.end(), MayStartStill))
    return;
  Fence_ = std::max(Fence_ + 1, fenceAt(Now));
  poll(Now, Renew, Out);
  std::get<PollWorker>(Out.back()).AnswerAtOnce_ = true;
}

auto TaskManager::endAllTasks(AgentOutbox &Out) -> void {
  for (auto &[Task, Held] : Tasks_)
    if (!isEnded(Held.Phase_))
      end(Held,
          Held.Phase_ == TaskPhase::Queued ? TaskPhase::NotStarted
                                           : TaskPhase::Stopped,
          ErrorKind::WorkerGone, Out);
}

auto TaskManager::resolveMissing(HeldTask &Held,
                                 const WorkerInventory &Inventory,
                                 AgentOutbox &Out) -> void {
  if (isEnded(Held.Phase_) || Held.Phase_ == TaskPhase::Queued ||
      !Inventory.Complete_)
    return;
  const auto StartedHere = Held.StartLeaseUntil_ != Micros{0};
  if (StartedHere && !cannotStartAfter(Held, Inventory))
    return;
  const auto Phase = Held.Phase_ == TaskPhase::Starting ? TaskPhase::NotStarted
                                                        : TaskPhase::Failed;
  const auto NotStarted = Phase == TaskPhase::NotStarted;
  end(Held, Phase,
      NotStarted && Held.StopRequested_ ? Held.Reason_ : ErrorKind::WorkerGone,
      Out);
}

auto TaskManager::cannotStartAfter(const HeldTask &Held,
                                   const WorkerInventory &Inventory) -> bool {
  // The worker refuses a start command whose lease has expired on its own
  // clock.
  if (Inventory.Clock_ > Held.StartLeaseUntil_)
    return true;
  // One that was not refused is repeated behind a later fence.
  return Held.StartRefused_ && Inventory.Fence_ > Held.StartFence_;
}

auto TaskManager::end(HeldTask &Held, TaskPhase Phase, ErrorKind Reason,
                      AgentOutbox &Out) -> void {
  SKYLARK_ASSERT(!isEnded(Held.Phase_),
                 "attempt ended twice:", Held.Bind_.Task_, Held.Bind_.Attempt_);
  Held.Phase_ = Phase;
  Held.Reason_ = Reason;
  Ledger_.release(Held.Bind_.Task_);
  log(endEvent(Phase), Held, Out);
  report(Held, Out);
}

auto TaskManager::log(std::string_view Event, const HeldTask &Held,
                      AgentOutbox &Out) -> void {
  Out.push_back(LogDecision{Event, Held.Bind_.Task_.text(), Held.StartRevision_,
                            Held.Reason_,
                            "attempt " + std::to_string(Held.Bind_.Attempt_)});
}

auto TaskManager::report(const HeldTask &Held, AgentOutbox &Out) const -> void {
  sendReport(reportOf(Held), Out);
}

auto TaskManager::sendReport(const TaskReport &Report, AgentOutbox &Out) const
    -> void {
  const auto Session = sessionOf(Report.Shard_);
  if (Session != 0)
    Out.push_back(SendToEntry{Session, Report});
}

auto TaskManager::sessionOf(ShardNumber Shard) const -> SessionNumber {
  const auto Found = Owners_.find(Shard);
  return Found == Owners_.end() ? 0 : Found->second.Session_;
}

auto TaskManager::acceptOwner(ShardNumber Shard, Epoch Epoch,
                              SessionNumber Session) -> bool {
  auto &Owner = Owners_[Shard];
  if (Epoch < Owner.Epoch_)
    return false;
  Owner.Epoch_ = Epoch;
  Owner.Session_ = Session;
  return true;
}

auto TaskManager::claim(SessionNumber Session, const ClaimOwnership &Claim,
                        AgentOutbox &Out) -> void {
  const auto KnownEpoch = Owners_[Claim.Shard_].Epoch_;
  const auto OwnerAccepted = acceptOwner(Claim.Shard_, Claim.Epoch_, Session);
  std::size_t HeldTasks = 0;
  if (OwnerAccepted)
    HeldTasks = sendConfirmation(Claim.Shard_, Owners_[Claim.Shard_], Out);
  else
    Out.push_back(SendToEntry{
        Session,
        ConfirmOwnership{Claim.Shard_, KnownEpoch, Worker_, {}, false}});
  Out.push_back(LogDecision{
      OwnerAccepted ? "owner-accepted" : "owner-rejected",
      std::to_string(Claim.Shard_), 0, ErrorKind::None,
      "epoch " + std::to_string(Claim.Epoch_) + " after " +
          std::to_string(KnownEpoch) + ", holds " + std::to_string(HeldTasks) +
          " tasks" + (ListIsWhole_ ? "" : ", maybe more on the worker")});
  // A new owner has no interference data yet.
  if (OwnerAccepted && !InterferenceController_.table().Rows_.empty())
    Out.push_back(SendToEntry{Session, InterferenceController_.table()});
}

auto TaskManager::sendConfirmation(ShardNumber Shard, Owner &To,
                                   AgentOutbox &Out) const -> std::size_t {
  ConfirmOwnership Confirm;
  Confirm.Shard_ = Shard;
  Confirm.Epoch_ = To.Epoch_;
  Confirm.Worker_ = Worker_;
  Confirm.MoreEnds_ = !ListIsWhole_;
  for (const auto &[Task, Held] : Tasks_)
    if (Held.Bind_.Shard_ == Shard)
      Confirm.HeldTasks_.push_back(reportOf(Held));
  // One that runs is being stopped; until then its task must not run elsewhere.
  for (const auto &[Key, Report] : UnheldAttempts_)
    if (Report.Shard_ == Shard &&
        (isEnded(Report.Phase_) ||
         !isMutationActive(Mutation::ForgetRunningTasks)))
      Confirm.HeldTasks_.push_back(Report);
  To.AwaitsList_ = !ListIsWhole_;
  const auto HeldTasks = Confirm.HeldTasks_.size();
  Out.push_back(SendToEntry{To.Session_, std::move(Confirm)});
  return HeldTasks;
}

auto TaskManager::bind(TimePoint Now, SessionNumber Session,
                       const BindTask &Bind, const StartPermits &Permits,
                       AgentOutbox &Out) -> void {
  const auto FoundOwner = Owners_.find(Bind.Shard_);
  const auto Current = FoundOwner != Owners_.end() &&
                       FoundOwner->second.Session_ == Session &&
                       FoundOwner->second.Epoch_ == Bind.Epoch_;
  if (!Current || Bind.Worker_ != Worker_)
    return;
  const auto Found = Tasks_.find(Bind.Task_);
  if (Found != Tasks_.end()) {
    if (Bind.Attempt_ <= Found->second.Bind_.Attempt_) {
      completeBinding(Found->second, Bind);
      report(Found->second, Out);
      return;
    }
    // The owner gave the earlier attempt up while this agent couldn't be
    // reached. The binding is taken when the owner repeats it after that
    // attempt has ended.
    if (Found->second.RunsAfterEnd_)
      return;
    if (!isEnded(Found->second.Phase_)) {
      stopHeld(Found->second, ErrorKind::StaleEpoch, Out);
      return;
    }
  }
  // An earlier attempt that was given up still runs and is being stopped.
  const auto Runs = [&](const auto &Each) {
    return Each.first.first == Bind.Task_ && !isEnded(Each.second.Phase_);
  };
  if (std::any_of(UnheldAttempts_.begin(), UnheldAttempts_.end(), Runs))
    return;
  // The owner doesn't know yet that the task is done.
  if (const auto Finished = finishedAttempt(Bind)) {
    sendReport(*Finished, Out);
    return;
  }
  auto &Held = Tasks_[Bind.Task_];
  Held = HeldTask{};
  Held.Bind_ = Bind;
  Held.Checkpoint_ = Bind.Checkpoint_;
  Held.LeaseUntil_ = runUntil(Held, Permits);
  Held.AwaitsList_ = MoreEnds_ && (!ListWasWhole_ || Bind.Attempt_ > 1);
  const auto MadeForLargerCapacity =
      Now < StaleBindingsUntil_ && !Ledger_.fits(Bind.Resources_);
  if (!Ledger_.capacity().holds(Bind.Resources_) || MadeForLargerCapacity)
    end(Held, TaskPhase::NotStarted, ErrorKind::NeverFits, Out);
  else if (Held.LeaseUntil_ <= Now)
    // The message was delayed for so long that the owner may have bound the
    // task elsewhere.
    end(Held, TaskPhase::NotStarted, ErrorKind::LeaseExpired, Out);
  else
    report(Held, Out);
}

auto TaskManager::completeBinding(HeldTask &Held, const BindTask &Bind)
    -> void {
  if (!Held.NeedsBinding_ || Held.Bind_.Attempt_ != Bind.Attempt_)
    return;
  Held.NeedsBinding_ = false;
  Held.Bind_ = Bind;
  if (!isEnded(Held.Phase_))
    Ledger_.adopt(Bind.Task_, Bind.Resources_);
}

auto TaskManager::stop(TimePoint Now, const StopTask &Stop, AgentOutbox &Out)
    -> void {
  const auto FoundOwner = Owners_.find(Stop.Shard_);
  const auto FromOwner =
      FoundOwner != Owners_.end() && FoundOwner->second.Epoch_ <= Stop.Epoch_;
  if (!FromOwner && Stop.Reason_ != ErrorKind::Cancelled)
    return;
  const auto Found = Tasks_.find(Stop.Task_);
  if (Found == Tasks_.end() || Found->second.Bind_.Attempt_ < Stop.Attempt_) {
    if (FromOwner && (Stop.Reason_ == ErrorKind::Cancelled ||
                      Stop.Reason_ == ErrorKind::WorkerGone))
      stopUnknown(Stop, Out);
    return;
  }
  auto &Held = Found->second;
  // The command is repeated already.
  if (Held.Bind_.Attempt_ != Stop.Attempt_ || Held.StopRequested_)
    return;
  Held.NextStopRepeat_ = Now + StopRepeatInterval;
  stopHeld(Held, Stop.Reason_, Out);
}

auto TaskManager::hasOtherAttempt(const TaskId &Task,
                                  AttemptNumber Attempt) const -> bool {
  const auto Found = Tasks_.find(Task);
  if (Found != Tasks_.end()) {
    const auto &Held = Found->second;
    if (!isEnded(Held.Phase_) || Held.Phase_ == TaskPhase::Finished ||
        Held.RunsAfterEnd_ || Held.Bind_.Attempt_ >= Attempt)
      return true;
  }
  const auto Unheld = UnheldAttempts_.lower_bound({Task, 0});
  return (Unheld != UnheldAttempts_.end() && Unheld->first.first == Task) ||
         AcknowledgedEnds_.count({Task, Attempt}) != 0;
}

auto TaskManager::stopUnknown(const StopTask &Stop, AgentOutbox &Out) -> void {
  if (hasOtherAttempt(Stop.Task_, Stop.Attempt_))
    return;
  // The worker refuses a start that arrives after the stop.
  Out.push_back(StopOnWorker{Stop.Task_, Stop.Attempt_});
  if (!ListIsWhole_)
    UnknownStops_.try_emplace({Stop.Task_, Stop.Attempt_},
                              UnknownStop{Stop, std::nullopt});
  else if (Stop.Reason_ == ErrorKind::Cancelled)
    endUnknown(Stop, TaskPhase::NotStarted, Out);
}

auto TaskManager::stopAnswered(TimePoint Now, const TaskId &Task,
                               AttemptNumber Attempt, AgentOutbox &Out)
    -> void {
  const auto Found = UnknownStops_.find({Task, Attempt});
  if (Found == UnknownStops_.end())
    return;
  auto &AnsweredAt = Found->second.AnsweredAt_;
  if (!AnsweredAt)
    AnsweredAt = Now;
  // An end that isn't listed yet may be a finish.
  if (*AnsweredAt + StopSettledPeriod > Now || MoreEnds_)
    return;
  const auto Stop = Found->second.Stop_;
  UnknownStops_.erase(Found);
  if (!hasOtherAttempt(Task, Attempt))
    endUnknown(Stop, TaskPhase::Stopped, Out);
}

auto TaskManager::endUnknown(const StopTask &Stop, TaskPhase Phase,
                             AgentOutbox &Out) -> void {
  auto &Held = Tasks_[Stop.Task_];
  Held = HeldTask{};
  Held.Bind_.Shard_ = Stop.Shard_;
  Held.Bind_.Task_ = Stop.Task_;
  Held.Bind_.Attempt_ = Stop.Attempt_;
  end(Held, Phase, Stop.Reason_, Out);
}

auto TaskManager::stopHeld(HeldTask &Held, ErrorKind Reason, AgentOutbox &Out)
    -> void {
  if (Held.Phase_ == TaskPhase::Queued) {
    end(Held, TaskPhase::NotStarted, Reason, Out);
    return;
  }
  if (isEnded(Held.Phase_))
    return;
  if (!Held.StopRequested_) {
    Held.StopRequested_ = true;
    Held.Reason_ = Reason;
    log("stop-ordered", Held, Out);
  }
  // A stop that arrives before the start makes the worker refuse the start.
  if (Held.Phase_ != TaskPhase::Starting)
    Held.Phase_ = TaskPhase::Stopping;
  Out.push_back(StopOnWorker{Held.Bind_.Task_, Held.Bind_.Attempt_});
}

auto TaskManager::acknowledge(const TaskReportAck &Ack, AgentOutbox &Out)
    -> void {
  const AttemptKey Key{Ack.Task_, Ack.Attempt_};
  const auto Held = Tasks_.find(Ack.Task_);
  const auto Unheld = UnheldAttempts_.find(Key);
  // The owner has recorded another end, and hears of the finish next.
  const auto Unrecorded = [&](TaskPhase Phase) {
    return Phase == TaskPhase::Finished && Ack.Phase_ != Phase;
  };
  if ((Held != Tasks_.end() && keyOf(Held->second.Bind_) == Key &&
       Unrecorded(Held->second.Phase_)) ||
      (Unheld != UnheldAttempts_.end() && Unrecorded(Unheld->second.Phase_)))
    return;
  if (Held != Tasks_.end() && keyOf(Held->second.Bind_) == Key &&
      isEnded(Held->second.Phase_))
    Tasks_.erase(Held);
  else if (Unheld != UnheldAttempts_.end() && isEnded(Unheld->second.Phase_))
    UnheldAttempts_.erase(Unheld);
  else
    return;
  AcknowledgedEnds_[Key] = Ack.Phase_;
  Out.push_back(ForgetOnWorker{Ack.Task_, Ack.Attempt_});
}

auto TaskManager::hasExpired(const HeldTask &Held, TimePoint Now) const
    -> bool {
  // The lease of an adopted task is unknown until its owner grants one.
  const auto Granted = Held.LeaseUntil_ != TimePoint{};
  const auto MustStop =
      Now < Earlier_.Until_ && Earlier_.LongestStop_ > Millis{0};
  const auto StopTime =
      MustStop ? std::min(StopOrderDelay + Earlier_.LongestStop_, MaxEarlyStop)
               : Millis{0};
  return Held.LeaseUntil_ <= Now + StopTime &&
         (Granted || Held.Phase_ == TaskPhase::Queued);
}

auto TaskManager::refreshLeases(TimePoint Now, const StartPermits &Permits,
                                AgentOutbox &Out) -> void {
  for (auto &[Task, Held] : Tasks_) {
    if (isEnded(Held.Phase_))
      continue;
    // A lease that was granted stays valid when the connection closes.
    if (!hasExpired(Held, Now))
      Held.LeaseUntil_ = std::max(Held.LeaseUntil_, runUntil(Held, Permits));
    else if (Held.Phase_ == TaskPhase::Queued || !Held.StopRequested_)
      stopHeld(Held, ErrorKind::LeaseExpired, Out);
  }
}

auto TaskManager::startOrder() -> std::vector<HeldTask *> {
  std::vector<HeldTask *> Order;
  for (auto &[Task, Held] : Tasks_)
    if (Held.Phase_ == TaskPhase::Queued)
      Order.push_back(&Held);
  const auto Rank = [](const HeldTask *Held) {
    const auto Batch = Held->Bind_.Kind_ == WorkKind::Batch;
    return std::make_tuple(Held->Bind_.Priority_, Batch, Held->Bind_.Deadline_,
                           Held->Bind_.Task_);
  };
  std::sort(Order.begin(), Order.end(),
            [&](const HeldTask *Left, const HeldTask *Right) {
              return Rank(Left) < Rank(Right);
            });
  return Order;
}

auto TaskManager::runUntil(const HeldTask &Held,
                           const StartPermits &Permits) const -> TimePoint {
  const auto Shard = Held.Bind_.Shard_;
  return Permits.runUntil(sessionOf(Shard), Shard);
}

auto TaskManager::startQueued(TimePoint Now, const StartPermits &Permits,
                              Revision Observed, AgentOutbox &Out) -> void {
  const auto StartUntil = Permits.startUntil(Observed);
  if (StartUntil <= Now || WorkerClock_ == Micros{0} || RunsUnreserved_)
    return;
  // The resources of an adopted task are unknown until it is bound again.
  for (const auto &Each : Tasks_)
    if (Each.second.NeedsBinding_ && !isEnded(Each.second.Phase_))
      return;
  for (auto *Held : startOrder()) {
    // The first lease ends with the permit, so that a start command which is
    // delayed on its way to the worker can't take effect after the permit has
    // expired.
    const auto LeaseUntil =
        std::min({Held->LeaseUntil_, runUntil(*Held, Permits), StartUntil});
    if (LeaseUntil <= Now)
      continue;
    if (!mayStart(*Held))
      continue;
    if (!Ledger_.fits(Held->Bind_.Resources_) &&
        !isMutationActive(Mutation::StartWithoutCapacity))
      continue;
    if (!tryAdmit(Now, *Held, Out))
      continue;
    recordLease(Now, LeaseUntil);
    startTask(*Held, LeaseUntil, Observed, Out);
  }
}

auto TaskManager::mayStart(HeldTask &Held) const -> bool {
  if (!Held.AwaitsList_)
    return true;
  // The owner stops an attempt whose task turns out to have finished before.
  if (MoreEnds_ || finishedUnheld(Held.Bind_.Task_))
    return false;
  Held.AwaitsList_ = false;
  return true;
}

auto TaskManager::tryAdmit(TimePoint Now, HeldTask &Held, AgentOutbox &Out)
    -> bool {
  const auto &Bind = Held.Bind_;
  if (!Bind.BestEffort_ ||
      InterferenceController_.admit(Now, colocatedTaskOf(Held)) != 0)
    return true;
  if (Held.AwaitingHeadroomSince_ == TimePoint{})
    Held.AwaitingHeadroomSince_ = Now;
  // The owner may find a worker with more headroom.
  if (Held.AwaitingHeadroomSince_ + HeadroomTimeout <= Now)
    end(Held, TaskPhase::NotStarted, ErrorKind::Evicted, Out);
  return false;
}

auto TaskManager::revisionInForce(Revision Observed) const -> Revision {
  auto InForce = Observed;
  for (const auto &[Task, Held] : Tasks_)
    if (Held.Phase_ == TaskPhase::Starting)
      InForce = std::min(InForce, Held.StartRevision_);
  return InForce;
}

auto TaskManager::toWorkerClock(TimePoint Until) const -> Micros {
  // The worker read its clock before the inventory arrived here, so counting
  // from the arrival ends the lease early rather than late. Shortening it by
  // the largest clock rate error has the same effect.
  const auto Remaining =
      std::chrono::duration_cast<Micros>(Until - WorkerClockAt_);
  const auto Shortened = std::chrono::duration_cast<Micros>(
      Remaining * (1.0 - 2.0 * MaxClockRateError));
  return WorkerClock_ + std::min(Remaining, Shortened);
}

auto TaskManager::startTask(HeldTask &Held, TimePoint LeaseUntil,
                            Revision Observed, AgentOutbox &Out) -> void {
  Ledger_.reserve(Held.Bind_.Task_, Held.Bind_.Resources_);
  Held.Phase_ = TaskPhase::Starting;
  Held.StartRevision_ = Observed;
  Held.StartLeaseUntil_ = toWorkerClock(LeaseUntil);
  log("start-ordered", Held, Out);
  commandStart(Held, Out);
}

auto TaskManager::drain(ErrorKind Reason, AgentOutbox &Out) -> void {
  int Stopping = 0;
  for (const auto &[Task, Held] : Tasks_)
    if (Held.Phase_ == TaskPhase::Stopping &&
        Held.Bind_.Kind_ == WorkKind::Batch)
      ++Stopping;
  for (auto &[Task, Held] : Tasks_) {
    const auto Batch = Held.Bind_.Kind_ == WorkKind::Batch;
    if (Held.Phase_ == TaskPhase::Running && Batch &&
        Stopping++ >= MaxConcurrentDrains)
      continue;
    if (Held.Phase_ == TaskPhase::Running || Held.Phase_ == TaskPhase::Queued)
      stopHeld(Held, Reason, Out);
  }
}

auto TaskManager::returnQueued(ErrorKind Reason, AgentOutbox &Out) -> void {
  for (auto &[Task, Held] : Tasks_)
    if (Held.Phase_ == TaskPhase::Queued)
      stopHeld(Held, Reason, Out);
}

auto TaskManager::resendReports(AgentOutbox &Out) -> void {
  for (const auto &[Task, Held] : Tasks_) {
    if (isEnded(Held.Phase_))
      report(Held, Out);
  }
  for (const auto &[Key, Report] : UnheldAttempts_)
    if (isEnded(Report.Phase_))
      sendReport(Report, Out);
}

auto TaskManager::repeatStops(TimePoint Now, AgentOutbox &Out) -> void {
  for (auto &[Task, Held] : Tasks_) {
    if (!Held.StopRequested_ || isEnded(Held.Phase_) ||
        Now < Held.NextStopRepeat_ || isMutationActive(Mutation::StopOnce))
      continue;
    const auto SentBefore = Held.NextStopRepeat_ != TimePoint{};
    Held.NextStopRepeat_ = Now + StopRepeatInterval;
    if (SentBefore)
      Out.push_back(StopOnWorker{Held.Bind_.Task_, Held.Bind_.Attempt_});
  }
}

auto TaskManager::recordLease(TimePoint Now, TimePoint Until) -> void {
  if (Until > Now)
    LatestLeaseEnd_ =
        std::max(LatestLeaseEnd_, Now + withClockMargin(Until - Now));
}

auto TaskManager::poll(TimePoint Now, bool Renew, AgentOutbox &Out) -> void {
  PollWorker Poll;
  Poll.Worker_ = Worker_;
  Poll.Fence_ = Fence_;
  for (const auto &[Task, Held] : Tasks_) {
    if (!Renew)
      break;
    const auto RunUntil = Held.LeaseUntil_;
    const auto Renewable = Held.Phase_ == TaskPhase::Starting ||
                           Held.Phase_ == TaskPhase::Running ||
                           Held.Phase_ == TaskPhase::Stopping;
    if (!Renewable || RunUntil <= Now || WorkerClock_ == Micros{0})
      continue;
    recordLease(Now, RunUntil);
    Poll.Leases_.push_back(
        {Task, Held.Bind_.Attempt_, toWorkerClock(RunUntil)});
  }
  Out.push_back(std::move(Poll));
}

auto TaskManager::close(SessionNumber Session) -> void {
  for (auto &[Shard, Owner] : Owners_)
    if (Owner.Session_ == Session)
      Owner.Session_ = 0;
}

auto TaskManager::hasUnacknowledgedEnds() const -> bool {
  const auto HasEnded = [](const auto &Each) {
    return isEnded(Each.second.Phase_);
  };
  return std::any_of(Tasks_.begin(), Tasks_.end(), HasEnded) ||
         std::any_of(UnheldAttempts_.begin(), UnheldAttempts_.end(), HasEnded);
}

auto TaskManager::queued() const -> std::uint32_t {
  return std::count_if(Tasks_.begin(), Tasks_.end(), [](const auto &Each) {
    return Each.second.Phase_ == TaskPhase::Queued &&
           Each.second.AwaitingHeadroomSince_ == TimePoint{};
  });
}

} // namespace skylark
