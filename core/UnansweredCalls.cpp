#include "core/UnansweredCalls.h"

#include <algorithm>

namespace skylark {
namespace {

/// Least time between two lines about the same peer.
constexpr Millis LineInterval{1000};

} // namespace

auto UnansweredCalls::add(TimePoint SentAt, const EntryId &Peer,
                          UnansweredReason Reason, Counters &Counted) -> void {
  const auto Index = static_cast<std::size_t>(Reason);
  ++Counted.UnansweredCalls_[Index];
  auto &Calls = Peers_[Peer];
  ++Calls.ByReason_[Index];
  Calls.OldestSentAt_ = std::min(Calls.OldestSentAt_, SentAt);
}

auto UnansweredCalls::report(TimePoint Now, EntryOutbox &Out) -> void {
  for (auto &[Peer, Calls] : Peers_) {
    if (Calls.OldestSentAt_ == TimePoint::max() || Now < Calls.NextLine_)
      continue;
    std::string Detail;
    for (std::size_t Index = 0; Index < Calls.ByReason_.size(); ++Index)
      if (Calls.ByReason_[Index] != 0)
        Detail += std::string(unansweredReasonText(
                      static_cast<UnansweredReason>(Index))) +
                  ' ' + std::to_string(Calls.ByReason_[Index]) + ", ";
    const auto Age =
        std::chrono::duration_cast<Millis>(Now - Calls.OldestSentAt_);
    Detail += "oldest forwarded " + std::to_string(Age.count()) + " ms ago";
    Out.push_back(LogDecision{"forwarded-calls-unanswered", Peer.Value_, 0,
                              ErrorKind::None, std::move(Detail)});
    Calls = {};
    Calls.NextLine_ = Now + LineInterval;
  }
}

} // namespace skylark
