/// \file
/// Tests group commit, lost store answers, fencing and compaction of a shard's
/// ledger.

#include "core/EncodedSize.h"
#include "core/LedgerWriter.h"
#include "test/fuzz/FakeStore.h"
#include "wire/Cbor.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// A ledger writer on a store whose answers can be dropped.
struct LedgerFixture {
  explicit LedgerFixture(Fuzz::FakeStore &Store, std::string Entry)
      : Store_(Store), Client_(1000, Counters_),
        Writer_({{"test"}, 0, {std::move(Entry)}, 1}, Client_) {}

  /// Runs the writer and its store calls for a fixed number of rounds. The
  /// first `AnswersToDrop` compare-and-swaps take effect, but their answers are
  /// lost.
  auto runStoreCalls(int AnswersToDrop = 0) -> void {
    for (int Round = 0; Round < 200; ++Round) {
      Now_.Steady_ += Millis{20};
      EntryOutbox Out;
      Client_.advance(Now_, Out);
      if (BeforeAnswers_)
        BeforeAnswers_();
      for (const auto &Each : Out) {
        const auto *Call = std::get_if<CallStore>(&Each);
        if (Call == nullptr)
          continue;
        recordWrite(Call->Operation_);
        auto Result =
            answeringStore(Call->Operation_).apply(Micros{0}, Call->Operation_);
        if (EachCallTwice_)
          Result = Store_.apply(Micros{0}, Call->Operation_);
        if (std::holds_alternative<CompareAndSwap>(Call->Operation_) &&
            AnswersToDrop-- > 0)
          Result = {};
        Result.Call_ = Call->Call_;
        EntryOutbox Ignored;
        Client_.answered(Now_, Result, Ignored);
      }
      Writer_.retryLoad(Now_);
      Writer_.advance();
    }
  }

  /// The store that answers a call: the lagging copy for reads of the ledger's
  /// parts, as long as such answers are due.
  auto answeringStore(const StoreOperation &Operation) -> Fuzz::FakeStore & {
    const auto *Value = std::get_if<ReadValue>(&Operation);
    const auto IsPart =
        std::holds_alternative<ReadSegments>(Operation) ||
        (Value != nullptr && !(Value->Key_ == shardHeadKey({"test"}, 0)));
    if (!Lagging_ || !IsPart || LaggingAnswers_ == 0)
      return Store_;
    --LaggingAnswers_;
    return *Lagging_;
  }

  auto acquire() -> void {
    Writer_.acquire([](const ShardHead &) { return Duration(Seconds{1}); });
    runStoreCalls();
  }

  auto recordWrite(const StoreOperation &Operation) -> void {
    if (const auto *Swap = std::get_if<CompareAndSwap>(&Operation))
      if (Swap->AdditionalWrite_)
        LargestWrite_ = std::max(LargestWrite_,
                                 encode(Swap->AdditionalWrite_->Value_).size());
    if (const auto *Write = std::get_if<WriteValue>(&Operation))
      LargestWrite_ = std::max(LargestWrite_, encode(Write->Value_).size());
  }

  /// An earlier state of the store, and how many reads of the ledger's parts
  /// it still answers.
  std::optional<Fuzz::FakeStore> Lagging_;
  int LaggingAnswers_ = 0;
  /// Each call is carried out twice; the answer is that to the second copy.
  bool EachCallTwice_ = false;
  /// Size in bytes of the largest value written.
  std::size_t LargestWrite_ = 0;
  /// Runs in each round, while calls are in flight.
  std::function<void()> BeforeAnswers_;
  Moment Now_{TimePoint(Seconds{100}), {}};
  Counters Counters_;
  Fuzz::FakeStore &Store_;
  StoreClient Client_;
  LedgerWriter Writer_;
};

auto claimRecord(int Number) -> LedgerRecord {
  const auto Name = std::to_string(Number);
  return ClaimOpened{{"20261204-" + Name}, 1, {"r-" + Name}, {}};
}

