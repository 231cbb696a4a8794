/// \file
/// Defines the process beside a target: connections, calls and clock around
/// the agent's decisions.
#pragma once

#include "agent/WorkerLink.h"
#include "runtime/HttpClient.h"
#include "runtime/StoreTransport.h"
#include "wire/Settings.h"

namespace skylark {

/// The interfaces that an agent speaks to the world around the system.
struct AgentProtocols {
  std::unique_ptr<WorkerLink> (*MakeWorker_)(asio::io_context &, HttpClient &,
                                             const Settings &, Incarnation,
                                             WorkerLinkHandlers);
  std::unique_ptr<StoreTransport> (*MakeStore_)(HttpClient &, const Settings &);
};

/// Runs an agent until it is told to stop. Returns the exit status.
auto runAgent(const Settings &Settings, const AgentProtocols &Protocols) -> int;

} // namespace skylark
