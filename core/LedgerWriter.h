/// \file
/// Defines the writing of one shard's ledger: ownership by epoch, group commit
/// by compare-and-swap, snapshots, and recovery of lost answers.
#pragma once

#include "core/StorePort.h"

#include <functional>
#include <optional>

namespace skylark {

/// Which entry writes, and which shard.
struct LedgerIdentity {
  EnvironmentName Environment_;
  ShardNumber Shard_ = 0;
  EntryId Entry_;
  Incarnation Incarnation_ = 0;
};

/// A snapshot on its way to the store, beside which commits go on.
struct LedgerSnapshot {
  /// The first commit that it doesn't hold.
  CommitNumber Next_ = 0;
  std::size_t Size_ = 0;
  std::deque<ShardSegment> ToWrite_;
  /// Names the segment whose write is open; empty where none is.
  WriteId Writing_;
  std::vector<WriteId> Written_;
};

/// Owns a shard's keys in the store while it holds the highest epoch. Safety
/// rests on the compare-and-swap alone: a stale writer loses it.
class LedgerWriter {
public:
  LedgerWriter(LedgerIdentity Identity, StorePort &Store)
      : Identity_(std::move(Identity)), Store_(Store) {}

  /// Says whether a shard with this head may be taken, and if so how long
  /// earlier owners may go on granting.
  using TakeRule = std::function<std::optional<Duration>(const ShardHead &)>;

  /// Tries to take the shard if the rule allows it for the head found.
  auto take(TakeRule MayTake) -> void;
  /// Queues a record for the next commit.
  auto append(LedgerRecord Record) -> void;
  /// Takes back a queued record that no write has carried yet.
  auto withdraw(const std::function<bool(const LedgerRecord &)> &Matches)
      -> bool;
  /// Hands the shard over once everything queued is committed.
  auto release(Moment Now) -> void;
  /// Reads the head, to learn whether another entry has taken the shard.
  auto verify() -> void { VerifyWanted_ = true; }
  /// Forgets the shard: another entry has taken it.
  auto abandon() -> void {
    if (owning())
      lose();
  }
  /// Starts the next write, where one is due.
  auto advance() -> void;

  auto owning() const -> bool {
    return Phase_ == Phase::Owning || Phase_ == Phase::Releasing;
  }
  auto releasing() const -> bool { return Phase_ == Phase::Releasing; }
  auto idle() const -> bool { return Phase_ == Phase::Idle; }
  auto epoch() const -> Epoch { return Head_.Epoch_; }
  auto state() const -> const ShardState & { return State_; }
  /// Until when an earlier owner may still let tasks run.
  auto oldGrantsUntil() const -> TimePoint { return OldGrantsUntil_; }
  auto queued() const -> std::size_t { return Pending_.size() + Batch_.size(); }
  /// Hands over the records committed since the last call.
  auto takeCommitted() -> std::vector<LedgerRecord>;
  auto commits() const -> std::uint64_t { return Commits_; }

private:
  enum class Phase : std::uint8_t {
    Idle,
    Reading,
    Taking,
    Loading,
    Owning,
    Releasing
  };

  auto readHead() -> void;
  auto headRead(Moment Now, const StoreResult &Result) -> void;
  /// Writes the head and, where a batch is open, the batch along with it.
  auto swapHead(const ShardHead &Next) -> void;
  auto headSwapped(Moment Now, const StoreResult &Result) -> void;
  auto swapSettled(Moment Now, bool TookEffect, std::uint64_t Index) -> void;
  auto settleByReading() -> void;
  auto settled(Moment Now, const StoreResult &Result) -> void;
  auto loadSnapshot() -> void;
  auto loadCommits() -> void;
  auto commitsLoaded(const StoreResult &Result) -> void;
  auto startBatch() -> void;
  auto batchCommitted() -> void;
  auto readToVerify() -> void;
  auto lose() -> void;
  auto newWriteId() -> WriteId;
  auto nextHead() -> ShardHead;
  auto startSnapshot() -> void;
  auto writeSnapshot() -> void;
  auto finishSnapshot(const ShardHead &Before) -> void;
  auto removeCommits(CommitNumber From, CommitNumber To) -> void;

  LedgerIdentity Identity_;
  StorePort &Store_;
  Phase Phase_ = Phase::Idle;
  TakeRule MayTake_;
  ShardHead Head_;
  std::uint64_t HeadIndex_ = 0;
  /// The write whose outcome is open.
  std::optional<ShardHead> Swapping_;
  bool CallOpen_ = false;
  bool VerifyWanted_ = false;
  ShardState State_;
  std::size_t SegmentsLoaded_ = 0;
  /// Sizes in bytes of the newest snapshot and of the commits after it.
  std::size_t SnapshotSize_ = 0;
  std::size_t CommitsSize_ = 0;
  Duration OldGrantsFor_{};
  TimePoint OldGrantsUntil_{};
  std::uint64_t NextWrite_ = 0;
  std::uint64_t Commits_ = 0;
  std::deque<LedgerRecord> Pending_;
  std::vector<LedgerRecord> Batch_;
  std::optional<LedgerSnapshot> Snapshot_;
  std::vector<LedgerRecord> Committed_;
};

} // namespace skylark
