/// \file
/// Defines the closed list of error kinds and the answer that each one gets.
#pragma once

#include <cstdint>
#include <string_view>
#include <system_error>

namespace skylark {

/// Every way in which the system can refuse or fail a piece of work.
enum class ErrorKind : std::uint8_t {
  None,
  MalformedRequest,
  BodyTooLarge,
  KeyMalformed,
  KeyTooOld,
  KeyReused,
  KeyInProgress,
  KeyNotChecked,
  UnknownService,
  UnknownTeam,
  UnknownJob,
  UnknownQueue,
  UnknownEnvironment,
  UnknownDataCentre,
  NotKnown,
  NeverFits,
  DocumentInvalid,
  RevisionConflict,
  TooManyInFlight,
  QueueFull,
  CannotAnswerInTime,
  ExpiredInQueue,
  NoTarget,
  TargetLeaving,
  DataCentreOut,
  NoPermit,
  Cancelled,
  EntryStopping,
  ShardMoving,
  StoreUnavailable,
  OutcomeUnknown,
  TargetFailed,
  AnswerDamaged,
  AnswerNotKept,
  StaleEpoch,
  StaleIncarnation,
  TaskFailed,
  LeaseLapsed,
  Evicted,
  WorkerGone,
  Count
};

/// What is known of whether the work was done.
enum class Execution : std::uint8_t { NotRun, Ran, Unknown };

/// The answer that goes with an error kind.
struct ErrorAnswer {
  ErrorKind Kind_;
  std::string_view Code_;
  std::uint16_t HttpStatus_;
  Execution Execution_;
  bool MayRetry_;
  std::string_view Title_;
};

/// Looks up the answer of `Kind`; total over the closed list.
auto errorAnswer(ErrorKind Kind) -> const ErrorAnswer &;

/// The word for `Value` that callers see: "not run", "ran" or "unknown".
auto executionText(Execution Value) -> std::string_view;

/// The `std::error_category` whose values are error kinds.
auto errorCategory() -> const std::error_category &;

inline auto makeErrorCode(ErrorKind Kind) -> std::error_code {
  return {static_cast<int>(Kind), errorCategory()};
}

} // namespace skylark
