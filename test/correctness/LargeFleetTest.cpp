/// \file
/// Tests that tasks find the few workers of a large fleet that can take them.

#include "test/correctness/FleetFixture.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// 200 workers, of which all but four have a task that takes two fifths of
/// their processors.
class FewFreeWorkersFixture : public FleetFixture {
public:
  static constexpr std::uint32_t Workers = 200;
  static constexpr std::uint32_t FreeWorkers = 4;

  FewFreeWorkersFixture() : FleetFixture(Workers) {
    StepDeclaration Step;
    Step.TaskCount_ = Workers - FreeWorkers;
    Step.Resources_ = {WorkerMilliCores * 2 / 5, 100, 0};
    Step.LongRunning_ = true;
    Step.MaxPerWorker_ = 1;
    submit("lasting", Step);
    advance(Millis{20000});
    BOOST_REQUIRE(servingTasks() == Workers - FreeWorkers);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LargeFleet)

// A pass weighed 24 workers in turn, whether or not they had room.
BOOST_FIXTURE_TEST_CASE(ALargeTaskFindsOneOfFewWorkersWithRoom,
                        FewFreeWorkersFixture) {
  StepDeclaration Large;
  Large.Resources_ = {WorkerMilliCores * 4 / 5, 100, 0};
  Large.RunTime_ = ShortRunTime;
  int Late = 0;
  for (int Job = 0; Job < 40; ++Job) {
    const auto Name = "large-" + std::to_string(Job);
    submit(Name, Large);
    advance(Millis{500} + ShortRunTime);
    Late += state(Name) == JobState::Completed ? 0 : 1;
    advance(Millis{2500});
    BOOST_TEST((state(Name) == JobState::Completed), Name);
  }
  BOOST_TEST(Late == 0);
}

BOOST_AUTO_TEST_SUITE_END()
