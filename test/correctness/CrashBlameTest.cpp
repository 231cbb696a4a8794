/// \file
/// Tests which tasks are blamed for the crash of their worker.

#include "core/CrashBlame.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

const WorkerKey Worker{{"agent"}, 1};
constexpr TimePoint Start{Seconds{100}};

auto taskOf(const std::string &Job) -> TaskId { return {{Job}, 0}; }

} // namespace

BOOST_AUTO_TEST_SUITE(CrashBlames)

BOOST_AUTO_TEST_CASE(TheTaskThatStartedLastIsBlamedMost) {
  CrashBlame Crashes;
  Crashes.running(Worker, taskOf("long"), Start, 0);
  Crashes.running(Worker, taskOf("last"), Start + Seconds{9}, 0);
  BOOST_TEST(Crashes.blameFor(Worker, taskOf("last"), false) == Blame::Sole);
  BOOST_TEST(Crashes.blameFor(Worker, taskOf("long"), false) == Blame::Present);
  BOOST_TEST(Crashes.blameFor(Worker, taskOf("long"), true) == 0U);
}

BOOST_AUTO_TEST_CASE(TasksThatStartedTogetherShareTheBlame) {
  CrashBlame Crashes;
  Crashes.running(Worker, taskOf("a"), Start, 0);
  Crashes.running(Worker, taskOf("b"), Start + Millis{100}, 0);
  BOOST_TEST(Crashes.blameFor(Worker, taskOf("a"), false) == Blame::Shared);
  BOOST_TEST(Crashes.blameFor(Worker, taskOf("b"), true) == Blame::Shared);
}

BOOST_AUTO_TEST_CASE(ATaskBesideASuspectIsNotSuspected) {
  CrashBlame Crashes;
  Crashes.running(Worker, taskOf("suspect"), Start, Blame::Suspect);
  Crashes.running(Worker, taskOf("other"), Start, 0);
  BOOST_TEST(Crashes.blameFor(Worker, taskOf("suspect"), false) == Blame::Sole);
  BOOST_TEST(Crashes.blameFor(Worker, taskOf("other"), false) ==
             Blame::Present);
}

BOOST_AUTO_TEST_CASE(ATaskThatRanForLongIsNotTakenForTheLastToStart) {
  CrashBlame Crashes;
  Crashes.running(Worker, taskOf("watcher"), Start, 0);
  Crashes.responsive(Worker, Start + Seconds{60});
  BOOST_TEST(Crashes.blameFor(Worker, taskOf("watcher"), true) == 0U);
  BOOST_TEST(Crashes.blameFor(Worker, taskOf("watcher"), false) ==
             Blame::Present);
}

BOOST_AUTO_TEST_CASE(AFinishedTaskIsNotAmongTheSuspects) {
  CrashBlame Crashes;
  Crashes.running(Worker, taskOf("a"), Start, 0);
  Crashes.running(Worker, taskOf("b"), Start, 0);
  Crashes.ended(Worker, taskOf("a"));
  BOOST_TEST(Crashes.blameFor(Worker, taskOf("b"), false) == Blame::Sole);
}

BOOST_AUTO_TEST_CASE(AStartWhoseAnswerWasLostCountsAsPresent) {
  const CrashBlame Crashes;
  BOOST_TEST(Crashes.blameFor(Worker, taskOf("a"), true) == Blame::Present);
}

BOOST_AUTO_TEST_CASE(ATrialEndsOnceTheSuspectHasRunForAWhile) {
  CrashBlame Crashes;
  BOOST_TEST(!Crashes.isTrialAt(Worker.Agent_, Start));
  Crashes.startTrial(Worker, taskOf("a"), Start);
  BOOST_TEST(Crashes.isTrialAt(Worker.Agent_, Start + Seconds{1}));
  Crashes.running(Worker, taskOf("a"), Start + Seconds{1}, Blame::Suspect);
  BOOST_TEST(
      Crashes.isTrialAt(Worker.Agent_, Start + Seconds{1} + Millis{100}));
  BOOST_TEST(!Crashes.isTrialAt(Worker.Agent_, Start + Seconds{2}));
}

BOOST_AUTO_TEST_CASE(ATrialEndsWithItsAttempt) {
  CrashBlame Crashes;
  Crashes.startTrial(Worker, taskOf("a"), Start);
  Crashes.endTrial(Worker.Agent_, taskOf("a"));
  BOOST_TEST(!Crashes.isTrialAt(Worker.Agent_, Start));
}

BOOST_AUTO_TEST_CASE(ASuspectThatDoesNotStartDoesNotBlockItsWorker) {
  CrashBlame Crashes;
  Crashes.startTrial(Worker, taskOf("a"), Start);
  BOOST_TEST(!Crashes.isTrialAt(Worker.Agent_, Start + Seconds{5}));
}

BOOST_AUTO_TEST_SUITE_END()
