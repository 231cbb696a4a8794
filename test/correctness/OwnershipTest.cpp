/// \file
/// Tests which entry owns a shard after entries stop or lose the store and
/// after workers are replaced, on a virtual clock with the fake store.

#include "test/correctness/EntryFixture.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

BOOST_AUTO_TEST_SUITE(Ownership)

BOOST_AUTO_TEST_CASE(OneEntryOwnsAndBothAnswer) {
  EntryFixture Fixture;
  BOOST_REQUIRE(Fixture.owner() < EntryCount);
  const auto First = Fixture.submit(0, "a");
  const auto Second = Fixture.submit(1, "b");
  Fixture.advance(Millis{200});
  BOOST_TEST(isJobState(Fixture.replyOf(First)));
  BOOST_TEST(isJobState(Fixture.replyOf(Second)));
}

BOOST_AUTO_TEST_CASE(AStoppingOwnersShardIsAcquiredWithinASecond) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.runOn(OldOwner, [&](EntryCore &Core, EntryOutbox &Out) {
    Core.leave(Fixture.Now_, Out);
  });
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.owner() == 1 - OldOwner);
}

BOOST_AUTO_TEST_CASE(AStoppingOwnerStillAnswersThroughItsSuccessor) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.runOn(OldOwner, [&](EntryCore &Core, EntryOutbox &Out) {
    Core.leave(Fixture.Now_, Out);
  });
  const auto Token = Fixture.submit(OldOwner, "a");
  Fixture.advance(Millis{1500});
  BOOST_TEST(isJobState(Fixture.replyOf(Token)));
}

BOOST_AUTO_TEST_CASE(AnOwnerThatAloneLosesTheStoreRelinquishes) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.StoreUnreachable_[OldOwner] = true;
  const auto Token = Fixture.submit(OldOwner, "a");
  Fixture.advance(Millis{2600});
  BOOST_TEST(Fixture.owner() == 1 - OldOwner);
  BOOST_TEST(isJobState(Fixture.replyOf(Token)));
}

BOOST_AUTO_TEST_CASE(ARelinquishedShardIsAcquiredWithinHalfASecond) {
  // With each of the entries as owner, since the hash prefers one of them.
  for (std::size_t First = 0; First < EntryCount; ++First) {
    EntryFixture Fixture;
    Fixture.killEntry(1 - First);
    Fixture.advance(Millis{6000});
    Fixture.startEntry(1 - First);
    Fixture.advance(Millis{2000});
    BOOST_REQUIRE(Fixture.owner() == First);
    Fixture.StoreUnreachable_[First] = true;
    while (Fixture.owner() == First)
      Fixture.advance(Millis{50});
    Fixture.advance(Millis{500});
    BOOST_TEST(Fixture.owner() == 1 - First);
  }
}

BOOST_AUTO_TEST_CASE(ARelinquishedShardCanBeAcquiredOnceTheStoreIsBack) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.StoreUnreachable_[OldOwner] = true;
  Fixture.advance(Millis{1700});
  Fixture.StoreUnreachable_[OldOwner] = false;
  Fixture.advance(Millis{2000});
  BOOST_TEST(Fixture.owner() < EntryCount);
}

BOOST_AUTO_TEST_CASE(NoEntryRelinquishesWhileTheStoreIsDownForAll) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.StoreUnreachable_.fill(true);
  Fixture.advance(Millis{4000});
  BOOST_TEST(Fixture.owner() == OldOwner);
}

BOOST_AUTO_TEST_CASE(NoEntryRelinquishesWhenACommonOutageEndsForOthersFirst) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.StoreUnreachable_.fill(true);
  Fixture.advance(Millis{4000});
  Fixture.StoreUnreachable_[1 - OldOwner] = false;
  Fixture.advance(Millis{350});
  Fixture.StoreUnreachable_[OldOwner] = false;
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.owner() == OldOwner);
}

BOOST_AUTO_TEST_CASE(AnOwnerThatDiedInAStoreOutageIsReplacedAfterIt) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.StoreUnreachable_.fill(true);
  Fixture.advance(Millis{3000});
  Fixture.killEntry(OldOwner);
  Fixture.advance(Millis{1000});
  Fixture.StoreUnreachable_.fill(false);
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.owner() == 1 - OldOwner);
}

BOOST_AUTO_TEST_CASE(AnEntryOfMuchMoreCapacityGetsTheShardOnceItIsStable) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.killEntry(1 - OldOwner);
  Fixture.Capacities_[1 - OldOwner] = 4000;
  Fixture.startEntry(1 - OldOwner);
  Fixture.advance(Millis{2000});
  BOOST_TEST(Fixture.owner() == OldOwner);
  Fixture.advance(Millis{5000});
  BOOST_TEST(Fixture.owner() == 1 - OldOwner);
}

