/// \file
/// Tests what callers of jobs get from one entry with many workers.

#include "test/correctness/FleetFixture.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <numeric>

using namespace skylark;

namespace {

/// 160 workers, of which ten have no serving task, get a burst of 8 jobs of 39
/// best-effort tasks; returns after twice their critical path and one second.
class BurstFixture : public FleetFixture {
public:
  static constexpr int JobCount = 8;

  BurstFixture() : FleetFixture(160) {
    constexpr std::uint32_t ServingWorkers = 150;
    submitServing("serving", ServingWorkers);
    advance(Millis{20000});
    BOOST_REQUIRE(servingTasks() == ServingWorkers);
    for (int Job = 0; Job < JobCount; ++Job)
      submitBestEffort("batch-" + std::to_string(Job), 39);
    advance(2 * BestEffortRunTime + Millis{1000});
  }
};

/// A job of steps that each depend on all earlier ones.
auto sequenceOf(std::uint32_t Steps) -> JobDeclaration {
  JobDeclaration Sequence;
  Sequence.Steps_.resize(Steps);
  for (std::uint32_t Step = 0; Step < Steps; ++Step) {
    Sequence.Steps_[Step].RunTime_ = ShortRunTime;
    Sequence.Steps_[Step].Resources_ = {1000, 100, 0};
    Sequence.Steps_[Step].Dependencies_.resize(Step);
    std::iota(Sequence.Steps_[Step].Dependencies_.begin(),
              Sequence.Steps_[Step].Dependencies_.end(), 0U);
  }
  return Sequence;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Fleet)

// The failures of one hopeless job kept all its workers from work for 20 s.
BOOST_AUTO_TEST_CASE(AJobRunsOnWorkersOnWhichAHopelessOneFails) {
  FleetFixture Fixture(8);
  for (int Job = 0; Job < 4; ++Job) {
    Fixture.submitShort("hopeless-" + std::to_string(Job), 32);
    Fixture.advance(Millis{500});
  }
  Fixture.submitShort("sound", 16);
  Fixture.advance(ShortRunTime + Millis{2000});
  BOOST_TEST((Fixture.state("sound") == JobState::Completed));
}

/// Two workers, of which the first is full; the other fails all that it starts
/// for a while.
class LastRoomFixture : public FleetFixture {
public:
  LastRoomFixture() : FleetFixture(2) {
    FailingWorkers_ = {1};
    submitServing("full", 1);
    advance(Millis{3000});
    BOOST_REQUIRE(servingTasks() == 1U);
  }
};

// A worker on which tasks had failed got no work for 20 s, also if no other had
// room.
BOOST_FIXTURE_TEST_CASE(ALastingTaskGetsAWorkerThatFailedOnceItIsSound,
                        LastRoomFixture) {
  submitServing("lasting", 1);
  submitServing("another", 1);
  advance(Millis{6000});
  BOOST_TEST(servingTasks() == 1U);
  FailingWorkers_.clear();
  advance(Millis{3000});
  BOOST_TEST(servingTasks() == 2U);
}

BOOST_FIXTURE_TEST_CASE(AJobIsNotFailedByAWorkerThatFailsAll, LastRoomFixture) {
  submitServing("full-too", 1);
  submitShort("victim", 12);
  advance(Millis{15000});
  BOOST_TEST((state("victim") != JobState::Failed));
  FailingWorkers_.clear();
  advance(Millis{8000});
  BOOST_TEST((state("victim") == JobState::Completed));
}

/// Six workers, of which three refuse each start for 10 s, while a job of six
/// tasks comes every 150 ms. The other three have room for all of them.
class RefusingWorkersFixture : public FleetFixture {
public:
  static constexpr int JobCount = 60;

  RefusingWorkersFixture() : FleetFixture(6) {
    RefusingWorkers_ = {0, 1, 2};
    std::vector<int> OpenJobs;
    constexpr Millis Allowed = 2 * ShortRunTime + Millis{1000};
    constexpr Millis SubmitInterval{150};
    constexpr Millis RefusalPeriod{10000};
    for (Millis Elapsed{0}; Elapsed < RefusalPeriod + 2 * Allowed;
         Elapsed += SubmitInterval) {
      const auto Number = static_cast<int>(Elapsed / SubmitInterval);
      if (Number < JobCount)
        submitShort("job-" + std::to_string(Number), 6);
      if (Elapsed >= RefusalPeriod)
        RefusingWorkers_.clear();
      advance(SubmitInterval);
      const auto Due = Number - static_cast<int>((Allowed + SubmitInterval) /
                                                 SubmitInterval);
      if (Due >= 0 && Due < JobCount &&
          state("job-" + std::to_string(Due)) != JobState::Completed)
        ++LateJobs_;
    }
  }

