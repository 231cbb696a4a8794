#include "core/Mutation.h"

namespace skylark {
namespace {

Mutation Present = Mutation::None;

} // namespace

auto setMutation(Mutation Wanted) -> void { Present = Wanted; }

auto isMutationActive(Mutation Asked) -> bool { return Present == Asked; }

} // namespace skylark