BOOST_AUTO_TEST_CASE(ALowCapacityEntryLeavesTheShardToARegisteredLargerOne) {
  EntryFixture Fixture;
  Fixture.killEntry(1);
  Fixture.Capacities_[1] = 4000;
  Fixture.startEntry(1);
  Fixture.advance(Millis{8000});
  BOOST_REQUIRE(Fixture.owner() == 1U);
  Fixture.killEntry(0);
  Fixture.killEntry(1);
  Fixture.startEntry(0, false);
  Fixture.startEntry(1, false);
  Fixture.advance(Millis{800});
  BOOST_TEST(Fixture.owner() == 1U);
}

BOOST_AUTO_TEST_CASE(AStoppingEntryAnswersAllWaitingCallers) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.killEntry(1 - OldOwner);
  Fixture.StoreUnreachable_[OldOwner] = true;
  Fixture.runOn(OldOwner, [&](EntryCore &Core, EntryOutbox &Out) {
    Core.leave(Fixture.Now_, Out);
  });
  // The entry ends by itself ForcedStopMargin before its process may be killed;
  // a request that arrives shortly before still gets an answer.
  Fixture.advance(Millis{10400});
  const auto Token = Fixture.submit(OldOwner, "a");
  Fixture.advance(Millis{300});
  BOOST_TEST(Fixture.replyOf(Token) != nullptr);
}

BOOST_AUTO_TEST_CASE(ADeadOwnersShardIsAcquiredAfterItsLease) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.killEntry(OldOwner);
  Fixture.advance(Millis{3500});
  BOOST_TEST(Fixture.owner() == 1 - OldOwner);
}

BOOST_AUTO_TEST_CASE(TasksOfAReplacedWorkerAreReboundAtOnce) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  BOOST_REQUIRE(Fixture.taskStatus("a") != nullptr);
  BOOST_TEST(Fixture.taskStatus("a")->Worker_ == 1U);
  // Both entries, the agent and the worker lose power at once. The former
  // owner's grants would last for long, but only the old worker could use them.
  const auto OldOwner = Fixture.owner();
  Fixture.leave();
  Fixture.killEntry(0);
  Fixture.killEntry(1);
  Fixture.startEntry(1 - OldOwner);
  Fixture.advance(Millis{4000});
  Fixture.connectAgent(2);
  Fixture.advance(Millis{2000});
  BOOST_REQUIRE(Fixture.taskStatus("a") != nullptr);
  BOOST_TEST(Fixture.taskStatus("a")->Worker_ == 2U);
  BOOST_TEST(Fixture.taskStatus("a")->Attempt_ == 2U);
}

BOOST_AUTO_TEST_CASE(AgentsLearnOfAnEntryThatStartsLater) {
  EntryFixture Fixture;
  Fixture.killEntry(1);
  Fixture.advance(Millis{4000});
  Fixture.connectAgent(1);
  Fixture.advance(Millis{500});
  BOOST_TEST(Fixture.KnownAddresses_.size() == 1U);
  Fixture.startEntry(1);
  Fixture.advance(Millis{2000});
  BOOST_TEST(Fixture.KnownAddresses_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ARepeatedSubmissionIsOneJob) {
  EntryFixture Fixture;
  Fixture.submit(0, "a");
  Fixture.advance(Millis{200});
  const auto Repeated = Fixture.submit(1, "a");
  Fixture.advance(Millis{200});
  BOOST_TEST(isJobState(Fixture.replyOf(Repeated)));
  const auto Count =
      Fixture.sendRequest(0, ReadQueue{{"portal.example", "/jobs/"}});
  Fixture.advance(Millis{200});
  const auto *Reply = Fixture.replyOf(Count);
  BOOST_REQUIRE(Reply != nullptr);
  BOOST_TEST(std::get<UnstartedJobsReply>(*Reply).Count_ == 1U);
}

// A cancellation was answered "no such job", and the job ran afterwards.
BOOST_AUTO_TEST_CASE(AJobWhoseSubmissionWaitsForTheStoreIsNotUnknown) {
  EntryFixture Fixture;
  const auto Owner = Fixture.owner();
  for (std::size_t Index = 0; Index < EntryCount; ++Index)
    Fixture.StoreUnreachable_[Index] = true;
  Fixture.submit(Owner, "a");
  Fixture.advance(Millis{500});
  const auto Cancel =
      Fixture.sendRequest(Owner, CancelInQueue{{"portal.example", "/jobs/a"}});
  Fixture.advance(Millis{500});
  const auto *Reply = Fixture.replyOf(Cancel);
  const auto *Error =
      Reply == nullptr ? nullptr : std::get_if<ErrorReply>(Reply);
  const auto IsUnknown =
      Error != nullptr && Error->Kind_ == ErrorKind::UnknownJob;
  for (std::size_t Index = 0; Index < EntryCount; ++Index)
    Fixture.StoreUnreachable_[Index] = false;
  Fixture.advance(Millis{3000});
  const auto *Task = Fixture.taskStatus("a");
  BOOST_REQUIRE(Task != nullptr);
  BOOST_TEST(!IsUnknown);
}

BOOST_AUTO_TEST_CASE(UnknownQueuesAndJobsHaveDifferentErrors) {
  EntryFixture Fixture;
  const auto NoQueue =
      Fixture.sendRequest(0, ReadQueue{{"portal.example", "/other/x"}});
  const auto NoJob =
      Fixture.sendRequest(0, ReadQueue{{"portal.example", "/jobs/x"}});
  Fixture.advance(Millis{200});
  BOOST_TEST((std::get<ErrorReply>(*Fixture.replyOf(NoQueue)).Kind_ ==
              ErrorKind::UnknownQueue));
  BOOST_TEST((std::get<ErrorReply>(*Fixture.replyOf(NoJob)).Kind_ ==
              ErrorKind::UnknownJob));
}

BOOST_AUTO_TEST_CASE(AFinishedReportOfAnEarlierAttemptFinishesAPendingTask) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  BOOST_REQUIRE(Fixture.taskStatus("a")->State_ == TaskState::Bound);
  Fixture.leave();
  Fixture.advance(Millis{8000});
  BOOST_REQUIRE(Fixture.taskStatus("a")->State_ == TaskState::Pending);
  Fixture.HeldTasks_ = {taskReport("a", 1, TaskPhase::Finished)};
  Fixture.connectAgent(1);
  Fixture.advance(Millis{100});
  Fixture.report("a", 1, TaskPhase::Finished);
  Fixture.advance(Millis{2000});
  BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Finished));
  BOOST_TEST(Fixture.taskStatus("a")->Attempt_ == 1U);
}

