#include "test/processes/Forwarder.h"

#include "test/processes/SiteAddresses.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <future>
#include <system_error>

namespace skylark::soak {
namespace {

using Tcp = asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t ChunkBytes = 16384;
constexpr int ListenBacklog = 512;

auto resetSocket(Tcp::socket &Socket) -> void {
  std::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

} // namespace

struct Forwarder::Listener {
  Listener(asio::io_context &Context, Tcp::endpoint Target, Pair Kind)
      : Acceptor_(Context), Target_(std::move(Target)), Kind_(Kind) {}

  Tcp::acceptor Acceptor_;
  Tcp::endpoint Target_;
  Pair Kind_;
};

class Forwarder::Connection
    : public std::enable_shared_from_this<Forwarder::Connection> {
public:
  Connection(Forwarder &Owner, Pair Kind, int SourceOctet, Tcp::socket Source)
      : Kind_(Kind), SourceOctet_(SourceOctet), Owner_(Owner),
        Source_(std::move(Source)),
        Target_(Owner.Context_), Forward_{Source_, Target_,
                                          asio::steady_timer(Owner.Context_)},
        Backward_{Target_, Source_, asio::steady_timer(Owner.Context_)} {}

  auto start(const Tcp::endpoint &Target) -> void {
    Target_.async_connect(
        Target, [Self = shared_from_this()](const std::error_code &Error) {
          if (Error)
            return Self->end();
          std::error_code Ignored;
          Self->Source_.set_option(Tcp::no_delay(true), Ignored);
          Self->Target_.set_option(Tcp::no_delay(true), Ignored);
          Self->read(Self->Forward_);
          Self->read(Self->Backward_);
        });
  }

  auto silence(Silence How, Direction Which) -> void {
    Silent_ = true;
    if (Which != Direction::ToSource)
      silenceFlow(Forward_, How);
    if (Which != Direction::ToTarget)
      silenceFlow(Backward_, How);
  }

  auto silent() const -> bool { return Silent_; }

  /// Resets both sides.
  auto end() -> void {
    resetSocket(Source_);
    resetSocket(Target_);
    Owner_.Connections_.erase(shared_from_this());
  }

  const Pair Kind_;
  const int SourceOctet_;

private:
  struct Flow {
    Tcp::socket &From_;
    Tcp::socket &To_;
    asio::steady_timer Timer_;
    std::array<char, ChunkBytes> Bytes_{};
    bool Discards_ = false;
    bool Stalls_ = false;
    bool Ended_ = false;
  };

  static auto silenceFlow(Flow &Of, Silence How) -> void {
    (How == Silence::Discard ? Of.Discards_ : Of.Stalls_) = true;
  }

  auto read(Flow &Of) -> void {
    if (Of.Stalls_)
      return;
    Of.From_.async_read_some(
        asio::buffer(Of.Bytes_),
        [Self = shared_from_this(), &Of](const std::error_code &Error,
                                         std::size_t Size) {
          if (Error)
            Self->readFailed(Of, Error);
          else if (Of.Discards_ || Of.Stalls_)
            Self->read(Of);
          else
            Self->pass(Of, Size);
        });
  }

  auto pass(Flow &Of, std::size_t Size) -> void {
    const auto Delay = Owner_.currentDelay(Kind_, SourceOctet_);
    if (Delay.count() == 0)
      return write(Of, Size);
    Of.Timer_.expires_after(Delay);
    Of.Timer_.async_wait(
        [Self = shared_from_this(), &Of, Size](const std::error_code &Error) {
          if (!Error)
            Self->write(Of, Size);
        });
  }

  auto write(Flow &Of, std::size_t Size) -> void {
    if (Of.Discards_ || Of.Stalls_)
      return read(Of);
    asio::async_write(Of.To_, asio::buffer(Of.Bytes_.data(), Size),
                      [Self = shared_from_this(),
                       &Of](const std::error_code &Error, std::size_t) {
                        if (!Error)
                          Self->read(Of);
                        else if (!Self->Silent_)
                          Self->end();
                      });
  }

  /// A silent connection's other side doesn't learn that this one has ended.
  auto readFailed(Flow &Of, const std::error_code &Error) -> void {
    if (Silent_)
      return;
    if (Error != asio::error::eof)
      return end();
    std::error_code Ignored;
    Of.To_.shutdown(Tcp::socket::shutdown_send, Ignored);
    Of.Ended_ = true;
    if (Forward_.Ended_ && Backward_.Ended_)
      end();
  }

  Forwarder &Owner_;
  Tcp::socket Source_;
  Tcp::socket Target_;
  Flow Forward_;
  Flow Backward_;
  bool Silent_ = false;
};

Forwarder::Forwarder(std::uint64_t Seed)
    : Guard_(asio::make_work_guard(Context_)), Random_(Seed) {}

Forwarder::~Forwarder() {
  Context_.stop();
  if (Thread_.joinable())
    Thread_.join();
}

auto Forwarder::listen(const std::string &From, const std::string &To, int Port,
                       Pair Kind, int ReceiveBytes) -> void {
  const auto Number = static_cast<std::uint16_t>(Port);
  const Tcp::endpoint Own(asio::ip::make_address(From), Number);
  auto Created = std::make_unique<Listener>(
      Context_, Tcp::endpoint(asio::ip::make_address(To), Number), Kind);
  Created->Acceptor_.open(Own.protocol());
  Created->Acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  if (ReceiveBytes != 0)
    Created->Acceptor_.set_option(
        asio::socket_base::receive_buffer_size(ReceiveBytes));
  Created->Acceptor_.bind(Own);
  Created->Acceptor_.listen(ListenBacklog);
  Listeners_.push_back(std::move(Created));
  accept(*Listeners_.back());
}

auto Forwarder::run() -> void {
  watchStalls();
  Thread_ = std::thread([this] { Context_.run(); });
}

auto Forwarder::watchStalls() -> void {
  constexpr std::chrono::milliseconds Interval{100};
  const auto Due = SteadyClock::now() + Interval;
  StallTimer_.expires_at(Due);
  StallTimer_.async_wait([this, Due](const std::error_code &Error) {
    if (Error)
      return;
    const auto Late = std::chrono::duration_cast<std::chrono::milliseconds>(
        SteadyClock::now() - Due);
    LongestStallMs_ = std::max<std::int64_t>(LongestStallMs_, Late.count());
    watchStalls();
  });
}

auto Forwarder::accept(Listener &From) -> void {
  From.Acceptor_.async_accept(
      [this, &From](const std::error_code &Error, Tcp::socket Socket) {
        if (!Error)
          accepted(From, std::move(Socket));
        accept(From);
      });
}

auto Forwarder::accepted(const Listener &From, Tcp::socket Socket) -> void {
  std::error_code Error;
  const auto Remote = Socket.remote_endpoint(Error);
  if (Error)
    return;
  const int Octet = Remote.address().to_v4().to_bytes()[3];

  const auto Kind = From.Kind_ == Pair::EntryEntry && Octet >= FirstAgentOctet
                        ? Pair::AgentEntry
                        : From.Kind_;
  const auto Now = SteadyClock::now();
  for (const auto &Each : Refusals_)
    if (Each.Until_ > Now && takes(Each.Chosen_, Kind, Octet))
      return resetSocket(Socket);
  auto Created =
      std::make_shared<Connection>(*this, Kind, Octet, std::move(Socket));
  Connections_.insert(Created);
  Created->start(From.Target_);
}

auto Forwarder::takes(const Selection &Chosen, Pair Kind, int SourceOctet)
    -> bool {
  return Chosen.Pairs_.count(Kind) != 0 &&
         (Chosen.SourceOctet_ < 0 || Chosen.SourceOctet_ == SourceOctet) &&
         std::uniform_real_distribution<>(0, 1)(Random_) < Chosen.Share_;
}

auto Forwarder::currentDelay(Pair Kind, int SourceOctet)
    -> std::chrono::milliseconds {
  const auto Now = SteadyClock::now();
  std::chrono::milliseconds Longest{0};
  for (const auto &Each : Delays_)
    if (Each.Until_ > Now && takes(Each.Chosen_, Kind, SourceOctet))
      Longest = std::max(Longest, Each.Delay_);
  return Longest;
}

auto Forwarder::silence(const Selection &Chosen, Silence How, Direction Which)
    -> std::size_t {
  return onThread([&] {
    std::size_t Count = 0;
    for (const auto &Each : Connections_)
      if (!Each->silent() && takes(Chosen, Each->Kind_, Each->SourceOctet_)) {
        Each->silence(How, Which);
        ++Count;
      }
    return Count;
  });
}

auto Forwarder::reset(const Selection &Chosen) -> std::size_t {
  return onThread([&] {
    std::vector<std::shared_ptr<Connection>> Taken;
    for (const auto &Each : Connections_)
      if (takes(Chosen, Each->Kind_, Each->SourceOctet_))
        Taken.push_back(Each);
    for (const auto &Each : Taken)
      Each->end();
    return Taken.size();
  });
}

auto Forwarder::refuse(const Selection &Chosen,
                       std::chrono::milliseconds Duration) -> void {
  onThread([&] {
    Refusals_.push_back({Chosen, SteadyClock::now() + Duration});
    return Refusals_.size();
  });
}

auto Forwarder::delay(const Selection &Chosen, std::chrono::milliseconds Delay,
                      std::chrono::milliseconds Duration) -> void {
  onThread([&] {
    Delays_.push_back({Chosen, SteadyClock::now() + Duration, Delay});
    return Delays_.size();
  });
}

auto Forwarder::onThread(const std::function<std::size_t()> &Work)
    -> std::size_t {
  std::promise<std::size_t> Done;
  asio::post(Context_, [&] { Done.set_value(Work()); });
  return Done.get_future().get();
}

} // namespace skylark::soak
