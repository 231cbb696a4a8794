/// \file
/// Tests the log lines about the connections among entries.

#include "entry/PeerLinkMonitor.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

const EntryId Peer{"peer"};
constexpr auto Incoming = LinkDirection::Incoming;

struct MonitorFixture {
  auto lines() const -> std::size_t { return Lines_.size(); }

  TimePoint Now_{Seconds{100}};
  std::vector<std::string> Lines_;
  PeerLinkMonitor Links_{[this](const LogDecision &Line) {
    Lines_.push_back(std::string(Line.Event_) + ' ' + Line.Subject_ + ' ' +
                     Line.Detail_);
  }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(PeerLinks)

// A connection among entries opened and closed without a line.
BOOST_AUTO_TEST_CASE(ALinksEndIsLoggedWithItsReasonAndTheAgeOfTheLastMessage) {
  MonitorFixture Fixture;
  auto &Links = Fixture.Links_;
  Links.opened(Fixture.Now_, Peer, Incoming, 1);
  Fixture.Now_ += Millis{100};
  Links.received(Fixture.Now_, Peer);
  Fixture.Now_ += Millis{2300};
  Links.opened(Fixture.Now_, Peer, Incoming, 2);
  BOOST_TEST(Links.openLinks(Incoming) == 2U);
  Links.closed(Fixture.Now_, Peer, Incoming, 1, LinkEnd::Unacknowledged);
  Links.closed(Fixture.Now_, Peer, Incoming, 1, LinkEnd::Unacknowledged);
  BOOST_TEST(Links.openLinks(Incoming) == 1U);
  BOOST_TEST(Links.openLinks(LinkDirection::Outgoing) == 0U);
  const std::vector<std::string> Expected{
      "link-opened peer incoming, no message of the peer yet",
      "link-opened peer incoming, 1 earlier still open, last message of the "
      "peer 2300 ms ago",
      "link-closed peer incoming, bytes unacknowledged, after 2400 ms, last "
      "message of the peer 2300 ms ago"};
  BOOST_TEST(Fixture.Lines_ == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(APeerThatReconnectsWithoutEndDoesNotFillTheLog) {
  MonitorFixture Fixture;
  for (SessionNumber Session = 1; Session <= 100; ++Session) {
    Fixture.Links_.opened(Fixture.Now_, Peer, Incoming, Session);
    Fixture.Links_.closed(Fixture.Now_, Peer, Incoming, Session,
                          LinkEnd::ClosedByPeer);
  }
  BOOST_TEST(Fixture.lines() == 6U);
  Fixture.Now_ += Millis{5000};
  Fixture.Links_.opened(Fixture.Now_, Peer, Incoming, 101);
  BOOST_REQUIRE(Fixture.lines() == 7U);
  BOOST_TEST(Fixture.Lines_.back().find("194 earlier lines left out") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
