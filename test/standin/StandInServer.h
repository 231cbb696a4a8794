/// \file
/// Defines the HTTP server of the stand-ins.
#pragma once

#include <restinio/all.hpp>

#include <functional>
#include <string>

namespace skylark::StandIn {

using Request = restinio::request_handle_t;

/// Sends the response to a request. A stand-in that simulates a hung server
/// stores the request handle instead: the caller then waits for its time-out.
inline auto reply(const Request &To, std::uint16_t Status, std::string Body)
    -> void {
  To->create_response({restinio::http_status_code_t{Status}, "stand-in"})
      .set_body(std::move(Body))
      .done();
}

struct Traits : public restinio::default_single_thread_traits_t {
  using timer_manager_t = restinio::asio_timer_manager_t; // NOLINT
  using request_handler_t =                               // NOLINT
      std::function<restinio::request_handling_status_t(Request)>;
};

/// Serves on the loopback interface until SIGTERM or SIGINT.
inline auto serve(asio::io_context &Context, std::uint16_t Port,
                  std::function<void(const Request &)> Handler) -> void {
  using Server = restinio::http_server_t<Traits>;
  Server Http(restinio::external_io_context(Context),
              restinio::server_settings_t<Traits>{}
                  .address("127.0.0.1")
                  .port(Port)
                  .handle_request_timeout(std::chrono::seconds{600})
                  .read_next_http_message_timelimit(std::chrono::seconds{600})
                  .request_handler(std::make_unique<Traits::request_handler_t>(
                      [Handler = std::move(Handler)](const Request &Each) {
                        Handler(Each);
                        return restinio::request_accepted();
                      })));
  asio::post(Context, [&] { Http.open_sync(); });
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](std::error_code, int) { Context.stop(); });
  Context.run();
}

/// A numeric query parameter, or `Default` if the query has none.
inline auto numberParameter(const Request &Incoming, const char *Name,
                            std::uint64_t Default) -> std::uint64_t {
  const auto Query = restinio::parse_query(Incoming->header().query());
  return Query.has(Name) ? restinio::cast_to<std::uint64_t>(Query[Name])
                         : Default;
}

/// A text query parameter, or an empty string if the query has none.
inline auto textParameter(const Request &Incoming, const char *Name)
    -> std::string {
  const auto Query = restinio::parse_query(Incoming->header().query());
  return Query.has(Name) ? restinio::cast_to<std::string>(Query[Name]) : "";
}

} // namespace skylark::StandIn
