#include "entry/HttpApi.h"

#include "runtime/Process.h"
#include "wire/ApiJson.h"
#include "wire/DocumentJson.h"

#include "runtime/CallerAcceptor.h"

#include <optional>

namespace skylark {
namespace {

using Router = restinio::router::express_router_t<>;
using HttpRequest = restinio::request_handle_t;
using Parameters = restinio::router::route_params_t;

struct ServerTraits : public restinio::default_single_thread_traits_t {
  using request_handler_t = Router; // NOLINT: named by RESTinio
  using timer_manager_t = restinio::asio_timer_manager_t;    // NOLINT
  using connection_state_listener_t = ConnectionCounter;     // NOLINT
  static constexpr bool use_connection_count_limiter = true; // NOLINT
};

} // namespace
} // namespace skylark

SKYLARK_USE_CALLER_ACCEPTOR(skylark::ServerTraits);

namespace skylark {
namespace {

using Server = restinio::http_server_t<ServerTraits>;

constexpr std::size_t MaxUrlBytes = 4096;
constexpr std::size_t MaxHeaderCount = 64;
constexpr std::size_t MaxHeaderValueBytes = 8192;
constexpr Seconds ConnectionIoTimeout{15};
constexpr Seconds AnswerTimeout{120};
constexpr std::int64_t MaxRequestTimeoutMs = 600000;

auto statusLine(std::uint16_t Status) -> restinio::http_status_line_t {
  return {restinio::http_status_code_t{Status},
          Status < 400 ? "OK" : "Refused"};
}

/// \param Open kept until the answer is written.
auto sendAnswer(const HttpRequest &To, HttpResponse Answer,
                const std::shared_ptr<void> &Open = nullptr) -> void {
  auto Response = To->create_response(statusLine(Answer.Status_));
  Response.append_header(restinio::http_field::content_type,
                         Answer.ContentType_);
  if (!Answer.EntityTag_.empty())
    Response.append_header(restinio::http_field::etag, Answer.EntityTag_);
  if (!Answer.RequestId_.empty())
    Response.append_header("Skylark-Request-Id", Answer.RequestId_);
  Response.set_body(std::move(Answer.Body_));
  Response.done([Open](const auto & /*Error*/) {});
}

auto joinDescriptions(const std::vector<Problem> &Problems) -> std::string {
  std::string Text;
  for (const auto &Each : Problems)
    Text += (Text.empty() ? "" : " ") + describe(Each);
  return Text;
}

/// Parses a non-negative decimal number, as in an If-Match header: it may stand
/// in double quotes. Returns nothing for any other text.
auto parseUnsigned(std::string Input) -> std::optional<Revision> {
  if (Input.size() >= 2 && Input.front() == '"' && Input.back() == '"')
    Input = Input.substr(1, Input.size() - 2);
  const auto OnlyDigits =
      Input.find_first_not_of("0123456789") == std::string::npos;
  constexpr std::size_t MaxDigits = 18;
  if (Input.empty() || !OnlyDigits || Input.size() > MaxDigits)
    return std::nullopt;
  return std::stoull(Input);
}

/// Returns the query parameters; none if the query is malformed.
auto queryOf(const HttpRequest &From) -> restinio::query_string_params_t {
  auto Parsed = restinio::try_parse_query<
      restinio::parse_query_traits::restinio_defaults>(From->header().query());
  if (!Parsed)
    return restinio::parse_query("");
  return std::move(*Parsed);
}

auto pathParameter(const Parameters &From, const char *Name) -> std::string {
  const auto Value = From[Name];
  return {Value.data(), Value.size()};
}

} // namespace

class HttpApi::Implementation {
public:
  Implementation(asio::io_context &Traffic, const Settings &Settings,
                 CallerHandlers Handlers)
      : MaxBodyBytes_(Settings.Limits_.BodyBytes_),
        Handlers_(std::move(Handlers)) {
    // A body up to this factor over the limit is read, so that the reply can
    // name the limit. RESTinio aborts the connection for larger ones.
    constexpr std::size_t LibraryLimitFactor = 4;
    const auto Limits = restinio::incoming_http_msg_limits_t{}
                            .max_url_size(MaxUrlBytes)
                            .max_field_value_size(MaxHeaderValueBytes)
                            .max_field_count(MaxHeaderCount)
                            .max_body_size(LibraryLimitFactor * MaxBodyBytes_);
    Server_ = std::make_unique<Server>(
        restinio::external_io_context(Traffic),
        restinio::server_settings_t<ServerTraits>{}
            .address(Settings.Http_.Host_)
            .port(Settings.Http_.Port_)
            .request_handler(makeRouter())
            .incoming_http_msg_limits(Limits)
            .connection_state_listener(std::make_shared<ConnectionCounter>(
                Load_, Settings.Http_.Port_, Settings.Limits_.Connections_))
            .max_parallel_connections(Settings.Limits_.Connections_)
            .read_next_http_message_timelimit(ConnectionIoTimeout)
            .write_http_response_timelimit(ConnectionIoTimeout)
            .handle_request_timeout(AnswerTimeout));
  }

