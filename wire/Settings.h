/// \file
/// Defines the settings of a process and their reading from a file's text.
#pragma once

#include "core/AgentCore.h"
#include "core/EntryCore.h"
#include "wire/Problem.h"

namespace skylark {

/// An IP address and port.
struct Address {
  std::string Host_;
  std::uint16_t Port_ = 0;

  auto text() const -> std::string {
    return Host_ + ":" + std::to_string(Port_);
  }
};

enum class Role : std::uint8_t { Entry, Agent };

/// Limits of an entry towards callers.
struct HttpLimits {
  std::size_t BodyBytes_ = std::size_t{1024} * 1024;
  std::size_t Connections_ = 1024;
};

/// The settings of one process of either role.
struct Settings {
  Role Role_ = Role::Entry;
  EntryIdentity Entry_;
  AgentIdentity Agent_;
  // Of an entry.
  Address Http_;
  Address Link_;
  /// Name of the interfaces spoken to callers, store, workers and operators.
  std::string Protocol_ = "native";
  Address Ready_;
  HttpLimits Limits_;
  // Of an agent.
  std::vector<Address> Entries_;
  Address Worker_;
  Address Target_;
  /// Where the worker announces itself; port 0 where it doesn't.
  Address Announcements_;
  EnvironmentName Environment_;
  // Of both; port 0 where there is none.
  Address Store_;
  Address Metrics_;
};

struct ParsedSettings {
  Settings Settings_;
  /// Empty for good settings.
  std::vector<Problem> Problems_;
};

/// Reads the settings of a process; reports all problems at once.
auto parseSettings(const std::string &Text) -> ParsedSettings;

} // namespace skylark
