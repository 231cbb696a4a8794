/// \file
/// Defines the log lines about the connections among entries, and their number.
#pragma once

#include "core/EntryOutput.h"
#include "wire/LinkEnd.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>

namespace skylark {

enum class LinkDirection : std::uint8_t { Outgoing, Incoming, Count };

/// Logs when connections among entries open and close, and why; a bounded
/// number of lines for each peer and direction.
class PeerLinkMonitor {
public:
  /// \param Log writes one line.
  explicit PeerLinkMonitor(std::function<void(const LogDecision &)> Log)
      : Log_(std::move(Log)) {}

  // To be called on one thread.
  auto opened(TimePoint Now, const EntryId &Peer, LinkDirection Direction,
              SessionNumber Session) -> void;
  /// Records that a message of the peer arrived.
  auto received(TimePoint Now, const EntryId &Peer) -> void;
  /// Does nothing if the connection isn't known to be open.
  auto closed(TimePoint Now, const EntryId &Peer, LinkDirection Direction,
              SessionNumber Session, LinkEnd End) -> void;

  /// Returns the number of open connections. May be called from any thread.
  auto openLinks(LinkDirection Direction) const -> std::size_t;

private:
  static constexpr auto DirectionCount =
      static_cast<std::size_t>(LinkDirection::Count);
  /// The connections of one peer in one direction.
  struct Links {
    /// Open connections, and since when.
    std::map<SessionNumber, TimePoint> Open_;
    TimePoint LinesSince_{};
    std::size_t Lines_ = 0;
    std::size_t LeftOut_ = 0;
  };
  struct Peer {
    std::array<Links, DirectionCount> Links_;
    /// When a message last arrived; TimePoint{} if none has.
    TimePoint LastReceivedAt_{};
  };

  auto write(TimePoint Now, std::string_view Event, const EntryId &Id,
             LinkDirection Direction, std::string Detail) -> void;

  std::function<void(const LogDecision &)> Log_;
  std::map<EntryId, Peer> Peers_;
  std::array<std::atomic<std::size_t>, DirectionCount> OpenLinks_{};
};

} // namespace skylark