BOOST_AUTO_TEST_CASE(AFinishedReportOfAnEarlierAttemptStopsTheLaterOne) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  Fixture.leave();
  Fixture.connectAgent(2);
  Fixture.advance(Millis{2000});
  BOOST_REQUIRE(Fixture.taskStatus("a")->Attempt_ == 2U);
  Fixture.report("a", 1, TaskPhase::Finished);
  BOOST_TEST(!Fixture.acknowledged("a", 1));
  Fixture.advance(Millis{200});
  BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Finished));
  BOOST_REQUIRE(!Fixture.Stops_.empty());
  BOOST_TEST(Fixture.Stops_.back().Attempt_ == 2U);
  Fixture.report("a", 1, TaskPhase::Finished);
  BOOST_TEST(Fixture.acknowledged("a", 1));
}

BOOST_AUTO_TEST_CASE(AFinishReportedWhileItsTaskIsPutBackIsRecorded) {
  EntryFixture Fixture;
  Fixture.killEntry(1 - Fixture.owner());
  Fixture.advance(Millis{3000});
  const auto Owner = Fixture.owner();
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(Owner, "a");
  Fixture.advance(Millis{1000});
  BOOST_REQUIRE(Fixture.taskStatus("a")->State_ == TaskState::Bound);
  Fixture.leave();
  Fixture.advance(Millis{4400});
  // The change that puts the task back can't be committed for now.
  Fixture.StoreUnreachable_[Owner] = true;
  Fixture.advance(Millis{2500});
  Fixture.HeldTasks_ = {taskReport("a", 1, TaskPhase::Finished)};
  Fixture.connectAgent(1);
  Fixture.advance(Millis{200});
  Fixture.StoreUnreachable_[Owner] = false;
  Fixture.advance(Millis{100});
  const auto Recorded = [&] {
    return Fixture.taskStatus("a")->State_ == TaskState::Finished;
  };
  BOOST_TEST((Recorded() || !Fixture.acknowledged("a", 1)));
  Fixture.report("a", 1, TaskPhase::Finished);
  Fixture.advance(Millis{1000});
  BOOST_TEST(Recorded());
  BOOST_TEST(Fixture.taskStatus("a")->Attempt_ == 1U);
}

BOOST_AUTO_TEST_CASE(
    AnAttemptBeyondTheLedgerIsAcknowledgedByAVerifiedOwnerOnly) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  BOOST_REQUIRE(Fixture.taskStatus("a")->Attempt_ == 1U);
  // A successor of this owner may have bound attempt 2 and accepted job b.
  Fixture.StoreUnreachable_.fill(true);
  for (int Repeat = 0; Repeat < 3; ++Repeat) {
    Fixture.report("a", 2, TaskPhase::Finished);
    Fixture.report("b", 1, TaskPhase::Finished);
    Fixture.report("b", 2, TaskPhase::Running);
    Fixture.advance(Millis{300});
  }
  BOOST_TEST(!Fixture.acknowledged("a", 2));
  BOOST_TEST(!Fixture.acknowledged("b", 1));
  BOOST_TEST(Fixture.Stops_.empty());
  Fixture.StoreUnreachable_.fill(false);
  for (int Repeat = 0; Repeat < 3; ++Repeat) {
    Fixture.advance(Millis{1000});
    Fixture.report("b", 1, TaskPhase::Finished);
    Fixture.report("b", 2, TaskPhase::Running);
  }
  BOOST_TEST(Fixture.acknowledged("b", 1));
  BOOST_TEST(!Fixture.Stops_.empty());
}

