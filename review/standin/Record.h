/// \file
/// Defines the record of a case: what was sent, answered and run.
#pragma once

#include "Http.h"

#include <cstdio>
#include <fstream>

namespace review {

class Record {
public:
  explicit Record(const std::string &Path)
      : File_(Path), StartedAt_(Clock::now()) {}

  auto now() const -> double {
    return std::chrono::duration<double>(Clock::now() - StartedAt_).count();
  }

  auto line(const std::string &Text) -> void {
    char Time[32];
    std::snprintf(Time, sizeof Time, "%8.3f ", now());
    const std::lock_guard<std::mutex> Lock(Mutex_);
    File_ << Time << Text << std::endl;
  }

private:
  std::mutex Mutex_;
  std::ofstream File_;
  Clock::time_point StartedAt_;
};

} // namespace review
