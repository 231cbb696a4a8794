#include "core/OverloadProbe.h"

#include <algorithm>

namespace skylark {
namespace {

/// How long a tail must stay over its target while no best-effort task works.
/// The effect of those that worked before has faded by then.
constexpr Millis ProofTime{1500};
/// Shorter than the time for which best-effort tasks may harm a serving task
/// whose own load has meanwhile decreased.
constexpr Millis TrialTime{1500};
/// Growth of a tail's natural logarithm in a trial that ends it.
constexpr double MaxTrialGrowth = 0.2;

} // namespace

auto OverloadProbe::isOwnLoad(const TaskId &Task) const -> bool {
  return permitsTrial() && LevelsAlone_.count(Task) != 0;
}

auto OverloadProbe::paceLimit() const -> std::uint32_t {
  if (mustPause())
    return 0;
  return permitsTrial() ? Pace_ : FullPace;
}

auto OverloadProbe::isHurt(const std::map<TaskId, double> &Overloaded) const
    -> bool {
  return std::any_of(Overloaded.begin(), Overloaded.end(),
                     [&](const auto &Each) {
                       const auto Alone = LevelsAlone_.find(Each.first);
                       return Alone == LevelsAlone_.end() ||
                              Each.second > Alone->second + MaxTrialGrowth;
                     });
}

auto OverloadProbe::observe(TimePoint Now,
                            const std::map<TaskId, double> &Overloaded,
                            bool NoneWorks) -> void {
  if (Overloaded.empty()) {
    *this = {};
    return;
  }
  for (auto Each = LevelsAlone_.begin(); Each != LevelsAlone_.end();)
    Each = Overloaded.count(Each->first) == 0 ? LevelsAlone_.erase(Each)
                                              : std::next(Each);
  if (Phase_ == Phase::Trying) {
    const auto Hurt = isHurt(Overloaded);
    if (!Hurt && Now < TrialUntil_)
      return;
    Pace_ = Hurt ? MinTrialPace : std::min(FullPace, 2 * Pace_);
    Phase_ = Phase::Checking;
    AloneSince_.reset();
    return;
  }
  if (!NoneWorks) {
    if (Phase_ == Phase::Proved)
      Phase_ = Phase::Checking;
    AloneSince_.reset();
    return;
  }
  if (!AloneSince_ || LevelsAlone_.size() != Overloaded.size())
    AloneSince_ = Now;
  LevelsAlone_ = Overloaded;
  if (*AloneSince_ + ProofTime <= Now)
    Phase_ = Phase::Proved;
  else if (Phase_ == Phase::Proved)
    Phase_ = Phase::Checking;
}

auto OverloadProbe::begin(TimePoint Now) -> void {
  if (Phase_ != Phase::Proved)
    return;
  Phase_ = Phase::Trying;
  TrialUntil_ = Now + TrialTime;
}

} // namespace skylark
