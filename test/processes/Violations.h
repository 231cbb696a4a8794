/// \file
/// Declares the list of broken promises.
#pragma once

#include "review/standin/Record.h"

#include <map>
#include <mutex>
#include <string>

namespace skylark::soak {

/// Counts and reports broken promises. Thread-safe.
class Violations {
public:
  explicit Violations(review::Record &Log) : Log_(Log) {}

  auto report(const std::string &Promise, const std::string &Subject,
              const std::string &Details) -> void;
  /// Counts what breaks no promise.
  auto count(const std::string &What, int Number = 1) -> void;
  auto total() const -> int;
  auto broken() const -> std::map<std::string, int>;
  auto counts() const -> std::map<std::string, int>;

private:
  review::Record &Log_;
  mutable std::mutex Mutex_;
  std::map<std::string, int> Broken_;
  std::map<std::string, int> Counts_;
};

} // namespace skylark::soak
