#include "test/fuzz/OperatorKeys.h"

#include "core/EnvironmentView.h"
#include "platform/MetadataStore.h"
#include "test/fuzz/VirtualHttpStore.h"

#include <algorithm>
#include <array>
#include <functional>
#include <random>
#include <sstream>

namespace skylark::Fuzz {
namespace {

constexpr Micros RunDuration{Seconds{30}};
constexpr Micros Step{Millis{50}};
/// Within this time a change must be held, on a quick link.
constexpr Micros ConfigApply{Seconds{2}};
/// How much longer it may take after a disruption in which calls failed:
/// a call that is still waiting, the backoff and the pauses between listings.
constexpr Micros Recovery{Millis{3500}};
/// The time after a freeze from which on the entry must be up to date.
constexpr Micros StableWindow{Seconds{3}};
constexpr std::size_t LargeConfiguration = 240000;
constexpr std::size_t SlowLink = 1250;
constexpr std::size_t QuickLink = 125000;

const std::array<std::string, 3> Zones{"a", "b", "c"};

constexpr std::array<const char *,
                     static_cast<std::size_t>(StoreDisruption::Count)>
    Names{"deaf-watches", "dropped-history", "shuffled-events",
          "late-answers", "stale-ranges",    "lost-answers",
          "refusals",     "change-series"};

/// The flag of the fake store that a kind of disruption sets; null for those
/// that are carried out otherwise.
constexpr std::array<bool VirtualHttpStore::*,
                     static_cast<std::size_t>(StoreDisruption::Count)>
    Flags{&VirtualHttpStore::WatchesHearNothing_,
          nullptr,
          &VirtualHttpStore::EventsAreShuffled_,
          &VirtualHttpStore::AnswersAreLate_,
          &VirtualHttpStore::RangesAreStale_,
          &VirtualHttpStore::AnswersAreLost_,
          &VirtualHttpStore::CallsAreRefused_,
          nullptr};

/// Whether calls fail, or their answers prove nothing, under a disruption.
auto delaysChanges(StoreDisruption Kind) -> bool {
  switch (Kind) {
  case StoreDisruption::LateAnswers:
  case StoreDisruption::StaleRanges:
  case StoreDisruption::LostAnswers:
  case StoreDisruption::Refusals:
    return true;
  default:
    return false;
  }
}

/// The changes of one key, and what is held of them.
struct KeyHistory {
  struct Change {
    Micros At_{};
    /// The version, or 1 for a key that exists and 0 for one that doesn't.
    int State_ = 0;
  };
  std::vector<Change> Changes_{{Micros{0}, 0}};
  /// The first change that may be the one held.
  std::size_t Held_ = 0;

  /// Notes which state is held. \returns whether it may be that of a change
  /// that isn't older than what was held before.
  auto hold(int State) -> bool {
    while (Held_ < Changes_.size() && Changes_[Held_].State_ != State)
      ++Held_;
    return Held_ < Changes_.size();
  }
  /// Returns the newest change that is due but not held; 0 if there is none.
  auto overdue(Micros Now, int State,
               const std::function<Micros(Micros)> &DueAt) -> std::size_t {
    auto Due = Changes_.size() - 1;
    while (Due > Held_ && DueAt(Changes_[Due].At_) >= Now)
      --Due;
    for (auto Index = Due; Index < Changes_.size(); ++Index)
      if (Changes_[Index].State_ == State) {
        Held_ = std::max(Held_, Index);
        return 0;
      }
    return Due;
  }
};

/// One run: an entry's view of the store, an agent that takes each newer
/// configuration from it, and an operator.
class OperatorKeysRun {
public:
  explicit OperatorKeysRun(const OperatorKeysPlan &Plan)
      : Plan_(Plan), Generator_(Plan.Seed_ * 7919 + 13), Http_(Plan.Seed_) {
    Http_.BytesPerMillisecond_ = Plan.LinkBytesPerMillisecond_;
    writeConfiguration();
  }

