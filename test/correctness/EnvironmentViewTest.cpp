/// \file
/// Tests how current an entry's view of its environment is, and when the entry
/// may grant permits, on a virtual clock with the fake store.

#include "core/EnvironmentView.h"
#include "test/fuzz/FakeStore.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

const EnvironmentName Environment{"test"};

/// A view whose store calls take effect at once and are answered after a delay.
class ViewFixture {
public:
  static constexpr Millis TickInterval{10};

  ViewFixture() {
    changeDocument();
    advance(Millis{3000});
  }

  auto advance(Millis Period) -> void {
    for (Millis Elapsed{0}; Elapsed < Period; Elapsed += TickInterval) {
      Now_ = Now_.after(TickInterval);
      deliverAnswers();
      View_.tick(Now_);
      sendCalls();
      recordState();
    }
  }
  /// Changes the document at an interval for a period of time.
  auto changeEvery(Millis Interval, Millis Period) -> void {
    for (Millis Elapsed{0}; Elapsed < Period; Elapsed += Interval) {
      changeDocument();
      advance(Interval);
    }
  }
  /// Stores a new document, and a head that names it.
  auto changeDocument() -> Configuration {
    Document Changed;
    Changed.Text_ = "document " + std::to_string(++StoredRevision_);
    Changed.Policy_ = policy();
    EnvironmentHead Head;
    Head.Revision_ = StoredRevision_;
    Head.DocumentDigest_ = digestText(Changed.Text_);
    Head.DataCentresOut_ = DataCentresOut_;
    Store_.apply(storeTime(),
                 WriteValue{documentKey(Head.DocumentDigest_), Changed});
    Store_.apply(storeTime(), WriteValue{headKey(Environment), Head});
    return {Head, Changed};
  }
  auto resetLongest() -> void {
    LongestPause_ = Duration{0};
    LongestHeartbeatGap_ = Duration{0};
    LongestLag_ = 0;
    WasAlwaysFresh_ = true;
  }

  static auto policy() -> PolicySettings {
    PolicySettings Policy;
    Policy.ReadInterval_ = Millis{400};
    Policy.FreshnessWindow_ = Millis{1500};
    Policy.RegistrationTtl_ = Millis{2000};
    Policy.OutageHorizon_ = Millis{10000};
    Policy.PermitDuration_ = Millis{2000};
    return Policy;
  }

  /// Delay of the answers to all calls but reads of single values.
  Millis AnswerDelay_{10};
  /// Delay of the answers to reads of single values, such as documents.
  Millis DocumentDelay_{10};
  bool DocumentsUnavailable_ = false;
  std::vector<DataCentreName> DataCentresOut_;
  Moment Now_{TimePoint(Seconds{100}), WallTime(Seconds{1000})};
  Revision StoredRevision_ = 0;
  /// The longest time without permission to grant, since resetLongest().
  Duration LongestPause_{0};
  /// The longest time between two heartbeats of an agent that are granted.
  Duration LongestHeartbeatGap_{0};
  /// By how many revisions the view was behind the store at most.
  Revision LongestLag_ = 0;
  bool WasAlwaysFresh_ = true;

private:
  struct PendingAnswer {
    TimePoint DueAt_;
    StoreResult Result_;
  };

