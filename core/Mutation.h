/// \file
/// Defines the switches with which the tests break one mechanism at a time, to
/// show that their checks find it. In the product every switch is off.
#pragma once

#include <cstdint>

namespace skylark {

enum class Mutation : std::uint8_t {
  None,
  ResumeBeforeLeaseEnds,
  SkipOldGrants,
  GrantOnStaleView,
  StartUnderOldRevision,
  NotRunOnTimeout,
  DispatchBeforeClaim,
  AcceptDuplicates,
  StartWithoutRoom,
  WriteOnLeaseAlone,
  ForgetRunningTasks,
  PassOnDamagedAnswers,
  InForceWithoutConfirmation,
  Count
};

#ifdef SKYLARK_MUTATIONS
/// Chooses the mechanism to break.
auto setMutation(Mutation Wanted) -> void;
auto isBroken(Mutation Asked) -> bool;
#else
constexpr auto isBroken(Mutation /*Asked*/) -> bool { return false; }
#endif

} // namespace skylark
