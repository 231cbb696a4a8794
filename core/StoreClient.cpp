#include "core/StoreClient.h"

#include <algorithm>

namespace skylark {
namespace {

constexpr Millis InitialBackoff{10};
constexpr Millis MaxBackoff{400};

/// Delay before the next call after a number of consecutive failed calls.
auto backoffAfter(int FailureCount) -> Millis {
  constexpr int MaxDoublings = 6;
  return std::min(MaxBackoff, InitialBackoff * (1 << std::min(FailureCount - 1,
                                                              MaxDoublings)));
}

} // namespace

auto StoreClient::call(StoreOperation Operation, StoreHandler Handler) -> void {
  Queue_.push_back({std::move(Operation), std::move(Handler)});
}

auto StoreClient::refillTokens(Moment Now) -> void {
  if (RefilledAt_ != TimePoint{}) {
    const std::chrono::duration<double> Elapsed = Now.Steady_ - RefilledAt_;
    Tokens_ =
        std::min(CallsPerSecond_, Tokens_ + Elapsed.count() * CallsPerSecond_);
  }
  RefilledAt_ = Now.Steady_;
}

auto StoreClient::advance(Moment Now, EntryOutbox &Out) -> void {
  refillTokens(Now);
  while (!Queue_.empty() && Tokens_ >= 1.0 && Now.Steady_ >= BackoffUntil_) {
    Tokens_ -= 1.0;
    auto Next = std::move(Queue_.front());
    Queue_.pop_front();
    const auto Call = ++LastCall_;
    PendingCalls_[Call] = {std::move(Next.Handler_), keyText(Next.Operation_)};
    ++Counters_.StoreCalls_;
    Out.push_back(CallStore{Call, std::move(Next.Operation_)});
  }
}

auto StoreClient::answered(Moment Now, const StoreResult &Result,
                           EntryOutbox &Out) -> void {
  const auto Found = PendingCalls_.find(Result.Call_);
  if (Found == PendingCalls_.end())
    return;
  const auto Call = std::move(Found->second);
  PendingCalls_.erase(Found);
  if (Result.Status_ == StoreStatus::Unavailable) {
    Counters_.countStoreFailure(Result.Failure_);
    BackoffUntil_ = Now.Steady_ + backoffAfter(++ConsecutiveFailures_);
  } else {
    ConsecutiveFailures_ = 0;
  }
  Counters_.StoreCorrections_ += Result.Corrections_;
  Counters_.DeclarationsLeftOut_ += Result.DeclarationsLeftOut_;
  if (Result.Status_ == StoreStatus::Refused) {
    ++Counters_.StoreRefusals_;
    Out.push_back(LogDecision{"store-refused-write", Call.Key_, 0,
                              ErrorKind::BodyTooLarge, ""});
  }
  Call.Handler_(Now, Result, Out);
}

} // namespace skylark
