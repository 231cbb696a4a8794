/// \file
/// Tests what the HTTP client does when connections break or go silent.

#include "runtime/HttpClient.h"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <optional>

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

/// Answers requests, but none on a connection that has gone silent. Requests to
/// /held are answered by release() instead, on whatever connection.
class SilentServer {
public:
  explicit SilentServer(asio::io_context &Traffic)
      : Acceptor_(Traffic, {asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  auto url() const -> std::string {
    return "http://127.0.0.1:" +
           std::to_string(Acceptor_.local_endpoint().port()) + "/";
  }
  auto connections() const -> std::size_t { return Connections_.size(); }
  auto heldRequests() const -> std::size_t { return Held_.size(); }
  /// Silences every connection that has been accepted so far.
  auto silence() -> void { SilentBefore_ = Connections_.size(); }
  /// Whether a connection that has gone silent still carries headers.
  bool CarriesHeaders_ = false;
  auto release() -> void {
    for (const auto Each : Held_)
      answer(Each);
    Held_.clear();
  }

private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket Socket)
        : Socket_(std::move(Socket)) {}
    asio::ip::tcp::socket Socket_;
    asio::streambuf Buffer_;
  };

  auto accept() -> void {
    Acceptor_.async_accept([this](std::error_code Error,
                                  asio::ip::tcp::socket Socket) {
      if (Error)
        return;
      Connections_.push_back(std::make_shared<Connection>(std::move(Socket)));
      read(Connections_.size() - 1);
      accept();
    });
  }
  auto read(std::size_t Index) -> void {
    const auto From = Connections_[Index];
    asio::async_read_until(
        From->Socket_, From->Buffer_, "\r\n\r\n",
        [this, From, Index](std::error_code Error, std::size_t Size) {
          if (Error)
            return;
          std::string Request(asio::buffers_begin(From->Buffer_.data()),
                              asio::buffers_begin(From->Buffer_.data()) +
                                  static_cast<std::ptrdiff_t>(Size));
          From->Buffer_.consume(Size);
          if (Request.find(" /held ") != std::string::npos)
            Held_.push_back(Index);
          else if (Index >= SilentBefore_)
            answer(Index);
          else if (CarriesHeaders_)
            answer(Index, 1);
          read(Index);
        });
  }
  auto answer(std::size_t Index, std::size_t MissingBytes = 0) -> void {
    const auto Answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(MissingBytes) +
        "\r\n\r\n";
    asio::write(Connections_[Index]->Socket_, asio::buffer(Answer));
  }

  asio::ip::tcp::acceptor Acceptor_;
  std::vector<std::shared_ptr<Connection>> Connections_;
  std::vector<std::size_t> Held_;
  std::size_t SilentBefore_ = 0;
};

/// Makes the same call `Count` times at once. \returns how many were answered.
auto answeredOf(asio::io_context &Traffic, HttpClient &Client,
                const HttpCall &Call, std::size_t Count) -> std::size_t {
  std::size_t Ended = 0;
  std::size_t Answered = 0;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Client.call(Call, [&](const HttpResult &Result) {
      ++Ended;
      Answered += Result.Complete_ ? 1 : 0;
    });
  Traffic.restart();
  while (Ended < Count && Traffic.run_one_for(Seconds{5}) != 0)
    ;
  BOOST_REQUIRE(Ended == Count);
  return Answered;
}

constexpr std::size_t KeptConnections = 4;

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

// Each kept connection that had gone silent cost one time-out.
BOOST_AUTO_TEST_CASE(ConnectionsThatGoSilentTogetherCostOneTimeOut) {
  asio::io_context Traffic;
  SilentServer Server(Traffic);
  HttpClient Client(Traffic);
  HttpCall Call;
  Call.Url_ = Server.url();
  Call.Timeout_ = Millis{200};
  BOOST_REQUIRE(answeredOf(Traffic, Client, Call, KeptConnections) ==
                KeptConnections);
  BOOST_REQUIRE(Server.connections() == KeptConnections);
  Server.silence();
  BOOST_TEST(answeredOf(Traffic, Client, Call, 1) == 0);
  for (std::size_t Next = 0; Next < KeptConnections; ++Next)
    BOOST_TEST(answeredOf(Traffic, Client, Call, 1) == 1);
  // The calls after the time-out share one new connection.
  BOOST_TEST(Server.connections() == KeptConnections + 1);
}

