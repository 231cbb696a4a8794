/// \file
/// Tests the room that tasks which last leave to short work.

#include "core/Placement.h"
#include "core/ShortTaskDemand.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

constexpr TimePoint Start(Seconds{100});
constexpr std::int64_t Capacity = 64000;

auto lasting(std::int64_t MilliCores) -> StepDeclaration {
  StepDeclaration Step;
  Step.Resources_ = {MilliCores, 100, 0};
  Step.LongRunning_ = true;
  return Step;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ShortWork)

BOOST_AUTO_TEST_CASE(NothingIsKeptBeforeAnyCame) {
  BOOST_TEST(ShortTaskDemand().headroomAt(Capacity, 7) == 0);
}

BOOST_AUTO_TEST_CASE(EachWorkerKeepsItsPartOfThePeak) {
  ShortTaskDemand Demand;
  Demand.record(Start, 35000);
  BOOST_TEST(Demand.headroomAt(Capacity, 7) == 5000);
}

BOOST_AUTO_TEST_CASE(ABacklogKeepsATenthAtMost) {
  ShortTaskDemand Demand;
  Demand.record(Start, 900000);
  BOOST_TEST(Demand.headroomAt(Capacity, 7) == 6400);
}

BOOST_AUTO_TEST_CASE(APeakFades) {
  ShortTaskDemand Demand;
  Demand.record(Start, 35000);
  Demand.record(Start + Seconds{60}, 0);
  BOOST_TEST(Demand.headroomAt(Capacity, 7) < 500);
}

BOOST_AUTO_TEST_CASE(ALastingTaskLeavesTheLastRoomToShortWork) {
  PlacementCandidate Place;
  Place.Capacity_ = {Capacity, 256000, 0};
  Place.Free_ = {14000, 256000, 0};
  Place.HeadroomMilliCores_ = 5000;
  BOOST_TEST(!canPlace(lasting(13000), Place));
  auto Short = lasting(13000);
  Short.LongRunning_ = false;
  BOOST_TEST(canPlace(Short, Place));
}

BOOST_AUTO_TEST_CASE(WithRoomTwiceOverALastingTaskAlwaysRuns) {
  ShortTaskDemand Demand;
  Demand.record(Start, 900000);
  PlacementCandidate Place;
  Place.Capacity_ = {Capacity, 256000, 0};
  Place.Free_ = {26000, 256000, 0};
  Place.HeadroomMilliCores_ = Demand.headroomAt(Capacity, 1);
  BOOST_TEST(canPlace(lasting(13000), Place));
}

BOOST_AUTO_TEST_CASE(ALastingTaskThatHasWaitedTakesTheLastRoom) {
  PlacementCandidate Place;
  Place.Capacity_ = {Capacity, 256000, 0};
  Place.Free_ = {14000, 256000, 0};
  Place.HeadroomMilliCores_ = 5000;
  Place.AcceptsAnyWorker_ = true;
  BOOST_TEST(canPlace(lasting(13000), Place));
}

BOOST_AUTO_TEST_CASE(ASmallLastingTaskKeepsLessFree) {
  PlacementCandidate Place;
  Place.Capacity_ = {96000, 256000, 0};
  Place.HeadroomMilliCores_ = 9600;
  Place.Free_ = {12000, 256000, 0};
  BOOST_TEST(canPlace(lasting(8000), Place));
  Place.Free_ = {11000, 256000, 0};
  BOOST_TEST(!canPlace(lasting(8000), Place));
}

BOOST_AUTO_TEST_SUITE_END()
