#include "core/Job.h"

#include <array>

namespace skylark {

auto tallyTasks(const Job &Job) -> TaskTally {
  static constexpr std::array<std::uint32_t TaskTally::*, 5> Counters{
      &TaskTally::Pending_, &TaskTally::Bound_, &TaskTally::Finished_,
      &TaskTally::Failed_, &TaskTally::Cancelled_};
  TaskTally Tally;
  for (const auto &Task : Job.Tasks_)
    ++(Tally.*Counters[static_cast<std::size_t>(Task.State_)]);
  return Tally;
}

auto taskStateText(TaskState State) -> std::string_view {
  constexpr std::array<std::string_view, 5> Texts{
      "pending", "bound", "finished", "failed", "cancelled"};
  return Texts[static_cast<std::size_t>(State)];
}

auto workKindText(WorkKind Kind) -> std::string_view {
  return Kind == WorkKind::Watcher ? "watcher" : "batch";
}

} // namespace skylark