BOOST_AUTO_TEST_CASE(AnAttemptThatRunsOnTheNextWorkerIsNotBoundAgain) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  BOOST_REQUIRE(Fixture.taskStatus("a")->Attempt_ == 1U);
  Fixture.leave();
  // The start command reached the worker's next incarnation.
  Fixture.HeldTasks_ = {taskReport("a", 1, TaskPhase::Running)};
  Fixture.HeldTasks_.front().NeedsBinding_ = true;
  Fixture.connectAgent(2);
  Fixture.advance(Millis{3000});
  BOOST_TEST(Fixture.taskStatus("a")->Attempt_ == 1U);
  BOOST_TEST(Fixture.Stops_.empty());
  BOOST_TEST(Fixture.Binds_.back().Worker_ == 2U);
  // Only the grants to the worker that runs it count.
  Fixture.leave();
  Fixture.advance(Millis{4500});
  BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Bound));
  Fixture.advance(Millis{2000});
  BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Pending));
}

// The owner ran a task again whose end the agent's worker didn't list yet.
BOOST_AUTO_TEST_CASE(ATaskMissingFromAListThatIsNotWholeKeepsItsAttempt) {
  for (const auto Finished : {true, false}) {
    EntryFixture Fixture;
    Fixture.connectAgent(1);
    Fixture.advance(Millis{1200});
    Fixture.submit(0, "a");
    Fixture.advance(Millis{1000});
    BOOST_REQUIRE(Fixture.taskStatus("a")->Attempt_ == 1U);
    Fixture.leave();
    Fixture.Binds_.clear();
    Fixture.MoreEnds_ = true;
    Fixture.connectAgent(1);
    Fixture.advance(Millis{10000});
    BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Bound));
    BOOST_TEST(Fixture.taskStatus("a")->Attempt_ == 1U);
    BOOST_TEST(Fixture.Binds_.empty());
    Fixture.MoreEnds_ = false;
    if (Finished)
      Fixture.HeldTasks_ = {taskReport("a", 1, TaskPhase::Finished)};
    Fixture.confirmAgain();
    Fixture.advance(Millis{1000});
    BOOST_TEST(Fixture.taskStatus("a")->Attempt_ == (Finished ? 1U : 2U));
    BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Finished) ==
               Finished);
  }
}

BOOST_AUTO_TEST_CASE(AnEarlierAttemptDoesNotHideThatTheCurrentOneIsMissing) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  Fixture.leave();
  Fixture.connectAgent(2);
  Fixture.advance(Millis{2000});
  BOOST_REQUIRE(Fixture.taskStatus("a")->Attempt_ == 2U);
  Fixture.leave();
  Fixture.HeldTasks_ = {taskReport("a", 1, TaskPhase::Failed)};
  Fixture.connectAgent(2);
  Fixture.advance(Millis{500});
  BOOST_TEST((Fixture.taskStatus("a")->Attempt_ == 3U ||
              Fixture.taskStatus("a")->State_ == TaskState::Pending));
}

BOOST_AUTO_TEST_CASE(
    NoAttemptStartsIfAFinishWasReportedWhileItsBindingIsWritten) {
  EntryFixture Fixture;
  Fixture.killEntry(1 - Fixture.owner());
  Fixture.advance(Millis{3000});
  const auto Owner = Fixture.owner();
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(Owner, "a");
  Fixture.advance(Millis{1000});
  Fixture.leave();
  Fixture.advance(Millis{8000});
  BOOST_REQUIRE(Fixture.taskStatus("a")->State_ == TaskState::Pending);
  Fixture.Binds_.clear();
  Fixture.connectAgent(1);
  Fixture.StoreUnreachable_[Owner] = true;
  Fixture.advance(Millis{1300});
  Fixture.report("a", 1, TaskPhase::Finished);
  Fixture.StoreUnreachable_[Owner] = false;
  for (int Repeat = 0; Repeat < 3; ++Repeat) {
    Fixture.advance(Millis{1000});
    Fixture.report("a", 1, TaskPhase::Finished);
  }
  BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Finished));
  BOOST_TEST(Fixture.boundAttempts() == std::vector<AttemptNumber>{},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(
    NoAttemptStartsBetweenAPutBackAndTheNextReportOfItsFinish) {
  EntryFixture Fixture;
  Fixture.killEntry(1 - Fixture.owner());
  Fixture.advance(Millis{3000});
  const auto Owner = Fixture.owner();
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(Owner, "a");
  Fixture.advance(Millis{1000});
  BOOST_REQUIRE(Fixture.taskStatus("a")->State_ == TaskState::Bound);
  Fixture.Binds_.clear();
  // The agent reports the attempt as not started, then, while the change is
  // being committed, as finished.
  Fixture.StoreUnreachable_[Owner] = true;
  Fixture.report("a", 1, TaskPhase::NotStarted);
  Fixture.advance(Millis{100});
  Fixture.report("a", 1, TaskPhase::Finished);
  Fixture.StoreUnreachable_[Owner] = false;
  Fixture.advance(Millis{1000});
  Fixture.report("a", 1, TaskPhase::Finished);
  Fixture.advance(Millis{1000});
  BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Finished));
  BOOST_TEST(Fixture.boundAttempts() == std::vector<AttemptNumber>{},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AnEndIsAcknowledgedThoughNothingIsBoundToItsAgent) {
  EntryFixture Fixture;
  Fixture.HeldTasks_ = {taskReport("gone", 1, TaskPhase::Finished)};
  Fixture.connectAgent(1);
  for (int Repeat = 0; Repeat < 10; ++Repeat) {
    Fixture.advance(Millis{1000});
    // An agent without a known owner sends no reports.
    if (Fixture.Claims_ != 0)
      Fixture.report("gone", 1, TaskPhase::Finished);
  }
  BOOST_TEST(Fixture.acknowledged("gone", 1));
}

