/// \file
/// Defines an entry's handling of quick requests from dispatch to answer.
#pragma once

#include "core/Counters.h"
#include "core/EntryOutput.h"
#include "core/RetryBudget.h"
#include "core/RoutingPolicy.h"

#include <deque>
#include <optional>

namespace skylark {

/// How a quick request ended.
struct RequestOutcome {
  RequestId Request_;
  CallerToken Token_ = 0;
  /// Empty for a request without a key.
  IdempotencyKey Key_;
  ErrorKind Error_ = ErrorKind::None;
  std::uint16_t Status_ = 0;
  std::string Body_;
};

/// What a desk reads of the entry around it.
struct DeskView {
  TargetTable &Targets_;
  const Configuration &Configuration_;
  Counters &Counters_;
};

/// Settings by which routing differs from the default, for measurements.
struct DeskOptions {
  std::string RoutingPolicy_ = "power-of-two";
  bool UnlimitedRetries_ = false;
  bool Hedging_ = true;
  std::size_t InFlightLimit_ = 20000;
};

/// Routes, retries, hedges and ends quick requests. A request that isn't
/// idempotent is sent to a further target only after the agent of the former
/// has refused it, which proves that it did not run.
class RequestDesk {
public:
  RequestDesk(EntryId Entry, DataCentreName Local, DeskOptions Options,
              DeskView View);

  /// Names a new request.
  auto newRequestId() -> RequestId;
  /// Dispatches a request; its outcome appears in takeOutcomes().
  auto submit(Moment Now, const RequestId &Request, CallerToken Token,
              const QuickRequest &Quick, Random &Generator, EntryOutbox &Out)
      -> void;
  auto answered(Moment Now, SessionNumber Session, const DispatchAnswer &Answer,
                Random &Generator, EntryOutbox &Out) -> void;
  auto sessionLost(Moment Now, SessionNumber Session, Random &Generator,
                   EntryOutbox &Out) -> void;
  auto tick(Moment Now, Random &Generator, EntryOutbox &Out) -> void;

  /// Hands over the requests that have ended since the last call.
  auto takeOutcomes() -> std::vector<RequestOutcome>;
  auto explain(const RequestId &Request) const
      -> std::optional<std::vector<RequestEvent>>;
  auto inFlight() const -> std::size_t { return Requests_.size(); }

private:
  struct Attempt {
    SessionNumber Session_ = 0;
    std::uint64_t Sequence_ = 0;
    TimePoint SentAt_{};
  };
  struct Request {
    RequestId Id_;
    CallerToken Token_ = 0;
    QuickRequest Quick_;
    TimePoint Deadline_{};
    TimePoint HedgeAt_{};
    bool CancelSent_ = false;
    std::vector<Attempt> Attempts_;
    std::vector<AgentId> Tried_;
    std::vector<RequestEvent> Events_;
  };

  auto dispatch(Moment Now, Request &Each, Random &Generator, EntryOutbox &Out)
      -> bool;
  auto retry(Moment Now, Request &Each, RetryReason Reason, ErrorKind Error,
             Random &Generator, EntryOutbox &Out) -> void;
  auto settle(Moment Now, Request &Each, ErrorKind Error,
              const DispatchAnswer &Answer, EntryOutbox &Out) -> void;
  auto end(Moment Now, Request &Each, ErrorKind Error,
           const DispatchAnswer &Answer) -> void;
  auto dropAttempt(Request &Each, SessionNumber Session) -> void;
  auto cancelAttempts(Request &Each, EntryOutbox &Out) -> void;
  auto expire(Moment Now, Request &Each, EntryOutbox &Out) -> void;
  auto mayUse(Moment Now, const Request &Each, const Target &Candidate) const
      -> bool;
  auto note(Moment Now, Request &Each, std::string What, const Target *Where,
            ErrorKind Reason) -> void;
  auto noteAnswerTime(Moment Now, const Request &Each, Target &Where) -> void;
  auto remember(Request &Each) -> void;

  EntryId Entry_;
  DataCentreName Local_;
  DeskOptions Options_;
  DeskView View_;
  std::unique_ptr<RoutingPolicy> Routing_;
  RetryBudget Budget_;
  std::uint64_t NextRequest_ = 0;
  std::unordered_map<RequestId, Request> Requests_;
  std::unordered_map<SessionNumber, std::set<RequestId>> BySession_;
  /// Requests by the next moment at which something is due for them.
  std::multimap<TimePoint, RequestId> Due_;
  std::vector<RequestOutcome> Outcomes_;
  std::unordered_map<RequestId, std::vector<RequestEvent>> History_;
  std::deque<RequestId> HistoryOrder_;
};

} // namespace skylark
