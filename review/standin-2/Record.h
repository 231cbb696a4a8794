/// \file
/// Defines the record of what was sent, answered and run in a case.
#pragma once

#include "Http.h"

#include <cstdio>
#include <fstream>

namespace skylark::review2 {

/// Writes lines with the milliseconds since its start to a file.
class Record {
public:
  explicit Record(const std::string &File) : Out_(File) {}

  auto now() const -> Millis {
    return std::chrono::duration_cast<Millis>(Clock::now() - Start_);
  }
  auto line(const std::string &Text) -> void {
    char Time[24];
    std::snprintf(Time, sizeof Time, "%9.3f s  ",
                  static_cast<double>(now().count()) / 1000);
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Out_ << Time << Text << std::endl;
  }

private:
  std::mutex Mutex_;
  std::ofstream Out_;
  Clock::time_point Start_ = Clock::now();
};

} // namespace skylark::review2
