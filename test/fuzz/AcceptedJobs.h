/// \file
/// Defines the check that accepted jobs stay known.
#pragma once

#include "core/ShardState.h"
#include "core/Time.h"

#include <map>
#include <vector>

namespace skylark::Fuzz {

/// The jobs of which callers were told that they are accepted, and since when.
class AcceptedJobs {
public:
  /// A caller was told that a job exists.
  auto add(Micros Now, const JobId &Id) -> void;
  /// \param States the owners' states of all shards.
  /// \param Promise how long jobs are kept after their end. A job that was
  ///   accepted earlier than that is not checked.
  /// \returns the jobs that should be known to an owner and aren't.
  auto findLost(Micros Now, const std::vector<const ShardState *> &States,
                Seconds Promise) const -> std::vector<JobId>;

private:
  std::map<JobId, Micros> Since_;
};

} // namespace skylark::Fuzz
