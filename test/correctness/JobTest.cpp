/// \file
/// Tests jobs of several steps: task positions, readiness, schedule and states;
/// and which queue a path belongs to and which configuration agents get.

#include "core/Document.h"
#include "core/JobProgress.h"
#include "core/ShardState.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// A step of two tasks and a step of three that depends on it; two occurrences,
/// ten seconds apart.
auto twoStepJob() -> Job {
  Job TestedJob;
  TestedJob.Id_ = {"0123456789abcdef"};
  auto &Declaration = TestedJob.Declaration_;
  Declaration.Steps_.resize(2);
  Declaration.Steps_[0].TaskCount_ = 2;
  Declaration.Steps_[0].RunTime_ = Millis{400};
  Declaration.Steps_[1].TaskCount_ = 3;
  Declaration.Steps_[1].RunTime_ = Millis{600};
  Declaration.Steps_[1].Dependencies_ = {0};
  Declaration.Occurrences_ = 2;
  Declaration.FirstAt_ = WallTime{Seconds{100}};
  Declaration.Interval_ = Seconds{10};
  TestedJob.Tasks_.resize(Declaration.taskCount());
  return TestedJob;
}

auto stateChange(const TaskId &Task, TaskState State, AttemptNumber Attempt)
    -> LedgerRecord {
  TaskChanged Change;
  Change.Task_ = Task;
  Change.State_ = State;
  Change.Attempt_ = Attempt;
  return Change;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Jobs)

BOOST_AUTO_TEST_CASE(PositionsAndTaskIdsAgree) {
  const auto TestedJob = twoStepJob();
  for (std::size_t Position = 0; Position < TestedJob.Tasks_.size(); ++Position)
    BOOST_TEST(TestedJob.positionOf(TestedJob.taskAt(Position)) == Position);
  BOOST_TEST(TestedJob.positionOf({TestedJob.Id_, 3, 1, 0}) ==
             TestedJob.Tasks_.size());
  BOOST_TEST(TestedJob.positionOf({TestedJob.Id_, 0, 2, 0}) ==
             TestedJob.Tasks_.size());
}

BOOST_AUTO_TEST_CASE(AStepWaitsForItsDependencies) {
  auto TestedJob = twoStepJob();
  const TaskId SecondStepTask{TestedJob.Id_, 0, 1, 0};
  BOOST_TEST(!JobProgress(TestedJob).isReady(SecondStepTask));
  TestedJob.Tasks_[0].State_ = TaskState::Finished;
  BOOST_TEST(!JobProgress(TestedJob).isReady(SecondStepTask));
  TestedJob.Tasks_[1].State_ = TaskState::Finished;
  BOOST_TEST(JobProgress(TestedJob).isReady(SecondStepTask));
  BOOST_TEST(!JobProgress(TestedJob).isReady({TestedJob.Id_, 0, 1, 1}));
}

BOOST_AUTO_TEST_CASE(OccurrencesAreScheduledAtTheInterval) {
  const auto TestedJob = twoStepJob();
  BOOST_TEST((TestedJob.scheduledAt({TestedJob.Id_, 0, 0, 1}) ==
              WallTime{Seconds{110}}));
}

BOOST_AUTO_TEST_CASE(CriticalPathIsTheLongestChainOfSteps) {
  const auto TestedJob = twoStepJob();
  BOOST_TEST((TestedJob.Declaration_.criticalPath() == Millis{1000}));
  BOOST_TEST(
      (TestedJob.criticalPathFrom({TestedJob.Id_, 0, 1, 0}) == Millis{600}));
}

// The time to find the critical path grew exponentially with the steps.
BOOST_AUTO_TEST_CASE(TheCriticalPathOfManyDependentStepsIsFound) {
  constexpr std::uint32_t Steps = 300;
  for (const std::uint32_t Listed : {2U, Steps}) {
    JobDeclaration Sequence;
    Sequence.Steps_.resize(Steps);
    for (std::uint32_t Step = 0; Step < Steps; ++Step) {
      Sequence.Steps_[Step].RunTime_ = Millis{10};
      for (auto Earlier = Step - std::min(Step, Listed); Earlier < Step;
           ++Earlier)
        Sequence.Steps_[Step].Dependencies_.push_back(Earlier);
    }
    BOOST_TEST((Sequence.criticalPath() == Steps * Millis{10}));
  }
}

BOOST_AUTO_TEST_CASE(TheCriticalPathOfVeryLongStepsDoesNotOverflow) {
  JobDeclaration Sequence;
  Sequence.Steps_.resize(100);
  for (std::uint32_t Step = 0; Step < Sequence.Steps_.size(); ++Step) {
    Sequence.Steps_[Step].RunTime_ = Millis{std::int64_t{1} << 60};
    if (Step > 0)
      Sequence.Steps_[Step].Dependencies_ = {Step - 1};
  }
  BOOST_TEST((Sequence.criticalPath() >= Millis{std::int64_t{1} << 40}));
}

