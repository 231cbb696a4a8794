/// \file
/// Defines the always-on check of internal invariants.
#pragma once

#include <sstream>
#include <string>

namespace skylark {

/// Called with the full text of a broken invariant. Must not return.
using AssertHandler = void (*)(const std::string &Text);

/// Replaces the handler, which by default prints the text and aborts.
auto setAssertHandler(AssertHandler Handler) -> void;

namespace Internal {
[[noreturn]] auto assertFailed(const char *File, int Line,
                               const std::string &Text) -> void;

template <typename... Values>
auto assertText(const char *What, const Values &...Parts) -> std::string {
  std::ostringstream Out;
  Out << What;
  ((Out << ' ' << Parts), ...);
  return Out.str();
}
} // namespace Internal
} // namespace skylark

/// Checks an invariant; on failure reports the text and the values after it.
#define SKYLARK_ASSERT(Condition, ...)                                         \
  do {                                                                         \
    if (!(Condition))                                                          \
      ::skylark::Internal::assertFailed(                                       \
          __FILE__, __LINE__, ::skylark::Internal::assertText(__VA_ARGS__));   \
  } while (false)
