/// \file
/// Declares the checks of what callers and workers have seen.
#pragma once

#include "test/processes/Traffic.h"

namespace skylark::soak {

/// Checks tasks that last while the soak runs, and everything at its end.
class Promises {
public:
  Promises(Site &System, review::RunLog &Runs, review::Record &Log,
           Traffic &Clients, Violations &Found)
      : Site_(System), Runs_(Runs), Log_(Log), Traffic_(Clients),
        Violations_(Found) {}

  /// Reports each task that lasts and isn't at work 6 s after its last run
  /// although everything has been calm; to be called often.
  auto checkLastingTasks() -> void;
  /// Asks for all jobs, some time after the end of the traffic, and checks all
  /// runs.
  auto checkEnd() -> void;

private:
  auto queryAll(const std::vector<JobRecord> &Jobs) -> void;
  auto checkStandstill(const std::vector<JobRecord> &Open) -> void;
  auto checkRuns(const std::vector<JobRecord> &Jobs) -> void;

  Site &Site_;
  review::RunLog &Runs_;
  review::Record &Log_;
  Traffic &Traffic_;
  Violations &Violations_;
  std::set<std::string> ReportedTasks_;
};

} // namespace skylark::soak