BOOST_AUTO_TEST_CASE(TasksOfALaterWorkerAreNotLostOnceAnEarlierOneIsAnnounced) {
  EntryFixture Fixture;
  Fixture.connectAgent(2);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  BOOST_REQUIRE(Fixture.taskStatus("a")->Attempt_ == 1U);
  Fixture.leave();
  // The agent has adopted a late answer of the worker's earlier life.
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1500});
  BOOST_TEST(Fixture.taskStatus("a")->Attempt_ == 1U);
}

BOOST_AUTO_TEST_CASE(AFinishReportedWhileItsJobIsCancelledDoesNotEndTheOwner) {
  EntryFixture Fixture;
  Fixture.killEntry(1 - Fixture.owner());
  Fixture.advance(Millis{3000});
  const auto Owner = Fixture.owner();
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(Owner, "a");
  Fixture.advance(Millis{1000});
  Fixture.leave();
  Fixture.advance(Millis{8000});
  BOOST_REQUIRE(Fixture.taskStatus("a")->State_ == TaskState::Pending);
  Fixture.HeldTasks_ = {taskReport("a", 1, TaskPhase::Finished)};
  Fixture.StoreUnreachable_[Owner] = true;
  Fixture.cancel(Owner, "a");
  Fixture.connectAgent(1);
  Fixture.advance(Millis{600});
  Fixture.report("a", 1, TaskPhase::Finished);
  Fixture.StoreUnreachable_[Owner] = false;
  BOOST_CHECK_NO_THROW(Fixture.advance(Millis{1000}));
}

BOOST_AUTO_TEST_CASE(ATaskThatAListNeverShowsIsStoppedBeforeItIsBoundAgain) {
  EntryFixture Fixture;
  Fixture.runJob("a");
  Fixture.leave();
  Fixture.HeldTasks_.clear();
  Fixture.MoreEnds_ = true;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.Stops_.empty());
  Fixture.advance(Millis{2000});
  BOOST_REQUIRE(!Fixture.Stops_.empty());
  BOOST_TEST(Fixture.Binds_.empty());
  Fixture.report("a", TaskPhase::Stopped, ErrorKind::WorkerGone);
  Fixture.advance(Millis{1500});
  BOOST_TEST(Fixture.taskStatus("a")->Attempt_ == 2U);
}

BOOST_AUTO_TEST_CASE(AStopIsSentAtOnceAndRepeatedWithinTheTarget) {
  EntryFixture Fixture;
  Fixture.runJob("a");
  Fixture.cancel(Fixture.owner(), "a");
  BOOST_TEST(Fixture.Stops_.size() == 1U);
  const auto CancelledAt = Fixture.Now_.Steady_;
  Fixture.advance(Millis{4000});
  const auto InTime = std::count_if(
      Fixture.StopTimes_.begin(), Fixture.StopTimes_.end(),
      [&](TimePoint Each) { return Each <= CancelledAt + Millis{2000}; });
  BOOST_TEST(InTime >= 4);
  BOOST_TEST(Fixture.Stops_.size() <= 10U);
  Fixture.report("a", TaskPhase::Stopped, ErrorKind::Cancelled);
  Fixture.Stops_.clear();
  Fixture.advance(Millis{2000});
  BOOST_TEST(Fixture.Stops_.empty());
  BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Cancelled));
}

