/// \file
/// Defines the agent's admission of quick requests to its target.
#pragma once

#include "core/AgentOutput.h"

#include <map>

namespace skylark {

/// Size of a target as the platform gives it.
struct TargetLimits {
  std::uint32_t Slots_ = 8;
  std::uint32_t Connections_ = 64;
};

/// Admits, orders by deadline, starts and ends quick requests. A refusal is
/// final: a refused request never starts.
class RequestQueue {
public:
  explicit RequestQueue(const TargetLimits &Limits) : Limits_(Limits) {}

  /// Queues a request or refuses it at once with the reason.
  auto admit(TimePoint Now, SessionNumber Session,
             const DispatchRequest &Dispatch, AgentOutbox &Out) -> void;
  /// Refuses every new request with `Reason` from now on; None opens again.
  auto refuseNew(ErrorKind Reason) -> void { Refusal_ = Reason; }
  /// Starts what fits and refuses what has waited too long.
  auto advance(TimePoint Now, AgentOutbox &Out) -> void;
  /// Ends the request that the target answered.
  auto finish(TimePoint Now, const TargetResult &Result, AgentOutbox &Out)
      -> void;
  /// Refuses a request that has not started; no effect on one that has.
  auto cancel(SessionNumber Session, const RequestId &Request, AgentOutbox &Out)
      -> void;

  auto running() const -> std::uint32_t { return Running_.size(); }
  auto queued() const -> std::uint32_t { return Waiting_.size(); }
  auto serviceTime() const -> Micros { return ServiceTime_; }
  auto idle() const -> bool { return Running_.empty() && Waiting_.empty(); }

private:
  struct Pending {
    SessionNumber Session_ = 0;
    DispatchRequest Dispatch_;
    TimePoint StartBy_{};
    TimePoint AnswerBy_{};
    TimePoint StartedAt_{};
  };
  auto refusalOf(const DispatchRequest &Dispatch) const -> ErrorKind;
  auto start(TimePoint Now, Pending Request, AgentOutbox &Out) -> void;

  TargetLimits Limits_;
  ErrorKind Refusal_ = ErrorKind::None;
  std::multimap<TimePoint, Pending> Waiting_;
  /// Keyed by request and connection: two entries may hedge the same id.
  std::map<RequestId, Pending> Running_;
  Micros ServiceTime_{0};
};

} // namespace skylark
