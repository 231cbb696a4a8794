/// \file
/// Defines a mistake of a user in a settings file, document or request.
#pragma once

#include <string>
#include <vector>

namespace skylark {

/// One mistake: where it is, what stands there and what is allowed.
struct Problem {
  std::string Path_;
  std::string Value_;
  std::string Allowed_;
};

/// A full sentence that names what the user wrote.
auto describe(const Problem &Mistake) -> std::string;

} // namespace skylark
