#include "core/StoreCalls.h"

#include <cstdio>

namespace skylark {
namespace {

auto environmentPath(const EnvironmentName &Environment) -> std::string {
  return "skylark/environments/" + Environment.Value_;
}

auto shardPath(const EnvironmentName &Environment, ShardNumber Shard)
    -> std::string {
  return "skylark/shards/" + Environment.Value_ + "/" + std::to_string(Shard);
}

} // namespace

auto headKey(const EnvironmentName &Environment) -> StoreKey {
  return {environmentPath(Environment) + "/head"};
}

auto documentKey(const std::string &Digest) -> StoreKey {
  return {"skylark/documents/" + Digest};
}

auto leaseKey(const EnvironmentName &Environment, const EntryId &Entry)
    -> StoreKey {
  return {environmentPath(Environment) + "/leases/" + Entry.Value_};
}

auto grantorKey(const EnvironmentName &Environment, const EntryId &Entry)
    -> StoreKey {
  return {environmentPath(Environment) + "/grantors/" + Entry.Value_};
}

auto shardHeadKey(const EnvironmentName &Environment, ShardNumber Shard)
    -> StoreKey {
  return {shardPath(Environment, Shard) + "/head"};
}

auto segmentKey(const EnvironmentName &Environment, ShardNumber Shard,
                const WriteId &Segment) -> StoreKey {
  return {shardPath(Environment, Shard) + "/segments/" + Segment.Value_};
}

auto commitKey(const EnvironmentName &Environment, ShardNumber Shard,
               CommitNumber Commit) -> StoreKey {
  char Digits[24];
  std::snprintf(Digits, sizeof Digits, "%012llu",
                static_cast<unsigned long long>(Commit));
  return {commitPrefix(Environment, Shard).Path_ + Digits};
}

auto commitPrefix(const EnvironmentName &Environment, ShardNumber Shard)
    -> StoreKey {
  return {shardPath(Environment, Shard) + "/commits/"};
}

namespace {

auto keyOf(const ReadValue &Operation) -> std::string {
  return Operation.Key_.Path_;
}
auto keyOf(const WriteValue &Operation) -> std::string {
  return Operation.Key_.Path_;
}
auto keyOf(const CompareAndSwap &Operation) -> std::string {
  return Operation.AdditionalWrite_
             ? Operation.Key_.Path_ + ", " + keyOf(*Operation.AdditionalWrite_)
             : Operation.Key_.Path_;
}
auto keyOf(const DeleteValue &Operation) -> std::string {
  return Operation.Key_.Path_;
}
auto keyOf(const WriteUnderLease &Operation) -> std::string {
  return Operation.Key_.Path_;
}
template <typename Other> auto keyOf(const Other & /*Operation*/) {
  return std::string();
}

} // namespace

auto keyText(const StoreOperation &Operation) -> std::string {
  return std::visit([](const auto &Each) { return keyOf(Each); }, Operation);
}

} // namespace skylark
