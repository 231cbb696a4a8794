/// \file
/// Tests the choice of a worker on small tables.

#include "core/Placement.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

auto placeWith(std::int64_t FreeMilliCores) -> PlacementCandidate {
  PlacementCandidate Place;
  Place.Capacity_ = {32000, 128000, 0};
  Place.Free_ = {FreeMilliCores, 64000, 0};
  return Place;
}

auto stepOf(std::int64_t MilliCores) -> StepDeclaration {
  StepDeclaration Step;
  Step.Resources_ = {MilliCores, 1000, 0};
  return Step;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Placing)

BOOST_AUTO_TEST_CASE(NowhereWithoutRoom) {
  const std::vector<PlacementCandidate> Places{placeWith(500), placeWith(900)};
  BOOST_TEST(choosePlacement(stepOf(1000), Places) == Places.size());
}

BOOST_AUTO_TEST_CASE(TakesTheFreestPlace) {
  BOOST_TEST(choosePlacement(stepOf(1000), {placeWith(4000), placeWith(9000),
                                            placeWith(2000)}) == 1U);
}

BOOST_AUTO_TEST_CASE(RespectsTheLimitOfTasksOnOneWorker) {
  auto Step = stepOf(1000);
  Step.MaxPerWorker_ = 2;
  auto Full = placeWith(30000);
  Full.TasksOfStep_ = 2;
  BOOST_TEST(choosePlacement(Step, {Full, placeWith(2000)}) == 1U);
}

BOOST_AUTO_TEST_CASE(FillersNeedMemoryOnly) {
  auto Step = stepOf(4000);
  Step.BestEffort_ = true;
  BOOST_TEST(choosePlacement(Step, {placeWith(0)}) == 0U);
}

BOOST_AUTO_TEST_CASE(FillersWaitRatherThanDisturb) {
  auto Step = stepOf(4000);
  Step.BestEffort_ = true;
  auto Place = placeWith(20000);
  Place.Overrun_ = 0.1;
  BOOST_TEST(choosePlacement(Step, {Place}) == 1U);
}

BOOST_AUTO_TEST_CASE(FillersDoNotWaitForEver) {
  auto Step = stepOf(4000);
  Step.BestEffort_ = true;
  auto Place = placeWith(20000);
  Place.Overrun_ = 0.1;
  Place.AcceptsAnyWorker_ = true;
  BOOST_TEST(choosePlacement(Step, {Place}) == 0U);
}

BOOST_AUTO_TEST_CASE(ServingImagesAreKeptTogether) {
  auto Step = stepOf(4000);
  Step.TailTarget_ = Millis{18};
  auto Mixed = placeWith(30000);
  Mixed.ServingImages_ = 1;
  auto Same = placeWith(8000);
  Same.ServingImages_ = 1;
  Same.SameImage_ = true;
  BOOST_TEST(choosePlacement(Step, {Mixed, Same}) == 1U);
}

BOOST_AUTO_TEST_CASE(ServingTasksLeaveWholeWorkersFree) {
  auto Step = stepOf(4000);
  Step.TailTarget_ = Millis{18};
  auto Serving = placeWith(8000);
  Serving.ServingImages_ = 1;
  Serving.SameImage_ = true;
  auto Fuller = Serving;
  Fuller.Free_.MilliCores_ = 5000;
  BOOST_TEST(choosePlacement(Step, {placeWith(32000), Serving, Fuller}) == 2U);
}

BOOST_AUTO_TEST_CASE(HarmlessFillersLeaveQuietWorkersToOthers) {
  auto Step = stepOf(4000);
  Step.BestEffort_ = true;
  auto Serving = placeWith(6000);
  Serving.ServingImages_ = 1;
  Serving.ServingMilliCores_ = 26000;
  BOOST_TEST(choosePlacement(Step, {placeWith(32000), Serving}) == 1U);
  Serving.AddedInterference_ = 0.4;
  BOOST_TEST(choosePlacement(Step, {placeWith(32000), Serving}) == 0U);
}

BOOST_AUTO_TEST_CASE(FillersGetWhatServingTasksReserveAndDontUse) {
  auto Step = stepOf(4000);
  Step.BestEffort_ = true;
  auto Serving = placeWith(0);
  Serving.ServingImages_ = 1;
  Serving.ServingMilliCores_ = 32000;
  auto Crowded = Serving;
  Crowded.BestEffortMilliCores_ = 14000;
  BOOST_TEST(choosePlacement(Step, {Crowded, Serving}) == 1U);
}

BOOST_AUTO_TEST_CASE(ARetryGoesElsewhere) {
  auto Failed = placeWith(30000);
  Failed.FailedHere_ = true;
  BOOST_TEST(choosePlacement(stepOf(1000), {Failed, placeWith(1500)}) == 1U);
}

BOOST_AUTO_TEST_CASE(PrefersTheRackOfTheData) {
  auto Step = stepOf(1000);
  Step.DataRack_ = "r2";
  auto Near = placeWith(2000);
  Near.Rack_ = "r2";
  BOOST_TEST(choosePlacement(Step, {placeWith(30000), Near}) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
