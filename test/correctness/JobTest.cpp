/// \file
/// Tests jobs of several steps: positions, readiness, states and their ends.

#include "core/Document.h"
#include "core/ShardState.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// Two tasks, then three that wait for them; twice, ten seconds apart.
auto twoSteps() -> Job {
  Job Each;
  Each.Id_ = {"0123456789abcdef"};
  auto &Declared = Each.Declaration_;
  Declared.Steps_.resize(2);
  Declared.Steps_[0].TaskCount_ = 2;
  Declared.Steps_[0].RunTime_ = Millis{400};
  Declared.Steps_[1].TaskCount_ = 3;
  Declared.Steps_[1].RunTime_ = Millis{600};
  Declared.Steps_[1].Dependencies_ = {0};
  Declared.Occurrences_ = 2;
  Declared.FirstAt_ = WallTime{Seconds{100}};
  Declared.Interval_ = Seconds{10};
  Each.Tasks_.resize(Declared.taskCount());
  return Each;
}

auto changeTo(const TaskId &Task, TaskState State, AttemptNumber Attempt)
    -> LedgerRecord {
  TaskChanged Change;
  Change.Task_ = Task;
  Change.State_ = State;
  Change.Attempt_ = Attempt;
  return Change;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Jobs)

BOOST_AUTO_TEST_CASE(PositionsAndNamesAgree) {
  const auto Each = twoSteps();
  for (std::size_t Position = 0; Position < Each.Tasks_.size(); ++Position)
    BOOST_TEST(Each.positionOf(Each.taskAt(Position)) == Position);
  BOOST_TEST(Each.positionOf({Each.Id_, 3, 1, 0}) == Each.Tasks_.size());
  BOOST_TEST(Each.positionOf({Each.Id_, 0, 2, 0}) == Each.Tasks_.size());
}

BOOST_AUTO_TEST_CASE(AStepWaitsForTheOneBeforeIt) {
  auto Each = twoSteps();
  const TaskId Later{Each.Id_, 0, 1, 0};
  BOOST_TEST(!Each.isReady(Later));
  Each.Tasks_[0].State_ = TaskState::Finished;
  BOOST_TEST(!Each.isReady(Later));
  Each.Tasks_[1].State_ = TaskState::Finished;
  BOOST_TEST(Each.isReady(Later));
  BOOST_TEST(!Each.isReady({Each.Id_, 0, 1, 1}));
}

BOOST_AUTO_TEST_CASE(OccurrencesAreDueInTurn) {
  const auto Each = twoSteps();
  BOOST_TEST((Each.scheduledAt({Each.Id_, 0, 0, 1}) == WallTime{Seconds{110}}));
}

BOOST_AUTO_TEST_CASE(TheLongestChainCounts) {
  const auto Each = twoSteps();
  BOOST_TEST((Each.Declaration_.criticalPath() == Millis{1000}));
  BOOST_TEST((Each.Declaration_.criticalPathFrom(1) == Millis{600}));
}

BOOST_AUTO_TEST_CASE(CompletedOnlyWhenAllHaveFinished) {
  auto Each = twoSteps();
  BOOST_TEST((jobState(Each) == JobState::Queued));
  for (auto &Task : Each.Tasks_) {
    Task.State_ = TaskState::Finished;
    Task.Attempt_ = 1;
  }
  BOOST_TEST((jobState(Each) == JobState::Completed));
  Each.Tasks_.back().State_ = TaskState::Bound;
  BOOST_TEST((jobState(Each) == JobState::Running));
}

BOOST_AUTO_TEST_CASE(AFailedTaskClosesItsJob) {
  ShardState State;
  State.apply(LedgerRecord{JobAdded{twoSteps()}});
  const JobId Id{"0123456789abcdef"};
  State.apply(changeTo({Id, 0}, TaskState::Bound, 1));
  State.apply(changeTo({Id, 1}, TaskState::Bound, 1));
  State.apply(changeTo({Id, 0}, TaskState::Failed, 1));
  const auto *Each = State.findJob(Id);
  BOOST_TEST((jobState(*Each) == JobState::Failed));
  BOOST_TEST((State.findTask({Id, 0, 1, 0})->State_ == TaskState::Cancelled));
  BOOST_TEST((State.findTask({Id, 1})->State_ == TaskState::Bound));
  // What still ran and comes back is not run again.
  State.apply(changeTo({Id, 1}, TaskState::Pending, 1));
  BOOST_TEST((State.findTask({Id, 1})->State_ == TaskState::Cancelled));
}

BOOST_AUTO_TEST_CASE(TheLongestPrefixFindsTheQueue) {
  Document Wanted;
  QueueDeclaration Wide;
  Wide.Name_ = {"wide"};
  Wide.Host_ = "a.example";
  Wide.PathPrefix_ = "/x/";
  auto Narrow = Wide;
  Narrow.Name_ = {"narrow"};
  Narrow.PathPrefix_ = "/x/y/";
  Wanted.Queues_ = {Wide, Narrow};
  BOOST_TEST(Wanted.findQueue("a.example", "/x/1")->Name_.Value_ == "wide");
  BOOST_TEST(Wanted.findQueue("a.example", "/x/y/1")->Name_.Value_ == "narrow");
  BOOST_TEST(Wanted.findQueue("b.example", "/x/1") == nullptr);
  BOOST_TEST(Wanted.findQueue("a.example", "/z/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(AgentsGetWhatTheyNeedAndNoMore) {
  Configuration Whole;
  Whole.Head_.Revision_ = 9;
  Whole.Head_.StartRevision_ = 4;
  Whole.Head_.Out_ = {{"hobart"}};
  Whole.Document_.Text_ = "long";
  Whole.Document_.Queues_.resize(3);
  const auto Sent = Whole.forAgents();
  BOOST_TEST(Sent.Head_.Revision_ == 4U);
  BOOST_TEST(Sent.Head_.isOut({"hobart"}));
  BOOST_TEST(Sent.Document_.Queues_.empty());
  Whole.Head_.StartRevision_ = 0;
  BOOST_TEST(Whole.forAgents().Document_.Queues_.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
