/// \file
/// Defines the native HTTP interface for callers and operators.
#pragma once

#include "entry/CallerServer.h"

namespace skylark {

/// Parses requests, checks their syntax and size, and sends the replies.
class HttpApi : public CallerServer {
public:
  HttpApi(asio::io_context &Traffic, const Settings &Settings,
          CallerHandlers Handlers);
  ~HttpApi() override;

  auto start() -> void override;
  auto load() const -> const HttpServerLoad & override;

private:
  class Implementation;
  std::unique_ptr<Implementation> Implementation_;
};

} // namespace skylark
