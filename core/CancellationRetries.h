/// \file
/// Defines the repetition of cancellations whose outcome is not known.
#pragma once

#include "core/EntryOutput.h"

#include <map>
#include <optional>
#include <vector>

namespace skylark {

/// Cancellations of queues' jobs that callers of this entry have asked for. A
/// cancellation that found no owner, or whose outcome is not known, is repeated
/// after its caller was answered: it is idempotent, and callers rely on it.
class CancellationRetries {
public:
  struct Retry {
    CallerToken Token_ = 0;
    CancelJob Request_;
  };

  /// Records a cancellation that a caller asks for.
  auto add(CallerToken Token, const CancelJob &Request) -> void;
  /// Takes note of the answers to cancellations. Removes those to repetitions,
  /// and tells callers whose cancellation will be repeated that its outcome is
  /// unknown.
  auto settle(TimePoint Now, EntryOutbox &Out) -> void;
  /// Removes and returns the repetitions that are due.
  auto takeDue(TimePoint Now) -> std::vector<Retry>;
  /// Whether no repetition is due or waits for its answer.
  auto idle() const -> bool { return Waiting_.empty() && Repeated_ == 0; }

private:
  struct Cancellation {
    CancelJob Request_;
    /// Nothing for one that its caller has sent.
    std::optional<TimePoint> GiveUpAt_;
  };
  struct WaitingRetry {
    Cancellation Each_;
    TimePoint DueAt_{};
  };

  /// Whether a cancellation with this answer is to be repeated.
  auto mustRepeat(TimePoint Now, const Cancellation &Answered,
                  const CallerReply &Reply) const -> bool;

  /// Those without an answer.
  std::map<CallerToken, Cancellation> Asked_;
  std::vector<WaitingRetry> Waiting_;
  /// Number of repetitions without an answer.
  std::size_t Repeated_ = 0;
  std::uint64_t LastRetry_ = 0;
};

} // namespace skylark
