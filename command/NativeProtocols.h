/// \file
/// Defines the set of native interfaces, for entries and agents.
#pragma once

#include "agent/AgentProcess.h"
#include "entry/CallerServer.h"

namespace skylark {

auto nativeEntryProtocols() -> EntryProtocols;
auto nativeAgentProtocols() -> AgentProtocols;

} // namespace skylark
