/// \file
/// Defines how an entry refuses callers' requests that it can't handle.
#pragma once

#include "core/Counters.h"
#include "core/EntryOutput.h"

namespace skylark {

/// Whether the request is about jobs of a queue. Such a request can be repeated
/// safely, since its caller chose the job's id.
auto isForQueue(const CallerRequest &Request) -> bool;

/// Whether the request may have changed something although its answer was lost.
auto mayHaveSideEffects(const CallerRequest &Request) -> bool;

/// Answers a caller with an error and counts it.
auto refuse(Counters &Counted, CallerToken Token, ErrorKind Kind,
            std::string Detail, EntryOutbox &Out) -> void;

/// Like refuse(), but with KeyNotChecked if a key or a job id identifies the
/// requested work.
auto refuseRequest(Counters &Counted, CallerToken Token,
                   const CallerRequest &Request, ErrorKind Kind,
                   std::string Detail, EntryOutbox &Out) -> void;

} // namespace skylark
