/// \file
/// Defines a small blocking HTTP/1.1 server and client for the stand-ins of the
/// review cases. Each connection has a thread of its own.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct HttpRequest {
  std::string Method_;
  std::string Path_;
  std::map<std::string, std::string> Query_;
  std::map<std::string, std::string> Headers_;
  std::string Body_;
};

struct HttpResponse {
  int Status_ = 200;
  std::string Body_;
  /// Leaves the request unanswered and keeps the connection open.
  bool Silent_ = false;
};

struct HttpReply {
  /// 0 if no complete answer has arrived.
  int Status_ = 0;
  std::string Body_;
};

inline auto toLower(std::string Text) -> std::string {
  for (auto &Each : Text)
    Each = static_cast<char>(std::tolower(static_cast<unsigned char>(Each)));
  return Text;
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

inline auto splitPath(const std::string &Target, HttpRequest &Into) -> void {
  const auto Mark = Target.find('?');
  Into.Path_ = Target.substr(0, Mark);
  if (Mark == std::string::npos)
    return;
  auto Rest = Target.substr(Mark + 1);
  while (!Rest.empty()) {
    const auto End = Rest.find('&');
    const auto Part = Rest.substr(0, End);
    const auto Equals = Part.find('=');
    if (Equals != std::string::npos)
      Into.Query_[Part.substr(0, Equals)] =
          percentDecode(Part.substr(Equals + 1));
    Rest = End == std::string::npos ? "" : Rest.substr(End + 1);
  }
}

/// Reads one message from a socket. Bytes of a following message stay in
/// `Buffer`.
class MessageReader {
public:
  explicit MessageReader(int Socket) : Socket_(Socket) {}

  /// \returns false if the connection has ended or the deadline has passed.
  auto read(std::string &FirstLine, std::map<std::string, std::string> &Headers,
            std::string &Body, Clock::time_point Deadline) -> bool {
    std::size_t End = 0;
    while ((End = Buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!receive(Deadline))
        return false;
    const auto Head = Buffer_.substr(0, End + 2);
    Buffer_.erase(0, End + 4);
    auto LineEnd = Head.find("\r\n");
    FirstLine = Head.substr(0, LineEnd);
    Headers.clear();
    while (LineEnd + 2 < Head.size()) {
      const auto Start = LineEnd + 2;
      LineEnd = Head.find("\r\n", Start);
      const auto Line = Head.substr(Start, LineEnd - Start);
      const auto Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      auto Value = Line.substr(Colon + 1);
      Value.erase(0, Value.find_first_not_of(' '));
      Headers[toLower(Line.substr(0, Colon))] = Value;
    }
    const auto Length = Headers.find("content-length");
    const auto Size =
        Length == Headers.end() ? std::size_t{0} : std::stoull(Length->second);
    while (Buffer_.size() < Size)
      if (!receive(Deadline))
        return false;
    Body = Buffer_.substr(0, Size);
    Buffer_.erase(0, Size);
    return true;
  }

private:
  auto receive(Clock::time_point Deadline) -> bool {
    const auto Left =
        std::chrono::duration_cast<Millis>(Deadline - Clock::now()).count();
    if (Left <= 0)
      return false;
    pollfd Poll{Socket_, POLLIN, 0};
    if (::poll(&Poll, 1, static_cast<int>(Left)) <= 0)
      return false;
    char Bytes[16384];
    const auto Count = ::recv(Socket_, Bytes, sizeof Bytes, 0);
    if (Count <= 0)
      return false;
    Buffer_.append(Bytes, static_cast<std::size_t>(Count));
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

inline auto makeAddress(const std::string &Host, int Port) -> sockaddr_in {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Host.c_str(), &Address.sin_addr);
  return Address;
}

class HttpServer {
public:
  using Handler = std::function<HttpResponse(const HttpRequest &)>;

  HttpServer(std::string Host, int Port, Handler Handle)
      : Host_(std::move(Host)), Port_(Port), Handle_(std::move(Handle)) {}
  ~HttpServer() { stop(); }
  HttpServer(const HttpServer &) = delete;
  auto operator=(const HttpServer &) -> HttpServer & = delete;

  auto start() -> void {
    Listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    ::setsockopt(Listener_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    auto Address = makeAddress(Host_, Port_);
    if (::bind(Listener_, reinterpret_cast<sockaddr *>(&Address),
               sizeof Address) != 0 ||
        ::listen(Listener_, 512) != 0)
      throw std::runtime_error("cannot listen on " + Host_ + ":" +
                               std::to_string(Port_));
    Stopping_ = false;
    Acceptor_ = std::thread([this] { accept(); });
  }

  /// Closes the listener and resets every connection.
  auto stop() -> void {
    if (Listener_ < 0)
      return;
    Stopping_ = true;
    ::shutdown(Listener_, SHUT_RDWR);
    Acceptor_.join();
    ::close(Listener_);
    Listener_ = -1;
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      for (const auto Each : Sockets_)
        ::shutdown(Each, SHUT_RDWR);
    }
    while (Open_ > 0)
      std::this_thread::sleep_for(Millis{2});
  }

private:
  auto accept() -> void {
    while (!Stopping_) {
      const auto Socket = ::accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0) {
        std::this_thread::sleep_for(Millis{1});
        continue;
      }
      const int On = 1;
      ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      ++Open_;
      {
        const std::lock_guard<std::mutex> Lock(Mutex_);
        Sockets_.insert(Socket);
      }
      std::thread([this, Socket] { serve(Socket); }).detach();
    }
  }

  auto serve(int Socket) -> void {
    MessageReader Reader(Socket);
    std::string Line;
    HttpRequest Request;
    while (!Stopping_ && Reader.read(Line, Request.Headers_, Request.Body_,
                                     Clock::now() + std::chrono::hours{1})) {
      const auto First = Line.find(' ');
      const auto Second = Line.find(' ', First + 1);
      Request.Method_ = Line.substr(0, First);
      Request.Query_.clear();
      splitPath(Line.substr(First + 1, Second - First - 1), Request);
      const auto Response = Handle_(Request);
      if (Response.Silent_)
        continue;
      if (Stopping_ ||
          !sendAll(Socket, "HTTP/1.1 " + std::to_string(Response.Status_) +
                               " stand-in\r\nContent-Type: application/json\r\n"
                               "Content-Length: " +
                               std::to_string(Response.Body_.size()) +
                               "\r\n\r\n" + Response.Body_))
        break;
    }
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Sockets_.erase(Socket);
      ::close(Socket);
    }
    --Open_;
  }

  std::string Host_;
  int Port_;
  Handler Handle_;
  int Listener_ = -1;
  std::atomic<bool> Stopping_{false};
  std::atomic<int> Open_{0};
  std::thread Acceptor_;
  std::mutex Mutex_;
  std::set<int> Sockets_;
};

/// Sends one request on a connection of its own and waits for the answer.
inline auto httpCall(const std::string &Host, int Port,
                     const std::string &Method, const std::string &Path,
                     const std::string &Body, Millis Timeout,
                     const std::string &HostHeader = "") -> HttpReply {
  const auto Deadline = Clock::now() + Timeout;
  HttpReply Reply;
  const auto Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  auto Address = makeAddress(Host, Port);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof Address) == 0) {
    std::string Message =
        Method + " " + Path + " HTTP/1.1\r\nHost: " +
        (HostHeader.empty() ? Host + ":" + std::to_string(Port) : HostHeader) +
        "\r\nDeadline-Ms: " + std::to_string(Timeout.count()) + "\r\n";
    if (!Body.empty())
      Message += "Content-Type: application/json\r\n";
    Message +=
        "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
    MessageReader Reader(Socket);
    std::string Line;
    std::map<std::string, std::string> Headers;
    if (sendAll(Socket, Message) &&
        Reader.read(Line, Headers, Reply.Body_, Deadline))
      Reply.Status_ = std::stoi(Line.substr(Line.find(' ') + 1));
  }
  ::close(Socket);
  return Reply;
}

} // namespace review
