/// \file
/// Defines the reading of an amount of resources from a JSON object.
#pragma once

#include "core/Resources.h"
#include "wire/CheckedJson.h"

namespace skylark::Internal {

/// Reads millicores, memory_mb and, where present, accelerators.
auto readResources(CheckedObject &From) -> Resources;

} // namespace skylark::Internal
