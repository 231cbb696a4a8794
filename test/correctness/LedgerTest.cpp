/// \file
/// Tests group commit, lost answers and fencing of a shard's ledger.

#include "core/LedgerWriter.h"
#include "test/fuzz/FakeStore.h"
#include "wire/Cbor.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// One writer on a store whose answers can be dropped.
struct LedgerBench {
  explicit LedgerBench(Fuzz::FakeStore &Store, std::string Entry)
      : Store_(Store), Port_(1000, Counters_),
        Writer_({{"test"}, 0, {std::move(Entry)}, 1}, Port_) {}

  /// Runs store calls until none is left; drops the answers of `Dropped`
  /// compare-and-swaps after they took effect.
  auto settle(int Dropped = 0) -> void {
    for (int Round = 0; Round < 200; ++Round) {
      Now_.Steady_ += Millis{20};
      EntryOutbox Out;
      Port_.advance(Now_, Out);
      for (const auto &Each : Out) {
        const auto *Call = std::get_if<CallStore>(&Each);
        if (Call == nullptr)
          continue;
        auto Result = Store_.apply(Micros{0}, Call->Operation_);
        if (std::holds_alternative<CompareAndSwap>(Call->Operation_) &&
            Dropped-- > 0)
          Result = {};
        Result.Call_ = Call->Call_;
        EntryOutbox More;
        Port_.answered(Now_, Result, More);
      }
      Writer_.advance();
    }
  }

  auto acquire() -> void {
    Writer_.acquire([](const ShardHead &) { return Duration(Seconds{1}); });
    settle();
  }

  Moment Now_{TimePoint(Seconds{100}), {}};
  Counters Counters_;
  Fuzz::FakeStore &Store_;
  StoreClient Port_;
  LedgerWriter Writer_;
};

auto claimOf(int Number) -> LedgerRecord {
  const auto Name = std::to_string(Number);
  return ClaimOpened{{"20261204-" + Name}, 1, {"r-" + Name}, {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Ledger)

BOOST_AUTO_TEST_CASE(CommitsInGroups) {
  Fuzz::FakeStore Store;
  LedgerBench Bench(Store, "a");
  Bench.acquire();
  for (int Number = 0; Number < 100; ++Number)
    Bench.Writer_.append(claimOf(Number));
  Bench.settle();
  BOOST_TEST(Bench.Writer_.takeCommitted().size() == 100U);
  BOOST_TEST(Bench.Writer_.commits() == 1U);
}

BOOST_AUTO_TEST_CASE(RecognisesItsOwnWriteAfterALostAnswer) {
  Fuzz::FakeStore Store;
  LedgerBench Bench(Store, "a");
  Bench.acquire();
  Bench.Writer_.append(claimOf(1));
  Bench.settle(1);
  BOOST_TEST(Bench.Writer_.owning());
  BOOST_TEST(Bench.Writer_.takeCommitted().size() == 1U);
  BOOST_TEST(Bench.Writer_.state().claims().size() == 1U);
}

BOOST_AUTO_TEST_CASE(ACommitCarriesOnlyWhatIsNew) {
  Fuzz::FakeStore Store;
  LedgerBench Bench(Store, "a");
  Bench.acquire();
  for (int Number = 0; Number < 1000; ++Number) {
    Bench.Writer_.append(claimOf(Number));
    Bench.settle();
  }
  const auto Head =
      Store.apply(Micros{0}, ReadValue{shardHeadKey({"test"}, 0)});
  constexpr std::size_t SmallHead = 400;
  BOOST_TEST(encode(Head.Value_).size() < SmallHead);
}

BOOST_AUTO_TEST_CASE(AGivenUpCommitIsNotWrittenAgain) {
  Fuzz::FakeStore Store;
  LedgerBench Bench(Store, "a");
  Bench.acquire();
  Bench.Writer_.append(claimOf(1));
  Bench.Writer_.abandon();
  Bench.settle(1);
  LedgerBench Second(Store, "b");
  Second.acquire();
  BOOST_TEST(Second.Writer_.owning());
}

BOOST_AUTO_TEST_CASE(StaleOwnerLosesTheCompare) {
  Fuzz::FakeStore Store;
  LedgerBench First(Store, "a");
  LedgerBench Second(Store, "b");
  First.acquire();
  Second.acquire();
  First.Writer_.append(claimOf(1));
  First.settle();
  BOOST_TEST(!First.Writer_.owning());
  BOOST_TEST(Second.Writer_.epoch() == 2U);
  BOOST_TEST(Second.Writer_.state().claims().empty());
}

BOOST_AUTO_TEST_CASE(SealsCompactsAndReloads) {
  Fuzz::FakeStore Store;
  LedgerBench First(Store, "a");
  First.acquire();
  constexpr int Total = 30000;
  constexpr int Step = 500;
  for (int Number = 0; Number < Total; ++Number) {
    First.Writer_.append(claimOf(Number));
    if (Number % Step == Step - 1)
      First.settle();
  }
  First.settle();
  LedgerBench Second(Store, "b");
  Second.acquire();
  BOOST_TEST(Second.Writer_.owning());
  BOOST_TEST(Second.Writer_.state().claims().size() ==
             static_cast<std::size_t>(Total));
}

BOOST_AUTO_TEST_SUITE_END()
