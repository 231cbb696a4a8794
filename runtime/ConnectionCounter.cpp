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
  log("connection-limit-reached", std::to_string(Limit_) + " connections");
}

auto ConnectionCounter::acceptFailed(std::error_code Error) -> void {
  ++Load_->AcceptFailures_;
  log("accept-failed", Error.message() + ", " +
                           std::to_string(Load_->Connections_.load()) +
                           " connections");
}

auto ConnectionCounter::log(std::string_view Event, const std::string &Detail)
    -> void {
  const auto Now = SteadyClock::now();
  if (Now < NextLine_)
    return;
  NextLine_ = Now + LineInterval;
  logEvent(Event, "port " + std::to_string(Port_) + ", " + Detail);
}

} // namespace skylark
