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

BOOST_AUTO_TEST_SUITE_END()
