/// \file
/// Defines the calls to the platform's key-value service and its answers.
#pragma once

#include "core/Document.h"
#include "core/ShardState.h"

#include <optional>
#include <variant>

namespace skylark {

/// A key of the store.
struct StoreKey {
  std::string Path_;

  friend auto operator==(const StoreKey &Left, const StoreKey &Right) -> bool {
    return Left.Path_ == Right.Path_;
  }
  friend auto operator<(const StoreKey &Left, const StoreKey &Right) -> bool {
    return Left.Path_ < Right.Path_;
  }
};

auto headKey(const EnvironmentName &Environment) -> StoreKey;
auto documentKey(const std::string &Digest) -> StoreKey;
auto leaseKey(const EnvironmentName &Environment, const EntryId &Entry)
    -> StoreKey;
auto grantorKey(const EnvironmentName &Environment, const EntryId &Entry)
    -> StoreKey;
auto shardHeadKey(const EnvironmentName &Environment, ShardNumber Shard)
    -> StoreKey;
auto segmentKey(const EnvironmentName &Environment, ShardNumber Shard,
                const WriteId &Segment) -> StoreKey;
/// Keys of commits stand in the order of their numbers.
auto commitKey(const EnvironmentName &Environment, ShardNumber Shard,
               CommitNumber Commit) -> StoreKey;
/// The folder of a shard's commits; ends with a slash.
auto commitFolder(const EnvironmentName &Environment, ShardNumber Shard)
    -> StoreKey;

/// How an entry can be reached by other entries.
struct EntryRegistration {
  EntryId Entry_;
  Incarnation Incarnation_ = 0;
  std::string PeerAddress_;
  /// What the entry can carry, in thousandths of a processor.
  std::uint32_t Strength_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(
        &EntryRegistration::Entry_, &EntryRegistration::Incarnation_,
        &EntryRegistration::PeerAddress_, &EntryRegistration::Strength_);
  }
};

/// Part of a shard's ledger, written once: one commit, or a piece of a
/// snapshot.
struct ShardSegment {
  /// Number of the commit; 0 in a snapshot.
  CommitNumber Commit_ = 0;
  std::vector<LedgerRecord> Records_;

  static constexpr auto fields() {
    return std::make_tuple(&ShardSegment::Commit_, &ShardSegment::Records_);
  }
};

/// The key of a shard that takes every compare-and-swap.
struct ShardHead {
  Epoch Epoch_ = 0;
  /// Empty where the last owner has handed the shard over.
  EntryId Owner_;
  Incarnation OwnerIncarnation_ = 0;
  /// Left by an owner that hands over: how long owners before it, which it has
  /// not outwaited, may still let tasks run.
  Millis OldGrantsFor_{0};
  /// Names the write, so that its writer can recognise it after a lost answer.
  WriteId Write_;
  /// The newest snapshot.
  std::vector<WriteId> Segments_;
  /// Commits that follow the snapshot: from FirstCommit_ to below NextCommit_.
  CommitNumber FirstCommit_ = 1;
  CommitNumber NextCommit_ = 1;

  static constexpr auto fields() {
    return std::make_tuple(
        &ShardHead::Epoch_, &ShardHead::Owner_, &ShardHead::OwnerIncarnation_,
        &ShardHead::OldGrantsFor_, &ShardHead::Write_, &ShardHead::Segments_,
        &ShardHead::FirstCommit_, &ShardHead::NextCommit_);
  }
};

using StoreValue = std::variant<std::monostate, EnvironmentHead, Document,
                                EntryRegistration, ShardHead, ShardSegment>;

/// Reads the environment's head, leases and grantors in one consistent call.
struct ReadLive {
  EnvironmentName Environment_;
};

/// Reads the registered entries only; the answer may be some seconds old.
struct ReadEntries {
  EnvironmentName Environment_;
};

struct ReadValue {
  StoreKey Key_;
};

/// Reads the segments in a folder whose keys come after `After_`.
struct ReadSegments {
  StoreKey Folder_;
  StoreKey After_;
};

/// Writes without a condition.
struct WriteValue {
  StoreKey Key_;
  StoreValue Value_;
};

/// Writes only if the key's index is still `ExpectedIndex_`; nought means that
/// the key must not exist.
struct CompareAndSwap {
  StoreKey Key_;
  StoreValue Value_;
  std::uint64_t ExpectedIndex_ = 0;
  /// Written if, and only if, the swap takes effect.
  std::optional<WriteValue> Along_{};
};

/// Deletes a key; with an expected index other than nought, only at that index.
struct DeleteValue {
  StoreKey Key_;
  std::uint64_t ExpectedIndex_ = 0;
};

/// Deletes keys all at once; at most MostKeysAtOnce.
struct DeleteValues {
  std::vector<StoreKey> Keys_;
};

/// Keys that one call may change.
constexpr std::size_t MostKeysAtOnce = 32;

struct OpenLease {
  Millis TimeToLive_{0};
};

struct RenewLease {
  LeaseId Lease_;
};

struct EndLease {
  LeaseId Lease_;
};

/// Writes a key that vanishes with the lease.
struct WriteUnderLease {
  StoreKey Key_;
  StoreValue Value_;
  LeaseId Lease_;
};

using StoreOperation =
    std::variant<ReadLive, ReadValue, CompareAndSwap, WriteValue, DeleteValue,
                 OpenLease, RenewLease, EndLease, WriteUnderLease, ReadEntries,
                 ReadSegments, DeleteValues>;

/// Unavailable also covers a call whose answer was lost: it may have taken
/// effect.
enum class StoreStatus : std::uint8_t { Ok, Conflict, NotFound, Unavailable };

struct RegisteredEntry {
  EntryRegistration Registration_;
  std::uint64_t Index_ = 0;
};

/// All that entries read regularly.
struct LiveView {
  /// The store's own revision at the time of the reading, where the head's
  /// revision is one of the store's; 0 elsewhere.
  Revision AsOf_ = 0;
  std::uint64_t HeadIndex_ = 0;
  EnvironmentHead Head_;
  std::vector<RegisteredEntry> Leases_;
  std::vector<RegisteredEntry> Grantors_;
};

struct StoreResult {
  std::uint64_t Call_ = 0;
  StoreStatus Status_ = StoreStatus::Unavailable;
  std::uint64_t Index_ = 0;
  StoreValue Value_;
  LeaseId Lease_;
  LiveView Live_;
  /// In the order of their keys.
  std::vector<ShardSegment> Segments_;
};

} // namespace skylark
