#include "core/Interference.h"

#include <algorithm>
#include <cmath>

namespace skylark {
namespace {

/// Growth of a tail's logarithm per processor for a pair of images without
/// samples.
constexpr double DefaultGrowthPerCore = 0.1;
/// Slack, in logarithm of tail latency, of a serving image without a profile.
constexpr double DefaultSlack = 0.7;
/// Safety margin between the expected tail and its target, in standard
/// deviations.
constexpr double SafetyDeviations = 0.8;
/// Upper limit of the standard deviation in a profile.
constexpr double MaxBaselineDeviation = 0.4;
/// Regularization weight of the prior, in squares of processors.
constexpr double PriorWeight = 6.0;
/// Samples of a serving image before its fitted profile replaces the prior.
constexpr double MinSampleCount = 6;
/// Least weight of one sample in the average baseline, so that old samples
/// decay.
constexpr double MinBaselineWeight = 0.02;
/// Limits on the number of images in the model; the predictor uses its defaults
/// for all others.
constexpr std::size_t MaxBestEffortImages = 64;
constexpr std::size_t MaxServingImages = 64;
/// Passes of coordinate descent in one fit.
constexpr int FitIterations = 40;
constexpr double MilliCoresPerCore = 1000.0;

/// Differences in growth per processor, and in level, that change no decision.
constexpr double GrowthPerCoreTolerance = 0.02;
constexpr double LevelTolerance = 0.1;

auto isApproxEqual(const InterferenceCoefficient &Left,
                   const InterferenceCoefficient &Right) -> bool {
  return Left.BestEffortImage_ == Right.BestEffortImage_ &&
         std::abs(Left.PerCore_ - Right.PerCore_) <= GrowthPerCoreTolerance;
}

auto isApproxEqual(const ServingProfile &Left, const ServingProfile &Right)
    -> bool {
  return Left.ServingImage_ == Right.ServingImage_ &&
         std::abs(Left.MeanBaseline_ - Right.MeanBaseline_) <= LevelTolerance &&
         std::abs(Left.BaselineDeviation_ - Right.BaselineDeviation_) <=
             LevelTolerance &&
         std::equal(Left.Coefficients_.begin(), Left.Coefficients_.end(),
                    Right.Coefficients_.begin(), Right.Coefficients_.end(),
                    [](const InterferenceCoefficient &One,
                       const InterferenceCoefficient &Other) {
                      return isApproxEqual(One, Other);
                    });
}

auto logOf(Millis Tail) -> double {
  return std::log(std::max(1.0, static_cast<double>(Tail.count())));
}

} // namespace

auto isApproxEqual(const InterferenceTable &Left,
                   const InterferenceTable &Right) -> bool {
  return std::equal(Left.Rows_.begin(), Left.Rows_.end(), Right.Rows_.begin(),
                    Right.Rows_.end(),
                    [](const ServingProfile &One, const ServingProfile &Other) {
                      return isApproxEqual(One, Other);
                    });
}

auto InterferencePredictor::adopt(const InterferenceTable &Table) -> void {
  Table_ = Table;
  Serving_.clear();
  for (const auto &Row : Table.Rows_) {
    auto &Profile = Serving_[Row.ServingImage_];
    Profile.MeanBaseline_ = Row.MeanBaseline_;
    Profile.BaselineDeviation_ = Row.BaselineDeviation_;
    for (const auto &Each : Row.Coefficients_)
      Profile.PerCore_[Each.BestEffortImage_] = Each.PerCore_;
  }
}

auto InterferencePredictor::predictGrowth(const std::string &Serving,
                                          const std::string &BestEffort,
                                          std::int64_t MilliCores) const
    -> double {
  auto PerCore = DefaultGrowthPerCore;
  const auto Indexed = Serving_.find(Serving);
  if (Indexed != Serving_.end()) {
    const auto Coefficient = Indexed->second.PerCore_.find(BestEffort);
    if (Coefficient != Indexed->second.PerCore_.end())
      PerCore = Coefficient->second;
  }
  return PerCore * static_cast<double>(MilliCores) / MilliCoresPerCore;
}

auto InterferencePredictor::slack(const std::string &Serving,
                                  Millis Target) const -> double {
  const auto Indexed = Serving_.find(Serving);
  if (Indexed == Serving_.end())
    return DefaultSlack;
  return logOf(Target) - Indexed->second.MeanBaseline_ -
         SafetyDeviations * Indexed->second.BaselineDeviation_;
}

auto InterferenceModel::column(const std::string &BestEffort)
    -> std::optional<std::size_t> {
  const auto Found = Columns_.find(BestEffort);
  if (Found != Columns_.end())
    return Found->second;
  if (Images_.size() >= MaxBestEffortImages)
    return std::nullopt;
  Columns_[BestEffort] = Images_.size();
  Images_.push_back(BestEffort);
  return Images_.size() - 1;
}

auto InterferenceModel::recordBaseline(ServingStats &Stats, double Baseline)
    -> void {
  ++Stats.SampleCount_;
  const auto Weight = std::max(1.0 / Stats.SampleCount_, MinBaselineWeight);
  const auto Deviation = Baseline - Stats.Baseline_;
  Stats.Baseline_ += Weight * Deviation;
  Stats.Variance_ += Weight * (Deviation * Deviation - Stats.Variance_);
}

auto InterferenceModel::learn(const ColocationSample &Sample) -> void {
  std::vector<std::pair<std::size_t, double>> Row;
  for (const auto &Each : Sample.BestEffortWork_) {
    const auto Column = column(Each.Image_);
    if (Column && Each.Change_ != 0)
      Row.emplace_back(*Column,
                       static_cast<double>(Each.Change_) / MilliCoresPerCore);
  }
  const auto ColumnCount = Images_.size();
  for (const auto &Each : Sample.Serving_) {
    if (Serving_.size() >= MaxServingImages && Serving_.count(Each.Image_) == 0)
      continue;
    auto &Stats = Serving_[Each.Image_];
    Stats.TailProducts_.resize(ColumnCount);
    Stats.UsageProducts_.resize(ColumnCount);
    for (auto &Products : Stats.UsageProducts_)
      Products.resize(ColumnCount);
    recordBaseline(Stats, Each.Baseline_);
    RefitNeeded_ = true;
    if (!Each.ChangeKnown_)
      continue;
    // Adds the sample's changes to the normal equations.
    for (const auto &[ChangedColumn, CoreChange] : Row) {
      for (const auto &[OtherColumn, OtherCoreChange] : Row)
        Stats.UsageProducts_[ChangedColumn][OtherColumn] +=
            CoreChange * OtherCoreChange;
      Stats.TailProducts_[ChangedColumn] += CoreChange * Each.Change_;
    }
  }
}

auto InterferenceModel::adopt(const InterferenceTable &Table) -> void {
  if (!Prior_.table().Rows_.empty())
    return;
  Prior_.adopt(Table);
  RefitNeeded_ = true;
}

auto InterferenceModel::priorPerCore(const std::string &Serving,
                                     const std::string &BestEffort) const
    -> double {
  return Prior_.predictGrowth(Serving, BestEffort,
                              static_cast<std::int64_t>(MilliCoresPerCore));
}

auto InterferenceModel::fitCoefficients(const std::string &Serving,
                                        const ServingStats &Stats) const
    -> std::vector<double> {
  const auto ColumnCount = Stats.TailProducts_.size();
  std::vector<double> Prior(ColumnCount);
  for (std::size_t Column = 0; Column < ColumnCount; ++Column)
    Prior[Column] = priorPerCore(Serving, Images_[Column]);
  auto Coefficients = Prior;
  // Coordinate descent: each coefficient in turn is set to its optimum, at
  // least 0, while the others are fixed.
  for (int Iteration = 0; Iteration < FitIterations; ++Iteration) {
    for (std::size_t Column = 0; Column < ColumnCount; ++Column) {
      auto Residual = Stats.TailProducts_[Column] + PriorWeight * Prior[Column];
      for (std::size_t FixedColumn = 0; FixedColumn < ColumnCount;
           ++FixedColumn)
        if (FixedColumn != Column)
          Residual -= Stats.UsageProducts_[Column][FixedColumn] *
                      Coefficients[FixedColumn];
      const auto Optimum =
          Residual / (Stats.UsageProducts_[Column][Column] + PriorWeight);
      Coefficients[Column] = std::max(0.0, Optimum);
    }
  }
  return Coefficients;
}

auto InterferenceModel::fit(const std::string &Serving,
                            const ServingStats &Stats) const -> ServingProfile {
  const auto Coefficients = fitCoefficients(Serving, Stats);
  ServingProfile Row;
  Row.ServingImage_ = Serving;
  Row.MeanBaseline_ = Stats.Baseline_;
  Row.BaselineDeviation_ =
      std::min(MaxBaselineDeviation, std::sqrt(Stats.Variance_));
  for (std::size_t Column = 0; Column < Coefficients.size(); ++Column)
    Row.Coefficients_.push_back({Images_[Column], Coefficients[Column]});
  return Row;
}

auto InterferenceModel::refresh() -> bool {
  if (!RefitNeeded_)
    return false;
  RefitNeeded_ = false;
  InterferenceTable Table;
  for (const auto &[Serving, Stats] : Serving_)
    if (Stats.SampleCount_ >= MinSampleCount)
      Table.Rows_.push_back(fit(Serving, Stats));
  for (const auto &Row : Prior_.table().Rows_) {
    const auto Found = Serving_.find(Row.ServingImage_);
    if (Found == Serving_.end() || Found->second.SampleCount_ < MinSampleCount)
      Table.Rows_.push_back(Row);
  }
  Predictor_.adopt(Table);
  return true;
}

} // namespace skylark