  auto storeTime() const -> Micros {
    return std::chrono::duration_cast<Micros>(Now_.Steady_.time_since_epoch());
  }
  auto sendCalls() -> void {
    EntryOutbox Out;
    Client_.advance(Now_, Out);
    for (const auto &Each : Out) {
      const auto &Call = std::get<CallStore>(Each);
      const auto IsValue = std::holds_alternative<ReadValue>(Call.Operation_);
      auto Result = Store_.apply(storeTime(), Call.Operation_);
      if (IsValue && DocumentsUnavailable_)
        Result = {};
      Result.Call_ = Call.Call_;
      Answers_.push_back(
          {Now_.Steady_ + (IsValue ? DocumentDelay_ : AnswerDelay_), Result});
    }
  }
  auto deliverAnswers() -> void {
    EntryOutbox Out;
    auto Pending = std::exchange(Answers_, {});
    for (auto &Each : Pending) {
      if (Each.DueAt_ <= Now_.Steady_)
        Client_.answered(Now_, Each.Result_, Out);
      else
        Answers_.push_back(std::move(Each));
    }
  }
  auto recordState() -> void {
    const auto MayGrant = View_.mayGrant(Now_);
    if (MayGrant)
      LastGrantAt_ = Now_.Steady_;
    LongestPause_ = std::max(LongestPause_, Now_.Steady_ - LastGrantAt_);
    const auto IsHeartbeat =
        Now_.Steady_.time_since_epoch() % AgentHeartbeatInterval == Duration{0};
    if (MayGrant && IsHeartbeat)
      GrantedHeartbeatAt_ = Now_.Steady_;
    LongestHeartbeatGap_ =
        std::max(LongestHeartbeatGap_, Now_.Steady_ - GrantedHeartbeatAt_);
    LongestLag_ = std::max(LongestLag_, StoredRevision_ - View_.revision());
    WasAlwaysFresh_ =
        WasAlwaysFresh_ && View_.storeContact(Now_) == StoreContact::Fresh;
  }

  Fuzz::FakeStore Store_;
  Counters Counters_;
  StoreClient Client_{400, Counters_};
  std::vector<PendingAnswer> Answers_;
  TimePoint LastGrantAt_{};
  TimePoint GrantedHeartbeatAt_{};

public:
  EnvironmentView View_{
      Environment, {{"entry"}, 1, "entry:1", 1000}, policy(), Client_};
};

} // namespace

BOOST_AUTO_TEST_SUITE(EnvironmentViews)

BOOST_AUTO_TEST_CASE(AViewIsFreshWhileEveryReadFindsANewerDocument) {
  ViewFixture Fixture;
  Fixture.resetLongest();
  Fixture.changeEvery(Millis{120}, Millis{30000});
  BOOST_TEST(Fixture.WasAlwaysFresh_);
}

BOOST_AUTO_TEST_CASE(GrantsContinueWhileEveryReadFindsANewerDocument) {
  ViewFixture Fixture;
  Fixture.resetLongest();
  Fixture.changeEvery(Millis{120}, Millis{30000});
  BOOST_TEST((Fixture.LongestPause_ == Duration{0}));
}

BOOST_AUTO_TEST_CASE(AViewFollowsASeriesOfDocuments) {
  ViewFixture Fixture;
  Fixture.resetLongest();
  Fixture.changeEvery(Millis{120}, Millis{30000});
  // Four changes between two reads, and one during the reads.
  BOOST_TEST(Fixture.LongestLag_ <= 5U);
}

BOOST_AUTO_TEST_CASE(GrantsContinueWhileDocumentsAreReadMoreSlowlyThanHeads) {
  ViewFixture Fixture;
  for (const auto Delay : {Millis{100}, Millis{200}, Millis{450}}) {
    Fixture.DocumentDelay_ = Delay;
    Fixture.resetLongest();
    Fixture.changeEvery(Millis{120}, Millis{30000});
    BOOST_TEST((Fixture.LongestPause_ == Duration{0}));
  }
}

BOOST_AUTO_TEST_CASE(
    AgentsGetPermitsInTimeWhileTheStoreIsSlowAndDocumentsChange) {
  ViewFixture Fixture;
  Fixture.AnswerDelay_ = Fixture.DocumentDelay_ = Millis{450};
  Fixture.advance(Millis{3000});
  Fixture.resetLongest();
  Fixture.changeEvery(Millis{120}, Millis{60000});
  BOOST_TEST(
      (Fixture.LongestHeartbeatGap_ <= Fixture.policy().PermitDuration_));
}

