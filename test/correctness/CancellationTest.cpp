/// \file
/// Tests what callers who cancel jobs are told, and that no cancelled job runs,
/// on a virtual clock with the fake store.

#include "test/correctness/EntryFixture.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// An owner that was paused until the other entry had acquired its shard.
struct PausedOwnerFixture : EntryFixture {
  PausedOwnerFixture() : Old_(owner()), New_(1 - Old_) {
    Paused_[Old_] = true;
    advance(Millis{6000});
    BOOST_REQUIRE(Entries_[New_]->ownedShards() == 1U);
    BOOST_REQUIRE(Entries_[Old_]->ownedShards() == 1U);
  }

  auto resume() -> void { Paused_[Old_] = false; }

  std::size_t Old_;
  std::size_t New_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Cancellation)

BOOST_AUTO_TEST_CASE(TheOwnerLogsWhatItKnewOfAnUnknownJob) {
  EntryFixture Fixture;
  const auto Owner = Fixture.owner();
  Fixture.advance(Millis{12000});
  Fixture.cancel(Owner, "a");
  Fixture.advance(Millis{200});
  const auto Found =
      std::find_if(Fixture.Log_.begin(), Fixture.Log_.end(), [](auto &Each) {
        return Each.Event_ == "cancelled-unknown";
      });
  BOOST_REQUIRE(Found != Fixture.Log_.end());
  BOOST_TEST(Found->Subject_ == "a");
  BOOST_TEST(Found->Detail_.find("submission not queued") != std::string::npos);
  BOOST_TEST(Found->Detail_.find("verified") != std::string::npos);
  BOOST_TEST(Fixture.Entries_[Owner]->counters().UnknownJobsCancelled_ == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
