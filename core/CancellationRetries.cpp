#include "core/CancellationRetries.h"

#include <utility>

namespace skylark {
namespace {

constexpr Millis RetryInterval{500};
/// How long a cancellation is repeated.
constexpr Millis RetryTimeout{60000};
constexpr std::size_t MaxRetries = 2000;
/// Tokens from this one on, and below those of peers' callers, stand for
/// repetitions.
constexpr CallerToken FirstRetryToken = CallerToken{1} << 61;

auto mayBeOpen(ErrorKind Kind) -> bool {
  return Kind == ErrorKind::ShardMoving ||
         Kind == ErrorKind::StoreUnavailable ||
         Kind == ErrorKind::OutcomeUnknown || Kind == ErrorKind::EntryStopping;
}

} // namespace

auto CancellationRetries::add(CallerToken Token, const CancelJob &Request)
    -> void {
  Asked_[Token] = {Request, std::nullopt};
}

auto CancellationRetries::mustRepeat(TimePoint Now,
                                     const Cancellation &Answered,
                                     const CallerReply &Reply) const -> bool {
  const auto *Error = std::get_if<ErrorReply>(&Reply);
  return Error != nullptr && mayBeOpen(Error->Kind_) &&
         Waiting_.size() + Repeated_ < MaxRetries &&
         Answered.GiveUpAt_.value_or(TimePoint::max()) > Now;
}

auto CancellationRetries::settle(TimePoint Now, EntryOutbox &Out) -> void {
  if (Asked_.empty())
    return;
  EntryOutbox KeptOutputs;
  for (auto &Each : Out) {
    auto *Answer = std::get_if<AnswerCaller>(&Each);
    const auto Found =
        Answer == nullptr ? Asked_.end() : Asked_.find(Answer->Token_);
    if (Found == Asked_.end()) {
      KeptOutputs.push_back(std::move(Each));
      continue;
    }
    auto Answered = std::move(Found->second);
    Asked_.erase(Found);
    const auto FromCaller = !Answered.GiveUpAt_;
    if (!FromCaller)
      --Repeated_;
    if (mustRepeat(Now, Answered, Answer->Reply_)) {
      Answered.GiveUpAt_ = Answered.GiveUpAt_.value_or(Now + RetryTimeout);
      Answer->Reply_ = ErrorReply{
          ErrorKind::OutcomeUnknown, "the cancellation is repeated", {}};
      Waiting_.push_back({std::move(Answered), Now + RetryInterval});
    }
    if (FromCaller)
      KeptOutputs.push_back(std::move(Each));
  }
  Out = std::move(KeptOutputs);
}

auto CancellationRetries::takeDue(TimePoint Now) -> std::vector<Retry> {
  std::vector<Retry> Due;
  for (auto Each = Waiting_.begin(); Each != Waiting_.end();) {
    if (Each->DueAt_ > Now) {
      ++Each;
      continue;
    }
    const auto Token = FirstRetryToken + ++LastRetry_;
    Due.push_back({Token, Each->Each_.Request_});
    Asked_[Token] = std::move(Each->Each_);
    ++Repeated_;
    Each = Waiting_.erase(Each);
  }
  return Due;
}

} // namespace skylark
