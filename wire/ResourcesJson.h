/// \file
/// Defines the parsing of resource amounts and policy settings, which occur in
/// more than one kind of file.
#pragma once

#include "core/Document.h"
#include "wire/CheckedJson.h"

namespace skylark::Internal {

/// Reads the required fields `millicores` and `memory_mb`, and the optional
/// `accelerators`.
auto readResources(CheckedObject &Object) -> Resources;

/// Reads the fields of a policy into `Policy`. Members whose fields are missing
/// keep their values.
auto readPolicySettings(CheckedObject &Object, PolicySettings &Policy) -> void;

} // namespace skylark::Internal
