#include "core/OutlierDetector.h"

#include <algorithm>

namespace skylark {
namespace {

/// Failures on end after which a sound worker is ejected. One that has been
/// ejected before is ejected again after a single one.
constexpr std::size_t FailuresToEject = 4;
/// Failures further apart than this are not a series.
constexpr Seconds FailureMaxAge{10};
/// Workers on which the tasks of a hopeless step have failed.
constexpr std::size_t WorkersOfHopelessStep = 2;
constexpr Millis FirstEjection{1000};
constexpr Millis MaxEjection{16000};
/// How long a single task runs without failing until its worker counts as
/// sound, or until the next one may be tried. Must be below three seconds,
/// after which a task that isn't running although a worker has free capacity
/// counts as starved.
constexpr Millis TrialPeriod{1500};
constexpr Seconds RecordRetention{60};

} // namespace

auto OutlierDetector::isHopeless(const StepKey &Step) const -> bool {
  const auto Found = Steps_.find(Step);
  return Found != Steps_.end() && !Found->second.Finished_ &&
         Found->second.FailedOn_.size() >= WorkersOfHopelessStep;
}

auto OutlierDetector::countFailures(TimePoint Now,
                                    const WorkerRecord &Record) const
    -> std::size_t {
  return std::count_if(Record.Failures_.begin(), Record.Failures_.end(),
                       [&](const Failure &Each) {
                         return Each.At_ + FailureMaxAge > Now &&
                                !isHopeless(Each.Step_);
                       });
}

auto OutlierDetector::countEjected(TimePoint Now) const -> std::size_t {
  return std::count_if(Workers_.begin(), Workers_.end(), [&](const auto &Each) {
    return Each.second.EjectedUntil_ > Now;
  });
}

auto OutlierDetector::failed(TimePoint Now, const WorkerKey &Worker,
                             const StepKey &Step, std::size_t Workers) -> void {
  auto &FailedStep = Steps_[Step];
  const auto WasHopeless = isHopeless(Step);
  FailedStep.FailedOn_.insert(Worker.Agent_);
  FailedStep.HeardAt_ = Now;
  auto &Record = Workers_[Worker];
  Record.HeardAt_ = Now;
  const auto PassedLongAgo =
      Record.TriedAt_ != TimePoint{} && Record.TriedAt_ + FailureMaxAge <= Now;
  if (PassedLongAgo && Record.EjectedUntil_ <= Now)
    Record = {{}, {}, 0, {}, Now};
  // Only the last failures matter.
  if (Record.Failures_.size() >= 4 * FailuresToEject)
    Record.Failures_.erase(Record.Failures_.begin());
  Record.Failures_.push_back({Step, Now});
  if (!WasHopeless && isHopeless(Step))
    reinstate(Now);
  // What fails now was started before the worker was ejected.
  if (Record.EjectedUntil_ > Now || isHopeless(Step))
    return;
  const auto Needed = Record.Ejections_ > 0 ? 1 : FailuresToEject;
  if (countFailures(Now, Record) < Needed ||
      2 * (countEjected(Now) + 1) > Workers)
    return;
  constexpr std::uint32_t MaxDoublings = 4;
  Record.EjectedUntil_ =
      Now + std::min(MaxEjection,
                     FirstEjection *
                         (1U << std::min(Record.Ejections_, MaxDoublings)));
  ++Record.Ejections_;
  Record.TriedAt_ = {};
}

auto OutlierDetector::reinstate(TimePoint Now) -> void {
  for (auto &[Worker, Record] : Workers_) {
    const auto Needed = Record.Ejections_ > 1 ? 1 : FailuresToEject;
    if (Record.Ejections_ == 0 || countFailures(Now, Record) >= Needed)
      continue;
    --Record.Ejections_;
    Record.EjectedUntil_ = {};
  }
}

auto OutlierDetector::finished(TimePoint Now, const WorkerKey &Worker,
                               const StepKey &Step) -> void {
  const auto FoundStep = Steps_.find(Step);
  if (FoundStep != Steps_.end()) {
    FoundStep->second.Finished_ = true;
    FoundStep->second.HeardAt_ = Now;
  }
  const auto Found = Workers_.find(Worker);
  if (Found == Workers_.end())
    return;
  Found->second.Failures_.clear();
  // What finishes while the worker is ejected was started before.
  if (Found->second.EjectedUntil_ <= Now)
    Workers_.erase(Found);
}

auto OutlierDetector::bound(TimePoint Now, const WorkerKey &Worker) -> void {
  if (standingOf(Now, Worker) != Standing::Sound)
    Workers_[Worker].TriedAt_ = Now;
}

auto OutlierDetector::standingOf(TimePoint Now, const WorkerKey &Worker) const
    -> Standing {
  const auto Found = Workers_.find(Worker);
  if (Found == Workers_.end() || Found->second.Ejections_ == 0)
    return Standing::Sound;
  const auto &Record = Found->second;
  if (Record.EjectedUntil_ > Now)
    return Standing::Ejected;
  // A trial that hasn't failed shows that the worker is sound.
  const auto Passed = Record.TriedAt_ >= Record.EjectedUntil_ &&
                      Record.TriedAt_ + TrialPeriod <= Now;
  return Passed ? Standing::Sound : Standing::Probation;
}

auto OutlierDetector::mayTry(TimePoint Now, const WorkerKey &Worker) const
    -> bool {
  const auto Found = Workers_.find(Worker);
  return Found == Workers_.end() || Found->second.TriedAt_ == TimePoint{} ||
         Found->second.TriedAt_ + TrialPeriod <= Now;
}

auto OutlierDetector::prune(TimePoint Now) -> void {
  for (auto Each = Workers_.begin(); Each != Workers_.end();)
    Each = Each->second.HeardAt_ + RecordRetention < Now ? Workers_.erase(Each)
                                                         : std::next(Each);
  for (auto Each = Steps_.begin(); Each != Steps_.end();)
    Each = Each->second.HeardAt_ + RecordRetention < Now ? Steps_.erase(Each)
                                                         : std::next(Each);
}

auto OutlierDetector::clear() -> void { *this = {}; }

} // namespace skylark
