/// \file
/// Defines how long an owner keeps the jobs that have ended.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

#include <map>
#include <set>
#include <vector>

namespace skylark {

/// The ended jobs of a ledger. A job is kept for a promised time after its end
/// at least, and for as long as a copy of its submission may arrive, so that it
/// doesn't run again. Then it is kept for up to a day, while there is room.
class EndedJobs {
public:
  struct Removal {
    JobId Job_;
    /// How long this owner has known that the job had ended.
    Duration Age_{};
  };

  auto clear() -> void;
  /// Adds a job, unless it is known to have ended.
  /// \param Tasks number of the job's tasks.
  auto add(TimePoint Now, const JobId &Id, std::size_t Tasks) -> void;
  auto size() const -> std::size_t { return Jobs_.size(); }
  /// Removes jobs that need not be kept any longer, the oldest ends first, and
  /// returns them.
  /// \param Promise how long callers may ask for a job after its end.
  /// \param Limit the most jobs to return.
  auto takeExpired(TimePoint Now, Duration Promise, std::size_t Limit)
      -> std::vector<Removal>;

private:
  struct Ended {
    /// Counted on this owner's steady clock, which doesn't jump; the next owner
    /// starts anew.
    TimePoint Since_;
    std::size_t Tasks_ = 0;
  };
  std::map<JobId, Ended> Jobs_;
  std::set<std::pair<TimePoint, JobId>> ByEnd_;
  /// Number of tasks of all these jobs.
  std::size_t Tasks_ = 0;
};

} // namespace skylark
