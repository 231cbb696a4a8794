#include "entry/HttpApi.h"

#include "runtime/Process.h"
#include "wire/ApiText.h"
#include "wire/DocumentText.h"

#include <restinio/all.hpp>

#include <optional>

namespace skylark {
namespace {

using Router = restinio::router::express_router_t<>;
using Request = restinio::request_handle_t;
using Parameters = restinio::router::route_params_t;

struct ServerTraits : public restinio::default_single_thread_traits_t {
  using request_handler_t = Router; // NOLINT: the library's name
  using timer_manager_t = restinio::asio_timer_manager_t;    // NOLINT
  static constexpr bool use_connection_count_limiter = true; // NOLINT
};
using Server = restinio::http_server_t<ServerTraits>;

constexpr std::size_t MaxUrlSize = 4096;
constexpr std::size_t MaxFieldCount = 64;
constexpr std::size_t MaxFieldSize = 8192;
constexpr Seconds ReadTimeLimit{15};
constexpr Seconds AnswerTimeLimit{120};
constexpr std::int64_t MaxWithinMs = 600000;

auto statusLine(std::uint16_t Status) -> restinio::http_status_line_t {
  return {restinio::http_status_code_t{Status},
          Status < 400 ? "OK" : "Refused"};
}

auto sendAnswer(const Request &To, HttpAnswer Answer) -> void {
  auto Response = To->create_response(statusLine(Answer.Status_));
  Response.append_header(restinio::http_field::content_type,
                         Answer.ContentType_);
  if (!Answer.EntityTag_.empty())
    Response.append_header(restinio::http_field::etag, Answer.EntityTag_);
  if (!Answer.RequestId_.empty())
    Response.append_header("Skylark-Request-Id", Answer.RequestId_);
  Response.set_body(std::move(Answer.Body_));
  Response.done();
}

auto joined(const std::vector<Problem> &Problems) -> std::string {
  std::string Text;
  for (const auto &Each : Problems)
    Text += (Text.empty() ? "" : " ") + describe(Each);
  return Text;
}

/// The revision in an If-Match header, with or without quotes.
auto revisionOf(std::string Tag) -> std::optional<Revision> {
  if (Tag.size() >= 2 && Tag.front() == '"' && Tag.back() == '"')
    Tag = Tag.substr(1, Tag.size() - 2);
  const auto Digits = Tag.find_first_not_of("0123456789") == std::string::npos;
  constexpr std::size_t MostDigits = 18;
  if (Tag.empty() || !Digits || Tag.size() > MostDigits)
    return std::nullopt;
  return std::stoull(Tag);
}

/// The query's parameters; none where the query can't be read.
auto queryOf(const Request &From) -> restinio::query_string_params_t {
  auto Parsed = restinio::try_parse_query<
      restinio::parse_query_traits::restinio_defaults>(From->header().query());
  if (!Parsed)
    return restinio::parse_query("");
  return std::move(*Parsed);
}

auto parameter(const Parameters &From, const char *Name) -> std::string {
  const auto Value = From[Name];
  return {Value.data(), Value.size()};
}

} // namespace

class HttpApi::Implementation {
public:
  Implementation(asio::io_context &Traffic, const Settings &Settings,
                 CallerHandlers Handlers)
      : BodyLimit_(Settings.Limits_.BodyBytes_),
        Handlers_(std::move(Handlers)) {
    // A body somewhat over our limit still gets an answer of ours; one far
    // over it is cut off by the library.
    constexpr std::size_t Slack = 4;
    const auto Limits = restinio::incoming_http_msg_limits_t{}
                            .max_url_size(MaxUrlSize)
                            .max_field_value_size(MaxFieldSize)
                            .max_field_count(MaxFieldCount)
                            .max_body_size(Slack * BodyLimit_);
    Server_ = std::make_unique<Server>(
        restinio::external_io_context(Traffic),
        restinio::server_settings_t<ServerTraits>{}
            .address(Settings.Http_.Host_)
            .port(Settings.Http_.Port_)
            .request_handler(makeRouter())
            .incoming_http_msg_limits(Limits)
            .max_parallel_connections(Settings.Limits_.Connections_)
            .read_next_http_message_timelimit(ReadTimeLimit)
            .write_http_response_timelimit(ReadTimeLimit)
            .handle_request_timeout(AnswerTimeLimit));
  }

  auto start() -> void { Server_->open_sync(); }

private:
  static auto senderOf(const Request &To) -> ReplySender {
    return
        [To](const CallerReply &Reply) { sendAnswer(To, renderReply(Reply)); };
  }

  auto refuse(const Request &To, ErrorKind Kind, std::string Detail)
      -> restinio::request_handling_status_t {
    Handlers_.Refused_(Kind);
    sendAnswer(To, renderError({Kind, std::move(Detail), {}}));
    return restinio::request_accepted();
  }

  auto ask(const Request &From, CallerRequest Wanted)
      -> restinio::request_handling_status_t {
    if (From->body().size() > BodyLimit_)
      return refuse(From, ErrorKind::BodyTooLarge,
                    "at most " + std::to_string(BodyLimit_) + " bytes");
    Handlers_.Asked_(std::move(Wanted), senderOf(From));
    return restinio::request_accepted();
  }

  static auto keyOf(const Request &From) -> IdempotencyKey {
    return {From->header().get_field_or("Idempotency-Key", "")};
  }

