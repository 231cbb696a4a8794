/// \file
/// Defines the callers who are answered once a record of a job is committed.
#pragma once

#include "core/EntryOutput.h"

#include <map>
#include <utility>
#include <vector>

namespace skylark {

/// A caller who is answered once a job's record is committed.
struct WaitingCaller {
  CallerToken Token_ = 0;
  TimePoint ExpiresAt_{};
  /// The error for the caller if the record was certainly never written.
  ErrorKind Refusal_ = ErrorKind::StoreUnavailable;
  /// Whether the caller wants the job's state only.
  bool StateOnly_ = false;
};

/// The callers who wait for one kind of record, by job.
class WaitingCallers {
public:
  /// \returns whether no other caller waits for the job.
  auto add(const JobId &Job, const WaitingCaller &Caller) -> bool;
  /// Removes and returns the callers who wait for a job.
  auto take(const JobId &Job) -> std::vector<WaitingCaller>;
  /// Removes and returns the callers of each job whose first caller has waited
  /// for too long.
  auto takeExpired(TimePoint Now)
      -> std::vector<std::pair<JobId, std::vector<WaitingCaller>>>;
  /// Refuses the callers who wait for a job, since the store refuses to record
  /// it.
  auto refuse(const JobId &Job, ErrorKind Kind, EntryOutbox &Out) -> void;
  /// Refuses all callers, since the shard was lost. The outcome is unknown.
  auto refuseAll(EntryOutbox &Out) -> void;

private:
  std::map<JobId, std::vector<WaitingCaller>> Callers_;
};

} // namespace skylark
