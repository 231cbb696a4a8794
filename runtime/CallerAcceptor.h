/// \file
/// Defines how the HTTP servers accept connections, in place of RESTinio's own
/// acceptor. That one accepts nothing more once an acceptance has failed, and
/// counts a connection for good that was reset before its acceptance.
#pragma once

#include "core/Time.h"
#include "runtime/ConnectionCounter.h"

#include <asio/steady_timer.hpp>

#include <memory>

namespace skylark {

/// Accepts the connections of one listener. Has the interface that RESTinio's
/// server asks of its acceptor, hence the style of its names.
template <typename Traits>
class CallerAcceptor
    : public std::enable_shared_from_this<CallerAcceptor<Traits>>,
      private restinio::connection_count_limits::impl::
          acceptor_callback_iface_t {
  using Limits = restinio::connection_count_limit_types<Traits>;
  using Factory = restinio::impl::connection_factory_t<Traits>;
  using Socket = typename Traits::stream_socket_t;

public:
  template <typename ServerSettings>
  CallerAcceptor(ServerSettings &Settings, asio::io_context &Context,
                 std::shared_ptr<Factory> Connections,
                 typename Traits::logger_t & /*Logger*/)
      : Context_(Context), Port_(Settings.port()),
        Address_(restinio::get<std::string>(Settings.address())),
        Counter_(Settings.connection_state_listener()),
        Connections_(std::move(Connections)), Listener_(Context),
        Accepted_(Context), Retry_(Context),
        Limiter_(static_cast<restinio::connection_count_limits::impl::
                                 acceptor_callback_iface_t *>(this),
                 restinio::connection_count_limits::max_parallel_connections_t{
                     Settings.max_parallel_connections()},
                 restinio::connection_count_limits::max_active_accepts_t{1}) {}

  /// Starts to listen; throws if the address is in use.
  auto open() -> void {
    const asio::ip::tcp::endpoint Endpoint(asio::ip::make_address(Address_),
                                           Port_);
    asio::ip::tcp::acceptor Opened(Context_);
    Opened.open(Endpoint.protocol());
    Opened.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    Opened.bind(Endpoint);
    Opened.listen();
    Listener_ = std::move(Opened);
    Limiter_.accept_next(0);
  }

  /// Stops to listen. Connections that were accepted stay open.
  auto close() -> void {
    std::error_code Ignored;
    Listener_.close(Ignored);
    Retry_.cancel();
  }

  // NOLINTNEXTLINE: named by RESTinio
  auto get_open_close_operations_executor() -> asio::io_context::executor_type {
    return Context_.get_executor();
  }

private:
  /// How long to wait after an acceptance has failed, usually for descriptors.
  static constexpr Millis RetryInterval{100};

  auto call_accept_now(std::size_t /*Index*/) noexcept -> void override {
    accept();
  }
  auto schedule_next_accept_attempt(std::size_t Index) noexcept
      -> void override {
    asio::post(Context_, [Self = this->shared_from_this(), Index] {
      if (Self->Listener_.is_open())
        Self->Limiter_.accept_next(Index);
    });
  }

  auto accept() -> void {
    Listener_.async_accept(
        Accepted_, [Self = this->shared_from_this()](std::error_code Error) {
          if (!Self->Listener_.is_open())
            return;
          if (Error)
            Self->retry(Error);
          else
            Self->serve();
        });
  }

  auto retry(std::error_code Error) -> void {
    Counter_->acceptFailed(Error);
    Retry_.expires_after(RetryInterval);
    Retry_.async_wait(
        [Self = this->shared_from_this()](std::error_code Cancelled) {
          if (!Cancelled)
            Self->accept();
        });
  }

  /// Serves the connection that was accepted, and accepts the next one.
  auto serve() -> void {
    typename Limits::lifetime_monitor_t Place{&Limiter_};
    auto Connection = std::exchange(Accepted_, Socket(Context_));
    std::error_code Gone;
    const auto Client = Connection.remote_endpoint(Gone);
    if (!Gone)
      restinio::utils::suppress_exceptions_quietly([&] {
        Connections_
            ->create_new_connection(std::move(Connection), Client,
                                    std::move(Place))
            ->init();
      });
    Limiter_.accept_next(0);
  }

  asio::io_context &Context_;
  std::uint16_t Port_;
  std::string Address_;
  std::shared_ptr<ConnectionCounter> Counter_;
  std::shared_ptr<Factory> Connections_;
  asio::ip::tcp::acceptor Listener_;
  Socket Accepted_;
  asio::steady_timer Retry_;
  typename Limits::limiter_t Limiter_;
};

} // namespace skylark

/// Lets RESTinio's server with these traits use CallerAcceptor.
#define SKYLARK_USE_CALLER_ACCEPTOR(Traits)                                    \
  template <>                                                                  \
  class restinio::impl::acceptor_t<Traits> final                               \
      : public skylark::CallerAcceptor<Traits> {                               \
  public:                                                                      \
    using CallerAcceptor::CallerAcceptor;                                      \
  }
