#include "core/Promise.h"

namespace skylark {
namespace {

/// A job that ends after this many times the time that it was given is of no
/// use any more.
constexpr int UsefulFor = 3;

} // namespace

auto promiseOf(const Job &Job, const TaskId &Task, WallTime Now) -> Promise {
  const auto &Wanted = Job.Declaration_;
  if (!Job.stepOf(Task).Fills_ || Wanted.Deadline_ == WallTime{})
    return Promise::OnTime;
  const auto Shift = Wanted.Interval_ * Task.Occurrence_;
  const auto Due = Wanted.Deadline_ + Shift;
  const auto End = Now + Wanted.chainFrom(Task.Step_);
  if (End <= Due)
    return Promise::OnTime;
  const auto From = std::max(Job.SubmittedAt_, Wanted.FirstAt_ + Shift);
  return End <= From + UsefulFor * (Due - From) ? Promise::Late
                                                : Promise::Hopeless;
}

} // namespace skylark
