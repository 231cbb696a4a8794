/// \file
/// Tests the headroom that long-running tasks leave for short tasks.

#include "core/ShortTaskDemand.h"
#include "core/Placement.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

constexpr TimePoint Start(Seconds{100});
constexpr std::int64_t CapacityMilliCores = 64000;

auto longRunningStep(std::int64_t MilliCores) -> StepDeclaration {
  StepDeclaration Step;
  Step.Resources_ = {MilliCores, 100, 0};
  Step.LongRunning_ = true;
  return Step;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ShortTasks)

BOOST_AUTO_TEST_CASE(NoHeadroomBeforeAnyDemand) {
  BOOST_TEST(ShortTaskDemand().headroomAt(CapacityMilliCores, 7) == 0);
}

BOOST_AUTO_TEST_CASE(EachWorkerKeepsItsShareOfThePeak) {
  ShortTaskDemand Demand;
  Demand.record(Start, 35000);
  BOOST_TEST(Demand.headroomAt(CapacityMilliCores, 7) == 5000);
}

BOOST_AUTO_TEST_CASE(HeadroomIsAtMostATenthOfTheCapacity) {
  ShortTaskDemand Demand;
  Demand.record(Start, 900000);
  BOOST_TEST(Demand.headroomAt(CapacityMilliCores, 7) == 6400);
}

BOOST_AUTO_TEST_CASE(APeakDecays) {
  ShortTaskDemand Demand;
  Demand.record(Start, 35000);
  Demand.record(Start + Seconds{60}, 0);
  BOOST_TEST(Demand.headroomAt(CapacityMilliCores, 7) < 500);
}

BOOST_AUTO_TEST_CASE(ALongRunningTaskLeavesTheHeadroomToShortTasks) {
  PlacementCandidate Candidate;
  Candidate.Capacity_ = {CapacityMilliCores, 256000, 0};
  Candidate.Free_ = {14000, 256000, 0};
  Candidate.HeadroomMilliCores_ = 5000;
  BOOST_TEST(!canPlace(longRunningStep(13000), Candidate));
  auto ShortStep = longRunningStep(13000);
  ShortStep.LongRunning_ = false;
  BOOST_TEST(canPlace(ShortStep, Candidate));
}

BOOST_AUTO_TEST_CASE(ALongRunningTaskRunsWhereItFitsTwice) {
  ShortTaskDemand Demand;
  Demand.record(Start, 900000);
  PlacementCandidate Candidate;
  Candidate.Capacity_ = {CapacityMilliCores, 256000, 0};
  Candidate.Free_ = {26000, 256000, 0};
  Candidate.HeadroomMilliCores_ = Demand.headroomAt(CapacityMilliCores, 1);
  BOOST_TEST(canPlace(longRunningStep(13000), Candidate));
}

BOOST_AUTO_TEST_CASE(ALongRunningTaskThatHasWaitedUsesTheHeadroom) {
  PlacementCandidate Candidate;
  Candidate.Capacity_ = {CapacityMilliCores, 256000, 0};
  Candidate.Free_ = {14000, 256000, 0};
  Candidate.HeadroomMilliCores_ = 5000;
  Candidate.AcceptsAnyWorker_ = true;
  BOOST_TEST(canPlace(longRunningStep(13000), Candidate));
}

BOOST_AUTO_TEST_CASE(ASmallLongRunningTaskKeepsLessFree) {
  PlacementCandidate Candidate;
  Candidate.Capacity_ = {96000, 256000, 0};
  Candidate.HeadroomMilliCores_ = 9600;
  Candidate.Free_ = {12000, 256000, 0};
  BOOST_TEST(canPlace(longRunningStep(8000), Candidate));
  Candidate.Free_ = {11000, 256000, 0};
  BOOST_TEST(!canPlace(longRunningStep(8000), Candidate));
}

BOOST_AUTO_TEST_SUITE_END()
