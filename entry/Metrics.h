/// \file
/// Defines an entry's metrics in Prometheus text.
#pragma once

#include "core/Counters.h"
#include "core/Time.h"

#include <memory>
#include <string>

namespace skylark {

/// Gauges of an entry at one moment.
struct Gauges {
  std::size_t Targets_ = 0;
  std::size_t Peers_ = 0;
  std::size_t OwnedShards_ = 0;
  std::size_t InFlight_ = 0;
  std::uint64_t Revision_ = 0;
};

/// A histogram of answer times.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram &) = delete;
  auto operator=(const LatencyHistogram &) -> LatencyHistogram & = delete;

  auto record(Micros Took) -> void;
  /// The histogram as Prometheus text under `Name`, in seconds.
  auto render(const std::string &Name) const -> std::string;

private:
  class Implementation;
  std::unique_ptr<Implementation> Implementation_;
};

/// Every counter and gauge as Prometheus text.
auto renderMetrics(const Counters &Counters, const Gauges &Gauges)
    -> std::string;

} // namespace skylark
