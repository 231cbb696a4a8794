/// \file
/// Tests which replies of other entries reach the callers of an entry.

#include "test/correctness/EntryFixture.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

constexpr CallerToken Caller = 1000;

/// Asks an entry for a job that its peer owns. \returns the call's number.
auto forwardQuery(EntryFixture &Fixture, EntryCore &Core) -> std::uint64_t {
  EntryOutbox Out;
  Core.callerAsked(Fixture.Now_, Caller,
                   ReadQueue{{"portal.example", "/jobs/a"}}, Out);
  for (const auto &Each : Out)
    if (const auto *Sent = std::get_if<SendToPeer>(&Each))
      if (const auto *Call = std::get_if<ForwardRequest>(&Sent->Message_))
        return Call->CallNumber_;
  return 0;
}

/// Whether an entry gives its caller the state in a reply to this call.
auto passesOn(EntryFixture &Fixture, EntryCore &Core, const EntryId &From,
              std::uint64_t CallNumber) -> bool {
  EntryOutbox Out;
  Core.peerSent(Fixture.Now_, From,
                ForwardReply{CallNumber, JobStateReply{JobState::Queued}}, Out);
  return std::any_of(Out.begin(), Out.end(), [](const auto &Each) {
    return std::holds_alternative<AnswerCaller>(Each);
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(ForwardedReplies)

// Numbers started at 1 in each process: a caller got the answer that an owner
// gave to a call of the process before.
BOOST_AUTO_TEST_CASE(AReplyToACallOfAnEarlierProcessIsNotGivenToACaller) {
  EntryFixture Fixture;
  const auto Owner = Fixture.owner();
  BOOST_REQUIRE(Owner < EntryCount);
  const auto Other = 1 - Owner;
  const auto Earlier = forwardQuery(Fixture, *Fixture.Entries_[Other]);
  BOOST_REQUIRE(Earlier != 0);
  Fixture.killEntry(Other);
  Fixture.startEntry(Other);
  Fixture.advance(Millis{4000});
  BOOST_REQUIRE(Fixture.owner() == Owner);
  auto &Restarted = *Fixture.Entries_[Other];
  const auto Present = forwardQuery(Fixture, Restarted);
  BOOST_REQUIRE(Present != 0);
  const auto OwnerId = entryIdOf(Owner);
  BOOST_TEST(!passesOn(Fixture, Restarted, OwnerId, Earlier));
  BOOST_TEST(passesOn(Fixture, Restarted, OwnerId, Present));
}

// The sender of a reply was not compared with the entry that had been asked.
BOOST_AUTO_TEST_CASE(AReplyOfAnEntryThatWasNotAskedIsIgnored) {
  EntryFixture Fixture;
  const auto Owner = Fixture.owner();
  BOOST_REQUIRE(Owner < EntryCount);
  auto &Core = *Fixture.Entries_[1 - Owner];
  const auto Call = forwardQuery(Fixture, Core);
  BOOST_REQUIRE(Call != 0);
  BOOST_TEST(!passesOn(Fixture, Core, {"stranger"}, Call));
  BOOST_TEST(passesOn(Fixture, Core, entryIdOf(Owner), Call));
}

// Answers that were lost with the owner's connection were never asked for
// again: the caller waited until its time was up, on a link that worked again.
BOOST_AUTO_TEST_CASE(ACallWhoseAnswerWasLostWithALinkIsRepeatedOnTheNext) {
  EntryFixture Fixture;
  const auto Owner = Fixture.owner();
  BOOST_REQUIRE(Owner < EntryCount);
  auto &Core = *Fixture.Entries_[1 - Owner];
  const auto Call = forwardQuery(Fixture, Core);
  BOOST_REQUIRE(Call != 0);
  const auto Repeat = [&](const EntryId &Peer) -> std::uint64_t {
    EntryOutbox Out;
    Core.peerLinkOpened(Fixture.Now_, Peer, Out);
    for (const auto &Each : Out)
      if (const auto *Sent = std::get_if<SendToPeer>(&Each))
        if (const auto *Again = std::get_if<ForwardRequest>(&Sent->Message_))
          return Again->CallNumber_;
    return 0;
  };
  Fixture.advance(Millis{2300});
  BOOST_TEST(Repeat({"stranger"}) == 0U);
  const auto Again = Repeat(entryIdOf(Owner));
  BOOST_TEST(Again != 0U);
  // A late refusal of the first copy says nothing about the second.
  BOOST_TEST(!passesOn(Fixture, Core, entryIdOf(Owner), Call));
  BOOST_TEST(passesOn(Fixture, Core, entryIdOf(Owner), Again));
  BOOST_TEST(Repeat(entryIdOf(Owner)) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
