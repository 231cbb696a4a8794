/// \file
/// Tests which entry is chosen to own a shard, by capacity and hash.

#include "core/OwnerChoice.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace skylark;

BOOST_AUTO_TEST_SUITE(OwnerChoice)

BOOST_AUTO_TEST_CASE(NoOwnerWithoutCandidates) {
  BOOST_TEST(chooseOwner({}, 0).empty());
}

BOOST_AUTO_TEST_CASE(ALowCapacityEntryOwnsNothingBesideALargerOne) {
  for (ShardNumber Shard = 0; Shard < 64; ++Shard)
    BOOST_TEST(chooseOwner({{{"weak"}, 100}, {{"strong"}, 500}}, Shard) ==
               EntryId{"strong"});
}

BOOST_AUTO_TEST_CASE(ALowCapacityEntryOwnsWhereItIsAlone) {
  BOOST_TEST(chooseOwner({{{"weak"}, 100}}, 7) == EntryId{"weak"});
}

BOOST_AUTO_TEST_CASE(EntriesOfSimilarCapacityShareTheShards) {
  std::set<EntryId> Owners;
  for (ShardNumber Shard = 0; Shard < 64; ++Shard)
    Owners.insert(chooseOwner({{{"a"}, 400}, {{"b"}, 500}}, Shard));
  BOOST_TEST(Owners.size() == 2U);
}

BOOST_AUTO_TEST_CASE(AnEntryThatLeavesMovesOnlyItsOwnShards) {
  const std::vector<EntryCandidate> All{{{"a"}, 1}, {{"b"}, 1}, {{"c"}, 1}};
  const std::vector<EntryCandidate> Remaining{{{"a"}, 1}, {{"b"}, 1}};
  for (ShardNumber Shard = 0; Shard < 64; ++Shard) {
    const auto Before = chooseOwner(All, Shard);
    if (Before != EntryId{"c"})
      BOOST_TEST(chooseOwner(Remaining, Shard) == Before);
  }
}

BOOST_AUTO_TEST_CASE(HalfTheCapacityIsMuchLess) {
  BOOST_TEST(hasMuchLessCapacity(250, 500));
  BOOST_TEST(!hasMuchLessCapacity(251, 500));
}

BOOST_AUTO_TEST_SUITE_END()
