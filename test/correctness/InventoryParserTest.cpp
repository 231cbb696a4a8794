/// \file
/// Tests the parser of the list of attempts of a worker of the users' platform.

#include "platform/InventoryParser.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace skylark;

namespace {

using Json = nlohmann::json;

/// A list of two running and two ended attempts, with a row between each two.
auto listWith(const Json &RunningRow, const Json &EndedRow) -> Json {
  return {{"born", 3},
          {"clock_ms", 5000},
          {"running", Json::array({{"j.0.0.1", 1, "", 40, 7},
                                   RunningRow,
                                   {"j.0.0.2", 2, "c", 50.5, 8}})},
          {"finished", Json::array({{1, "j.0.1.1", 1, "done", ""},
                                    EndedRow,
                                    {3, "j.0.1.2", 2, "lapsed", "c"}})}};
}

const Json ValidRunningRow{"j.0.0.3", 1, "", 0, 0};
const Json ValidEndedRow{2, "j.0.1.3", 1, "failed", ""};

} // namespace

BOOST_AUTO_TEST_SUITE(InventoryParser)

BOOST_AUTO_TEST_CASE(ParsesRunningAndEndedAttempts) {
  const auto List =
      Platform::parseAttemptList(listWith(ValidRunningRow, ValidEndedRow));
  BOOST_REQUIRE(List.has_value());
  BOOST_TEST(List->Problem_.empty());
  BOOST_TEST(List->Worker_ == 3U);
  BOOST_TEST((List->Clock_ == Millis{5000}));
  BOOST_REQUIRE(List->Running_.size() == 3U);
  BOOST_TEST((List->Running_[2].Bind_.Task_ == TaskId{{"j"}, 2, 0, 0}));
  BOOST_TEST(List->Running_[2].Bind_.Attempt_ == 2U);
  BOOST_TEST(List->Running_[2].Progress_ == 50U);
  BOOST_TEST(List->Running_[2].MilliCores_ == 8);
  BOOST_REQUIRE(List->Ended_.size() == 3U);
  BOOST_TEST((List->Ended_[0].Task_.Phase_ == TaskPhase::Finished));
  BOOST_TEST(List->Ended_[2].Number_ == 3U);
  BOOST_TEST((List->Ended_[2].Task_.Reason_ == ErrorKind::LeaseExpired));
}

BOOST_AUTO_TEST_CASE(ARowThatCannotBeReadHidesNoOther) {
  for (const auto &Row : std::vector<Json>{nullptr,
                                           Json::object(),
                                           Json::array(),
                                           {"j", 1, "", 0},
                                           {"j.0.0", 1, "", 0},
                                           {"j.0.0.4294967296", 1, "", 0},
                                           {"j.0.0.-1", 1, "", 0},
                                           {"j.0.0.1x", 1, "", 0},
                                           {7, 1, "", 0},
                                           {"j.0.0.3", 4294967296, "", 0},
                                           {"j.0.0.3", -1, "", 0},
                                           {"j.0.0.3", 1.5, "", 0}}) {
    const auto List = Platform::parseAttemptList(listWith(Row, ValidEndedRow));
    BOOST_REQUIRE(List.has_value());
    BOOST_TEST(List->Running_.size() == 2U, Row.dump());
    BOOST_TEST(List->Ended_.size() == 3U);
    BOOST_TEST(!List->Problem_.empty());
  }
  for (const auto &Row : std::vector<Json>{nullptr,
                                           Json::array(),
                                           {1e300, "j.0.1.3", 1, "done", ""},
                                           {-2, "j.0.1.3", 1, "done", ""},
                                           {2, "j.0.1", 1, "done", ""}}) {
    const auto List =
        Platform::parseAttemptList(listWith(ValidRunningRow, Row));
    BOOST_REQUIRE(List.has_value());
    BOOST_TEST(List->Ended_.size() == 2U, Row.dump());
    BOOST_TEST(List->Running_.size() == 3U);
    BOOST_TEST(!List->Problem_.empty());
  }
}

BOOST_AUTO_TEST_CASE(AnImpossibleMeasurementHidesNoAttempt) {
  for (const auto &Odd :
       std::vector<Json>{1e300, -1, "9", nullptr, Json::array()}) {
    const auto List = Platform::parseAttemptList(
        listWith({"j.0.0.3", 1, Odd, Odd, Odd}, ValidEndedRow));
    BOOST_REQUIRE(List.has_value());
    BOOST_REQUIRE(List->Running_.size() == 3U);
    BOOST_TEST(List->Running_[1].Progress_ == 0U);
    BOOST_TEST(List->Running_[1].MilliCores_ == 0);
  }
}

BOOST_AUTO_TEST_CASE(AnEndOfAnUnknownKindIsNeitherSuccessNorFailure) {
  for (const auto &How : std::vector<Json>{"melted", 7, nullptr}) {
    const auto List = Platform::parseAttemptList(
        listWith(ValidRunningRow, {2, "j.0.1.3", 1, How, ""}));
    BOOST_REQUIRE(List.has_value());
    BOOST_REQUIRE(List->Ended_.size() == 3U);
    BOOST_TEST((List->Ended_[1].Task_.Phase_ == TaskPhase::Stopped));
  }
}

BOOST_AUTO_TEST_CASE(AnAnswerThatIsNoListIsRejected) {
  for (const auto &Answer : std::vector<Json>{nullptr,
                                              Json::array(),
                                              Json::object(),
                                              {{"clock_ms", 1}},
                                              {{"clock_ms", 1e300},
                                               {"running", Json::array()},
                                               {"finished", Json::array()}}})
    BOOST_TEST(!Platform::parseAttemptList(Answer).has_value(), Answer.dump());
}

BOOST_AUTO_TEST_SUITE_END()