BOOST_AUTO_TEST_CASE(AStopIsSentWhileNothingMayBeGranted) {
  EntryFixture Fixture;
  Fixture.runJob("a");
  Fixture.cancel(Fixture.owner(), "a");
  Fixture.StoreUnreachable_ = {true, true};
  Fixture.advance(Millis{12000});
  Fixture.RunGrantTimes_.clear();
  Fixture.Stops_.clear();
  Fixture.advance(Millis{3000});
  BOOST_TEST(Fixture.RunGrantTimes_.empty());
  BOOST_TEST(Fixture.Stops_.size() >= 4U);
}

BOOST_AUTO_TEST_CASE(AStopIsSentToAnAgentThatHasNotConfirmedItsOwner) {
  EntryFixture Fixture;
  Fixture.runJob("a");
  Fixture.leave();
  Fixture.ConfirmsClaims_ = false;
  Fixture.connectAgent(1);
  Fixture.cancel(Fixture.owner(), "a");
  Fixture.advance(Millis{500});
  BOOST_TEST(!Fixture.Stops_.empty());
}

BOOST_AUTO_TEST_CASE(AnAgentThatJoinsAfterACancellationIsToldToStopAtOnce) {
  EntryFixture Fixture;
  Fixture.runJob("a");
  Fixture.leave();
  Fixture.cancel(Fixture.owner(), "a");
  Fixture.advance(Millis{300});
  Fixture.Stops_.clear();
  Fixture.connectAgent(1);
  BOOST_TEST(!Fixture.Stops_.empty());
  BOOST_TEST(Fixture.Binds_.empty());
}

BOOST_AUTO_TEST_CASE(TheNextOwnerStopsWhatADeadOneHadCancelled) {
  for (const auto Confirms : {true, false}) {
    EntryFixture Fixture;
    Fixture.runJob("a");
    const auto Owner = Fixture.owner();
    Fixture.SilentEntry_ = Owner;
    Fixture.cancel(Owner, "a");
    BOOST_TEST(Fixture.Stops_.empty());
    Fixture.ConfirmsClaims_ = Confirms;
    Fixture.killEntry(Owner);
    while (Fixture.owner() == EntryCount)
      Fixture.advance(Millis{50});
    BOOST_TEST(!Fixture.Stops_.empty());
  }
}

BOOST_AUTO_TEST_CASE(AnOwnerThatHandsOverStopsWhatWasCancelled) {
  EntryFixture Fixture;
  Fixture.runJob("a");
  const auto Owner = Fixture.owner();
  Fixture.cancel(Owner, "a");
  Fixture.Stops_.clear();
  Fixture.runOn(Owner, [&](EntryCore &Core, EntryOutbox &Out) {
    Core.leave(Fixture.Now_, Out);
  });
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.owner() != Owner);
  BOOST_TEST(Fixture.Stops_.size() >= 2U);
}

BOOST_AUTO_TEST_CASE(AnAdoptedTaskOfACancelledJobIsStoppedAndNotBound) {
  EntryFixture Fixture;
  Fixture.runJob("a");
  Fixture.leave();
  Fixture.cancel(Fixture.owner(), "a");
  Fixture.advance(Millis{300});
  Fixture.Stops_.clear();
  Fixture.HeldTasks_.front().NeedsBinding_ = true;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{3000});
  BOOST_TEST(Fixture.Binds_.empty());
  BOOST_TEST(!Fixture.Stops_.empty());
}

BOOST_AUTO_TEST_CASE(ABindingCommittedTogetherWithTheCancellationIsNotSent) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  const auto Owner = Fixture.owner();
  const auto Submit = Fixture.submit(Owner, "a");
  BOOST_REQUIRE(isJobState(Fixture.replyOf(Submit)));
  BOOST_REQUIRE(Fixture.Binds_.size() <= 1U);
  // The task's next binding waits for the store, and so does the cancellation.
  Fixture.report("a", TaskPhase::Failed, ErrorKind::TaskFailed);
  Fixture.Binds_.clear();
  Fixture.StoreUnreachable_[Owner] = true;
  Fixture.advance(Millis{400});
  Fixture.cancel(Owner, "a");
  Fixture.StoreUnreachable_[Owner] = false;
  Fixture.advance(Millis{2000});
  BOOST_TEST(Fixture.Binds_.empty());
}

BOOST_AUTO_TEST_CASE(ARunOfARemovedAgentIsStoppedThroughItsSuccessor) {
  EntryFixture Fixture;
  Fixture.runJob("a");
  Fixture.leave();
  Fixture.cancel(Fixture.owner(), "a");
  Fixture.advance(Millis{300});
  Fixture.Stops_.clear();
  Fixture.AgentName_ = "successor";
  Fixture.HeldTasks_.front().NeedsBinding_ = true;
  Fixture.connectAgent(1);
  BOOST_TEST(!Fixture.Stops_.empty());
  BOOST_TEST(Fixture.Binds_.empty());
}

