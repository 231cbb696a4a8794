#include "test/fuzz/FakeWorker.h"

namespace skylark::Fuzz {

auto FakeWorker::obeys(Incarnation Agent) -> bool {
  if (Agent < Agent_)
    return false;
  Agent_ = Agent;
  return true;
}

auto FakeWorker::start(TrueTime Now, Micros Clock, const StartOnWorker &Start,
                       Incarnation Agent, Revision AgentRevision) -> void {
  if (!obeys(Agent) || Start.LeaseUntil_ <= Clock)
    return;
  const auto &Bind = Start.Bind_;
  const auto Found = Tasks_.find(Bind.Task_);
  if (Found != Tasks_.end() &&
      (Found->second.Task_.Bind_.Attempt_ >= Bind.Attempt_ ||
       !isEnded(Found->second.Task_.Phase_)))
    return;
  Held New;
  New.Task_.Bind_ = Bind;
  New.Task_.Checkpoint_ = Bind.Checkpoint_;
  New.LeaseUntil_ = Start.LeaseUntil_;
  if (!Bind.Checkpoint_.empty())
    New.Done_ = Micros{std::stoll(Bind.Checkpoint_.Value_)};
  Tasks_[Bind.Task_] = New;
  Checker_.taskStarted(Now, Plan_.Name_, Plan_.Centre_, Bind, Plan_.Capacity_,
                       AgentRevision);
}

auto FakeWorker::end(Held &Each, TaskPhase Phase, ErrorKind Reason) -> void {
  Each.Task_.Phase_ = Phase;
  Each.Task_.Reason_ = Reason;
  Each.Task_.Checkpoint_ = {std::to_string(Each.Done_.count())};
  Checker_.taskEnded(Plan_.Name_, Each.Task_.Bind_.Task_, Phase);
}

auto FakeWorker::stop(const StopOnWorker &Stop, Incarnation Agent) -> void {
  const auto Found = Tasks_.find(Stop.Task_);
  if (obeys(Agent) && Found != Tasks_.end() &&
      Found->second.Task_.Bind_.Attempt_ == Stop.Attempt_ &&
      !isEnded(Found->second.Task_.Phase_))
    end(Found->second, TaskPhase::Stopped, ErrorKind::None);
}

auto FakeWorker::forget(const ForgetOnWorker &Forget, Incarnation Agent)
    -> void {
  const auto Found = Tasks_.find(Forget.Task_);
  if (obeys(Agent) && Found != Tasks_.end() &&
      Found->second.Task_.Bind_.Attempt_ == Forget.Attempt_ &&
      isEnded(Found->second.Task_.Phase_))
    Tasks_.erase(Found);
}

auto FakeWorker::renew(const PollWorker &Poll, Incarnation Agent) -> void {
  if (!obeys(Agent))
    return;
  for (const auto &Lease : Poll.Leases_) {
    const auto Found = Tasks_.find(Lease.Task_);
    if (Found != Tasks_.end() &&
        Found->second.Task_.Bind_.Attempt_ == Lease.Attempt_)
      Found->second.LeaseUntil_ =
          std::max(Found->second.LeaseUntil_, Lease.LeaseUntil_);
  }
}

auto FakeWorker::list(Micros Clock) const -> WorkerInventory {
  WorkerInventory Inventory;
  Inventory.Worker_ = Plan_.Incarnation_;
  Inventory.Clock_ = Clock;
  for (const auto &Each : Tasks_)
    Inventory.Tasks_.push_back(Each.second.Task_);
  return Inventory;
}

auto FakeWorker::step(Micros Clock, Micros Passed) -> void {
  for (auto &[Task, Each] : Tasks_) {
    if (isEnded(Each.Task_.Phase_))
      continue;
    if (Each.LeaseUntil_ < Clock) {
      end(Each, TaskPhase::Stopped, ErrorKind::LeaseExpired);
      continue;
    }
    Each.Done_ += Passed;
    const auto &Bind = Each.Task_.Bind_;
    if (Failing_)
      end(Each, TaskPhase::Failed, ErrorKind::TaskFailed);
    else if (Bind.Kind_ == WorkKind::Batch && Each.Done_ >= Bind.RunTime_)
      end(Each, TaskPhase::Finished, ErrorKind::None);
  }
}

auto FakeWorker::die() -> void {
  for (auto &[Task, Each] : Tasks_)
    if (!isEnded(Each.Task_.Phase_))
      Checker_.taskEnded(Plan_.Name_, Task, TaskPhase::Failed);
  Tasks_.clear();
}

} // namespace skylark::Fuzz