constexpr std::size_t MaxValueSize = std::size_t{1024} * 1024;

/// A schedule of two tasks for a month, with a long payload.
auto scheduleRecord(int Number) -> LedgerRecord {
  Job Added;
  Added.Id_ = {"schedule-" + std::to_string(Number)};
  Added.Declaration_.Payload_.assign(4000, 'x');
  Added.Declaration_.Steps_.front().TaskCount_ = 2;
  Added.Declaration_.Occurrences_ = 1600;
  Added.Tasks_.resize(Added.Declaration_.taskCount());
  return JobAdded{Added};
}

auto finishRecord(const JobId &Id, std::uint32_t Index, bool Bind)
    -> LedgerRecord {
  TaskChanged Change;
  Change.Task_ = {Id, Index};
  Change.State_ = Bind ? TaskState::Bound : TaskState::Finished;
  Change.Attempt_ = 1;
  Change.Agent_ = {"side-tas-hobart-12"};
  Change.DataCentre_ = {"tas-hobart"};
  Change.Worker_ = 1796500000000;
  Change.At_ = WallTime{Millis{1796500000000}};
  return Change;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Ledger)

// All that had queued up while the store was down was written as one value,
// which the store refused for good.
BOOST_AUTO_TEST_CASE(NoCommitIsLargerThanAValueOfTheStore) {
  Fuzz::FakeStore Store;
  LedgerFixture Fixture(Store, "a");
  Fixture.acquire();
  for (int Number = 0; Number < 27; ++Number)
    Fixture.Writer_.append(scheduleRecord(Number));
  Fixture.runStoreCalls();
  BOOST_TEST(Fixture.LargestWrite_ <= MaxValueSize);
  BOOST_TEST(Fixture.Writer_.takeCommitted().size() == 27U);
}

// A job that is larger than a value of the store once its tasks have run made
// each snapshot fail.
BOOST_AUTO_TEST_CASE(ALargeJobIsSplitInASnapshot) {
  Fuzz::FakeStore Store;
  LedgerFixture First(Store, "a");
  First.acquire();
  constexpr std::uint32_t Tasks = 20000;
  Job Added;
  Added.Id_ = {"large"};
  Added.Declaration_.Steps_.front().TaskCount_ = Tasks;
  Added.Tasks_.resize(Tasks);
  First.Writer_.append(JobAdded{Added});
  for (const auto Bind : {true, false}) {
    for (std::uint32_t Index = 0; Index < Tasks; ++Index)
      First.Writer_.append(finishRecord(Added.Id_, Index, Bind));
    First.runStoreCalls();
  }
  for (int Number = 0; Number < 30; ++Number)
    First.Writer_.append(scheduleRecord(Number));
  First.runStoreCalls();
  BOOST_TEST(First.LargestWrite_ <= MaxValueSize);
  const auto Head =
      Store.apply(Micros{0}, ReadValue{shardHeadKey({"test"}, 0)});
  BOOST_TEST(std::get<ShardHead>(Head.Value_).Segments_.size() > 1U);
  LedgerFixture Second(Store, "b");
  Second.acquire();
  BOOST_REQUIRE(Second.Writer_.owning());
  const auto &State = Second.Writer_.state();
  BOOST_REQUIRE(State.findJob(Added.Id_) != nullptr);
  BOOST_TEST(State.progressOf(Added.Id_).isOver());
  BOOST_TEST(State.findTask({Added.Id_, Tasks - 1})->History_.size() == 2U);
  BOOST_TEST(encode(StoreValue{
                 ShardSegment{0, {JobAdded{*State.findJob(Added.Id_)}}}}) ==
             encode(StoreValue{ShardSegment{
                 0, {JobAdded{*First.Writer_.state().findJob(Added.Id_)}}}}));
}

