#include "core/Resources.h"

#include "core/Assert.h"

namespace skylark {

auto Resources::holds(const Resources &Other) const -> bool {
  return Other.MilliCores_ <= MilliCores_ &&
         Other.MemoryMegabytes_ <= MemoryMegabytes_ &&
         Other.Accelerators_ <= Accelerators_;
}

auto Resources::operator+=(const Resources &Other) -> Resources & {
  MilliCores_ += Other.MilliCores_;
  MemoryMegabytes_ += Other.MemoryMegabytes_;
  Accelerators_ += Other.Accelerators_;
  return *this;
}

auto Resources::operator-=(const Resources &Other) -> Resources & {
  MilliCores_ -= Other.MilliCores_;
  MemoryMegabytes_ -= Other.MemoryMegabytes_;
  Accelerators_ -= Other.Accelerators_;
  return *this;
}

auto operator<<(std::ostream &Out, const Resources &Amount) -> std::ostream & {
  return Out << Amount.MilliCores_ << " millicores, " << Amount.MemoryMegabytes_
             << " MB, " << Amount.Accelerators_ << " accelerators";
}

auto ResourceLedger::reserve(const TaskId &Task, const Resources &Amount)
    -> void {
  SKYLARK_ASSERT(Reserved_.count(Task) == 0, "task reserved twice:", Task);
  adopt(Task, Amount);
  SKYLARK_ASSERT(Capacity_.holds(Used_),
                 "reservations exceed the worker's capacity:", Used_, "of",
                 Capacity_, "after", Task);
}

auto ResourceLedger::adopt(const TaskId &Task, const Resources &Amount)
    -> void {
  release(Task);
  Used_ += Amount;
  Reserved_[Task] = Amount;
}

auto ResourceLedger::release(const TaskId &Task) -> void {
  const auto Found = Reserved_.find(Task);
  if (Found == Reserved_.end())
    return;
  Used_ -= Found->second;
  Reserved_.erase(Found);
}

auto ResourceLedger::fits(const Resources &Amount) const -> bool {
  return free().holds(Amount);
}

} // namespace skylark
