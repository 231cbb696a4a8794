/// \file
/// Defines amounts of processors, memory and accelerators, and the exact
/// ledger of what is reserved on a worker.
#pragma once

#include "core/Ids.h"

#include <cstdint>
#include <map>
#include <ostream>

namespace skylark {

/// An amount of each resource of a worker.
struct Resources {
  std::int64_t MilliCores_ = 0;
  std::int64_t MemoryMegabytes_ = 0;
  std::int64_t Accelerators_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&Resources::MilliCores_,
                           &Resources::MemoryMegabytes_,
                           &Resources::Accelerators_);
  }
  /// True if `Other` fits into this amount in every dimension.
  auto holds(const Resources &Other) const -> bool;
  auto operator+=(const Resources &Other) -> Resources &;
  auto operator-=(const Resources &Other) -> Resources &;
  friend auto operator+(Resources Left, const Resources &Right) -> Resources {
    return Left += Right;
  }
  friend auto operator-(Resources Left, const Resources &Right) -> Resources {
    return Left -= Right;
  }
  friend auto operator==(const Resources &Left, const Resources &Right)
      -> bool {
    return Left.MilliCores_ == Right.MilliCores_ &&
           Left.MemoryMegabytes_ == Right.MemoryMegabytes_ &&
           Left.Accelerators_ == Right.Accelerators_;
  }
};

auto operator<<(std::ostream &Out, const Resources &Amount) -> std::ostream &;

/// The exact record of what tasks have reserved on one worker. Nothing is
/// admitted beyond the capacity; the reservations exceed it only if it shrinks.
class ResourceLedger {
public:
  explicit ResourceLedger(const Resources &Capacity) : Capacity_(Capacity) {}

  /// Replaces the capacity, which may become less than what is reserved.
  auto resize(const Resources &Capacity) -> void { Capacity_ = Capacity; }
  /// Reserves `Amount` for `Task`, which must have no reservation. The caller
  /// has checked fits().
  auto reserve(const TaskId &Task, const Resources &Amount) -> void;
  /// Records what `Task`, which already runs, uses, in place of any earlier
  /// reservation. It may exceed the capacity.
  auto adopt(const TaskId &Task, const Resources &Amount) -> void;
  /// Releases the reservation of `Task`; no effect if it has none.
  auto release(const TaskId &Task) -> void;

  auto fits(const Resources &Amount) const -> bool;
  auto free() const -> Resources { return Capacity_ - Used_; }
  auto capacity() const -> const Resources & { return Capacity_; }

private:
  Resources Capacity_;
  Resources Used_;
  std::map<TaskId, Resources> Reserved_;
};

} // namespace skylark
