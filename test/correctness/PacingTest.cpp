/// \file
/// Tests how work that fills shares the room beside tasks that serve, and how
/// their tails are read.

#include "core/InterferenceController.h"
#include "core/PacePlan.h"
#include "test/correctness/SharingTasks.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace skylark;

namespace {

constexpr Millis Target{20};
constexpr Millis LookEvery{500};

/// "loud" adds a tenth of a logarithm for each core, "quiet" nothing.
auto predictor() -> InterferencePredictor {
  InterferencePredictor Known;
  Known.adopt({{{"web", std::log(6.0), 0.1, {{"loud", 0.1}, {"quiet", 0.0}}}}});
  return Known;
}

auto room(double Left) -> ServingSlack { return {"web", Left, false, false}; }

auto loud(std::int64_t MilliCores) -> BestEffortTask {
  return {"loud", MilliCores, false};
}

auto serving(Millis Tail) -> ColocatedTask {
  return Test::servingTask(Target, Tail);
}

auto filling(const std::string &Job, std::int64_t InUse) -> ColocatedTask {
  return Test::fillingTask(Job, "loud", InUse, 5000);
}

auto guard() -> InterferenceController {
  InterferenceController Guard;
  Guard.adopt(predictor().table());
  return Guard;
}

/// Looks for `Length`, with the same tasks each time.
auto watch(InterferenceController &Guard, TimePoint &Now, Duration Length,
           const std::vector<ColocatedTask> &Tasks) -> ControlActions {
  ControlActions All;
  for (Duration Gone{0}; Gone < Length; Gone += LookEvery) {
    Now += LookEvery;
    const auto Orders = Guard.observe(Now, Tasks);
    All.Paces_.insert(All.Paces_.end(), Orders.Paces_.begin(),
                      Orders.Paces_.end());
    All.Evictions_.insert(All.Evictions_.end(), Orders.Evictions_.begin(),
                          Orders.Evictions_.end());
  }
  return All;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Pacing)

BOOST_AUTO_TEST_CASE(WhatFitsWorksAtFullPace) {
  std::vector<ServingSlack> Rooms{room(0.9)};
  BOOST_TEST(allocatePace(loud(4000), predictor(), Rooms) == 100U);
  BOOST_TEST(Rooms.front().Remaining_ == 0.5,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(WhatFitsInPartIsPacedToThatPart) {
  std::vector<ServingSlack> Rooms{room(0.25)};
  BOOST_TEST(allocatePace(loud(5000), predictor(), Rooms) == 50U);
}

BOOST_AUTO_TEST_CASE(WithoutRoomItRests) {
  std::vector<ServingSlack> Rooms{room(0.01)};
  BOOST_TEST(allocatePace(loud(5000), predictor(), Rooms) == 0U);
  BOOST_TEST(Rooms.front().Remaining_ == 0.01);
}

BOOST_AUTO_TEST_CASE(TheTightestNeighbourDecides) {
  std::vector<ServingSlack> Rooms{room(0.9), room(0.2)};
  BOOST_TEST(allocatePace(loud(4000), predictor(), Rooms) == 50U);
}

BOOST_AUTO_TEST_CASE(WhatHarmsNobodyNeedsNoRoom) {
  std::vector<ServingSlack> Rooms{{"web", -1.0, true, true}};
  BOOST_TEST(allocatePace({"quiet", 9000, true}, predictor(), Rooms) == 100U);
}

BOOST_AUTO_TEST_CASE(BesideATailOverItsTargetWhatPressesRests) {
  std::vector<ServingSlack> Rooms{{"web", 0.9, true, true}};
  BOOST_TEST(allocatePace(loud(1000), predictor(), Rooms) == 0U);
}

BOOST_AUTO_TEST_CASE(WhatRestsGoesOnRestingNearTheTarget) {
  std::vector<ServingSlack> Rooms{{"web", 0.9, false, true}};
  BOOST_TEST(allocatePace({"loud", 1000, true}, predictor(), Rooms) == 0U);
  BOOST_TEST(allocatePace({"loud", 1000, false}, predictor(), Rooms) == 100U);
}

BOOST_AUTO_TEST_CASE(ATailThatFallsIsReadAsItsLowerLevel) {
  TailTracker Watch;
  Watch.observe(TimePoint(Seconds{1}), {serving(Millis{300})}, predictor());
  Watch.observe(TimePoint(Millis{1500}), {serving(Millis{100})}, predictor());
  const auto *Reading = Watch.find({{"serves"}, 0});
  BOOST_REQUIRE(Reading != nullptr);
  BOOST_TEST(Reading->SteadyState_ < std::log(40.0));
}

BOOST_AUTO_TEST_CASE(ASteadyTailIsReadAsItIs) {
  TailTracker Watch;
  Watch.observe(TimePoint(Seconds{1}), {serving(Millis{10})}, predictor());
  Watch.observe(TimePoint(Millis{1500}), {serving(Millis{10})}, predictor());
  BOOST_TEST(Watch.find({{"serves"}, 0})->SteadyState_ == std::log(10.0),
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(TheOwnLevelIsWithoutItsNeighbours) {
  TailTracker Watch;
  const std::vector<ColocatedTask> Tasks{serving(Millis{10}),
                                         filling("f", 3000)};
  Watch.observe(TimePoint(Seconds{1}), Tasks, predictor());
  BOOST_TEST(Watch.find({{"serves"}, 0})->Baseline_ == std::log(10.0) - 0.3,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(LooksFarApartAreNotCompared) {
  TailTracker Watch;
  Watch.observe(TimePoint(Seconds{1}), {serving(Millis{10})}, predictor());
  Watch.observe(TimePoint(Seconds{4}), {serving(Millis{10})}, predictor());
  BOOST_TEST(!Watch.find({{"serves"}, 0})->ChangeKnown_);
}

BOOST_AUTO_TEST_CASE(ATooLargeCrowdIsPacedBeforeItHarms) {
  auto Guard = guard();
  TimePoint Now(Seconds{1});
  std::vector<ColocatedTask> Tasks{serving(Millis{10})};
  for (const auto *Job : {"a", "b", "c", "d"})
    Tasks.push_back(filling(Job, 0));
  const auto Orders = watch(Guard, Now, LookEvery, Tasks);
  // Four at five cores each would bring the tail from 10 to 74 ms.
  BOOST_TEST(Orders.Paces_.size() >= 3U);
}

BOOST_AUTO_TEST_CASE(NothingThatPressesStartsBesideATailOverItsTarget) {
  auto Guard = guard();
  TimePoint Now(Seconds{1});
  watch(Guard, Now, LookEvery, {serving(Millis{40})});
  BOOST_TEST(Guard.admit(Now, filling("new", 0)) == 0U);
}

BOOST_AUTO_TEST_CASE(TheOnlyTaskOfAJobStartsWithLittleRoom) {
  auto Guard = guard();
  TimePoint Now(Seconds{1});
  watch(Guard, Now, LookEvery, {serving(Millis{19})});
  auto Task = filling("new", 0);
  BOOST_TEST(Guard.admit(Now, Task) == 0U);
  Task.OnlyTaskOfJob_ = true;
  BOOST_TEST(Guard.admit(Now, Task) > 0U);
  BOOST_TEST(Guard.startPace(Task.Task_, Task.Attempt_) < 100U);
}

BOOST_AUTO_TEST_CASE(StartsBetweenTwoLooksShareTheRoom) {
  auto Guard = guard();
  TimePoint Now(Seconds{1});
  watch(Guard, Now, LookEvery, {serving(Millis{8})});
  std::uint32_t Admitted = 0;
  for (const auto *Job : {"a", "b", "c", "d", "e"})
    Admitted += Guard.admit(Now, filling(Job, 0)) == 0 ? 0 : 1;
  BOOST_TEST(Admitted >= 1U);
  BOOST_TEST(Admitted <= 2U);
}

BOOST_AUTO_TEST_CASE(WhatWouldLoseWorkRestsLongerBeforeItGoes) {
  auto Guard = guard();
  TimePoint Now(Seconds{1});
  auto Losing = filling("loses", 0);
  Losing.Checkpoints_ = false;
  const std::vector<ColocatedTask> Tasks{serving(Millis{40}),
                                         filling("saves", 0), Losing};
  const auto Early = watch(Guard, Now, Seconds{3}, Tasks);
  for (const auto &Each : Early.Evictions_)
    BOOST_TEST(Each.first.Job_.Value_ == "saves");
  BOOST_TEST(!Early.Evictions_.empty());
}

BOOST_AUTO_TEST_CASE(OrdersNameTheTaskThatDecided) {
  auto Guard = guard();
  const auto Orders = Guard.observe(TimePoint(Seconds{1}),
                                    {serving(Millis{40}), filling("f", 3000)});
  BOOST_TEST(!Orders.Paces_.empty());
  BOOST_TEST(Orders.Explanation_.find("serves/0 at 40 of 20 ms") == 0U);
}

BOOST_AUTO_TEST_CASE(AnAdoptedTaskIsToldItsPace) {
  auto Guard = guard();
  TimePoint Now(Seconds{1});
  auto Task = filling("adopted", 0);
  Task.PaceUnknown_ = true;
  const auto Orders = watch(Guard, Now, LookEvery, {serving(Millis{6}), Task});
  BOOST_REQUIRE(Orders.Paces_.size() == 1U);
  BOOST_TEST(Orders.Paces_.front().Percent_ == 100U);
}

BOOST_AUTO_TEST_SUITE_END()
