#include "runtime/DescriptorLimit.h"

#include "runtime/Process.h"

#include <sys/resource.h>

#include <algorithm>

namespace skylark {

auto raiseDescriptorLimit(std::size_t Wanted) -> std::size_t {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return 0;
  const auto Possible = std::min(static_cast<rlim_t>(Wanted), Limit.rlim_max);
  if (Limit.rlim_cur < Possible) {
    auto Raised = Limit;
    Raised.rlim_cur = Possible;
    if (::setrlimit(RLIMIT_NOFILE, &Raised) == 0)
      Limit = Raised;
  }
  if (Limit.rlim_cur < Wanted)
    logEvent("descriptors-limited",
             std::to_string(Limit.rlim_cur) + " of " + std::to_string(Wanted));
  return static_cast<std::size_t>(Limit.rlim_cur);
}

} // namespace skylark
