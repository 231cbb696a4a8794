#include "core/RequestQueue.h"

#include "core/Assert.h"

namespace skylark {
namespace {

/// The newest service time has a weight of 1 / ServiceTimeWeight in the running
/// mean.
constexpr int ServiceTimeWeight = 8;

auto refuse(SessionNumber Session, const DispatchRequest &Dispatch,
            ErrorKind Reason, AgentOutbox &Out) -> void {
  DispatchAnswer Answer;
  Answer.Sequence_ = Dispatch.Sequence_;
  Answer.Request_ = Dispatch.Request_;
  Answer.Error_ = Reason;
  Out.push_back(SendToEntry{Session, Answer});
}

} // namespace

auto RequestQueue::refusalReason(const DispatchRequest &Dispatch) const
    -> ErrorKind {
  if (Refusal_ != ErrorKind::None)
    return Refusal_;
  if (Running_.count(Dispatch.Request_) != 0)
    return ErrorKind::QueueFull;
  if (running() + queued() >= Limits_.Connections_)
    return ErrorKind::QueueFull;
  if (running() < Limits_.Slots_)
    return ErrorKind::None;
  const auto Ahead = queued() + 1;
  const auto PredictedWait = ServiceTime_ * Ahead / Limits_.Slots_;
  return PredictedWait > Dispatch.StartTimeout_ ? ErrorKind::CannotAnswerInTime
                                                : ErrorKind::None;
}

auto RequestQueue::admit(TimePoint Now, SessionNumber Session,
                         const DispatchRequest &Dispatch, AgentOutbox &Out)
    -> void {
  const auto Reason = refusalReason(Dispatch);
  if (Reason != ErrorKind::None) {
    refuse(Session, Dispatch, Reason, Out);
    return;
  }
  Pending Request;
  Request.Session_ = Session;
  Request.Dispatch_ = Dispatch;
  Request.StartDeadline_ = Now + Dispatch.StartTimeout_;
  Request.AnswerDeadline_ = Now + Dispatch.AnswerTimeout_;
  Queued_.emplace(Request.AnswerDeadline_, std::move(Request));
  advance(Now, Out);
}

auto RequestQueue::advance(TimePoint Now, AgentOutbox &Out) -> void {
  for (auto Next = Queued_.begin(); Next != Queued_.end();) {
    const auto Expired = Next->second.StartDeadline_ < Now;
    if (!Expired && running() >= Limits_.Slots_)
      break;
    auto Request = std::move(Next->second);
    Next = Queued_.erase(Next);
    if (Expired || Running_.count(Request.Dispatch_.Request_) != 0)
      refuse(Request.Session_, Request.Dispatch_, ErrorKind::ExpiredInQueue,
             Out);
    else
      start(Now, std::move(Request), Out);
  }
}

auto RequestQueue::start(TimePoint Now, Pending Request, AgentOutbox &Out)
    -> void {
  SKYLARK_ASSERT(running() < Limits_.Slots_,
                 "target over its slots:", running(), "of", Limits_.Slots_);
  CallTarget Call;
  Call.Request_ = Request.Dispatch_.Request_;
  Call.Service_ = Request.Dispatch_.Service_;
  Call.Body_ = std::move(Request.Dispatch_.Body_);
  Call.Timeout_ =
      std::chrono::duration_cast<Micros>(Request.AnswerDeadline_ - Now) +
      Request.Dispatch_.AnswerTimeout_;
  Call.Idempotent_ = Request.Dispatch_.Idempotent_;
  Request.StartedAt_ = Now;
  Running_.emplace(Call.Request_, std::move(Request));
  Out.push_back(std::move(Call));
}

auto RequestQueue::finish(TimePoint Now, const TargetResult &Result,
                          AgentOutbox &Out) -> void {
  const auto Found = Running_.find(Result.Request_);
  if (Found == Running_.end())
    return;
  const auto Request = std::move(Found->second);
  Running_.erase(Found);
  const auto Elapsed =
      std::chrono::duration_cast<Micros>(Now - Request.StartedAt_);
  ServiceTime_ =
      ServiceTime_ == Micros{0}
          ? Elapsed
          : ServiceTime_ + (Elapsed - ServiceTime_) / ServiceTimeWeight;
  DispatchAnswer Answer;
  Answer.Sequence_ = Request.Dispatch_.Sequence_;
  Answer.Request_ = Result.Request_;
  Answer.Error_ = Result.Error_;
  Answer.Status_ = Result.Status_;
  Answer.Body_ = Result.Body_;
  Answer.BodyLength_ = Result.Body_.size();
  Answer.BodyDigest_ = digest64(Result.Body_);
  Out.push_back(SendToEntry{Request.Session_, std::move(Answer)});
  advance(Now, Out);
}

auto RequestQueue::cancel(SessionNumber Session, const RequestId &Request,
                          AgentOutbox &Out) -> void {
  for (auto Each = Queued_.begin(); Each != Queued_.end(); ++Each) {
    if (Each->second.Session_ != Session ||
        Each->second.Dispatch_.Request_ != Request)
      continue;
    refuse(Session, Each->second.Dispatch_, ErrorKind::Cancelled, Out);
    Queued_.erase(Each);
    return;
  }
}

} // namespace skylark
