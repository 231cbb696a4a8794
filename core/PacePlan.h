/// \file
/// Defines how work that fills shares the room that serving tasks leave below
/// their targets: a pass over plain data.
#pragma once

#include "core/Interference.h"

#include <cstdint>
#include <string>
#include <vector>

namespace skylark {

constexpr std::uint32_t FullPace = 100;

/// What one serving task leaves to the work beside it.
struct ServingRoom {
  std::string Image_;
  /// Growth of the tail's natural logarithm that is left below the target.
  double Left_ = 0;
  /// The tail is over its target: what presses it must rest.
  bool Over_ = false;
  /// The tail is so near its target that what rests goes on resting.
  bool Near_ = false;
};

/// One task that fills.
struct FillingTask {
  std::string Image_;
  /// Processors, in thousandths, that it uses at full speed.
  std::int64_t FullMilliCores_ = 0;
  bool Rests_ = false;
};

/// The pace, in percent, at which `Task` may work in what is left of `Rooms`;
/// 0 where that is too little to be worth it. Takes the part from `Rooms`.
auto takeRoom(const FillingTask &Task, const PressKnowledge &Known,
              std::vector<ServingRoom> &Rooms) -> std::uint32_t;

/// The most that `Task` adds to a tail's logarithm for one processor.
auto pressPerCore(const FillingTask &Task, const PressKnowledge &Known,
                  const std::vector<ServingRoom> &Rooms) -> double;

} // namespace skylark