BOOST_AUTO_TEST_CASE(ARecordThatTheStoreRefusesHoldsUpNoOther) {
  Fuzz::FakeStore Store;
  Store.MaxValueSize_ = 20000;
  LedgerFixture Fixture(Store, "a");
  Fixture.acquire();
  for (int Number = 0; Number < 40; ++Number)
    Fixture.Writer_.append(claimRecord(Number));
  Fixture.Writer_.append(scheduleRecord(1));
  for (int Number = 40; Number < 80; ++Number)
    Fixture.Writer_.append(claimRecord(Number));
  Fixture.runStoreCalls();
  BOOST_TEST(Fixture.Writer_.owning());
  BOOST_TEST(Fixture.Writer_.takeRefused().size() == 1U);
  BOOST_TEST(Fixture.Writer_.takeCommitted().size() == 80U);
  BOOST_TEST(Fixture.Writer_.queued() == 0U);
  BOOST_TEST(Fixture.Writer_.queuedSize() == 0U);
  BOOST_TEST(Fixture.Counters_.StoreRefusals_ > 0U);
}

BOOST_AUTO_TEST_CASE(SizesAreThoseOfTheEncodedRecords) {
  auto Large = std::get<JobAdded>(scheduleRecord(1));
  auto &Declaration = Large.Job_.Declaration_;
  Declaration.Steps_.front().Resources_ = {70000, 1 << 20, 3};
  Declaration.Interval_ = Millis{-1};
  Declaration.Steps_.front().Dependencies_.resize(300, 255);
  auto &Task = Large.Job_.Tasks_.front();
  Task.Checkpoint_ = {std::string(300, 'c')};
  Task.History_ = {{1, TaskState::Bound, {"a"}, {"b"}, WallTime{Seconds{5}}}};
  Task.SilentLosses_ = {{{"agent"}, 70000, {1, 2, 3}}};
  const std::vector<LedgerRecord> Records{
      Large,
      scheduleRecord(2),
      finishRecord({"large"}, 70000, true),
      TaskChanged{},
      JobCancelled{{"j"}, WallTime{Millis{-5}}},
      claimRecord(3),
      ClaimClosed{{"k"}, {"r"}, ErrorKind::None, 200, std::string(30, 'b'), {}},
      TasksRestored{{"j"}, 24, {Task, TaskStatus{}}}};
  for (const auto &Each : Records) {
    const StoreValue Value{ShardSegment{1, {Each}}};
    BOOST_TEST(encodedSize(Value) == encode(Value).size());
  }
}

BOOST_AUTO_TEST_CASE(CommitsRecordsInGroups) {
  Fuzz::FakeStore Store;
  LedgerFixture Fixture(Store, "a");
  Fixture.acquire();
  for (int Number = 0; Number < 100; ++Number)
    Fixture.Writer_.append(claimRecord(Number));
  Fixture.runStoreCalls();
  BOOST_TEST(Fixture.Writer_.takeCommitted().size() == 100U);
  BOOST_TEST(Fixture.Writer_.commits() == 1U);
}

BOOST_AUTO_TEST_CASE(RecognisesItsOwnWriteAfterALostAnswer) {
  Fuzz::FakeStore Store;
  LedgerFixture Fixture(Store, "a");
  Fixture.acquire();
  Fixture.Writer_.append(claimRecord(1));
  Fixture.runStoreCalls(1);
  BOOST_TEST(Fixture.Writer_.owning());
  BOOST_TEST(Fixture.Writer_.takeCommitted().size() == 1U);
  BOOST_TEST(Fixture.Writer_.state().claims().size() == 1U);
}

// A copy of a call is sent if the connection breaks before the answer.
BOOST_AUTO_TEST_CASE(RecognisesItsOwnWriteIfACopyOfItConflicts) {
  Fuzz::FakeStore Store;
  LedgerFixture First(Store, "a");
  First.EachCallTwice_ = true;
  First.acquire();
  BOOST_REQUIRE(First.Writer_.owning());
  BOOST_TEST(First.Writer_.epoch() == 1U);
  First.Writer_.append(claimRecord(1));
  First.runStoreCalls();
  First.Writer_.append(claimRecord(2));
  First.runStoreCalls();
  BOOST_TEST(First.Writer_.owning());
  BOOST_TEST(First.Writer_.takeCommitted().size() == 2U);
  BOOST_TEST(First.Writer_.commits() == 2U);
  LedgerFixture Second(Store, "b");
  Second.acquire();
  BOOST_REQUIRE(Second.Writer_.owning());
  BOOST_TEST(Second.Writer_.epoch() == 2U);
}

