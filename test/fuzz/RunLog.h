/// \file
/// Defines the record of what the workers of a simulation have run, which finds
/// out what must not have happened.
#pragma once

#include "test/fuzz/VirtualTime.h"

#include <map>
#include <string>
#include <vector>

namespace skylark::Fuzz {

class RunLog {
public:
  explicit RunLog(const VirtualTime &Time) : Time_(Time) {}

  /// \param Run how the log names the attempt and its worker.
  auto started(const std::string &Task, const std::string &Run) -> void;
  auto ended(const std::string &Task) -> void { Running_.erase(Task); }
  /// A worker was told to forget that the task has finished.
  auto finishAcknowledged(const std::string &Task, const std::string &Run)
      -> void {
    Finished_[Task] = Run;
  }
  auto violate(const std::string &Violation) -> void;

  auto startCount() const -> int { return StartCount_; }
  auto violations() const -> const std::vector<std::string> & {
    return Violations_;
  }

private:
  const VirtualTime &Time_;
  std::map<std::string, std::string> Running_;
  std::map<std::string, std::string> Finished_;
  std::vector<std::string> Violations_;
  int StartCount_ = 0;
};

} // namespace skylark::Fuzz
