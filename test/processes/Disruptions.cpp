#include "test/processes/Disruptions.h"

#include <algorithm>

namespace skylark::soak {

using SteadyClock = std::chrono::steady_clock;

auto Disruptions::note(const std::string &Machine, Planning Kind) -> void {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  auto &Noted = States_[Machine];
  Noted.LastAt_ = SteadyClock::now();
  if (Kind == Planning::Unplanned)
    Noted.LastUnplannedAt_ = Noted.LastAt_;
}

auto Disruptions::begin(const std::string &Machine, Planning Kind) -> void {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  auto &Begun = States_[Machine];
  ++Begun.Open_;
  Begun.OpenIsUnplanned_ |= Kind == Planning::Unplanned;
}

auto Disruptions::end(const std::string &Machine) -> void {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  auto &Ended = States_[Machine];
  Ended.LastAt_ = SteadyClock::now();
  if (Ended.OpenIsUnplanned_)
    Ended.LastUnplannedAt_ = Ended.LastAt_;
  Ended.Open_ = std::max(0, Ended.Open_ - 1);
  Ended.OpenIsUnplanned_ &= Ended.Open_ > 0;
}

auto Disruptions::calmSince(const std::string &Machine, SteadyTime Since) const
    -> bool {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  const auto Found = States_.find(Machine);
  return Found == States_.end() ||
         (Found->second.Open_ == 0 && Found->second.LastAt_ < Since);
}

auto Disruptions::allCalmSince(SteadyTime Since) const -> bool {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return std::all_of(States_.begin(), States_.end(), [&](const auto &Each) {
    return Each.second.Open_ == 0 && Each.second.LastAt_ < Since;
  });
}

auto Disruptions::onlyPlannedSince(SteadyTime Since) const -> bool {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return std::all_of(States_.begin(), States_.end(), [&](const auto &Each) {
    return !Each.second.OpenIsUnplanned_ &&
           Each.second.LastUnplannedAt_ < Since;
  });
}

} // namespace skylark::soak
