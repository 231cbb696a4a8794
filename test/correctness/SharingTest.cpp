/// \file
/// Tests what is learned of images that disturb each other, and what an agent
/// does about it.

#include "core/Interference.h"
#include "core/InterferenceController.h"
#include "test/correctness/SharingTasks.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace skylark;

namespace {

constexpr Millis Target{18};

/// Looks at a worker where the tail of "web" follows its own level of 6 ms and
/// half a logarithm for each core of "loud"; "quiet" doesn't matter.
class Looks {
public:
  explicit Looks(double Own = 6.0) : Baseline_(std::log(Own)) {}

  auto with(double LoudCores, double QuietCores) -> ColocationSample {
    const auto Level = Baseline_ + 0.5 * LoudCores;
    ColocationSample Sample;
    Sample.Serving_.push_back(
        {"web", Target, Millis{static_cast<std::int64_t>(std::exp(Level))},
         Baseline_, Level - Level_, Looked_});
    Sample.BestEffortWork_.push_back(
        {"loud", milli(LoudCores), milli(LoudCores - LoudCores_)});
    Sample.BestEffortWork_.push_back(
        {"quiet", milli(QuietCores), milli(QuietCores - QuietCores_)});
    Level_ = Level;
    LoudCores_ = LoudCores;
    QuietCores_ = QuietCores;
    Looked_ = true;
    return Sample;
  }

private:
  static auto milli(double Cores) -> std::int64_t {
    return static_cast<std::int64_t>(Cores * 1000);
  }

  double Baseline_;
  double Level_ = 0;
  double LoudCores_ = 0;
  double QuietCores_ = 0;
  bool Looked_ = false;
};

auto learned() -> InterferenceModel {
  InterferenceModel Model;
  Looks Each;
  for (int Round = 0; Round < 12; ++Round) {
    Model.learn(Each.with(0, 0));
    Model.learn(Each.with(2, 0));
    Model.learn(Each.with(0, 4));
    Model.learn(Each.with(3, 4));
  }
  Model.refresh();
  return Model;
}

auto serving(Millis Tail) -> ColocatedTask {
  return Test::servingTask(Target, Tail);
}

auto filling(const std::string &Image) -> ColocatedTask {
  return Test::fillingTask(Image, Image, 3000, 3000);
}

auto paceOf(const ControlActions &Orders, const std::string &Image) -> int {
  for (const auto &Each : Orders.Paces_)
    if (Each.Task_.Job_.Value_ == Image)
      return static_cast<int>(Each.Percent_);
  return -1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Sharing)

BOOST_AUTO_TEST_CASE(TellsTheLoudImageFromTheQuietOne) {
  const auto Model = learned();
  const auto &Known = Model.predictor();
  BOOST_TEST(Known.predictGrowth("web", "loud", 2000) > 0.7);
  BOOST_TEST(Known.predictGrowth("web", "quiet", 2000) < 0.1);
}

BOOST_AUTO_TEST_CASE(NoPressIsEverNegative) {
  InterferenceModel Model;
  Looks Each;
  for (int Round = 0; Round < 10; ++Round) {
    auto Calm = Each.with(0, 4);
    Calm.Serving_.front().Change_ = -1.0;
    Model.learn(Calm);
    auto Alone = Each.with(0, 0);
    Alone.Serving_.front().Change_ = 1.0;
    Model.learn(Alone);
  }
  Model.refresh();
  BOOST_TEST(Model.predictor().predictGrowth("web", "quiet", 1000) >= 0.0);
}

BOOST_AUTO_TEST_CASE(SlackShrinksWithTheOwnLevel) {
  const auto Model = learned();
  const auto &Known = Model.predictor();
  BOOST_TEST(Known.slack("web", Target) > Known.slack("web", Millis{9}));
}

BOOST_AUTO_TEST_CASE(ASuccessorBeginsWithWhatWasLearned) {
  const auto Model = learned();
  InterferenceModel Successor;
  Successor.adopt(Model.predictor().table());
  Successor.refresh();
  BOOST_TEST(Successor.predictor().predictGrowth("web", "loud", 2000) > 0.7);
}

BOOST_AUTO_TEST_CASE(NothingNewNeedsNoRefresh) {
  auto Model = learned();
  BOOST_TEST(!Model.refresh());
}

BOOST_AUTO_TEST_CASE(PausesOnlyWhatPresses) {
  InterferenceController Guard;
  Guard.adopt(learned().predictor().table());
  const auto Orders =
      Guard.observe(TimePoint(Seconds{1}),
                    {serving(Millis{30}), filling("loud"), filling("quiet")});
  BOOST_TEST(paceOf(Orders, "loud") == 0);
  BOOST_TEST(paceOf(Orders, "quiet") == -1);
}

BOOST_AUTO_TEST_CASE(PausesAllWhereKnowledgeDoesNotHelp) {
  InterferenceController Guard;
  Guard.adopt(learned().predictor().table());
  const std::vector<ColocatedTask> Tasks{serving(Millis{30}), filling("quiet")};
  BOOST_TEST(paceOf(Guard.observe(TimePoint(Seconds{1}), Tasks), "quiet") ==
             -1);
  BOOST_TEST(paceOf(Guard.observe(TimePoint(Millis{2300}), Tasks), "quiet") ==
             0);
}

BOOST_AUTO_TEST_CASE(ResumesOnceTailsAreCalm) {
  InterferenceController Guard;
  Guard.adopt(learned().predictor().table());
  Guard.observe(TimePoint(Seconds{1}), {serving(Millis{30}), filling("loud")});
  const auto Still = Guard.observe(TimePoint(Millis{1400}),
                                   {serving(Millis{15}), filling("loud")});
  BOOST_TEST(paceOf(Still, "loud") == -1);
  const auto Calm = Guard.observe(TimePoint(Millis{1800}),
                                  {serving(Millis{7}), filling("loud")});
  BOOST_TEST(paceOf(Calm, "loud") == 100);
}

BOOST_AUTO_TEST_CASE(SendsAwayWhatStaysPaused) {
  InterferenceController Guard;
  Guard.adopt(learned().predictor().table());
  const std::vector<ColocatedTask> Tasks{serving(Millis{30}), filling("loud")};
  BOOST_TEST(Guard.observe(TimePoint(Seconds{1}), Tasks).Evictions_.empty());
  BOOST_TEST(Guard.observe(TimePoint(Seconds{3}), Tasks).Evictions_.size() ==
             1U);
}

BOOST_AUTO_TEST_CASE(TablesOfSmallDifferencesAreAlike) {
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
