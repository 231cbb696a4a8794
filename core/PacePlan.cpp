#include "core/PacePlan.h"

#include <algorithm>

namespace skylark {
namespace {

/// Growth of a tail's logarithm that is too small to matter.
constexpr double HarmlessGrowth = 0.03;
/// Paces are whole steps, in percent, so that noise changes few of them.
constexpr std::uint32_t PaceStep = 10;
constexpr std::uint32_t LeastPace = 10;
constexpr std::int64_t OneCore = 1000;

} // namespace

auto pressPerCore(const FillingTask &Task, const PressKnowledge &Known,
                  const std::vector<ServingRoom> &Rooms) -> double {
  double Most = 0;
  for (const auto &Room : Rooms)
    Most = std::max(Most, Known.press(Room.Image_, Task.Image_, OneCore));
  return Most;
}

auto takeRoom(const FillingTask &Task, const PressKnowledge &Known,
              std::vector<ServingRoom> &Rooms) -> std::uint32_t {
  auto Share = 1.0;
  for (const auto &Room : Rooms) {
    const auto Growth =
        Known.press(Room.Image_, Task.Image_, Task.FullMilliCores_);
    if (Growth <= HarmlessGrowth)
      continue;
    if (Room.Over_ || (Room.Near_ && Task.Rests_))
      return 0;
    Share = std::min(Share, Room.Left_ / Growth);
  }
  const auto Percent =
      static_cast<std::uint32_t>(std::max(0.0, Share) * FullPace) / PaceStep *
      PaceStep;
  if (Percent < LeastPace)
    return 0;
  for (auto &Room : Rooms)
    Room.Left_ -= Known.press(Room.Image_, Task.Image_, Task.FullMilliCores_) *
                  Percent / FullPace;
  return Percent;
}

} // namespace skylark
