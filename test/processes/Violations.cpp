#include "test/processes/Violations.h"

#include <iostream>

namespace skylark::soak {
namespace {

/// Lines of one promise on the standard output; all are in the log.
constexpr int PrintedLines = 5;

} // namespace

auto Violations::report(const std::string &Promise, const std::string &Subject,
                        const std::string &Details) -> void {
  const auto Line = "BROKEN " + Promise + ": " + Subject + ": " + Details;
  Log_.line(Line);
  const std::lock_guard<std::mutex> Lock(Mutex_);
  if (++Broken_[Promise] <= PrintedLines)
    std::cout << Log_.now() << " " << Line << std::endl;
}

auto Violations::count(const std::string &What, int Number) -> void {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Counts_[What] += Number;
}

auto Violations::total() const -> int {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  int Total = 0;
  for (const auto &[Promise, Count] : Broken_)
    Total += Count;
  return Total;
}

auto Violations::broken() const -> std::map<std::string, int> {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Broken_;
}

auto Violations::counts() const -> std::map<std::string, int> {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Counts_;
}

} // namespace skylark::soak
