/// \file
/// Tests when the tasks of closed jobs are told to stop.

#include "core/StopSchedule.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

constexpr TimePoint Start{Seconds{100}};

auto taskOf(std::uint32_t Index) -> TaskId { return {{"job"}, Index}; }

} // namespace

BOOST_AUTO_TEST_SUITE(StopSchedules)

BOOST_AUTO_TEST_CASE(ALargeJobIsStoppedInPartsAndNoTaskIsForgotten) {
  constexpr std::uint32_t TaskCount = 5000;
  constexpr std::size_t MaxStops = 2000;
  StopSchedule Stops;
  for (std::uint32_t Index = 0; Index < TaskCount; ++Index)
    Stops.add(Start, taskOf(Index));
  std::set<TaskId> Stopped;
  for (int Pass = 0; Pass < 3; ++Pass) {
    const auto Turns = Stops.takeDue(Start + Pass * Millis{50}, MaxStops);
    BOOST_TEST(Turns.size() <= MaxStops);
    for (const auto &Each : Turns)
      BOOST_TEST(Stopped.insert(Each.Task_).second);
  }
  BOOST_TEST(Stopped.size() == TaskCount);
  BOOST_TEST(Stops.takeDue(Start + Millis{150}, MaxStops).empty());
}

BOOST_AUTO_TEST_CASE(ATaskThatIsAddedAgainKeepsItsTurn) {
  StopSchedule Stops;
  Stops.add(Start, taskOf(0));
  BOOST_TEST(Stops.takeDue(Start, 10).size() == 1U);
  Stops.add(Start + Millis{50}, taskOf(0));
  BOOST_TEST(Stops.takeDue(Start + Millis{50}, 10).empty());
  Stops.hasten(Start + Millis{50}, taskOf(0));
  BOOST_TEST(Stops.takeDue(Start + Millis{50}, 10).size() == 1U);
  Stops.remove(taskOf(0));
  BOOST_TEST(Stops.takeDue(Start + CancelTarget, 10).empty());
}

BOOST_AUTO_TEST_CASE(ATaskCountsAsOverdueOnceAndAfterTheBound) {
  StopSchedule Stops;
  Stops.add(Start, taskOf(0));
  int Overdue = 0;
  for (Millis Elapsed{0}; Elapsed <= 2 * CancelTarget; Elapsed += Millis{50})
    for (const auto &Each : Stops.takeDue(Start + Elapsed, 10)) {
      Overdue += Each.NewlyOverdue_ ? 1 : 0;
      if (Each.NewlyOverdue_)
        BOOST_TEST((Each.Elapsed_ > CancelTarget + StopDuration));
    }
  BOOST_TEST(Overdue == 1);
}

BOOST_AUTO_TEST_SUITE_END()