BOOST_AUTO_TEST_CASE(CountsOfAJobFollowItsChanges) {
  ShardState State;
  auto Added = twoStepJob();
  // A dependency that is listed twice counts once.
  Added.Declaration_.Steps_[1].Dependencies_ = {0, 0};
  Added.Declaration_.Queue_ = {"queue"};
  State.apply(LedgerRecord{JobAdded{Added}});
  const auto Id = Added.Id_;
  const TaskId Dependent{Id, 0, 1, 1};
  BOOST_TEST(State.countUnstarted({"queue"}) == 1U);
  for (std::uint32_t Index = 0; Index < 2; ++Index) {
    BOOST_TEST(!State.progressOf(Id).isReady(Dependent));
    State.apply(stateChange({Id, Index, 0, 1}, TaskState::Bound, 1));
    BOOST_TEST(State.countUnstarted({"queue"}) == (Index == 0 ? 1U : 0U));
    State.apply(stateChange({Id, Index, 0, 1}, TaskState::Finished, 1));
  }
  const auto &Progress = State.progressOf(Id);
  BOOST_TEST(Progress.isReady(Dependent));
  BOOST_TEST(!Progress.isReady({Id, 0, 1, 0}));
  BOOST_TEST(Progress.unfinishedOf(0) == 2U);
  BOOST_TEST(Progress.tally().Finished_ == 2U);
  BOOST_TEST(Progress.tally().Pending_ == 8U);
  State.apply(LedgerRecord{JobCancelled{Id, {}}});
  BOOST_TEST(Progress.isOver());
  State.apply(LedgerRecord{JobRemoved{Id}});
  BOOST_TEST(State.countUnstarted({"queue"}) == 0U);
}

BOOST_AUTO_TEST_CASE(AJobIsCompletedOnceAllTasksHaveFinished) {
  auto TestedJob = twoStepJob();
  BOOST_TEST((jobState(TestedJob) == JobState::Queued));
  for (auto &Task : TestedJob.Tasks_) {
    Task.State_ = TaskState::Finished;
    Task.Attempt_ = 1;
  }
  BOOST_TEST((jobState(TestedJob) == JobState::Completed));
  TestedJob.Tasks_.back().State_ = TaskState::Bound;
  BOOST_TEST((jobState(TestedJob) == JobState::Running));
}

BOOST_AUTO_TEST_CASE(AJobIsQueuedUntilATaskIsKnownToHaveBegun) {
  auto TestedJob = twoStepJob();
  auto &Task = TestedJob.Tasks_.front();
  Task.State_ = TaskState::Bound;
  Task.Attempt_ = 2;
  BOOST_TEST((jobState(TestedJob) == JobState::Queued));
  Task.Failures_ = 1;
  BOOST_TEST((jobState(TestedJob) == JobState::Running));
  Task.Failures_ = 0;
  Task.Checkpoint_ = {"c"};
  BOOST_TEST((jobState(TestedJob) == JobState::Running));
  Task.Checkpoint_ = {};
  Task.State_ = TaskState::Finished;
  BOOST_TEST((jobState(TestedJob) == JobState::Running));
}

BOOST_AUTO_TEST_CASE(AFailedTaskCancelsThePendingTasksOfItsJob) {
  ShardState State;
  State.apply(LedgerRecord{JobAdded{twoStepJob()}});
  const JobId Id{"0123456789abcdef"};
  State.apply(stateChange({Id, 0}, TaskState::Bound, 1));
  State.apply(stateChange({Id, 1}, TaskState::Bound, 1));
  State.apply(stateChange({Id, 0}, TaskState::Failed, 1));
  const auto *TestedJob = State.findJob(Id);
  BOOST_TEST((jobState(*TestedJob) == JobState::Failed));
  BOOST_TEST((State.findTask({Id, 0, 1, 0})->State_ == TaskState::Cancelled));
  BOOST_TEST((State.findTask({Id, 1})->State_ == TaskState::Bound));
  // A task of the failed job that still ran and returns to pending is cancelled
  // instead of being run again.
  State.apply(stateChange({Id, 1}, TaskState::Pending, 1));
  BOOST_TEST((State.findTask({Id, 1})->State_ == TaskState::Cancelled));
}

BOOST_AUTO_TEST_CASE(TheQueueWithTheLongestPrefixIsFound) {
  Document Configured;
  QueueDeclaration Wide;
  Wide.Name_ = {"wide"};
  Wide.Host_ = "a.example";
  Wide.PathPrefix_ = "/x/";
  auto Narrow = Wide;
  Narrow.Name_ = {"narrow"};
  Narrow.PathPrefix_ = "/x/y/";
  Configured.Queues_ = {Wide, Narrow};
  BOOST_TEST(Configured.findQueue("a.example", "/x/1")->Name_.Value_ == "wide");
  BOOST_TEST(Configured.findQueue("a.example", "/x/y/1")->Name_.Value_ ==
             "narrow");
  BOOST_TEST(Configured.findQueue("b.example", "/x/1") == nullptr);
  BOOST_TEST(Configured.findQueue("a.example", "/z/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(AgentsGetNoUnneededConfiguration) {
  Configuration FullConfiguration;
  FullConfiguration.Head_.Revision_ = 9;
  FullConfiguration.Head_.StartRevision_ = 4;
  FullConfiguration.Head_.DataCentresOut_ = {{"hobart"}};
  FullConfiguration.Document_.Text_ = "long";
  FullConfiguration.Document_.Queues_.resize(3);
  const auto AgentConfiguration = FullConfiguration.forAgents();
  BOOST_TEST(AgentConfiguration.Head_.Revision_ == 4U);
  BOOST_TEST(AgentConfiguration.Head_.isOut({"hobart"}));
  BOOST_TEST(AgentConfiguration.Document_.Queues_.empty());
  // The newest change was one of the data centres.
  FullConfiguration.Head_.StartRevision_ = 9;
  BOOST_TEST(FullConfiguration.forAgents().Document_.Queues_.empty());
  FullConfiguration.Head_.StartRevision_ = 0;
  BOOST_TEST(FullConfiguration.forAgents().Document_.Queues_.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
