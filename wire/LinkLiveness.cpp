#include "wire/LinkLiveness.h"

namespace skylark {
namespace {

/// Checks without an answer after which a connection counts as dead; as long as
/// bytes may stay unacknowledged.
constexpr int MaxSilentChecks = 4;
/// The same for accepted connections, of which the other end opens another
/// sooner.
constexpr int MaxSilentChecksAccepted = 10;

} // namespace

auto LinkLiveness::check() -> LinkCheck {
  ++SilentChecks_;
  if (SilentChecks_ > MaxSilentChecks)
    return LinkCheck::Dead;
  return SilentChecks_ == 1 ? LinkCheck::Alive : LinkCheck::Probe;
}

auto AcceptedLinkLiveness::isDead() -> bool {
  return ++SilentChecks_ > MaxSilentChecksAccepted;
}

} // namespace skylark
