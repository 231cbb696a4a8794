#include "wire/Settings.h"

#include "wire/CheckedJson.h"
#include "wire/ResourcesJson.h"

#include <algorithm>
#include <array>
#include <optional>

namespace skylark {
namespace {

using Internal::CheckedObject;
using Internal::IntegerRange;

constexpr std::int64_t MaxPort = 65535;

/// Upper limits that follow from the program itself. None of them describes a
/// deployment: those differ by orders of magnitude.
/// In bytes; a value of the store holds a claim with its kept answer, or a
/// checkpoint, many times over.
constexpr IntegerRange StoreValueSizes{std::int64_t{128} * 1024,
                                       std::int64_t{1} << 30};
constexpr IntegerRange StoreCallRates{
    5, 1000000, "a burst of one second's calls is kept in memory"};
constexpr IntegerRange ShardCounts{1, 4096,
                                   "each shard has a ledger of its own"};
constexpr IntegerRange ConnectionCounts{
    1, 1000000, "each connection takes a file descriptor of the process"};
constexpr IntegerRange InFlightCounts{
    1, 1000000, "each request in flight is kept in memory"};
constexpr IntegerRange SlotCounts{
    1, 65536, "a target has no more connections than ports"};

auto readAddress(CheckedObject &Object) -> Address {
  Address Result;
  if (Object.has("endpoint")) {
    const auto Parsed = parseAddress(Object.text("endpoint"));
    if (!Parsed)
      Object.reportProblem("endpoint",
                           "an IP address and a port as \"address:port\"");
    return Parsed.value_or(Result);
  }
  Result.Host_ = Object.text("address");
  Result.Port_ =
      static_cast<std::uint16_t>(Object.integer("port", {1, MaxPort}));
  return Result;
}

auto readAddressField(CheckedObject &Root, const char *Name, Address &Result)
    -> void {
  Root.object(Name, true,
              [&](CheckedObject &Object) { Result = readAddress(Object); });
}

/// File descriptors that are kept back from callers' connections, for files and
/// the connections to peers, agents and the store.
constexpr std::int64_t ReservedDescriptors = 700;
constexpr IntegerRange DescriptorCounts{ReservedDescriptors + 1, 1073741816,
                                        "the kernel allows a process no more"};

auto connectionLimitFor(std::int64_t Descriptors) -> std::size_t {
  return static_cast<std::size_t>(Descriptors - ReservedDescriptors);
}

/// Millicores of processor capacity that one Mbit/s of network bandwidth counts
/// as.
constexpr double MilliCoresPerMbps = 10;
constexpr double MilliCoresPerCore = 1000;
constexpr double MaxCores = 1024;
constexpr double MinShareOrMbps = 0.001;
constexpr double MaxMbps = 1e6;

/// Reads the capacity of an entry in millicores: that of its processors or that
/// of its network link, whichever is smaller.
auto readCapacity(CheckedObject &Object) -> std::uint32_t {
  const auto ProcessorShare =
      Object.number("processor_share", MinShareOrMbps, MaxCores, 1);
  const auto Cores = Object.number("cores", 1, MaxCores, 1);
  const auto LinkMbps =
      Object.number("link_mbps", MinShareOrMbps, MaxMbps, MaxMbps);
  return static_cast<std::uint32_t>(
      std::min(ProcessorShare * Cores * MilliCoresPerCore,
               LinkMbps * MilliCoresPerMbps));
}

auto readEntry(CheckedObject &Root, Settings &Result) -> void {
  auto &Entry = Result.Entry_;
  Entry.Entry_ = {Root.text("id")};
  Entry.Environment_ = {Root.text("environment")};
  Result.Protocol_ = Root.text("protocol", Result.Protocol_);
  if (Root.has("data_centres"))
    for (const auto &Name : Root.names("data_centres"))
      Entry.DataCentres_.push_back({Name});
  Root.object("policy", false, [&](CheckedObject &Object) {
    Internal::readPolicySettings(Object, Entry.Policy_);
  });
  Root.object("ready", false, [&](CheckedObject &Object) {
    Result.Ready_ = readAddress(Object);
  });
  Root.object("metrics", false, [&](CheckedObject &Object) {
    Result.Metrics_ = readAddress(Object);
  });
  Entry.DataCentre_ = {Root.text("data_centre")};
  Entry.ShardCount_ =
      static_cast<ShardNumber>(Root.integer("shards", ShardCounts, 8));
  Entry.Seed_ =
      static_cast<std::uint64_t>(Root.integer("seed", {0, 1000000000}, 0));
  Entry.StopTimeout_ = Seconds{Root.integer(
      "stop_within_s", {3, 600},
      std::chrono::duration_cast<Seconds>(Entry.StopTimeout_).count())};
  Entry.Dispatcher_.RoutingPolicy_ =
      Root.text("routing_policy", "power-of-two");
  if (makeRoutingPolicy(Entry.Dispatcher_.RoutingPolicy_) == nullptr)
    Root.reportProblem("routing_policy",
                       "power-of-two, random, round-robin or least-loaded");
  readAddressField(Root, "http", Result.Http_);
  readAddressField(Root, "link", Result.Link_);
  Entry.PeerAddress_ = Result.Link_.text();
  Root.object("store", true, [&](CheckedObject &Object) {
    Result.Store_ = readAddress(Object);
    Entry.StoreCallsPerSecond_ = static_cast<double>(
        Object.integer("calls_per_second", StoreCallRates, 100));
    Entry.MaxValueSize_ = static_cast<std::size_t>(
        Object.integer("value_bytes", StoreValueSizes,
                       static_cast<std::int64_t>(Entry.MaxValueSize_)));
    Result.StoreOptions_ = Object.objectText("options");
  });
  Root.object("limits", false, [&](CheckedObject &Object) {
    auto &Limits = Result.Limits_;
    constexpr std::int64_t MaxBodyBytes = std::int64_t{8} * 1024 * 1024;
    Limits.BodyBytes_ = static_cast<std::size_t>(
        Object.integer("body_bytes", {1024, MaxBodyBytes},
                       static_cast<std::int64_t>(Limits.BodyBytes_)));
    Limits.Connections_ = static_cast<std::size_t>(
        Object.integer("connections", ConnectionCounts,
                       static_cast<std::int64_t>(Limits.Connections_)));
    if (Object.has("descriptors"))
      Limits.Connections_ =
          connectionLimitFor(Object.integer("descriptors", DescriptorCounts));
    if (Object.has("processor_share"))
      Entry.CapacityMilliCores_ = readCapacity(Object);
    Entry.Dispatcher_.InFlightLimit_ = static_cast<std::size_t>(Object.integer(
        "in_flight", InFlightCounts,
        static_cast<std::int64_t>(Entry.Dispatcher_.InFlightLimit_)));
  });
}

/// Reads the addresses of instances that may run an entry. An entry accepts
/// agents on `entry_port`, so the port in each address is not used.
auto readSeeds(CheckedObject &Root, Settings &Result) -> void {
  if (!Root.has("seeds"))
    return;
  const auto Port =
      static_cast<std::uint16_t>(Root.integer("entry_port", {1, MaxPort}));
  for (const auto &Text : Root.texts("seeds")) {
    const auto Seed = parseAddress(Text);
    if (Seed)
      Result.Entries_.push_back({Seed->Host_, Port});
    else
      Root.reportProblem("seeds", "a list of \"address:port\"");
  }
}

auto readAgent(CheckedObject &Root, Settings &Result) -> void {
  auto &Agent = Result.Agent_;
  Agent.Agent_ = {Root.text("id")};
  Agent.DataCentre_ = {Root.text("data_centre")};
  Agent.Rack_ = Root.text("rack", "none");
  Result.Protocol_ = Root.text("protocol", Result.Protocol_);
  Result.Environment_ = {Root.text("environment", "production")};
  Root.object("announcements", false, [&](CheckedObject &Object) {
    Result.Announcements_ = readAddress(Object);
    Agent.WorkerAnnounces_ = true;
  });
  Root.object("store", false, [&](CheckedObject &Object) {
    Result.Store_ = readAddress(Object);
  });
  Root.object("metrics", false, [&](CheckedObject &Object) {
    Result.Metrics_ = readAddress(Object);
  });
  if (Root.has("entries"))
    Root.objects("entries", [&](CheckedObject &Object) {
      Result.Entries_.push_back(readAddress(Object));
    });
  readSeeds(Root, Result);
  if (Result.Entries_.empty() && Result.Store_.Port_ == 0)
    Root.reportProblem("entries", "one or more addresses of entries");
  Agent.LongestLease_ = Millis{Root.integer("longest_lease_ms", {1000, 600000},
                                            Agent.LongestLease_.count())};
  Root.object("worker", true, [&](CheckedObject &Object) {
    Result.Worker_ = readAddress(Object);
    Result.WorkerOptions_ = Object.objectText("options");
    if (!Agent.WorkerAnnounces_)
      Agent.Capacity_ = Internal::readResources(Object);
  });
  Root.object("target", !Agent.WorkerAnnounces_, [&](CheckedObject &Object) {
    Result.Target_ = readAddress(Object);
    Agent.Limits_.Slots_ =
        static_cast<std::uint32_t>(Object.integer("slots", SlotCounts));
    Agent.Limits_.Connections_ =
        static_cast<std::uint32_t>(Object.integer("connections", SlotCounts));
    for (const auto &Name : Object.names("services"))
      Agent.Services_.push_back({Name});
  });
}

struct RoleReader {
  const char *Name_;
  Role Role_;
  void (*Read_)(CheckedObject &, Settings &);
};

constexpr std::array<RoleReader, 2> RoleReaders{
    {{"entry", Role::Entry, readEntry}, {"agent", Role::Agent, readAgent}}};

auto readRoot(CheckedObject &Root, Settings &Result) -> void {
  const auto Name = Root.text("role");
  for (const auto &Each : RoleReaders) {
    if (Name != Each.Name_)
      continue;
    Result.Role_ = Each.Role_;
    Each.Read_(Root, Result);
    return;
  }
  Root.reportProblem("role", "\"entry\" or \"agent\"");
}

} // namespace

auto parseSettings(const std::string &Text) -> ParsedSettings {
  ParsedSettings Result;
  Result.Problems_ = Internal::parseCheckedJson(
      Text, [&](CheckedObject &Root) { readRoot(Root, Result.Settings_); });
  return Result;
}

} // namespace skylark
