/// \file
/// Defines the agent's admission control and queue for quick requests to its
/// target.
#pragma once

#include "core/AgentOutput.h"

#include <map>

namespace skylark {

/// Concurrency limits of a target, as given by the platform.
struct TargetLimits {
  /// Requests that the target executes at the same time.
  std::uint32_t Slots_ = 8;
  /// Limit on running and queued requests together.
  std::uint32_t Connections_ = 64;
};

/// Admits quick requests, queues them by deadline, starts them and completes
/// them. A refusal is final: a refused request never starts.
class RequestQueue {
public:
  explicit RequestQueue(const TargetLimits &Limits) : Limits_(Limits) {}

  /// Queues a request, or refuses it at once with a reason.
  auto admit(TimePoint Now, SessionNumber Session,
             const DispatchRequest &Dispatch, AgentOutbox &Out) -> void;
  /// Refuses every new request with `Reason` from now on; None admits requests
  /// again.
  auto refuseNew(ErrorKind Reason) -> void { Refusal_ = Reason; }
  /// Starts queued requests while slots are free, and refuses those whose start
  /// deadline has passed.
  auto advance(TimePoint Now, AgentOutbox &Out) -> void;
  /// Completes the request that the target has answered.
  auto finish(TimePoint Now, const TargetResult &Result, AgentOutbox &Out)
      -> void;
  /// Refuses a queued request; has no effect on one that has started.
  auto cancel(SessionNumber Session, const RequestId &Request, AgentOutbox &Out)
      -> void;

  auto running() const -> std::uint32_t { return Running_.size(); }
  auto queued() const -> std::uint32_t { return Queued_.size(); }
  /// Running mean of the time from start to answer; zero before the first.
  auto serviceTime() const -> Micros { return ServiceTime_; }
  auto idle() const -> bool { return Running_.empty() && Queued_.empty(); }

private:
  struct Pending {
    SessionNumber Session_ = 0;
    DispatchRequest Dispatch_;
    TimePoint StartDeadline_{};
    TimePoint AnswerDeadline_{};
    TimePoint StartedAt_{};
  };
  auto refusalReason(const DispatchRequest &Dispatch) const -> ErrorKind;
  auto start(TimePoint Now, Pending Request, AgentOutbox &Out) -> void;

  TargetLimits Limits_;
  ErrorKind Refusal_ = ErrorKind::None;
  std::multimap<TimePoint, Pending> Queued_;
  /// Running requests by id. A second dispatch of an id that is already running
  /// is refused.
  std::map<RequestId, Pending> Running_;
  Micros ServiceTime_{0};
};

} // namespace skylark
