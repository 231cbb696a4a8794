/// \file
/// Defines a reader of JSON objects that collects every problem with the
/// field's path, the value and what is allowed.
#pragma once

#include "core/Time.h"
#include "wire/Problem.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <set>

namespace skylark::Internal {

/// A range of whole numbers, both ends allowed.
struct Range {
  std::int64_t Least_ = 0;
  std::int64_t Most_ = 0;
};

/// Reads the fields of one object. A field that was not asked for is unknown
/// and reported by finish().
class CheckedObject {
public:
  CheckedObject(const nlohmann::json &Value, std::string Path,
                std::vector<Problem> &Problems);

  auto has(const std::string &Name) const -> bool;
  auto text(const std::string &Name) -> std::string;
  auto text(const std::string &Name, const std::string &Default) -> std::string;
  auto integer(const std::string &Name, Range Allowed) -> std::int64_t;
  auto integer(const std::string &Name, Range Allowed, std::int64_t Default)
      -> std::int64_t;
  /// A number that may have a fraction, from `Least` to `Most`.
  auto number(const std::string &Name, double Least, double Most,
              double Default) -> double;
  auto flag(const std::string &Name, bool Default) -> bool;
  auto names(const std::string &Name) -> std::vector<std::string>;
  /// A list of texts that may be empty.
  auto texts(const std::string &Name) -> std::vector<std::string>;
  /// Reads a nested object; a missing one is a problem if `Required`.
  auto object(const std::string &Name, bool Required,
              const std::function<void(CheckedObject &)> &Read) -> void;
  auto objects(const std::string &Name,
               const std::function<void(CheckedObject &)> &Read) -> void;
  auto problem(const std::string &Name, const std::string &Allowed) -> void;
  auto finish() -> void;

private:
  auto find(const std::string &Name) -> const nlohmann::json *;
  auto pathOf(const std::string &Name) const -> std::string;

  const nlohmann::json &Value_;
  std::string Path_;
  std::vector<Problem> &Problems_;
  std::set<std::string> Asked_;
};

/// Parses JSON with comments and reads its top object.
auto readChecked(const std::string &Text,
                 const std::function<void(CheckedObject &)> &Read)
    -> std::vector<Problem>;

} // namespace skylark::Internal
