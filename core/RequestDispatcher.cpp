#include "core/RequestDispatcher.h"

#include "core/Assert.h"
#include "core/Mutation.h"

#include <algorithm>
#include <utility>

namespace skylark {
namespace {

/// Number of ended requests whose events are kept for explain().
constexpr std::size_t HistoryLimit = 20000;
/// Time after a request's deadline within which the agent may still confirm
/// that the request did not run.
constexpr Millis CancelConfirmTimeout{1000};
/// A hedge is sent after this multiple of the predicted answer time, but not
/// before a quarter of the time to the deadline has passed.
constexpr int HedgeDelayFactor = 4;

auto emptyAnswer() -> const DispatchAnswer & {
  static const DispatchAnswer Empty;
  return Empty;
}

auto provesNotRun(ErrorKind Kind) -> bool {
  return errorInfo(Kind).Execution_ == Execution::NotRun &&
         Kind != ErrorKind::None;
}

auto isDamaged(const DispatchAnswer &Answer) -> bool {
  if (isMutationActive(Mutation::ForwardDamagedAnswers))
    return false;
  return Answer.BodyLength_ != Answer.Body_.size() ||
         Answer.BodyDigest_ != digest64(Answer.Body_);
}

} // namespace

RequestDispatcher::RequestDispatcher(EntryId Entry,
                                     DataCentreName LocalDataCentre,
                                     DispatcherOptions Options,
                                     DispatcherView View)
    : Entry_(std::move(Entry)), LocalDataCentre_(std::move(LocalDataCentre)),
      Options_(std::move(Options)), View_(View),
      Routing_(makeRoutingPolicy(Options_.RoutingPolicy_)) {
  SKYLARK_ASSERT(Routing_ != nullptr,
                 "no such routing policy:", Options_.RoutingPolicy_);
}

auto RequestDispatcher::newRequestId() -> RequestId {
  return {"r-" + Entry_.Value_ + "-" + std::to_string(++NextRequest_)};
}

auto RequestDispatcher::submit(Moment Now, const RequestId &Id,
                               CallerToken Token, const QuickRequest &Quick,
                               Random &Generator, EntryOutbox &Out) -> void {
  auto &Pending = Requests_[Id];
  SKYLARK_ASSERT(Pending.Id_.empty(), "request id used twice:", Id);
  Pending.Id_ = Id;
  Pending.Token_ = Token;
  Pending.Quick_ = Quick;
  Pending.Deadline_ = Now.Steady_ + Quick.Timeout_;
  Timers_.emplace(Pending.Deadline_, Id);
  if (Requests_.size() > Options_.InFlightLimit_) {
    end(Now, Pending, ErrorKind::TooManyInFlight, emptyAnswer());
    return;
  }
  if (!dispatch(Now, Pending, Generator, Out))
    end(Now, Pending, ErrorKind::NoTarget, emptyAnswer());
}

auto RequestDispatcher::isEligible(Moment Now, const Request &Pending,
                                   const Target &Candidate) const -> bool {
  if (!acceptsNewWork(Candidate, View_.Configuration_, Now.Steady_))
    return false;
  return std::find(Pending.TriedAgents_.begin(), Pending.TriedAgents_.end(),
                   Candidate.agent()) == Pending.TriedAgents_.end();
}

auto RequestDispatcher::dispatch(Moment Now, Request &Pending,
                                 Random &Generator, EntryOutbox &Out) -> bool {
  const RoutingContext Context{
      View_.Targets_.ofService(Pending.Quick_.Service_), LocalDataCentre_,
      [&](const Target &Candidate) {
        return isEligible(Now, Pending, Candidate);
      }};
  auto *Chosen = Routing_->choose(Context, Generator);
  if (Chosen == nullptr)
    return false;
  const auto Remaining =
      std::chrono::duration_cast<Micros>(Pending.Deadline_ - Now.Steady_);
  DispatchRequest Dispatch;
  Dispatch.Sequence_ = ++Chosen->LastSequence_;
  Dispatch.Request_ = Pending.Id_;
  Dispatch.Service_ = Pending.Quick_.Service_;
  Dispatch.Body_ = Pending.Quick_.Body_;
  Dispatch.StartTimeout_ = Remaining;
  Dispatch.AnswerTimeout_ = Remaining;
  Dispatch.Idempotent_ = Pending.Quick_.Idempotent_;
  SKYLARK_ASSERT(
      Pending.Quick_.Idempotent_ || Pending.Attempts_.empty(),
      "second dispatch of a request that is not idempotent:", Pending.Id_);
  Pending.Attempts_.push_back(
      {Chosen->Session_, Dispatch.Sequence_, Now.Steady_});
  Pending.TriedAgents_.push_back(Chosen->agent());
  RequestsBySession_[Chosen->Session_].insert(Pending.Id_);
  ++Chosen->InFlight_;
  ++Chosen->SentSinceHeartbeat_;
  ++View_.Counters_.Dispatched_;
  recordEvent(Now, Pending, "dispatched", Chosen, ErrorKind::None);
  Out.push_back(SendToAgent{Chosen->Session_, std::move(Dispatch)});
  if (Pending.Quick_.Idempotent_ && Options_.Hedging_ &&
      Pending.HedgeAt_ == TimePoint{}) {
    const auto HedgeDelay = std::max(
        HedgeDelayFactor * predictedAnswerTime(*Chosen), Remaining / 4);
    Pending.HedgeAt_ = Now.Steady_ + HedgeDelay;
    Timers_.emplace(Pending.HedgeAt_, Pending.Id_);
  }
  return true;
}

auto RequestDispatcher::recordEvent(Moment Now, Request &Pending,
                                    std::string Description,
                                    const Target *AttemptTarget,
                                    ErrorKind Reason) -> void {
  RequestEvent Event;
  Event.At_ = Now.Wall_;
  Event.Description_ = std::move(Description);
  if (AttemptTarget != nullptr) {
    Event.Agent_ = AttemptTarget->agent();
    Event.DataCentre_ = AttemptTarget->dataCentre();
  }
  Event.Reason_ = Reason;
  Pending.Events_.push_back(std::move(Event));
}

auto RequestDispatcher::removeAttempt(Request &Pending, SessionNumber Session)
    -> void {
  const auto Found = std::find_if(
      Pending.Attempts_.begin(), Pending.Attempts_.end(),
      [&](const Attempt &Each) { return Each.Session_ == Session; });
  if (Found == Pending.Attempts_.end())
    return;
  Pending.Attempts_.erase(Found);
  const auto SessionRequests = RequestsBySession_.find(Session);
  if (SessionRequests != RequestsBySession_.end())
    SessionRequests->second.erase(Pending.Id_);
  auto *AttemptTarget = View_.Targets_.find(Session);
  if (AttemptTarget != nullptr && AttemptTarget->InFlight_ > 0)
    --AttemptTarget->InFlight_;
}

auto RequestDispatcher::recordAnswerTime(Moment Now, const Request &Pending,
                                         Target &AttemptTarget) -> void {
  for (const auto &Each : Pending.Attempts_) {
    if (Each.Session_ != AttemptTarget.Session_)
      continue;
    const auto Elapsed =
        std::chrono::duration_cast<Micros>(Now.Steady_ - Each.SentAt_);
    AttemptTarget.MeanAnswerTime_ =
        AttemptTarget.MeanAnswerTime_ == Micros{0}
            ? Elapsed
            : AttemptTarget.MeanAnswerTime_ +
                  (Elapsed - AttemptTarget.MeanAnswerTime_) / 8;
  }
}

auto RequestDispatcher::answered(Moment Now, SessionNumber Session,
                                 const DispatchAnswer &Answer,
                                 Random &Generator, EntryOutbox &Out) -> void {
  const auto Found = Requests_.find(Answer.Request_);
  if (Found == Requests_.end())
    return;
  auto &Pending = Found->second;
  const auto Expected = std::any_of(
      Pending.Attempts_.begin(), Pending.Attempts_.end(),
      [&](const Attempt &Each) {
        return Each.Session_ == Session && Each.Sequence_ == Answer.Sequence_;
      });
  if (!Expected)
    return;
  auto *AttemptTarget = View_.Targets_.find(Session);
  if (AttemptTarget != nullptr && Answer.Error_ == ErrorKind::None)
    recordAnswerTime(Now, Pending, *AttemptTarget);
  removeAttempt(Pending, Session);
  auto Error = Answer.Error_;
  if (Error == ErrorKind::None && isDamaged(Answer))
    Error = ErrorKind::AnswerDamaged;
  recordEvent(Now, Pending, Error == ErrorKind::None ? "answered" : "refused",
              AttemptTarget, Error);
  if (Error == ErrorKind::None) {
    budgetOf(Pending).earn(
        View_.Configuration_.Document_.Policy_.RetryPercent_);
    cancelAndEnd(Now, Pending, Error, Answer, Out);
    return;
  }
  // Another attempt of the same request may still succeed.
  if (!Pending.Attempts_.empty())
    return;
  const auto Retriable = Pending.Quick_.Idempotent_ || provesNotRun(Error);
  if (!Retriable || Error == ErrorKind::Cancelled) {
    cancelAndEnd(Now, Pending, Error, emptyAnswer(), Out);
    return;
  }
  const auto Reason = provesNotRun(Error) ? RetryReason::Refused
                      : Error == ErrorKind::AnswerDamaged
                          ? RetryReason::AnswerDamaged
                          : RetryReason::TargetFailed;
  retry(Now, Pending, Reason, Error, Generator, Out);
}

auto RequestDispatcher::budgetOf(const Request &Pending) -> RetryBudget & {
  auto &Budget = Budgets_[Pending.Quick_.Service_];
  Budget.setUnlimited(Options_.UnlimitedRetries_);
  return Budget;
}

auto RequestDispatcher::sendAgain(Moment Now, Request &Pending,
                                  RetryReason Reason, Random &Generator,
                                  EntryOutbox &Out) -> bool {
  auto &Budget = budgetOf(Pending);
  // A request that finds no other target costs nothing.
  if (!Budget.canSpend() || !dispatch(Now, Pending, Generator, Out))
    return false;
  Budget.spend();
  View_.Counters_.countRetry(Reason);
  return true;
}

auto RequestDispatcher::retry(Moment Now, Request &Pending, RetryReason Reason,
                              ErrorKind Error, Random &Generator,
                              EntryOutbox &Out) -> void {
  const auto InTime = Now.Steady_ < Pending.Deadline_;
  if (InTime && !budgetOf(Pending).canSpend())
    View_.Counters_.countRetry(RetryReason::BudgetSpent);
  if (!InTime || !sendAgain(Now, Pending, Reason, Generator, Out))
    cancelAndEnd(Now, Pending, Error, emptyAnswer(), Out);
}

auto RequestDispatcher::cancelAndEnd(Moment Now, Request &Pending,
                                     ErrorKind Error,
                                     const DispatchAnswer &Answer,
                                     EntryOutbox &Out) -> void {
  cancelAttempts(Pending, Out);
  end(Now, Pending, Error, Answer);
}

auto RequestDispatcher::cancelAttempts(Request &Pending, EntryOutbox &Out)
    -> void {
  const auto Attempts = Pending.Attempts_;
  for (const auto &Each : Attempts) {
    Out.push_back(SendToAgent{Each.Session_, CancelDispatch{Pending.Id_}});
    removeAttempt(Pending, Each.Session_);
  }
}

auto RequestDispatcher::end(Moment Now, Request &Pending, ErrorKind Error,
                            const DispatchAnswer &Answer) -> void {
  if (Error == ErrorKind::None)
    ++View_.Counters_.Answered_;
  else
    View_.Counters_.countRefusal(Error);
  recordEvent(Now, Pending, "ended", nullptr, Error);
  Outcomes_.push_back({Pending.Id_, Pending.Token_, Pending.Quick_.Key_, Error,
                       Answer.Status_, Answer.Body_});
  archiveEvents(Pending);
  Requests_.erase(RequestId(Pending.Id_));
}

auto RequestDispatcher::archiveEvents(Request &Pending) -> void {
  if (HistoryOrder_.size() >= HistoryLimit) {
    History_.erase(HistoryOrder_.front());
    HistoryOrder_.pop_front();
  }
  HistoryOrder_.push_back(Pending.Id_);
  History_[Pending.Id_] = std::move(Pending.Events_);
}

auto RequestDispatcher::sessionLost(Moment Now, SessionNumber Session,
                                    Random &Generator, EntryOutbox &Out)
    -> void {
  const auto Found = RequestsBySession_.find(Session);
  if (Found == RequestsBySession_.end())
    return;
  const auto Lost = std::move(Found->second);
  RequestsBySession_.erase(Found);
  for (const auto &Id : Lost) {
    const auto FoundRequest = Requests_.find(Id);
    if (FoundRequest == Requests_.end())
      continue;
    auto &Pending = FoundRequest->second;
    removeAttempt(Pending, Session);
    recordEvent(Now, Pending, "connection lost", nullptr,
                ErrorKind::OutcomeUnknown);
    if (!Pending.Attempts_.empty())
      continue;
    if (Pending.Quick_.Idempotent_)
      retry(Now, Pending, RetryReason::ConnectionLost,
            ErrorKind::OutcomeUnknown, Generator, Out);
    else
      cancelAndEnd(Now, Pending, ErrorKind::OutcomeUnknown, emptyAnswer(), Out);
  }
}

auto RequestDispatcher::expire(Moment Now, Request &Pending, EntryOutbox &Out)
    -> void {
  // Ask the agent to confirm that the request never started. The outcome is
  // unknown only if the agent can't confirm it or does not answer in time.
  if (!Pending.CancelSent_ && !Pending.Quick_.Idempotent_) {
    Pending.CancelSent_ = true;
    for (const auto &Each : Pending.Attempts_)
      Out.push_back(SendToAgent{Each.Session_, CancelDispatch{Pending.Id_}});
    Timers_.emplace(Now.Steady_ + CancelConfirmTimeout, Pending.Id_);
    return;
  }
  const auto Reported = isMutationActive(Mutation::NotRunOnTimeout)
                            ? ErrorKind::ExpiredInQueue
                            : ErrorKind::OutcomeUnknown;
  cancelAndEnd(Now, Pending, Reported, emptyAnswer(), Out);
}

auto RequestDispatcher::tick(Moment Now, Random &Generator, EntryOutbox &Out)
    -> void {
  while (!Timers_.empty() && Timers_.begin()->first <= Now.Steady_) {
    const auto Id = Timers_.begin()->second;
    Timers_.erase(Timers_.begin());
    const auto Found = Requests_.find(Id);
    if (Found == Requests_.end())
      continue;
    auto &Pending = Found->second;
    if (Pending.Deadline_ <= Now.Steady_) {
      expire(Now, Pending, Out);
      continue;
    }
    const auto HedgeDue =
        Pending.Attempts_.size() == 1 && Pending.HedgeAt_ <= Now.Steady_;
    if (HedgeDue)
      sendAgain(Now, Pending, RetryReason::Hedge, Generator, Out);
  }
}

auto RequestDispatcher::takeOutcomes() -> std::vector<RequestOutcome> {
  return std::exchange(Outcomes_, {});
}

auto RequestDispatcher::explain(const RequestId &Id) const
    -> std::optional<std::vector<RequestEvent>> {
  const auto Active = Requests_.find(Id);
  if (Active != Requests_.end())
    return Active->second.Events_;
  const auto Archived = History_.find(Id);
  if (Archived != History_.end())
    return Archived->second;
  return std::nullopt;
}

} // namespace skylark