  auto quick(const Request &From) -> restinio::request_handling_status_t {
    const auto Query = queryOf(From);
    QuickRequest Wanted;
    if (!Query.has("service"))
      return refuse(From, ErrorKind::MalformedRequest,
                    "The query must name a \"service\".");
    Wanted.Service_ = {restinio::cast_to<std::string>(Query["service"])};
    if (Query.has("within_ms")) {
      const auto Number =
          revisionOf(restinio::cast_to<std::string>(Query["within_ms"]));
      if (!Number || *Number == 0 || *Number > MaxWithinMs)
        return refuse(From, ErrorKind::MalformedRequest,
                      "\"within_ms\" must be a whole number from 1 to " +
                          std::to_string(MaxWithinMs) + ".");
      Wanted.Timeout_ = Millis{*Number};
    }
    Wanted.Idempotent_ =
        Query.has("idempotent") && Query["idempotent"] == "true";
    Wanted.Key_ = keyOf(From);
    Wanted.Body_ = From->body();
    return ask(From, std::move(Wanted));
  }

  auto submitJob(const Request &From) -> restinio::request_handling_status_t {
    auto Parsed = parseJob(From->body(), currentMoment().Wall_);
    if (!Parsed.Problems_.empty())
      return refuse(From, ErrorKind::MalformedRequest,
                    joined(Parsed.Problems_));
    return ask(From,
               SubmitJob{std::move(Parsed.Declaration_), keyOf(From), {}});
  }

  auto putDocument(const Request &From, const std::string &Name)
      -> restinio::request_handling_status_t {
    const auto Expected = revisionOf(
        From->header().get_field_or(restinio::http_field::if_match, ""));
    if (!Expected)
      return refuse(From, ErrorKind::MalformedRequest,
                    "The header If-Match must hold the revision that this "
                    "document replaces, or 0 for the first one.");
    auto Parsed = parseDocument(From->body());
    if (!Parsed.Problems_.empty())
      return refuse(From, ErrorKind::DocumentInvalid, joined(Parsed.Problems_));
    return ask(From,
               PutDocument{{Name}, std::move(Parsed.Document_), *Expected});
  }

  auto promote(const Request &From, const std::string &Name)
      -> restinio::request_handling_status_t {
    const auto Query = queryOf(From);
    if (!Query.has("to"))
      return refuse(From, ErrorKind::MalformedRequest,
                    "The query must name the environment \"to\" promote to.");
    return ask(
        From,
        PromoteDocument{{Name}, {restinio::cast_to<std::string>(Query["to"])}});
  }

  auto explain(const Request &From, const std::string &Id)
      -> restinio::request_handling_status_t {
    if (!Id.empty() && Id.front() == 'j')
      return ask(From, GetJob{{Id}, false, {}});
    return ask(From, ExplainRequest{{Id}});
  }

  auto makeRouter() -> std::unique_ptr<Router> {
    auto Routes = std::make_unique<Router>();
    Routes->http_post("/v1/requests",
                      [this](const auto &From, auto) { return quick(From); });
    Routes->http_post(
        "/v1/jobs", [this](const auto &From, auto) { return submitJob(From); });
    Routes->http_get("/v1/jobs/:id", [this](const auto &From, auto Each) {
      return ask(From, GetJob{{parameter(Each, "id")}, false, {}});
    });
    Routes->http_post(
        "/v1/jobs/:id/cancel", [this](const auto &From, auto Each) {
          return ask(From, CancelJob{{parameter(Each, "id")}, false, {}});
        });
    Routes->http_get("/v1/environments/:name/document",
                     [this](const auto &From, auto Each) {
                       return ask(From, GetDocument{{parameter(Each, "name")}});
                     });
    Routes->http_put("/v1/environments/:name/document",
                     [this](const auto &From, auto Each) {
                       return putDocument(From, parameter(Each, "name"));
                     });
    Routes->http_post("/v1/environments/:name/promote",
                      [this](const auto &From, auto Each) {
                        return promote(From, parameter(Each, "name"));
                      });
    Routes->http_post(
        "/v1/datacentres/:name/out", [this](const auto &From, auto Each) {
          return ask(From, SetDataCentre{{parameter(Each, "name")}, true});
        });
    Routes->http_post(
        "/v1/datacentres/:name/return", [this](const auto &From, auto Each) {
          return ask(From, SetDataCentre{{parameter(Each, "name")}, false});
        });
    Routes->http_get("/v1/targets", [this](const auto &From, auto) {
      return ask(From, ListTargets{});
    });
    Routes->http_get("/v1/explain/:id", [this](const auto &From, auto Each) {
      return explain(From, parameter(Each, "id"));
    });
    Routes->http_get("/v1/metrics", [this](const auto &From, auto) {
      Handlers_.MetricsAsked_([From](std::string Text) {
        HttpAnswer Answer;
        Answer.ContentType_ = "text/plain; version=0.0.4";
        Answer.Body_ = std::move(Text);
        sendAnswer(From, std::move(Answer));
      });
      return restinio::request_accepted();
    });
    Routes->http_get("/v1/health", [this](const auto &From, auto) {
      Handlers_.HealthAsked_([From](bool Healthy) {
        constexpr std::uint16_t Unavailable = 503;
        HttpAnswer Answer;
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

  std::size_t BodyLimit_;
  CallerHandlers Handlers_;
  std::unique_ptr<Server> Server_;
};

HttpApi::HttpApi(asio::io_context &Traffic, const Settings &Settings,
                 CallerHandlers Handlers)
    : Implementation_(std::make_unique<Implementation>(Traffic, Settings,
                                                       std::move(Handlers))) {}

HttpApi::~HttpApi() = default;

auto HttpApi::start() -> void { Implementation_->start(); }

} // namespace skylark
