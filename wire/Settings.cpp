#include "wire/Settings.h"

#include "wire/CheckedJson.h"
#include "wire/ResourcesText.h"

#include <algorithm>
#include <array>
#include <optional>

namespace skylark {
namespace {

using Internal::CheckedObject;

constexpr std::int64_t LastPort = 65535;

/// Reads "address:port"; nothing where the text is something else.
auto parseEndpoint(const std::string &Text) -> std::optional<Address> {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return std::nullopt;
  const auto Digits = Text.substr(Colon + 1);
  constexpr std::size_t MostDigits = 5;
  if (Digits.empty() || Digits.size() > MostDigits ||
      Digits.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  const auto Port = std::stol(Digits);
  if (Port < 1 || Port > LastPort)
    return std::nullopt;
  return Address{Text.substr(0, Colon), static_cast<std::uint16_t>(Port)};
}

auto readAddress(CheckedObject &From) -> Address {
  Address Result;
  if (From.has("endpoint")) {
    const auto Parsed = parseEndpoint(From.text("endpoint"));
    if (!Parsed)
      From.problem("endpoint", "an IP address and a port as \"address:port\"");
    return Parsed.value_or(Result);
  }
  Result.Host_ = From.text("address");
  Result.Port_ =
      static_cast<std::uint16_t>(From.integer("port", {1, LastPort}));
  return Result;
}

auto addressField(CheckedObject &Top, const char *Name, Address &Result)
    -> void {
  Top.object(Name, true,
             [&](CheckedObject &From) { Result = readAddress(From); });
}

/// Descriptors that callers don't get: files, peers, agents, the store.
constexpr std::int64_t DescriptorReserve = 700;

auto connectionsOf(std::int64_t Descriptors) -> std::size_t {
  return static_cast<std::size_t>(Descriptors - DescriptorReserve);
}

/// Processor, in thousandths, that a link of one Mbit/s is worth as much as.
constexpr double MilliCoresPerMbit = 10;
constexpr double MilliCoresPerCore = 1000;
constexpr double MostCores = 1024;
constexpr double LeastShare = 0.001;
constexpr double MostMbit = 1e6;

/// What an entry can carry, bound by its processor or its link.
auto readStrength(CheckedObject &From) -> std::uint32_t {
  const auto Share = From.number("processor_share", LeastShare, MostCores, 1);
  const auto Cores = From.number("cores", 1, MostCores, 1);
  const auto Link = From.number("link_mbps", LeastShare, MostMbit, MostMbit);
  return static_cast<std::uint32_t>(
      std::min(Share * Cores * MilliCoresPerCore, Link * MilliCoresPerMbit));
}

auto readEntry(CheckedObject &Top, Settings &Result) -> void {
  auto &Entry = Result.Entry_;
  Entry.Entry_ = {Top.text("id")};
  Entry.Environment_ = {Top.text("environment")};
  Result.Protocol_ = Top.text("protocol", Result.Protocol_);
  if (Top.has("data_centres"))
    for (const auto &Name : Top.names("data_centres"))
      Entry.DataCentres_.push_back({Name});
  Top.object("policy", false, [&](CheckedObject &From) {
    Internal::readPolicySettings(From, Entry.Policy_);
  });
  Top.object("ready", false,
             [&](CheckedObject &From) { Result.Ready_ = readAddress(From); });
  Top.object("metrics", false,
             [&](CheckedObject &From) { Result.Metrics_ = readAddress(From); });
  Entry.DataCentre_ = {Top.text("data_centre")};
  Entry.ShardCount_ =
      static_cast<ShardNumber>(Top.integer("shards", {1, 4096}, 8));
  Entry.Seed_ =
      static_cast<std::uint64_t>(Top.integer("seed", {0, 1000000000}, 0));
  Entry.StopTimeout_ = Seconds{Top.integer(
      "stop_within_s", {3, 600},
      std::chrono::duration_cast<Seconds>(Entry.StopTimeout_).count())};
  Entry.Dispatcher_.RoutingPolicy_ = Top.text("routing_policy", "power-of-two");
  if (makeRoutingPolicy(Entry.Dispatcher_.RoutingPolicy_) == nullptr)
    Top.problem("routing_policy",
                "power-of-two, random, round-robin or least-loaded");
  addressField(Top, "http", Result.Http_);
  addressField(Top, "link", Result.Link_);
  Entry.PeerAddress_ = Result.Link_.text();
  Top.object("store", true, [&](CheckedObject &From) {
    Result.Store_ = readAddress(From);
    Entry.StoreCallsPerSecond_ =
        static_cast<double>(From.integer("calls_per_second", {5, 2000}, 100));
  });
  Top.object("limits", false, [&](CheckedObject &From) {
    auto &Limits = Result.Limits_;
    constexpr std::int64_t MaxBody = std::int64_t{8} * 1024 * 1024;
    Limits.BodyBytes_ = static_cast<std::size_t>(
        From.integer("body_bytes", {1024, MaxBody},
                     static_cast<std::int64_t>(Limits.BodyBytes_)));
    Limits.Connections_ = static_cast<std::size_t>(
        From.integer("connections", {1, 20000},
                     static_cast<std::int64_t>(Limits.Connections_)));
    if (From.has("descriptors"))
      Limits.Connections_ = connectionsOf(
          From.integer("descriptors", {DescriptorReserve + 1, 1000000}));
    if (From.has("processor_share"))
      Entry.CapacityMilliCores_ = readStrength(From);
    Entry.Dispatcher_.InFlightLimit_ = static_cast<std::size_t>(From.integer(
        "in_flight", {1, 1000000},
        static_cast<std::int64_t>(Entry.Dispatcher_.InFlightLimit_)));
  });
}

/// Reads addresses of instances that may run an entry; the entry listens on
/// the port of the system's own, not on the one that the address names.
auto readSeeds(CheckedObject &Top, Settings &Result) -> void {
  if (!Top.has("seeds"))
    return;
  const auto Port =
      static_cast<std::uint16_t>(Top.integer("entry_port", {1, LastPort}));
  for (const auto &Text : Top.texts("seeds")) {
    const auto Seed = parseEndpoint(Text);
    if (Seed)
      Result.Entries_.push_back({Seed->Host_, Port});
    else
      Top.problem("seeds", "a list of \"address:port\"");
  }
}

auto readAgent(CheckedObject &Top, Settings &Result) -> void {
  auto &Agent = Result.Agent_;
  Agent.Agent_ = {Top.text("id")};
  Agent.DataCentre_ = {Top.text("data_centre")};
  Agent.Rack_ = Top.text("rack", "none");
  Result.Protocol_ = Top.text("protocol", Result.Protocol_);
  Result.Environment_ = {Top.text("environment", "production")};
  Top.object("announcements", false, [&](CheckedObject &From) {
    Result.Announcements_ = readAddress(From);
    Agent.WorkerAnnounces_ = true;
  });
  Top.object("store", false,
             [&](CheckedObject &From) { Result.Store_ = readAddress(From); });
  Top.object("metrics", false,
             [&](CheckedObject &From) { Result.Metrics_ = readAddress(From); });
  if (Top.has("entries"))
    Top.objects("entries", [&](CheckedObject &From) {
      Result.Entries_.push_back(readAddress(From));
    });
  readSeeds(Top, Result);
  if (Result.Entries_.empty() && Result.Store_.Port_ == 0)
    Top.problem("entries", "one or more addresses of entries");
  Agent.LongestLease_ = Millis{Top.integer("longest_lease_ms", {1000, 600000},
                                           Agent.LongestLease_.count())};
  Top.object("worker", true, [&](CheckedObject &From) {
    Result.Worker_ = readAddress(From);
    if (!Agent.WorkerAnnounces_)
      Agent.Capacity_ = Internal::readResources(From);
  });
  Top.object("target", !Agent.WorkerAnnounces_, [&](CheckedObject &From) {
    Result.Target_ = readAddress(From);
    Agent.Limits_.Slots_ =
        static_cast<std::uint32_t>(From.integer("slots", {1, 4096}));
    Agent.Limits_.Connections_ =
        static_cast<std::uint32_t>(From.integer("connections", {1, 65536}));
    for (const auto &Name : From.names("services"))
      Agent.Services_.push_back({Name});
  });
}

struct RoleReader {
  const char *Name_;
  Role Role_;
  void (*Read_)(CheckedObject &, Settings &);
};

constexpr std::array<RoleReader, 2> Roles{
    {{"entry", Role::Entry, readEntry}, {"agent", Role::Agent, readAgent}}};

auto readTop(CheckedObject &Top, Settings &Result) -> void {
  const auto Name = Top.text("role");
  for (const auto &Each : Roles) {
    if (Name != Each.Name_)
      continue;
    Result.Role_ = Each.Role_;
    Each.Read_(Top, Result);
    return;
  }
  Top.problem("role", "\"entry\" or \"agent\"");
}

} // namespace

auto parseSettings(const std::string &Text) -> ParsedSettings {
  ParsedSettings Result;
  Result.Problems_ = Internal::readChecked(
      Text, [&](CheckedObject &Top) { readTop(Top, Result.Settings_); });
  return Result;
}

} // namespace skylark
