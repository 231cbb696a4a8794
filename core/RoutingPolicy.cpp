#include "core/RoutingPolicy.h"

#include <algorithm>
#include <array>

namespace skylark {
namespace {

/// Assumed answer time of a target for which no answer has been measured.
constexpr Micros DefaultAnswerTime{5000};
/// Added to the predicted answer time of a target in another data centre.
constexpr Micros RemotePenalty{3000};
/// Maximum number of random draws; if all of them yield ineligible targets, the
/// policy scans all candidates.
constexpr int MaxDraws = 12;

auto drawIndex(std::size_t Size, Random &Generator) -> std::size_t {
  return std::uniform_int_distribution<std::size_t>(0, Size - 1)(Generator);
}

/// Scans all candidates, starting at a random one, for the first eligible one.
auto scanForEligible(const RoutingContext &Context, Random &Generator)
    -> Target * {
  const auto Size = Context.Candidates_.size();
  const auto First = drawIndex(Size, Generator);
  for (std::size_t Offset = 0; Offset < Size; ++Offset) {
    auto *Each = Context.Candidates_[(First + Offset) % Size];
    if (Context.IsEligible_(*Each))
      return Each;
  }
  return nullptr;
}

class RandomChoice final : public RoutingPolicy {
public:
  auto choose(const RoutingContext &Context, Random &Generator)
      -> Target * override {
    if (Context.Candidates_.empty())
      return nullptr;
    return scanForEligible(Context, Generator);
  }
};

class RoundRobin final : public RoutingPolicy {
public:
  auto choose(const RoutingContext &Context, Random & /*Generator*/)
      -> Target * override {
    const auto Size = Context.Candidates_.size();
    for (std::size_t Step = 0; Step < Size; ++Step) {
      auto *Each = Context.Candidates_[Next_++ % Size];
      if (Context.IsEligible_(*Each))
        return Each;
    }
    return nullptr;
  }

private:
  std::size_t Next_ = 0;
};

/// Compares targets by the load in their last heartbeat only, as a basic load
/// balancer would.
class LeastLoaded final : public RoutingPolicy {
public:
  auto choose(const RoutingContext &Context, Random & /*Generator*/)
      -> Target * override {
    Target *Best = nullptr;
    for (auto *Each : Context.Candidates_)
      if (Context.IsEligible_(*Each) &&
          (Best == nullptr || load(*Each) < load(*Best)))
        Best = Each;
    return Best;
  }

private:
  static auto load(const Target &Each) -> std::uint32_t {
    return Each.Load_.Running_ + Each.Load_.Queued_;
  }
};

/// Power of two choices: draws two targets at random and takes the one with the
/// shorter predicted answer time, with a penalty for another data centre.
class PowerOfTwo final : public RoutingPolicy {
public:
  auto choose(const RoutingContext &Context, Random &Generator)
      -> Target * override {
    if (Context.Candidates_.empty())
      return nullptr;
    Target *Best = nullptr;
    int EligibleCount = 0;
    for (int Draw = 0; Draw < MaxDraws && EligibleCount < 2; ++Draw) {
      auto *Each =
          Context.Candidates_[drawIndex(Context.Candidates_.size(), Generator)];
      if (Each == Best || !Context.IsEligible_(*Each))
        continue;
      ++EligibleCount;
      if (Best == nullptr || cost(Context, *Each) < cost(Context, *Best))
        Best = Each;
    }
    return Best != nullptr ? Best : scanForEligible(Context, Generator);
  }

private:
  static auto cost(const RoutingContext &Context, const Target &Each)
      -> Micros {
    const auto Remote = Each.dataCentre() != Context.LocalDataCentre_;
    return predictedAnswerTime(Each) + (Remote ? RemotePenalty : Micros{0});
  }
};

template <typename Policy> auto make() -> std::unique_ptr<RoutingPolicy> {
  return std::make_unique<Policy>();
}

struct NamedPolicy {
  std::string_view Name_;
  std::unique_ptr<RoutingPolicy> (*Make_)();
};

constexpr std::array<NamedPolicy, 4> Policies{{
    {"power-of-two", make<PowerOfTwo>},
    {"random", make<RandomChoice>},
    {"round-robin", make<RoundRobin>},
    {"least-loaded", make<LeastLoaded>},
}};

} // namespace

auto predictedAnswerTime(const Target &Each) -> Micros {
  const auto Reported =
      Each.Load_.Running_ + Each.Load_.Queued_ + Each.SentSinceHeartbeat_;
  const auto Outstanding = std::max(Reported, Each.InFlight_);
  const auto Slots = std::max<std::uint32_t>(Each.Hello_.Slots_, 1);
  auto Service = std::max(Each.Load_.ServiceTime_, Micros{1});
  if (Each.Load_.ServiceTime_ == Micros{0})
    Service = Each.MeanAnswerTime_ > Micros{0} ? Each.MeanAnswerTime_
                                               : DefaultAnswerTime;
  const auto Waiting = Outstanding < Slots ? 0 : Outstanding - Slots + 1;
  return Service + Service * Waiting / Slots;
}

auto makeRoutingPolicy(std::string_view Name)
    -> std::unique_ptr<RoutingPolicy> {
  for (const auto &Each : Policies)
    if (Each.Name_ == Name)
      return Each.Make_();
  return nullptr;
}

} // namespace skylark
