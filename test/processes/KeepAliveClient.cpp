#include "test/processes/KeepAliveClient.h"

namespace skylark::soak {
namespace {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

/// The reader gives up to this much before its deadline.
constexpr milliseconds ReaderGranularity{2};

/// Whether the peer has closed an idle connection.
auto closedByPeer(int Socket) -> bool {
  pollfd Poll{Socket, POLLIN, 0};
  return ::poll(&Poll, 1, 0) > 0;
}

} // namespace

KeepAliveClient::~KeepAliveClient() {
  for (auto &[Entry, Each] : Connections_)
    ::close(Each.Socket_);
}

auto KeepAliveClient::call(int Entry, const std::string &Method,
                           const review::Queue &To, const std::string &Path,
                           const std::string &Body, milliseconds Timeout)
    -> CallResult {
  CallResult Result;
  auto *Open = connection(Entry);
  if (Open == nullptr)
    return Result;
  std::string Message =
      Method + " " + To.Prefix_ + Path + " HTTP/1.1\r\nHost: " + To.Host_ +
      "\r\nDeadline-Ms: " + std::to_string(Timeout.count()) + "\r\n";
  if (!Body.empty())
    Message += "Content-Type: application/json\r\n";
  Message +=
      "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  const auto Sent = review::sendAll(Open->Socket_, Message);
  Result.SentAt_ = SteadyClock::now();
  const auto Deadline = Result.SentAt_ + Timeout;
  std::string Line;
  std::map<std::string, std::string> Headers;
  if (Sent && Open->Reader_->read(Line, Headers, Result.Body_, Deadline)) {
    Result.End_ = CallEnd::Answered;
    Result.Status_ = std::stoi(Line.substr(Line.find(' ') + 1));
  } else {
    Result.End_ = SteadyClock::now() + ReaderGranularity >= Deadline
                      ? CallEnd::TimedOut
                      : CallEnd::Cut;
  }
  Result.Waited_ = std::chrono::duration_cast<milliseconds>(SteadyClock::now() -
                                                            Result.SentAt_);
  const auto Closes = Headers.find("connection");
  if (Result.End_ != CallEnd::Answered ||
      (Closes != Headers.end() && Closes->second == "close"))
    drop(Entry);
  return Result;
}

auto KeepAliveClient::connection(int Entry) -> Connection * {
  const auto Found = Connections_.find(Entry);
  if (Found != Connections_.end() && !closedByPeer(Found->second.Socket_))
    return &Found->second;
  drop(Entry);
  const auto Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  auto Address = review::makeAddress(Site_.frontHost(Entry), Site_.frontPort());
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof Address) != 0) {
    ::close(Socket);
    return nullptr;
  }
  Connections_[Entry] = {Socket,
                         std::make_unique<review::MessageReader>(Socket)};
  return &Connections_[Entry];
}

auto KeepAliveClient::drop(int Entry) -> void {
  const auto Found = Connections_.find(Entry);
  if (Found == Connections_.end())
    return;
  ::close(Found->second.Socket_);
  Connections_.erase(Found);
}

} // namespace skylark::soak
