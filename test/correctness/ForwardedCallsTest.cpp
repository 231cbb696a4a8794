/// \file
/// Tests what becomes of requests that another entry has to handle, without an
/// entry.

#include "core/ForwardedCalls.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

const EntryId Self{"self"};
const EntryId Other{"other"};
constexpr Millis CallTimeout{2800};
constexpr Millis ParkTimeout{1500};
constexpr CallerToken Caller = 1;

auto queueQuery() -> CallerRequest { return CountUnstartedJobs{{"queue"}}; }
auto teamSubmission() -> CallerRequest { return SubmitJob{}; }
auto teamQuery() -> CallerRequest { return GetJob{{"job"}, false, {}}; }

/// The calls of an entry with one peer, which is connected and owns shard 0.
class CallsFixture {
public:
  CallsFixture() {
    Registrations_.push_back({Other, 1, "", 1000});
    Message_.Incarnation_ = 1;
    Message_.Owned_ = {{0, 1}};
    Peers_.connect(Now_, Other);
    sendHeartbeat();
  }

  /// Lets the peer send its heartbeat, as set in Message_.
  auto sendHeartbeat() -> void { Peers_.update(Now_, Other, Message_); }
  /// Makes the shard one without an owner that could be reached.
  auto disconnectOwner() -> void { Peers_.disconnect(Other); }
  auto ownership() const -> ShardOwnership { return {Now_, Facts_}; }
  auto forward(const CallerRequest &Request, CallerToken Token = Caller)
      -> void {
    Calls_.forwardToShard(Now_, ownership(),
                          {Token, 0, Now_ + CallTimeout, Request}, false, Out_);
  }
  auto answer(CallerReply Reply) -> std::optional<ShardNumber> {
    return Calls_.answered(Now_, Other, {1, std::move(Reply)}, Out_);
  }
  auto expire() -> void { Calls_.expire(Now_, ownership(), Out_); }
  auto resume() -> void {
    for (auto Remaining = Calls_.parkedCount(); Remaining > 0; --Remaining)
      Calls_.resume(Now_, ownership(), Calls_.takeParked(), Out_);
  }
  /// Removes the outputs. \returns how many of them forward a request.
  auto takeForwarded() -> int {
    int Count = 0;
    for (const auto &Each : std::exchange(Out_, {}))
      if (const auto *Sent = std::get_if<SendToPeer>(&Each))
        Count += std::holds_alternative<ForwardRequest>(Sent->Message_) ? 1 : 0;
    return Count;
  }
  /// Removes the outputs. \returns the error in the only answer among them;
  /// None if there is no answer or no error.
  auto takeError() -> ErrorKind {
    auto Kind = ErrorKind::None;
    auto Answers = 0;
    for (const auto &Each : std::exchange(Out_, {}))
      if (const auto *Answer = std::get_if<AnswerCaller>(&Each)) {
        ++Answers;
        if (const auto *Error = std::get_if<ErrorReply>(&Answer->Reply_))
          Kind = Error->Kind_;
      }
    BOOST_TEST(Answers <= 1);
    return Kind;
  }

  TimePoint Now_{Seconds{100}};
  PeerHeartbeat Message_;
  PeerTable Peers_;
  std::vector<EntryRegistration> Registrations_;
  PolicySettings Policy_;
  OwnershipFacts Facts_{Self, Peers_, Registrations_, Policy_};
  Counters Counters_;
  ForwardedCalls Calls_{Self, Counters_, 0};
  EntryOutbox Out_;
};

/// Whether the only output answers the caller with the error.
auto refusesWith(CallsFixture &Fixture, ErrorKind Kind) -> bool {
  const auto OneAnswer = Fixture.Out_.size() == 1;
  return OneAnswer && Fixture.takeError() == Kind;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ForwardedRequests)

BOOST_AUTO_TEST_CASE(ARequestIsForwardedToItsOwnerAndAnswered) {
  CallsFixture Fixture;
  Fixture.forward(queueQuery());
  BOOST_TEST(Fixture.takeForwarded() == 1);
  BOOST_TEST(!Fixture.Calls_.idle());
  BOOST_TEST(!Fixture.answer(UnstartedJobsReply{3}).has_value());
  BOOST_TEST(Fixture.Out_.size() == 1U);
  BOOST_TEST(Fixture.Calls_.idle());
}

BOOST_AUTO_TEST_CASE(ASecondAnswerIsIgnored) {
  CallsFixture Fixture;
  Fixture.forward(queueQuery());
  Fixture.answer(UnstartedJobsReply{3});
  Fixture.Out_.clear();
  Fixture.answer(UnstartedJobsReply{3});
  BOOST_TEST(Fixture.Out_.empty());
}

