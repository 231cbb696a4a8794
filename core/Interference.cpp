#include "core/Interference.h"

#include <algorithm>
#include <cmath>

namespace skylark {
namespace {

/// Growth for each processor of a pair that was never seen together.
constexpr double UnknownPerCore = 0.1;
/// Logarithm of how far an unknown image's tail is taken to be below its
/// target, and its deviation.
constexpr double UnknownSlack = 0.7;
/// Deviations that are kept free between an expected tail and its target.
constexpr double SafeSpreads = 0.8;
constexpr double UnknownSpread = 0.4;
/// Weight of what is assumed beforehand, in squares of processors.
constexpr double PriorWeight = 6.0;
/// Looks before a serving image's own figures count.
constexpr double LeastLooks = 6;
/// Least weight of one look in the mean of an image's own level.
constexpr double LeastOwnWeight = 0.02;
/// Images learned; beyond it new ones are taken for unknown.
constexpr std::size_t FillingLimit = 64;
constexpr std::size_t ServingLimit = 64;
constexpr int FitRounds = 40;
constexpr double MilliCoresPerCore = 1000.0;

/// Differences of a growth for each processor, and of a level, that change no
/// decision.
constexpr double SmallPress = 0.02;
constexpr double SmallLevel = 0.1;

auto isAlike(const PressRow &Left, const PressRow &Right) -> bool {
  return Left.Filling_ == Right.Filling_ &&
         std::abs(Left.PerCore_ - Right.PerCore_) <= SmallPress;
}

auto isAlike(const ServingRow &Left, const ServingRow &Right) -> bool {
  return Left.Serving_ == Right.Serving_ &&
         std::abs(Left.Alone_ - Right.Alone_) <= SmallLevel &&
         std::abs(Left.Spread_ - Right.Spread_) <= SmallLevel &&
         std::equal(Left.Presses_.begin(), Left.Presses_.end(),
                    Right.Presses_.begin(), Right.Presses_.end(),
                    [](const PressRow &One, const PressRow &Other) {
                      return isAlike(One, Other);
                    });
}

auto logOf(Millis Tail) -> double {
  return std::log(std::max(1.0, static_cast<double>(Tail.count())));
}

} // namespace

auto isAlike(const PressTable &Left, const PressTable &Right) -> bool {
  return std::equal(Left.Rows_.begin(), Left.Rows_.end(), Right.Rows_.begin(),
                    Right.Rows_.end(),
                    [](const ServingRow &One, const ServingRow &Other) {
                      return isAlike(One, Other);
                    });
}

auto PressKnowledge::adopt(const PressTable &Table) -> void {
  Table_ = Table;
  Serving_.clear();
  for (const auto &Row : Table.Rows_) {
    auto &Entry = Serving_[Row.Serving_];
    Entry.Alone_ = Row.Alone_;
    Entry.Spread_ = Row.Spread_;
    for (const auto &Each : Row.Presses_)
      Entry.PerCore_[Each.Filling_] = Each.PerCore_;
  }
}

auto PressKnowledge::press(const std::string &Serving,
                           const std::string &Filling,
                           std::int64_t MilliCores) const -> double {
  auto PerCore = UnknownPerCore;
  const auto Known = Serving_.find(Serving);
  if (Known != Serving_.end()) {
    const auto Pair = Known->second.PerCore_.find(Filling);
    if (Pair != Known->second.PerCore_.end())
      PerCore = Pair->second;
  }
  return PerCore * static_cast<double>(MilliCores) / MilliCoresPerCore;
}

auto PressKnowledge::slack(const std::string &Serving, Millis Target) const
    -> double {
  const auto Known = Serving_.find(Serving);
  if (Known == Serving_.end())
    return UnknownSlack;
  return logOf(Target) - Known->second.Alone_ -
         SafeSpreads * Known->second.Spread_;
}

auto InterferenceModel::column(const std::string &Filling)
    -> std::optional<std::size_t> {
  const auto Found = Columns_.find(Filling);
  if (Found != Columns_.end())
    return Found->second;
  if (Images_.size() >= FillingLimit)
    return std::nullopt;
  Columns_[Filling] = Images_.size();
  Images_.push_back(Filling);
  return Images_.size() - 1;
}

auto InterferenceModel::noteOwn(Sums &Seen, double Own) -> void {
  ++Seen.Count_;
  const auto Weight = std::max(1.0 / Seen.Count_, LeastOwnWeight);
  const auto Away = Own - Seen.Own_;
  Seen.Own_ += Weight * Away;
  Seen.Variance_ += Weight * (Away * Away - Seen.Variance_);
}

auto InterferenceModel::learn(const SharingSample &Sample) -> void {
  std::vector<std::pair<std::size_t, double>> Row;
  for (const auto &Each : Sample.Filling_) {
    const auto Column = column(Each.Image_);
    if (Column && Each.Change_ != 0)
      Row.emplace_back(*Column,
                       static_cast<double>(Each.Change_) / MilliCoresPerCore);
  }
  const auto Size = Images_.size();
  for (const auto &Each : Sample.Serving_) {
    if (Serving_.size() >= ServingLimit && Serving_.count(Each.Image_) == 0)
      continue;
    auto &Seen = Serving_[Each.Image_];
    Seen.WithTail_.resize(Size);
    Seen.Products_.resize(Size);
    for (auto &Line : Seen.Products_)
      Line.resize(Size);
    noteOwn(Seen, Each.Own_);
    Changed_ = true;
    if (!Each.Comparable_)
      continue;
    for (const auto &[Left, Amount] : Row) {
      for (const auto &[Right, Other] : Row)
        Seen.Products_[Left][Right] += Amount * Other;
      Seen.WithTail_[Left] += Amount * Each.Change_;
    }
  }
}

auto InterferenceModel::adopt(const PressTable &Table) -> void {
  if (!Prior_.table().Rows_.empty())
    return;
  Prior_.adopt(Table);
  Changed_ = true;
}

auto InterferenceModel::priorOf(const std::string &Serving,
                                const std::string &Filling) const -> double {
  return Prior_.press(Serving, Filling,
                      static_cast<std::int64_t>(MilliCoresPerCore));
}

auto InterferenceModel::pressesOf(const std::string &Serving,
                                  const Sums &Seen) const
    -> std::vector<double> {
  const auto Size = Seen.WithTail_.size();
  std::vector<double> Prior(Size);
  for (std::size_t Column = 0; Column < Size; ++Column)
    Prior[Column] = priorOf(Serving, Images_[Column]);
  auto Weights = Prior;
  // One coordinate at a time goes to its best value while the others stand.
  for (int Round = 0; Round < FitRounds; ++Round) {
    for (std::size_t Column = 0; Column < Size; ++Column) {
      auto Rest = Seen.WithTail_[Column] + PriorWeight * Prior[Column];
      for (std::size_t Other = 0; Other < Size; ++Other)
        if (Other != Column)
          Rest -= Seen.Products_[Column][Other] * Weights[Other];
      const auto Best = Rest / (Seen.Products_[Column][Column] + PriorWeight);
      Weights[Column] = std::max(0.0, Best);
    }
  }
  return Weights;
}

auto InterferenceModel::fit(const std::string &Serving, const Sums &Seen) const
    -> ServingRow {
  const auto Weights = pressesOf(Serving, Seen);
  ServingRow Row;
  Row.Serving_ = Serving;
  Row.Alone_ = Seen.Own_;
  Row.Spread_ = std::min(UnknownSpread, std::sqrt(Seen.Variance_));
  for (std::size_t Column = 0; Column < Weights.size(); ++Column)
    Row.Presses_.push_back({Images_[Column], Weights[Column]});
  return Row;
}

auto InterferenceModel::refresh() -> bool {
  if (!Changed_)
    return false;
  Changed_ = false;
  PressTable Table;
  for (const auto &[Serving, Seen] : Serving_)
    if (Seen.Count_ >= LeastLooks)
      Table.Rows_.push_back(fit(Serving, Seen));
  for (const auto &Row : Prior_.table().Rows_) {
    const auto Found = Serving_.find(Row.Serving_);
    if (Found == Serving_.end() || Found->second.Count_ < LeastLooks)
      Table.Rows_.push_back(Row);
  }
  Knowledge_.adopt(Table);
  return true;
}

} // namespace skylark
