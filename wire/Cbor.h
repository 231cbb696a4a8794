/// \file
/// Defines the CBOR form of the messages between processes and of the values
/// in the store.
#pragma once

#include "core/EntryOutput.h"

#include <optional>
#include <string>

namespace skylark {

/// The bytes of a message. A struct is an array of its fields in order, so
/// that a newer version may append fields.
auto encode(const AgentMessage &Message) -> std::string;
auto encode(const EntryMessage &Message) -> std::string;
auto encode(const PeerMessage &Message) -> std::string;
auto encode(const StoreValue &Value) -> std::string;

/// Reads bytes written by encode(). Returns nothing for bytes that are not
/// such a message; unknown trailing fields are ignored.
auto decodeAgentMessage(const std::string &Bytes)
    -> std::optional<AgentMessage>;
auto decodeEntryMessage(const std::string &Bytes)
    -> std::optional<EntryMessage>;
auto decodePeerMessage(const std::string &Bytes) -> std::optional<PeerMessage>;
auto decodeStoreValue(const std::string &Bytes) -> std::optional<StoreValue>;

} // namespace skylark
