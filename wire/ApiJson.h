/// \file
/// Defines the JSON and HTTP form of the requests and replies that an entry
/// exchanges with callers and operators, and of log lines.
#pragma once

#include "core/EntryOutput.h"
#include "wire/Problem.h"

namespace skylark {

/// An HTTP response, independent of the HTTP server that sends it.
struct HttpResponse {
  std::uint16_t Status_ = 200;
  std::string ContentType_ = "application/json";
  std::string Body_;
  /// The document's revision as a quoted entity tag; empty for responses that
  /// carry no revision.
  std::string EntityTag_;
  /// The id under which a service request can be explained; empty for responses
  /// that belong to no such request.
  std::string RequestId_;
};

struct ParsedJob {
  JobDeclaration Declaration_;
  /// Empty for a valid submission. Otherwise the declaration must not be used.
  std::vector<Problem> Problems_;
};

/// Parses a job submission and reports all invalid fields at once.
/// \param Text the body of the request, JSON with comments.
/// \param Now the time from which `deadline_in_ms` counts.
auto parseJob(const std::string &Text, WallTime Now) -> ParsedJob;

/// Renders a reply of an entry as an HTTP response.
auto renderReply(const CallerReply &Reply) -> HttpResponse;

/// Renders an error as an `application/problem+json` response (RFC 7807).
auto renderError(const ErrorReply &Error) -> HttpResponse;

/// Renders a log event as one line of JSON, without the newline.
/// \param Process the name of the process that logs it.
auto renderLogLine(const LogDecision &Decision, const std::string &Process,
                   WallTime At) -> std::string;

/// Formats a time as ISO 8601 in UTC, with milliseconds.
auto timeText(WallTime At) -> std::string;

} // namespace skylark