BOOST_AUTO_TEST_CASE(TheOtherTasksOfAFailedJobAreStoppedWithTheCommit) {
  EntryFixture Fixture;
  Fixture.FailureLimit_ = 1;
  Fixture.ChangesConfiguration_ = true;
  Fixture.advance(Millis{100});
  Fixture.ChangesConfiguration_ = false;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{2200});
  SubmitToQueue Request;
  Request.Address_ = {"portal.example", "/jobs/a"};
  Request.Declaration_.Steps_.front().TaskCount_ = 2;
  Request.Declaration_.Steps_.front().Resources_ = {1000, 1000, 0};
  Fixture.sendRequest(Fixture.owner(), Request);
  Fixture.advance(Millis{1000});
  BOOST_REQUIRE(Fixture.Binds_.size() == 2U);
  Fixture.report("a", 1, TaskPhase::Failed);
  BOOST_REQUIRE(Fixture.Stops_.size() == 1U);
  BOOST_TEST(Fixture.Stops_.front().Task_.Index_ == 1U);
}

BOOST_AUTO_TEST_CASE(ARunThatTheLedgerDoesNotHaveIsStoppedOnceVerified) {
  EntryFixture Fixture;
  Fixture.HeldTasks_ = {taskReport("unknown", 3, TaskPhase::Running)};
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1500});
  BOOST_REQUIRE(!Fixture.Stops_.empty());
  BOOST_TEST(Fixture.Stops_.front().Attempt_ == 3U);
}

BOOST_AUTO_TEST_CASE(NoTaskIsBoundToAWorkerWhoseCapacityHasShrunk) {
  EntryFixture Fixture;
  Fixture.connectAgent(7);
  Fixture.advance(Millis{2000});
  Fixture.Capacity_ = Resources{500, 8000, 0};
  Fixture.advance(Millis{600});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.Binds_.empty());
}

BOOST_AUTO_TEST_CASE(TasksAreBoundToAWorkerWhoseCapacityHasGrown) {
  EntryFixture Fixture;
  Fixture.connectAgent(7);
  Fixture.advance(Millis{2000});
  for (const auto *Job : {"a", "b", "c", "d", "e", "f"})
    Fixture.submit(0, Job);
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.Binds_.size() == 4U);
  Fixture.Capacity_ = Resources{6000, 8000, 0};
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.Binds_.size() == 6U);
}

BOOST_AUTO_TEST_CASE(AJobWaitsUntilAnAttemptHasBegun) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  BOOST_REQUIRE(Fixture.taskStatus("a")->Attempt_ == 1U);
  for (const auto Phase :
       {TaskPhase::Queued, TaskPhase::Starting, TaskPhase::NotStarted}) {
    Fixture.report("a", 1, Phase);
    BOOST_TEST(Fixture.unstartedJobs() == 1U);
  }
  Fixture.advance(Millis{1000});
  BOOST_REQUIRE(Fixture.taskStatus("a")->Attempt_ == 2U);
  BOOST_TEST(Fixture.unstartedJobs() == 1U);
  Fixture.report("a", 2, TaskPhase::Running);
  BOOST_TEST(Fixture.unstartedJobs() == 0U);
}

BOOST_AUTO_TEST_CASE(ANewOwnerKnowsWhichJobsHaveBegun) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  for (const auto *Job : {"evicted", "running", "waiting"})
    Fixture.submit(0, Job);
  Fixture.advance(Millis{1000});
  Fixture.report("evicted", 1, TaskPhase::Running);
  Fixture.report("evicted", 1, TaskPhase::Stopped);
  Fixture.report("running", 1, TaskPhase::Running);
  Fixture.advance(Millis{200});
  BOOST_TEST(Fixture.unstartedJobs() == 1U);
  Fixture.HeldTasks_ = {taskReport("running", 1, TaskPhase::Running)};
  Fixture.killEntry(Fixture.owner());
  Fixture.advance(Millis{5000});
  BOOST_REQUIRE(Fixture.owner() < EntryCount);
  BOOST_TEST(Fixture.unstartedJobs() == 1U);
}

BOOST_AUTO_TEST_CASE(ATaskThatCrashesEachWorkerIsGivenUp) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  for (Incarnation Worker = 1; Fixture.isBoundTo("a", Worker);) {
    BOOST_REQUIRE(Worker <= 3U);
    Fixture.report("a", TaskPhase::Running);
    Fixture.leave();
    Fixture.advance(Millis{3000});
    Fixture.connectAgent(++Worker);
    Fixture.advance(Millis{2000});
  }
  BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Failed));
}

BOOST_AUTO_TEST_CASE(AnInnocentTaskOnCrashingWorkersGoesOn) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "long");
  Fixture.advance(Millis{1000});
  Fixture.report("long", TaskPhase::Running);
  Fixture.advance(Millis{3000});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  Incarnation Worker = 1;
  while (Fixture.isBoundTo("a", Worker)) {
    BOOST_REQUIRE(Worker <= 3U);
    BOOST_TEST(Fixture.isBoundTo("long", Worker));
    Fixture.report("long", TaskPhase::Running);
    Fixture.report("a", TaskPhase::Running);
    Fixture.leave();
    Fixture.advance(Millis{3000});
    Fixture.connectAgent(++Worker);
    Fixture.advance(Millis{2000});
  }
  BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Failed));
  BOOST_TEST(Fixture.isBoundTo("long", Worker));
}

