/// \file
/// Tests that all mistakes in settings and documents are reported at once, and
/// that the examples have none.

#include "wire/Settings.h"
#include "wire/DocumentJson.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace skylark;

namespace {

auto hasPath(const std::vector<Problem> &Problems, const std::string &Path)
    -> bool {
  for (const auto &Each : Problems)
    if (Each.Path_ == Path)
      return true;
  return false;
}

auto textOf(const std::filesystem::path &File) -> std::string {
  std::ifstream In(File);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsErrors)

BOOST_AUTO_TEST_CASE(AllMistakesAreReportedAtOnce) {
  const auto Parsed = parseSettings(R"({
    // Three mistakes: a wrong type, a port out of range, an unknown field.
    "role": "entry", "id": 7, "environment": "production",
    "data_centre": "hobart", "http": {"address": "127.0.0.1", "port": 70000},
    "link": {"address": "127.0.0.1", "port": 2}, "colour": "blue",
    "store": {"address": "127.0.0.1", "port": 3}})");
  BOOST_TEST(Parsed.Problems_.size() == 3U);
  BOOST_TEST(hasPath(Parsed.Problems_, "id"));
  BOOST_TEST(hasPath(Parsed.Problems_, "http.port"));
  BOOST_TEST(hasPath(Parsed.Problems_, "colour"));
}

// An entry of a fleet of hundreds of workers did not start, because the
// settings allowed fewer store calls a second than its store serves.
BOOST_AUTO_TEST_CASE(EverySizeOfDeploymentIsAllowed) {
  struct Size {
    int StoreCalls_;
    int Descriptors_;
    const char *Share_;
    int LinkMbps_;
  };
  // From two workers' entries up to the two-year target of 14,000 workers.
  for (const auto &Each :
       {Size{20, 1024, "0.05", 1}, Size{400, 4100, "0.25", 1000},
        Size{1200, 4100, "0.12", 10}, Size{3200, 8192, "0.5", 200},
        Size{200000, 1048576, "64", 100000}}) {
    std::ostringstream Text;
    Text << R"({"role": "entry", "id": "e", "environment": "production",
      "data_centre": "hobart", "http": {"endpoint": "127.0.0.1:1"},
      "link": {"endpoint": "127.0.0.1:2"}, "store": {"endpoint":
      "127.0.0.1:3", "calls_per_second": )"
         << Each.StoreCalls_ << R"(}, "limits": {"descriptors": )"
         << Each.Descriptors_ << R"(, "processor_share": )" << Each.Share_
         << R"(, "cores": 1, "link_mbps": )" << Each.LinkMbps_ << "}}";
    const auto Problems = parseSettings(Text.str()).Problems_;
    for (const auto &Mistake : Problems)
      BOOST_ERROR(describe(Mistake));
  }
}

BOOST_AUTO_TEST_CASE(AnExceededMaximumIsNamedWithItsReason) {
  const auto Parsed = parseSettings(R"({
    "role": "entry", "id": "e", "environment": "production",
    "data_centre": "hobart", "http": {"endpoint": "127.0.0.1:1"},
    "link": {"endpoint": "127.0.0.1:2"},
    "store": {"endpoint": "127.0.0.1:3", "calls_per_second": 1000001}})");
  BOOST_REQUIRE(Parsed.Problems_.size() == 1U);
  const auto Text = describe(Parsed.Problems_[0]);
  BOOST_TEST(Text.find("store.calls_per_second") != std::string::npos);
  BOOST_TEST(Text.find("1000000, the maximum because") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(MalformedAndDeepTextsAreRejected) {
  BOOST_TEST(!parseSettings("{").Problems_.empty());
  BOOST_TEST(!parseDocument(std::string(100000, '[')).Problems_.empty());
  BOOST_TEST(!parseDocument("[]").Problems_.empty());
}

BOOST_AUTO_TEST_CASE(ExamplesAreValid) {
  int CheckedFiles = 0;
  for (const auto &Each :
       std::filesystem::recursive_directory_iterator(SKYLARK_EXAMPLES)) {
    if (Each.path().extension() != ".json" ||
        Each.path().filename() == "job.json")
      continue;
    const auto Text = textOf(Each.path());
    const auto IsDocument = Each.path().filename() == "document.json";
    const auto Problems = IsDocument ? parseDocument(Text).Problems_
                                     : parseSettings(Text).Problems_;
    for (const auto &Mistake : Problems)
      BOOST_ERROR(Each.path().string() + ": " + describe(Mistake));
    ++CheckedFiles;
  }
  BOOST_TEST(CheckedFiles >= 6);
}

BOOST_AUTO_TEST_CASE(TimeForWhichEndedJobsAreKnownIsChecked) {
  const auto Parse = [](const std::string &Value) {
    return parseSettings(R"({"role": "entry", "id": "e",
      "environment": "production", "data_centre": "hobart",
      "http": {"endpoint": "127.0.0.1:1"}, "link": {"endpoint":
      "127.0.0.1:2"}, "store": {"endpoint": "127.0.0.1:3"},
      "policy": {"job_status_s": )" +
                         Value + "}}");
  };
  const auto Parsed = Parse("120");
  BOOST_TEST(Parsed.Problems_.empty());
  BOOST_TEST((Parsed.Settings_.Entry_.Policy_.JobStatusTime_ == Seconds{120}));
  BOOST_TEST(hasPath(Parse("0").Problems_, "policy.job_status_s"));
}

BOOST_AUTO_TEST_SUITE_END()
