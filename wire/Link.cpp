#include "wire/Link.h"

#include "wire/LinkLiveness.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <map>

namespace skylark {
namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;

constexpr long HandshakeTimeoutMs = 2000;
constexpr long CloseTimeoutMs = 500;
/// How long sent bytes may stay unacknowledged before the connection counts as
/// lost. What arrives doesn't show that: entries send on a connection each.
constexpr Millis UnacknowledgedTimeout{2000};
/// Takes half a second on a link of 10 Mbit/s.
constexpr std::size_t MinBacklogBytes = std::size_t{512} * 1024;
constexpr Millis InitialReconnectDelay{100};
constexpr Millis MaxReconnectDelay{2000};

/// Limits how long sent bytes may stay unacknowledged on a new connection.
template <typename Endpoint>
auto limitUnacknowledged(Endpoint &Each, const Handle &Connection) -> void {
  websocketpp::lib::error_code Error;
  const auto New = Each.get_con_from_hdl(Connection, Error);
  if (Error)
    return;
  const auto Timeout = static_cast<unsigned>(UnacknowledgedTimeout.count());
  ::setsockopt(New->get_raw_socket().native_handle(), IPPROTO_TCP,
               TCP_USER_TIMEOUT, &Timeout, sizeof(Timeout));
}

template <typename Endpoint> auto configure(Endpoint &Each) -> void {
  Each.clear_access_channels(websocketpp::log::alevel::all);
  Each.clear_error_channels(websocketpp::log::elevel::all);
  Each.set_max_message_size(MaxLinkMessageBytes);
  Each.set_open_handshake_timeout(HandshakeTimeoutMs);
  Each.set_close_handshake_timeout(CloseTimeoutMs);
  Each.set_tcp_pre_init_handler([&Each](const Handle &Connection) {
    limitUnacknowledged(Each, Connection);
  });
}

/// Sends on an open connection. Closes it instead where more than
/// MaxLinkBufferBytes wait to be sent, which bounds the memory that a slow or
/// unresponsive reader takes.
template <typename Endpoint>
auto sendOnConnection(Endpoint &Each, const Handle &Connection,
                      const std::string &Bytes) -> void {
  websocketpp::lib::error_code Error;
  const auto Open = Each.get_con_from_hdl(Connection, Error);
  if (Error)
    return;
  if (Open->get_buffered_amount() > MaxLinkBufferBytes) {
    Open->terminate(websocketpp::lib::error_code());
    return;
  }
  Each.send(Connection, Bytes, websocketpp::frame::opcode::binary, Error);
}

/// Whether so many bytes wait to be sent or acknowledged that a probe behind
/// them can't be answered soon. UnacknowledgedTimeout then limits how long they
/// make no progress.
template <typename Endpoint>
auto hasBacklog(Endpoint &Each, const Handle &Connection) -> bool {
  websocketpp::lib::error_code Error;
  const auto Open = Each.get_con_from_hdl(Connection, Error);
  if (Error)
    return false;
  int Unacknowledged = 0;
  const auto Known = ::ioctl(Open->get_raw_socket().native_handle(), SIOCOUTQ,
                             &Unacknowledged) == 0;
  return Open->get_buffered_amount() +
             (Known ? static_cast<std::size_t>(Unacknowledged) : 0) >
         MinBacklogBytes;
}

/// Starts closing a connection and doesn't wait for the other end, which may
/// be unreachable.
template <typename Endpoint>
auto dropConnection(Endpoint &Each, const Handle &Connection) -> void {
  websocketpp::lib::error_code Error;
  Each.close(Connection, websocketpp::close::status::going_away, "", Error);
}

/// Returns why a connection that this end didn't drop has ended.
template <typename Endpoint>
auto endOf(Endpoint &Each, const Handle &Connection) -> LinkEnd {
  websocketpp::lib::error_code Error;
  const auto Ended = Each.get_con_from_hdl(Connection, Error);
  if (Error)
    return LinkEnd::Failed;
  return linkEndOf(Ended->get_ec(),
                   Ended->get_remote_close_code() !=
                       websocketpp::close::status::abnormal_close);
}

} // namespace

