/// \file
/// Defines a validating reader of JSON objects. It collects all invalid fields,
/// each with its path, its value and what is allowed, instead of stopping at
/// the first one.
#pragma once

#include "core/Time.h"
#include "wire/Problem.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <set>

namespace skylark::Internal {

/// A closed interval of integers.
struct IntegerRange {
  std::int64_t Min_ = 0;
  std::int64_t Max_ = 0;
  /// Why there is a maximum, to complete the sentence "the maximum is N because
  /// ..."; null where the range explains itself.
  const char *MaxReason_ = nullptr;
};

/// Reads and validates the fields of one JSON object. A field that is missing
/// without a default, has the wrong type or is out of range is added to the
/// problems, and the method returns a placeholder, so that reading goes on.
class CheckedObject {
public:
  /// \param Value the object; any other JSON value is reported as a problem.
  /// \param Path the path of the object in the text; empty for the root.
  /// \param Problems receives the invalid fields. `Value` and `Problems` must
  /// outlive the reader.
  CheckedObject(const nlohmann::json &Value, std::string Path,
                std::vector<Problem> &Problems);

  /// Whether the field is present. It doesn't count as read.
  auto has(const std::string &Name) const -> bool;
  /// A string that must not be empty.
  auto text(const std::string &Name) -> std::string;
  auto text(const std::string &Name, const std::string &Default) -> std::string;
  /// An integer in `Allowed`; returns the lower bound where it is invalid.
  auto integer(const std::string &Name, IntegerRange Allowed) -> std::int64_t;
  auto integer(const std::string &Name, IntegerRange Allowed,
               std::int64_t Default) -> std::int64_t;
  /// A number from `Min` to `Max`, which may have a fraction.
  auto number(const std::string &Name, double Min, double Max, double Default)
      -> double;
  auto flag(const std::string &Name, bool Default) -> bool;
  /// The text of a nested object that another reader checks; "{}" if it is
  /// missing.
  auto objectText(const std::string &Name) -> std::string;
  /// A list of one or more strings.
  auto names(const std::string &Name) -> std::vector<std::string>;
  /// A list of strings, which may be empty.
  auto texts(const std::string &Name) -> std::vector<std::string>;
  /// Calls `Read` with a reader of a nested object, then reports the object's
  /// unknown fields. A missing object is a problem only if `Required`.
  auto object(const std::string &Name, bool Required,
              const std::function<void(CheckedObject &)> &Read) -> void;
  /// Calls `Read` for each object of a list, as object() does for one. A
  /// missing list is a problem.
  auto objects(const std::string &Name,
               const std::function<void(CheckedObject &)> &Read) -> void;
  /// Reports the field `Name` as invalid.
  /// \param Allowed what is allowed, to complete the sentence of describe().
  auto reportProblem(const std::string &Name, const std::string &Allowed)
      -> void;
  /// Reports every field of the object that was not read.
  auto reportUnknownFields() -> void;

private:
  auto find(const std::string &Name) -> const nlohmann::json *;
  auto pathOf(const std::string &Name) const -> std::string;

  const nlohmann::json &Value_;
  std::string Path_;
  std::vector<Problem> &Problems_;
  /// The names of the fields that were read, present or not.
  std::set<std::string> KnownFields_;
};

/// Parses JSON with comments, calls `Read` with its root object and reports
/// unknown fields. Returns all problems; for text that is not valid JSON,
/// `Read` isn't called and the parser's error is the only problem.
auto parseCheckedJson(const std::string &Text,
                      const std::function<void(CheckedObject &)> &Read)
    -> std::vector<Problem>;

} // namespace skylark::Internal
