/// \file
/// Tests what the HTTP client reports of a call whose connection breaks.

#include "runtime/HttpClient.h"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>

using namespace skylark;

namespace {

/// Answers the first requests and breaks the connection of each later one.
class BreakingServer {
public:
  /// \param AnswerCount how many requests it answers.
  /// \param Vanishes whether it accepts no connection after the first break.
  BreakingServer(asio::io_context &Traffic, int AnswerCount, bool Vanishes)
      : Acceptor_(Traffic, {asio::ip::address_v4::loopback(), 0}),
        AnswerCount_(AnswerCount), Vanishes_(Vanishes) {
    accept();
  }

  auto url() const -> std::string {
    return "http://127.0.0.1:" +
           std::to_string(Acceptor_.local_endpoint().port()) + "/";
  }
  auto requests() const -> int { return Requests_; }

private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket Socket)
        : Socket_(std::move(Socket)) {}
    asio::ip::tcp::socket Socket_;
    asio::streambuf Buffer_;
  };

  auto accept() -> void {
    Acceptor_.async_accept(
        [this](std::error_code Error, asio::ip::tcp::socket Socket) {
          if (Error)
            return;
          read(std::make_shared<Connection>(std::move(Socket)));
          accept();
        });
  }
  auto read(const std::shared_ptr<Connection> &From) -> void {
    asio::async_read_until(
        From->Socket_, From->Buffer_, "\r\n\r\n",
        [this, From](std::error_code Error, std::size_t Size) {
          if (Error)
            return;
          From->Buffer_.consume(Size);
          answer(From);
        });
  }
  auto answer(const std::shared_ptr<Connection> &To) -> void {
    if (++Requests_ > AnswerCount_) {
      if (Vanishes_)
        Acceptor_.close();
      To->Socket_.close();
      return;
    }
    const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    asio::write(To->Socket_, asio::buffer(Answer));
    read(To);
  }

  asio::ip::tcp::acceptor Acceptor_;
  int AnswerCount_;
  bool Vanishes_;
  int Requests_ = 0;
};

/// Sends a part of its answer and no more.
class StallingServer {
public:
  static constexpr std::size_t PartSize = 300;

  explicit StallingServer(asio::io_context &Traffic)
      : Acceptor_(Traffic, {asio::ip::address_v4::loopback(), 0}),
        Socket_(Traffic) {
    Acceptor_.async_accept(Socket_, [this](std::error_code Error) {
      if (Error)
        return;
      const auto Answer = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" +
                          std::string(PartSize, 'x');
      asio::write(Socket_, asio::buffer(Answer));
    });
  }
  auto url() const -> std::string {
    return "http://127.0.0.1:" +
           std::to_string(Acceptor_.local_endpoint().port()) + "/";
  }

private:
  asio::ip::tcp::acceptor Acceptor_;
  asio::ip::tcp::socket Socket_;
};

/// The last result of calls that are made one after the other.
auto resultOfCalls(asio::io_context &Traffic, const HttpCall &Call, int Count)
    -> HttpResult {
  HttpClient Client(Traffic);
  HttpResult Last;
  std::function<void()> CallNext = [&] {
    Client.call(Call, [&](HttpResult Result) {
      Last = std::move(Result);
      if (--Count > 0)
        CallNext();
      else
        Traffic.stop();
    });
  };
  CallNext();
  Traffic.run_for(Seconds{5});
  BOOST_REQUIRE(Count == 0);
  return Last;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClients)

// The caller was told that nothing ran, since the second copy found no server.
BOOST_AUTO_TEST_CASE(ARequestOfWhichOneCopyWasSentDoesNotCountAsNeverSent) {
  asio::io_context Traffic;
  BreakingServer Server(Traffic, 1, true);
  HttpCall Call;
  Call.Url_ = Server.url();
  const auto Last = resultOfCalls(Traffic, Call, 2);
  BOOST_TEST(!Last.Complete_);
  BOOST_TEST(Server.requests() == 2);
  BOOST_TEST(!Last.NeverSent_);
}

BOOST_AUTO_TEST_CASE(OnlyARequestOnAConnectionOfItsOwnIsSentOnce) {
  for (const auto Dedicated : {false, true}) {
    asio::io_context Traffic;
    BreakingServer Server(Traffic, 1, false);
    HttpCall Call;
    Call.Method_ = "POST";
    Call.Url_ = Server.url();
    Call.DedicatedConnection_ = Dedicated;
    const auto Last = resultOfCalls(Traffic, Call, 2);
    BOOST_TEST(!Last.Complete_);
    BOOST_TEST((Last.Copies_ == 1) == Dedicated);
    BOOST_TEST(Server.requests() == 1 + Last.Copies_);
  }
}

// Whether an answer was arriving decides how the operator's keys are read.
BOOST_AUTO_TEST_CASE(ThePartOfAnAnswerThatArrivedInTimeIsReturned) {
  asio::io_context Traffic;
  StallingServer Server(Traffic);
  HttpCall Call;
  Call.Url_ = Server.url();
  Call.Timeout_ = Millis{300};
  const auto Result = resultOfCalls(Traffic, Call, 1);
  BOOST_TEST(!Result.Complete_);
  BOOST_TEST(Result.Body_.size() == StallingServer::PartSize);
}

BOOST_AUTO_TEST_SUITE_END()
