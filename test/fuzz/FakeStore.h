/// \file
/// Defines an in-memory store for tests, with compare-and-swap and leases. It
/// never fails; tests that need a failing store drop or delay its answers.
#pragma once

#include "core/StoreClient.h"

#include <map>

namespace skylark::Fuzz {

/// Keys and leases in memory. It reads no clock: the caller passes the time.
class FakeStore {
public:
  /// Size in bytes of the largest value that the store takes; it refuses larger
  /// ones.
  std::size_t MaxValueSize_ = DefaultMaxValueSize;

  /// Removes the leases that have expired by `Now`, then executes an operation.
  auto apply(Micros Now, const StoreOperation &Operation) -> StoreResult;

private:
  struct StoredKey {
    StoreValue Value_;
    /// Index of the last write of the key.
    std::uint64_t Index_ = 0;
    /// The lease that the key is bound to; empty if there is none.
    LeaseId Lease_;
  };
  struct Lease {
    Micros TimeToLive_{0};
    Micros ExpiresAt_{0};
  };

  auto run(Micros Now, const ReadEnvironment &Operation) -> StoreResult;
  auto run(Micros Now, const ReadEntries &Operation) -> StoreResult;
  auto run(Micros Now, const ReadValue &Operation) -> StoreResult;
  auto run(Micros Now, const CompareAndSwap &Operation) -> StoreResult;
  auto run(Micros Now, const WriteValue &Operation) -> StoreResult;
  auto run(Micros Now, const ReadSegments &Operation) -> StoreResult;
  auto run(Micros Now, const DeleteValues &Operation) -> StoreResult;
  auto run(Micros Now, const DeleteValue &Operation) -> StoreResult;
  auto run(Micros Now, const CreateLease &Operation) -> StoreResult;
  auto run(Micros Now, const RenewLease &Operation) -> StoreResult;
  auto run(Micros Now, const RevokeLease &Operation) -> StoreResult;
  auto run(Micros Now, const WriteUnderLease &Operation) -> StoreResult;
  auto isTooLarge(const StoreValue &Value) const -> bool;
  /// Removes a lease and the keys that are bound to it.
  auto removeLease(const LeaseId &Removed) -> void;

  std::map<StoreKey, StoredKey> Keys_;
  std::map<LeaseId, Lease> Leases_;
  /// Index of the store's last write.
  std::uint64_t Index_ = 0;
};

} // namespace skylark::Fuzz
