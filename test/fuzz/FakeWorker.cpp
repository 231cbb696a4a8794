#include "test/fuzz/FakeWorker.h"

#include <algorithm>

namespace skylark::Fuzz {

auto FakeWorker::accepts(CommandToken Token) -> bool {
  if (Token < HighestToken_)
    return false;
  HighestToken_ = Token;
  return true;
}

auto FakeWorker::find(const TaskId &Task, AttemptNumber Attempt)
    -> AttemptState * {
  const auto Found = Attempts_.find({Task, Attempt});
  return Found == Attempts_.end() ? nullptr : &Found->second;
}

auto FakeWorker::start(TrueTime Now, Micros Clock, const StartOnWorker &Start,
                       CommandToken Token, Revision AgentRevision)
    -> StartOutcome {
  if (!accepts(Token))
    return StartOutcome::Unknown;
  const auto &Bind = Start.Bind_;
  const auto *Known = find(Bind.Task_, Bind.Attempt_);
  if (Known != nullptr && !isEnded(Known->Task_.Phase_))
    return StartOutcome::Accepted;
  const auto LastEnded = LastEnded_.find(Bind.Task_);
  const auto Runs =
      std::any_of(Attempts_.begin(), Attempts_.end(), [&](const auto &Each) {
        return Each.first.first == Bind.Task_ &&
               !isEnded(Each.second.Task_.Phase_);
      });
  if (Start.LeaseUntil_ <= Clock || Runs ||
      (LastEnded != LastEnded_.end() && LastEnded->second >= Bind.Attempt_))
    return StartOutcome::Refused;
  auto &New = Attempts_[{Bind.Task_, Bind.Attempt_}];
  New.Task_.Bind_ = Bind;
  New.Task_.Checkpoint_ = Bind.Checkpoint_;
  New.LeaseUntil_ = Start.LeaseUntil_;
  WorkerLease_ = std::max(WorkerLease_, Start.LeaseUntil_);
  if (!Bind.Checkpoint_.empty())
    New.WorkDone_ = Micros{std::stoll(Bind.Checkpoint_.Value_)};
  Checker_.taskStarted(Now, Config_.Name_, Config_.DataCentreName_, Bind,
                       Config_.Capacity_, AgentRevision);
  return StartOutcome::Accepted;
}

auto FakeWorker::end(AttemptState &Each, TaskPhase Phase, ErrorKind Reason)
    -> void {
  const auto &Bind = Each.Task_.Bind_;
  Each.Task_.Phase_ = Phase;
  Each.EndNumber_ = ++LastEndNumber_;
  Each.Task_.Reason_ = Reason;
  Each.Task_.Checkpoint_ = {std::to_string(Each.WorkDone_.count())};
  LastEnded_[Bind.Task_] = std::max(LastEnded_[Bind.Task_], Bind.Attempt_);
  Checker_.taskEnded(Config_.Name_, Bind.Task_, Bind.Attempt_, Phase, Reason);
}

auto FakeWorker::stop(const StopOnWorker &Stop, CommandToken Token) -> void {
  if (!accepts(Token))
    return;
  auto *Known = find(Stop.Task_, Stop.Attempt_);
  if (Known != nullptr && !isEnded(Known->Task_.Phase_))
    end(*Known, TaskPhase::Stopped, ErrorKind::None);
  LastEnded_[Stop.Task_] = std::max(LastEnded_[Stop.Task_], Stop.Attempt_);
}

auto FakeWorker::forget(const ForgetOnWorker &Forget, CommandToken Token)
    -> void {
  const auto *Known = find(Forget.Task_, Forget.Attempt_);
  if (!accepts(Token) || Known == nullptr || !isEnded(Known->Task_.Phase_))
    return;
  if (Known->Task_.Phase_ == TaskPhase::Finished && !Known->LapsedSinceEnd_)
    Checker_.finishAcknowledged(Config_.Name_, Forget.Task_, Forget.Attempt_);
  Attempts_.erase({Forget.Task_, Forget.Attempt_});
}

auto FakeWorker::renewLeases(const PollWorker &Poll, CommandToken Token)
    -> bool {
  if (!accepts(Token))
    return false;
  for (const auto &Lease : Poll.Leases_) {
    auto *Known = find(Lease.Task_, Lease.Attempt_);
    if (Known != nullptr)
      Known->LeaseUntil_ = std::max(Known->LeaseUntil_, Lease.LeaseUntil_);
  }
  const auto First =
      std::min_element(Poll.Leases_.begin(), Poll.Leases_.end(),
                       [](const WorkerLease &Left, const WorkerLease &Right) {
                         return Left.LeaseUntil_ < Right.LeaseUntil_;
                       });
  if (First != Poll.Leases_.end())
    WorkerLease_ = std::max(WorkerLease_, First->LeaseUntil_);
  return true;
}

auto FakeWorker::leaseOf(const AttemptState &Each) const -> Micros {
  return Config_.ListsIdsOnly_ ? WorkerLease_ : Each.LeaseUntil_;
}

auto FakeWorker::isListed(const AttemptState &Each) const -> bool {
  if (Each.EndNumber_ == 0)
    return true;
  const auto EndedBefore =
      std::count_if(Attempts_.begin(), Attempts_.end(), [&](const auto &Other) {
        return Other.second.EndNumber_ != 0 &&
               Other.second.EndNumber_ < Each.EndNumber_;
      });
  return static_cast<std::size_t>(EndedBefore) < MaxListedEnds;
}

auto FakeWorker::inventory(Micros Clock) const -> WorkerInventory {
  WorkerInventory Inventory;
  Inventory.Worker_ = Config_.Incarnation_;
  Inventory.Clock_ = Clock;
  for (const auto &[Key, Each] : Attempts_) {
    if (!isListed(Each)) {
      Inventory.Complete_ = false;
      Inventory.MoreEnds_ = true;
      continue;
    }
    Inventory.Tasks_.push_back(Each.Task_);
    if (!Config_.ListsIdsOnly_)
      continue;
    auto &Listed = Inventory.Tasks_.back();
    Listed.IdOnly_ = true;
    Listed.Bind_ = {};
    Listed.Bind_.Task_ = Key.first;
    Listed.Bind_.Attempt_ = Key.second;
  }
  return Inventory;
}

auto FakeWorker::advance(Micros Clock, Micros Elapsed) -> void {
  for (auto &[Key, Each] : Attempts_) {
    if (isEnded(Each.Task_.Phase_)) {
      Each.LapsedSinceEnd_ |= leaseOf(Each) < Clock;
      continue;
    }
    if (leaseOf(Each) < Clock) {
      end(Each, TaskPhase::Stopped, ErrorKind::LeaseExpired);
      continue;
    }
    Each.WorkDone_ += Elapsed;
    const auto &Bind = Each.Task_.Bind_;
    if (Failing_)
      end(Each, TaskPhase::Failed, ErrorKind::TaskFailed);
    else if (Bind.Kind_ == WorkKind::Batch && Each.WorkDone_ >= Bind.RunTime_)
      end(Each, TaskPhase::Finished, ErrorKind::None);
  }
}

auto FakeWorker::terminate() -> void {
  for (auto &[Key, Each] : Attempts_)
    if (!isEnded(Each.Task_.Phase_))
      Checker_.taskEnded(Config_.Name_, Key.first, Key.second,
                         TaskPhase::Failed, ErrorKind::WorkerGone);
  Attempts_.clear();
}

} // namespace skylark::Fuzz