  auto start() -> void { Server_->open_sync(); }
  auto load() const -> const HttpServerLoad & { return *Load_; }

private:
  auto replySenderFor(const HttpRequest &To) const -> ReplySender {
    return [To, Open = countOpenRequest(Load_)](const CallerReply &Reply) {
      sendAnswer(To, renderReply(Reply), Open);
    };
  }

  auto refuse(const HttpRequest &To, ErrorKind Kind, std::string Detail)
      -> restinio::request_handling_status_t {
    Handlers_.RequestRefused_(Kind);
    sendAnswer(To, renderError({Kind, std::move(Detail), {}}));
    return restinio::request_accepted();
  }

  auto forwardToEntry(const HttpRequest &From, CallerRequest Request)
      -> restinio::request_handling_status_t {
    if (From->body().size() > MaxBodyBytes_)
      return refuse(From, ErrorKind::BodyTooLarge,
                    "at most " + std::to_string(MaxBodyBytes_) + " bytes");
    Handlers_.RequestReceived_(std::move(Request), replySenderFor(From));
    return restinio::request_accepted();
  }

  static auto idempotencyKeyOf(const HttpRequest &From) -> IdempotencyKey {
    return {From->header().get_field_or("Idempotency-Key", "")};
  }

  auto submitQuickRequest(const HttpRequest &From)
      -> restinio::request_handling_status_t {
    const auto Query = queryOf(From);
    QuickRequest Request;
    if (!Query.has("service"))
      return refuse(From, ErrorKind::MalformedRequest,
                    "The query must name a \"service\".");
    Request.Service_ = {restinio::cast_to<std::string>(Query["service"])};
    if (Query.has("within_ms")) {
      const auto Milliseconds =
          parseUnsigned(restinio::cast_to<std::string>(Query["within_ms"]));
      if (!Milliseconds || *Milliseconds == 0 ||
          *Milliseconds > MaxRequestTimeoutMs)
        return refuse(From, ErrorKind::MalformedRequest,
                      "\"within_ms\" must be a whole number from 1 to " +
                          std::to_string(MaxRequestTimeoutMs) + ".");
      Request.Timeout_ = Millis{*Milliseconds};
    }
    Request.Idempotent_ =
        Query.has("idempotent") && Query["idempotent"] == "true";
    Request.Key_ = idempotencyKeyOf(From);
    Request.Body_ = From->body();
    return forwardToEntry(From, std::move(Request));
  }

  auto submitJob(const HttpRequest &From)
      -> restinio::request_handling_status_t {
    auto Parsed = parseJob(From->body(), currentMoment().Wall_);
    if (!Parsed.Problems_.empty())
      return refuse(From, ErrorKind::MalformedRequest,
                    joinDescriptions(Parsed.Problems_));
    return forwardToEntry(
        From,
        SubmitJob{std::move(Parsed.Declaration_), idempotencyKeyOf(From), {}});
  }

  auto putDocument(const HttpRequest &From, const std::string &Name)
      -> restinio::request_handling_status_t {
    const auto ReplacedRevision = parseUnsigned(
        From->header().get_field_or(restinio::http_field::if_match, ""));
    if (!ReplacedRevision)
      return refuse(From, ErrorKind::MalformedRequest,
                    "The header If-Match must hold the revision that this "
                    "document replaces, or 0 for the first one.");
    auto Parsed = parseDocument(From->body());
    if (!Parsed.Problems_.empty())
      return refuse(From, ErrorKind::DocumentInvalid,
                    joinDescriptions(Parsed.Problems_));
    return forwardToEntry(
        From,
        PutDocument{{Name}, std::move(Parsed.Document_), *ReplacedRevision});
  }

  auto promote(const HttpRequest &From, const std::string &Name)
      -> restinio::request_handling_status_t {
    const auto Query = queryOf(From);
    if (!Query.has("to"))
      return refuse(From, ErrorKind::MalformedRequest,
                    "The query must name the environment \"to\" promote to.");
    return forwardToEntry(
        From,
        PromoteDocument{{Name}, {restinio::cast_to<std::string>(Query["to"])}});
  }

