/// \file
/// Defines the verbs of the command line.
#pragma once

#include <string>
#include <vector>

namespace skylark {

/// Exit status of every verb.
enum class ExitStatus : int {
  Done = 0,
  Refused = 1,
  Usage = 2,
  Unreachable = 3,
  OutcomeUnknown = 4,
  NotInForce = 5
};

struct Verb {
  const char *Name_;
  const char *Summary_;
  const char *Example_;
  auto(*Run_)(const Verb &Self, int Count, char **Arguments) -> ExitStatus;
};

/// Every verb, in the order in which help lists them.
auto allVerbs() -> const std::vector<Verb> &;

/// `skylark load`: drives a mix of work and reports what came of it.
auto runLoad(const Verb &Self, int Count, char **Arguments) -> ExitStatus;

} // namespace skylark
