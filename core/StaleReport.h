/// \file
/// Decides what an owner does with a report of an attempt that is not the
/// current one of its task.
#pragma once

#include "core/Messages.h"

namespace skylark {

/// What an owner does with a report of an attempt that is not current.
enum class StaleReportAction : std::uint8_t {
  /// Nothing for now; the agent repeats the report of an end.
  Wait,
  /// The task is done, although its owner had given the attempt up: record the
  /// end, so that no other attempt starts.
  RecordFinish,
  /// Allow the agent to discard the end.
  Acknowledge,
  /// Command the agent to stop the attempt.
  Stop,
  /// The ledger doesn't have the attempt. Either its job was removed, or a
  /// later owner bound it and this one has been replaced: only an owner that
  /// has verified its ownership since may act on the report.
  VerifyOwnership
};

/// \param Task the task in the owner's ledger; null if there is none.
/// \param LongRunning whether the task is restarted however it ends.
/// \param ChangePending whether a change of the task is being committed.
/// \param Verified whether the owner has verified its ownership since the
///   attempt was first reported.
auto chooseStaleReportAction(const TaskStatus *Task, const TaskReport &Report,
                             bool LongRunning, bool ChangePending,
                             bool Verified) -> StaleReportAction;

} // namespace skylark
