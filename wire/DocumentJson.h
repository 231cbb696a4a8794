/// \file
/// Defines the parsing of the document in which operators configure an
/// environment: data centres, services, teams, queues and policy.
#pragma once

#include "core/Document.h"
#include "wire/Problem.h"

namespace skylark {

struct ParsedDocument {
  Document Document_;
  /// Empty for a valid document. Otherwise the document must not be used.
  std::vector<Problem> Problems_;
};

/// Parses and validates a document; reports all invalid fields at once.
/// \param Text JSON with comments.
auto parseDocument(const std::string &Text) -> ParsedDocument;

} // namespace skylark
