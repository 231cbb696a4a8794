#include "runtime/HttpClient.h"

#include "core/Assert.h"
#include "runtime/Process.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <map>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace skylark {
namespace {

constexpr long ConnectTimeoutMs = 500;
constexpr long MaxCachedConnections = 512;
/// A larger answer fails the call.
constexpr std::size_t MaxAnswerBytes = std::size_t{16} * 1024 * 1024;

/// The local ports of a pool's open connections, with the connections' numbers.
using ConnectionNumbers = std::map<int, std::uint64_t>;

/// Gives numbers to all connections of the process. All pools of a client are
/// used on one thread, but a process may have several clients.
auto nextConnectionNumber() -> std::uint64_t {
  static std::atomic<std::uint64_t> Last{0};
  return ++Last;
}

/// The local port of a socket; 0 if it has none.
auto localPort(curl_socket_t SocketFd) -> int {
  sockaddr_storage Local{};
  socklen_t Size = sizeof(Local);
  if (getsockname(SocketFd, reinterpret_cast<sockaddr *>(&Local), &Size) != 0)
    return 0;
  if (Local.ss_family == AF_INET)
    return ntohs(reinterpret_cast<const sockaddr_in &>(Local).sin_port);
  if (Local.ss_family == AF_INET6)
    return ntohs(reinterpret_cast<const sockaddr_in6 &>(Local).sin6_port);
  return 0;
}

/// Called by libcurl to close a connection. Its port may be used again at once.
auto closeConnection(void *User, curl_socket_t SocketFd) -> int {
  static_cast<ConnectionNumbers *>(User)->erase(localPort(SocketFd));
  return close(SocketFd);
}

struct Transfer {
  CURL *Easy_ = nullptr;
  curl_slist *Headers_ = nullptr;
  HttpCall Call_;
  HttpResult Result_;
  /// When a part of the answer last arrived.
  TimePoint LastByteAt_{};
  std::function<void(HttpResult)> Done_;
  ConnectionNumbers *Connections_ = nullptr;

