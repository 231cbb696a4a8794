/// \file
/// Defines a small blocking HTTP/1.1 server and client for the stand-ins.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

namespace skylark::review2 {

using Millis = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

struct HttpRequest {
  std::string Method_;
  std::string Path_;
  std::map<std::string, std::string> Query_;
  /// Names are in lower case.
  std::map<std::string, std::string> Headers_;
  std::string Body_;

  auto query(const std::string &Name) const -> std::string {
    const auto Found = Query_.find(Name);
    return Found == Query_.end() ? "" : Found->second;
  }
};

struct HttpResponse {
  int Status_ = 200;
  std::string Body_;
};

inline auto makeAddress(const std::string &Host, int Port) -> sockaddr_in {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Host.c_str(), &Address.sin_addr);
  return Address;
}

inline auto percentDecode(const std::string &Text) -> std::string {
  std::string Result;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] == '%' && Index + 2 < Text.size()) {
      Result +=
          static_cast<char>(std::stoi(Text.substr(Index + 1, 2), nullptr, 16));
      Index += 2;
    } else {
      Result += Text[Index];
    }
  }
  return Result;
}

/// Reads messages from a socket, and keeps what follows the last one.
class MessageReader {
public:
  explicit MessageReader(int Socket) : Socket_(Socket) {}

