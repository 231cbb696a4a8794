/// \file
/// Defines the store client for Consul's HTTP interface: /v1/kv, /v1/txn and
/// /v1/session.
#pragma once

#include "runtime/HttpClient.h"
#include "runtime/RejectedItems.h"
#include "runtime/StoreTransport.h"

namespace skylark {

/// Carries out store calls on installations that run Consul.
class ConsulStore : public StoreTransport {
public:
  /// \param Address host:port of the service.
  ConsulStore(HttpCaller &Http, std::string Address);

  auto call(std::uint64_t CallNumber, const StoreOperation &Operation,
            std::function<void(StoreResult)> Done) -> void override;

private:
  auto prepare(const ReadEnvironment &Operation) const -> HttpCall;
  auto prepare(const ReadEntries &Operation) const -> HttpCall;
  auto prepare(const ReadValue &Operation) const -> HttpCall;
  auto prepare(const CompareAndSwap &Operation) const -> HttpCall;
  auto prepare(const WriteValue &Operation) const -> HttpCall;
  auto prepare(const ReadSegments &Operation) const -> HttpCall;
  auto prepare(const DeleteValues &Operation) const -> HttpCall;
  auto prepare(const DeleteValue &Operation) const -> HttpCall;
  auto prepare(const CreateLease &Operation) const -> HttpCall;
  auto prepare(const RenewLease &Operation) const -> HttpCall;
  auto prepare(const RevokeLease &Operation) const -> HttpCall;
  auto prepare(const WriteUnderLease &Operation) const -> HttpCall;
  auto makeTransaction(std::string Operations) const -> HttpCall;
  auto keyUrl(const StoreKey &Key) const -> std::string;

  HttpCaller &Http_;
  std::string BaseUrl_;
  RejectedItems Rejected_;
};

} // namespace skylark
