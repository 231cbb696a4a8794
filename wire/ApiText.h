/// \file
/// Defines the JSON that callers and operators exchange with an entry.
#pragma once

#include "core/EntryOutput.h"
#include "wire/Problem.h"

namespace skylark {

/// An HTTP answer, ready to be sent.
struct HttpAnswer {
  std::uint16_t Status_ = 200;
  std::string ContentType_ = "application/json";
  std::string Body_;
  /// The document's revision as an entity tag; empty for other answers.
  std::string EntityTag_;
  /// The id under which a quick request can be explained.
  std::string RequestId_;
};

struct ParsedJob {
  JobDeclaration Declaration_;
  std::vector<Problem> Problems_;
};

/// Reads a job submission. Deadlines count from `Now`.
auto parseJob(const std::string &Text, WallTime Now) -> ParsedJob;

/// The HTTP answer to a reply of an entry.
auto renderReply(const CallerReply &Reply) -> HttpAnswer;

/// The `application/problem+json` answer of an error kind.
auto renderError(const ErrorReply &Error) -> HttpAnswer;

/// One log line as a JSON object, without its line end.
auto renderLog(const LogDecision &Decision, const std::string &Process,
               WallTime At) -> std::string;

/// A time as ISO 8601 text in UTC, with milliseconds.
auto timeText(WallTime At) -> std::string;

} // namespace skylark
