/// \file
/// Defines the store of the randomised runs: compare-and-swap, leases, and
/// nothing that fails by itself.
#pragma once

#include "core/StoreCalls.h"

#include <map>

namespace skylark::Fuzz {

/// The keys and leases; time comes in with each call.
class FakeStore {
public:
  auto apply(Micros Now, const StoreOperation &Operation) -> StoreResult;

private:
  struct StoredKey {
    StoreValue Value_;
    std::uint64_t Index_ = 0;
    LeaseId Lease_;
  };
  struct Lease {
    Micros TimeToLive_{0};
    Micros EndsAt_{0};
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
  auto endLease(const LeaseId &Gone) -> void;

  std::map<StoreKey, StoredKey> Keys_;
  std::map<LeaseId, Lease> Leases_;
  std::uint64_t Index_ = 0;
};

} // namespace skylark::Fuzz
