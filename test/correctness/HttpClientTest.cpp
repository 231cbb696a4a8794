/// \file
/// Tests what the HTTP client reports of a call whose connection breaks.

#include "runtime/HttpClient.h"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

using namespace skylark;

namespace {

/// Answers the first request, reads the second one, and is then gone.
class VanishingServer {
public:
  explicit VanishingServer(asio::io_context &Traffic)
      : Acceptor_(Traffic, {asio::ip::address_v4::loopback(), 0}),
        Socket_(Traffic) {
    Acceptor_.async_accept(Socket_, [this](std::error_code) { read(); });
  }

  auto url() const -> std::string {
    return "http://127.0.0.1:" +
           std::to_string(Acceptor_.local_endpoint().port()) + "/";
  }
  auto requests() const -> int { return Requests_; }

private:
  auto read() -> void {
    asio::async_read_until(Socket_, Buffer_, "\r\n\r\n",
                           [this](std::error_code Error, std::size_t Size) {
                             if (Error)
                               return;
                             Buffer_.consume(Size);
                             ++Requests_;
                             answer();
                           });
  }
  auto answer() -> void {
    if (Requests_ > 1) {
      Acceptor_.close();
      Socket_.close();
      return;
    }
    asio::write(Socket_, asio::buffer(std::string(
                             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    read();
  }

  asio::ip::tcp::acceptor Acceptor_;
  asio::ip::tcp::socket Socket_;
  asio::streambuf Buffer_;
  int Requests_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClients)

// The caller was told that nothing ran, since the second copy found no server.
BOOST_AUTO_TEST_CASE(ARequestOfWhichOneCopyWasSentDoesNotCountAsNeverSent) {
  asio::io_context Traffic;
  VanishingServer Server(Traffic);
  HttpClient Client(Traffic);
  HttpCall Call;
  Call.Url_ = Server.url();
  std::optional<HttpResult> First;
  std::optional<HttpResult> Second;
  Client.call(Call, [&](HttpResult Result) {
    First = std::move(Result);
    Client.call(Call, [&](HttpResult Last) {
      Second = std::move(Last);
      Traffic.stop();
    });
  });
  Traffic.run_for(Seconds{5});
  BOOST_REQUIRE(First.has_value());
  BOOST_REQUIRE(Second.has_value());
  BOOST_TEST(First->Complete_);
  BOOST_TEST(!Second->Complete_);
  BOOST_TEST(Server.requests() == 2);
  BOOST_TEST(!Second->NeverSent_);
}

BOOST_AUTO_TEST_SUITE_END()