  auto run() -> std::vector<std::string> {
    for (; Now_ < RunDuration && Violations_.empty(); Now_ += Step) {
      disturb();
      operate();
      Http_.ClientIsFrozen_ = isFrozen();
      Http_.advance(Now_);
      if (Http_.ClientIsFrozen_)
        continue;
      const auto Present = moment();
      View_.tick(Present);
      EntryOutbox Out;
      Client_.advance(Present, Out);
      for (const auto &Each : Out)
        if (const auto *Call = std::get_if<CallStore>(&Each))
          carryOut(*Call);
      check();
    }
    return Violations_;
  }

private:
  static auto policy() -> PolicySettings {
    PolicySettings Policy;
    Policy.ReadInterval_ = Millis{400};
    Policy.FreshnessWindow_ = Millis{1500};
    return Policy;
  }
  auto moment() const -> Moment {
    return {TimePoint(Seconds{1000}) + Now_, WallTime(Seconds{1000})};
  }
  auto draw(std::uint32_t Max) -> std::uint32_t {
    return std::uniform_int_distribution<std::uint32_t>(0, Max)(Generator_);
  }
  auto carryOut(const CallStore &Call) -> void {
    Store_.call(Call.Call_, Call.Operation_, [this](const StoreResult &Got) {
      EntryOutbox Ignored;
      Client_.answered(moment(), Got, Ignored);
    });
  }

  auto disturb() -> void {
    for (const auto Flag : Flags)
      if (Flag != nullptr)
        Http_.*Flag = false;
    SeriesIsOn_ = false;
    for (const auto &Each : Plan_.Disruptions_) {
      const auto Flag = Flags[static_cast<std::size_t>(Each.Kind_)];
      const auto IsOn = Each.Start_ <= Now_ && Now_ < Each.End_;
      if (IsOn && Flag != nullptr)
        Http_.*Flag = true;
      SeriesIsOn_ |= IsOn && Each.Kind_ == StoreDisruption::ChangeSeries;
      const auto DropsHistory = Each.Kind_ == StoreDisruption::DeafWatches ||
                                Each.Kind_ == StoreDisruption::DroppedHistory;
      if (DropsHistory && Each.End_ <= Now_ && Now_ < Each.End_ + Step)
        Http_.dropHistory();
    }
  }

  auto isFrozen() const -> bool {
    return std::any_of(Plan_.Freezes_.begin(), Plan_.Freezes_.end(),
                       [&](const TimedFreeze &Each) {
                         return Each.Start_ <= Now_ && Now_ < Each.End_;
                       });
  }

