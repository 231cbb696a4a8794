/// \file
/// Tests that a connection between processes is replaced once the other end
/// doesn't answer on it, over real loopback sockets with a forwarder between.

#include "test/correctness/FreePort.h"
#include "test/processes/Forwarder.h"
#include "wire/Link.h"
#include "wire/LinkLiveness.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// A client that only sends, like an entry to its peer, and its server.
class ForwardedLinkFixture {
public:
  ForwardedLinkFixture() {
    Forwarder_.listen("127.0.0.2", "127.0.0.1", Port_, soak::Pair::EntryEntry);
    Forwarder_.run();
    Server_.listen("127.0.0.1", Port_);
    Client_.start();
  }
  ~ForwardedLinkFixture() {
    Client_.stop();
    Server_.stop();
    run(Millis{50}, false);
  }
  ForwardedLinkFixture(const ForwardedLinkFixture &) = delete;
  auto operator=(const ForwardedLinkFixture &)
      -> ForwardedLinkFixture & = delete;

  auto run(Millis Period, bool Sends) -> void {
    constexpr Millis Step{20};
    const auto End = std::chrono::steady_clock::now() + Period;
    while (std::chrono::steady_clock::now() < End) {
      Context_.run_for(Step);
      Context_.restart();
      if (Sends && Session_ != 0)
        Client_.send(Session_, "message");
    }
  }
  auto silence(soak::Silence How) -> void {
    soak::Selection All;
    All.Pairs_ = {soak::Pair::EntryEntry};
    Forwarder_.silence(All, How, soak::Direction::Both);
  }

  int Opened_ = 0;
  int Closed_ = 0;
  int AcceptedClosed_ = 0;
  std::size_t Received_ = 0;

private:
  auto serverHandlers() -> LinkHandlers {
    return {[](SessionNumber, const std::string &) {},
            [this](SessionNumber, const std::string &) { ++Received_; },
            [this](auto &&...) { ++AcceptedClosed_; }};
  }
  auto clientHandlers() -> LinkHandlers {
    return {[this](SessionNumber Session, const std::string &) {
              Session_ = Session;
              ++Opened_;
            },
            [](SessionNumber, const std::string &) {},
            [this](auto &&...) {
              Session_ = 0;
              ++Closed_;
            }};
  }

  std::uint16_t Port_ = freePort();
  soak::Forwarder Forwarder_{1};
  asio::io_context Context_;
  SessionNumber LastSession_ = 0;
  SessionNumber Session_ = 0;
  LinkServer Server_{Context_, serverHandlers()};
  LinkClient Client_{Context_, "127.0.0.2:" + std::to_string(Port_), "/peer/a",
                     [this] { return ++LastSession_; }, clientHandlers()};
};

/// Silences the connection, and checks that another one carries messages.
auto checkIsReplaced(soak::Silence How, bool Sends) -> void {
  ForwardedLinkFixture Fixture;
  Fixture.run(Millis{1500}, true);
  BOOST_REQUIRE(Fixture.Opened_ == 1);
  BOOST_REQUIRE(Fixture.Received_ > 0);
  Fixture.silence(How);
  Fixture.run(Millis{4000}, Sends);
  BOOST_TEST(Fixture.Closed_ == 1);
  BOOST_TEST(Fixture.Opened_ == 2);
  const auto Before = Fixture.Received_;
  Fixture.run(Millis{500}, true);
  BOOST_TEST(Fixture.Received_ > Before);
}

} // namespace

BOOST_AUTO_TEST_SUITE(SilentLinks)

// An entry went on sending on a connection whose bytes were acknowledged by
// what is between the two ends, and discarded.
BOOST_AUTO_TEST_CASE(ALinkWhoseBytesAreDiscardedIsReplaced) {
  checkIsReplaced(soak::Silence::Discard, true);
}

BOOST_AUTO_TEST_CASE(AnIdleLinkWhoseBytesAreDiscardedIsReplaced) {
  checkIsReplaced(soak::Silence::Discard, false);
}

BOOST_AUTO_TEST_CASE(ALinkWhoseBytesAreNotReadIsReplaced) {
  checkIsReplaced(soak::Silence::Stall, true);
}

BOOST_AUTO_TEST_CASE(AnIdleLinkStaysOpen) {
  ForwardedLinkFixture Fixture;
  Fixture.run(Millis{6000}, false);
  BOOST_TEST(Fixture.Opened_ == 1);
  BOOST_TEST(Fixture.Closed_ == 0);
  BOOST_TEST(Fixture.AcceptedClosed_ == 0);
}

// A probe waits behind what a slow link still has to carry.
BOOST_AUTO_TEST_CASE(ASlowLinkThatMakesProgressStaysOpen) {
  const auto Port = freePort();
  asio::io_context ServerContext;
  asio::io_context ClientContext;
  int Closed = 0;
  std::size_t Received = 0;
  SessionNumber Session = 0;
  LinkServer Server(ServerContext,
                    {[](SessionNumber, const std::string &) {},
                     [&](SessionNumber, const std::string &) { ++Received; },
                     [](auto &&...) {}});
  LinkClient Client(
      ClientContext, "127.0.0.1:" + std::to_string(Port), "/peer/a",
      [] { return SessionNumber{1}; },
      {[&](SessionNumber Opened, const std::string &) { Session = Opened; },
       [](SessionNumber, const std::string &) {},
       [&](auto &&...) { ++Closed; }});
  Server.listen("127.0.0.1", Port);
  Client.start();
  const auto RunBoth = [&](std::size_t Reads) {
    ClientContext.run_for(Millis{20});
    ClientContext.restart();
    for (std::size_t Read = 0; Read < Reads; ++Read)
      ServerContext.poll_one();
    ServerContext.restart();
  };
  for (int Step = 0; Step < 50 && Session == 0; ++Step)
    RunBoth(20);
  BOOST_REQUIRE(Session != 0);
  constexpr std::size_t Messages = 24;
  for (std::size_t Each = 0; Each < Messages; ++Each)
    Client.send(Session, std::string(std::size_t{1024} * 1024, 'x'));
  for (int Step = 0; Step < 250; ++Step)
    RunBoth(2);
  BOOST_TEST(Received > 0U);
  BOOST_TEST(Received < Messages);
  BOOST_TEST(Closed == 0);
  Client.stop();
  Server.stop();
  RunBoth(50);
}

// Each silent connection of a peer kept a descriptor.
BOOST_AUTO_TEST_CASE(AnAcceptedLinkOnWhichNothingArrivesIsClosed) {
  ForwardedLinkFixture Fixture;
  Fixture.run(Millis{1000}, true);
  Fixture.silence(soak::Silence::Discard);
  Fixture.run(Millis{8000}, true);
  BOOST_TEST(Fixture.AcceptedClosed_ == 1);
}

BOOST_AUTO_TEST_SUITE_END()
