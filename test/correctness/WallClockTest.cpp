/// \file
/// Tests what an entry does while its time of day is wrong, at start or from
/// some moment on.

#include "core/WallClockWatch.h"
#include "test/correctness/EntryFixture.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

constexpr Seconds Hour{3600};

auto countLines(const std::vector<LogDecision> &Log, std::string_view Event)
    -> std::ptrdiff_t {
  return std::count_if(Log.begin(), Log.end(), [&](const LogDecision &Each) {
    return Each.Event_ == Event;
  });
}

/// Entries whose agent has run the job to its end.
class EndedJobFixture : public EntryFixture {
public:
  EndedJobFixture() {
    runJob("job");
    report("job", TaskPhase::Finished);
    HeldTasks_ = {};
    advance(Millis{500});
  }
  /// Whether both entries tell a caller that the job has completed.
  auto isKnown() -> bool {
    for (std::size_t Index = 0; Index < EntryCount; ++Index) {
      const auto Token = query(Index, "job");
      advance(Millis{500});
      if (Entries_[Index] && !toldState(Token, JobState::Completed))
        return false;
    }
    return true;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(WallClock)

BOOST_AUTO_TEST_CASE(MoveOfTheWallClockIsReportedOnceAndSuspensionIsNone) {
  WallClockWatch Watch;
  Moment Now{TimePoint(Seconds{100}), WallTime(Seconds{1000})};
  BOOST_TEST(!Watch.update(Now).has_value());
  Now = Now.after(25 * Hour);
  BOOST_TEST(!Watch.update(Now).has_value());
  Now.Wall_ -= 25 * Hour;
  BOOST_TEST((Watch.update(Now) == Millis(-25 * Hour)));
  BOOST_TEST(!Watch.update(Now).has_value());
}

BOOST_AUTO_TEST_CASE(WallClockThatKeepsMovingIsReportedOnceAMinute) {
  WallClockWatch Watch;
  Moment Now{TimePoint(Seconds{100}), WallTime(Seconds{1000})};
  Watch.update(Now);
  int Reports = 0;
  Millis Sum{0};
  for (int Step = 0; Step < 1200; ++Step) {
    Now = Now.after(Millis{50});
    Now.Wall_ += Millis{1500};
    if (const auto Move = Watch.update(Now)) {
      ++Reports;
      Sum += *Move;
    }
  }
  BOOST_TEST(Reports == 1);
  BOOST_TEST((Sum == Millis{1500}));
}

BOOST_FIXTURE_TEST_CASE(MoveOfTheWallClockIsLoggedAndCounted, EntryFixture) {
  Now_.Wall_ += 25 * Hour;
  advance(Millis{500});
  BOOST_TEST(countLines(Log_, "wall-clock-moved") == 2);
  BOOST_TEST(Entries_[0]->counters().WallClockMoves_ == 1U);
}

BOOST_FIXTURE_TEST_CASE(LedgerSizeCountsEndedJobs, EntryFixture) {
  runJob("job");
  submit(0, "other");
  advance(Millis{500});
  BOOST_TEST(Entries_[owner()]->ledgerSize().Jobs_ == 2U);
  BOOST_TEST(Entries_[owner()]->ledgerSize().EndedJobs_ == 0U);
  report("job", TaskPhase::Finished);
  advance(Millis{500});
  BOOST_TEST(Entries_[owner()]->ledgerSize().EndedJobs_ == 1U);
  BOOST_TEST(Entries_[owner()]->ledgerSize().CommitBytes_ > 0U);
  BOOST_TEST(Entries_[1 - owner()]->ledgerSize().Jobs_ == 0U);
}

BOOST_FIXTURE_TEST_CASE(EndedJobStaysKnownAfterALeapOfTheWallClock,
                        EndedJobFixture) {
  Now_.Wall_ += 25 * Hour;
  advance(Seconds{61});
  BOOST_TEST(isKnown());
  BOOST_TEST(countLines(Log_, "jobs-removed") == 0);
}

// The clock of the entry that takes over is a day ahead, or behind.
BOOST_FIXTURE_TEST_CASE(EndedJobStaysKnownToAnOwnerWithAnotherTimeOfDay,
                        EndedJobFixture) {
  for (const auto Leap : {25 * Hour, -50 * Hour, 75 * Hour}) {
    const auto Former = owner();
    killEntry(Former);
    Now_.Wall_ += Leap;
    advance(Millis{6000});
    startEntry(Former);
    advance(Seconds{61});
    BOOST_TEST(isKnown());
  }
}

BOOST_FIXTURE_TEST_CASE(JobSubmittedOnAClockADayBehindStaysKnownAsItEnds,
                        EntryFixture) {
  Now_.Wall_ -= 25 * Hour;
  runJob("job");
  Now_.Wall_ += 25 * Hour;
  advance(Seconds{61});
  report("job", TaskPhase::Finished);
  HeldTasks_ = {};
  advance(Seconds{61});
  const auto Token = query(0, "job");
  advance(Millis{500});
  BOOST_TEST(toldState(Token, JobState::Completed));
}

BOOST_FIXTURE_TEST_CASE(EndedJobSubmittedAgainAfterALeapDoesNotRunAgain,
                        EndedJobFixture) {
  Now_.Wall_ += 25 * Hour;
  advance(Seconds{61});
  submit(0, "job");
  advance(Millis{2000});
  BOOST_TEST(Binds_.empty());
}

BOOST_FIXTURE_TEST_CASE(CancelledJobStaysKnownAfterALeapOfTheWallClock,
                        EntryFixture) {
  submit(0, "job");
  advance(Millis{500});
  cancel(0, "job");
  Now_.Wall_ += 25 * Hour;
  advance(Seconds{61});
  const auto Token = query(0, "job");
  advance(Millis{500});
  BOOST_TEST(toldState(Token, JobState::Cancelled));
}

BOOST_FIXTURE_TEST_CASE(ScheduledJobIsBoundWhenDueOnAClockADayBehind,
                        EntryFixture) {
  connectAgent(1);
  advance(Millis{1200});
  const auto Submit = [&](const std::string &Job) {
    SubmitToQueue Request;
    Request.Address_ = {"portal.example", "/jobs/" + Job};
    Request.Declaration_.Steps_.front().Resources_ = {1000, 1000, 0};
    Request.Declaration_.Occurrences_ = 1;
    Request.Declaration_.FirstAt_ = Now_.Wall_ + Seconds{5};
    sendRequest(0, Request);
    advance(Seconds{2});
    BOOST_TEST(!isBoundTo(Job, 1));
  };
  Submit("right");
  advance(Seconds{6});
  BOOST_TEST(isBoundTo("right", 1));
  Submit("behind");
  Now_.Wall_ -= 25 * Hour;
  advance(Seconds{6});
  BOOST_TEST(isBoundTo("behind", 1));
}

BOOST_AUTO_TEST_SUITE_END()
