/// \file
/// Defines the requests that an entry forwards to the owners of shards, keeps
/// until a shard has an owner, or handles for its peers.
#pragma once

#include "core/Counters.h"
#include "core/ShardOwnership.h"
#include "core/StopReport.h"
#include "core/UnansweredCalls.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace skylark {

/// A caller's request that the owner of a shard has to handle.
struct ShardCall {
  CallerToken Token_ = 0;
  ShardNumber Shard_ = 0;
  TimePoint ExpiresAt_{};
  CallerRequest Request_;
};

/// The requests of an entry's callers that another entry handles or is to
/// handle, and those of other entries' callers that this entry handles.
class ForwardedCalls {
public:
  /// \param Self the entry; callers that still wait when it stops learn its
  /// name.
  /// \param Process the incarnation of the entry; its calls have other numbers
  /// than those of earlier processes, whose answers may still arrive.
  ForwardedCalls(EntryId Self, Counters &Counted, Incarnation Process)
      : Self_(std::move(Self)), Counters_(Counted),
        LastCallNumber_(Process * CallNumberSpacing) {}

  // Requests of this entry's callers.
  /// Forwards a request to an entry; refuses it if too many are forwarded.
  auto forward(TimePoint Now, const EntryId &Owner, ShardCall Call,
               EntryOutbox &Out) -> void;
  /// Forwards a request to its shard's owner; parks or refuses it if none can
  /// be reached. A request that a peer has forwarded is refused.
  /// \param StoreDown whether the store is known to be unreachable.
  auto forwardToShard(TimePoint Now, const ShardOwnership &Ownership,
                      ShardCall Call, bool StoreDown, EntryOutbox &Out) -> void;
  /// Handles a peer's answer to a forwarded request: answers the caller, or
  /// parks a request to a queue that the peer has refused because it doesn't
  /// own the shard. Ignores a reply of a peer that wasn't asked.
  /// \returns the shard, if the peer doesn't own it.
  auto answered(TimePoint Now, const EntryId &Peer, const ForwardReply &Message,
                EntryOutbox &Out) -> std::optional<ShardNumber>;
  /// Sends a peer again the requests to queues that it hasn't answered: its
  /// answers may have been lost with the connection that it sent them on.
  auto repeatTo(TimePoint Now, const EntryId &Peer, EntryOutbox &Out) -> void;
  /// Parks or refuses forwarded requests whose owner is unreachable or too
  /// slow.
  auto expire(TimePoint Now, const ShardOwnership &Ownership, EntryOutbox &Out)
      -> void;

  /// Logs forwarded requests that got no answer.
  auto reportUnanswered(TimePoint Now, EntryOutbox &Out) -> void {
    Unanswered_.report(Now, Out);
  }

  // Parked requests, which wait until their shard has a reachable owner.
  auto parkedCount() const -> std::size_t { return Parked_.size(); }
  /// Removes and returns the request that has been parked first.
  auto takeParked() -> ShardCall;
  /// Forwards a request that was parked if its shard has an owner again, parks
  /// it again otherwise, and refuses it if it has expired.
  auto resume(TimePoint Now, const ShardOwnership &Ownership, ShardCall Call,
              EntryOutbox &Out) -> void;

  // Requests to queues whose shards this entry owns.
  /// Records a request that a shard owner of this entry is about to handle.
  /// Requests of peers are not recorded, since the peer parks them itself.
  auto recordOwnCall(const ShardCall &Call) -> void;
  /// Parks, where possible, recorded requests that the shard owner has refused
  /// in `Out` because another entry is to own the shard (ShardMoving).
  auto parkMoved(TimePoint Now, EntryOutbox &Out) -> void;

  // Requests that peers have forwarded to this entry.
  static auto isFromPeer(CallerToken Token) -> bool;
  /// Records a request from a peer. \returns a token for its caller.
  auto received(const EntryId &Peer, std::uint64_t CallNumber) -> CallerToken;
  /// Turns answers to requests of peers into replies to the peers.
  auto routeAnswers(EntryOutbox &Out) -> void;

  /// Whether no request is forwarded, parked or handled for a peer.
  auto idle() const -> bool {
    return Forwarded_.empty() && Parked_.empty() && PeerCallers_.empty();
  }
  auto open() const -> OpenCalls {
    return {Forwarded_.size(), Parked_.size(), OwnCalls_.size(),
            PeerCallers_.size()};
  }
  /// Answers every caller of this entry who still waits before its process
  /// ends.
  auto answerRemaining(EntryOutbox &Out) -> void;

private:
  /// Odd, so that the first numbers of all processes differ, and large, so that
  /// they are far apart (2^64 divided by the golden ratio).
  static constexpr std::uint64_t CallNumberSpacing = 0x9E3779B97F4A7C15;

  struct ForwardedCall {
    EntryId Owner_;
    ShardCall Call_;
    TimePoint SentAt_{};
  };
  /// The origin of a request that a peer has forwarded.
  struct PeerCaller {
    EntryId Peer_;
    std::uint64_t CallNumber_ = 0;
  };

  /// Keeps a request until its shard has an owner. \returns false if the
  /// request can't wait.
  auto park(TimePoint Now, const ShardCall &Call) -> bool;
  auto refuseMoving(const ShardCall &Call, ErrorKind Kind, EntryOutbox &Out)
      -> void;

  EntryId Self_;
  Counters &Counters_;
  std::map<std::uint64_t, ForwardedCall> Forwarded_;
  std::uint64_t LastCallNumber_;
  UnansweredCalls Unanswered_;
  std::deque<ShardCall> Parked_;
  /// Requests to queues that a shard owner of this entry has not answered yet.
  std::unordered_map<CallerToken, ShardCall> OwnCalls_;
  /// Callers that answerRemaining() has answered although a shard owner may
  /// still do so, and whether that first answer has been sent.
  std::unordered_map<CallerToken, bool> AnsweredEarly_;
  std::unordered_map<CallerToken, PeerCaller> PeerCallers_;
  std::uint64_t PeerCallCount_ = 0;
};

} // namespace skylark
