#include "core/Assert.h"

#include <cstdlib>
#include <iostream>

namespace skylark {
namespace {

auto printAndAbort(const std::string &Text) -> void {
  std::cerr << Text << std::endl;
  std::abort();
}

AssertHandler Handler = printAndAbort;

} // namespace

auto setAssertHandler(AssertHandler NewHandler) -> void {
  Handler = NewHandler;
}

auto Internal::assertFailed(const char *File, int Line, const std::string &Text)
    -> void {
  std::ostringstream Out;
  Out << "invariant broken at " << File << ':' << Line << ": " << Text;
  Handler(Out.str());
  std::abort();
}

} // namespace skylark
