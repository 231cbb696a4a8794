/// \file
/// Tests how a new owner reads its ledger over a slow link to the store, beside
/// other traffic.

#include "core/LedgerWriter.h"
#include "platform/MetadataStore.h"
#include "test/fuzz/VirtualHttpStore.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// 10 Mbit/s and 1 Gbit/s.
constexpr std::size_t SlowLink = 1250;
constexpr std::size_t QuickLink = 125000;

/// An entry that writes or reads a ledger through the client of the platform's
/// store, on a virtual clock.
class LinkedEntry {
public:
  LinkedEntry(Fuzz::VirtualHttpStore &Http, Micros &Now, std::string Name)
      : Http_(Http), Now_(Now),
        Store_(Http, "store", {}, [&Now] { return TimePoint(Now); }),
        Writer_({{"test"}, 0, {std::move(Name)}, 1}, Client_) {}

  auto run(Micros Time, const std::function<bool()> &IsDone) -> void {
    constexpr Millis Step{5};
    for (const auto End = Now_ + Time; Now_ < End && !IsDone(); Now_ += Step) {
      Http_.advance(Now_);
      if (Traffic_)
        Traffic_();
      EntryOutbox Out;
      Client_.advance(moment(), Out);
      for (const auto &Each : Out)
        if (const auto *Call = std::get_if<CallStore>(&Each))
          Store_.call(Call->Call_, Call->Operation_,
                      [this](StoreResult Result) {
                        EntryOutbox Ignored;
                        Client_.answered(moment(), Result, Ignored);
                      });
      Writer_.advance();
    }
  }
  auto acquire(Micros MaxTime) -> void {
    Writer_.acquire([](const ShardHead &) { return Duration(0); });
    run(MaxTime, [this] { return Writer_.owning() || Writer_.idle(); });
  }
  /// Reads the environment, as an entry does beside all else.
  auto readEnvironment() -> void {
    Store_.call(0, ReadEnvironment{{"test"}}, [this](const StoreResult &Read) {
      ++Reads_;
      FailedReads_ += Read.Status_ == StoreStatus::Ok ? 0 : 1;
    });
  }
  auto moment() const -> Moment { return {TimePoint(Now_), {}}; }

  Fuzz::VirtualHttpStore &Http_;
  Micros &Now_;
  Counters Counters_;
  Platform::MetadataStore Store_;
  StoreClient Client_{1000, Counters_};
  LedgerWriter Writer_;
  /// Runs at each step.
  std::function<void()> Traffic_;
  int Reads_ = 0;
  int FailedReads_ = 0;
};

auto claimOfSize(int Number, std::size_t Size) -> LedgerRecord {
  return ClaimOpened{
      {"20261206-" + std::to_string(Number)}, 1, {std::string(Size, 'r')}, {}};
}

/// A store with a ledger of commits of one size, and a new owner of it.
struct LedgerOfSize {
  LedgerOfSize(std::size_t Size, std::size_t CommitSize) : Http_(1) {
    Http_.put("op/config", R"({"routes":[],"services":[{"name":"s"}]})");
    Http_.BytesPerMillisecond_ = QuickLink;
    LinkedEntry First(Http_, Now_, "a");
    First.acquire(Seconds{2});
    BOOST_REQUIRE(First.Writer_.owning());
    for (std::size_t Written = 0; Written < Size; Written += CommitSize) {
      First.Writer_.append(claimOfSize(Records_++, CommitSize));
      First.run(Seconds{2}, [&] { return First.Writer_.queued() == 0; });
    }
    First.run(Millis{200}, [] { return false; });
    BOOST_REQUIRE(First.Writer_.owning());
  }

  /// Lets another entry acquire the shard over a link of 10 Mbit/s, which also
  /// carries a read of the environment each 300 ms and, each 600 ms, an answer
  /// that takes 150 ms.
  auto takeOver(Micros MaxTime) -> Micros {
    Http_.BytesPerMillisecond_ = SlowLink;
    auto Next = Now_;
    auto Turn = 0;
    Second_.Traffic_ = [this, Next, Turn]() mutable {
      if (Now_ < Next)
        return;
      Next += Millis{300};
      Second_.readEnvironment();
      if (++Turn % 2 == 0)
        Second_.Store_.call(0, ReadValue{{"other"}},
                            [](const StoreResult &) {});
    };
    const auto Start = Now_;
    Second_.acquire(MaxTime);
    return Now_ - Start;
  }

  Fuzz::VirtualHttpStore Http_;
  Micros Now_{Seconds{1000}};
  int Records_ = 0;
  LinkedEntry Second_{Http_, Now_, "b"};
};

constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t Megabyte = Kilobyte * Kilobyte;

} // namespace

BOOST_AUTO_TEST_SUITE(LedgerLinks)

// A page of 1 MB took longer than the second of a call, and each try began with
// the first page.
BOOST_AUTO_TEST_CASE(ALedgerIsReadOverASlowLinkBesideOtherTraffic) {
  constexpr auto Size = 4 * Megabyte;
  for (const auto CommitSize : {20 * Kilobyte, 200 * Kilobyte}) {
    LedgerOfSize Ledger(Size, CommitSize);
    Ledger.Http_.put("other", std::string(SlowLink * 150 * 3 / 4, 'o'));
    const auto Time = Ledger.takeOver(Seconds{60});
    BOOST_TEST_MESSAGE(Size / Kilobyte
                       << " KB in commits of " << CommitSize / Kilobyte
                       << " KB: " << Time.count() / 1000 << " ms, "
                       << Ledger.Second_.FailedReads_ << " of "
                       << Ledger.Second_.Reads_ << " reads failed, "
                       << Ledger.Second_.Counters_.StoreFailures_
                       << " calls for the ledger failed");
    BOOST_TEST(Ledger.Second_.Writer_.owning());
    BOOST_TEST(Ledger.Second_.Writer_.state().claims().size() ==
               static_cast<std::size_t>(Ledger.Records_));
    BOOST_TEST((Time <= Seconds{12}));
  }
}

BOOST_AUTO_TEST_SUITE_END()
