#include "core/CancelledIds.h"

namespace skylark {
namespace {

constexpr Seconds RetentionTime{300};
constexpr std::size_t MaxIds = 10000;
/// Limit of the size of all ids, in bytes.
constexpr std::size_t MaxSize = std::size_t{512} * 1024;

} // namespace

auto CancelledIds::reset(TimePoint Now, const std::set<JobId> &Ids) -> void {
  Since_.clear();
  Size_ = 0;
  for (const auto &Id : Ids)
    add(Now, Id);
}

auto CancelledIds::add(TimePoint Now, const JobId &Id) -> void {
  if (Since_.insert_or_assign(Id, Now).second)
    Size_ += Id.Value_.size();
}

auto CancelledIds::remove(const JobId &Id) -> void {
  if (Since_.erase(Id) != 0)
    Size_ -= Id.Value_.size();
}

auto CancelledIds::isFull() const -> bool {
  return Since_.size() >= MaxIds || Size_ >= MaxSize;
}

auto CancelledIds::expired(TimePoint Now) const -> std::vector<JobId> {
  std::vector<JobId> Ids;
  for (const auto &[Id, Since] : Since_)
    if (Since + RetentionTime <= Now)
      Ids.push_back(Id);
  return Ids;
}

} // namespace skylark