  auto operate() -> void {
    if (Now_ >= NextOtherWriteAt_) {
      Http_.put("other", "");
      NextOtherWriteAt_ = Now_ + Millis{50 + draw(150)};
    }
    if (Now_ < NextChangeAt_)
      return;
    NextChangeAt_ =
        Now_ + Millis{SeriesIsOn_ ? 80 + draw(70) : 200 + draw(2800)};
    if (SeriesIsOn_ || draw(1) == 0)
      writeConfiguration();
    if (draw(SeriesIsOn_ ? 7 : 1) == 0)
      changeZone(draw(static_cast<std::uint32_t>(Zones.size()) - 1));
  }
  auto writeConfiguration() -> void {
    const auto Version = static_cast<int>(Configuration_.Changes_.size());
    Http_.put("op/config", R"({"routes":[],"services":[{"name":")" +
                               std::to_string(Version) + R"("}],"padding":")" +
                               std::string(Plan_.ConfigurationSize_, 'x') +
                               R"("})");
    Configuration_.Changes_.push_back({Now_, Version});
  }
  auto changeZone(std::size_t Zone) -> void {
    auto &Changes = Evacuations_[Zone].Changes_;
    const auto IsOut = Changes.back().State_ == 0;
    const auto Key = "op/evacuate/" + Zones[Zone];
    if (IsOut)
      Http_.put(Key, "{}");
    else
      Http_.remove(Key);
    Changes.push_back({Now_, IsOut ? 1 : 0});
  }

  /// When a change must be held, if nothing delays it.
  auto applyLimit(Micros At, bool IsConfiguration) const -> Micros {
    if (!IsConfiguration || Plan_.ConfigurationSize_ == 0)
      return ConfigApply;
    // A large configuration is read again less often, and the watch must have
    // broken off before a series is noticed.
    const auto Transfer = Millis{Plan_.ConfigurationSize_ * 4 / 3 /
                                 Plan_.LinkBytesPerMillisecond_};
    const auto IsMissed =
        std::any_of(Plan_.Disruptions_.begin(), Plan_.Disruptions_.end(),
                    [&](const TimedDisruption &Each) {
                      return Each.Kind_ == StoreDisruption::DeafWatches &&
                             Each.Start_ <= At + ConfigApply && At <= Each.End_;
                    });
    const auto Listing = Millis{Plan_.ConfigurationSize_ * 4 / 3 / 250};
    return ConfigApply + 2 * Transfer + (IsMissed ? Listing : Millis{0});
  }
  /// When calls no longer fail by a disruption, and the entry notices it.
  auto endOf(const TimedDisruption &Disruption) const -> Micros {
    auto End = Disruption.End_;
    for (const auto &Each : Plan_.Freezes_)
      if (Each.Start_ < End + Recovery && End < Each.End_)
        End = Each.End_;
    return End;
  }
  auto dueAt(Micros At, bool IsConfiguration) const -> Micros {
    const auto Limit = applyLimit(At, IsConfiguration);
    auto Due = At + Limit;
    auto IsMoved = true;
    while (std::exchange(IsMoved, false)) {
      for (const auto &Each : Plan_.Disruptions_) {
        const auto End = endOf(Each);
        if (delaysChanges(Each.Kind_) && Each.Start_ < Due &&
            End + Recovery + Limit > Due && At < End + Recovery) {
          Due = End + Recovery + Limit;
          IsMoved = true;
        }
      }
      for (const auto &Each : Plan_.Freezes_)
        if (Each.Start_ < Due && Each.End_ + StableWindow > Due) {
          Due = Each.End_ + StableWindow;
          IsMoved = true;
        }
    }
    return Due;
  }

  auto report(const std::string &Text) -> void {
    Violations_.push_back(
        "at " +
        std::to_string(std::chrono::duration_cast<Millis>(Now_).count()) +
        " ms: " + Text);
  }
  auto checkKey(const std::string &Name, KeyHistory &Key, int Held,
                bool IsConfiguration) -> void {
    if (!Key.hold(Held)) {
      report(Name + " went back to " + std::to_string(Held));
      return;
    }
    const auto Overdue = Key.overdue(
        Now_, Held, [&](Micros At) { return dueAt(At, IsConfiguration); });
    if (Overdue == 0)
      return;
    const auto MadeAt =
        std::chrono::duration_cast<Millis>(Key.Changes_[Overdue].At_);
    report(Name + " is still at " + std::to_string(Held) + ", change " +
           std::to_string(Overdue) + " was made at " +
           std::to_string(MadeAt.count()) + " ms");
  }
  auto check() -> void {
    const auto &Held = View_.configuration();
    if (Held.Head_.Revision_ < Revision_)
      report("the revision decreased");
    Revision_ = Held.Head_.Revision_;
    if (Held.Document_.Services_.empty()) {
      checkKey("the configuration", Configuration_, 0, true);
      return;
    }
    checkKey("the configuration", Configuration_,
             std::stoi(Held.Document_.Services_.front().Name_.Value_), true);
    const auto ForAgents = Held.forAgents();
    if (ForAgents.Head_.Revision_ > Agent_.Revision_)
      Agent_ = ForAgents.Head_;
    for (std::size_t Zone = 0; Zone < Zones.size(); ++Zone) {
      checkKey("the entry's evacuation " + Zones[Zone], Evacuations_[Zone],
               Held.Head_.isOut({Zones[Zone]}) ? 1 : 0, false);
      auto &AtAgent = EvacuationsAtAgent_[Zone];
      AtAgent.Changes_ = Evacuations_[Zone].Changes_;
      checkKey("the agent's evacuation " + Zones[Zone], AtAgent,
               Agent_.isOut({Zones[Zone]}) ? 1 : 0, false);
    }
  }

  const OperatorKeysPlan &Plan_;
  std::mt19937_64 Generator_;
  Micros Now_{0};
  VirtualHttpStore Http_;
  Platform::MetadataStore Store_{
      Http_, "store", {{}, policy()}, [this] { return moment().Steady_; }};
  Counters Counters_;
  StoreClient Client_{100, Counters_};
  EnvironmentView View_{
      {"test"}, {{"entry"}, 1, "entry:1", 1000}, policy(), Client_};
  EnvironmentHead Agent_;
  KeyHistory Configuration_;
  std::array<KeyHistory, 3> Evacuations_;
  std::array<KeyHistory, 3> EvacuationsAtAgent_;
  Revision Revision_ = 0;
  bool SeriesIsOn_ = false;
  Micros NextChangeAt_{Millis{1000}};
  Micros NextOtherWriteAt_{0};
  std::vector<std::string> Violations_;
};

