/// \file
/// Tests what callers who cancel jobs are told, and that no cancelled job runs,
/// on a virtual clock with the fake store.

#include "core/CancelledIds.h"
#include "test/correctness/EntryFixture.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// An owner that was paused until the other entry had acquired its shard.
struct PausedOwnerFixture : EntryFixture {
  PausedOwnerFixture() : Old_(owner()), New_(1 - Old_) {
    Paused_[Old_] = true;
    advance(Millis{6000});
    BOOST_REQUIRE(Entries_[New_]->ownedShards() == 1U);
    BOOST_REQUIRE(Entries_[Old_]->ownedShards() == 1U);
  }

  auto resume() -> void { Paused_[Old_] = false; }

  std::size_t Old_;
  std::size_t New_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Cancellation)

// A repeated submission that arrived after the answer "no such job" ran.
BOOST_AUTO_TEST_CASE(ASubmissionThatArrivesAfterItsCancellationNeverRuns) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  const auto Cancel = Fixture.cancel(0, "a");
  Fixture.advance(Millis{200});
  BOOST_TEST((Fixture.errorOf(Cancel) == ErrorKind::UnknownJob));
  Fixture.advance(Millis{8000});
  const auto Submission = Fixture.submit(1, "a");
  Fixture.advance(Millis{3000});
  BOOST_TEST(Fixture.toldState(Submission, JobState::Cancelled));
  BOOST_TEST(Fixture.Binds_.empty());
  BOOST_TEST(Fixture.unstartedJobs() == 0U);
}

BOOST_AUTO_TEST_CASE(TheNextOwnerKnowsWhichUnknownJobsWereCancelled) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.cancel(0, "a");
  Fixture.advance(Millis{200});
  Fixture.killEntry(Fixture.owner());
  Fixture.advance(Millis{6000});
  BOOST_REQUIRE(Fixture.owner() < EntryCount);
  const auto Submission = Fixture.submit(Fixture.owner(), "a");
  Fixture.advance(Millis{3000});
  BOOST_TEST(Fixture.toldState(Submission, JobState::Cancelled));
  BOOST_TEST(Fixture.Binds_.empty());
}

// The submission was told "outcome unknown", the cancellation "no such job".
BOOST_AUTO_TEST_CASE(ASubmissionOfUnknownOutcomeIsCancelled) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  const auto Owner = Fixture.owner();
  Fixture.StoreUnreachable_.fill(true);
  const auto Submission = Fixture.submit(Owner, "a");
  Fixture.advance(Millis{5500});
  BOOST_TEST((Fixture.errorOf(Submission) == ErrorKind::OutcomeUnknown));
  const auto Cancel = Fixture.cancel(Owner, "a");
  Fixture.advance(Millis{500});
  Fixture.StoreUnreachable_.fill(false);
  Fixture.advance(Millis{3000});
  BOOST_TEST(Fixture.toldState(Cancel, JobState::Cancelled));
  BOOST_TEST(Fixture.Binds_.empty());
}

BOOST_AUTO_TEST_CASE(AFormerOwnerDoesNotDenyAJobThatIsCancelled) {
  PausedOwnerFixture Fixture;
  Fixture.submit(Fixture.New_, "a");
  Fixture.advance(Millis{200});
  Fixture.resume();
  const auto Cancel = Fixture.cancel(Fixture.Old_, "a");
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.toldState(Cancel, JobState::Cancelled));
}

// A query was answered "no such job" by an entry that had lost the shard.
BOOST_AUTO_TEST_CASE(AFormerOwnerDoesNotDenyAJobThatIsQueried) {
  PausedOwnerFixture Fixture;
  Fixture.submit(Fixture.New_, "a");
  Fixture.advance(Millis{200});
  Fixture.resume();
  const auto Query = Fixture.query(Fixture.Old_, "a");
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.toldState(Query, JobState::Queued));
}

BOOST_AUTO_TEST_CASE(AnOwnerThatCannotReachTheStoreDoesNotDenyJobs) {
  EntryFixture Fixture;
  const auto Owner = Fixture.owner();
  Fixture.StoreUnreachable_.fill(true);
  const auto First = Fixture.query(Owner, "a");
  const auto Second = Fixture.query(Owner, "b");
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.replyOf(First) == nullptr);
  Fixture.advance(Millis{2500});
  for (const auto Query : {First, Second}) {
    BOOST_REQUIRE(Fixture.replyOf(Query) != nullptr);
    BOOST_TEST((Fixture.errorOf(Query) == ErrorKind::StoreUnavailable));
  }
}

