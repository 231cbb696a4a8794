/// \file
/// Defines the writer of one shard's ledger: ownership by epoch, group commit
/// by compare-and-swap, snapshots, and recovery when a store answer is lost.
#pragma once

#include "core/OwnershipLoss.h"
#include "core/StoreClient.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace skylark {

/// Identifies a shard's ledger and the entry that writes it.
struct LedgerIdentity {
  EnvironmentName Environment_;
  ShardNumber Shard_ = 0;
  EntryId Entry_;
  Incarnation Incarnation_ = 0;
};

/// A snapshot that is being written to the store while commits continue.
struct LedgerSnapshot {
  /// The number of the commit after the last one that the snapshot includes.
  CommitNumber EndCommit_ = 0;
  /// Encoded size in bytes.
  std::size_t Size_ = 0;
  std::deque<ShardSegment> PendingSegments_;
  /// The segment that is being written; empty if there is none.
  WriteId InFlightSegment_;
  std::vector<WriteId> WrittenSegments_;
};

/// Writes a shard's ledger, which it owns while it holds the highest epoch.
/// Safety depends on the compare-and-swap alone: that of a stale writer fails.
class LedgerWriter {
public:
  LedgerWriter(LedgerIdentity Identity, StoreClient &Store)
      : Identity_(std::move(Identity)), Store_(Store) {}

  /// Decides whether a shard with this head may be acquired. \returns how long
  /// earlier owners may still extend task leases, or nothing if the shard must
  /// not be acquired.
  using AcquireRule = std::function<std::optional<Duration>(const ShardHead &)>;

  /// Reads the shard's head and tries to acquire the shard if `Rule` allows it.
  /// No effect unless the writer is idle.
  auto acquire(AcquireRule Rule) -> void;
  /// Queues a record for the next commit. The shard must be owned.
  auto append(LedgerRecord Record) -> void;
  /// Removes the first record for which `Matches` returns true among those
  /// whose write has not begun.
  /// \returns whether a record was removed.
  auto withdraw(const std::function<bool(const LedgerRecord &)> &Matches)
      -> bool;
  /// Releases ownership in the store once all queued records are committed.
  auto release(Moment Now) -> void;
  /// Requests a read of the head, which shows whether another entry has
  /// acquired the shard.
  auto verifyOwnership() -> void { VerifyRequested_ = true; }
  /// Number of the verification that a call of verifyOwnership() would start
  /// now, and of the last one that has succeeded.
  auto nextVerification() const -> std::uint64_t {
    return VerificationsStarted_ + 1;
  }
  auto lastVerification() const -> std::uint64_t { return LastVerification_; }
  /// Gives up ownership without a write to the store, and drops all uncommitted
  /// records.
  auto abandon() -> void {
    if (owning())
      loseOwnership(OwnershipLoss::Relinquished);
  }
  /// Starts the store calls that are due: one call at a time for the head and
  /// the commits, and in parallel the writes of a snapshot.
  auto advance() -> void;

  auto owning() const -> bool {
    return Phase_ == Phase::Owning || Phase_ == Phase::Releasing;
  }
  auto releasing() const -> bool { return Phase_ == Phase::Releasing; }
  auto idle() const -> bool { return Phase_ == Phase::Idle; }
  /// Returns why the shard stopped being owned, or being acquired, since the
  /// last call.
  auto takeLoss() -> OwnershipLoss {
    return std::exchange(Loss_, OwnershipLoss::None);
  }
  /// Reads again what the store's last answers lacked of the ledger, if that is
  /// due.
  auto retryLoad(Moment Now) -> void;
  /// How much of the ledger that the head names was read, for the log.
  auto loadProgress() const -> std::string;
  auto epoch() const -> Epoch { return Head_.Epoch_; }
  auto state() const -> const ShardState & { return State_; }
  /// Records in the state that an attempt of the task has begun.
  auto recordStart(const TaskId &Task) -> void { State_.recordStart(Task); }
  /// Returns the time until which earlier owners may still extend task leases.
  auto oldGrantsUntil() const -> TimePoint { return OldGrantsUntil_; }
  /// Number of records that are not committed yet, and their encoded size in
  /// bytes.
  auto queued() const -> std::size_t { return Pending_.size() + Batch_.size(); }
  auto queuedSize() const -> std::size_t { return QueuedSize_; }
  /// Encoded size in bytes of the largest record that can be committed.
  auto maxRecordSize() const -> std::size_t;
  /// Number of records that were ever appended, and of those among them that
  /// are not queued any more.
  auto appended() const -> std::uint64_t { return Appended_; }
  auto settled() const -> std::uint64_t { return Appended_ - queued(); }
  /// Sizes, in bytes, of the newest snapshot and of the commits after it.
  auto snapshotSize() const -> std::size_t { return SnapshotSize_; }
  auto commitsSize() const -> std::size_t { return CommitsSize_; }
  /// Returns the records committed since the last call.
  auto takeCommitted() -> std::vector<LedgerRecord>;
  /// Returns the records that the store has refused since the last call. They
  /// are not committed and not repeated.
  auto takeRefused() -> std::vector<LedgerRecord>;
  /// Number of commits that this writer has made.
  auto commits() const -> std::uint64_t { return Commits_; }

private:
  static constexpr std::size_t MaxRecordsPerCommit = 512;

