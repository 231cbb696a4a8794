#include "core/ErrorKind.h"

#include "core/Assert.h"

#include <array>
#include <string>

namespace skylark {
namespace {

using E = ErrorKind;
using X = Execution;

constexpr auto ErrorKindCount = static_cast<std::size_t>(ErrorKind::Count);

constexpr std::array<ErrorInfo, ErrorKindCount> ErrorTable{{
    {E::None, "none", 200, X::Ran, false, "No error"},
    {E::MalformedRequest, "malformed-request", 400, X::NotRun, false,
     "The request could not be read"},
    {E::BodyTooLarge, "body-too-large", 413, X::NotRun, false,
     "The body is over the size limit"},
    {E::KeyMalformed, "key-malformed", 400, X::NotRun, false,
     "The idempotency key must be YYYYMMDD- and at most 64 characters"},
    {E::KeyTooOld, "key-too-old", 422, X::Unknown, false,
     "The date of the idempotency key is outside the retention time"},
    {E::KeyReused, "key-reused", 422, X::NotRun, false,
     "The idempotency key belongs to a request with another body"},
    {E::KeyInProgress, "key-in-progress", 409, X::Unknown, true,
     "A request with this idempotency key is still in progress"},
    {E::KeyNotChecked, "key-not-checked", 503, X::Unknown, true,
     "This request did not run; whether an earlier one with the same key ran "
     "can't be told now, so repeat it with the same key"},
    {E::UnknownService, "unknown-service", 404, X::NotRun, false,
     "The document names no such service"},
    {E::UnknownTeam, "unknown-team", 404, X::NotRun, false,
     "The document names no such team"},
    {E::UnknownJob, "unknown-job", 404, X::NotRun, false,
     "There is no such job"},
    {E::UnknownQueue, "unknown-queue", 404, X::NotRun, false,
     "No queue has this host and path"},
    {E::UnknownEnvironment, "unknown-environment", 404, X::NotRun, false,
     "There is no such environment"},
    {E::UnknownDataCentre, "unknown-data-centre", 404, X::NotRun, false,
     "The document names no such data centre"},
    {E::NotKnown, "not-known", 404, X::Unknown, false,
     "No record of this identifier is known"},
    {E::NeverFits, "never-fits", 422, X::NotRun, false,
     "No worker is large enough or the quota is too small"},
    {E::DocumentInvalid, "document-invalid", 422, X::NotRun, false,
     "The document is not valid"},
    {E::RevisionConflict, "revision-conflict", 412, X::NotRun, true,
     "Another operator changed the document first"},
    {E::TooManyInFlight, "too-many-in-flight", 429, X::NotRun, true,
     "The entry has too many requests in flight"},
    {E::QueueFull, "queue-full", 503, X::NotRun, true, "The queue is full"},
    {E::CannotAnswerInTime, "cannot-answer-in-time", 503, X::NotRun, true,
     "No target can answer before the deadline"},
    {E::ExpiredInQueue, "expired-in-queue", 504, X::NotRun, true,
     "The deadline passed before the request was started"},
    {E::NoTarget, "no-target", 503, X::NotRun, true,
     "No target of the service is reachable"},
    {E::TargetLeaving, "target-leaving", 503, X::NotRun, true,
     "The target is stopping"},
    {E::DataCentreOut, "data-centre-out", 503, X::NotRun, true,
     "The data centre is out of service"},
    {E::NoPermit, "no-permit", 503, X::NotRun, true,
     "The agent holds no start permit"},
    {E::Cancelled, "cancelled", 409, X::NotRun, false,
     "The work was cancelled before it started"},
    {E::EntryStopping, "entry-stopping", 503, X::NotRun, true,
     "The entry is stopping"},
    {E::ShardMoving, "shard-moving", 503, X::NotRun, true,
     "The shard is changing its owner"},
    {E::StoreUnavailable, "store-unavailable", 503, X::NotRun, true,
     "The key-value service can't be reached"},
    {E::OutcomeUnknown, "outcome-unknown", 504, X::Unknown, false,
     "The request was sent and its outcome is not known"},
    {E::TargetFailed, "target-failed", 502, X::Unknown, false,
     "The target broke the connection while it worked on the request"},
    {E::AnswerDamaged, "answer-damaged", 502, X::Unknown, false,
     "The answer did not match its request, length or digest"},
    {E::AnswerNotKept, "answer-not-kept", 410, X::Ran, false,
     "The request ran; its answer was too large to keep"},
    {E::StaleEpoch, "stale-epoch", 409, X::NotRun, true,
     "The shard has a newer owner"},
    {E::StaleIncarnation, "stale-incarnation", 409, X::NotRun, true,
     "The agent has restarted since"},
    {E::TaskFailed, "task-failed", 500, X::Ran, true, "The task failed"},
    {E::LeaseExpired, "lease-lapsed", 500, X::Unknown, true,
     "The task lease lapsed"},
    {E::Evicted, "evicted", 503, X::Ran, true, "The task was evicted"},
    {E::WorkerGone, "worker-gone", 503, X::Unknown, true,
     "The worker stopped answering"},
}};

class ErrorCategory final : public std::error_category {
public:
  auto name() const noexcept -> const char * override { return "skylark"; }
  auto message(int Value) const -> std::string override {
    return std::string(errorInfo(static_cast<ErrorKind>(Value)).Title_);
  }
};

} // namespace

auto errorInfo(ErrorKind Kind) -> const ErrorInfo & {
  const auto Index = static_cast<std::size_t>(Kind);
  SKYLARK_ASSERT(Index < ErrorKindCount, "error kind out of range:", Index);
  const auto &Info = ErrorTable[Index];
  SKYLARK_ASSERT(Info.Kind_ == Kind, "error table out of order at index",
                 Index);
  return Info;
}

auto executionText(Execution Value) -> std::string_view {
  constexpr std::array<std::string_view, 3> Texts{"not run", "ran", "unknown"};
  return Texts[static_cast<std::size_t>(Value)];
}

auto errorCategory() -> const std::error_category & {
  static const ErrorCategory Category;
  return Category;
}

} // namespace skylark
