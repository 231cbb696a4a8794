/// \file
/// Defines how long an owner keeps the ids of jobs that were cancelled before
/// they were submitted.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

#include <map>
#include <set>
#include <vector>

namespace skylark {

/// The ids that were cancelled while the ledger had no such job. A job that is
/// submitted with such an id never runs. An id is kept for longer than a copy
/// of its submission may be on its way, or may be repeated by its caller.
class CancelledIds {
public:
  /// Takes over the ids of a ledger that was just acquired.
  auto reset(TimePoint Now, const std::set<JobId> &Ids) -> void;
  /// Adds an id, or keeps it for the full time again.
  auto add(TimePoint Now, const JobId &Id) -> void;
  auto remove(const JobId &Id) -> void;
  auto contains(const JobId &Id) const -> bool { return Since_.count(Id) != 0; }
  /// Whether there is no room for another id.
  auto isFull() const -> bool;
  /// Returns the ids that have been kept for long enough.
  auto expired(TimePoint Now) const -> std::vector<JobId>;

private:
  /// Since when this owner has kept each id. Counted on its steady clock, which
  /// doesn't jump; the next owner starts anew.
  std::map<JobId, TimePoint> Since_;
  /// Size of the ids in bytes.
  std::size_t Size_ = 0;
};

} // namespace skylark