  /// Jobs that took longer than twice their run time and one second.
  int LateJobs_ = 0;
};

// Most tasks went back to the workers that had just refused them.
BOOST_FIXTURE_TEST_CASE(JobsAreInTimeAlthoughSomeWorkersRefuseEachStart,
                        RefusingWorkersFixture) {
  BOOST_TEST(LateJobs_ == 0);
  BOOST_TEST(Refusals_ < JobCount * 6);
}

BOOST_AUTO_TEST_CASE(AWorkerThatRefusedStartsGetsWorkSoonAfterwards) {
  FleetFixture Fixture(1);
  Fixture.RefusingWorkers_ = {0};
  Fixture.submitShort("first", 4);
  Fixture.advance(Millis{8000});
  Fixture.RefusingWorkers_.clear();
  Fixture.advance(ShortRunTime + Millis{2500});
  BOOST_TEST((Fixture.state("first") == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(AJobTooLargeForTheStoreIsRefusedAtOnce) {
  FleetFixture Fixture(4);
  const auto Refused = Fixture.submit("large", sequenceOf(900));
  Fixture.submitShort("short", 4);
  BOOST_TEST((Fixture.errorOf(Refused) == ErrorKind::BodyTooLarge));
  Fixture.advance(2 * ShortRunTime + Millis{1000});
  BOOST_TEST((Fixture.state("short") == JobState::Completed));
}

BOOST_FIXTURE_TEST_CASE(CallersGetABurstOfBestEffortJobsInTime, BurstFixture) {
  int Completed = 0;
  for (int Job = 0; Job < JobCount; ++Job)
    Completed +=
        state("batch-" + std::to_string(Job)) == JobState::Completed ? 1 : 0;
  BOOST_TEST(Completed == JobCount);
}

BOOST_FIXTURE_TEST_CASE(
    ABurstOfBestEffortJobsDoesNotOvercommitTheWorkersWithoutServingTasks,
    BurstFixture) {
  BOOST_TEST(MostRequested_ <= WorkerMilliCores);
}

BOOST_AUTO_TEST_CASE(AJobThatIsLateIsNotStarvedByJobsThatCanBeInTime) {
  // 36 tasks fit; jobs of 12 tasks, 2.7 s each, come faster than they end.
  FleetFixture Fixture(4);
  for (int Job = 0; Job < 8; ++Job)
    Fixture.submitBestEffort("first-" + std::to_string(Job), 12);
  for (int Job = 0; Job < 60; ++Job) {
    Fixture.submitBestEffort("later-" + std::to_string(Job), 12);
    Fixture.submitBestEffort("also-" + std::to_string(Job), 12);
    Fixture.advance(Millis{1000});
  }
  for (int Job = 0; Job < 8; ++Job)
    BOOST_TEST(
        (Fixture.state("first-" + std::to_string(Job)) == JobState::Completed));
}

/// Four workers with a backlog of 120 best-effort jobs that can't be in time
/// any more, 4680 tasks, of which 36 run at a time.
class BacklogFixture : public FleetFixture {
public:
  BacklogFixture() : FleetFixture(4) {
    for (int Job = 0; Job < 120; ++Job)
      submitBestEffort("late-" + std::to_string(Job), 39);
    advance(Millis{12000});
  }
};

BOOST_FIXTURE_TEST_CASE(ShortJobsAreInTimeBehindABacklogOfBestEffortJobs,
                        BacklogFixture) {
  submitShort("short", 9);
  advance(2 * ShortRunTime + Millis{1000});
  BOOST_TEST((state("short") == JobState::Completed));
}

BOOST_FIXTURE_TEST_CASE(AJobThatCanBeInTimeIsNotPutBehindABacklogOfLateOnes,
                        BacklogFixture) {
  submitBestEffort("new", 12);
  advance(2 * BestEffortRunTime + Millis{1000});
  BOOST_TEST((state("new") == JobState::Completed));
}

// The cost of a job was exponential in the number of its dependent steps, and
// the entry that took it answered nothing any more.
BOOST_AUTO_TEST_CASE(AJobOfManyDependentStepsHoldsUpNoOtherJob) {
  FleetFixture Fixture(4);
  Fixture.submit("sequence", sequenceOf(36));
  Fixture.submitShort("short", 4);
  Fixture.advance(2 * ShortRunTime + Millis{1000});
  BOOST_TEST((Fixture.state("short") == JobState::Completed));
  BOOST_TEST((Fixture.state("sequence") == JobState::Running));
  Fixture.advance(36 * (ShortRunTime + Millis{500}));
  BOOST_TEST((Fixture.state("sequence") == JobState::Completed));
}

// Steps for which there was no worker ended each pass before other jobs' turn.
BOOST_AUTO_TEST_CASE(AJobIsBoundBehindManyStepsThatNoWorkerMayTake) {
  constexpr std::uint32_t WorkerCount = 4;
  FleetFixture Fixture(WorkerCount);
  StepDeclaration Step;
  Step.TaskCount_ = WorkerCount + 1;
  Step.Resources_ = {100, 100, 0};
  Step.LongRunning_ = true;
  Step.MaxPerWorker_ = 1;
  for (int Job = 0; Job < 150; ++Job)
    Fixture.submit("lasting-" + std::to_string(Job), Step);
  Fixture.advance(Millis{8000});
  Fixture.submitShort("short", WorkerCount);
  Fixture.advance(2 * ShortRunTime + Millis{1000});
  BOOST_TEST((Fixture.state("short") == JobState::Completed));
}

namespace {

/// A step that runs for longer than that of a short job, and so comes before it
/// in the binding order.
auto unlabelledStep(std::uint32_t Tasks) -> StepDeclaration {
  StepDeclaration Step;
  Step.TaskCount_ = Tasks;
  Step.Resources_ = {100, 100, 0};
  Step.RunTime_ = 2 * ShortRunTime;
  return Step;
}

/// A step whose label no worker has.
auto undoableStep(std::uint32_t Tasks, const std::string &Label = "absent")
    -> StepDeclaration {
  auto Step = unlabelledStep(Tasks);
  Step.RequiredLabel_ = Label;
  return Step;
}

} // namespace

BOOST_AUTO_TEST_CASE(AJobIsBoundBehindManyTasksThatCanNeverBeDone) {
  FleetFixture Fixture(4);
  for (int Job = 0; Job < 117; ++Job)
    Fixture.submit("undoable-" + std::to_string(Job), undoableStep(36));
  Fixture.advance(Millis{8000});
  Fixture.submitShort("short", 4);
  Fixture.advance(2 * ShortRunTime + Millis{1000});
  BOOST_TEST((Fixture.state("short") == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(AJobIsBoundBehindManyStepsThatCanNeverBeDone) {
  FleetFixture Fixture(4);
  for (int Job = 0; Job < 4100; ++Job) {
    Fixture.submit("undoable-" + std::to_string(Job), undoableStep(1));
    if (Job % 100 == 0)
      Fixture.advance(Millis{200});
  }
  Fixture.advance(Millis{4000});
  Fixture.submitShort("short", 4);
  Fixture.advance(Millis{3000} + ShortRunTime);
  BOOST_TEST((Fixture.state("short") == JobState::Completed));
}

// Each of the jobs used up a failed placement, so that the one behind them
// waited for many passes.
BOOST_AUTO_TEST_CASE(AJobIsBoundBehindManyThatAskForLabelsOfTheirOwn) {
  FleetFixture Fixture(4);
  for (int Job = 0; Job < 4100; ++Job) {
    const auto Name = "undoable-" + std::to_string(Job);
    auto Step = undoableStep(1, Name);
    // Comes before short jobs, however late it is.
    Step.LongRunning_ = true;
    Fixture.submit(Name, Step);
    if (Job % 100 == 0)
      Fixture.advance(Millis{200});
  }
  Fixture.advance(Millis{4000});
  for (int Job = 0; Job < 4; ++Job) {
    const auto Name = "short-" + std::to_string(Job);
    Fixture.submitShort(Name, 4);
    Fixture.advance(Millis{3000} + ShortRunTime);
    BOOST_TEST((Fixture.state(Name) == JobState::Completed), Name);
  }
}

BOOST_AUTO_TEST_CASE(AJobIsBoundBesideAServiceWithoutWorkers) {
  FleetFixture Fixture(4);
  Fixture.submitOrphan("waiting", unlabelledStep(1));
  Fixture.advance(Millis{1000});
  Fixture.submitShort("short", 4);
  Fixture.advance(2 * ShortRunTime + Millis{1000});
  BOOST_TEST((Fixture.state("short") == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(ABestEffortJobIsBoundBesideAServiceWithoutWorkers) {
  FleetFixture Fixture(4);
  auto Step = unlabelledStep(1);
  Step.Resources_ = {BestEffortMilliCores, 2000, 0};
  Step.RunTime_ = BestEffortRunTime;
  Step.BestEffort_ = true;
  Step.Image_ = "batch";
  Fixture.submitOrphan("waiting", Step);
  // Raises the mean work of the queue, so that the first job has more value.
  Step.TaskCount_ = 8;
  Fixture.submitOrphan("larger", Step);
  Fixture.advance(Millis{1000});
  Fixture.submitBestEffort("batch", 4);
  Fixture.advance(BestEffortRunTime + Millis{1000});
  BOOST_TEST((Fixture.state("batch") == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(AShortJobUsesTheRoomThatALongRunningTaskLeavesFree) {
  FleetFixture Fixture(1);
  Fixture.submitShort("before", 10);
  Fixture.advance(2 * ShortRunTime);
  StepDeclaration Lasting;
  Lasting.LongRunning_ = true;
  Lasting.Resources_ = {WorkerMilliCores - 4000, 100, 0};
  Fixture.submit("lasting", Lasting);
  Fixture.advance(Millis{5000});
  BOOST_REQUIRE(Fixture.servingTasks() == 1);
  Fixture.submitShort("peak", 2);
  Fixture.advance(2 * ShortRunTime);
  Lasting.Resources_ = {4000, 100, 0};
  Fixture.submit("waiting", Lasting);
  Fixture.advance(Millis{500});
  StepDeclaration Short;
  Short.Resources_ = {4000, 1000, 0};
  Short.RunTime_ = ShortRunTime;
  Fixture.submit("short", Short);
  Fixture.advance(2 * ShortRunTime);
  BOOST_TEST((Fixture.state("short") == JobState::Completed));
}

namespace {

/// Submits a task that needs nearly all of a worker, beside short tasks of
/// another service; returns how many such tasks run 1 s later.
auto countLargeTasks(FleetFixture &Fixture,
                     const std::function<void(StepDeclaration)> &SubmitOther)
    -> std::size_t {
  StepDeclaration Short;
  Short.TaskCount_ = 200;
  Short.Resources_ = {1800, 1000, 0};
  SubmitOther(Short);
  Fixture.advance(Millis{500});
  StepDeclaration Large;
  Large.LongRunning_ = true;
  Large.Resources_ = {WorkerMilliCores - 1000, 100, 0};
  Fixture.submit("large", Large);
  Fixture.advance(Millis{1000});
  return Fixture.servingTasks();
}

} // namespace

// Every worker kept processors free for the short tasks of all services, and a
// task that needed them waited for 4 s.
BOOST_AUTO_TEST_CASE(ALongRunningTaskLeavesNoRoomForAServiceWithoutWorkers) {
  FleetFixture Fixture(4);
  const auto Count = countLargeTasks(Fixture, [&](const auto &Step) {
    Fixture.submitOrphan("waiting", Step);
  });
  BOOST_TEST(Count == 1U);
}

BOOST_AUTO_TEST_CASE(ALongRunningTaskLeavesNoRoomForTheTasksOfOtherWorkers) {
  FleetFixture Fixture(4, 2);
  const auto Count = countLargeTasks(
      Fixture, [&](const auto &Step) { Fixture.submitOther("waiting", Step); });
  BOOST_TEST(Count == 1U);
}

// Each of the two workers may be ejected; the fleet has many others.
BOOST_AUTO_TEST_CASE(ASmallServiceWorksSoonAfterAllItsWorkersHaveFailed) {
  FleetFixture Fixture(8, 2);
  Fixture.FailingWorkers_ = {8, 9};
  StepDeclaration Step;
  Step.TaskCount_ = 6;
  Step.Resources_ = {1800, 1000, 0};
  Step.RunTime_ = ShortRunTime;
  for (int Job = 0; Job < 8; ++Job) {
    Fixture.submitOther("victim-" + std::to_string(Job), Step);
    Fixture.advance(Millis{1000});
  }
  Fixture.FailingWorkers_.clear();
  Fixture.submitOther("later", Step);
  Fixture.advance(Millis{3000} + ShortRunTime);
  BOOST_TEST((Fixture.stateAt("/others/later") == JobState::Completed));
}

BOOST_AUTO_TEST_SUITE_END()
