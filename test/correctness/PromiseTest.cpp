/// \file
/// Tests what a job can still be worth, by the time that is left.

#include "core/DeadlineFeasibility.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// Two steps of two seconds, handed in at 100 s and due at 110 s.
auto job() -> Job {
  Job Result;
  Result.Id_ = {"job"};
  Result.SubmittedAt_ = WallTime{Seconds{100}};
  auto &Wanted = Result.Declaration_;
  Wanted.Steps_.resize(2);
  Wanted.Steps_[1].Dependencies_ = {0};
  for (auto &Step : Wanted.Steps_) {
    Step.RunTime_ = Millis{2000};
    Step.BestEffort_ = true;
  }
  Wanted.Deadline_ = WallTime{Seconds{110}};
  Result.Tasks_.resize(2);
  return Result;
}

auto taskOf(std::uint32_t Step) -> TaskId { return {{"job"}, 0, Step, 0}; }

auto at(std::int64_t Second) -> WallTime { return WallTime{Seconds{Second}}; }

} // namespace

BOOST_AUTO_TEST_SUITE(Promised)

BOOST_AUTO_TEST_CASE(WhatCanEndByItsDeadlineIsOnTime) {
  BOOST_TEST((feasibilityOf(job(), taskOf(0), at(106)) ==
              DeadlineFeasibility::OnTime));
  BOOST_TEST(
      (feasibilityOf(job(), taskOf(0), at(107)) == DeadlineFeasibility::Late));
}

BOOST_AUTO_TEST_CASE(ALaterStepHasLessToDo) {
  BOOST_TEST((feasibilityOf(job(), taskOf(1), at(107)) ==
              DeadlineFeasibility::OnTime));
}

BOOST_AUTO_TEST_CASE(AfterThreeTimesItsTimeAJobIsHopeless) {
  BOOST_TEST(
      (feasibilityOf(job(), taskOf(0), at(126)) == DeadlineFeasibility::Late));
  BOOST_TEST((feasibilityOf(job(), taskOf(0), at(127)) ==
              DeadlineFeasibility::TooLate));
}

BOOST_AUTO_TEST_CASE(WorkThatDoesNotFillIsNeverPutOff) {
  auto Job = job();
  Job.Declaration_.Steps_[0].BestEffort_ = false;
  BOOST_TEST(
      (feasibilityOf(Job, taskOf(0), at(500)) == DeadlineFeasibility::OnTime));
}

BOOST_AUTO_TEST_CASE(WithoutADeadlineNothingIsLate) {
  auto Job = job();
  Job.Declaration_.Deadline_ = {};
  BOOST_TEST(
      (feasibilityOf(Job, taskOf(0), at(500)) == DeadlineFeasibility::OnTime));
}

BOOST_AUTO_TEST_CASE(EachOccurrenceHasItsOwnDeadline) {
  auto Job = job();
  Job.Declaration_.Occurrences_ = 3;
  Job.Declaration_.FirstAt_ = at(100);
  Job.Declaration_.Interval_ = Millis{20000};
  const TaskId Second{{"job"}, 0, 0, 1};
  BOOST_TEST(
      (feasibilityOf(Job, Second, at(125)) == DeadlineFeasibility::OnTime));
  BOOST_TEST(
      (feasibilityOf(Job, Second, at(128)) == DeadlineFeasibility::Late));
}

BOOST_AUTO_TEST_CASE(WhatIsNearlyDoneIsWorthMostForItsWork) {
  auto Fresh = job();
  for (auto &Step : Fresh.Declaration_.Steps_)
    Step.Resources_ = {3000, 100, 0};
  auto Begun = Fresh;
  Begun.Tasks_[0].State_ = TaskState::Finished;
  BOOST_TEST(totalWork(Fresh) == 12.0);
  BOOST_TEST(remainingWork(Begun) == 6.0);
  BOOST_TEST(workPerValue(Begun, 12.0) < workPerValue(Fresh, 12.0));
}

BOOST_AUTO_TEST_CASE(ASmallJobIsWorthMoreForItsWork) {
  auto Large = job();
  auto Small = job();
  Large.Declaration_.Steps_[0].Resources_ = {30000, 100, 0};
  Small.Declaration_.Steps_[0].Resources_ = {1000, 100, 0};
  BOOST_TEST(workPerValue(Small, 12.0) < workPerValue(Large, 12.0));
}

BOOST_AUTO_TEST_CASE(EachQueueHasItsOwnMean) {
  auto Each = job();
  Each.Declaration_.Queue_ = {"queue"};
  Each.Declaration_.Steps_[0].Resources_ = {1000, 100, 0};
  MeanWork Mean;
  Mean.record(Each);
  Each.Declaration_.Steps_[0].Resources_ = {3000, 100, 0};
  Mean.record(Each);
  BOOST_TEST(Mean.of({"queue"}) == 4.0);
  BOOST_TEST(Mean.of({"other"}) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
