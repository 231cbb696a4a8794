/// \file
/// Defines an entry's HTTP server for callers and operators.
#pragma once

#include "wire/ApiText.h"
#include "wire/Settings.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace skylark {

/// Sends the answer of one request; may be called once, from any thread.
using AnswerSender = std::function<void(HttpAnswer)>;

/// What the server passes on. Called on the traffic thread.
struct HttpApiHandlers {
  std::function<void(CallerRequest, AnswerSender)> Asked_;
  std::function<void(AnswerSender)> MetricsAsked_;
  std::function<void(AnswerSender)> HealthAsked_;
  /// A request was refused before it reached the entry's decisions.
  std::function<void(ErrorKind)> Refused_;
};

/// Reads requests, checks their form and limits, and sends answers.
class HttpApi {
public:
  HttpApi(asio::io_context &Traffic, const Settings &Settings,
          HttpApiHandlers Handlers);
  ~HttpApi();
  HttpApi(const HttpApi &) = delete;
  auto operator=(const HttpApi &) -> HttpApi & = delete;

  auto start() -> void;

private:
  class Implementation;
  std::unique_ptr<Implementation> Implementation_;
};

} // namespace skylark