  /// \returns the first line, or no value at the end of the stream or after
  /// the deadline.
  auto read(std::map<std::string, std::string> &Headers, std::string &Body,
            Clock::time_point Deadline) -> std::optional<std::string> {
    std::size_t HeadEnd = 0;
    while ((HeadEnd = Buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!fill(Deadline))
        return std::nullopt;
    const auto Head = Buffer_.substr(0, HeadEnd);
    Headers = parseHeaders(Head);
    const auto Length = Headers.find("content-length");
    const std::size_t BodySize =
        Length == Headers.end() ? 0 : std::stoul(Length->second);
    while (Buffer_.size() < HeadEnd + 4 + BodySize)
      if (!fill(Deadline))
        return std::nullopt;
    Body = Buffer_.substr(HeadEnd + 4, BodySize);
    Buffer_.erase(0, HeadEnd + 4 + BodySize);
    return Head.substr(0, Head.find("\r\n"));
  }

private:
  static auto parseHeaders(const std::string &Head)
      -> std::map<std::string, std::string> {
    std::map<std::string, std::string> Headers;
    auto Start = Head.find("\r\n");
    while (Start != std::string::npos) {
      Start += 2;
      const auto End = Head.find("\r\n", Start);
      const auto Line =
          Head.substr(Start, End == std::string::npos ? End : End - Start);
      const auto Colon = Line.find(':');
      if (Colon != std::string::npos) {
        auto Name = Line.substr(0, Colon);
        for (auto &Each : Name)
          Each = static_cast<char>(std::tolower(Each));
        const auto Value = Line.find_first_not_of(' ', Colon + 1);
        Headers[Name] = Value == std::string::npos ? "" : Line.substr(Value);
      }
      Start = End;
    }
    return Headers;
  }

  auto fill(Clock::time_point Deadline) -> bool {
    const auto Left = std::chrono::ceil<Millis>(Deadline - Clock::now());
    if (Left <= Millis{0})
      return false;
    pollfd Wait{Socket_, POLLIN, 0};
    if (::poll(&Wait, 1, static_cast<int>(Left.count())) <= 0)
      return false;
    char Part[16384];
    const auto Count = ::recv(Socket_, Part, sizeof Part, 0);
    if (Count <= 0)
      return false;
    Buffer_.append(Part, static_cast<std::size_t>(Count));
    return true;
  }

  int Socket_;
  std::string Buffer_;
};

inline auto sendAll(int Socket, const std::string &Bytes) -> bool {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const auto Count =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

/// Serves with one thread for each connection. A handler that returns no
/// response leaves its request unanswered.
class HttpServer {
public:
  using Handler =
      std::function<std::optional<HttpResponse>(const HttpRequest &)>;

  HttpServer(std::string Host, int Port, Handler Handle)
      : Host_(std::move(Host)), Port_(Port), Handle_(std::move(Handle)) {}

  auto start() -> void {
    const auto Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    auto Address = makeAddress(Host_, Port_);
    if (::bind(Listener, reinterpret_cast<sockaddr *>(&Address),
               sizeof Address) != 0 ||
        ::listen(Listener, 128) != 0)
      throw std::runtime_error("cannot listen on " + Host_);
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Listener_ = Listener;
    std::thread([this, Listener] { accept(Listener); }).detach();
  }

  /// Stops listening and breaks all connections.
  auto stop() -> void {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    ::shutdown(Listener_, SHUT_RDWR);
    ::close(Listener_);
    Listener_ = -1;
    for (const auto Each : Connections_)
      ::shutdown(Each, SHUT_RDWR);
  }

private:
  auto accept(int Listener) -> void {
    for (;;) {
      const auto Connection =
          ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Connection < 0)
        return;
      const int On = 1;
      ::setsockopt(Connection, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      {
        const std::lock_guard<std::mutex> Lock(Mutex_);
        if (Listener_ != Listener) {
          ::close(Connection);
          return;
        }
        Connections_.insert(Connection);
      }
      std::thread([this, Connection] { serve(Connection); }).detach();
    }
  }

  auto serve(int Connection) -> void {
    MessageReader Reader(Connection);
    constexpr std::chrono::seconds IdleTimeout{120};
    for (;;) {
      HttpRequest Request;
      const auto Line = Reader.read(Request.Headers_, Request.Body_,
                                    Clock::now() + IdleTimeout);
      if (!Line)
        break;
      parseLine(*Line, Request);
      const auto Response = Handle_(Request);
      if (!Response)
        continue;
      const auto Text = "HTTP/1.1 " + std::to_string(Response->Status_) +
                        " -\r\nContent-Type: application/json\r\n"
                        "Content-Length: " +
                        std::to_string(Response->Body_.size()) + "\r\n\r\n" +
                        Response->Body_;
      if (!sendAll(Connection, Text))
        break;
    }
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Connections_.erase(Connection);
    ::close(Connection);
  }

  static auto parseLine(const std::string &Line, HttpRequest &Request) -> void {
    const auto First = Line.find(' ');
    const auto Second = Line.find(' ', First + 1);
    Request.Method_ = Line.substr(0, First);
    const auto Target = Line.substr(First + 1, Second - First - 1);
    const auto Mark = Target.find('?');
    Request.Path_ = Target.substr(0, Mark);
    auto Start = Mark;
    while (Start != std::string::npos) {
      ++Start;
      const auto End = Target.find('&', Start);
      const auto Pair =
          Target.substr(Start, End == std::string::npos ? End : End - Start);
      const auto Equals = Pair.find('=');
      if (Equals != std::string::npos)
        Request.Query_[Pair.substr(0, Equals)] =
            percentDecode(Pair.substr(Equals + 1));
      Start = End;
    }
  }

  std::string Host_;
  int Port_;
  Handler Handle_;
  std::mutex Mutex_;
  int Listener_ = -1;
  std::set<int> Connections_;
};

/// The outcome of one call: a status of 0 stands for no answer.
struct CallResult {
  int Status_ = 0;
  std::string Body_;
};

/// Calls a server on a connection of its own.
inline auto httpCall(const std::string &Host, int Port,
                     const std::string &Method, const std::string &Path,
                     const std::string &HostHeader, const std::string &Body,
                     Millis Timeout) -> CallResult {
  CallResult Result;
  const auto Deadline = Clock::now() + Timeout;
  const auto Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Address = makeAddress(Host, Port);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof Address) == 0) {
    const auto Request = Method + " " + Path +
                         " HTTP/1.1\r\nHost: " + HostHeader +
                         "\r\nContent-Type: application/json\r\nDeadline-Ms: " +
                         std::to_string(Timeout.count()) +
                         "\r\nContent-Length: " + std::to_string(Body.size()) +
                         "\r\n\r\n" + Body;
    MessageReader Reader(Socket);
    std::map<std::string, std::string> Headers;
    if (sendAll(Socket, Request))
      if (const auto Line = Reader.read(Headers, Result.Body_, Deadline))
        Result.Status_ = std::stoi(Line->substr(Line->find(' ') + 1));
  }
  ::close(Socket);
  return Result;
}

} // namespace skylark::review2
