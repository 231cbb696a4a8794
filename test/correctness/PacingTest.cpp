/// \file
/// Tests how best-effort tasks share the slack of serving tasks, and how tail
/// latencies are estimated.

#include "core/InterferenceController.h"
#include "core/PacePlan.h"
#include "test/correctness/ColocatedTasks.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <optional>

using namespace skylark;

namespace {

constexpr Millis Target{20};
constexpr Millis PollInterval{500};

/// Predicts that each core of image "loud" adds 0.1 to the logarithm of the
/// tail of "web", and that "quiet" adds nothing.
auto predictor() -> InterferencePredictor {
  InterferencePredictor Predictor;
  Predictor.adopt(
      {{{"web", std::log(6.0), 0.1, {{"loud", 0.1}, {"quiet", 0.0}}}}});
  return Predictor;
}

auto slackOf(double Remaining) -> ServingSlack {
  return {"web", Remaining, false};
}

auto loudTask(std::int64_t FullMilliCores) -> BestEffortTask {
  return {"loud", FullMilliCores};
}

auto servingWithTail(Millis Tail) -> ColocatedTask {
  return Test::servingTask(Target, Tail);
}

auto loudColocatedTask(const std::string &Job, std::int64_t MilliCores)
    -> ColocatedTask {
  return Test::bestEffortTask(Job, "loud", MilliCores, 5000);
}

auto makeController() -> InterferenceController {
  InterferenceController Controller;
  Controller.adopt(predictor().table());
  return Controller;
}

/// A worker with a serving task and, once it is admitted, a best-effort task,
/// the only one of its job. Each of its cores adds 0.1 to the logarithm of the
/// tail.
class SharedWorker {
public:
  /// Lets the controller observe the worker for `Period`.
  /// \param OwnTail tail that the serving task's own load causes.
  auto run(Millis OwnTail, Duration Period) -> void {
    for (Duration Elapsed{0}; Elapsed < Period; Elapsed += PollInterval)
      poll(OwnTail);
  }
  auto admit() -> std::uint32_t {
    auto Task = loudColocatedTask("only", 0);
    Task.OnlyTaskOfJob_ = true;
    const auto Admitted = Controller_.admit(Now_, Task);
    if (Admitted != 0)
      Percent_ = Admitted;
    return Admitted;
  }

  InterferenceController Controller_ = makeController();
  TimePoint Now_{Seconds{1}};
  /// Pace of the best-effort task in percent; none if it hasn't started.
  std::optional<std::uint32_t> Percent_;
  /// Work that it has done, in milliseconds at full pace.
  Millis Work_{0};
  /// The longest time for which it has worked on end.
  Duration LongestWork_{0};
  std::size_t Evictions_ = 0;

private:
  auto poll(Millis OwnTail) -> void {
    Now_ += PollInterval;
    const auto MilliCores =
        5000 * std::int64_t{Percent_.value_or(0)} / FullPace;
    const auto Growth = 0.1 * static_cast<double>(MilliCores) / 1000;
    const auto Tail = Millis{
        std::lround(static_cast<double>(OwnTail.count()) * std::exp(Growth))};
    std::vector<ColocatedTask> Tasks{servingWithTail(Tail)};
    if (Percent_) {
      Tasks.push_back(loudColocatedTask("only", MilliCores));
      Tasks.back().OnlyTaskOfJob_ = true;
      Work_ += PollInterval * *Percent_ / FullPace;
      WorkOnEnd_ = *Percent_ == 0 ? Duration{0} : WorkOnEnd_ + PollInterval;
      LongestWork_ = std::max(LongestWork_, WorkOnEnd_);
    }
    const auto Actions = Controller_.observe(Now_, Tasks);
    for (const auto &Each : Actions.Paces_)
      Percent_ = Each.Percent_;
    Evictions_ += Actions.Evictions_.size();
  }