BOOST_AUTO_TEST_CASE(ACommitWritesOnlyNewRecords) {
  Fuzz::FakeStore Store;
  LedgerFixture Fixture(Store, "a");
  Fixture.acquire();
  for (int Number = 0; Number < 1000; ++Number) {
    Fixture.Writer_.append(claimRecord(Number));
    Fixture.runStoreCalls();
  }
  const auto Head =
      Store.apply(Micros{0}, ReadValue{shardHeadKey({"test"}, 0)});
  constexpr std::size_t MaxHeadBytes = 400;
  BOOST_TEST(encode(Head.Value_).size() < MaxHeadBytes);
}

BOOST_AUTO_TEST_CASE(AnAbandonedCommitIsNotRetried) {
  Fuzz::FakeStore Store;
  LedgerFixture Fixture(Store, "a");
  Fixture.acquire();
  Fixture.Writer_.append(claimRecord(1));
  Fixture.Writer_.abandon();
  Fixture.runStoreCalls(1);
  LedgerFixture Second(Store, "b");
  Second.acquire();
  BOOST_TEST(Second.Writer_.owning());
}

BOOST_AUTO_TEST_CASE(AStaleOwnerFailsItsCompareAndSwap) {
  Fuzz::FakeStore Store;
  LedgerFixture First(Store, "a");
  LedgerFixture Second(Store, "b");
  First.acquire();
  Second.acquire();
  First.Writer_.append(claimRecord(1));
  First.runStoreCalls();
  BOOST_TEST(!First.Writer_.owning());
  BOOST_TEST(Second.Writer_.epoch() == 2U);
  BOOST_TEST(Second.Writer_.state().claims().empty());
}

BOOST_AUTO_TEST_CASE(SealsCompactsAndReloadsSegments) {
  Fuzz::FakeStore Store;
  LedgerFixture First(Store, "a");
  First.acquire();
  constexpr int ClaimCount = 30000;
  constexpr int BatchSize = 500;
  for (int Number = 0; Number < ClaimCount; ++Number) {
    First.Writer_.append(claimRecord(Number));
    if (Number % BatchSize == BatchSize - 1)
      First.runStoreCalls();
  }
  First.runStoreCalls();
  LedgerFixture Second(Store, "b");
  Second.acquire();
  BOOST_TEST(Second.Writer_.owning());
  BOOST_TEST(Second.Writer_.state().claims().size() ==
             static_cast<std::size_t>(ClaimCount));
}

BOOST_AUTO_TEST_CASE(ALedgerThatCannotBeReadWholeIsNotOwned) {
  for (const CommitNumber Missing : {1U, 2U, 3U}) {
    Fuzz::FakeStore Store;
    LedgerFixture First(Store, "a");
    First.acquire();
    for (int Number = 0; Number < 3; ++Number) {
      First.Writer_.append(claimRecord(Number));
      First.runStoreCalls();
    }
    BOOST_REQUIRE(First.Writer_.commits() == 3U);
    Store.apply(Micros{0}, DeleteValue{commitKey({"test"}, 0, Missing), 0});
    LedgerFixture Second(Store, "b");
    Second.acquire();
    BOOST_TEST(!Second.Writer_.owning());
  }
}