/// Draws freezes, by a generator of their own, so that a seed keeps the rest of
/// its plan.
auto drawFreezes(OperatorKeysPlan &Plan) -> void {
  std::mt19937_64 Generator(Plan.Seed_ * 15485863 + 11);
  const auto Draw = [&](std::uint32_t Max) {
    return std::uniform_int_distribution<std::uint32_t>(0, Max)(Generator);
  };
  if (Draw(1) == 0)
    return;
  for (const auto &Each : Plan.Disruptions_) {
    if (Each.Kind_ != StoreDisruption::ChangeSeries)
      continue;
    const auto Start = Each.Start_ + Millis{500 + Draw(1500)};
    Plan.Freezes_.push_back({Start, Start + Millis{1000 + Draw(3000)}});
  }
}

} // namespace

auto planOperatorKeys(std::uint64_t Seed) -> OperatorKeysPlan {
  std::mt19937_64 Generator(Seed * 104729 + 7);
  const auto Draw = [&](std::uint32_t Max) {
    return std::uniform_int_distribution<std::uint32_t>(0, Max)(Generator);
  };
  OperatorKeysPlan Plan;
  Plan.Seed_ = Seed;
  Plan.ConfigurationSize_ = Draw(2) == 0 ? LargeConfiguration : 0;
  Plan.LinkBytesPerMillisecond_ = Draw(1) == 0 ? SlowLink : QuickLink;
  for (std::uint32_t Index = 0; Index < 6; ++Index) {
    TimedDisruption Each;
    Each.Kind_ = static_cast<StoreDisruption>(
        Draw(static_cast<std::uint32_t>(StoreDisruption::Count) - 1));
    Each.Start_ = Millis{1000 + Draw(22000)};
    Each.End_ = Each.Start_ + Millis{Each.Kind_ == StoreDisruption::ChangeSeries
                                         ? 2000 + Draw(4000)
                                         : 500 + Draw(2000)};
    Plan.Disruptions_.push_back(Each);
  }
  drawFreezes(Plan);
  return Plan;
}

auto runOperatorKeys(const OperatorKeysPlan &Plan) -> std::vector<std::string> {
  return OperatorKeysRun(Plan).run();
}

auto describe(const OperatorKeysPlan &Plan) -> std::string {
  std::ostringstream Out;
  Out << "configurations of " << Plan.ConfigurationSize_ << " bytes, link of "
      << Plan.LinkBytesPerMillisecond_ << " bytes per ms";
  for (const auto &Each : Plan.Disruptions_)
    Out << ", " << Names[static_cast<std::size_t>(Each.Kind_)] << " from "
        << Each.Start_.count() / 1000 << " to " << Each.End_.count() / 1000
        << " ms";
  for (const auto &Each : Plan.Freezes_)
    Out << ", frozen from " << Each.Start_.count() / 1000 << " to "
        << Each.End_.count() / 1000 << " ms";
  return Out.str();
}

} // namespace skylark::Fuzz
