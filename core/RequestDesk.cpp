#include "core/RequestDesk.h"

#include "core/Assert.h"
#include "core/Mutation.h"

#include <algorithm>
#include <utility>

namespace skylark {
namespace {

/// Requests whose events an entry keeps for explain.
constexpr std::size_t HistoryLimit = 20000;
/// Time after the deadline in which the agent may still confirm that a
/// request did not run.
constexpr Millis ConfirmWithin{1000};
/// A hedge goes out once a request has taken this many mean answer times.
constexpr int HedgeFactor = 4;

auto anyAnswer() -> const DispatchAnswer & {
  static const DispatchAnswer Empty;
  return Empty;
}

auto provesNotRun(ErrorKind Kind) -> bool {
  return errorAnswer(Kind).Execution_ == Execution::NotRun &&
         Kind != ErrorKind::None;
}

auto isDamaged(const DispatchAnswer &Answer) -> bool {
  if (isBroken(Mutation::PassOnDamagedAnswers))
    return false;
  return Answer.Length_ != Answer.Body_.size() ||
         Answer.Digest_ != digest64(Answer.Body_);
}

} // namespace

RequestDesk::RequestDesk(EntryId Entry, DataCentreName Local,
                         DeskOptions Options, DeskView View)
    : Entry_(std::move(Entry)), Local_(std::move(Local)),
      Options_(std::move(Options)), View_(View),
      Routing_(makeRoutingPolicy(Options_.RoutingPolicy_)) {
  SKYLARK_ASSERT(Routing_ != nullptr,
                 "no such routing policy:", Options_.RoutingPolicy_);
  Budget_.setUnlimited(Options_.UnlimitedRetries_);
}

auto RequestDesk::newRequestId() -> RequestId {
  return {"r-" + Entry_.Value_ + "-" + std::to_string(++NextRequest_)};
}

auto RequestDesk::submit(Moment Now, const RequestId &Id, CallerToken Token,
                         const QuickRequest &Quick, Random &Generator,
                         EntryOutbox &Out) -> void {
  auto &Each = Requests_[Id];
  SKYLARK_ASSERT(Each.Id_.empty(), "request id used twice:", Id);
  Each.Id_ = Id;
  Each.Token_ = Token;
  Each.Quick_ = Quick;
  Each.Deadline_ = Now.Steady_ + Quick.Within_;
  Due_.emplace(Each.Deadline_, Id);
  if (Requests_.size() > Options_.InFlightLimit_) {
    end(Now, Each, ErrorKind::TooManyInFlight, anyAnswer());
    return;
  }
  if (!dispatch(Now, Each, Generator, Out))
    end(Now, Each, ErrorKind::NoTarget, anyAnswer());
}

auto RequestDesk::mayUse(Moment Now, const Request &Each,
                         const Target &Candidate) const -> bool {
  if (!mayGetWork(Candidate, View_.Configuration_, Now.Steady_))
    return false;
  return std::find(Each.Tried_.begin(), Each.Tried_.end(), Candidate.agent()) ==
         Each.Tried_.end();
}

auto RequestDesk::dispatch(Moment Now, Request &Each, Random &Generator,
                           EntryOutbox &Out) -> bool {
  const RoutingChoice Choice{
      View_.Targets_.ofService(Each.Quick_.Service_), Local_,
      [&](const Target &Candidate) { return mayUse(Now, Each, Candidate); }};
  auto *Chosen = Routing_->choose(Choice, Generator);
  if (Chosen == nullptr)
    return false;
  const auto Left =
      std::chrono::duration_cast<Micros>(Each.Deadline_ - Now.Steady_);
  DispatchRequest Dispatch;
  Dispatch.Sequence_ = ++Chosen->NextSequence_;
  Dispatch.Request_ = Each.Id_;
  Dispatch.Service_ = Each.Quick_.Service_;
  Dispatch.Body_ = Each.Quick_.Body_;
  Dispatch.StartWithin_ = Left;
  Dispatch.AnswerWithin_ = Left;
  Dispatch.Idempotent_ = Each.Quick_.Idempotent_;
  SKYLARK_ASSERT(
      Each.Quick_.Idempotent_ || Each.Attempts_.empty(),
      "second dispatch of a request that is not idempotent:", Each.Id_);
  Each.Attempts_.push_back({Chosen->Session_, Dispatch.Sequence_, Now.Steady_});
  Each.Tried_.push_back(Chosen->agent());
  BySession_[Chosen->Session_].insert(Each.Id_);
  ++Chosen->InFlight_;
  ++Chosen->SentSinceReport_;
  ++View_.Counters_.Dispatched_;
  note(Now, Each, "dispatched", Chosen, ErrorKind::None);
  Out.push_back(SendToAgent{Chosen->Session_, std::move(Dispatch)});
  if (Each.Quick_.Idempotent_ && Options_.Hedging_ &&
      Each.HedgeAt_ == TimePoint{}) {
    const auto Patience =
        std::max(HedgeFactor * predictedAnswerTime(*Chosen), Left / 4);
    Each.HedgeAt_ = Now.Steady_ + Patience;
    Due_.emplace(Each.HedgeAt_, Each.Id_);
  }
  return true;
}

auto RequestDesk::note(Moment Now, Request &Each, std::string What,
                       const Target *Where, ErrorKind Reason) -> void {
  RequestEvent Event;
  Event.At_ = Now.Wall_;
  Event.What_ = std::move(What);
  if (Where != nullptr) {
    Event.Agent_ = Where->agent();
    Event.DataCentre_ = Where->dataCentre();
  }
  Event.Reason_ = Reason;
  Each.Events_.push_back(std::move(Event));
}

auto RequestDesk::dropAttempt(Request &Each, SessionNumber Session) -> void {
  const auto Found =
      std::find_if(Each.Attempts_.begin(), Each.Attempts_.end(),
                   [&](const Attempt &One) { return One.Session_ == Session; });
  if (Found == Each.Attempts_.end())
    return;
  Each.Attempts_.erase(Found);
  const auto Known = BySession_.find(Session);
  if (Known != BySession_.end())
    Known->second.erase(Each.Id_);
  auto *Where = View_.Targets_.find(Session);
  if (Where != nullptr && Where->InFlight_ > 0)
    --Where->InFlight_;
}

auto RequestDesk::noteAnswerTime(Moment Now, const Request &Each, Target &Where)
    -> void {
  for (const auto &One : Each.Attempts_) {
    if (One.Session_ != Where.Session_)
      continue;
    const auto Took =
        std::chrono::duration_cast<Micros>(Now.Steady_ - One.SentAt_);
    Where.AnswerTime_ =
        Where.AnswerTime_ == Micros{0}
            ? Took
            : Where.AnswerTime_ + (Took - Where.AnswerTime_) / 8;
  }
}

auto RequestDesk::answered(Moment Now, SessionNumber Session,
                           const DispatchAnswer &Answer, Random &Generator,
                           EntryOutbox &Out) -> void {
  const auto Found = Requests_.find(Answer.Request_);
  if (Found == Requests_.end())
    return;
  auto &Each = Found->second;
  const auto Expected = std::any_of(
      Each.Attempts_.begin(), Each.Attempts_.end(), [&](const Attempt &One) {
        return One.Session_ == Session && One.Sequence_ == Answer.Sequence_;
      });
  if (!Expected)
    return;
  auto *Where = View_.Targets_.find(Session);
  if (Where != nullptr && Answer.Error_ == ErrorKind::None)
    noteAnswerTime(Now, Each, *Where);
  dropAttempt(Each, Session);
  auto Error = Answer.Error_;
  if (Error == ErrorKind::None && isDamaged(Answer))
    Error = ErrorKind::AnswerDamaged;
  note(Now, Each, Error == ErrorKind::None ? "answered" : "refused", Where,
       Error);
  if (Error == ErrorKind::None) {
    Budget_.earn(View_.Configuration_.Document_.Policy_.RetryPercent_);
    settle(Now, Each, Error, Answer, Out);
    return;
  }
  // Another attempt of the same request may still succeed.
  if (!Each.Attempts_.empty())
    return;
  const auto Retriable = Each.Quick_.Idempotent_ || provesNotRun(Error);
  if (!Retriable || Error == ErrorKind::Cancelled) {
    settle(Now, Each, Error, anyAnswer(), Out);
    return;
  }
  const auto Reason = provesNotRun(Error) ? RetryReason::Refused
                      : Error == ErrorKind::AnswerDamaged
                          ? RetryReason::AnswerDamaged
                          : RetryReason::TargetFailed;
  retry(Now, Each, Reason, Error, Generator, Out);
}

auto RequestDesk::retry(Moment Now, Request &Each, RetryReason Reason,
                        ErrorKind Error, Random &Generator, EntryOutbox &Out)
    -> void {
  const auto InTime = Now.Steady_ < Each.Deadline_;
  const auto Affordable = InTime && Budget_.spend();
  if (InTime && !Affordable)
    View_.Counters_.retry(RetryReason::BudgetSpent);
  if (Affordable && dispatch(Now, Each, Generator, Out))
    View_.Counters_.retry(Reason);
  else
    settle(Now, Each, Error, anyAnswer(), Out);
}

auto RequestDesk::settle(Moment Now, Request &Each, ErrorKind Error,
                         const DispatchAnswer &Answer, EntryOutbox &Out)
    -> void {
  cancelAttempts(Each, Out);
  end(Now, Each, Error, Answer);
}

auto RequestDesk::cancelAttempts(Request &Each, EntryOutbox &Out) -> void {
  const auto Attempts = Each.Attempts_;
  for (const auto &One : Attempts) {
    Out.push_back(SendToAgent{One.Session_, CancelDispatch{Each.Id_}});
    dropAttempt(Each, One.Session_);
  }
}

auto RequestDesk::end(Moment Now, Request &Each, ErrorKind Error,
                      const DispatchAnswer &Answer) -> void {
  if (Error == ErrorKind::None)
    ++View_.Counters_.Answered_;
  else
    View_.Counters_.refuse(Error);
  note(Now, Each, "ended", nullptr, Error);
  Outcomes_.push_back({Each.Id_, Each.Token_, Each.Quick_.Key_, Error,
                       Answer.Status_, Answer.Body_});
  remember(Each);
  Requests_.erase(RequestId(Each.Id_));
}

auto RequestDesk::remember(Request &Each) -> void {
  if (HistoryOrder_.size() >= HistoryLimit) {
    History_.erase(HistoryOrder_.front());
    HistoryOrder_.pop_front();
  }
  HistoryOrder_.push_back(Each.Id_);
  History_[Each.Id_] = std::move(Each.Events_);
}

auto RequestDesk::sessionLost(Moment Now, SessionNumber Session,
                              Random &Generator, EntryOutbox &Out) -> void {
  const auto Found = BySession_.find(Session);
  if (Found == BySession_.end())
    return;
  const auto Lost = std::move(Found->second);
  BySession_.erase(Found);
  for (const auto &Id : Lost) {
    const auto Known = Requests_.find(Id);
    if (Known == Requests_.end())
      continue;
    auto &Each = Known->second;
    dropAttempt(Each, Session);
    note(Now, Each, "connection lost", nullptr, ErrorKind::OutcomeUnknown);
    if (!Each.Attempts_.empty())
      continue;
    if (Each.Quick_.Idempotent_)
      retry(Now, Each, RetryReason::ConnectionLost, ErrorKind::OutcomeUnknown,
            Generator, Out);
    else
      settle(Now, Each, ErrorKind::OutcomeUnknown, anyAnswer(), Out);
  }
}

auto RequestDesk::expire(Moment Now, Request &Each, EntryOutbox &Out) -> void {
  // The agent is asked to prove that the request never started. Only where it
  // can't, or does not answer in time, is the outcome unknown.
  if (!Each.CancelSent_ && !Each.Quick_.Idempotent_) {
    Each.CancelSent_ = true;
    for (const auto &One : Each.Attempts_)
      Out.push_back(SendToAgent{One.Session_, CancelDispatch{Each.Id_}});
    Due_.emplace(Now.Steady_ + ConfirmWithin, Each.Id_);
    return;
  }
  const auto Told = isBroken(Mutation::NotRunOnTimeout)
                        ? ErrorKind::ExpiredInQueue
                        : ErrorKind::OutcomeUnknown;
  settle(Now, Each, Told, anyAnswer(), Out);
}

auto RequestDesk::tick(Moment Now, Random &Generator, EntryOutbox &Out)
    -> void {
  while (!Due_.empty() && Due_.begin()->first <= Now.Steady_) {
    const auto Id = Due_.begin()->second;
    Due_.erase(Due_.begin());
    const auto Found = Requests_.find(Id);
    if (Found == Requests_.end())
      continue;
    auto &Each = Found->second;
    if (Each.Deadline_ <= Now.Steady_) {
      expire(Now, Each, Out);
      continue;
    }
    const auto HedgeDue =
        Each.Attempts_.size() == 1 && Each.HedgeAt_ <= Now.Steady_;
    if (HedgeDue && Budget_.spend() && dispatch(Now, Each, Generator, Out))
      View_.Counters_.retry(RetryReason::Hedge);
  }
}

auto RequestDesk::takeOutcomes() -> std::vector<RequestOutcome> {
  return std::exchange(Outcomes_, {});
}

auto RequestDesk::explain(const RequestId &Id) const
    -> std::optional<std::vector<RequestEvent>> {
  const auto Live = Requests_.find(Id);
  if (Live != Requests_.end())
    return Live->second.Events_;
  const auto Past = History_.find(Id);
  if (Past != History_.end())
    return Past->second;
  return std::nullopt;
}

} // namespace skylark
