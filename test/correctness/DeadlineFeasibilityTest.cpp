/// \file
/// Tests whether a job can still meet its deadline, and its value for the work
/// that remains.

#include "core/DeadlineFeasibility.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// A job of two consecutive steps of two seconds each, submitted at 100 s and
/// due at 110 s.
auto twoStepJob() -> Job {
  Job Result;
  Result.Id_ = {"job"};
  Result.SubmittedAt_ = WallTime{Seconds{100}};
  auto &Declaration = Result.Declaration_;
  Declaration.Steps_.resize(2);
  Declaration.Steps_[1].Dependencies_ = {0};
  for (auto &Step : Declaration.Steps_) {
    Step.RunTime_ = Millis{2000};
    Step.BestEffort_ = true;
  }
  Declaration.Deadline_ = WallTime{Seconds{110}};
  Result.Tasks_.resize(2);
  return Result;
}

auto taskOf(std::uint32_t Step) -> TaskId { return {{"job"}, 0, Step, 0}; }

auto atSecond(std::int64_t Second) -> WallTime {
  return WallTime{Seconds{Second}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Deadlines)

BOOST_AUTO_TEST_CASE(ATaskThatCanEndByItsDeadlineIsOnTime) {
  BOOST_TEST((feasibilityOf(twoStepJob(), taskOf(0), atSecond(106)) ==
              DeadlineFeasibility::OnTime));
  BOOST_TEST((feasibilityOf(twoStepJob(), taskOf(0), atSecond(107)) ==
              DeadlineFeasibility::Late));
}

BOOST_AUTO_TEST_CASE(ALaterStepHasAShorterCriticalPath) {
  BOOST_TEST((feasibilityOf(twoStepJob(), taskOf(1), atSecond(107)) ==
              DeadlineFeasibility::OnTime));
}

BOOST_AUTO_TEST_CASE(AJobIsTooLateAfterThreeTimesItsTime) {
  BOOST_TEST((feasibilityOf(twoStepJob(), taskOf(0), atSecond(126)) ==
              DeadlineFeasibility::Late));
  BOOST_TEST((feasibilityOf(twoStepJob(), taskOf(0), atSecond(127)) ==
              DeadlineFeasibility::TooLate));
}

BOOST_AUTO_TEST_CASE(WorkThatIsNotBestEffortIsAlwaysOnTime) {
  auto Job = twoStepJob();
  Job.Declaration_.Steps_[0].BestEffort_ = false;
  BOOST_TEST((feasibilityOf(Job, taskOf(0), atSecond(500)) ==
              DeadlineFeasibility::OnTime));
}

BOOST_AUTO_TEST_CASE(NoJobWithoutADeadlineIsLate) {
  auto Job = twoStepJob();
  Job.Declaration_.Deadline_ = {};
  BOOST_TEST((feasibilityOf(Job, taskOf(0), atSecond(500)) ==
              DeadlineFeasibility::OnTime));
}

BOOST_AUTO_TEST_CASE(EachOccurrenceHasItsOwnDeadline) {
  auto Job = twoStepJob();
  Job.Declaration_.Occurrences_ = 3;
  Job.Declaration_.FirstAt_ = atSecond(100);
  Job.Declaration_.Interval_ = Millis{20000};
  const TaskId Second{{"job"}, 0, 0, 1};
  BOOST_TEST((feasibilityOf(Job, Second, atSecond(125)) ==
              DeadlineFeasibility::OnTime));
  BOOST_TEST(
      (feasibilityOf(Job, Second, atSecond(128)) == DeadlineFeasibility::Late));
}

BOOST_AUTO_TEST_CASE(APartlyFinishedJobHasMoreValueForItsWork) {
  auto Unstarted = twoStepJob();
  for (auto &Step : Unstarted.Declaration_.Steps_)
    Step.Resources_ = {3000, 100, 0};
  auto PartlyFinished = Unstarted;
  PartlyFinished.Tasks_[0].State_ = TaskState::Finished;
  BOOST_TEST(totalWork(Unstarted) == 12.0);
  BOOST_TEST(remainingWork(PartlyFinished, JobProgress(PartlyFinished)) == 6.0);
  BOOST_TEST(workPerValue(PartlyFinished, JobProgress(PartlyFinished), 12.0) <
             workPerValue(Unstarted, JobProgress(Unstarted), 12.0));
}

BOOST_AUTO_TEST_CASE(ASmallJobHasMoreValueForItsWork) {
  auto Large = twoStepJob();
  auto Small = twoStepJob();
  Large.Declaration_.Steps_[0].Resources_ = {30000, 100, 0};
  Small.Declaration_.Steps_[0].Resources_ = {1000, 100, 0};
  BOOST_TEST(workPerValue(Small, JobProgress(Small), 12.0) <
             workPerValue(Large, JobProgress(Large), 12.0));
}

BOOST_AUTO_TEST_CASE(EachQueueHasItsOwnMeanWork) {
  auto QueuedJob = twoStepJob();
  QueuedJob.Declaration_.Queue_ = {"queue"};
  QueuedJob.Declaration_.Steps_[0].Resources_ = {1000, 100, 0};
  MeanWork Mean;
  Mean.record(QueuedJob);
  QueuedJob.Declaration_.Steps_[0].Resources_ = {3000, 100, 0};
  Mean.record(QueuedJob);
  BOOST_TEST(Mean.of({"queue"}) == 4.0);
  BOOST_TEST(Mean.of({"other"}) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
