/// \file
/// Tests how interference between images is learned from samples, and how an
/// agent limits it.

#include "core/Interference.h"
#include "core/InterferenceController.h"
#include "test/correctness/ColocatedTasks.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace skylark;

namespace {

constexpr Millis Target{18};

/// Makes samples of a worker where the tail of "web" has a baseline of
/// `BaselineMs`, each core of "loud" adds 0.5 to the logarithm of the tail, and
/// "quiet" adds nothing.
class SampleSource {
public:
  explicit SampleSource(double BaselineMs = 6.0)
      : Baseline_(std::log(BaselineMs)) {}

  auto sample(double LoudCores, double QuietCores) -> ColocationSample {
    const auto Level = Baseline_ + 0.5 * LoudCores;
    ColocationSample Sample;
    Sample.Serving_.push_back(
        {"web", Target, Millis{static_cast<std::int64_t>(std::exp(Level))},
         Baseline_, Level - Level_, Sampled_});
    Sample.BestEffortWork_.push_back({"loud", toMilliCores(LoudCores),
                                      toMilliCores(LoudCores - LoudCores_)});
    Sample.BestEffortWork_.push_back({"quiet", toMilliCores(QuietCores),
                                      toMilliCores(QuietCores - QuietCores_)});
    Level_ = Level;
    LoudCores_ = LoudCores;
    QuietCores_ = QuietCores;
    Sampled_ = true;
    return Sample;
  }

private:
  static auto toMilliCores(double Cores) -> std::int64_t {
    return static_cast<std::int64_t>(Cores * 1000);
  }

  double Baseline_;
  double Level_ = 0;
  double LoudCores_ = 0;
  double QuietCores_ = 0;
  bool Sampled_ = false;
};

auto learnedModel() -> InterferenceModel {
  InterferenceModel Model;
  SampleSource Each;
  for (int Round = 0; Round < 12; ++Round) {
    Model.learn(Each.sample(0, 0));
    Model.learn(Each.sample(2, 0));
    Model.learn(Each.sample(0, 4));
    Model.learn(Each.sample(3, 4));
  }
  Model.refresh();
  return Model;
}

auto servingWithTail(Millis Tail) -> ColocatedTask {
  return Test::servingTask(Target, Tail);
}

auto bestEffortWithImage(const std::string &Image) -> ColocatedTask {
  return Test::bestEffortTask(Image, Image, 3000, 3000);
}

auto paceOf(const ControlActions &Actions, const std::string &Image) -> int {
  for (const auto &Each : Actions.Paces_)
    if (Each.Task_.Job_.Value_ == Image)
      return static_cast<int>(Each.Percent_);
  return -1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Interference)

BOOST_AUTO_TEST_CASE(DistinguishesLoudFromQuietImages) {
  const auto Model = learnedModel();
  const auto &Predictor = Model.predictor();
  BOOST_TEST(Predictor.predictGrowth("web", "loud", 2000) > 0.7);
  BOOST_TEST(Predictor.predictGrowth("web", "quiet", 2000) < 0.1);
}

BOOST_AUTO_TEST_CASE(PredictedInterferenceIsNeverNegative) {
  InterferenceModel Model;
  SampleSource Each;
  for (int Round = 0; Round < 10; ++Round) {
    auto Calm = Each.sample(0, 4);
    Calm.Serving_.front().Change_ = -1.0;
    Model.learn(Calm);
    auto Alone = Each.sample(0, 0);
    Alone.Serving_.front().Change_ = 1.0;
    Model.learn(Alone);
  }
  Model.refresh();
  BOOST_TEST(Model.predictor().predictGrowth("web", "quiet", 1000) >= 0.0);
}

BOOST_AUTO_TEST_CASE(SlackShrinksWithTheTarget) {
  const auto Model = learnedModel();
  const auto &Predictor = Model.predictor();
  BOOST_TEST(Predictor.slack("web", Target) >
             Predictor.slack("web", Millis{9}));
}

BOOST_AUTO_TEST_CASE(ASuccessorStartsFromTheLearnedTable) {
  const auto Model = learnedModel();
  InterferenceModel Successor;
  Successor.adopt(Model.predictor().table());
  Successor.refresh();
  BOOST_TEST(Successor.predictor().predictGrowth("web", "loud", 2000) > 0.7);
}

BOOST_AUTO_TEST_CASE(NoRefreshWithoutNewSamples) {
  auto Model = learnedModel();
  BOOST_TEST(!Model.refresh());
}

BOOST_AUTO_TEST_CASE(PausesOnlyInterferingImages) {
  InterferenceController Controller;
  Controller.adopt(learnedModel().predictor().table());
  const auto Actions =
      Controller.observe(TimePoint(Seconds{1}), {servingWithTail(Millis{30}),
                                                 bestEffortWithImage("loud"),
                                                 bestEffortWithImage("quiet")});
  BOOST_TEST(paceOf(Actions, "loud") == 0);
  BOOST_TEST(paceOf(Actions, "quiet") == -1);
}

BOOST_AUTO_TEST_CASE(PausesAllWherePredictionsAreUnreliable) {
  InterferenceController Controller;
  Controller.adopt(learnedModel().predictor().table());
  const std::vector<ColocatedTask> Tasks{servingWithTail(Millis{30}),
                                         bestEffortWithImage("quiet")};
  BOOST_TEST(
      paceOf(Controller.observe(TimePoint(Seconds{1}), Tasks), "quiet") == -1);
  BOOST_TEST(
      paceOf(Controller.observe(TimePoint(Millis{2300}), Tasks), "quiet") == 0);
}

BOOST_AUTO_TEST_CASE(ResumesOnceATailFallsBelowItsTarget) {
  InterferenceController Controller;
  Controller.adopt(learnedModel().predictor().table());
  Controller.observe(TimePoint(Seconds{1}), {servingWithTail(Millis{30}),
                                             bestEffortWithImage("loud")});
  const auto Unchanged = Controller.observe(
      TimePoint(Millis{1400}),
      {servingWithTail(Millis{30}), bestEffortWithImage("loud")});
  BOOST_TEST(paceOf(Unchanged, "loud") == -1);
  const auto Falling = Controller.observe(
      TimePoint(Millis{1800}),
      {servingWithTail(Millis{15}), bestEffortWithImage("loud")});
  BOOST_TEST(paceOf(Falling, "loud") == 100);
}

BOOST_AUTO_TEST_CASE(EvictsTasksThatStayPaused) {
  InterferenceController Controller;
  Controller.adopt(learnedModel().predictor().table());
  const std::vector<ColocatedTask> Tasks{servingWithTail(Millis{30}),
                                         bestEffortWithImage("loud")};
  BOOST_TEST(
      Controller.observe(TimePoint(Seconds{1}), Tasks).Evictions_.empty());
  BOOST_TEST(
      Controller.observe(TimePoint(Seconds{3}), Tasks).Evictions_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(TablesWithSmallDifferencesAreApproximatelyEqual) {
  const InterferenceTable Table{{{"portal", 2.0, 0.3, {{"claims", 0.20}}}}};
  auto Near = Table;
  Near.Rows_.front().Coefficients_.front().PerCore_ = 0.21;
  auto Far = Table;
  Far.Rows_.front().Coefficients_.front().PerCore_ = 0.30;
  auto Longer = Table;
  Longer.Rows_.front().Coefficients_.push_back({"reports", 0.1});
  BOOST_TEST(isApproxEqual(Table, Near));
  BOOST_TEST(!isApproxEqual(Table, Far));
  BOOST_TEST(!isApproxEqual(Table, Longer));
}

BOOST_AUTO_TEST_SUITE_END()