BOOST_AUTO_TEST_CASE(AQueryWaitsForTheSubmissionOfItsJob) {
  EntryFixture Fixture;
  const auto Owner = Fixture.owner();
  Fixture.StoreUnreachable_.fill(true);
  Fixture.submit(Owner, "a");
  Fixture.advance(Millis{500});
  const auto Query = Fixture.query(Owner, "a");
  Fixture.advance(Millis{500});
  Fixture.StoreUnreachable_.fill(false);
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.toldState(Query, JobState::Queued));
}

BOOST_AUTO_TEST_CASE(AllCancellationsOfAnUnknownJobAreAnswered) {
  EntryFixture Fixture;
  const auto Owner = Fixture.owner();
  Fixture.StoreUnreachable_.fill(true);
  const auto First = Fixture.cancel(Owner, "a");
  Fixture.advance(Millis{300});
  const auto Second = Fixture.cancel(Owner, "a");
  Fixture.advance(Millis{300});
  const auto Submission = Fixture.submit(Owner, "a");
  Fixture.StoreUnreachable_.fill(false);
  Fixture.advance(Millis{1500});
  for (const auto Cancel : {First, Second})
    BOOST_TEST((Fixture.errorOf(Cancel) == ErrorKind::UnknownJob ||
                Fixture.toldState(Cancel, JobState::Cancelled)));
  BOOST_TEST(Fixture.toldState(Submission, JobState::Cancelled));
  const auto Third = Fixture.cancel(Owner, "a");
  Fixture.advance(Millis{200});
  BOOST_TEST(Fixture.toldState(Third, JobState::Cancelled));
}

// A cancellation that had waited for the store was dropped.
BOOST_AUTO_TEST_CASE(ACancellationIsCarriedOutThoughItsCallerHasGoneAway) {
  EntryFixture Fixture;
  const auto Owner = Fixture.owner();
  Fixture.submit(Owner, "a");
  Fixture.advance(Millis{500});
  Fixture.StoreUnreachable_.fill(true);
  // Its record is being written while that of the cancellation is queued.
  Fixture.submit(Owner, "b");
  Fixture.advance(Millis{100});
  const auto Cancel = Fixture.cancel(Owner, "a");
  Fixture.advance(Millis{5500});
  BOOST_TEST((Fixture.errorOf(Cancel) == ErrorKind::OutcomeUnknown));
  Fixture.StoreUnreachable_.fill(false);
  Fixture.advance(Millis{2000});
  const auto Query = Fixture.query(Fixture.owner(), "a");
  Fixture.advance(Millis{200});
  BOOST_TEST(Fixture.toldState(Query, JobState::Cancelled));
}

BOOST_AUTO_TEST_CASE(ACompletedJobThatIsCancelledIsNotUnknown) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  Fixture.report("a", TaskPhase::Finished);
  Fixture.advance(Millis{200});
  const auto Cancel = Fixture.cancel(0, "a");
  Fixture.advance(Millis{200});
  BOOST_TEST(isJobState(Fixture.replyOf(Cancel)));
}

BOOST_AUTO_TEST_CASE(TheOwnerLogsWhatItKnewOfAnUnknownJob) {
  EntryFixture Fixture;
  const auto Owner = Fixture.owner();
  Fixture.advance(Millis{12000});
  Fixture.cancel(Owner, "a");
  Fixture.advance(Millis{200});
  const auto Found =
      std::find_if(Fixture.Log_.begin(), Fixture.Log_.end(), [](auto &Each) {
        return Each.Event_ == "cancelled-unknown";
      });
  BOOST_REQUIRE(Found != Fixture.Log_.end());
  BOOST_TEST(Found->Subject_ == "a");
  BOOST_TEST(Found->Detail_.find("submission not queued") != std::string::npos);
  BOOST_TEST(Found->Detail_.find("verified") != std::string::npos);
  BOOST_TEST(Fixture.Entries_[Owner]->counters().UnknownJobsCancelled_ == 1U);
}

// A former owner counted the jobs of its time.
BOOST_AUTO_TEST_CASE(AFormerOwnerDoesNotCountJobs) {
  PausedOwnerFixture Fixture;
  Fixture.submit(Fixture.New_, "a");
  Fixture.advance(Millis{200});
  Fixture.resume();
  const auto Count = Fixture.sendRequest(
      Fixture.Old_, ReadQueue{{"portal.example", "/jobs/"}});
  Fixture.advance(Millis{1000});
  const auto *Reply = Fixture.replyOf(Count);
  BOOST_REQUIRE(Reply != nullptr);
  BOOST_TEST(std::get<UnstartedJobsReply>(*Reply).Count_ == 1U);
}

