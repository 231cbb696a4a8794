/// \file
/// Defines the loopback addresses of the soak's machines.
#pragma once

#include <string>

namespace skylark::soak {

/// Difference in the third octet between a machine's own address and the one
/// at which the forwarder takes its connections.
constexpr unsigned ForwardedOffset = 125;
/// Fourth octets: entries from 1 on, agents with their workers from 20 on.
constexpr int FirstEntryOctet = 1;
constexpr int FirstAgentOctet = 20;
constexpr int StoreOctet = 250;

/// Offsets of the ports from the site's first one.
constexpr int FrontPortOffset = 1;
constexpr int ReadyPortOffset = 2;
constexpr int ControlPortOffset = 3;
constexpr int WorkerPortOffset = 4;
constexpr int LinkPortOffset = 5;

/// The network of one site: 127.x.y.*, forwarded at 127.x.(y + 125).*.
class SiteAddresses {
public:
  SiteAddresses(int Second, int Third, int BasePort)
      : Second_(Second), Third_(Third), BasePort_(BasePort) {}

  auto own(int Octet) const -> std::string { return host(Third_, Octet); }
  auto forwarded(int Octet) const -> std::string {
    return host(Third_ + static_cast<int>(ForwardedOffset), Octet);
  }
  auto port(int Offset) const -> int { return BasePort_ + Offset; }

private:
  auto host(int Third, int Octet) const -> std::string {
    return "127." + std::to_string(Second_) + "." + std::to_string(Third) +
           "." + std::to_string(Octet);
  }

  int Second_;
  int Third_;
  int BasePort_;
};

} // namespace skylark::soak