BOOST_AUTO_TEST_CASE(NothingElseStartsBesideATrial) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  Fixture.report("a", TaskPhase::Running);
  Fixture.leave();
  Fixture.connectAgent(2);
  Fixture.advance(Millis{1200});
  BOOST_REQUIRE(Fixture.isBoundTo("a", 2));
  Fixture.submit(0, "b");
  Fixture.advance(Millis{400});
  BOOST_TEST(!Fixture.isBoundTo("b", 2));
  Fixture.report("a", TaskPhase::Running);
  Fixture.advance(Millis{700});
  BOOST_TEST(Fixture.isBoundTo("b", 2));
}

BOOST_AUTO_TEST_CASE(CrashesAreCountedAcrossATakeover) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  Incarnation Worker = 1;
  while (Fixture.isBoundTo("a", Worker)) {
    BOOST_REQUIRE(Worker <= 5U);
    Fixture.report("a", TaskPhase::Running);
    Fixture.leave();
    const auto OldOwner = Fixture.owner();
    Fixture.killEntry(OldOwner);
    Fixture.advance(Millis{5000});
    Fixture.startEntry(OldOwner);
    Fixture.connectAgent(++Worker);
    Fixture.advance(Millis{3000});
  }
  BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Failed));
}

BOOST_AUTO_TEST_CASE(AWorkerThatWasOnlySilentHasNotCrashed) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  for (int Silences = 0; Silences < 8; ++Silences) {
    Fixture.advance(Millis{1500});
    BOOST_REQUIRE(Fixture.isBoundTo("a", 1));
    Fixture.report("a", TaskPhase::Running);
    Fixture.report("a", TaskPhase::Stopped, ErrorKind::WorkerGone);
  }
  Fixture.advance(Millis{1500});
  BOOST_TEST(Fixture.taskStatus("a")->Crashes_.Blame_ == 0U);
  // A later crash doesn't turn the silences before it into crashes.
  Fixture.leave();
  Fixture.connectAgent(2);
  Fixture.advance(Millis{2000});
  BOOST_TEST(Fixture.isBoundTo("a", 2));
}

BOOST_AUTO_TEST_CASE(ACrashThatIsProvedAfterASilentLossCountsOnce) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  Fixture.report("a", TaskPhase::Running);
  Fixture.report("a", TaskPhase::Stopped, ErrorKind::WorkerGone);
  Fixture.leave();
  Fixture.advance(Millis{3000});
  BOOST_TEST(Fixture.taskStatus("a")->Crashes_.Blame_ == 0U);
  Fixture.connectAgent(2);
  Fixture.advance(Millis{2000});
  BOOST_TEST(Fixture.isBoundTo("a", 2));
  BOOST_TEST(Fixture.taskStatus("a")->Crashes_.Blame_ == Blame::Sole);
  Fixture.report("a", TaskPhase::Running);
  Fixture.report("a", TaskPhase::Stopped, ErrorKind::WorkerGone);
  Fixture.leave();
  Fixture.connectAgent(3);
  Fixture.advance(Millis{2000});
  BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Failed));
}

BOOST_AUTO_TEST_CASE(ATaskThatWasSeenRunningInOneCrashOnlyIsNotGivenUp) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  Fixture.report("a", TaskPhase::Running);
  for (Incarnation Worker = 2; Worker <= 5; ++Worker) {
    Fixture.leave();
    Fixture.connectAgent(Worker);
    Fixture.advance(Millis{2500});
    BOOST_TEST(Fixture.isBoundTo("a", Worker));
  }
}

BOOST_AUTO_TEST_CASE(RunGrantsContinueWhileTheConfigurationKeepsChanging) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  Fixture.report("a", TaskPhase::Running);
  Fixture.ChangesConfiguration_ = true;
  Fixture.RunGrantTimes_ = {Fixture.Now_.Steady_};
  Fixture.advance(Millis{20000});
  Fixture.RunGrantTimes_.push_back(Fixture.Now_.Steady_);
  auto Earlier = Fixture.RunGrantTimes_.front();
  for (const auto Granted : Fixture.RunGrantTimes_) {
    BOOST_TEST((Granted - Earlier <= Millis{1000}));
    Earlier = Granted;
  }
}

BOOST_AUTO_TEST_CASE(JobsAreBoundWhileTheConfigurationKeepsChanging) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.ChangesConfiguration_ = true;
  Fixture.advance(Millis{5000});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.isBoundTo("a", 1));
}

BOOST_AUTO_TEST_SUITE_END()
