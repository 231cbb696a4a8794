/// \file
/// Defines the product's own interfaces as a whole, for both roles.
#pragma once

#include "agent/AgentProcess.h"
#include "entry/CallerServer.h"

namespace skylark {

auto nativeEntryProtocols() -> EntryProtocols;
auto nativeAgentProtocols() -> AgentProtocols;

} // namespace skylark