BOOST_AUTO_TEST_CASE(GrantsStopOnceTheNewerDocumentHasBeenUnreadForTooLong) {
  ViewFixture Fixture;
  const auto LastRead = Fixture.View_.lastReadAt();
  Fixture.DocumentsUnavailable_ = true;
  Fixture.changeDocument();
  for (int Step = 0; Step < 1000; ++Step) {
    Fixture.advance(ViewFixture::TickInterval);
    const auto Known = Fixture.View_.knownRevision() > Fixture.View_.revision();
    const auto Old = LastRead + ViewFixture::policy().FreshnessWindow_ +
                         ViewFixture::policy().ReadInterval_ <=
                     Fixture.Now_.Steady_;
    if (Known && Old)
      BOOST_TEST(!Fixture.View_.mayGrant(Fixture.Now_));
  }
  BOOST_TEST(Fixture.View_.knownRevision() > Fixture.View_.revision());
}

BOOST_AUTO_TEST_CASE(ADataCentreTakenOutStopsGrantsBeforeItsDocumentIsRead) {
  ViewFixture Fixture;
  Fixture.DocumentDelay_ = Millis{900};
  Fixture.changeEvery(Millis{120}, Millis{5000});
  Fixture.DataCentresOut_ = {{"hobart"}};
  const auto ChangedAt = Fixture.Now_.Steady_;
  // The agents' permits last two of the five seconds that the target allows.
  const auto Limit =
      ChangedAt + Seconds{5} - ViewFixture::policy().PermitDuration_;
  Fixture.changeDocument();
  while (Fixture.Now_.Steady_ < ChangedAt + Seconds{10}) {
    Fixture.advance(ViewFixture::TickInterval);
    if (Fixture.View_.configuration().Head_.isOut({"hobart"}))
      continue;
    BOOST_TEST((!Fixture.View_.mayGrant(Fixture.Now_) ||
                Fixture.Now_.Steady_ < Limit));
    if (Fixture.View_.knownRevision() == Fixture.StoredRevision_)
      BOOST_TEST(!Fixture.View_.mayGrant(Fixture.Now_));
  }
  BOOST_TEST(Fixture.View_.configuration().Head_.isOut({"hobart"}));
}

BOOST_AUTO_TEST_CASE(ReadsGoOnOnceAnAgentHasOfferedThePendingDocument) {
  ViewFixture Fixture;
  Fixture.DocumentDelay_ = Millis{60000};
  const auto Offered = Fixture.changeDocument();
  Fixture.advance(Millis{600});
  BOOST_REQUIRE(Fixture.View_.knownRevision() > Fixture.View_.revision());
  Fixture.View_.offerConfiguration(Fixture.Now_, Offered);
  const auto OfferedAt = Fixture.Now_.Steady_;
  Fixture.advance(Millis{600});
  BOOST_TEST(Fixture.View_.revision() == Fixture.StoredRevision_);
  BOOST_TEST((Fixture.View_.lastReadAt() >= OfferedAt));
}

BOOST_AUTO_TEST_CASE(ADocumentThatCannotBeReadCountsAsAFailedRead) {
  ViewFixture Fixture;
  Fixture.DocumentsUnavailable_ = true;
  Fixture.changeDocument();
  Fixture.advance(Millis{2000});
  BOOST_REQUIRE(Fixture.View_.failedReads().has_value());
  BOOST_TEST((Fixture.View_.failedReads()->LastAt_ >
              Fixture.View_.failedReads()->FirstAt_));
}

BOOST_AUTO_TEST_CASE(AViewWithoutTheNewerDocumentDoesNotStayFresh) {
  ViewFixture Fixture;
  Fixture.DocumentsUnavailable_ = true;
  Fixture.changeDocument();
  Fixture.advance(Millis{3000});
  BOOST_TEST((Fixture.View_.storeContact(Fixture.Now_) != StoreContact::Fresh));
}

BOOST_AUTO_TEST_CASE(AViewCatchesUpOnceDocumentsCanBeReadAgain) {
  ViewFixture Fixture;
  Fixture.DocumentsUnavailable_ = true;
  Fixture.changeEvery(Millis{120}, Millis{3000});
  Fixture.DocumentsUnavailable_ = false;
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.View_.revision() == Fixture.StoredRevision_);
  BOOST_TEST(Fixture.View_.mayGrant(Fixture.Now_));
}

