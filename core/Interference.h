/// \file
/// Defines what is learned of which images disturb each other on one worker.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylark {

/// One serving task at one look: its image, its target and its tail latency.
/// Levels are natural logarithms of milliseconds.
struct ServingFigure {
  std::string Image_;
  Millis Target_{0};
  Millis Tail_{0};
  /// The level that the tail would have without work that fills.
  double Own_ = 0;
  /// Growth, since the look before, of the level that the tail approaches.
  double Change_ = 0;
  /// Whether Change_ could be told.
  bool Comparable_ = false;

  static constexpr auto fields() {
    return std::make_tuple(&ServingFigure::Image_, &ServingFigure::Target_,
                           &ServingFigure::Tail_, &ServingFigure::Own_,
                           &ServingFigure::Change_,
                           &ServingFigure::Comparable_);
  }
};

/// What the filling tasks of one image used at one look, and how much more than
/// at the look before, in thousandths of a processor.
struct FillingFigure {
  std::string Image_;
  std::int64_t MilliCores_ = 0;
  std::int64_t Change_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&FillingFigure::Image_, &FillingFigure::MilliCores_,
                           &FillingFigure::Change_);
  }
};

/// One look of an agent at its worker.
struct SharingSample {
  std::vector<ServingFigure> Serving_;
  std::vector<FillingFigure> Filling_;

  static constexpr auto fields() {
    return std::make_tuple(&SharingSample::Serving_, &SharingSample::Filling_);
  }
};

/// How one filling image lengthens the tail of a serving one.
struct PressRow {
  std::string Filling_;
  /// Growth of the tail's natural logarithm for each processor in use.
  double PerCore_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&PressRow::Filling_, &PressRow::PerCore_);
  }
};

/// What is known of one serving image.
struct ServingRow {
  std::string Serving_;
  /// Natural logarithm of its tail, in milliseconds, with nothing beside it.
  double Alone_ = 0;
  /// Usual deviation of that logarithm from what is expected.
  double Spread_ = 0;
  std::vector<PressRow> Presses_;

  static constexpr auto fields() {
    return std::make_tuple(&ServingRow::Serving_, &ServingRow::Alone_,
                           &ServingRow::Spread_, &ServingRow::Presses_);
  }
};

/// What has been learned, as entries and agents tell each other.
struct PressTable {
  std::vector<ServingRow> Rows_;

  static constexpr auto fields() { return std::make_tuple(&PressTable::Rows_); }
};

/// Whether two tables differ by too little to change a decision.
auto isAlike(const PressTable &Left, const PressTable &Right) -> bool;

/// What is known, ready to be asked.
class PressKnowledge {
public:
  auto adopt(const PressTable &Table) -> void;
  /// Growth of the logarithm of `Serving`'s tail while tasks of `Filling` use
  /// `MilliCores`.
  auto press(const std::string &Serving, const std::string &Filling,
             std::int64_t MilliCores) const -> double;
  /// How much that logarithm may grow before the tail passes the target.
  auto slack(const std::string &Serving, Millis Target) const -> double;
  auto table() const -> const PressTable & { return Table_; }

private:
  struct ServingEntry {
    double Alone_ = 0;
    double Spread_ = 0;
    std::map<std::string, double> PerCore_;
  };
  PressTable Table_;
  std::map<std::string, ServingEntry> Serving_;
};

/// Learns from looks: the logarithm of a tail is taken for its own level and a
/// sum of parts that grow with the processors which each filling image uses,
/// none of them negative. The parts are fitted by least squares to the changes
/// between looks, since the own level wanders with the task's load, but little
/// from one look to the next.
class InterferenceModel {
public:
  auto learn(const SharingSample &Sample) -> void;
  /// Begins with what another model has learned, where this one knows nothing.
  auto adopt(const PressTable &Table) -> void;
  /// Brings the knowledge up to date. \returns false if nothing is new.
  auto refresh() -> bool;
  auto knowledge() const -> const PressKnowledge & { return Knowledge_; }

private:
  /// Sums over all looks at one serving image; a column for each filling image.
  struct Sums {
    std::vector<std::vector<double>> Products_;
    std::vector<double> WithTail_;
    /// Running mean of the own level, and of its squared deviation.
    double Own_ = 0;
    double Variance_ = 0;
    double Count_ = 0;
  };

  auto column(const std::string &Filling) -> std::optional<std::size_t>;
  static auto noteOwn(Sums &Seen, double Own) -> void;
  auto pressesOf(const std::string &Serving, const Sums &Seen) const
      -> std::vector<double>;
  auto fit(const std::string &Serving, const Sums &Seen) const -> ServingRow;
  auto priorOf(const std::string &Serving, const std::string &Filling) const
      -> double;

  std::map<std::string, std::size_t> Columns_;
  std::vector<std::string> Images_;
  std::map<std::string, Sums> Serving_;
  PressKnowledge Prior_;
  PressKnowledge Knowledge_;
  bool Changed_ = false;
};

} // namespace skylark