// A read of the environment takes two calls that both succeed.
BOOST_AUTO_TEST_CASE(TwoCallsAtOnceSucceedAfterTwoThatWereNotAnswered) {
  asio::io_context Traffic;
  SilentServer Server(Traffic);
  HttpClient Client(Traffic);
  HttpCall Call;
  Call.Url_ = Server.url();
  Call.Timeout_ = Millis{200};
  BOOST_REQUIRE(answeredOf(Traffic, Client, Call, KeptConnections) ==
                KeptConnections);
  Server.silence();
  BOOST_TEST(answeredOf(Traffic, Client, Call, 2) == 0);
  BOOST_TEST(answeredOf(Traffic, Client, Call, 2) == 2);
  BOOST_TEST(Server.connections() == KeptConnections + 2);
}

// Each kept connection that went silent after the headers cost a time-out.
BOOST_AUTO_TEST_CASE(AnAnswerThatBreaksOffShowsThatItsConnectionIsSilent) {
  asio::io_context Traffic;
  SilentServer Server(Traffic);
  HttpClient Client(Traffic);
  HttpCall Call;
  Call.Url_ = Server.url();
  Call.Timeout_ = Millis{800};
  BOOST_REQUIRE(answeredOf(Traffic, Client, Call, KeptConnections) ==
                KeptConnections);
  Server.silence();
  Server.CarriesHeaders_ = true;
  BOOST_TEST(answeredOf(Traffic, Client, Call, 1) == 0);
  BOOST_TEST(answeredOf(Traffic, Client, Call, 1) == 1);
}

BOOST_AUTO_TEST_CASE(ACallUnderWayIsAnsweredAfterAnotherHasTimedOut) {
  asio::io_context Traffic;
  SilentServer Server(Traffic);
  HttpClient Client(Traffic);
  HttpCall Call;
  Call.Url_ = Server.url();
  Call.Timeout_ = Millis{200};
  BOOST_REQUIRE(answeredOf(Traffic, Client, Call, KeptConnections) ==
                KeptConnections);
  HttpCall Long = Call;
  Long.Url_ += "held";
  Long.Timeout_ = Seconds{5};
  std::optional<HttpResult> Held;
  Client.call(Long, [&](HttpResult Result) { Held = std::move(Result); });
  Server.silence();
  BOOST_TEST(answeredOf(Traffic, Client, Call, 1) == 0);
  BOOST_TEST(answeredOf(Traffic, Client, Call, 1) == 1);
  BOOST_REQUIRE(Server.heldRequests() == 1);
  Server.release();
  Traffic.restart();
  while (!Held && Traffic.run_one_for(Seconds{5}) != 0)
    ;
  BOOST_REQUIRE(Held.has_value());
  BOOST_TEST(Held->Complete_);
  BOOST_TEST(Held->Copies_ == 1);
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

// A kept connection shows which process of a server answers; a new one doesn't.
BOOST_AUTO_TEST_CASE(NoCopyIsSentOnAConnectionThatIsNotAdmitted) {
  asio::io_context Traffic;
  BreakingServer Server(Traffic, 2, false);
  HttpClient Client(Traffic);
  const auto Result = [&](std::function<bool(std::uint64_t)> Admit) {
    HttpCall Call;
    Call.Url_ = Server.url();
    Call.Admit_ = std::move(Admit);
    std::optional<HttpResult> Answer;
    Client.call(Call, [&](HttpResult Each) { Answer = std::move(Each); });
    Traffic.restart();
    while (!Answer && Traffic.run_one_for(Seconds{5}) != 0)
      ;
    BOOST_REQUIRE(Answer.has_value());
    return *Answer;
  };
  const auto Kept = Result({}).Connection_;
  const auto OnlyKept = [Kept](std::uint64_t Number) { return Number == Kept; };
  const auto Second = Result(OnlyKept);
  BOOST_TEST(Second.Complete_);
  BOOST_TEST(Second.Connection_ == Kept);
  const auto Broken = Result(OnlyKept);
  BOOST_TEST(!Broken.Complete_);
  BOOST_TEST(!Broken.NeverSent_);
  BOOST_TEST(Broken.Copies_ == 1);
  const auto Refused = Result(OnlyKept);
  BOOST_TEST(Refused.NeverSent_);
  BOOST_TEST(Refused.Connection_ != Kept);
  BOOST_TEST(Refused.Copies_ == 0);
  BOOST_TEST(Server.requests() == 3);
}

BOOST_AUTO_TEST_SUITE_END()
