/// \file
/// Defines the queries that an owner answers only once a read of the shard's
/// head, begun after the question, has shown that it still owns the shard.
#pragma once

#include "core/EntryOutput.h"
#include "core/OwnershipProof.h"

#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace skylark {

/// A question about the jobs of a shard.
using ShardQuery = std::variant<GetJob, CountUnstartedJobs>;

/// Queries that wait for a proof of ownership. A former owner that doesn't know
/// yet that it lost the shard must not say that there is no such job.
class WaitingQueries {
public:
  auto add(TimePoint Now, CallerToken Token, ShardQuery Query) -> void;
  /// Requests a read if queries need one. There is a minimum interval between
  /// these reads; all queries that arrive until the next one begins share it.
  auto requestProof(TimePoint Now, OwnershipProof &Proof, LedgerWriter &Ledger)
      -> void;
  /// Answers the queries for which there is a proof. After some time without
  /// one, answers counts all the same, and refuses the others.
  /// \param Answer answers one query. \returns false if it has to wait on.
  auto answerProved(
      TimePoint Now, const LedgerWriter &Ledger,
      const std::function<bool(CallerToken, const ShardQuery &)> &Answer,
      EntryOutbox &Out) -> void;
  /// Refuses all queries: the next owner can answer them.
  auto refuseAll(ShardNumber Shard, EntryOutbox &Out) -> void;

private:
  struct WaitingQuery {
    CallerToken Token_ = 0;
    ShardQuery Query_;
    /// The request of the proof; nothing if it was not made yet.
    std::optional<std::uint64_t> Proof_;
    TimePoint ExpiresAt_{};
  };
  std::vector<WaitingQuery> Queries_;
  TimePoint NextRequest_{};
};

} // namespace skylark