  ~Transfer() {
    curl_slist_free_all(Headers_);
    curl_easy_cleanup(Easy_);
  }
};

auto writeBody(char *Data, std::size_t Size, std::size_t Count, void *User)
    -> std::size_t {
  static_cast<Transfer *>(User)->LastByteAt_ = SteadyClock::now();
  auto &Body = static_cast<Transfer *>(User)->Result_.Body_;
  if (Body.size() + Size * Count > MaxAnswerBytes)
    return 0;
  Body.append(Data, Size * Count);
  return Size * Count;
}

auto writeHeader(char *Data, std::size_t Size, std::size_t Count, void *User)
    -> std::size_t {
  std::string Line(Data, Size * Count);
  while (!Line.empty() && (Line.back() == '\n' || Line.back() == '\r'))
    Line.pop_back();
  auto &Each = *static_cast<Transfer *>(User);
  Each.LastByteAt_ = SteadyClock::now();
  Each.Result_.Headers_.push_back(std::move(Line));
  return Size * Count;
}

/// Called before each copy of the request is sent.
auto admitCopy(void *User, char * /*RemoteAddress*/, char * /*LocalAddress*/,
               int /*RemotePort*/, int LocalPort) -> int {
  auto &Each = *static_cast<Transfer *>(User);
  auto &Number = (*Each.Connections_)[LocalPort];
  long Opened = 0;
  curl_easy_getinfo(Each.Easy_, CURLINFO_NUM_CONNECTS, &Opened);
  // The port may have been that of a connection which the other end has reset.
  if (Number == 0 || Opened != 0)
    Number = nextConnectionNumber();
  Each.Result_.Connection_ = Number;
  if (Each.Call_.Admit_ && !Each.Call_.Admit_(Number))
    return CURL_PREREQFUNC_ABORT;
  ++Each.Result_.Copies_;
  return CURL_PREREQFUNC_OK;
}

/// \returns whether no copy of the request was sent. Another copy may have been
/// sent before the connection for this one failed.
auto neverSent(CURLcode Code, int Copies) -> bool {
  return Copies == 0 &&
         (Code == CURLE_COULDNT_CONNECT || Code == CURLE_COULDNT_RESOLVE_HOST ||
          Code == CURLE_ABORTED_BY_CALLBACK);
}

/// An answer of which nothing has arrived for this long has been cut off.
constexpr Millis SilencePeriod{500};

/// \returns whether the request was sent and the connection has gone silent,
/// after which the other connections to the host may be silent too. An answer
/// that is still arriving when the call times out doesn't show that.
auto hasGoneSilent(CURLcode Code, const Transfer &Each) -> bool {
  return Code == CURLE_OPERATION_TIMEDOUT && Each.Result_.Copies_ > 0 &&
         (Each.Result_.Headers_.empty() ||
          SteadyClock::now() - Each.LastByteAt_ >= SilencePeriod);
}

/// The host and port of a URL.
auto hostOf(const std::string &Url) -> std::string {
  constexpr std::string_view Separator = "://";
  const auto Scheme = Url.find(Separator);
  const auto Begin =
      Scheme == std::string::npos ? 0 : Scheme + Separator.size();
  return Url.substr(Begin, Url.find_first_of("/?", Begin) - Begin);
}

/// The kept connections to one host and the calls that use them.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
public:
  /// \param Unanswered called when a request has been sent and nothing came
  ///   back in time, before the result of the call is reported.
  ConnectionPool(asio::io_context &Traffic,
                 std::function<void(const ConnectionPool &)> Unanswered)
      : Traffic_(Traffic), Unanswered_(std::move(Unanswered)), Timer_(Traffic),
        Multi_(curl_multi_init()) {
    curl_multi_setopt(Multi_, CURLMOPT_SOCKETFUNCTION, onSocket);
    curl_multi_setopt(Multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(Multi_, CURLMOPT_TIMERFUNCTION, onTimer);
    curl_multi_setopt(Multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, MaxCachedConnections);
  }

  ~ConnectionPool() {
    for (auto &Each : Transfers_)
      curl_multi_remove_handle(Multi_, Each.first);
    Transfers_.clear();
    curl_multi_cleanup(Multi_);
    for (auto &Each : Sockets_)
      Each.second->Descriptor_.release();
  }

  ConnectionPool(const ConnectionPool &) = delete;
  auto operator=(const ConnectionPool &) -> ConnectionPool & = delete;

  auto idle() const -> bool { return Transfers_.empty(); }

  auto call(HttpCall Call, std::function<void(HttpResult)> Done) -> void {
    auto Each = std::make_unique<Transfer>();
    Each->Easy_ = curl_easy_init();
    Each->Call_ = std::move(Call);
    Each->Done_ = std::move(Done);
    prepare(*Each);
    auto *Easy = Each->Easy_;
    Transfers_[Easy] = std::move(Each);
    curl_multi_add_handle(Multi_, Easy);
  }

private:
  struct Socket {
    explicit Socket(asio::io_context &Traffic, curl_socket_t SocketFd)
        : Descriptor_(Traffic, SocketFd) {}
    asio::posix::stream_descriptor Descriptor_;
    int PollAction_ = 0;
    bool ReadPending_ = false;
    bool WritePending_ = false;
  };

  auto prepare(Transfer &Each) -> void {
    auto *Easy = Each.Easy_;
    Each.Connections_ = &Connections_;
    const auto &Call = Each.Call_;
    curl_easy_setopt(Easy, CURLOPT_URL, Call.Url_.c_str());
    curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Call.Method_.c_str());
    curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT,
                     Call.DedicatedConnection_ ? 1L : 0L);
    curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE,
                     Call.DedicatedConnection_ ? 1L : 0L);
    const auto Timeout = std::chrono::ceil<Millis>(Call.Timeout_).count();
    curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS, static_cast<long>(Timeout));
    curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, writeBody);
    curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Each);
    curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, writeHeader);
    curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Each);
    curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, admitCopy);
    curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &Each);
    curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETFUNCTION, closeConnection);
    curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETDATA, &Connections_);
    if (Call.Method_ == "POST" || Call.Method_ == "PUT") {
      curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Call.Body_.data());
      curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(Call.Body_.size()));
    }
    // Without this, libcurl sends "Expect: 100-continue" with a larger body and
    // waits for the server's interim answer before it sends the body.
    Each.Headers_ = curl_slist_append(Each.Headers_, "Expect:");
    for (const auto &Line : Call.Headers_)
      Each.Headers_ = curl_slist_append(Each.Headers_, Line.c_str());
    curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Each.Headers_);
  }

  static auto onSocket(CURL * /*Easy*/, curl_socket_t SocketFd, int PollAction,
                       void *User, void * /*SocketData*/) -> int {
    static_cast<ConnectionPool *>(User)->updateSocket(SocketFd, PollAction);
    return 0;
  }

  static auto onTimer(CURLM * /*Multi*/, long TimeoutMs, void *User) -> int {
    static_cast<ConnectionPool *>(User)->setTimer(TimeoutMs);
    return 0;
  }

  auto updateSocket(curl_socket_t SocketFd, int PollAction) -> void {
    if (PollAction == CURL_POLL_REMOVE) {
      const auto Found = Sockets_.find(SocketFd);
      if (Found == Sockets_.end())
        return;
      Found->second->PollAction_ = 0;
      Found->second->Descriptor_.release();
      Sockets_.erase(Found);
      return;
    }
    auto &Each = Sockets_[SocketFd];
    if (!Each)
      Each = std::make_shared<Socket>(Traffic_, SocketFd);
    Each->PollAction_ = PollAction;
    startWaits(SocketFd, Each);
  }

  auto startWaits(curl_socket_t SocketFd, const std::shared_ptr<Socket> &Each)
      -> void {
    using Descriptor = asio::posix::stream_descriptor;
    if ((Each->PollAction_ & CURL_POLL_IN) != 0 && !Each->ReadPending_)
      startWait(SocketFd, Each, Descriptor::wait_read, CURL_CSELECT_IN,
                &Socket::ReadPending_);
    if ((Each->PollAction_ & CURL_POLL_OUT) != 0 && !Each->WritePending_)
      startWait(SocketFd, Each, Descriptor::wait_write, CURL_CSELECT_OUT,
                &Socket::WritePending_);
  }

  auto startWait(curl_socket_t SocketFd, const std::shared_ptr<Socket> &Each,
                 asio::posix::stream_descriptor::wait_type WaitType, int Event,
                 bool Socket::*PendingFlag) -> void {
    (*Each).*PendingFlag = true;
    Each->Descriptor_.async_wait(
        WaitType, [Weak = weak_from_this(), SocketFd, Each, Event,
                   PendingFlag](std::error_code Error) {
          const auto Self = Weak.lock();
          (*Each).*PendingFlag = false;
          if (!Self || Error || Each->PollAction_ == 0)
            return;
          int Running = 0;
          curl_multi_socket_action(Self->Multi_, SocketFd, Event, &Running);
          Self->completeTransfers();
          const auto Current = Self->Sockets_.find(SocketFd);
          if (Current != Self->Sockets_.end() && Current->second == Each)
            Self->startWaits(SocketFd, Each);
        });
  }

  auto setTimer(long TimeoutMs) -> void {
    Timer_.cancel();
    if (TimeoutMs < 0)
      return;
    Timer_.expires_after(Millis{TimeoutMs});
    Timer_.async_wait([Weak = weak_from_this()](std::error_code Error) {
      const auto Self = Weak.lock();
      if (!Self || Error)
        return;
      int Running = 0;
      curl_multi_socket_action(Self->Multi_, CURL_SOCKET_TIMEOUT, 0, &Running);
      Self->completeTransfers();
    });
  }

  auto completeTransfers() -> void {
    int Remaining = 0;
    while (auto *Message = curl_multi_info_read(Multi_, &Remaining)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      const auto Found = Transfers_.find(Message->easy_handle);
      SKYLARK_ASSERT(Found != Transfers_.end(),
                     "libcurl ended an unknown transfer");
      const auto Each = std::move(Found->second);
      const auto Code = Message->data.result;
      Transfers_.erase(Found);
      curl_multi_remove_handle(Multi_, Each->Easy_);
      long Status = 0;
      curl_easy_getinfo(Each->Easy_, CURLINFO_RESPONSE_CODE, &Status);
      Each->Result_.Complete_ = Code == CURLE_OK;
      Each->Result_.NeverSent_ = neverSent(Code, Each->Result_.Copies_);
      Each->Result_.Status_ = static_cast<std::uint16_t>(Status);
      if (hasGoneSilent(Code, *Each))
        Unanswered_(*this);
      Each->Done_(std::move(Each->Result_));
    }
  }

  asio::io_context &Traffic_;
  std::function<void(const ConnectionPool &)> Unanswered_;
  asio::steady_timer Timer_;
  CURLM *Multi_;
  ConnectionNumbers Connections_;
  std::map<CURL *, std::unique_ptr<Transfer>> Transfers_;
  std::map<curl_socket_t, std::shared_ptr<Socket>> Sockets_;
};

} // namespace

