/// \file
/// Defines the client of the platform's key-value service, which speaks the
/// published HTTP interface of Consul: /v1/kv and /v1/session.
#pragma once

#include "runtime/HttpClient.h"
#include "runtime/StoreTransport.h"

namespace skylark {

/// The store calls of an installation that runs Consul.
class ConsulStore : public StoreTransport {
public:
  /// \param Address host:port of the service.
  ConsulStore(HttpClient &Http, std::string Address);

  auto call(std::uint64_t Number, const StoreOperation &Operation,
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
  auto transaction(std::string Steps) const -> HttpCall;
  auto keyUrl(const StoreKey &Key) const -> std::string;

  HttpClient &Http_;
  std::string Base_;
};

} // namespace skylark
