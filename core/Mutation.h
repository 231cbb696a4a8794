/// \file
/// Defines the mutations of mutation testing: each one disables or breaks one
/// mechanism, to show that the tests detect it. Production builds contain none.
#pragma once

#include <cstdint>

namespace skylark {

/// The mechanism to break. The test runner refers to mutations by number, so
/// their order must not change.
enum class Mutation : std::uint8_t {
  None,
  ResumeBeforeLeaseEnds,
  SkipOldGrantsWait,
  GrantOnStaleView,
  StartUnderOldRevision,
  NotRunOnTimeout,
  DispatchBeforeClaim,
  AcceptDuplicates,
  StartWithoutCapacity,
  FenceByLeaseOnly,
  ForgetRunningTasks,
  ForwardDamagedAnswers,
  InForceWithoutConfirmation,
  NewerDocumentIsNoContact,
  TakeListForWhole,
  UnlimitedCommits,
  TrustRefusals,
  TrustConflicts,
  DenyUnknownJobs,
  StopOnce,
  TrustWatchAlone,
  IgnoreKeyRevisions,
  WatchLargeSeries,
  WithholdConfigurations,
  RemoveJobsByWallClock,
  OrderOnAnyConnection,
  TrustAnnouncedLives,
  AcknowledgeInProbes,
  IgnoreServiceOfFailure,
  SpendTrialsOfFleet,
  Count
};

#ifdef SKYLARK_MUTATIONS
/// Selects the mutation to apply from now on.
auto setMutation(Mutation Selected) -> void;
auto isMutationActive(Mutation Queried) -> bool;
#else
constexpr auto isMutationActive(Mutation /*Queried*/) -> bool { return false; }
#endif

} // namespace skylark
