#include "test/fuzz/FakeStore.h"

#include "core/EncodedSize.h"

namespace skylark::Fuzz {
namespace {

auto resultOf(StoreStatus Status, std::uint64_t Index = 0) -> StoreResult {
  StoreResult Result;
  Result.Status_ = Status;
  Result.Index_ = Index;
  return Result;
}

} // namespace

auto FakeStore::apply(Micros Now, const StoreOperation &Operation)
    -> StoreResult {
  std::vector<LeaseId> Expired;
  for (const auto &[Id, Each] : Leases_)
    if (Each.ExpiresAt_ < Now)
      Expired.push_back(Id);
  for (const auto &Id : Expired)
    removeLease(Id);
  return std::visit([&](const auto &Each) { return run(Now, Each); },
                    Operation);
}

auto FakeStore::run(Micros /*Now*/, const ReadEnvironment &Operation)
    -> StoreResult {
  auto Result = resultOf(StoreStatus::Ok);
  const auto Prefix =
      "skylark/environments/" + Operation.Environment_.Value_ + "/";
  for (const auto &[Key, Each] : Keys_) {
    if (Key.Path_.rfind(Prefix, 0) != 0)
      continue;
    if (const auto *Head = std::get_if<EnvironmentHead>(&Each.Value_)) {
      Result.EnvironmentState_.Head_ = *Head;
      Result.EnvironmentState_.HeadIndex_ = Each.Index_;
      continue;
    }
    // Keys bound to a lease are leases of entries; those without are grantors.
    auto &List = Each.Lease_.empty() ? Result.EnvironmentState_.Grantors_
                                     : Result.EnvironmentState_.Leases_;
    List.push_back({std::get<EntryRegistration>(Each.Value_), Each.Index_});
  }
  return Result;
}

auto FakeStore::run(Micros Now, const ReadEntries &Operation) -> StoreResult {
  return run(Now, ReadEnvironment{Operation.Environment_});
}

auto FakeStore::run(Micros /*Now*/, const ReadValue &Operation) -> StoreResult {
  const auto Found = Keys_.find(Operation.Key_);
  if (Found == Keys_.end())
    return resultOf(StoreStatus::NotFound);
  auto Result = resultOf(StoreStatus::Ok, Found->second.Index_);
  Result.Value_ = Found->second.Value_;
  return Result;
}

auto FakeStore::run(Micros /*Now*/, const CompareAndSwap &Operation)
    -> StoreResult {
  const auto Found = Keys_.find(Operation.Key_);
  const auto CurrentIndex = Found == Keys_.end() ? 0 : Found->second.Index_;
  if (CurrentIndex != Operation.ExpectedIndex_)
    return resultOf(StoreStatus::Conflict);
  if (isTooLarge(Operation.Value_) ||
      (Operation.AdditionalWrite_ &&
       isTooLarge(Operation.AdditionalWrite_->Value_)))
    return resultOf(StoreStatus::Refused);
  Keys_[Operation.Key_] = {Operation.Value_, ++Index_, {}};
  if (Operation.AdditionalWrite_)
    Keys_[Operation.AdditionalWrite_->Key_] = {
        Operation.AdditionalWrite_->Value_, Index_, {}};
  return resultOf(StoreStatus::Ok, Index_);
}

auto FakeStore::run(Micros /*Now*/, const ReadSegments &Operation)
    -> StoreResult {
  auto Result = resultOf(StoreStatus::Ok);
  for (auto Each = Keys_.upper_bound(Operation.After_); Each != Keys_.end();
       ++Each) {
    if (Each->first.Path_.rfind(Operation.Prefix_.Path_, 0) != 0)
      break;
    Result.Segments_.push_back(std::get<ShardSegment>(Each->second.Value_));
  }
  return Result;
}

auto FakeStore::run(Micros /*Now*/, const DeleteValues &Operation)
    -> StoreResult {
  for (const auto &Key : Operation.Keys_)
    Keys_.erase(Key);
  return resultOf(StoreStatus::Ok);
}

auto FakeStore::isTooLarge(const StoreValue &Value) const -> bool {
  return encodedSize(Value) > MaxValueSize_;
}

auto FakeStore::run(Micros /*Now*/, const WriteValue &Operation)
    -> StoreResult {
  if (isTooLarge(Operation.Value_))
    return resultOf(StoreStatus::Refused);
  Keys_[Operation.Key_] = {Operation.Value_, ++Index_, {}};
  return resultOf(StoreStatus::Ok, Index_);
}

auto FakeStore::run(Micros /*Now*/, const DeleteValue &Operation)
    -> StoreResult {
  const auto Found = Keys_.find(Operation.Key_);
  const auto Matches = Found != Keys_.end() &&
                       (Operation.ExpectedIndex_ == 0 ||
                        Operation.ExpectedIndex_ == Found->second.Index_);
  if (Matches)
    Keys_.erase(Found);
  return resultOf(StoreStatus::Ok);
}

auto FakeStore::run(Micros Now, const CreateLease &Operation) -> StoreResult {
  auto Result = resultOf(StoreStatus::Ok);
  Result.Lease_ = {"lease-" + std::to_string(++Index_)};
  Leases_[Result.Lease_] = {Operation.TimeToLive_, Now + Operation.TimeToLive_};
  return Result;
}

auto FakeStore::run(Micros Now, const RenewLease &Operation) -> StoreResult {
  const auto Found = Leases_.find(Operation.Lease_);
  if (Found == Leases_.end())
    return resultOf(StoreStatus::NotFound);
  Found->second.ExpiresAt_ = Now + Found->second.TimeToLive_;
  return resultOf(StoreStatus::Ok);
}

auto FakeStore::run(Micros /*Now*/, const RevokeLease &Operation)
    -> StoreResult {
  removeLease(Operation.Lease_);
  return resultOf(StoreStatus::Ok);
}

auto FakeStore::run(Micros /*Now*/, const WriteUnderLease &Operation)
    -> StoreResult {
  if (Leases_.count(Operation.Lease_) == 0)
    return resultOf(StoreStatus::NotFound);
  Keys_[Operation.Key_] = {Operation.Value_, ++Index_, Operation.Lease_};
  return resultOf(StoreStatus::Ok, Index_);
}

auto FakeStore::removeLease(const LeaseId &Removed) -> void {
  if (Leases_.erase(Removed) == 0)
    return;
  for (auto Each = Keys_.begin(); Each != Keys_.end();)
    Each = Each->second.Lease_ == Removed ? Keys_.erase(Each) : std::next(Each);
}

} // namespace skylark::Fuzz
