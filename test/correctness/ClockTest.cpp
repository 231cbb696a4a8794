/// \file
/// Tests the clock by which leases and grants are measured.

#include "runtime/Process.h"

#include <boost/test/unit_test.hpp>

#include <ctime>

using namespace skylark;

namespace {

auto bootTime() -> std::chrono::nanoseconds {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return Seconds{Time.tv_sec} + std::chrono::nanoseconds{Time.tv_nsec};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Clocks)

BOOST_AUTO_TEST_CASE(LeasesAreMeasuredOnTheClockThatCountsSuspension) {
  const auto Before = bootTime();
  const auto Now = currentMoment().Steady_.time_since_epoch();
  BOOST_TEST((Before <= Now && Now <= bootTime()));
}

BOOST_AUTO_TEST_SUITE_END()
