/// \file
/// Defines the process beside a target: connections, calls and clock around
/// the agent's decisions.
#pragma once

#include "wire/Settings.h"

namespace skylark {

/// Runs an agent until it is told to stop. Returns the exit status.
auto runAgent(const Settings &Settings) -> int;

} // namespace skylark
