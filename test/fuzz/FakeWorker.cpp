#include "test/fuzz/FakeWorker.h"

namespace skylark::Fuzz {

auto FakeWorker::acceptsAgent(Incarnation Agent) -> bool {
  if (Agent < NewestAgent_)
    return false;
  NewestAgent_ = Agent;
  return true;
}

auto FakeWorker::start(TrueTime Now, Micros Clock, const StartOnWorker &Start,
                       Incarnation Agent, Revision AgentRevision) -> void {
  if (!acceptsAgent(Agent) || Start.LeaseUntil_ <= Clock)
    return;
  const auto &Bind = Start.Bind_;
  const auto Found = Tasks_.find(Bind.Task_);
  if (Found != Tasks_.end() &&
      (Found->second.Task_.Bind_.Attempt_ >= Bind.Attempt_ ||
       !isEnded(Found->second.Task_.Phase_)))
    return;
  TaskRecord New;
  New.Task_.Bind_ = Bind;
  New.Task_.Checkpoint_ = Bind.Checkpoint_;
  New.LeaseUntil_ = Start.LeaseUntil_;
  if (!Bind.Checkpoint_.empty())
    New.WorkDone_ = Micros{std::stoll(Bind.Checkpoint_.Value_)};
  Tasks_[Bind.Task_] = New;
  Checker_.taskStarted(Now, Config_.Name_, Config_.DataCentreName_, Bind,
                       Config_.Capacity_, AgentRevision);
}

auto FakeWorker::end(TaskRecord &Each, TaskPhase Phase, ErrorKind Reason)
    -> void {
  Each.Task_.Phase_ = Phase;
  Each.Task_.Reason_ = Reason;
  Each.Task_.Checkpoint_ = {std::to_string(Each.WorkDone_.count())};
  Checker_.taskEnded(Config_.Name_, Each.Task_.Bind_.Task_, Phase);
}

auto FakeWorker::stop(const StopOnWorker &Stop, Incarnation Agent) -> void {
  const auto Found = Tasks_.find(Stop.Task_);
  if (acceptsAgent(Agent) && Found != Tasks_.end() &&
      Found->second.Task_.Bind_.Attempt_ == Stop.Attempt_ &&
      !isEnded(Found->second.Task_.Phase_))
    end(Found->second, TaskPhase::Stopped, ErrorKind::None);
}

auto FakeWorker::forget(const ForgetOnWorker &Forget, Incarnation Agent)
    -> void {
  const auto Found = Tasks_.find(Forget.Task_);
  if (acceptsAgent(Agent) && Found != Tasks_.end() &&
      Found->second.Task_.Bind_.Attempt_ == Forget.Attempt_ &&
      isEnded(Found->second.Task_.Phase_))
    Tasks_.erase(Found);
}

auto FakeWorker::renewLeases(const PollWorker &Poll, Incarnation Agent)
    -> void {
  if (!acceptsAgent(Agent))
    return;
  for (const auto &Lease : Poll.Leases_) {
    const auto Found = Tasks_.find(Lease.Task_);
    if (Found != Tasks_.end() &&
        Found->second.Task_.Bind_.Attempt_ == Lease.Attempt_)
      Found->second.LeaseUntil_ =
          std::max(Found->second.LeaseUntil_, Lease.LeaseUntil_);
  }
}

auto FakeWorker::inventory(Micros Clock) const -> WorkerInventory {
  WorkerInventory Inventory;
  Inventory.Worker_ = Config_.Incarnation_;
  Inventory.Clock_ = Clock;
  for (const auto &Each : Tasks_)
    Inventory.Tasks_.push_back(Each.second.Task_);
  return Inventory;
}

auto FakeWorker::advance(Micros Clock, Micros Elapsed) -> void {
  for (auto &[Task, Each] : Tasks_) {
    if (isEnded(Each.Task_.Phase_))
      continue;
    if (Each.LeaseUntil_ < Clock) {
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
  for (auto &[Task, Each] : Tasks_)
    if (!isEnded(Each.Task_.Phase_))
      Checker_.taskEnded(Config_.Name_, Task, TaskPhase::Failed);
  Tasks_.clear();
}

} // namespace skylark::Fuzz