BOOST_AUTO_TEST_CASE(AQueuesRequestWaitsForAnOwner) {
  CallsFixture Fixture;
  Fixture.disconnectOwner();
  Fixture.forward(queueQuery());
  BOOST_TEST(Fixture.Out_.empty());
  Fixture.resume();
  BOOST_TEST(Fixture.Out_.empty());
  Fixture.Peers_.connect(Fixture.Now_, Other);
  Fixture.sendHeartbeat();
  Fixture.resume();
  BOOST_TEST(Fixture.takeForwarded() == 1);
  BOOST_TEST(Fixture.Calls_.parkedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(AQueuesRequestIsRefusedIfNoOwnerAppears) {
  CallsFixture Fixture;
  Fixture.disconnectOwner();
  Fixture.forward(queueQuery());
  Fixture.Now_ += ParkTimeout - Millis{1};
  Fixture.resume();
  BOOST_TEST(Fixture.Out_.empty());
  Fixture.Now_ += Millis{1};
  Fixture.resume();
  BOOST_TEST(refusesWith(Fixture, ErrorKind::ShardMoving));
}

BOOST_AUTO_TEST_CASE(OtherRequestsDoNotWaitForAnOwner) {
  CallsFixture Fixture;
  Fixture.disconnectOwner();
  Fixture.forward(teamSubmission());
  BOOST_TEST(refusesWith(Fixture, ErrorKind::ShardMoving));
}

BOOST_AUTO_TEST_CASE(APeersRequestIsNotForwardedAgain) {
  CallsFixture Fixture;
  Fixture.forward(queueQuery(), Fixture.Calls_.received(Other, 9));
  Fixture.Calls_.routeAnswers(Fixture.Out_);
  BOOST_TEST(Fixture.Out_.size() == 1U);
  const auto *Sent = std::get_if<SendToPeer>(&Fixture.Out_.front());
  BOOST_REQUIRE(Sent != nullptr);
  const auto *Reply = std::get_if<ForwardReply>(&Sent->Message_);
  BOOST_REQUIRE(Reply != nullptr);
  BOOST_TEST(Sent->Entry_ == Other);
  BOOST_TEST(Reply->CallNumber_ == 9U);
  BOOST_TEST(Fixture.Calls_.idle());
}

BOOST_AUTO_TEST_CASE(AQueuesRequestThatMovedIsParked) {
  CallsFixture Fixture;
  Fixture.forward(queueQuery());
  Fixture.Out_.clear();
  const auto Moved = Fixture.answer(ErrorReply{ErrorKind::ShardMoving, "", {}});
  BOOST_TEST((Moved == std::optional<ShardNumber>(0)));
  BOOST_TEST(Fixture.Out_.empty());
  BOOST_TEST(Fixture.Calls_.parkedCount() == 1U);
}

BOOST_AUTO_TEST_CASE(AnotherRequestThatMovedIsRefused) {
  CallsFixture Fixture;
  Fixture.forward(teamQuery());
  Fixture.Out_.clear();
  const auto Moved = Fixture.answer(ErrorReply{ErrorKind::ShardMoving, "", {}});
  BOOST_TEST(!Moved.has_value());
  BOOST_TEST(refusesWith(Fixture, ErrorKind::ShardMoving));
}

BOOST_AUTO_TEST_CASE(AnUnansweredSubmissionHasAnUnknownOutcome) {
  CallsFixture Fixture;
  Fixture.forward(teamSubmission());
  Fixture.Out_.clear();
  Fixture.expire();
  BOOST_TEST(Fixture.Out_.empty());
  Fixture.disconnectOwner();
  Fixture.expire();
  BOOST_TEST(refusesWith(Fixture, ErrorKind::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(AnUnansweredQueryHasChangedNothing) {
  CallsFixture Fixture;
  Fixture.forward(teamQuery());
  Fixture.Out_.clear();
  Fixture.disconnectOwner();
  Fixture.expire();
  BOOST_TEST(refusesWith(Fixture, ErrorKind::ShardMoving));
}

BOOST_AUTO_TEST_CASE(AQueuesRequestIsRepeatedAfterItsOwnerIsLost) {
  CallsFixture Fixture;
  Fixture.forward(queueQuery());
  Fixture.Out_.clear();
  Fixture.disconnectOwner();
  Fixture.expire();
  BOOST_TEST(Fixture.Out_.empty());
  BOOST_TEST(Fixture.Calls_.parkedCount() == 1U);
}

// Calls that were never answered left no trace of how many, where, or why.
BOOST_AUTO_TEST_CASE(UnansweredCallsAreCountedByReasonAndLoggedOnceASecond) {
  CallsFixture Fixture;
  const auto TakeLines = [&] {
    std::vector<std::string> Lines;
    Fixture.Calls_.reportUnanswered(Fixture.Now_, Fixture.Out_);
    for (const auto &Each : std::exchange(Fixture.Out_, {}))
      if (const auto *Line = std::get_if<LogDecision>(&Each))
        Lines.push_back(Line->Subject_ + ": " + Line->Detail_);
    return Lines;
  };
  Fixture.forward(teamQuery());
  Fixture.forward(teamQuery());
  for (Millis Elapsed{0}; Elapsed < CallTimeout; Elapsed += Millis{100}) {
    Fixture.Now_ += Millis{100};
    Fixture.sendHeartbeat();
  }
  Fixture.expire();
  BOOST_TEST(TakeLines() == std::vector<std::string>{"other: expired 2, oldest "
                                                     "forwarded 2800 ms ago"},
             boost::test_tools::per_element());
  Fixture.forward(teamQuery());
  Fixture.disconnectOwner();
  Fixture.expire();
  BOOST_TEST(TakeLines().empty());
  Fixture.Now_ += Millis{1000};
  BOOST_TEST(TakeLines() ==
                 std::vector<std::string>{"other: link-closed 1, oldest "
                                          "forwarded 1000 ms ago"},
             boost::test_tools::per_element());
  const auto &Counts = Fixture.Counters_.UnansweredCalls_;
  BOOST_TEST(Counts[static_cast<std::size_t>(UnansweredReason::Expired)] == 2U);
  BOOST_TEST(Counts[static_cast<std::size_t>(UnansweredReason::LinkClosed)] ==
             1U);
}

BOOST_AUTO_TEST_CASE(AnOwnShardsRefusalOfAQueuesRequestParksIt) {
  CallsFixture Fixture;
  Fixture.Calls_.recordOwnCall(
      {Caller, 0, Fixture.Now_ + CallTimeout, queueQuery()});
  Fixture.Out_.push_back(
      AnswerCaller{Caller, ErrorReply{ErrorKind::ShardMoving, "", {}}});
  Fixture.Calls_.parkMoved(Fixture.Now_, Fixture.Out_);
  BOOST_TEST(Fixture.Out_.empty());
  BOOST_TEST(Fixture.Calls_.parkedCount() == 1U);
}

BOOST_AUTO_TEST_CASE(OtherAnswersOfAnOwnShardAreKept) {
  CallsFixture Fixture;
  Fixture.Calls_.recordOwnCall(
      {Caller, 0, Fixture.Now_ + CallTimeout, queueQuery()});
  Fixture.Out_.push_back(AnswerCaller{Caller, UnstartedJobsReply{3}});
  Fixture.Calls_.parkMoved(Fixture.Now_, Fixture.Out_);
  BOOST_TEST(Fixture.Out_.size() == 1U);
  BOOST_TEST(Fixture.Calls_.parkedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(AStoppingEntryAnswersEveryCallerThatWaits) {
  CallsFixture Fixture;
  Fixture.forward(teamSubmission());
  Fixture.disconnectOwner();
  Fixture.forward(queueQuery());
  Fixture.Calls_.recordOwnCall(
      {Caller, 0, Fixture.Now_ + CallTimeout, queueQuery()});
  Fixture.Out_.clear();
  Fixture.Calls_.answerRemaining(Fixture.Out_);
  BOOST_TEST(Fixture.Out_.size() == 3U);
  BOOST_TEST(Fixture.Calls_.idle());
}

// An entry that had answered its callers before its exit answered them again.
BOOST_AUTO_TEST_CASE(AStoppingEntryAnswersItsOwnersCallersOnce) {
  CallsFixture Fixture;
  Fixture.Calls_.recordOwnCall(
      {Caller, 0, Fixture.Now_ + CallTimeout, queueQuery()});
  Fixture.Calls_.answerRemaining(Fixture.Out_);
  Fixture.Calls_.parkMoved(Fixture.Now_, Fixture.Out_);
  BOOST_TEST((Fixture.takeError() == ErrorKind::EntryStopping));
  Fixture.Out_.push_back(AnswerCaller{Caller, UnstartedJobsReply{3}});
  Fixture.Out_.push_back(AnswerCaller{Caller + 1, UnstartedJobsReply{3}});
  Fixture.Calls_.parkMoved(Fixture.Now_, Fixture.Out_);
  BOOST_TEST(Fixture.Out_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