  enum class Phase : std::uint8_t {
    Idle,
    Reading,
    Acquiring,
    Loading,
    Owning,
    Releasing
  };

  auto readHead() -> void;
  auto handleHeadRead(Moment Now, const StoreResult &Result) -> void;
  /// Writes the head together with the current batch, if there is one.
  auto swapHead(const ShardHead &Next) -> void;
  auto handleSwapResult(Moment Now, const StoreResult &Result) -> void;
  /// Continues once it is known whether the write of the head took effect.
  /// \param Index the store's index of the head.
  auto swapResolved(Moment Now, bool TookEffect, std::uint64_t Index) -> void;
  /// Reads the head, to learn whether a write that was not acknowledged took
  /// effect.
  auto readBackHead() -> void;
  auto handleHeadReadBack(Moment Now, const StoreResult &Result) -> void;
  auto loadSnapshot() -> void;
  auto loadCommits() -> void;
  auto handleCommitsRead(const StoreResult &Result) -> void;
  /// Decides, by a read of the head, whether a part of the ledger that an
  /// answer lacks is read again: a part is removed only after a later head, but
  /// an answer may be older than the part.
  /// \param Reason why ownership is lost if the part stays missing.
  auto handleMissingPart(OwnershipLoss Reason) -> void;
  auto startBatch() -> void;
  /// Ends a write that the store refuses. A batch is split; a single record is
  /// dropped.
  auto giveUpWrite() -> void;
  /// Adds to the size of the queued records, or subtracts from it.
  auto countQueued(const LedgerRecord &Record, bool Added) -> void;
  /// Applies the records of the batch, which has just been committed.
  auto applyCommittedBatch() -> void;
  auto readToVerify() -> void;
  /// Drops all uncommitted records, an unfinished snapshot and the records that
  /// takeCommitted() has not returned yet, and becomes idle.
  auto loseOwnership(OwnershipLoss Reason) -> void;
  auto newWriteId() -> WriteId;
  /// Returns the head for the next commit, which refers to the new snapshot if
  /// that has been written.
  auto nextHead() -> ShardHead;
  auto startSnapshotIfDue() -> void;
  auto writeNextSegment() -> void;
  /// Deletes the segments and commits that a new snapshot replaces, if the head
  /// written last refers to that snapshot.
  /// \param PreviousHead the head before that write.
  auto finishSnapshot(const ShardHead &PreviousHead) -> void;
  /// Deletes the commits from `From` to below `To`.
  auto removeCommits(CommitNumber From, CommitNumber To) -> void;

  LedgerIdentity Identity_;
  StoreClient &Store_;
  Phase Phase_ = Phase::Idle;
  OwnershipLoss Loss_ = OwnershipLoss::None;
  AcquireRule AcquireRule_;
  ShardHead Head_;
  /// The store's index of Head_, which the next compare-and-swap expects.
  std::uint64_t HeadIndex_ = 0;
  /// The head being written, until the outcome of the write is known.
  std::optional<ShardHead> InFlightHead_;
  bool CallInFlight_ = false;
  bool VerifyRequested_ = false;
  /// Whether the last call but those for snapshots was a verification.
  bool VerifiedLast_ = false;
  std::uint64_t VerificationsStarted_ = 0;
  std::uint64_t LastVerification_ = 0;
  ShardState State_;
  std::size_t SegmentsLoaded_ = 0;
  CommitNumber CommitsLoaded_ = 0;
  /// Answers in a row that lacked the next part of the ledger.
  int MissingParts_ = 0;
  std::optional<TimePoint> LoadRetryAt_;
  /// Sizes, in bytes, of the newest snapshot and of the commits after it.
  std::size_t SnapshotSize_ = 0;
  std::size_t CommitsSize_ = 0;
  /// How long earlier owners may still extend task leases, counted from the
  /// acquisition or, while releasing, from the call of release().
  Duration OldGrantsRemaining_{};
  TimePoint OldGrantsUntil_{};
  std::uint64_t WritesIssued_ = 0;
  std::uint64_t Commits_ = 0;
  std::uint64_t Appended_ = 0;
  /// Queued records that are in no commit yet, in order.
  std::deque<LedgerRecord> Pending_;
  /// Records of the commit that is being written.
  std::vector<LedgerRecord> Batch_;
  /// Encoded size of Pending_ and Batch_.
  std::size_t QueuedSize_ = 0;
  /// The most records of a commit; lower after a commit was refused.
  std::size_t MaxBatch_ = MaxRecordsPerCommit;
  /// Whether the store refused the last write of the head.
  bool WriteRefused_ = false;
  /// No snapshot starts before this commit, since the last one was refused.
  CommitNumber NextSnapshotCommit_ = 0;
  std::optional<LedgerSnapshot> Snapshot_;
  /// Committed records that takeCommitted() has not returned yet.
  std::vector<LedgerRecord> Committed_;
  std::vector<LedgerRecord> Refused_;
};

} // namespace skylark
