#include "test/fuzz/UnequalServices.h"

namespace skylark::Fuzz {
namespace {

constexpr std::size_t WorkersOfSmaller = 2;
const ServiceName Smaller{"smaller"};
const ServiceName Larger{"larger"};

} // namespace

auto UnequalServices::isInSmaller(std::size_t Agent) const -> bool {
  return Enabled_ && Agent + WorkersOfSmaller >= Agents_;
}

auto UnequalServices::serviceOf(std::size_t Agent) const -> ServiceName {
  return isInSmaller(Agent) ? Smaller : Larger;
}

auto UnequalServices::moveToSmaller(JobDeclaration &Job, bool WithLabel)
    -> void {
  Job.Service_ = Smaller;
  Job.RerunWhenLost_ = true;
  Job.Payload_.clear();
  if (WithLabel)
    Job.Steps_.front().RequiredLabel_ = "absent";
}

auto UnequalServices::moveToLarger(JobDeclaration &Job) -> void {
  Job.Service_ = Larger;
}

auto UnequalServices::isLost(const JobDeclaration &Job) const -> bool {
  return IsLost_ && Job.Service_ == Smaller;
}

} // namespace skylark::Fuzz