BOOST_AUTO_TEST_CASE(WhyAShardIsNotOwnedIsKnown) {
  Fuzz::FakeStore Store;
  LedgerFixture First(Store, "a");
  First.acquire();
  First.Writer_.append(claimRecord(1));
  First.runStoreCalls();
  BOOST_TEST((First.Writer_.takeLoss() == OwnershipLoss::None));
  LedgerFixture Second(Store, "b");
  Second.acquire();
  First.Writer_.verifyOwnership();
  First.runStoreCalls();
  BOOST_TEST((First.Writer_.takeLoss() == OwnershipLoss::HeadReplaced));
  Second.Writer_.abandon();
  BOOST_TEST((Second.Writer_.takeLoss() == OwnershipLoss::Relinquished));
  BOOST_TEST((Second.Writer_.takeLoss() == OwnershipLoss::None));
  Store.apply(Micros{0}, DeleteValue{commitKey({"test"}, 0, 1), 0});
  LedgerFixture Third(Store, "c");
  Third.acquire();
  Third.runStoreCalls();
  BOOST_TEST((Third.Writer_.takeLoss() == OwnershipLoss::CommitMissing));
  BOOST_TEST(Third.Writer_.loadProgress() ==
             "0 of 0 snapshot parts, 0 of 1 commits");
}

// Each answer that lagged cost an epoch, and the whole ledger was read again.
BOOST_AUTO_TEST_CASE(ATakeoverOutlastsAnswersThatLag) {
  for (const auto Records : {1, 400}) {
    Fuzz::FakeStore Store;
    LedgerFixture First(Store, "a");
    First.acquire();
    const auto Earlier = Store;
    // 400 of them make a snapshot due.
    for (int Number = 0; Number < Records; ++Number)
      First.Writer_.append(scheduleRecord(Number));
    First.runStoreCalls();
    First.Writer_.append(claimRecord(1));
    First.runStoreCalls();
    const auto Head =
        Store.apply(Micros{0}, ReadValue{shardHeadKey({"test"}, 0)});
    BOOST_TEST(std::get<ShardHead>(Head.Value_).Segments_.empty() ==
               (Records == 1));
    LedgerFixture Second(Store, "b");
    Second.Lagging_ = Earlier;
    Second.LaggingAnswers_ = 5;
    Second.acquire();
    BOOST_TEST(Second.LaggingAnswers_ == 0);
    BOOST_TEST(Second.Writer_.owning());
    BOOST_TEST(Second.Writer_.epoch() == 2U);
    BOOST_TEST(Second.Writer_.state().jobs().size() ==
               static_cast<std::size_t>(Records));
    BOOST_TEST(Second.Writer_.state().claims().size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(AnotherOwnerEndsATakeoverWhoseAnswersLag) {
  Fuzz::FakeStore Store;
  LedgerFixture First(Store, "a");
  First.acquire();
  LedgerFixture Second(Store, "b");
  Second.Lagging_ = Store;
  Second.LaggingAnswers_ = 1000;
  First.Writer_.append(claimRecord(1));
  First.runStoreCalls();
  Second.acquire();
  BOOST_TEST(!Second.Writer_.owning());
  BOOST_TEST(!Second.Writer_.idle());
  LedgerFixture Third(Store, "c");
  Third.acquire();
  BOOST_TEST(Third.Writer_.owning());
  Second.runStoreCalls();
  BOOST_TEST(Second.Writer_.idle());
  BOOST_TEST((Second.Writer_.takeLoss() == OwnershipLoss::HeadReplaced));
}

BOOST_AUTO_TEST_CASE(CommitsAndVerificationsDontStarveEachOther) {
  Fuzz::FakeStore Store;
  LedgerFixture Fixture(Store, "a");
  Fixture.acquire();
  int Records = 0;
  Fixture.BeforeAnswers_ = [&] {
    Fixture.Writer_.append(claimRecord(++Records));
    Fixture.Writer_.verifyOwnership();
  };
  Fixture.runStoreCalls();
  constexpr std::uint64_t MinCalls = 50;
  BOOST_TEST(Fixture.Writer_.commits() >= MinCalls);
  BOOST_TEST(Fixture.Writer_.lastVerification() >= MinCalls);
}

BOOST_AUTO_TEST_SUITE_END()
