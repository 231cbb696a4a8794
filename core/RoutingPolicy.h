/// \file
/// Defines how one of several targets is chosen for a quick request.
#pragma once

#include "core/TargetTable.h"

#include <functional>
#include <memory>
#include <random>
#include <string_view>

namespace skylark {

using Random = std::mt19937_64;

/// What a policy may know of a choice.
struct RoutingChoice {
  const std::vector<Target *> &Candidates_;
  /// The data centre of the choosing entry.
  DataCentreName Local_;
  /// True for a target that may be given the request at all.
  std::function<bool(const Target &)> MayUse_;
};

/// A strategy for choosing a target.
class RoutingPolicy {
public:
  virtual ~RoutingPolicy() = default;
  /// Chooses a target, or returns null where none may be used.
  virtual auto choose(const RoutingChoice &Choice, Random &Generator)
      -> Target * = 0;
};

/// The time that a new request would wait and run at `Target`, as predicted
/// from its heartbeat and from this entry's own requests.
auto predictedAnswerTime(const Target &Target) -> Micros;

/// Makes the policy of that name: "power-of-two", "random", "round-robin" or
/// "least-loaded". Returns null for any other name.
auto makeRoutingPolicy(std::string_view Name) -> std::unique_ptr<RoutingPolicy>;

} // namespace skylark
