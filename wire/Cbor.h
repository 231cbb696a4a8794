/// \file
/// Defines the CBOR encoding of the messages between processes and of the
/// values in the store.
#pragma once

#include "core/EntryOutput.h"

#include <optional>
#include <string>

namespace skylark {

/// Encodes a message or stored value as CBOR. A struct becomes an array of its
/// fields, in the order of its fields(). Later versions may append fields,
/// since decoding ignores unknown trailing ones, but must not reorder or remove
/// any. A struct that is stored names as RequiredFields how many it had before.
auto encode(const AgentMessage &Message) -> std::string;
auto encode(const EntryMessage &Message) -> std::string;
auto encode(const PeerMessage &Message) -> std::string;
auto encode(const StoreValue &Value) -> std::string;

/// Decodes bytes written by encode(). Returns nothing for bytes that are not a
/// valid encoding of the type. Ignores trailing fields that this version
/// doesn't know.
auto decodeAgentMessage(const std::string &Bytes)
    -> std::optional<AgentMessage>;
auto decodeEntryMessage(const std::string &Bytes)
    -> std::optional<EntryMessage>;
auto decodePeerMessage(const std::string &Bytes) -> std::optional<PeerMessage>;
auto decodeStoreValue(const std::string &Bytes) -> std::optional<StoreValue>;

} // namespace skylark
