/// \file
/// Defines an entry's dispatch of quick requests to targets, with retries and
/// hedging, up to the answer.
#pragma once

#include "core/Counters.h"
#include "core/EntryOutput.h"
#include "core/RetryBudget.h"
#include "core/RoutingPolicy.h"

#include <deque>
#include <optional>

namespace skylark {

/// The outcome of a quick request.
struct RequestOutcome {
  RequestId Request_;
  CallerToken Token_ = 0;
  /// Empty for a request without an idempotency key.
  IdempotencyKey Key_;
  ErrorKind Error_ = ErrorKind::None;
  std::uint16_t Status_ = 0;
  std::string Body_;
};

/// The state of the entry that the dispatcher uses.
struct DispatcherView {
  TargetTable &Targets_;
  const Configuration &Configuration_;
  Counters &Counters_;
};

/// Settings of the dispatcher. Routing settings other than the defaults serve
/// as baselines for measurements.
struct DispatcherOptions {
  std::string RoutingPolicy_ = "power-of-two";
  bool UnlimitedRetries_ = false;
  bool Hedging_ = true;
  std::size_t InFlightLimit_ = 20000;
};

/// Routes, retries, hedges and completes quick requests. A request that isn't
/// idempotent is sent to another target only after the agent of the previous
/// one has refused it, which proves that it did not run.
class RequestDispatcher {
public:
  RequestDispatcher(EntryId Entry, DataCentreName LocalDataCentre,
                    DispatcherOptions Options, DispatcherView View);

  /// Returns a new unique request id.
  auto newRequestId() -> RequestId;
  /// Dispatches a request; its outcome appears in takeOutcomes().
  auto submit(Moment Now, const RequestId &Request, CallerToken Token,
              const QuickRequest &Quick, Random &Generator, EntryOutbox &Out)
      -> void;
  /// Handles an agent's answer to a dispatched request.
  auto answered(Moment Now, SessionNumber Session, const DispatchAnswer &Answer,
                Random &Generator, EntryOutbox &Out) -> void;
  /// Retries or ends the requests that were sent on a lost connection.
  auto sessionLost(Moment Now, SessionNumber Session, Random &Generator,
                   EntryOutbox &Out) -> void;
  /// Handles deadlines and sends hedges that are due.
  auto tick(Moment Now, Random &Generator, EntryOutbox &Out) -> void;

  /// Returns the outcomes of the requests that have ended since the last call.
  auto takeOutcomes() -> std::vector<RequestOutcome>;
  /// Returns the recorded events of a request that is in flight or ended
  /// recently; none for any other request.
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
    std::vector<AgentId> TriedAgents_;
    std::vector<RequestEvent> Events_;
  };

  /// \returns false if no target is eligible.
  auto dispatch(Moment Now, Request &Pending, Random &Generator,
                EntryOutbox &Out) -> bool;
  auto budgetOf(const Request &Pending) -> RetryBudget &;
  /// Sends the request to another target, if there is one and the budget allows
  /// it. \returns whether it was sent.
  auto sendAgain(Moment Now, Request &Pending, RetryReason Reason,
                 Random &Generator, EntryOutbox &Out) -> bool;
  auto retry(Moment Now, Request &Pending, RetryReason Reason, ErrorKind Error,
             Random &Generator, EntryOutbox &Out) -> void;
  /// Cancels the remaining attempts, then ends the request.
  auto cancelAndEnd(Moment Now, Request &Pending, ErrorKind Error,
                    const DispatchAnswer &Answer, EntryOutbox &Out) -> void;
  /// Adds the outcome and erases the request; `Pending` is invalid afterwards.
  auto end(Moment Now, Request &Pending, ErrorKind Error,
           const DispatchAnswer &Answer) -> void;
  auto removeAttempt(Request &Pending, SessionNumber Session) -> void;
  auto cancelAttempts(Request &Pending, EntryOutbox &Out) -> void;
  /// Handles a deadline or the end of a cancel confirmation timeout.
  auto expire(Moment Now, Request &Pending, EntryOutbox &Out) -> void;
  auto isEligible(Moment Now, const Request &Pending,
                  const Target &Candidate) const -> bool;
  auto recordEvent(Moment Now, Request &Pending, std::string Description,
                   const Target *AttemptTarget, ErrorKind Reason) -> void;
  auto recordAnswerTime(Moment Now, const Request &Pending,
                        Target &AttemptTarget) -> void;
  auto archiveEvents(Request &Pending) -> void;

  EntryId Entry_;
  DataCentreName LocalDataCentre_;
  DispatcherOptions Options_;
  DispatcherView View_;
  std::unique_ptr<RoutingPolicy> Routing_;
  /// One for each service, so that one whose targets refuse everything doesn't
  /// use up the retries of others.
  std::unordered_map<ServiceName, RetryBudget> Budgets_;
  std::uint64_t NextRequest_ = 0;
  std::unordered_map<RequestId, Request> Requests_;
  std::unordered_map<SessionNumber, std::set<RequestId>> RequestsBySession_;
  /// Pending timers by due time: deadlines, ends of cancel confirmation
  /// timeouts, and hedges.
  std::multimap<TimePoint, RequestId> Timers_;
  std::vector<RequestOutcome> Outcomes_;
  std::unordered_map<RequestId, std::vector<RequestEvent>> History_;
  std::deque<RequestId> HistoryOrder_;
};

} // namespace skylark
