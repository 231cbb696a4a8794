/// \file
/// Tests the ends of real processes that were told to stop.

#include "test/process/Cluster.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace skylark;
using namespace skylark::ProcessTest;

BOOST_AUTO_TEST_SUITE(Stops)

// A second signal ended the process at once, whatever was unanswered.
BOOST_AUTO_TEST_CASE(ASecondSignalDoesNotCutTheStopShort) {
  Cluster System(ClusterOptions{});
  System.startAll();
  const auto IsStopping = [&] {
    return System.log("entry-a").find("\"stopping\"") != std::string::npos;
  };
  System.signal("entry-a", SIGTERM);
  waitFor("the entry to begin its stop", IsStopping);
  System.signal("entry-a", SIGTERM);
  BOOST_TEST(System.waitForExit("entry-a") == 0);
  BOOST_TEST(System.log("entry-a").find("stop-ended") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
