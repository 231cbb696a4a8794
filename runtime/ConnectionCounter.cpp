#include "runtime/ConnectionCounter.h"

#include "runtime/Process.h"

namespace skylark {
namespace {

constexpr Seconds LineInterval{10};

} // namespace

auto ConnectionCounter::state_changed(
    const restinio::connection_state::notice_t &Notice) -> void {
  if (!restinio::holds_alternative<restinio::connection_state::accepted_t>(
          Notice.cause())) {
    --Load_->Connections_;
    return;
  }
  if (++Load_->Connections_ != Limit_)
    return;
  ++Load_->LimitsReached_;
  const auto Now = SteadyClock::now();
  if (Now < NextLine_)
    return;
  NextLine_ = Now + LineInterval;
  logEvent("connection-limit-reached", "port " + std::to_string(Port_) + ", " +
                                           std::to_string(Limit_) +
                                           " connections");
}

} // namespace skylark
