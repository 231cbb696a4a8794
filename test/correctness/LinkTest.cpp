/// \file
/// Tests that a connection between processes which has gone silent is replaced,
/// over real loopback sockets.

#include "wire/Link.h"
#include "test/correctness/FreePort.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// A client that sends a message at short intervals, and its server.
class LinkFixture {
public:
  LinkFixture()
      : Server_(ServerContext_, serverHandlers()),
        Client_(
            ClientContext_, "127.0.0.1:" + std::to_string(Port_), "/peer/a",
            [this] { return ++LastSession_; }, clientHandlers()) {
    Server_.listen("127.0.0.1", Port_);
    Client_.start();
  }

  /// Runs the client; the server reads nothing unless `ServerRuns`.
  auto run(Millis Period, bool ServerRuns) -> void {
    constexpr Millis Step{20};
    for (Millis Elapsed{0}; Elapsed < Period; Elapsed += Step) {
      ClientContext_.run_for(Step);
      ClientContext_.restart();
      if (ServerRuns)
        ServerContext_.poll();
      if (Session_ != 0)
        Client_.send(Session_, Message_);
    }
  }
  auto stop() -> void {
    Client_.stop();
    Server_.stop();
    ClientContext_.run_for(Millis{50});
    ServerContext_.run_for(Millis{50});
  }

  int Opened_ = 0;
  int Closed_ = 0;
  std::size_t Received_ = 0;
  LinkEnd LastEnd_ = LinkEnd::Count;

private:
  auto serverHandlers() -> LinkHandlers {
    return {[](SessionNumber, const std::string &) {},
            [this](SessionNumber, const std::string &) { ++Received_; },
            [](SessionNumber, LinkEnd) {}};
  }
  auto clientHandlers() -> LinkHandlers {
    return {[this](SessionNumber Session, const std::string &) {
              Session_ = Session;
              ++Opened_;
            },
            [](SessionNumber, const std::string &) {},
            [this](SessionNumber, LinkEnd End) {
              LastEnd_ = End;
              Session_ = 0;
              ++Closed_;
            }};
  }

  std::string Message_ = std::string(std::size_t{64} * 1024, 'x');
  std::uint16_t Port_ = freePort();
  asio::io_context ServerContext_;
  asio::io_context ClientContext_;
  SessionNumber LastSession_ = 0;
  SessionNumber Session_ = 0;
  LinkServer Server_;
  LinkClient Client_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Links)

// A connection that was silent in one direction only was never replaced, since
// the heartbeats of the other end arrived on another connection.
BOOST_AUTO_TEST_CASE(ALinkThatTakesNoBytesIsReplacedInBoundedTime) {
  LinkFixture Fixture;
  Fixture.run(Millis{1000}, true);
  BOOST_REQUIRE(Fixture.Opened_ == 1);
  BOOST_REQUIRE(Fixture.Received_ > 0);
  Fixture.run(Millis{6000}, false);
  BOOST_TEST(Fixture.Closed_ == 1);
  BOOST_TEST((Fixture.LastEnd_ == LinkEnd::WriteFailed));
  const auto Before = Fixture.Received_;
  Fixture.run(Millis{3000}, true);
  BOOST_TEST(Fixture.Opened_ == 2);
  BOOST_TEST(Fixture.Received_ > Before);
  Fixture.stop();
}

BOOST_AUTO_TEST_CASE(ALinksEndIsClassifiedByItsError) {
  BOOST_TEST((linkEndOf(std::make_error_code(std::errc::timed_out), false) ==
              LinkEnd::Unacknowledged));
  BOOST_TEST((linkEndOf(std::make_error_code(std::errc::connection_reset),
                        false) == LinkEnd::ClosedByPeer));
  BOOST_TEST((linkEndOf({}, true) == LinkEnd::ClosedByPeer));
  BOOST_TEST((linkEndOf({}, false) == LinkEnd::BufferFull));
}

BOOST_AUTO_TEST_SUITE_END()