  auto explain(const HttpRequest &From, const std::string &Id)
      -> restinio::request_handling_status_t {
    if (!Id.empty() && Id.front() == 'j')
      return forwardToEntry(From, GetJob{{Id}, false, {}});
    return forwardToEntry(From, ExplainRequest{{Id}});
  }

  auto makeRouter() -> std::unique_ptr<Router> {
    auto Routes = std::make_unique<Router>();
    Routes->http_post("/v1/requests", [this](const auto &From, auto) {
      return submitQuickRequest(From);
    });
    Routes->http_post(
        "/v1/jobs", [this](const auto &From, auto) { return submitJob(From); });
    Routes->http_get(
        "/v1/jobs/:id", [this](const auto &From, auto PathParameters) {
          return forwardToEntry(
              From, GetJob{{pathParameter(PathParameters, "id")}, false, {}});
        });
    Routes->http_post("/v1/jobs/:id/cancel", [this](const auto &From,
                                                    auto PathParameters) {
      return forwardToEntry(
          From, CancelJob{{pathParameter(PathParameters, "id")}, false, {}});
    });
    Routes->http_get(
        "/v1/environments/:name/document",
        [this](const auto &From, auto PathParameters) {
          return forwardToEntry(
              From, GetDocument{{pathParameter(PathParameters, "name")}});
        });
    Routes->http_put("/v1/environments/:name/document",
                     [this](const auto &From, auto PathParameters) {
                       return putDocument(
                           From, pathParameter(PathParameters, "name"));
                     });
    Routes->http_post("/v1/environments/:name/promote",
                      [this](const auto &From, auto PathParameters) {
                        return promote(From,
                                       pathParameter(PathParameters, "name"));
                      });
    Routes->http_post("/v1/datacentres/:name/out", [this](const auto &From,
                                                          auto PathParameters) {
      return forwardToEntry(
          From,
          SetDataCentreState{{pathParameter(PathParameters, "name")}, true});
    });
    Routes->http_post(
        "/v1/datacentres/:name/return",
        [this](const auto &From, auto PathParameters) {
          return forwardToEntry(
              From, SetDataCentreState{{pathParameter(PathParameters, "name")},
                                       false});
        });
    Routes->http_get("/v1/targets", [this](const auto &From, auto) {
      return forwardToEntry(From, ListTargets{});
    });
    Routes->http_get(
        "/v1/explain/:id", [this](const auto &From, auto PathParameters) {
          return explain(From, pathParameter(PathParameters, "id"));
        });
    Routes->http_get("/v1/metrics", [this](const auto &From, auto) {
      Handlers_.MetricsRequested_([From](std::string Text) {
        HttpResponse Answer;
        Answer.ContentType_ = "text/plain; version=0.0.4";
        Answer.Body_ = std::move(Text);
        sendAnswer(From, std::move(Answer));
      });
      return restinio::request_accepted();
    });
    Routes->http_get("/v1/health", [this](const auto &From, auto) {
      Handlers_.HealthRequested_([From](bool Healthy) {
        constexpr std::uint16_t Unavailable = 503;
        HttpResponse Answer;
        Answer.Body_ = "{\"healthy\":true}\n";
        if (!Healthy) {
          Answer.Status_ = Unavailable;
          Answer.Body_ = "{\"healthy\":false}\n";
        }
        sendAnswer(From, std::move(Answer));
      });
      return restinio::request_accepted();
    });
    Routes->non_matched_request_handler([this](const auto &From) {
      return refuse(From, ErrorKind::MalformedRequest,
                    "There is no such path or method.");
    });
    return Routes;
  }

  std::size_t MaxBodyBytes_;
  CallerHandlers Handlers_;
  std::shared_ptr<HttpServerLoad> Load_ = std::make_shared<HttpServerLoad>();
  std::unique_ptr<Server> Server_;
};

HttpApi::HttpApi(asio::io_context &Traffic, const Settings &Settings,
                 CallerHandlers Handlers)
    : Implementation_(std::make_unique<Implementation>(Traffic, Settings,
                                                       std::move(Handlers))) {}

HttpApi::~HttpApi() = default;

auto HttpApi::start() -> void { Implementation_->start(); }

auto HttpApi::load() const -> const HttpServerLoad & {
  return Implementation_->load();
}

} // namespace skylark
