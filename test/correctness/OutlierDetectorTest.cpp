/// \file
/// Tests which workers are kept from work since tasks fail on them.

#include "core/OutlierDetector.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

using Standing = OutlierDetector::Standing;

const WorkerKey First{{"first"}, 1};
const WorkerKey Second{{"second"}, 1};

auto stepOf(const std::string &Job) -> StepKey { return {{Job}, 0, 0}; }

struct DetectorFixture {
  auto fail(const WorkerKey &Worker, const std::string &Job, int Times)
      -> void {
    for (int Time = 0; Time < Times; ++Time)
      Detector_.failed(Now_, Worker, stepOf(Job), Workers_);
  }
  auto standing(const WorkerKey &Worker = First) const -> Standing {
    return Detector_.standingOf(Now_, Worker);
  }

  OutlierDetector Detector_;
  TimePoint Now_{Seconds{100}};
  std::size_t Workers_ = 8;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Outliers)

BOOST_FIXTURE_TEST_CASE(AWorkerOnWhichTaskAfterTaskFailsIsEjected,
                        DetectorFixture) {
  fail(First, "a", 3);
  BOOST_TEST((standing() == Standing::Sound));
  fail(First, "b", 1);
  BOOST_TEST((standing() == Standing::Ejected));
  Now_ += Millis{1000};
  BOOST_TEST((standing() == Standing::Probation));
}

BOOST_FIXTURE_TEST_CASE(AStepThatFailsOnSeveralWorkersCountsAgainstNone,
                        DetectorFixture) {
  fail(First, "a", 6);
  BOOST_TEST((standing() == Standing::Ejected));
  fail(Second, "a", 6);
  BOOST_TEST((standing() == Standing::Sound));
  BOOST_TEST((standing(Second) == Standing::Sound));
}

BOOST_FIXTURE_TEST_CASE(AStepThatFinishesElsewhereIsNotHopeless,
                        DetectorFixture) {
  fail(Second, "a", 1);
  fail(First, "a", 4);
  BOOST_TEST((standing() == Standing::Sound));
  Detector_.finished(Now_, Second, stepOf("a"));
  fail(First, "a", 1);
  BOOST_TEST((standing() == Standing::Ejected));
}

BOOST_FIXTURE_TEST_CASE(ATrialDecidesWhetherAWorkerIsSound, DetectorFixture) {
  fail(First, "a", 4);
  Now_ += Millis{1000};
  BOOST_TEST(Detector_.mayTry(Now_, First));
  Detector_.bound(Now_, First);
  BOOST_TEST(!Detector_.mayTry(Now_, First));
  fail(First, "b", 1);
  BOOST_TEST((standing() == Standing::Ejected));
  Now_ += Millis{1900};
  BOOST_TEST((standing() == Standing::Ejected));
  Now_ += Millis{200};
  BOOST_TEST((standing() == Standing::Probation));
  Detector_.bound(Now_, First);
  Now_ += Millis{1500};
  BOOST_TEST((standing() == Standing::Sound));
  Detector_.finished(Now_, First, stepOf("b"));
  fail(First, "c", 3);
  BOOST_TEST((standing() == Standing::Sound));
}

BOOST_FIXTURE_TEST_CASE(AtMostHalfOfTheWorkersAreEjected, DetectorFixture) {
  Workers_ = 3;
  fail(First, "a", 4);
  fail(Second, "b", 4);
  BOOST_TEST((standing() == Standing::Ejected));
  BOOST_TEST((standing(Second) == Standing::Sound));
}

BOOST_FIXTURE_TEST_CASE(FailuresFarApartEjectNoWorker, DetectorFixture) {
  for (int Time = 0; Time < 12; ++Time) {
    fail(First, "a", 1);
    Now_ += Seconds{5};
  }
  BOOST_TEST((standing() == Standing::Sound));
}

BOOST_AUTO_TEST_SUITE_END()
