#include "core/StorePort.h"

#include <algorithm>

namespace skylark {
namespace {

constexpr Millis FirstPause{10};
constexpr Millis LongestPause{400};

/// Pause after a number of failed calls in a row.
auto pauseAfter(int Failures) -> Millis {
  constexpr int MostDoublings = 6;
  return std::min(LongestPause,
                  FirstPause * (1 << std::min(Failures - 1, MostDoublings)));
}

} // namespace

auto StorePort::call(StoreOperation Operation, StoreHandler Handler) -> void {
  Waiting_.push_back({std::move(Operation), std::move(Handler)});
}

auto StorePort::refill(Moment Now) -> void {
  if (RefilledAt_ != TimePoint{}) {
    const std::chrono::duration<double> Passed = Now.Steady_ - RefilledAt_;
    Tokens_ = std::min(Rate_, Tokens_ + Passed.count() * Rate_);
  }
  RefilledAt_ = Now.Steady_;
}

auto StorePort::advance(Moment Now, EntryOutbox &Out) -> void {
  refill(Now);
  while (!Waiting_.empty() && Tokens_ >= 1.0 && Now.Steady_ >= PausedUntil_) {
    Tokens_ -= 1.0;
    auto Next = std::move(Waiting_.front());
    Waiting_.pop_front();
    const auto Call = ++NextCall_;
    Open_[Call] = std::move(Next.Handler_);
    ++Counters_.StoreCalls_;
    Out.push_back(CallStore{Call, std::move(Next.Operation_)});
  }
}

auto StorePort::answered(Moment Now, const StoreResult &Result,
                         EntryOutbox &Out) -> void {
  const auto Found = Open_.find(Result.Call_);
  if (Found == Open_.end())
    return;
  const auto Handler = std::move(Found->second);
  Open_.erase(Found);
  if (Result.Status_ == StoreStatus::Unavailable) {
    ++Counters_.StoreFailures_;
    PausedUntil_ = Now.Steady_ + pauseAfter(++Failures_);
  } else {
    Failures_ = 0;
  }
  Handler(Now, Result, Out);
}

} // namespace skylark
