/// \file
/// Tests the choice of a worker for a task among a few candidates.

#include "core/Placement.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

auto candidateWith(std::int64_t FreeMilliCores) -> PlacementCandidate {
  PlacementCandidate Candidate;
  Candidate.Capacity_ = {32000, 128000, 0};
  Candidate.Free_ = {FreeMilliCores, 64000, 0};
  return Candidate;
}

auto stepOf(std::int64_t MilliCores) -> StepDeclaration {
  StepDeclaration Step;
  Step.Resources_ = {MilliCores, 1000, 0};
  return Step;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Placement)

BOOST_AUTO_TEST_CASE(NoCandidateWithoutEnoughResources) {
  const std::vector<PlacementCandidate> Candidates{candidateWith(500),
                                                   candidateWith(900)};
  BOOST_TEST(choosePlacement(stepOf(1000), Candidates) == Candidates.size());
}

BOOST_AUTO_TEST_CASE(ChoosesTheWorkerWithTheMostFree) {
  BOOST_TEST(
      choosePlacement(stepOf(1000), {candidateWith(4000), candidateWith(9000),
                                     candidateWith(2000)}) == 1U);
}

BOOST_AUTO_TEST_CASE(RespectsTheLimitOfTasksOnOneWorker) {
  auto Step = stepOf(1000);
  Step.MaxPerWorker_ = 2;
  auto AtLimit = candidateWith(30000);
  AtLimit.TasksOfStep_ = 2;
  BOOST_TEST(choosePlacement(Step, {AtLimit, candidateWith(2000)}) == 1U);
}

BOOST_AUTO_TEST_CASE(BestEffortTasksWaitForUnusedProcessors) {
  auto Step = stepOf(4000);
  Step.BestEffort_ = true;
  BOOST_TEST(choosePlacement(Step, {candidateWith(3999)}) == 1U);
  BOOST_TEST(choosePlacement(Step, {candidateWith(4000)}) == 0U);
  auto Shared = candidateWith(9000);
  Shared.BestEffortMilliCores_ = 5001;
  BOOST_TEST(choosePlacement(Step, {Shared}) == 1U);
  Shared.BestEffortMilliCores_ = 5000;
  BOOST_TEST(choosePlacement(Step, {Shared}) == 0U);
}

BOOST_AUTO_TEST_CASE(BestEffortTasksThatAcceptAnyWorkerNeedMemoryOnly) {
  auto Step = stepOf(4000);
  Step.BestEffort_ = true;
  auto Candidate = candidateWith(0);
  Candidate.AcceptsAnyWorker_ = true;
  BOOST_TEST(choosePlacement(Step, {Candidate}) == 0U);
  Candidate.Free_.MemoryMegabytes_ = Step.Resources_.MemoryMegabytes_ - 1;
  BOOST_TEST(choosePlacement(Step, {Candidate}) == 1U);
}

BOOST_AUTO_TEST_CASE(BestEffortTasksWaitRatherThanInterfere) {
  auto Step = stepOf(4000);
  Step.BestEffort_ = true;
  auto Candidate = candidateWith(20000);
  Candidate.SlackOverrun_ = 0.1;
  BOOST_TEST(choosePlacement(Step, {Candidate}) == 1U);
}

BOOST_AUTO_TEST_CASE(BestEffortTasksDoNotWaitForEver) {
  auto Step = stepOf(4000);
  Step.BestEffort_ = true;
  auto Candidate = candidateWith(20000);
  Candidate.SlackOverrun_ = 0.1;
  Candidate.AcceptsAnyWorker_ = true;
  BOOST_TEST(choosePlacement(Step, {Candidate}) == 0U);
}

BOOST_AUTO_TEST_CASE(ServingTasksOfOneImageAreColocated) {
  auto Step = stepOf(4000);
  Step.TailTarget_ = Millis{18};
  auto Mixed = candidateWith(30000);
  Mixed.ServingImages_ = 1;
  auto Same = candidateWith(8000);
  Same.ServingImages_ = 1;
  Same.SameImage_ = true;
  BOOST_TEST(choosePlacement(Step, {Mixed, Same}) == 1U);
}

BOOST_AUTO_TEST_CASE(ServingTasksLeaveWholeWorkersFree) {
  auto Step = stepOf(4000);
  Step.TailTarget_ = Millis{18};
  auto Serving = candidateWith(8000);
  Serving.ServingImages_ = 1;
  Serving.SameImage_ = true;
  auto LessFree = Serving;
  LessFree.Free_.MilliCores_ = 5000;
  BOOST_TEST(choosePlacement(Step, {candidateWith(32000), Serving, LessFree}) ==
             2U);
}

BOOST_AUTO_TEST_CASE(BestEffortTasksWithoutInterferenceLeaveIdleWorkersFree) {
  auto Step = stepOf(4000);
  Step.BestEffort_ = true;
  auto Serving = candidateWith(6000);
  Serving.ServingImages_ = 1;
  Serving.ServingMilliCores_ = 26000;
  BOOST_TEST(choosePlacement(Step, {candidateWith(32000), Serving}) == 1U);
  Serving.AddedInterference_ = 0.4;
  BOOST_TEST(choosePlacement(Step, {candidateWith(32000), Serving}) == 0U);
}

BOOST_AUTO_TEST_CASE(BestEffortTasksUseIdleReservationsOfServingTasks) {
  auto Step = stepOf(4000);
  Step.BestEffort_ = true;
  auto Serving = candidateWith(0);
  Serving.ServingImages_ = 1;
  Serving.ServingMilliCores_ = 32000;
  auto Crowded = Serving;
  Crowded.BestEffortMilliCores_ = 14000;
  BOOST_TEST(choosePlacement(Step, {Crowded, Serving}) == 1U);
}

BOOST_AUTO_TEST_CASE(ARetryAvoidsTheWorkerWhereItFailed) {
  auto Failed = candidateWith(30000);
  Failed.FailedHere_ = true;
  BOOST_TEST(choosePlacement(stepOf(1000), {Failed, candidateWith(1500)}) ==
             1U);
}

BOOST_AUTO_TEST_CASE(PrefersTheRackOfTheData) {
  auto Step = stepOf(1000);
  Step.DataRack_ = "r2";
  auto SameRack = candidateWith(2000);
  SameRack.Rack_ = "r2";
  BOOST_TEST(choosePlacement(Step, {candidateWith(30000), SameRack}) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
