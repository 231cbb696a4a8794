/// \file
/// Defines the agent process, which runs beside a target and connects the
/// agent's state machine (AgentCore) to entries, worker, target, store and
/// clock.
#pragma once

#include "agent/WorkerLink.h"
#include "runtime/HttpClient.h"
#include "runtime/StoreTransport.h"
#include "wire/Settings.h"

namespace skylark {

/// Factories for an agent's connections to external systems.
struct AgentProtocols {
  std::unique_ptr<WorkerLink> (*MakeWorker_)(asio::io_context &, HttpClient &,
                                             const Settings &, Incarnation,
                                             WorkerLinkHandlers);
  std::unique_ptr<StoreTransport> (*MakeStore_)(HttpClient &, const Settings &);
  /// The longest time that the worker takes to stop a task; 0 if unknown.
  Millis (*LongestStop_)(const Settings &);
};

/// Runs an agent until it has shut down. Returns the exit status of the
/// process.
auto runAgent(const Settings &Settings, const AgentProtocols &Protocols) -> int;

} // namespace skylark
