#include "test/fuzz/AcceptedJobs.h"

#include <algorithm>

namespace skylark::Fuzz {

auto AcceptedJobs::add(Micros Now, const JobId &Id) -> void {
  Since_.emplace(Id, Now);
}

auto AcceptedJobs::findLost(Micros Now,
                            const std::vector<const ShardState *> &States,
                            Seconds Promise) const -> std::vector<JobId> {
  std::vector<JobId> Lost;
  for (const auto &[Id, Since] : Since_) {
    const auto IsKnown =
        std::any_of(States.begin(), States.end(), [&Id = Id](const auto *Each) {
          return Each->findJob(Id) != nullptr;
        });
    if (!IsKnown && Now - Since < Promise)
      Lost.push_back(Id);
  }
  return Lost;
}

} // namespace skylark::Fuzz
