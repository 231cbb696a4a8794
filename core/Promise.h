/// \file
/// Defines what a job can still be worth to its caller.
#pragma once

#include "core/Job.h"

#include <array>

namespace skylark {

/// Whether a task that starts now lets its job end on time, late but still of
/// use, or too late.
enum class Promise : std::uint8_t { OnTime, Late, Hopeless };

/// Every promise, the best first.
constexpr std::array<Promise, 3> Promises{Promise::OnTime, Promise::Late,
                                          Promise::Hopeless};

/// What `Job` can still be worth if `Task` starts at `Now`. Only work that
/// fills is judged, since nothing else waits for room that others could use
/// better; the rest counts as on time.
auto promiseOf(const Job &Job, const TaskId &Task, WallTime Now) -> Promise;

} // namespace skylark
