/// \file
/// Tests how long an owner keeps ended jobs.

#include "core/EndedJobs.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

constexpr TimePoint Start{Seconds{1000}};
constexpr Seconds Day{24 * 3600};

/// Returns the ids of the jobs that are removed at this time.
auto removedAt(EndedJobs &Jobs, Duration Elapsed, Duration Promise,
               std::size_t Limit = 1000) -> std::vector<std::string> {
  std::vector<std::string> Ids;
  for (const auto &Each : Jobs.takeExpired(Start + Elapsed, Promise, Limit))
    Ids.push_back(Each.Job_.Value_);
  return Ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndedJobList)

BOOST_AUTO_TEST_CASE(JobIsKeptForADayWhileThereIsRoom) {
  EndedJobs Jobs;
  Jobs.add(Start, {"job"}, 20);
  Jobs.add(Start + Seconds{5}, {"job"}, 20);
  BOOST_TEST(removedAt(Jobs, Day - Seconds{1}, Seconds{120}).empty());
  BOOST_TEST(removedAt(Jobs, Day, Seconds{120}).size() == 1U);
  BOOST_TEST(Jobs.size() == 0U);
}

BOOST_AUTO_TEST_CASE(WithoutRoomTheOldestEndGoesFirstAndOnlyAsManyAsNeeded) {
  EndedJobs Jobs;
  Jobs.add(Start, {"second-by-name"}, 30000);
  Jobs.add(Start + Seconds{1}, {"first-by-name"}, 30000);
  const auto Removed = removedAt(Jobs, Seconds{400}, Seconds{120});
  BOOST_TEST((Removed == std::vector<std::string>{"second-by-name"}));
}

BOOST_AUTO_TEST_CASE(WithoutRoomNoJobGoesWithinThePromisedTime) {
  EndedJobs Jobs;
  Jobs.add(Start, {"job"}, 300000);
  BOOST_TEST(removedAt(Jobs, Seconds{599}, Seconds{600}).empty());
  BOOST_TEST(removedAt(Jobs, Seconds{600}, Seconds{600}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(WithoutRoomNoJobGoesWhileItsSubmissionMayBeRepeated) {
  EndedJobs Jobs;
  Jobs.add(Start, {"job"}, 300000);
  BOOST_TEST(removedAt(Jobs, Seconds{299}, Seconds{120}).empty());
  BOOST_TEST(removedAt(Jobs, Seconds{300}, Seconds{120}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RemovalOfManyIsSpreadOverPasses) {
  EndedJobs Jobs;
  for (int Number = 0; Number < 2500; ++Number)
    Jobs.add(Start, {"job-" + std::to_string(Number)}, 1);
  BOOST_TEST(removedAt(Jobs, Day, Seconds{120}).size() == 1000U);
  BOOST_TEST(removedAt(Jobs, Day, Seconds{120}).size() == 1000U);
  BOOST_TEST(removedAt(Jobs, Day, Seconds{120}).size() == 500U);
}

BOOST_AUTO_TEST_SUITE_END()
