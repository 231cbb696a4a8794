#include "runtime/RejectedItems.h"

#include "runtime/Process.h"
#include "wire/Address.h"

namespace skylark {
namespace {

/// Number of keys that are remembered as logged. Beyond it, items may be logged
/// again.
constexpr std::size_t MaxRememberedKeys = 1000;

} // namespace

auto isPlausible(const StoreKey &Key, const EntryRegistration &Registration)
    -> bool {
  const auto Name = Key.Path_.substr(Key.Path_.rfind('/') + 1);
  return Name == Registration.Entry_.Value_ &&
         isConnectable(Registration.PeerAddress_);
}

auto RejectedItems::report(const std::string &Key, std::uint64_t Revision,
                           const std::string &Reason) -> void {
  if (Reported_.size() >= MaxRememberedKeys)
    Reported_.clear();
  const auto [Known, Inserted] = Reported_.emplace(Key, Revision);
  if (!Inserted && Known->second == Revision)
    return;
  Known->second = Revision;
  LogDecision Decision;
  Decision.Event_ = "store-item-rejected";
  Decision.Subject_ = Key;
  Decision.Revision_ = Revision;
  Decision.Detail_ = Reason;
  writeLog(Decision);
}

} // namespace skylark
