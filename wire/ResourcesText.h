/// \file
/// Defines the reading of an amount of resources from a JSON object.
#pragma once

#include "core/Document.h"
#include "wire/CheckedJson.h"

namespace skylark::Internal {

/// Reads millicores, memory_mb and, where present, accelerators.
auto readResources(CheckedObject &From) -> Resources;

/// Reads the durations and limits that operators may set; what is missing
/// stays as it is.
auto readPolicySettings(CheckedObject &From, PolicySettings &Policy) -> void;

} // namespace skylark::Internal
