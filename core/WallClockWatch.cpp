#include "core/WallClockWatch.h"

namespace skylark {
namespace {

constexpr Millis SmallestMove{1000};
constexpr Seconds ReportInterval{60};

} // namespace

auto WallClockWatch::update(Moment Now) -> std::optional<Millis> {
  const auto Offset =
      Now.Wall_.time_since_epoch() -
      std::chrono::duration_cast<Millis>(Now.Steady_.time_since_epoch());
  const auto Previous = Offset_.value_or(Offset);
  if (!Offset_)
    ReportedOffset_ = Offset;
  Offset_ = Offset;
  Moved_ = Moved_ || std::chrono::abs(Offset - Previous) > SmallestMove;
  if (!Moved_ || Now.Steady_ < NextReport_)
    return std::nullopt;
  Moved_ = false;
  NextReport_ = Now.Steady_ + ReportInterval;
  const auto Move = Offset - ReportedOffset_;
  ReportedOffset_ = Offset;
  return Move;
}

} // namespace skylark
