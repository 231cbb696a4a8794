/// \file
/// Defines the policies that choose one of several targets for a quick request.
#pragma once

#include "core/TargetTable.h"

#include <functional>
#include <memory>
#include <random>
#include <string_view>

namespace skylark {

using Random = std::mt19937_64;

/// Inputs of a routing decision.
struct RoutingContext {
  const std::vector<Target *> &Candidates_;
  /// The data centre of the entry that routes the request.
  DataCentreName LocalDataCentre_;
  /// Returns whether a target may be given the request.
  std::function<bool(const Target &)> IsEligible_;
};

/// A strategy for choosing a target.
class RoutingPolicy {
public:
  virtual ~RoutingPolicy() = default;
  /// \returns the chosen target, or null if none is eligible.
  virtual auto choose(const RoutingContext &Context, Random &Generator)
      -> Target * = 0;
};

/// The predicted queueing and service time of a new request at `Target`, from
/// its latest heartbeat and this entry's own outstanding requests.
auto predictedAnswerTime(const Target &Target) -> Micros;

/// Makes the policy of that name: "power-of-two", "random", "round-robin" or
/// "least-loaded". Returns null for any other name.
auto makeRoutingPolicy(std::string_view Name) -> std::unique_ptr<RoutingPolicy>;

} // namespace skylark