  Duration WorkOnEnd_{0};
};

/// Lets the controller observe the same tasks at every poll for `Period`.
/// \returns all its actions.
auto observeFor(InterferenceController &Controller, TimePoint &Now,
                Duration Period, const std::vector<ColocatedTask> &Tasks)
    -> ControlActions {
  ControlActions AllActions;
  for (Duration Elapsed{0}; Elapsed < Period; Elapsed += PollInterval) {
    Now += PollInterval;
    const auto Actions = Controller.observe(Now, Tasks);
    AllActions.Paces_.insert(AllActions.Paces_.end(), Actions.Paces_.begin(),
                             Actions.Paces_.end());
    AllActions.Evictions_.insert(AllActions.Evictions_.end(),
                                 Actions.Evictions_.begin(),
                                 Actions.Evictions_.end());
  }
  return AllActions;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Pacing)

BOOST_AUTO_TEST_CASE(ATaskWithinTheSlackRunsAtFullPace) {
  std::vector<ServingSlack> Slacks{slackOf(0.9)};
  BOOST_TEST(allocatePace(loudTask(4000), predictor(), Slacks) == 100U);
  BOOST_TEST(Slacks.front().Remaining_ == 0.5,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(ATaskPartlyWithinTheSlackIsPacedToFit) {
  std::vector<ServingSlack> Slacks{slackOf(0.25)};
  BOOST_TEST(allocatePace(loudTask(5000), predictor(), Slacks) == 50U);
}

BOOST_AUTO_TEST_CASE(ATaskWithoutSlackIsPaused) {
  std::vector<ServingSlack> Slacks{slackOf(0.01)};
  BOOST_TEST(allocatePace(loudTask(5000), predictor(), Slacks) == 0U);
  BOOST_TEST(Slacks.front().Remaining_ == 0.01);
}

BOOST_AUTO_TEST_CASE(TheLeastSlackDeterminesThePace) {
  std::vector<ServingSlack> Slacks{slackOf(0.9), slackOf(0.2)};
  BOOST_TEST(allocatePace(loudTask(4000), predictor(), Slacks) == 50U);
}

BOOST_AUTO_TEST_CASE(ATaskWithoutInterferenceNeedsNoSlack) {
  std::vector<ServingSlack> Slacks{{"web", -1.0, true}};
  BOOST_TEST(allocatePace({"quiet", 9000}, predictor(), Slacks) == 100U);
}

BOOST_AUTO_TEST_CASE(
    AnInterferingTaskIsPausedBesideATailThatStaysOverItsTarget) {
  std::vector<ServingSlack> Slacks{{"web", 0.9, true}};
  BOOST_TEST(allocatePace(loudTask(1000), predictor(), Slacks) == 0U);
}

BOOST_AUTO_TEST_CASE(ATailThatStaysOverItsTargetPausesInterferingTasks) {
  auto Controller = makeController();
  TimePoint Now(Seconds{1});
  const std::vector<ColocatedTask> Tasks{servingWithTail(Millis{40}),
                                         loudColocatedTask("f", 5000)};
  const auto Actions = observeFor(Controller, Now, PollInterval, Tasks);
  BOOST_REQUIRE(Actions.Paces_.size() == 1U);
  BOOST_TEST(Actions.Paces_.front().Percent_ == 0U);
}

BOOST_AUTO_TEST_CASE(ATailThatIsFallingBelowItsTargetPausesNothing) {
  auto Controller = makeController();
  Controller.observe(
      TimePoint(Seconds{1}),
      {servingWithTail(Millis{60}), loudColocatedTask("ended", 23000)});
  // From 60 ms towards 6 ms: still over the target of 20 ms.
  const auto Actions =
      Controller.observe(TimePoint(Millis{1400}), {servingWithTail(Millis{28}),
                                                   loudColocatedTask("f", 0)});
  BOOST_TEST(Actions.Paces_.empty());
}

BOOST_AUTO_TEST_CASE(ATailThatFallsForLongWithoutReachingItsTargetPausesAll) {
  auto Controller = makeController();
  TimePoint Now(Seconds{1});
  auto Paused = false;
  for (const auto Tail : {60, 50, 42, 36, 31, 27, 24})
    for (const auto &Each :
         observeFor(Controller, Now, PollInterval,
                    {servingWithTail(Millis{Tail}), loudColocatedTask("f", 0)})
             .Paces_)
      Paused = Each.Percent_ == 0;
  BOOST_TEST(Paused);
}

BOOST_AUTO_TEST_CASE(AFallingTailIsEstimatedAtItsSteadyState) {
  TailTracker Tracker;
  Tracker.observe(TimePoint(Seconds{1}), {servingWithTail(Millis{300})},
                  predictor());
  Tracker.observe(TimePoint(Millis{1500}), {servingWithTail(Millis{100})},
                  predictor());
  const auto *Estimate = Tracker.find({{"serves"}, 0});
  BOOST_REQUIRE(Estimate != nullptr);
  BOOST_TEST(Estimate->SteadyState_ < std::log(40.0));
}

BOOST_AUTO_TEST_CASE(ASteadyTailIsEstimatedAsMeasured) {
  TailTracker Tracker;
  Tracker.observe(TimePoint(Seconds{1}), {servingWithTail(Millis{10})},
                  predictor());
  Tracker.observe(TimePoint(Millis{1500}), {servingWithTail(Millis{10})},
                  predictor());
  BOOST_TEST(Tracker.find({{"serves"}, 0})->SteadyState_ == std::log(10.0),
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(TheBaselineExcludesInterference) {
  TailTracker Tracker;
  const std::vector<ColocatedTask> Tasks{servingWithTail(Millis{10}),
                                         loudColocatedTask("f", 3000)};
  Tracker.observe(TimePoint(Seconds{1}), Tasks, predictor());
  BOOST_TEST(Tracker.find({{"serves"}, 0})->Baseline_ == std::log(10.0) - 0.3,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(SamplesFarApartGiveNoChange) {
  TailTracker Tracker;
  Tracker.observe(TimePoint(Seconds{1}), {servingWithTail(Millis{10})},
                  predictor());
  Tracker.observe(TimePoint(Seconds{4}), {servingWithTail(Millis{10})},
                  predictor());
  BOOST_TEST(!Tracker.find({{"serves"}, 0})->ChangeKnown_);
}

BOOST_AUTO_TEST_CASE(TasksArePacedBeforeTheirInterferenceIsMeasured) {
  auto Controller = makeController();
  TimePoint Now(Seconds{1});
  std::vector<ColocatedTask> Tasks{servingWithTail(Millis{10})};
  for (const auto *Job : {"a", "b", "c", "d"})
    Tasks.push_back(loudColocatedTask(Job, 0));
  const auto Actions = observeFor(Controller, Now, PollInterval, Tasks);
  // Four tasks of five cores each would raise the tail from 10 to 74 ms.
  BOOST_TEST(Actions.Paces_.size() >= 3U);
}

BOOST_AUTO_TEST_CASE(NoInterferingTaskStartsBesideATailOverItsTarget) {
  auto Controller = makeController();
  TimePoint Now(Seconds{1});
  observeFor(Controller, Now, PollInterval, {servingWithTail(Millis{40})});
  BOOST_TEST(Controller.admit(Now, loudColocatedTask("new", 0)) == 0U);
}

BOOST_AUTO_TEST_CASE(TheOnlyTaskOfAJobStartsWithLittleSlack) {
  auto Controller = makeController();
  TimePoint Now(Seconds{1});
  observeFor(Controller, Now, PollInterval, {servingWithTail(Millis{19})});
  auto Task = loudColocatedTask("new", 0);
  BOOST_TEST(Controller.admit(Now, Task) == 0U);
  Task.OnlyTaskOfJob_ = true;
  BOOST_TEST(Controller.admit(Now, Task) > 0U);
  BOOST_TEST(Controller.startPace(Task.Task_, Task.Attempt_) < 100U);
}

// The tail was taken for the work of best-effort tasks, though none worked.
BOOST_FIXTURE_TEST_CASE(ATailOverItsTargetByItsOwnLoadKeepsNoJobFromStarting,
                        SharedWorker) {
  run(Millis{40}, Millis{1000});
  BOOST_TEST(admit() == 0U);
  run(Millis{40}, Millis{1500});
  BOOST_TEST(Controller_.admit(Now_, loudColocatedTask("other", 0)) == 0U);
  BOOST_TEST(admit() > 0U);
  BOOST_TEST(Percent_.value_or(0) <= 10U);
}

BOOST_FIXTURE_TEST_CASE(AJobBesideATailOverItsTargetByItsOwnLoadIsDone,
                        SharedWorker) {
  run(Millis{40}, Seconds{3});
  BOOST_REQUIRE(admit() > 0U);
  run(Millis{40}, Seconds{30});
  BOOST_TEST((Work_ > Millis{1000}));
  BOOST_TEST((LongestWork_ < Seconds{3}));
  BOOST_TEST(Evictions_ == 0U);
}

BOOST_FIXTURE_TEST_CASE(ATaskOnTrialIsPausedOnceTheTailGrows, SharedWorker) {
  run(Millis{40}, Seconds{3});
  BOOST_REQUIRE(admit() > 0U);
  run(Millis{40}, PollInterval);
  BOOST_TEST(Percent_.value_or(0) > 0U);
  run(Millis{60}, PollInterval);
  BOOST_TEST(Percent_.value_or(0) == 0U);
}

BOOST_FIXTURE_TEST_CASE(AfterATrialTheSlackDeterminesThePaceAgain,
                        SharedWorker) {
  run(Millis{40}, Seconds{3});
  BOOST_REQUIRE(admit() > 0U);
  run(Millis{40}, Seconds{1});
  run(Millis{6}, Seconds{4});
  BOOST_TEST(Percent_.value_or(0) == FullPace);
  // Without the task the tail would be at 15 of 20 ms.
  run(Millis{15}, Seconds{4});
  BOOST_TEST(Percent_.value_or(0) < FullPace);
}

BOOST_AUTO_TEST_CASE(StartsBetweenTwoSamplesShareTheSlack) {
  auto Controller = makeController();
  TimePoint Now(Seconds{1});
  observeFor(Controller, Now, PollInterval, {servingWithTail(Millis{8})});
  std::uint32_t Admitted = 0;
  for (const auto *Job : {"a", "b", "c", "d", "e"})
    Admitted += Controller.admit(Now, loudColocatedTask(Job, 0)) == 0 ? 0 : 1;
  BOOST_TEST(Admitted >= 1U);
  BOOST_TEST(Admitted <= 2U);
}

BOOST_AUTO_TEST_CASE(ATaskWithoutCheckpointsIsPausedLongerBeforeEviction) {
  auto Controller = makeController();
  TimePoint Now(Seconds{1});
  auto WithoutCheckpoints = loudColocatedTask("loses", 0);
  WithoutCheckpoints.Checkpoints_ = false;
  const std::vector<ColocatedTask> Tasks{servingWithTail(Millis{40}),
                                         loudColocatedTask("saves", 0),
                                         WithoutCheckpoints};
  const auto EarlyActions = observeFor(Controller, Now, Seconds{3}, Tasks);
  for (const auto &Each : EarlyActions.Evictions_)
    BOOST_TEST(Each.first.Job_.Value_ == "saves");
  BOOST_TEST(!EarlyActions.Evictions_.empty());
}

BOOST_AUTO_TEST_CASE(ActionsNameTheServingTaskThatCausedThem) {
  auto Controller = makeController();
  const auto Actions =
      Controller.observe(TimePoint(Seconds{1}), {servingWithTail(Millis{40}),
                                                 loudColocatedTask("f", 3000)});
  BOOST_TEST(!Actions.Paces_.empty());
  BOOST_TEST(Actions.Explanation_.find("serves/0 at 40 of 20 ms") == 0U);
}

BOOST_AUTO_TEST_CASE(AnAdoptedTaskGetsAPaceOrder) {
  auto Controller = makeController();
  TimePoint Now(Seconds{1});
  auto Task = loudColocatedTask("adopted", 0);
  Task.PaceUnknown_ = true;
  const auto Actions = observeFor(Controller, Now, PollInterval,
                                  {servingWithTail(Millis{6}), Task});
  BOOST_REQUIRE(Actions.Paces_.size() == 1U);
  BOOST_TEST(Actions.Paces_.front().Percent_ == 100U);
}

BOOST_AUTO_TEST_SUITE_END()