class HttpClient::Implementation
    : public std::enable_shared_from_this<Implementation> {
public:
  explicit Implementation(asio::io_context &Traffic) : Traffic_(Traffic) {}

  auto call(HttpCall Call, std::function<void(HttpResult)> Done) -> void {
    const auto Idle = [](const auto &Each) { return Each->idle(); };
    Retired_.erase(std::remove_if(Retired_.begin(), Retired_.end(), Idle),
                   Retired_.end());
    const auto Host = hostOf(Call.Url_);
    auto &Pool = Pools_[Host];
    if (!Pool)
      Pool = std::make_shared<ConnectionPool>(
          Traffic_,
          [Weak = weak_from_this(), Host](const ConnectionPool &Silent) {
            if (const auto Self = Weak.lock())
              Self->retire(Host, Silent);
          });
    Pool->call(std::move(Call), std::move(Done));
  }

private:
  /// Lets the calls of a pool end, but makes no more with it.
  auto retire(const std::string &Host, const ConnectionPool &Silent) -> void {
    const auto Found = Pools_.find(Host);
    if (Found == Pools_.end() || Found->second.get() != &Silent)
      return;
    logEvent("connections-retired", Host + " left a request unanswered");
    Retired_.push_back(std::move(Found->second));
    Pools_.erase(Found);
  }

  asio::io_context &Traffic_;
  std::map<std::string, std::shared_ptr<ConnectionPool>> Pools_;
  /// Pools of which a call wasn't answered: all their connections may be
  /// silent. Each is kept until its last call has ended.
  std::vector<std::shared_ptr<ConnectionPool>> Retired_;
};

HttpClient::HttpClient(asio::io_context &Traffic)
    : Implementation_(std::make_shared<Implementation>(Traffic)) {}

HttpClient::~HttpClient() = default;

auto HttpClient::call(HttpCall Call, std::function<void(HttpResult)> Done)
    -> void {
  Implementation_->call(std::move(Call), std::move(Done));
}

} // namespace skylark