class LinkServer::Implementation
    : public std::enable_shared_from_this<Implementation> {
public:
  Implementation(asio::io_context &IoContext, LinkHandlers Handlers)
      : IoContext_(IoContext), Handlers_(std::move(Handlers)),
        LivenessTimer_(IoContext) {
    configure(Server_);
    Server_.init_asio(&IoContext_);
    // Returning true answers the ping.
    Server_.set_ping_handler([this](const Handle &Each, const std::string &) {
      recordReceipt(Each);
      return true;
    });
    Server_.set_reuse_addr(true);
    Server_.set_open_handler([this](const Handle &Each) { opened(Each); });
    Server_.set_close_handler([this](const Handle &Each) { closed(Each); });
    Server_.set_message_handler(
        [this](const Handle &Each, const Server::message_ptr &Message) {
          received(Each, Message->get_payload());
        });
  }

  auto listen(const std::string &Host, std::uint16_t Port) -> void {
    const auto Address = asio::ip::make_address(Host);
    websocketpp::lib::error_code Error;
    Server_.listen(asio::ip::tcp::endpoint(Address, Port), Error);
    if (Error)
      throw std::system_error(Error,
                              "listen on " + Host + ":" + std::to_string(Port));
    Server_.start_accept();
    scheduleLivenessCheck();
  }

  auto send(SessionNumber Session, const std::string &Bytes) -> void {
    const auto Found = Handles_.find(Session);
    if (Found != Handles_.end())
      sendOnConnection(Server_, Found->second, Bytes);
  }

  auto close(SessionNumber Session) -> void {
    const auto Found = Handles_.find(Session);
    if (Found == Handles_.end())
      return;
    const auto Connection = Found->second;
    Sessions_.erase(Connection);
    Handles_.erase(Found);
    Liveness_.erase(Session);
    dropConnection(Server_, Connection);
  }

  auto stop() -> void {
    LivenessTimer_.cancel();
    websocketpp::lib::error_code Error;
    Server_.stop_listening(Error);
    const auto Open = Handles_;
    for (const auto &Each : Open)
      close(Each.first);
  }

  auto ioContext() -> asio::io_context & { return IoContext_; }

private:
  auto opened(const Handle &Each) -> void {
    const auto Session = ++NextSession_;
    Handles_[Session] = Each;
    Sessions_[Each] = Session;
    Liveness_[Session] = {};
    websocketpp::lib::error_code Error;
    const auto Connection = Server_.get_con_from_hdl(Each, Error);
    Handlers_.Opened_(Session, Error ? "" : Connection->get_resource());
  }

  auto closed(const Handle &Each) -> void {
    const auto Found = Sessions_.find(Each);
    if (Found == Sessions_.end())
      return;
    const auto Session = Found->second;
    Sessions_.erase(Found);
    Handles_.erase(Session);
    Liveness_.erase(Session);
    Handlers_.Closed_(Session, endOf(Server_, Each));
  }

  auto received(const Handle &Each, const std::string &Bytes) -> void {
    recordReceipt(Each);
    const auto Found = Sessions_.find(Each);
    if (Found != Sessions_.end())
      Handlers_.Received_(Found->second, Bytes);
  }

  auto recordReceipt(const Handle &Each) -> void {
    const auto Found = Sessions_.find(Each);
    if (Found != Sessions_.end())
      Liveness_[Found->second].received();
  }

  auto scheduleLivenessCheck() -> void {
    LivenessTimer_.expires_after(LinkCheckInterval);
    LivenessTimer_.async_wait([Self = weak_from_this()](std::error_code Error) {
      const auto Server = Self.lock();
      if (Error || !Server)
        return;
      Server->closeDead();
      Server->scheduleLivenessCheck();
    });
  }

  auto closeDead() -> void {
    std::vector<SessionNumber> Dead;
    for (auto &[Session, Each] : Liveness_)
      if (Each.isDead())
        Dead.push_back(Session);
    for (const auto Session : Dead) {
      close(Session);
      Handlers_.Closed_(Session, LinkEnd::Unanswered);
    }
  }

  asio::io_context &IoContext_;
  LinkHandlers Handlers_;
  Server Server_;
  SessionNumber NextSession_ = 0;
  std::map<SessionNumber, Handle> Handles_;
  std::map<Handle, SessionNumber, std::owner_less<Handle>> Sessions_;
  std::map<SessionNumber, AcceptedLinkLiveness> Liveness_;
  asio::steady_timer LivenessTimer_;
};

