/// \file
/// Defines how many descriptors a process may open.
#pragma once

#include <cstddef>

namespace skylark {

/// Raises the soft limit of descriptors to `Wanted`, as far as the hard limit
/// allows; never lowers it. Logs the limit in force if it is lower than wanted.
/// \returns the limit in force.
auto raiseDescriptorLimit(std::size_t Wanted) -> std::size_t;

} // namespace skylark
