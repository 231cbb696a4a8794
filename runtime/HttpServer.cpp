#include "runtime/HttpServer.h"

#include "runtime/CallerAcceptor.h"

namespace skylark {
namespace {

using Request = restinio::request_handle_t;

struct Traits : public restinio::default_single_thread_traits_t {
  using timer_manager_t = restinio::asio_timer_manager_t;    // NOLINT
  static constexpr bool use_connection_count_limiter = true; // NOLINT
  using connection_state_listener_t = ConnectionCounter;     // NOLINT
  using request_handler_t =                                  // NOLINT
      std::function<restinio::request_handling_status_t(Request)>;
};

} // namespace
} // namespace skylark

SKYLARK_USE_CALLER_ACCEPTOR(skylark::Traits);

namespace skylark {
namespace {

constexpr std::size_t MaxUrlSize = 4096;
constexpr std::size_t MaxFieldCount = 64;
constexpr std::size_t MaxFieldSize = 8192;
/// Limits the wait for the next request, and for the client to read an answer.
constexpr Seconds IdleTimeout{60};
/// Limits the time between a request and its answer from the handler.
constexpr Seconds HandlerTimeout{60};

auto stripPort(const std::string &Host) -> std::string {
  return Host.substr(0, Host.find(':'));
}

auto convertRequest(const Request &From) -> HttpServerRequest {
  HttpServerRequest Result;
  Result.Method_ = From->header().method().c_str();
  Result.Host_ =
      stripPort(From->header().get_field_or(restinio::http_field::host, ""));
  Result.Path_ = std::string(From->header().path());
  Result.Body_ = From->body();
  return Result;
}

/// \param Open kept until the answer is written.
auto send(const Request &To, HttpServerAnswer Answer,
          const std::shared_ptr<void> &Open) -> void {
  auto Response =
      To->create_response({restinio::http_status_code_t{Answer.Status_},
                           Answer.Status_ < 400 ? "OK" : "Refused"});
  if (Answer.CloseConnection_)
    Response.connection_close();
  if (!Answer.Body_.empty())
    Response.append_header(restinio::http_field::content_type,
                           Answer.ContentType_);
  if (Answer.RetryAfter_ > Seconds{0})
    Response.append_header(restinio::http_field::retry_after,
                           std::to_string(Answer.RetryAfter_.count()));
  Response.set_body(std::move(Answer.Body_));
  Response.done([Open](const auto & /*Error*/) {});
}

} // namespace

class HttpServer::Implementation {
public:
  Implementation(asio::io_context &Traffic, const HttpServerOptions &Options,
                 HttpHandler Handler)
      : Server_(restinio::external_io_context(Traffic),
                makeSettings(Options, std::move(Handler))) {}

  auto start() -> void { Server_.open_sync(); }
  auto load() const -> const HttpServerLoad & { return *Load_; }

private:
  using Server = restinio::http_server_t<Traits>;

  auto makeSettings(const HttpServerOptions &Options, HttpHandler Handler)
      -> restinio::server_settings_t<Traits> {
    const auto Limits = restinio::incoming_http_msg_limits_t{}
                            .max_url_size(MaxUrlSize)
                            .max_field_value_size(MaxFieldSize)
                            .max_field_count(MaxFieldCount)
                            .max_body_size(Options.BodyBytes_);
    restinio::server_settings_t<Traits> Settings;
    Settings.address(Options.Host_)
        .port(Options.Port_)
        .incoming_http_msg_limits(Limits)
        .max_parallel_connections(Options.Connections_)
        .read_next_http_message_timelimit(IdleTimeout)
        .write_http_response_timelimit(IdleTimeout)
        .handle_request_timeout(HandlerTimeout)
        .connection_state_listener(std::make_shared<ConnectionCounter>(
            Load_, Options.Port_, Options.Connections_))
        .request_handler(std::make_unique<Traits::request_handler_t>(
            [Load = Load_, Handler = std::move(Handler)](const Request &From) {
              Handler(convertRequest(From),
                      [From,
                       Open = countOpenRequest(Load)](HttpServerAnswer Answer) {
                        send(From, std::move(Answer), Open);
                      });
              return restinio::request_accepted();
            }));
    return Settings;
  }

  std::shared_ptr<HttpServerLoad> Load_ = std::make_shared<HttpServerLoad>();
  Server Server_;
};

HttpServer::HttpServer(asio::io_context &Traffic,
                       const HttpServerOptions &Options, HttpHandler Handler)
    : Implementation_(std::make_unique<Implementation>(Traffic, Options,
                                                       std::move(Handler))) {}

HttpServer::~HttpServer() = default;

auto HttpServer::start() -> void { Implementation_->start(); }

auto HttpServer::load() const -> const HttpServerLoad & {
  return Implementation_->load();
}

} // namespace skylark