LinkServer::LinkServer(asio::io_context &IoContext, LinkHandlers Handlers)
    : Implementation_(
          std::make_shared<Implementation>(IoContext, std::move(Handlers))) {}

LinkServer::~LinkServer() = default;

auto LinkServer::listen(const std::string &Host, std::uint16_t Port) -> void {
  Implementation_->listen(Host, Port);
}

auto LinkServer::send(SessionNumber Session, std::string Bytes) -> void {
  asio::post(Implementation_->ioContext(),
             [Self = Implementation_, Session, Payload = std::move(Bytes)] {
               Self->send(Session, Payload);
             });
}

auto LinkServer::close(SessionNumber Session) -> void {
  asio::post(Implementation_->ioContext(),
             [Self = Implementation_, Session] { Self->close(Session); });
}

auto LinkServer::stop() -> void {
  asio::post(Implementation_->ioContext(),
             [Self = Implementation_] { Self->stop(); });
}

class LinkClient::Implementation
    : public std::enable_shared_from_this<Implementation> {
public:
  Implementation(asio::io_context &IoContext, std::string Address,
                 std::string Path, std::function<SessionNumber()> NextSession,
                 LinkHandlers Handlers)
      : IoContext_(IoContext), Address_(std::move(Address)),
        Path_(std::move(Path)), NextSession_(std::move(NextSession)),
        Handlers_(std::move(Handlers)), ReconnectTimer_(IoContext),
        LivenessTimer_(IoContext) {
    configure(Client_);
    Client_.init_asio(&IoContext_);
  }

  auto connect() -> void {
    if (Stopped_)
      return;
    websocketpp::lib::error_code Error;
    const auto Connection =
        Client_.get_connection("ws://" + Address_ + Path_, Error);
    if (Error) {
      scheduleReconnect();
      return;
    }
    const auto Self = shared_from_this();
    const auto Session = NextSession_();
    CurrentSession_ = Session;
    Connection->set_open_handler(
        [Self, Session](const Handle &Each) { Self->opened(Session, Each); });
    Connection->set_fail_handler([Self, Session](const Handle &) {
      Self->closed(Session, LinkEnd::Failed);
    });
    Connection->set_close_handler([Self, Session](const Handle &Each) {
      Self->closed(Session, endOf(Self->Client_, Each));
    });
    Connection->set_message_handler(
        [Self, Session](const Handle &, const Client::message_ptr &Message) {
          if (Self->CurrentSession_ != Session)
            return;
          Self->Liveness_.received();
          Self->Handlers_.Received_(Session, Message->get_payload());
        });
    Connection->set_pong_handler(
        [Self, Session](const Handle &, const std::string &) {
          if (Self->CurrentSession_ == Session)
            Self->Liveness_.received();
        });
    Client_.connect(Connection);
  }

  auto send(SessionNumber Session, const std::string &Bytes) -> void {
    if (Session == CurrentSession_ && Open_)
      sendOnConnection(Client_, Handle_, Bytes);
  }

  auto dropAndReconnect(SessionNumber Session) -> void {
    if (Session != CurrentSession_ || !Open_)
      return;
    dropConnection(Client_, Handle_);
    closed(Session, LinkEnd::Replaced);
  }

  auto stop() -> void {
    Stopped_ = true;
    ReconnectTimer_.cancel();
    LivenessTimer_.cancel();
    if (Open_)
      dropConnection(Client_, Handle_);
    CurrentSession_ = 0;
  }

  auto ioContext() -> asio::io_context & { return IoContext_; }

private:
  auto opened(SessionNumber Session, const Handle &Each) -> void {
    if (Session != CurrentSession_) {
      dropConnection(Client_, Each);
      return;
    }
    Open_ = true;
    Handle_ = Each;
    ReconnectDelay_ = InitialReconnectDelay;
    Liveness_ = {};
    scheduleLivenessCheck(Session);
    Handlers_.Opened_(Session, Path_);
  }

  auto scheduleLivenessCheck(SessionNumber Session) -> void {
    LivenessTimer_.expires_after(LinkCheckInterval);
    LivenessTimer_.async_wait(
        [Self = shared_from_this(), Session](std::error_code Error) {
          if (!Error && Session == Self->CurrentSession_ && Self->Open_)
            Self->checkLiveness(Session);
        });
  }

  auto checkLiveness(SessionNumber Session) -> void {
    if (hasBacklog(Client_, Handle_))
      Liveness_.received();
    const auto Check = Liveness_.check();
    if (Check == LinkCheck::Dead) {
      dropConnection(Client_, Handle_);
      closed(Session, LinkEnd::Unanswered);
      return;
    }
    websocketpp::lib::error_code Error;
    if (Check == LinkCheck::Probe)
      Client_.ping(Handle_, "", Error);
    scheduleLivenessCheck(Session);
  }

  auto closed(SessionNumber Session, LinkEnd End) -> void {
    if (Session != CurrentSession_)
      return;
    const auto WasOpen = Open_;
    Open_ = false;
    CurrentSession_ = 0;
    if (WasOpen)
      Handlers_.Closed_(Session, End);
    scheduleReconnect();
  }

  auto scheduleReconnect() -> void {
    if (Stopped_)
      return;
    ReconnectTimer_.expires_after(ReconnectDelay_);
    ReconnectDelay_ = std::min(ReconnectDelay_ * 2, MaxReconnectDelay);
    ReconnectTimer_.async_wait(
        [Self = shared_from_this()](std::error_code Error) {
          if (!Error)
            Self->connect();
        });
  }

  asio::io_context &IoContext_;
  std::string Address_;
  std::string Path_;
  std::function<SessionNumber()> NextSession_;
  LinkHandlers Handlers_;
  Client Client_;
  asio::steady_timer ReconnectTimer_;
  asio::steady_timer LivenessTimer_;
  LinkLiveness Liveness_;
  Millis ReconnectDelay_ = InitialReconnectDelay;
  Handle Handle_;
  SessionNumber CurrentSession_ = 0;
  bool Open_ = false;
  bool Stopped_ = false;
};

LinkClient::LinkClient(asio::io_context &IoContext, std::string Address,
                       std::string Path,
                       std::function<SessionNumber()> NextSession,
                       LinkHandlers Handlers)
    : Implementation_(std::make_shared<Implementation>(
          IoContext, std::move(Address), std::move(Path),
          std::move(NextSession), std::move(Handlers))) {}

LinkClient::~LinkClient() = default;

auto LinkClient::start() -> void {
  asio::post(Implementation_->ioContext(),
             [Self = Implementation_] { Self->connect(); });
}

auto LinkClient::send(SessionNumber Session, std::string Bytes) -> void {
  asio::post(Implementation_->ioContext(),
             [Self = Implementation_, Session, Payload = std::move(Bytes)] {
               Self->send(Session, Payload);
             });
}

auto LinkClient::dropAndReconnect(SessionNumber Session) -> void {
  asio::post(Implementation_->ioContext(), [Self = Implementation_, Session] {
    Self->dropAndReconnect(Session);
  });
}

auto LinkClient::stop() -> void {
  asio::post(Implementation_->ioContext(),
             [Self = Implementation_] { Self->stop(); });
}

} // namespace skylark