BOOST_AUTO_TEST_CASE(TheReasonForStoppedGrantsIsKnown) {
  ViewFixture Fixture;
  BOOST_TEST((Fixture.View_.grantBarrier(Fixture.Now_) == GrantBarrier::None));
  Fixture.DocumentsUnavailable_ = true;
  Fixture.changeDocument();
  Fixture.advance(Millis{2000});
  BOOST_TEST((Fixture.View_.grantBarrier(Fixture.Now_) ==
              GrantBarrier::NewerConfiguration));
}

BOOST_AUTO_TEST_CASE(OnlyLongPausesOfGrantsAreReported) {
  GrantMonitor Monitor;
  const TimePoint Start{Seconds{100}};
  const auto At = [&](Millis Elapsed, GrantBarrier Barrier) {
    return Monitor.update(Start + Elapsed, Barrier);
  };
  BOOST_TEST(!At(Millis{0}, GrantBarrier::NewerConfiguration).has_value());
  BOOST_TEST(!At(Millis{400}, GrantBarrier::None).has_value());
  BOOST_TEST(!At(Millis{450}, GrantBarrier::StaleView).has_value());
  const auto Stopped = At(Millis{1000}, GrantBarrier::StaleView);
  BOOST_REQUIRE(Stopped.has_value());
  BOOST_TEST((Stopped->Barrier_ == GrantBarrier::StaleView));
  BOOST_TEST(!At(Millis{1500}, GrantBarrier::StaleView).has_value());
  const auto Resumed = At(Millis{2000}, GrantBarrier::None);
  BOOST_REQUIRE(Resumed.has_value());
  BOOST_TEST((Resumed->Barrier_ == GrantBarrier::None));
  BOOST_TEST((Resumed->Pause_ == Millis{1550}));
}

BOOST_AUTO_TEST_CASE(AViewIsFreshWhileAgentsOfferEachPendingDocument) {
  ViewFixture Fixture;
  Fixture.DocumentDelay_ = Millis{450};
  Fixture.resetLongest();
  for (int Step = 0; Step < 150; ++Step) {
    Fixture.changeDocument();
    Fixture.advance(Millis{100});
    const auto Offered = Fixture.changeDocument();
    Fixture.advance(Millis{100});
    Fixture.View_.offerConfiguration(Fixture.Now_, Offered);
  }
  BOOST_TEST(Fixture.WasAlwaysFresh_);
  BOOST_TEST((Fixture.LongestPause_ < AgentHeartbeatInterval));
}

// An entry that had missed a configuration took it back from another one.
BOOST_AUTO_TEST_CASE(ANewerEvacuationBringsNoOlderDocumentBack) {
  ViewFixture Fixture;
  const auto Offer = [&](Revision Newest, Revision DocumentRevision,
                         std::vector<DataCentreName> Out) {
    Configuration Offered;
    Offered.Document_.Text_ = "version " + std::to_string(DocumentRevision);
    Offered.Document_.Policy_ = ViewFixture::policy();
    Offered.Head_.Revision_ = Newest;
    Offered.Head_.DocumentRevision_ = DocumentRevision;
    Offered.Head_.DocumentDigest_ = digestText(Offered.Document_.Text_);
    Offered.Head_.DataCentresOut_ = std::move(Out);
    Fixture.View_.offerConfiguration(Fixture.Now_, Offered);
  };
  Offer(25, 25, {});
  Offer(41, 10, {{"hobart"}});
  const auto &Held = Fixture.View_.configuration();
  BOOST_TEST(Held.Document_.Text_ == "version 25");
  BOOST_TEST(Held.Head_.DocumentDigest_ == digestText("version 25"));
  BOOST_TEST(Held.Head_.isOut({"hobart"}));
  BOOST_TEST(Fixture.View_.revision() == 41U);
}

BOOST_AUTO_TEST_SUITE_END()
