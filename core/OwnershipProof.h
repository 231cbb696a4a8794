/// \file
/// Defines the record of when a shard was last shown to be owned still.
#pragma once

#include "core/LedgerWriter.h"

#include <map>
#include <optional>

namespace skylark {

/// Requests reads of a shard's head, and records when such a read has shown
/// that no other entry has acquired the shard.
class OwnershipProof {
public:
  /// Requests a read that begins after `Now`; all requests made before it
  /// begins share it. \returns a number for isProvedSince().
  auto request(TimePoint Now, LedgerWriter &Ledger) -> std::uint64_t;
  /// Whether a read that began after the request has shown that the shard is
  /// owned.
  static auto isProvedSince(std::uint64_t Request, const LedgerWriter &Ledger)
      -> bool {
    return Ledger.lastVerification() >= Request;
  }
  /// Takes note of the reads that have succeeded.
  auto update(const LedgerWriter &Ledger) -> void;
  /// Forgets the reads of an earlier epoch.
  auto clear() -> void;
  /// The latest time after which a read has shown that the shard is owned;
  /// nothing if none has since it was acquired.
  auto provedAt() const -> std::optional<TimePoint> { return ProvedAt_; }

private:
  /// When each read that hasn't succeeded yet was last requested.
  std::map<std::uint64_t, TimePoint> RequestedAt_;
  std::optional<TimePoint> ProvedAt_;
};

} // namespace skylark
