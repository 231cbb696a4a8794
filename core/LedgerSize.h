/// \file
/// Defines what the ledgers of an entry's shards hold.
#pragma once

#include <cstddef>

namespace skylark {

/// The size of one or more ledgers.
struct LedgerSize {
  std::size_t Jobs_ = 0;
  /// The jobs among them whose tasks have all ended.
  std::size_t EndedJobs_ = 0;
  /// Encoded size in bytes of the newest snapshot in the store.
  std::size_t SnapshotBytes_ = 0;
  /// Encoded size in bytes of the commits after that snapshot.
  std::size_t CommitBytes_ = 0;

  auto operator+=(const LedgerSize &Other) -> LedgerSize & {
    Jobs_ += Other.Jobs_;
    EndedJobs_ += Other.EndedJobs_;
    SnapshotBytes_ += Other.SnapshotBytes_;
    CommitBytes_ += Other.CommitBytes_;
    return *this;
  }
};

} // namespace skylark
