#include "core/RoutingPolicy.h"

#include <algorithm>
#include <array>

namespace skylark {
namespace {

/// Assumed answer time of a target that has not answered yet.
constexpr Micros UnknownAnswerTime{5000};
/// A target in another data centre is chosen only if it is faster by this.
constexpr Micros RemotePenalty{3000};
/// Random draws before a choice falls back to looking at every candidate.
constexpr int DrawLimit = 12;

auto drawIndex(std::size_t Size, Random &Generator) -> std::size_t {
  return std::uniform_int_distribution<std::size_t>(0, Size - 1)(Generator);
}

/// Looks at every candidate, from a random one on, for the first usable one.
auto scanForUsable(const RoutingChoice &Choice, Random &Generator) -> Target * {
  const auto Size = Choice.Candidates_.size();
  const auto First = drawIndex(Size, Generator);
  for (std::size_t Offset = 0; Offset < Size; ++Offset) {
    auto *Each = Choice.Candidates_[(First + Offset) % Size];
    if (Choice.MayUse_(*Each))
      return Each;
  }
  return nullptr;
}

class RandomChoice final : public RoutingPolicy {
public:
  auto choose(const RoutingChoice &Choice, Random &Generator)
      -> Target * override {
    if (Choice.Candidates_.empty())
      return nullptr;
    return scanForUsable(Choice, Generator);
  }
};

class RoundRobin final : public RoutingPolicy {
public:
  auto choose(const RoutingChoice &Choice, Random & /*Generator*/)
      -> Target * override {
    const auto Size = Choice.Candidates_.size();
    for (std::size_t Step = 0; Step < Size; ++Step) {
      auto *Each = Choice.Candidates_[Next_++ % Size];
      if (Choice.MayUse_(*Each))
        return Each;
    }
    return nullptr;
  }

private:
  std::size_t Next_ = 0;
};

/// Trusts the last report alone, as a plain balancer would.
class LeastLoaded final : public RoutingPolicy {
public:
  auto choose(const RoutingChoice &Choice, Random & /*Generator*/)
      -> Target * override {
    Target *Best = nullptr;
    for (auto *Each : Choice.Candidates_)
      if (Choice.MayUse_(*Each) &&
          (Best == nullptr || load(*Each) < load(*Best)))
        Best = Each;
    return Best;
  }

private:
  static auto load(const Target &Each) -> std::uint32_t {
    return Each.Load_.Running_ + Each.Load_.Queued_;
  }
};

/// Draws two targets and takes the one with the shorter predicted answer time,
/// with a penalty for another data centre.
class PowerOfTwo final : public RoutingPolicy {
public:
  auto choose(const RoutingChoice &Choice, Random &Generator)
      -> Target * override {
    if (Choice.Candidates_.empty())
      return nullptr;
    Target *Best = nullptr;
    int Found = 0;
    for (int Draw = 0; Draw < DrawLimit && Found < 2; ++Draw) {
      auto *Each =
          Choice.Candidates_[drawIndex(Choice.Candidates_.size(), Generator)];
      if (Each == Best || !Choice.MayUse_(*Each))
        continue;
      ++Found;
      if (Best == nullptr || cost(Choice, *Each) < cost(Choice, *Best))
        Best = Each;
    }
    return Best != nullptr ? Best : scanForUsable(Choice, Generator);
  }

private:
  static auto cost(const RoutingChoice &Choice, const Target &Each) -> Micros {
    const auto Remote = Each.dataCentre() != Choice.Local_;
    return predictedAnswerTime(Each) + (Remote ? RemotePenalty : Micros{0});
  }
};

template <typename Policy> auto make() -> std::unique_ptr<RoutingPolicy> {
  return std::make_unique<Policy>();
}

struct PolicyName {
  std::string_view Name_;
  std::unique_ptr<RoutingPolicy> (*Make_)();
};

constexpr std::array<PolicyName, 4> Policies{{
    {"power-of-two", make<PowerOfTwo>},
    {"random", make<RandomChoice>},
    {"round-robin", make<RoundRobin>},
    {"least-loaded", make<LeastLoaded>},
}};

} // namespace

auto predictedAnswerTime(const Target &Each) -> Micros {
  const auto Reported =
      Each.Load_.Running_ + Each.Load_.Queued_ + Each.SentSinceReport_;
  const auto Outstanding = std::max(Reported, Each.InFlight_);
  const auto Slots = std::max<std::uint32_t>(Each.Hello_.Slots_, 1);
  auto Service = std::max(Each.Load_.ServiceTime_, Micros{1});
  if (Each.Load_.ServiceTime_ == Micros{0})
    Service =
        Each.AnswerTime_ > Micros{0} ? Each.AnswerTime_ : UnknownAnswerTime;
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
