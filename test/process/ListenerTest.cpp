/// \file
/// Tests over real connections that an HTTP server goes on accepting callers,
/// whatever became of earlier connections.

#include "runtime/DescriptorLimit.h"
#include "runtime/HttpServer.h"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

using namespace skylark;

namespace {

using Socket = asio::ip::tcp::socket;

/// How long a client waits before a test counts as failed.
constexpr Seconds HangTimeout{20};

/// A server that answers each request at once, and its address.
class ListenerFixture {
public:
  explicit ListenerFixture(std::size_t Connections) {
    asio::ip::tcp::acceptor Probe(
        Context_, {asio::ip::make_address("127.0.0.1"), std::uint16_t{0}});
    Endpoint_ = Probe.local_endpoint();
    Probe.close();
    HttpServerOptions Options;
    Options.Host_ = "127.0.0.1";
    Options.Port_ = Endpoint_.port();
    Options.Connections_ = Connections;
    Server_ = std::make_unique<HttpServer>(
        Context_, Options,
        [](const HttpServerRequest &, const HttpResponder &Respond) {
          Respond({});
        });
    Server_->start();
  }

  /// Connects without running the server, so that the connection waits for its
  /// acceptance.
  auto connect() -> Socket {
    Socket Client(ClientContext_);
    Client.connect(Endpoint_);
    return Client;
  }

  auto runFor(Millis Period) -> void { Context_.run_for(Period); }

  /// Sends a request. \returns whether an answer arrives in time.
  auto isAnswered(Socket &Client) -> bool {
    asio::write(Client,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    const auto Deadline = std::chrono::steady_clock::now() + HangTimeout;
    while (Client.available() == 0 &&
           std::chrono::steady_clock::now() < Deadline)
      runFor(Millis{20});
    return Client.available() > 0;
  }

  /// Ends a connection with a reset.
  static auto reset(Socket Client) -> void {
    Client.set_option(asio::socket_base::linger(true, 0));
    Client.close();
  }

  asio::io_context Context_;
  asio::io_context ClientContext_;
  asio::ip::tcp::endpoint Endpoint_;
  std::unique_ptr<HttpServer> Server_;
};

/// Uses up the descriptors of this process, with a lowered limit, until
/// destroyed.
class NoDescriptorsLeft {
public:
  NoDescriptorsLeft() {
    ::getrlimit(RLIMIT_NOFILE, &Before_);
    const auto First = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    auto Lowered = Before_;
    Lowered.rlim_cur = static_cast<rlim_t>(First) + SpareDescriptors;
    ::setrlimit(RLIMIT_NOFILE, &Lowered);
    for (auto Each = First; Each >= 0;
         Each = ::open("/dev/null", O_RDONLY | O_CLOEXEC))
      Used_.push_back(Each);
  }
  ~NoDescriptorsLeft() {
    for (const auto Each : Used_)
      ::close(Each);
    ::setrlimit(RLIMIT_NOFILE, &Before_);
  }
  NoDescriptorsLeft(const NoDescriptorsLeft &) = delete;
  auto operator=(const NoDescriptorsLeft &) -> NoDescriptorsLeft & = delete;

private:
  static constexpr rlim_t SpareDescriptors = 16;
  rlimit Before_{};
  std::vector<int> Used_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Listeners)

// One failed acceptance ended all later ones.
BOOST_AUTO_TEST_CASE(CallersAreAcceptedAgainAfterDescriptorsRanOut) {
  ListenerFixture Fixture(8);
  auto First = Fixture.connect();
  {
    const NoDescriptorsLeft Shortage;
    Fixture.runFor(Millis{100});
  }
  BOOST_TEST(Fixture.isAnswered(First));
  auto Second = Fixture.connect();
  BOOST_TEST(Fixture.isAnswered(Second));
}

// Each caller that was gone before its acceptance took a place for good.
BOOST_AUTO_TEST_CASE(CallersGoneBeforeTheirAcceptanceTakeNoPlace) {
  constexpr int Places = 3;
  ListenerFixture Fixture(Places);
  for (int Count = 0; Count < 2 * Places; ++Count) {
    ListenerFixture::reset(Fixture.connect());
    Fixture.runFor(Millis{50});
  }
  auto Client = Fixture.connect();
  BOOST_TEST(Fixture.isAnswered(Client));
}

// A process was left with the soft limit that it was started with.
BOOST_AUTO_TEST_CASE(TheSoftLimitOfDescriptorsIsRaised) {
  rlimit Before{};
  BOOST_REQUIRE(::getrlimit(RLIMIT_NOFILE, &Before) == 0);
  BOOST_REQUIRE(Before.rlim_max >= 512);
  auto Lowered = Before;
  Lowered.rlim_cur = 256;
  ::setrlimit(RLIMIT_NOFILE, &Lowered);
  const auto Raised = raiseDescriptorLimit(512);
  const auto Kept = raiseDescriptorLimit(300);
  ::setrlimit(RLIMIT_NOFILE, &Before);
  BOOST_TEST(Raised == 512U);
  BOOST_TEST(Kept == 512U);
}

BOOST_AUTO_TEST_SUITE_END()
