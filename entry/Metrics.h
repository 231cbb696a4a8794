/// \file
/// Defines the export of an entry's metrics in Prometheus text format.
#pragma once

#include "core/Counters.h"
#include "core/LedgerSize.h"
#include "core/Time.h"

#include <memory>
#include <string>

namespace skylark {

/// Gauges of an entry at one point in time.
struct Gauges {
  std::size_t Targets_ = 0;
  std::size_t Peers_ = 0;
  /// Open connections to and from other entries.
  std::size_t OutgoingLinks_ = 0;
  std::size_t IncomingLinks_ = 0;
  std::size_t OwnedShards_ = 0;
  std::size_t InFlight_ = 0;
  /// Of the shards that the entry owns.
  LedgerSize Ledgers_;
  /// Requests of callers that the entry has not answered.
  std::size_t UnansweredRequests_ = 0;
  /// Those, and the ones whose answers are not written completely.
  std::size_t OpenRequests_ = 0;
  /// Connections of callers, and how often they have reached their limit.
  std::size_t Connections_ = 0;
  std::uint64_t ConnectionLimitsReached_ = 0;
  /// Connections that could not be accepted.
  std::uint64_t AcceptFailures_ = 0;
  std::uint64_t Revision_ = 0;
};

/// A histogram of the time from receiving a request to answering it, with
/// logarithmic buckets.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram &) = delete;
  auto operator=(const LatencyHistogram &) -> LatencyHistogram & = delete;

  auto record(Micros Elapsed) -> void;
  /// Returns the histogram, in seconds, in Prometheus text format.
  /// \param Name the name of the metric.
  auto render(const std::string &Name) const -> std::string;

private:
  class Implementation;
  std::unique_ptr<Implementation> Implementation_;
};

/// Returns all counters and gauges in Prometheus text format.
auto renderMetrics(const Counters &Counters, const Gauges &Gauges)
    -> std::string;

} // namespace skylark
