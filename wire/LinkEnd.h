/// \file
/// Defines why an open connection between processes ended.
#pragma once

#include <cstdint>
#include <string_view>
#include <system_error>

namespace skylark {

/// Why an open connection ended.
enum class LinkEnd : std::uint8_t {
  /// The other end closed or reset it.
  ClosedByPeer,
  /// Sent bytes were not acknowledged in time.
  Unacknowledged,
  /// A write failed while its bytes were being taken; the library doesn't say
  /// whether they stayed unacknowledged or the other end reset the connection.
  WriteFailed,
  /// More bytes waited to be sent than are kept.
  BufferFull,
  /// A newer connection of the same sender took its place.
  Replaced,
  /// The other process answered no probe.
  Unanswered,
  /// The other end was registered under another address.
  AddressChanged,
  Failed,
  Count
};

/// The text for `End` in log lines.
auto linkEndText(LinkEnd End) -> std::string_view;

/// Classifies the end of a connection that this end didn't close.
/// \param Error the connection's last error; none if it was closed in order, or
/// by this end since too many bytes waited.
/// \param PeerSentClose whether the other end announced that it closes.
auto linkEndOf(const std::error_code &Error, bool PeerSentClose) -> LinkEnd;

} // namespace skylark
