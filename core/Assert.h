/// \file
/// Defines assertions of internal invariants, which stay on in release builds.
#pragma once

#include <sstream>
#include <string>

namespace skylark {

/// Called with the message of a failed assertion. Must not return.
using AssertHandler = void (*)(const std::string &Message);

/// Replaces the default handler, which prints the message and aborts.
auto setAssertHandler(AssertHandler Handler) -> void;

namespace Internal {
[[noreturn]] auto assertFailed(const char *File, int Line,
                               const std::string &Message) -> void;

template <typename... ContextTypes>
auto joinMessage(const char *Description, const ContextTypes &...Context)
    -> std::string {
  std::ostringstream Out;
  Out << Description;
  ((Out << ' ' << Context), ...);
  return Out.str();
}
} // namespace Internal
} // namespace skylark

/// Checks an invariant; on failure reports the description and the values that
/// follow it.
#define SKYLARK_ASSERT(Condition, ...)                                         \
  do {                                                                         \
    if (!(Condition))                                                          \
      ::skylark::Internal::assertFailed(                                       \
          __FILE__, __LINE__, ::skylark::Internal::joinMessage(__VA_ARGS__));  \
  } while (false)
