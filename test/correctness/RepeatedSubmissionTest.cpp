/// \file
/// Tests what a caller is told who submits a job again.

#include "test/correctness/EntryFixture.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

BOOST_AUTO_TEST_SUITE(RepeatedSubmissions)

// A copy of a submission was answered "never runs" since the ledger's queue was
// full, although the job was stored, or queued to be.
BOOST_AUTO_TEST_CASE(ACopyOfAKnownJobIsNotDeniedWhileTheQueueIsFull) {
  EntryFixture Fixture;
  const auto Owner = Fixture.owner();
  Fixture.submit(Owner, "stored");
  Fixture.advance(Millis{200});
  Fixture.StoreUnreachable_.fill(true);
  Fixture.submit(Owner, "queued");
  SubmitToQueue Large;
  Large.Declaration_.Payload_ = std::string(std::size_t{200} * 1024, 'x');
  CallerToken Last = 0;
  for (int Number = 0; Number < 24; ++Number) {
    Large.Address_ = {"portal.example", "/jobs/" + std::to_string(Number)};
    Last = Fixture.sendRequest(Owner, Large);
  }
  BOOST_REQUIRE((Fixture.errorOf(Last) == ErrorKind::QueueFull));
  const auto Stored = Fixture.submit(Owner, "stored");
  BOOST_TEST(Fixture.toldState(Stored, JobState::Queued));
  const auto Queued = Fixture.submit(Owner, "queued");
  BOOST_TEST((Fixture.errorOf(Queued) == ErrorKind::None));
}

BOOST_AUTO_TEST_SUITE_END()
