/// \file
/// Defines the entry process, which connects the entry's state machine
/// (EntryCore) to HTTP, websockets, the store and the clock.
#pragma once

#include "entry/CallerServer.h"

namespace skylark {

/// Runs an entry until SIGTERM or SIGINT has shut it down. Returns the exit
/// status of the process.
auto runEntry(const Settings &Settings, const EntryProtocols &Protocols) -> int;

} // namespace skylark
