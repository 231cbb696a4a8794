/// \file
/// Tests that tasks whose workers have crashed are run again, whatever becomes
/// of those of other services.

#include "test/correctness/FleetFixture.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// Long enough for the leases of a lost worker to expire.
constexpr Millis LossPeriod{8000};

/// A step with one task on each of as many workers.
auto spreadStep(std::uint32_t Tasks) -> StepDeclaration {
  StepDeclaration Step;
  Step.TaskCount_ = Tasks;
  Step.Resources_ = {1800, 1000, 0};
  Step.RunTime_ = ShortRunTime;
  Step.MaxPerWorker_ = 1;
  return Step;
}

/// Four workers of one service; all of another crashed soon after the start of
/// a task on each, and stay away.
class LostServiceFixture : public FleetFixture {
public:
  explicit LostServiceFixture(std::size_t Others) : FleetFixture(4, Others) {
    submitOther("lost", spreadStep(static_cast<std::uint32_t>(Others)));
    advance(ShortRunTime / 2);
    BOOST_REQUIRE(loseWorkersOfShortTasks() == Others);
    advance(LossPeriod);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(SuspectTrials)

// The suspects of a service without workers used up the trials of all passes.
BOOST_AUTO_TEST_CASE(ASuspectIsTriedBesideThoseOfAServiceWithoutWorkers) {
  for (const auto Others : {1U, 2U, 6U}) {
    LostServiceFixture Fixture(Others);
    Fixture.submit("crashed", spreadStep(1));
    Fixture.advance(ShortRunTime / 2);
    BOOST_REQUIRE(Fixture.loseWorkersOfShortTasks() == 1U);
    Fixture.advance(LossPeriod);
    BOOST_TEST((Fixture.state("crashed") == JobState::Completed),
               Others << " workers were lost before");
    BOOST_TEST((Fixture.stateAt("/others/lost") != JobState::Failed));
  }
}

// Trials were counted over the whole fleet, so the first service's suspects
// left none for the other's.
BOOST_AUTO_TEST_CASE(ASuspectOfASmallServiceIsTriedBesideManyOfAnother) {
  constexpr std::uint32_t Workers = 24;
  FleetFixture Fixture(Workers, 2);
  for (int Job = 0; Job < 16; ++Job)
    Fixture.submit("crashed-" + std::to_string(Job), spreadStep(Workers));
  Fixture.submitOther("small", spreadStep(1));
  Fixture.advance(ShortRunTime / 2);
  for (std::size_t Worker = 4; Worker < Workers; ++Worker)
    Fixture.lose(Worker);
  BOOST_REQUIRE(Fixture.loseWorkersOfShortTasks(Workers) == 1U);
  Fixture.advance(LossPeriod);
  BOOST_TEST((Fixture.stateAt("/others/small") == JobState::Completed));
}

BOOST_AUTO_TEST_SUITE_END()