// A cancellation that found no owner in time was forgotten, and the job ran.
BOOST_AUTO_TEST_CASE(ACancellationThatFoundNoOwnerIsCarriedOutLater) {
  EntryFixture Fixture;
  const auto Owner = Fixture.owner();
  Fixture.submit(Owner, "a");
  Fixture.advance(Millis{200});
  Fixture.killEntry(Owner);
  Fixture.advance(Millis{50});
  const auto Cancel = Fixture.cancel(1 - Owner, "a");
  Fixture.StoreUnreachable_.fill(true);
  Fixture.advance(Millis{4000});
  BOOST_TEST((Fixture.errorOf(Cancel) == ErrorKind::OutcomeUnknown));
  Fixture.StoreUnreachable_.fill(false);
  Fixture.advance(Millis{10000});
  BOOST_REQUIRE(Fixture.owner() < EntryCount);
  const auto Query = Fixture.query(Fixture.owner(), "a");
  Fixture.advance(Millis{200});
  BOOST_TEST(Fixture.toldState(Query, JobState::Cancelled));
}

BOOST_AUTO_TEST_CASE(CancelledIdsArePartOfASnapshot) {
  Job Added;
  Added.Id_ = {"a"};
  Added.Declaration_.Queue_ = {"queue"};
  Added.Tasks_.resize(1);
  ShardState State;
  State.apply(LedgerRecord{JobCancelled{Added.Id_, {}}});
  ShardState Restored;
  for (const auto &Record : State.snapshot(1000))
    Restored.apply(Record);
  Restored.apply(LedgerRecord{JobAdded{Added}});
  BOOST_TEST(Restored.cancelledIds().count(Added.Id_) == 1U);
  ShardState Again;
  for (const auto &Record : Restored.snapshot(1000))
    Again.apply(Record);
  BOOST_TEST(Again.cancelledIds().count(Added.Id_) == 1U);
  Restored.apply(LedgerRecord{JobCancelled{Added.Id_, {}}});
  BOOST_TEST(Restored.findJob(Added.Id_)->Cancelled_);
  BOOST_TEST(
      (Restored.findTask({Added.Id_, 0})->State_ == TaskState::Cancelled));
  BOOST_TEST(Restored.countUnstarted({"queue"}) == 0U);
  BOOST_TEST(Restored.cancelledIds().empty());
  // The job is removed, or its id expires before it is submitted.
  for (auto *Each : {&State, &Restored}) {
    Each->apply(LedgerRecord{JobRemoved{Added.Id_}});
    Each->apply(LedgerRecord{JobAdded{Added}});
    BOOST_TEST(!Each->findJob(Added.Id_)->Cancelled_);
    BOOST_TEST(Each->countUnstarted({"queue"}) == 1U);
  }
}

// An owner of an earlier version ignores the cancellation of an unknown job.
BOOST_AUTO_TEST_CASE(ALedgerThatAnEarlierVersionContinuedIsRead) {
  Job Added;
  Added.Id_ = {"a"};
  Added.Tasks_.resize(1);
  ShardState State;
  State.apply(LedgerRecord{JobCancelled{Added.Id_, {}}});
  State.apply(LedgerRecord{JobAdded{Added}});
  TaskChanged Change;
  Change.Task_ = {Added.Id_, 0};
  Change.State_ = TaskState::Bound;
  Change.Attempt_ = 1;
  State.apply(LedgerRecord{Change});
  Change.State_ = TaskState::Finished;
  State.apply(LedgerRecord{Change});
  BOOST_TEST((State.findTask({Added.Id_, 0})->State_ == TaskState::Finished));
  BOOST_TEST(State.cancelledIds().count(Added.Id_) == 1U);
}

BOOST_AUTO_TEST_CASE(ACancelledIdIsKeptForMinutes) {
  EntryFixture Fixture;
  const auto Cancel = Fixture.cancel(0, "a");
  Fixture.advance(Seconds{240});
  BOOST_TEST((Fixture.errorOf(Cancel) == ErrorKind::UnknownJob));
  const auto &State = *Fixture.Entries_[Fixture.owner()]->shardState(0);
  BOOST_TEST(State.cancelledIds().count({"a"}) == 1U);
  Fixture.advance(Seconds{180});
  BOOST_TEST(State.cancelledIds().empty());
  const auto Submission = Fixture.submit(0, "a");
  Fixture.advance(Millis{200});
  BOOST_TEST(Fixture.toldState(Submission, JobState::Queued));
}

