/// \file
/// Defines the link to a worker that speaks the product's own interface.
#pragma once

#include "agent/WorkerLink.h"
#include "runtime/HttpClient.h"

namespace skylark {

/// The worker's own interface over HTTP and JSON; see wire/WorkerText.h.
class NativeWorker : public WorkerLink {
public:
  /// \param Address host:port of the worker. \param Agent the incarnation of
  /// this agent; the worker refuses orders of earlier ones.
  NativeWorker(HttpClient &Http, std::string Address, Incarnation Agent,
               WorkerLinkHandlers Handlers);

  auto open() -> void override {}
  auto order(const StartOnWorker &Start) -> void override;
  auto order(const StopOnWorker &Stop) -> void override;
  auto order(const ForgetOnWorker &Forget) -> void override;
  auto order(const PollWorker &Poll) -> void override;
  /// This interface knows no pace; the order is dropped.
  auto order(const PaceOnWorker &Pace) -> void override;

private:
  auto post(const std::string &Verb, std::string Body,
            std::function<void(HttpResult)> Done) -> void;

  HttpClient &Http_;
  std::string Base_;
  Incarnation Agent_;
  WorkerLinkHandlers Handlers_;
};

} // namespace skylark
