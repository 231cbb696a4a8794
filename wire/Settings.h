/// \file
/// Defines the settings of a process and the parsing of its settings file.
#pragma once

#include "core/AgentCore.h"
#include "core/EntryCore.h"
#include "wire/Address.h"
#include "wire/Problem.h"

namespace skylark {

enum class Role : std::uint8_t { Entry, Agent };

/// Limits on the HTTP requests and connections of an entry's callers.
struct HttpLimits {
  std::size_t BodyBytes_ = std::size_t{1024} * 1024;
  std::size_t Connections_ = 1024;
};

/// The settings of a process. Those of the other role keep their defaults.
struct Settings {
  Role Role_ = Role::Entry;
  EntryIdentity Entry_;
  AgentIdentity Agent_;
  // Entry only, except for the protocol.
  /// Where callers connect.
  Address Http_;
  /// Where agents and other entries connect.
  Address Link_;
  /// Name of the set of protocols spoken with callers, store, workers and
  /// operators.
  std::string Protocol_ = "native";
  /// Where the readiness check is served; port 0 for none.
  Address Ready_;
  HttpLimits Limits_;
  // Agent only.
  /// The entries to connect to at start.
  std::vector<Address> Entries_;
  Address Worker_;
  /// JSON text of the options that are particular to the kind of worker.
  std::string WorkerOptions_ = "{}";
  Address Target_;
  /// Where the agent listens for announcements of its worker; port 0 where the
  /// worker sends none.
  Address Announcements_;
  EnvironmentName Environment_;
  // Both roles; port 0 where not configured.
  Address Store_;
  /// JSON text of the options that are particular to the kind of store.
  std::string StoreOptions_ = "{}";
  Address Metrics_;
};

struct ParsedSettings {
  Settings Settings_;
  /// Empty for valid settings. Otherwise the settings must not be used.
  std::vector<Problem> Problems_;
};

/// Parses and validates the settings of a process; reports all invalid fields
/// at once.
/// \param Text JSON with comments.
auto parseSettings(const std::string &Text) -> ParsedSettings;

} // namespace skylark
