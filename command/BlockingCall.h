/// \file
/// Defines blocking HTTP calls, with which the command line reaches an entry.
#pragma once

#include "runtime/HttpClient.h"

namespace skylark {

/// Makes one call and blocks until it has succeeded, failed or timed out.
auto callAndWait(HttpCall Call) -> HttpResult;

/// Returns the value of an answer's header, or an empty string if it has none.
/// \param Name the header's name, in any case.
auto headerValue(const HttpResult &Answer, const std::string &Name)
    -> std::string;

} // namespace skylark
