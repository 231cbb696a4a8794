#include "test/fuzz/WallClocks.h"

namespace skylark::Fuzz {
namespace {

constexpr Seconds LeapSize{25 * 3600};

} // namespace

auto WallClocks::offsetOf(std::size_t Entry) const -> Millis {
  const auto Found = Offsets_.find(Entry);
  return Found == Offsets_.end() ? Millis{0} : Found->second;
}

auto WallClocks::leap(std::size_t Entry, std::uint32_t Variant) -> void {
  Offsets_[Entry] = Variant % 2 == 0 ? LeapSize : -LeapSize;
}

auto WallClocks::correct(std::size_t Entry) -> void { Offsets_.erase(Entry); }

} // namespace skylark::Fuzz
