/// \file
/// Defines the names of the kinds of requests in the log.
#pragma once

#include "core/EntryOutput.h"

#include <string_view>

namespace skylark {

/// The name of a request's kind, for the log.
auto requestKindText(const CallerRequest &Request) -> std::string_view;

} // namespace skylark
