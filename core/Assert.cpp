#include "core/Assert.h"

#include <cstdlib>
#include <iostream>

namespace skylark {
namespace {

auto printAndAbort(const std::string &Message) -> void {
  std::cerr << Message << std::endl;
  std::abort();
}

AssertHandler Handler = printAndAbort;

} // namespace

auto setAssertHandler(AssertHandler NewHandler) -> void {
  Handler = NewHandler;
}

auto Internal::assertFailed(const char *File, int Line,
                            const std::string &Message) -> void {
  std::ostringstream Out;
  Out << "invariant broken at " << File << ':' << Line << ": " << Message;
  Handler(Out.str());
  std::abort();
}

} // namespace skylark
