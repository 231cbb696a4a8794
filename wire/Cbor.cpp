#include "wire/Cbor.h"

namespace skylark::Internal {

/// Whether a number from a peer is an enumerator of its type. Decoding fails
/// for any other number.
constexpr auto isValidEnumerator(WorkKind Value) -> bool {
  return Value <= WorkKind::Watcher;
}
constexpr auto isValidEnumerator(TaskState Value) -> bool {
  return Value <= TaskState::Cancelled;
}
constexpr auto isValidEnumerator(JobState Value) -> bool {
  return Value <= JobState::Cancelled;
}
constexpr auto isValidEnumerator(TaskPhase Value) -> bool {
  return Value <= TaskPhase::NotStarted;
}
constexpr auto isValidEnumerator(ErrorKind Value) -> bool {
  return Value < ErrorKind::Count;
}

} // namespace skylark::Internal

#include "wire/JsonCodec.h"

namespace skylark {
namespace {

using Internal::Json;

/// Deepest nesting of arrays and objects in a message. Without a limit, deeply
/// nested input would overflow the stack.
constexpr int MaxNestingDepth = 32;

/// Builds a JSON value, and stops parsing where arrays and objects nest deeper
/// than MaxNestingDepth.
class DepthLimitedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
public:
  explicit DepthLimitedBuilder(Json &Result)
      : json_sax_dom_parser<Json>(Result, false) {}

  // The library prescribes the names of these callbacks.
  // NOLINTBEGIN(readability-identifier-naming)
  auto start_array(std::size_t Size) -> bool {
    return ++Depth_ <= MaxNestingDepth &&
           json_sax_dom_parser<Json>::start_array(Size);
  }
  auto end_array() -> bool {
    --Depth_;
    return json_sax_dom_parser<Json>::end_array();
  }
  auto start_object(std::size_t Size) -> bool {
    return ++Depth_ <= MaxNestingDepth &&
           json_sax_dom_parser<Json>::start_object(Size);
  }
  auto end_object() -> bool {
    --Depth_;
    return json_sax_dom_parser<Json>::end_object();
  }
  // NOLINTEND(readability-identifier-naming)

private:
  int Depth_ = 0;
};

template <typename Message> auto write(const Message &Value) -> std::string {
  std::string Bytes;
  Json::to_cbor(Internal::toJson(Value), Bytes);
  return Bytes;
}

template <typename Message>
auto read(const std::string &Bytes) -> std::optional<Message> {
  Json Value;
  DepthLimitedBuilder Builder(Value);
  try {
    if (!Json::sax_parse(Bytes, &Builder, Json::input_format_t::cbor))
      return std::nullopt;
    return Internal::fromJson<Message>(Value);
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace

auto encode(const AgentMessage &Message) -> std::string {
  return write(Message);
}
auto encode(const EntryMessage &Message) -> std::string {
  return write(Message);
}
auto encode(const PeerMessage &Message) -> std::string {
  return write(Message);
}
auto encode(const StoreValue &Value) -> std::string { return write(Value); }

auto decodeAgentMessage(const std::string &Bytes)
    -> std::optional<AgentMessage> {
  return read<AgentMessage>(Bytes);
}
auto decodeEntryMessage(const std::string &Bytes)
    -> std::optional<EntryMessage> {
  return read<EntryMessage>(Bytes);
}
auto decodePeerMessage(const std::string &Bytes) -> std::optional<PeerMessage> {
  return read<PeerMessage>(Bytes);
}
auto decodeStoreValue(const std::string &Bytes) -> std::optional<StoreValue> {
  return read<StoreValue>(Bytes);
}

} // namespace skylark
