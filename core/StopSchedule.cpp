#include "core/StopSchedule.h"

#include "core/Mutation.h"

namespace skylark {

auto StopSchedule::setNext(const TaskId &Task, State &Each, TimePoint Next)
    -> void {
  Turns_.erase({Each.Next_, Task});
  Each.Next_ = Next;
  Turns_.insert({Next, Task});
}

auto StopSchedule::add(TimePoint Now, const TaskId &Task) -> void {
  const auto [Found, Inserted] = States_.try_emplace(Task);
  if (!Inserted)
    return;
  Found->second.Since_ = Now;
  setNext(Task, Found->second, Now);
}

auto StopSchedule::remove(const TaskId &Task) -> void {
  const auto Found = States_.find(Task);
  if (Found == States_.end())
    return;
  Turns_.erase({Found->second.Next_, Task});
  States_.erase(Found);
}

auto StopSchedule::clear() -> void {
  States_.clear();
  Turns_.clear();
}

auto StopSchedule::hasten(TimePoint Now, const TaskId &Task) -> void {
  const auto Found = States_.find(Task);
  if (Found != States_.end())
    setNext(Task, Found->second, Now);
}

auto StopSchedule::takeDue(TimePoint Now, std::size_t Most)
    -> std::vector<Due> {
  std::vector<Due> Result;
  while (Result.size() < Most && !Turns_.empty() &&
         Turns_.begin()->first <= Now) {
    const auto Task = Turns_.begin()->second;
    auto &Each = States_.at(Task);
    Due Turn{Task, std::chrono::duration_cast<Millis>(Now - Each.Since_),
             Each.Sent_, false};
    Turn.NewlyOverdue_ =
        !Each.Overdue_ && Turn.Elapsed_ > CancelTarget + StopDuration;
    Each.Overdue_ |= Turn.NewlyOverdue_;
    setNext(Task, Each,
            Now + (isMutationActive(Mutation::StopOnce) ? 1000 * CancelTarget
                                                        : StopRepeatInterval));
    Result.push_back(std::move(Turn));
  }
  return Result;
}

auto StopSchedule::recordSent(const TaskId &Task) -> void {
  const auto Found = States_.find(Task);
  if (Found != States_.end())
    ++Found->second.Sent_;
}

auto StopSchedule::tasks() const -> std::vector<TaskId> {
  std::vector<TaskId> Result;
  Result.reserve(States_.size());
  for (const auto &Each : States_)
    Result.push_back(Each.first);
  return Result;
}

} // namespace skylark
