/// \file
/// Defines the report of an invalid field in a settings file, document or
/// request.
#pragma once

#include <string>
#include <vector>

namespace skylark {

/// An invalid field: its path, its value or "missing", and what is allowed.
struct Problem {
  std::string Path_;
  std::string Value_;
  std::string Allowed_;
};

/// Describes a problem to the user in one sentence.
auto describe(const Problem &InvalidField) -> std::string;

} // namespace skylark
