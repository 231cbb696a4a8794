/// \file
/// Defines the operations on the platform's key-value service and their
/// results.
#pragma once

#include "core/ConfigurationSource.h"
#include "core/Document.h"
#include "core/ShardState.h"
#include "core/StoreFailure.h"

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
/// The key of one commit; keys sort in the order of commit numbers.
auto commitKey(const EnvironmentName &Environment, ShardNumber Shard,
               CommitNumber Commit) -> StoreKey;
/// The key prefix of a shard's commits; ends with a slash.
auto commitPrefix(const EnvironmentName &Environment, ShardNumber Shard)
    -> StoreKey;

/// An entry as registered in the store, for other entries to find and reach.
struct EntryRegistration {
  EntryId Entry_;
  Incarnation Incarnation_ = 0;
  std::string PeerAddress_;
  /// Capacity of the entry's machine, in thousandths of a processor.
  std::uint32_t CapacityMilliCores_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&EntryRegistration::Entry_,
                           &EntryRegistration::Incarnation_,
                           &EntryRegistration::PeerAddress_,
                           &EntryRegistration::CapacityMilliCores_);
  }
};

/// An immutable part of a shard's ledger: one commit, or one part of a
/// snapshot.
struct ShardSegment {
  /// Number of the commit; 0 for a part of a snapshot.
  CommitNumber Commit_ = 0;
  std::vector<LedgerRecord> Records_;

  static constexpr auto fields() {
    return std::make_tuple(&ShardSegment::Commit_, &ShardSegment::Records_);
  }
};

/// The head record of a shard. Every change of owner and every commit is a
/// compare-and-swap on its key.
struct ShardHead {
  Epoch Epoch_ = 0;
  /// Empty if the last owner has released the shard.
  EntryId Owner_;
  Incarnation OwnerIncarnation_ = 0;
  /// Written by an owner that releases the shard before the grants of earlier
  /// owners have ended: how much longer those owners may let tasks run.
  Millis OldGrantsRemaining_{0};
  /// Identifies the last write, so that its writer can recognise it if the
  /// answer was lost.
  WriteId Write_;
  /// The parts of the newest snapshot.
  std::vector<WriteId> Segments_;
  /// Commits after the snapshot: FirstCommit_ inclusive to NextCommit_
  /// exclusive.
  CommitNumber FirstCommit_ = 1;
  CommitNumber NextCommit_ = 1;

  static constexpr auto fields() {
    return std::make_tuple(&ShardHead::Epoch_, &ShardHead::Owner_,
                           &ShardHead::OwnerIncarnation_,
                           &ShardHead::OldGrantsRemaining_, &ShardHead::Write_,
                           &ShardHead::Segments_, &ShardHead::FirstCommit_,
                           &ShardHead::NextCommit_);
  }
};

using StoreValue = std::variant<std::monostate, EnvironmentHead, Document,
                                EntryRegistration, ShardHead, ShardSegment>;

/// Reads the environment's head, leases and grantors in one consistent read.
struct ReadEnvironment {
  EnvironmentName Environment_;
};

/// Reads the registered entries only; the result may be some seconds stale.
struct ReadEntries {
  EnvironmentName Environment_;
};

struct ReadValue {
  StoreKey Key_;
};

/// Reads segments under a key prefix whose keys sort after `After_`: all of
/// them, or as many as the store puts on one page.
struct ReadSegments {
  StoreKey Prefix_;
  StoreKey After_;
};

/// Writes a key unconditionally.
struct WriteValue {
  StoreKey Key_;
  StoreValue Value_;
};

/// Writes only if the key's index is still `ExpectedIndex_`; 0 means that the
/// key must not exist.
struct CompareAndSwap {
  StoreKey Key_;
  StoreValue Value_;
  std::uint64_t ExpectedIndex_ = 0;
  /// A second key, written in the same transaction if the swap takes effect.
  std::optional<WriteValue> AdditionalWrite_{};
};

/// Deletes a key; if `ExpectedIndex_` is not 0, only at that index.
struct DeleteValue {
  StoreKey Key_;
  std::uint64_t ExpectedIndex_ = 0;
};

/// Deletes up to MaxKeysPerCall keys in one call.
struct DeleteValues {
  std::vector<StoreKey> Keys_;
};

/// Maximum number of keys that one call may change.
constexpr std::size_t MaxKeysPerCall = 32;

struct CreateLease {
  Millis TimeToLive_{0};
};

struct RenewLease {
  LeaseId Lease_;
};

struct RevokeLease {
  LeaseId Lease_;
};

/// Writes a key that the store deletes when the lease ends.
struct WriteUnderLease {
  StoreKey Key_;
  StoreValue Value_;
  LeaseId Lease_;
};

using StoreOperation =
    std::variant<ReadEnvironment, ReadValue, CompareAndSwap, WriteValue,
                 DeleteValue, CreateLease, RenewLease, RevokeLease,
                 WriteUnderLease, ReadEntries, ReadSegments, DeleteValues>;

/// Unavailable includes a call whose answer was lost, which may have taken
/// effect. A write that was refused had no effect, and won't have if it is
/// repeated.
enum class StoreStatus : std::uint8_t {
  Ok,
  Conflict,
  NotFound,
  Unavailable,
  Refused
};

/// The keys of a call, for the log; empty if it concerns none.
auto keyText(const StoreOperation &Operation) -> std::string;

struct RegisteredEntry {
  EntryRegistration Registration_;
  std::uint64_t Index_ = 0;
};

/// The result of ReadEnvironment and ReadEntries.
struct EnvironmentState {
  /// The store's own revision at the time of the read, where the head's
  /// revision is also a revision of the store; otherwise 0.
  Revision AsOf_ = 0;
  std::uint64_t HeadIndex_ = 0;
  EnvironmentHead Head_;
  /// How the newest change of the head was found.
  ConfigurationSource Source_ = ConfigurationSource::Unknown;
  std::vector<RegisteredEntry> Leases_;
  std::vector<RegisteredEntry> Grantors_;
};

struct StoreResult {
  std::uint64_t Call_ = 0;
  StoreStatus Status_ = StoreStatus::Unavailable;
  /// Why the status is Unavailable, where it is known.
  StoreFailure Failure_ = StoreFailure::None;
  /// Changes that were found since the last result, although the stream of
  /// changes had gone past them.
  std::uint64_t Corrections_ = 0;
  /// Parts of configurations that were left out since the last result.
  std::uint64_t DeclarationsLeftOut_ = 0;
  std::uint64_t Index_ = 0;
  StoreValue Value_;
  LeaseId Lease_;
  EnvironmentState EnvironmentState_;
  /// In key order.
  std::vector<ShardSegment> Segments_;
};

} // namespace skylark
