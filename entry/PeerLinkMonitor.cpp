#include "entry/PeerLinkMonitor.h"

#include <utility>

namespace skylark {
namespace {

/// At most MaxLines lines are written in LineWindow for each peer and
/// direction.
constexpr Millis LineWindow{5000};
constexpr std::size_t MaxLines = 6;

auto indexOf(LinkDirection Direction) -> std::size_t {
  return static_cast<std::size_t>(Direction);
}

auto age(TimePoint Now, TimePoint Since) -> std::string {
  return std::to_string(
             std::chrono::duration_cast<Millis>(Now - Since).count()) +
         " ms";
}

} // namespace

auto PeerLinkMonitor::opened(TimePoint Now, const EntryId &Peer,
                             LinkDirection Direction, SessionNumber Session)
    -> void {
  auto &Open = Peers_[Peer].Links_[indexOf(Direction)].Open_;
  const auto Earlier = Open.size();
  if (!Open.emplace(Session, Now).second)
    return;
  ++OpenLinks_[indexOf(Direction)];
  write(Now, "link-opened", Peer, Direction,
        Earlier == 0 ? ""
                     : ", " + std::to_string(Earlier) + " earlier still open");
}

auto PeerLinkMonitor::received(TimePoint Now, const EntryId &Peer) -> void {
  Peers_[Peer].LastReceivedAt_ = Now;
}

auto PeerLinkMonitor::closed(TimePoint Now, const EntryId &Peer,
                             LinkDirection Direction, SessionNumber Session,
                             LinkEnd End) -> void {
  auto &Open = Peers_[Peer].Links_[indexOf(Direction)].Open_;
  const auto Found = Open.find(Session);
  if (Found == Open.end())
    return;
  const auto Lifetime = age(Now, Found->second);
  Open.erase(Found);
  --OpenLinks_[indexOf(Direction)];
  write(Now, "link-closed", Peer, Direction,
        ", " + std::string(linkEndText(End)) + ", after " + Lifetime);
}

auto PeerLinkMonitor::openLinks(LinkDirection Direction) const -> std::size_t {
  return OpenLinks_[indexOf(Direction)];
}

auto PeerLinkMonitor::write(TimePoint Now, std::string_view Event,
                            const EntryId &Id, LinkDirection Direction,
                            std::string Detail) -> void {
  auto &Peer = Peers_[Id];
  auto &Links = Peer.Links_[indexOf(Direction)];
  if (Links.LinesSince_ + LineWindow <= Now) {
    Links.LinesSince_ = Now;
    Links.Lines_ = 0;
  }
  if (Links.Lines_ == MaxLines) {
    ++Links.LeftOut_;
    return;
  }
  ++Links.Lines_;
  auto Text = (Direction == LinkDirection::Outgoing ? "outgoing" : "incoming") +
              std::move(Detail);
  Text += Peer.LastReceivedAt_ == TimePoint{}
              ? ", no message of the peer yet"
              : ", last message of the peer " + age(Now, Peer.LastReceivedAt_) +
                    " ago";
  if (Links.LeftOut_ != 0)
    Text += ", " + std::to_string(std::exchange(Links.LeftOut_, 0)) +
            " earlier lines left out";
  Log_(LogDecision{Event, Id.Value_, 0, ErrorKind::None, std::move(Text)});
}

} // namespace skylark
