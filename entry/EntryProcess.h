/// \file
/// Defines the entry process: HTTP, websockets, store and clock around the
/// entry's decisions.
#pragma once

#include "entry/CallerServer.h"

namespace skylark {

/// Runs an entry until it is told to stop. Returns the exit status.
auto runEntry(const Settings &Settings, const EntryProtocols &Protocols) -> int;

} // namespace skylark
