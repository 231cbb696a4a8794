/// \file
/// Defines the reading of the operators' document from its text.
#pragma once

#include "core/Document.h"
#include "wire/Problem.h"

namespace skylark {

struct ParsedDocument {
  Document Document_;
  /// Empty for a good document.
  std::vector<Problem> Problems_;
};

/// Reads a document; reports all problems at once.
auto parseDocument(const std::string &Text) -> ParsedDocument;

} // namespace skylark
