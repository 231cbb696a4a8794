/// \file
/// Defines the closed set of error kinds and how each one is reported.
#pragma once

#include <cstdint>
#include <string_view>
#include <system_error>

namespace skylark {

/// Every reason for which the system can refuse or fail a request or task.
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
  LeaseExpired,
  Evicted,
  WorkerGone,
  Count
};

/// What is known about whether the request or task was executed.
enum class Execution : std::uint8_t { NotRun, Ran, Unknown };

/// How an error kind is reported to callers.
struct ErrorInfo {
  ErrorKind Kind_;
  std::string_view Code_;
  std::uint16_t HttpStatus_;
  Execution Execution_;
  bool MayRetry_;
  std::string_view Title_;
};

/// The table entry of `Kind`; every kind has one.
auto errorInfo(ErrorKind Kind) -> const ErrorInfo &;

/// The text for `Value` in replies: "not run", "ran" or "unknown".
auto executionText(Execution Value) -> std::string_view;

/// The `std::error_category` whose values are error kinds.
auto errorCategory() -> const std::error_category &;

inline auto makeErrorCode(ErrorKind Kind) -> std::error_code {
  return {static_cast<int>(Kind), errorCategory()};
}

} // namespace skylark
