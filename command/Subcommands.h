/// \file
/// Defines the subcommands of the command line.
#pragma once

#include <string>
#include <vector>

namespace skylark {

/// Exit status of all subcommands.
enum class ExitStatus : int {
  Done = 0,
  /// An entry refused the request, a task of the job failed, documents differ
  /// or are invalid, or a load run saw wrong or repeated executions.
  Refused = 1,
  Usage = 2,
  /// No connection to an entry; the request was not sent.
  Unreachable = 3,
  /// The request may have been processed, but its result is not known.
  OutcomeUnknown = 4,
  /// The change is accepted, but not in force everywhere yet.
  NotInForce = 5
};

/// One subcommand, with its one-line help and the function that runs it.
struct Subcommand {
  const char *Name_;
  const char *Summary_;
  const char *Example_;
  /// Self is the subcommand as invoked, since several share a function.
  auto(*Run_)(const Subcommand &Self, int Count, char **Arguments)
      -> ExitStatus;
};

/// Returns all subcommands, in the order in which the help lists them.
auto allSubcommands() -> const std::vector<Subcommand> &;

/// Runs `skylark load`, which generates a mix of quick requests and jobs and
/// reports latencies and errors.
auto runLoad(const Subcommand &Self, int Count, char **Arguments) -> ExitStatus;

} // namespace skylark