BOOST_AUTO_TEST_CASE(ARepeatedCancellationKeepsItsIdForTheFullTime) {
  const TimePoint Start{Seconds{100}};
  CancelledIds Ids;
  Ids.add(Start, {"a"});
  Ids.add(Start, {"b"});
  BOOST_TEST(Ids.expired(Start + Seconds{240}).empty());
  Ids.add(Start + Seconds{240}, {"a"});
  const auto Expired = Ids.expired(Start + Seconds{360});
  BOOST_REQUIRE(Expired.size() == 1U);
  BOOST_TEST(Expired.front().Value_ == "b");
  BOOST_TEST(Ids.expired(Start + Seconds{600}).size() == 2U);
}

BOOST_AUTO_TEST_CASE(CancelledIdsAreLimitedInNumberAndSize) {
  for (const auto &Suffix : {std::string(), std::string(8000, 'x')}) {
    CancelledIds Ids;
    std::size_t Added = 0;
    for (; !Ids.isFull() && Added < 100000; ++Added)
      Ids.add({}, {std::to_string(Added) + Suffix});
    BOOST_TEST(Added <= (Suffix.empty() ? 10000U : 100U));
    BOOST_TEST(Added >= 50U);
    Ids.remove({std::to_string(0) + Suffix});
    BOOST_TEST(!Ids.isFull());
  }
}

BOOST_AUTO_TEST_CASE(CancellationsBeyondTheLimitAreRefusedAndCounted) {
  EntryFixture Fixture;
  const auto Owner = Fixture.owner();
  Fixture.submit(Owner, "known");
  Fixture.advance(Millis{200});
  const std::string Suffix(8000, 'x');
  CallerToken Last = 0;
  for (int Number = 0; Number < 100; ++Number) {
    Last = Fixture.cancel(Owner, std::to_string(Number) + Suffix);
    Fixture.advance(Millis{50});
  }
  BOOST_TEST((Fixture.errorOf(Last) == ErrorKind::QueueFull));
  const auto &Refusals = Fixture.Entries_[Owner]->counters().Refusals_;
  BOOST_TEST(Refusals[static_cast<std::size_t>(ErrorKind::QueueFull)] > 0U);
  const auto Known = Fixture.cancel(Owner, "known");
  Fixture.advance(Millis{200});
  BOOST_TEST(Fixture.toldState(Known, JobState::Cancelled));
}

// Counts were refused for as long as the store was down.
BOOST_AUTO_TEST_CASE(AnOwnerThatCannotReachTheStoreStillCountsItsJobs) {
  EntryFixture Fixture;
  const auto Owner = Fixture.owner();
  Fixture.submit(Owner, "a");
  Fixture.advance(Millis{200});
  Fixture.StoreUnreachable_.fill(true);
  Fixture.advance(Millis{3000});
  const auto Count =
      Fixture.sendRequest(Owner, ReadQueue{{"portal.example", "/jobs/"}});
  Fixture.advance(Millis{600});
  const auto *Reply = Fixture.replyOf(Count);
  BOOST_REQUIRE(Reply != nullptr);
  BOOST_REQUIRE(std::holds_alternative<UnstartedJobsReply>(*Reply));
  BOOST_TEST(std::get<UnstartedJobsReply>(*Reply).Count_ == 1U);
}

// A repeated submission was answered 503, "never runs", and its job ran.
BOOST_AUTO_TEST_CASE(ASubmissionIsNotDeniedWhileAnEarlierCopyIsWritten) {
  EntryFixture Fixture;
  const auto Owner = Fixture.owner();
  Fixture.StoreUnreachable_.fill(true);
  const auto First = Fixture.submit(Owner, "a");
  Fixture.advance(Millis{5500});
  const auto Second = Fixture.submit(Owner, "a");
  Fixture.advance(Millis{5500});
  Fixture.StoreUnreachable_.fill(false);
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.taskStatus("a") != nullptr);
  for (const auto Submission : {First, Second})
    BOOST_TEST((Fixture.errorOf(Submission) == ErrorKind::OutcomeUnknown));
}

BOOST_AUTO_TEST_SUITE_END()
