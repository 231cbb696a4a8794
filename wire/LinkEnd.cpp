#include "wire/LinkEnd.h"

#include <array>
#include <websocketpp/transport/base/connection.hpp>

namespace skylark {

auto linkEndText(LinkEnd End) -> std::string_view {
  constexpr std::array<std::string_view,
                       static_cast<std::size_t>(LinkEnd::Count)>
      Texts{"closed by the other end",
            "bytes unacknowledged",
            "a write failed, unacknowledged or reset",
            "too many bytes waited to be sent",
            "replaced by a newer connection",
            "probes not answered",
            "address changed",
            "failed"};
  return Texts[static_cast<std::size_t>(End)];
}

auto linkEndOf(const std::error_code &Error, bool PeerSentClose) -> LinkEnd {
  const auto Closed =
      Error == make_error_code(websocketpp::transport::error::eof) ||
      Error == std::errc::connection_reset || Error == std::errc::broken_pipe;
  if (PeerSentClose || Closed)
    return LinkEnd::ClosedByPeer;
  if (Error == std::errc::timed_out || Error == std::errc::host_unreachable ||
      Error == std::errc::network_unreachable)
    return LinkEnd::Unacknowledged;
  if (Error == make_error_code(websocketpp::transport::error::pass_through))
    return LinkEnd::WriteFailed;
  return Error ? LinkEnd::Failed : LinkEnd::BufferFull;
}

} // namespace skylark
