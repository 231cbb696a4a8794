#include "core/ForwardedCalls.h"

#include "core/Assert.h"
#include "core/RequestRefusal.h"

#include <utility>

namespace skylark {
namespace {

/// How long a request waits until its shard has an owner.
constexpr Millis ParkTimeout{1500};
constexpr std::size_t MaxParkedCalls = 2000;
constexpr std::size_t MaxForwardedCalls = 20000;
/// Tokens from this one on stand for callers whose request a peer has
/// forwarded.
constexpr CallerToken FirstPeerToken = CallerToken{1} << 62;

auto unansweredReason(const ShardOwnership &Ownership, const EntryId &Owner)
    -> UnansweredReason {
  if (!Ownership.isConnected(Owner))
    return UnansweredReason::LinkClosed;
  return Ownership.isReachable(Owner) ? UnansweredReason::Expired
                                      : UnansweredReason::PeerSilent;
}

} // namespace

auto ForwardedCalls::refuseMoving(const ShardCall &Call, ErrorKind Kind,
                                  EntryOutbox &Out) -> void {
  refuseRequest(Counters_, Call.Token_, Call.Request_, Kind,
                "shard " + std::to_string(Call.Shard_), Out);
}

auto ForwardedCalls::forward(TimePoint Now, const EntryId &Owner,
                             ShardCall Call, EntryOutbox &Out) -> void {
  if (Forwarded_.size() >= MaxForwardedCalls) {
    refuseRequest(Counters_, Call.Token_, Call.Request_,
                  ErrorKind::TooManyInFlight, "forwarded requests", Out);
    return;
  }
  const auto Number = ++LastCallNumber_;
  Out.push_back(SendToPeer{Owner, ForwardRequest{Number, Call.Request_}});
  Forwarded_[Number] = {Owner, std::move(Call), Now};
}

auto ForwardedCalls::forwardToShard(TimePoint Now,
                                    const ShardOwnership &Ownership,
                                    ShardCall Call, bool StoreDown,
                                    EntryOutbox &Out) -> void {
  if (isFromPeer(Call.Token_)) {
    refuse(Counters_, Call.Token_, ErrorKind::ShardMoving,
           "shard " + std::to_string(Call.Shard_), Out);
    return;
  }
  auto Owner = Ownership.knownOwner(Call.Shard_);
  if (Owner.empty())
    Owner = Ownership.preferredOwner(Call.Shard_);
  if (Owner != Self_ && Ownership.isReachable(Owner)) {
    forward(Now, Owner, std::move(Call), Out);
    return;
  }
  Call.ExpiresAt_ = Now + ParkTimeout;
  if (!park(Now, Call))
    refuseMoving(
        Call, StoreDown ? ErrorKind::StoreUnavailable : ErrorKind::ShardMoving,
        Out);
}

auto ForwardedCalls::answered(TimePoint Now, const EntryId &Peer,
                              const ForwardReply &Message, EntryOutbox &Out)
    -> std::optional<ShardNumber> {
  const auto Found = Forwarded_.find(Message.CallNumber_);
  if (Found == Forwarded_.end() || Found->second.Owner_ != Peer)
    return std::nullopt;
  const auto Call = std::move(Found->second.Call_);
  Forwarded_.erase(Found);
  const auto *Error = std::get_if<ErrorReply>(&Message.Reply_);
  const auto Moved =
      Error != nullptr && (Error->Kind_ == ErrorKind::ShardMoving ||
                           Error->Kind_ == ErrorKind::EntryStopping);
  if (!Moved) {
    Out.push_back(AnswerCaller{Call.Token_, Message.Reply_});
    return std::nullopt;
  }
  const auto ForQueue = isForQueue(Call.Request_);
  if (!park(Now, Call))
    refuseRequest(Counters_, Call.Token_, Call.Request_, Error->Kind_,
                  Error->Detail_, Out);
  return ForQueue ? std::optional(Call.Shard_) : std::nullopt;
}

auto ForwardedCalls::repeatTo(TimePoint Now, const EntryId &Peer,
                              EntryOutbox &Out) -> void {
  std::vector<ShardCall> Open;
  for (auto Each = Forwarded_.begin(); Each != Forwarded_.end();) {
    auto &Call = Each->second.Call_;
    const auto Repeats = Each->second.Owner_ == Peer &&
                         isForQueue(Call.Request_) && Call.ExpiresAt_ > Now;
    if (Repeats)
      Open.push_back(std::move(Call));
    Each = Repeats ? Forwarded_.erase(Each) : std::next(Each);
  }
  // Under a new number, so that a refusal of the first copy isn't taken for the
  // outcome of the request.
  for (auto &Each : Open)
    forward(Now, Peer, std::move(Each), Out);
}

auto ForwardedCalls::expire(TimePoint Now, const ShardOwnership &Ownership,
                            EntryOutbox &Out) -> void {
  for (auto Each = Forwarded_.begin(); Each != Forwarded_.end();) {
    if (Ownership.isReachable(Each->second.Owner_) &&
        Each->second.Call_.ExpiresAt_ > Now) {
      ++Each;
      continue;
    }
    const auto [Owner, Call, SentAt] = std::move(Each->second);
    Each = Forwarded_.erase(Each);
    Unanswered_.add(SentAt, Owner, unansweredReason(Ownership, Owner),
                    Counters_);
    // A request to a queue can be repeated at the shard's next owner.
    if (park(Now, Call))
      continue;
    // The owner may have done the work. Only a query is certain to have changed
    // nothing.
    refuse(Counters_, Call.Token_,
           mayHaveSideEffects(Call.Request_) ? ErrorKind::OutcomeUnknown
                                             : ErrorKind::ShardMoving,
           "no answer from entry " + Owner.Value_, Out);
  }
}

auto ForwardedCalls::park(TimePoint Now, const ShardCall &Call) -> bool {
  const auto CanWait = isForQueue(Call.Request_) &&
                       Parked_.size() < MaxParkedCalls && Call.ExpiresAt_ > Now;
  if (CanWait)
    Parked_.push_back(Call);
  return CanWait;
}

auto ForwardedCalls::takeParked() -> ShardCall {
  SKYLARK_ASSERT(!Parked_.empty(), "no parked request is left");
  auto First = std::move(Parked_.front());
  Parked_.pop_front();
  return First;
}

auto ForwardedCalls::resume(TimePoint Now, const ShardOwnership &Ownership,
                            ShardCall Call, EntryOutbox &Out) -> void {
  const auto Owner = Ownership.knownOwner(Call.Shard_);
  if (!Owner.empty())
    forward(Now, Owner, std::move(Call), Out);
  else if (!park(Now, Call))
    refuseMoving(Call, ErrorKind::ShardMoving, Out);
}

auto ForwardedCalls::recordOwnCall(const ShardCall &Call) -> void {
  if (isForQueue(Call.Request_) && !isFromPeer(Call.Token_))
    OwnCalls_[Call.Token_] = Call;
}

auto ForwardedCalls::parkMoved(TimePoint Now, EntryOutbox &Out) -> void {
  EntryOutbox KeptOutputs;
  for (auto &Each : Out) {
    const auto *Answer = std::get_if<AnswerCaller>(&Each);
    const auto Found =
        Answer == nullptr ? OwnCalls_.end() : OwnCalls_.find(Answer->Token_);
    if (Found == OwnCalls_.end()) {
      const auto Early = Answer == nullptr
                             ? AnsweredEarly_.end()
                             : AnsweredEarly_.find(Answer->Token_);
      if (Early == AnsweredEarly_.end() || !std::exchange(Early->second, true))
        KeptOutputs.push_back(std::move(Each));
      continue;
    }
    const auto Call = std::move(Found->second);
    OwnCalls_.erase(Found);
    const auto *Error = std::get_if<ErrorReply>(&Answer->Reply_);
    if (Error == nullptr || Error->Kind_ != ErrorKind::ShardMoving)
      KeptOutputs.push_back(std::move(Each));
    else if (!park(Now, Call))
      refuseMoving(Call, ErrorKind::ShardMoving, KeptOutputs);
  }
  Out = std::move(KeptOutputs);
}

auto ForwardedCalls::isFromPeer(CallerToken Token) -> bool {
  return Token >= FirstPeerToken;
}

auto ForwardedCalls::received(const EntryId &Peer, std::uint64_t CallNumber)
    -> CallerToken {
  const auto Token = FirstPeerToken + ++PeerCallCount_;
  PeerCallers_[Token] = {Peer, CallNumber};
  return Token;
}

auto ForwardedCalls::routeAnswers(EntryOutbox &Out) -> void {
  for (auto &Each : Out) {
    auto *Answer = std::get_if<AnswerCaller>(&Each);
    if (Answer == nullptr || !isFromPeer(Answer->Token_))
      continue;
    const auto Found = PeerCallers_.find(Answer->Token_);
    SKYLARK_ASSERT(Found != PeerCallers_.end(),
                   "second answer to a forwarded request:", Answer->Token_);
    const auto Caller = Found->second;
    PeerCallers_.erase(Found);
    Each = SendToPeer{Caller.Peer_, ForwardReply{Caller.CallNumber_,
                                                 std::move(Answer->Reply_)}};
  }
}

auto ForwardedCalls::answerRemaining(EntryOutbox &Out) -> void {
  for (const auto &Each : std::exchange(Parked_, {}))
    refuseRequest(Counters_, Each.Token_, Each.Request_,
                  ErrorKind::EntryStopping, Self_.Value_, Out);
  const auto RefuseCall = [&](const ShardCall &Call) {
    refuse(Counters_, Call.Token_,
           mayHaveSideEffects(Call.Request_) ? ErrorKind::OutcomeUnknown
                                             : ErrorKind::EntryStopping,
           Self_.Value_, Out);
  };
  for (const auto &Each : std::exchange(Forwarded_, {}))
    RefuseCall(Each.second.Call_);
  for (const auto &Each : std::exchange(OwnCalls_, {})) {
    AnsweredEarly_[Each.first] = false;
    RefuseCall(Each.second);
  }
}

} // namespace skylark
