#include "core/TrialBudget.h"

#include "core/Mutation.h"

#include <algorithm>

namespace skylark {
namespace {

/// One of this many workers may be used for the trial of a suspect at once.
constexpr int WorkersPerTrial = 2;

} // namespace

auto TrialBudget::mayTry(const WorkerRequirement &Requirement,
                         const CountWorkers &Count) -> bool {
  const auto OfFleet = isMutationActive(Mutation::SpendTrialsOfFleet);
  const auto Key = OfFleet ? WorkerRequirement{} : Requirement;
  const auto [Found, Inserted] = TrialsLeft_.try_emplace(Key, 0);
  if (Inserted) {
    const auto Counted = Count(Key);
    Found->second =
        std::max(1, Counted.Workers_ / WorkersPerTrial) - Counted.Trials_;
  }
  return OfFleet ? Found->second-- > 0 : Found->second > 0;
}

auto TrialBudget::bound(const Hello &Worker) -> void {
  for (auto &[Requirement, Left] : TrialsLeft_)
    if (Requirement.isMetBy(Worker))
      --Left;
}

} // namespace skylark
