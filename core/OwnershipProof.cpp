#include "core/OwnershipProof.h"

namespace skylark {

auto OwnershipProof::request(TimePoint Now, LedgerWriter &Ledger)
    -> std::uint64_t {
  const auto Number = Ledger.nextVerification();
  RequestedAt_[Number] = Now;
  Ledger.verifyOwnership();
  return Number;
}

auto OwnershipProof::update(const LedgerWriter &Ledger) -> void {
  while (!RequestedAt_.empty() &&
         isProvedSince(RequestedAt_.begin()->first, Ledger)) {
    ProvedAt_ = RequestedAt_.begin()->second;
    RequestedAt_.erase(RequestedAt_.begin());
  }
}

auto OwnershipProof::clear() -> void {
  RequestedAt_.clear();
  ProvedAt_.reset();
}

} // namespace skylark
