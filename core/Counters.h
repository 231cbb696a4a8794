/// \file
/// Defines the counters exported as metrics, with one counter for each error
/// kind, each retry reason and each reason not to grant permits.
#pragma once

#include "core/ErrorKind.h"
#include "core/GrantBarrier.h"
#include "core/JobWaits.h"
#include "core/StoreFailure.h"

#include <array>

namespace skylark {

/// Why a request was sent to a second target, or, for BudgetSpent, why it was
/// not. Each reason is named after its label in the metrics.
enum class RetryReason : std::uint8_t {
  Refused,
  TargetFailed,
  ConnectionLost,
  AnswerDamaged,
  Hedge,
  BudgetSpent,
  Count
};

/// The label of `Reason` in the metrics.
auto retryReasonText(RetryReason Reason) -> std::string_view;

/// Why a forwarded call got no answer.
enum class UnansweredReason : std::uint8_t {
  /// The peer's messages kept arriving, but no answer did.
  Expired,
  /// No message of the peer arrived for too long.
  PeerSilent,
  /// The connection to the peer was closed.
  LinkClosed,
  Count
};

/// The label of `Reason` in the metrics.
auto unansweredReasonText(UnansweredReason Reason) -> std::string_view;

/// One entry's counters since it started.
struct Counters {
  std::array<std::uint64_t, static_cast<std::size_t>(ErrorKind::Count)>
      Refusals_{};
  std::array<std::uint64_t, static_cast<std::size_t>(RetryReason::Count)>
      Retries_{};
  /// Heartbeats of agents that were acknowledged without a grant, by reason.
  std::array<std::uint64_t, static_cast<std::size_t>(GrantBarrier::Count)>
      GrantsWithheld_{};
  /// Time in microseconds that tasks spent in each kind of wait; counted when
  /// a job ends.
  std::array<std::uint64_t, static_cast<std::size_t>(TaskWait::Count)>
      TaskWaitMicros_{};
  /// Calls forwarded to other entries that got no answer, by reason; a call
  /// that is then repeated counts each time.
  std::array<std::uint64_t, static_cast<std::size_t>(UnansweredReason::Count)>
      UnansweredCalls_{};
  std::uint64_t Answered_ = 0;
  std::uint64_t Dispatched_ = 0;
  std::uint64_t TasksBound_ = 0;
  std::uint64_t TasksFinished_ = 0;
  std::uint64_t Evictions_ = 0;
  /// Tasks that were blamed for a crash of their worker.
  std::uint64_t CrashesBlamed_ = 0;
  /// Tasks that failed since their workers crashed.
  std::uint64_t TasksGivenUp_ = 0;
  /// Workers that were kept from work since tasks failed on them.
  std::uint64_t WorkersEjected_ = 0;
  /// Requests for a queue or a service that the configuration held doesn't
  /// name, refused since it may no longer be the newest one.
  std::uint64_t UnprovenAbsences_ = 0;
  /// Configurations sent to entries that couldn't read them from the store.
  std::uint64_t ConfigurationsSent_ = 0;
  /// Configurations adopted from other entries.
  std::uint64_t ConfigurationsFromPeers_ = 0;
  /// Cancellations that were answered "no such job".
  std::uint64_t UnknownJobsCancelled_ = 0;
  /// Submissions with an id that was cancelled before; they never run.
  std::uint64_t SubmittedCancelled_ = 0;
  /// Ended jobs that were removed from a ledger.
  std::uint64_t JobsRemoved_ = 0;
  /// Moves of the wall clock against the steady clock.
  std::uint64_t WallClockMoves_ = 0;
  /// Stops sent for tasks of cancelled or failed jobs.
  std::uint64_t StopsSent_ = 0;
  /// Tasks of cancelled jobs that were bound for longer than they may run.
  std::uint64_t StopsOverdue_ = 0;
  /// Stops that ended since their time was up.
  std::uint64_t StopsForced_ = 0;
  /// Attempts to acquire a shard that ended before it was owned.
  std::uint64_t TakeoversEnded_ = 0;
  std::uint64_t StoreCalls_ = 0;
  std::uint64_t StoreFailures_ = 0;
  /// Failed calls to the store, by reason where it is known.
  std::array<std::uint64_t, static_cast<std::size_t>(StoreFailure::Count)>
      StoreFailuresByReason_{};
  /// Changes of the operators that a complete read of their keys showed,
  /// although the stream of changes had gone past them.
  std::uint64_t StoreCorrections_ = 0;
  /// Parts of configurations that could not be read and were left out.
  std::uint64_t DeclarationsLeftOut_ = 0;
  /// Writes that the store refused for good.
  std::uint64_t StoreRefusals_ = 0;

  auto countRefusal(ErrorKind Kind) -> void {
    ++Refusals_[static_cast<std::size_t>(Kind)];
  }
  auto countWithheldGrant(GrantBarrier Barrier) -> void {
    ++GrantsWithheld_[static_cast<std::size_t>(Barrier)];
  }
  auto countStoreFailure(StoreFailure Reason) -> void {
    ++StoreFailures_;
    ++StoreFailuresByReason_[static_cast<std::size_t>(Reason)];
  }
  auto countRetry(RetryReason Reason) -> void {
    ++Retries_[static_cast<std::size_t>(Reason)];
  }
};

} // namespace skylark
