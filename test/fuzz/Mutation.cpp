#include "core/Mutation.h"

namespace skylark {
namespace {

Mutation Active = Mutation::None;

} // namespace

auto setMutation(Mutation Selected) -> void { Active = Selected; }

auto isMutationActive(Mutation Queried) -> bool { return Active == Queried; }

} // namespace skylark
