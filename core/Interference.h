/// \file
/// Defines the model of interference between the images that share a worker:
/// how much best-effort tasks lengthen the tail latency of serving tasks.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylark {

/// One serving task in one sample. A serving task is latency-critical work with
/// a tail-latency target. Levels are natural logarithms of milliseconds.
struct ServingSample {
  std::string Image_;
  Millis Target_{0};
  Millis Tail_{0};
  /// Estimated level that the tail would have if no best-effort tasks shared
  /// the worker.
  double Baseline_ = 0;
  /// Growth of the steady-state level of the tail since the previous sample.
  double Change_ = 0;
  /// Whether Change_ is valid: the previous sample is recent enough.
  bool ChangeKnown_ = false;

  static constexpr auto fields() {
    return std::make_tuple(&ServingSample::Image_, &ServingSample::Target_,
                           &ServingSample::Tail_, &ServingSample::Baseline_,
                           &ServingSample::Change_,
                           &ServingSample::ChangeKnown_);
  }
};

/// Processors, in thousandths, in use by the best-effort tasks of one image in
/// one sample, and the growth since the previous sample.
struct BestEffortSample {
  std::string Image_;
  std::int64_t MilliCores_ = 0;
  std::int64_t Change_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&BestEffortSample::Image_,
                           &BestEffortSample::MilliCores_,
                           &BestEffortSample::Change_);
  }
};

/// The result of one poll of a worker by its agent.
struct ColocationSample {
  std::vector<ServingSample> Serving_;
  std::vector<BestEffortSample> BestEffortWork_;

  static constexpr auto fields() {
    return std::make_tuple(&ColocationSample::Serving_,
                           &ColocationSample::BestEffortWork_);
  }
};

/// How much one best-effort image lengthens the tail of a serving image.
struct InterferenceCoefficient {
  /// Name of the best-effort image.
  std::string BestEffortImage_;
  /// Growth of the tail's natural logarithm per processor in use.
  double PerCore_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&InterferenceCoefficient::BestEffortImage_,
                           &InterferenceCoefficient::PerCore_);
  }
};

/// What the model has learned about one serving image.
struct ServingProfile {
  /// Name of the serving image.
  std::string ServingImage_;
  /// Natural logarithm of its tail, in milliseconds, without interference.
  double MeanBaseline_ = 0;
  /// Standard deviation of that logarithm, with an upper limit.
  double BaselineDeviation_ = 0;
  std::vector<InterferenceCoefficient> Coefficients_;

  static constexpr auto fields() {
    return std::make_tuple(
        &ServingProfile::ServingImage_, &ServingProfile::MeanBaseline_,
        &ServingProfile::BaselineDeviation_, &ServingProfile::Coefficients_);
  }
};

/// The learned profiles, in the form in which entries and agents exchange them.
struct InterferenceTable {
  std::vector<ServingProfile> Rows_;

  static constexpr auto fields() {
    return std::make_tuple(&InterferenceTable::Rows_);
  }
};

/// Whether two tables differ too little to change a decision.
auto isApproxEqual(const InterferenceTable &Left,
                   const InterferenceTable &Right) -> bool;

/// Predicts interference from a table of learned profiles. Images and pairs
/// that the table doesn't list get defaults.
class InterferencePredictor {
public:
  /// Replaces the table.
  auto adopt(const InterferenceTable &Table) -> void;
  /// Predicted growth of the natural logarithm of the tail of image `Serving`
  /// while tasks of image `BestEffort` use `MilliCores`.
  auto predictGrowth(const std::string &Serving, const std::string &BestEffort,
                     std::int64_t MilliCores) const -> double;
  /// How much that logarithm may grow above its mean baseline before the tail
  /// exceeds `Target`, less a safety margin.
  auto slack(const std::string &Serving, Millis Target) const -> double;
  auto table() const -> const InterferenceTable & { return Table_; }

private:
  struct IndexedProfile {
    double MeanBaseline_ = 0;
    double BaselineDeviation_ = 0;
    std::map<std::string, double> PerCore_;
  };
  InterferenceTable Table_;
  std::map<std::string, IndexedProfile> Serving_;
};

/// Learns interference from samples by linear regression. The logarithm of a
/// tail is modelled as a baseline plus, for each best-effort image, a
/// non-negative coefficient times the processors that the image uses. The
/// coefficients are fitted by regularized least squares to the changes between
/// consecutive samples, not to the levels: the baseline drifts with the load of
/// the serving task, but little from one sample to the next.
class InterferenceModel {
public:
  auto learn(const ColocationSample &Sample) -> void;
  /// Uses what another model has learned as the prior of the fit, and as the
  /// profile of images with too few samples. Once a table that isn't empty has
  /// been adopted, later ones are ignored.
  auto adopt(const InterferenceTable &Table) -> void;
  /// Fits the profiles again.
  /// \returns false if neither samples nor a prior were added since the last
  ///     fit, so that nothing was done.
  auto refresh() -> bool;
  auto predictor() const -> const InterferencePredictor & { return Predictor_; }

private:
  /// Sums over all samples of one serving image: the normal equations of the
  /// regression, with a column for each best-effort image.
  struct ServingStats {
    /// Sums of the products of two images' changes in processor use.
    std::vector<std::vector<double>> UsageProducts_;
    /// Sums of the products of an image's change in processor use and the
    /// change of the tail.
    std::vector<double> TailProducts_;
    /// Moving averages of the baseline and of its squared deviation.
    double Baseline_ = 0;
    double Variance_ = 0;
    double SampleCount_ = 0;
  };

  /// Index of the image's column; adds a column for a new image.
  /// \returns nullopt for a new image once the limit of images is reached.
  auto column(const std::string &BestEffort) -> std::optional<std::size_t>;
  static auto recordBaseline(ServingStats &Stats, double Baseline) -> void;
  auto fitCoefficients(const std::string &Serving,
                       const ServingStats &Stats) const -> std::vector<double>;
  auto fit(const std::string &Serving, const ServingStats &Stats) const
      -> ServingProfile;
  auto priorPerCore(const std::string &Serving,
                    const std::string &BestEffort) const -> double;

  std::map<std::string, std::size_t> Columns_;
  std::vector<std::string> Images_;
  std::map<std::string, ServingStats> Serving_;
  InterferencePredictor Prior_;
  InterferencePredictor Predictor_;
  /// Whether samples or a prior were added since the last fit.
  bool RefitNeeded_ = false;
};

} // namespace skylark
