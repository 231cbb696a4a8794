/// \file
/// Defines how items of the store that another writer has damaged are
/// recognised and reported.
#pragma once

#include "core/StoreCalls.h"

#include <map>

namespace skylark {

/// Reasons for which an item is rejected.
constexpr auto NoRegistrationReason =
    "it isn't the registration of an entry under its own name, with an address "
    "to connect to";
constexpr auto NoSegmentReason = "it isn't a part of a ledger";

/// Whether an entry can have registered itself under the key in this way. A
/// registration under another entry's key, or with an address to which no
/// connection can be opened, would be contacted in vain for ever.
auto isPlausible(const StoreKey &Key, const EntryRegistration &Registration)
    -> bool;

/// Logs each item that a reader leaves out, once for each of its revisions. The
/// readers list the same items several times a second.
class RejectedItems {
public:
  /// \param Reason completes the log line of the item.
  auto report(const std::string &Key, std::uint64_t Revision,
              const std::string &Reason) -> void;

private:
  /// The newest revision of each key that has been logged.
  std::map<std::string, std::uint64_t> Reported_;
};

} // namespace skylark
