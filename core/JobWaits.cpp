#include "core/JobWaits.h"

namespace skylark {
namespace {

auto isUnbound(TaskWait Wait) -> bool { return Wait < TaskWait::Commit; }

auto add(WaitTimes &Sum, const WaitTimes &Times) -> void {
  for (std::size_t Index = 0; Index < Sum.size(); ++Index)
    Sum[Index] += Times[Index];
}

auto timesText(const WaitTimes &Times) -> std::string {
  std::string Text;
  for (std::size_t Index = 0; Index < Times.size(); ++Index) {
    const auto Time = std::chrono::duration_cast<Millis>(Times[Index]);
    Text += (Index == 0 ? "" : ", ") +
            std::string(taskWaitText(static_cast<TaskWait>(Index))) + ' ' +
            std::to_string(Time.count());
  }
  return Text;
}

} // namespace

auto taskWaitText(TaskWait Wait) -> std::string_view {
  constexpr std::array<std::string_view,
                       static_cast<std::size_t>(TaskWait::Count)>
      Texts{"turn", "worker", "room", "interference", "commit", "start", "run"};
  return Texts[static_cast<std::size_t>(Wait)];
}

auto JobWaitSummary::text() const -> std::string {
  return "ms of the last task of each step: " + timesText(LastTasks_) +
         "; of all tasks: " + timesText(AllTasks_) + "; " +
         std::to_string(AttemptsLost_) + " attempts lost";
}

auto JobWaits::change(TimePoint Now, OpenTask &Task, TaskWait Wait) -> void {
  if (Task.Since_ != TimePoint{})
    Task.Times_[static_cast<std::size_t>(Task.Wait_)] += Now - Task.Since_;
  Task.Wait_ = Wait;
  Task.Since_ = Now;
}

auto JobWaits::enter(TimePoint Now, const TaskId &Task, TaskWait Wait) -> void {
  auto &Open = Jobs_[Task.Job_].Open_[Task];
  if (Open.Since_ == TimePoint{} || Open.Wait_ != Wait)
    change(Now, Open, Wait);
}

auto JobWaits::becomePending(TimePoint Now, const TaskId &Task) -> void {
  auto &Open = Jobs_[Task.Job_].Open_[Task];
  if (Open.Since_ == TimePoint{} || !isUnbound(Open.Wait_))
    change(Now, Open, TaskWait::Turn);
}

auto JobWaits::attemptLost(const JobId &Job) -> void {
  const auto Found = Jobs_.find(Job);
  if (Found != Jobs_.end())
    ++Found->second.AttemptsLost_;
}

auto JobWaits::end(TimePoint Now, const TaskId &Task) -> void {
  const auto Job = Jobs_.find(Task.Job_);
  if (Job == Jobs_.end())
    return;
  auto &Account = Job->second;
  const auto Open = Account.Open_.find(Task);
  if (Open == Account.Open_.end())
    return;
  change(Now, Open->second, TaskWait::Turn);
  const auto &Times = Open->second.Times_;
  add(Account.AllTasks_, Times);
  add(Ended_, Times);
  Account.LastTasks_[{Task.Step_, Task.Occurrence_}] = Times;
  Account.Open_.erase(Open);
}

auto JobWaits::take(const JobId &Job) -> std::optional<JobWaitSummary> {
  const auto Found = Jobs_.find(Job);
  if (Found == Jobs_.end())
    return std::nullopt;
  JobWaitSummary Summary;
  for (const auto &Each : Found->second.LastTasks_)
    add(Summary.LastTasks_, Each.second);
  Summary.AllTasks_ = Found->second.AllTasks_;
  Summary.AttemptsLost_ = Found->second.AttemptsLost_;
  Jobs_.erase(Found);
  return Summary;
}

} // namespace skylark
