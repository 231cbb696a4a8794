/// \file
/// Defines how the command line talks to an entry.
#pragma once

#include "runtime/HttpClient.h"

namespace skylark {

/// Makes one call and waits for its end.
auto callAndWait(HttpCall Call) -> HttpResult;

/// The value of a header line of an answer; empty where there is none.
auto headerOf(const HttpResult &Answer, const std::string &Name) -> std::string;

} // namespace skylark
