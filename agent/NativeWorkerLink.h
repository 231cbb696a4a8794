/// \file
/// Defines the link to a worker that implements the native interface.
#pragma once

#include "agent/WorkerLink.h"
#include "runtime/HttpClient.h"

namespace skylark {

/// Calls the worker's native interface: HTTP and JSON, see wire/WorkerJson.h.
class NativeWorkerLink : public WorkerLink {
public:
  /// \param Address host:port of the worker.
  /// \param AgentIncarnation the incarnation of this agent; the worker refuses
  /// commands of earlier ones.
  NativeWorkerLink(HttpClient &Http, std::string Address,
                   Incarnation AgentIncarnation, WorkerLinkHandlers Handlers);

  auto listen() -> void override {}
  auto execute(const StartOnWorker &Start) -> void override;
  auto execute(const StopOnWorker &Stop) -> void override;
  auto execute(const ForgetOnWorker &Forget) -> void override;
  auto execute(const PollWorker &Poll) -> void override;
  /// Does nothing: the native interface can't set the pace of a task.
  auto execute(const PaceOnWorker &Pace) -> void override;

private:
  /// Posts to an operation of the worker, such as "start".
  auto post(const std::string &Operation, std::string Body,
            std::function<void(HttpResult)> Done) -> void;

  HttpClient &Http_;
  std::string BaseUrl_;
  Incarnation AgentIncarnation_;
  WorkerLinkHandlers Handlers_;
};

} // namespace skylark
