#include "wire/Settings.h"

#include "wire/CheckedJson.h"
#include "wire/ResourcesText.h"

#include <array>

namespace skylark {
namespace {

using Internal::CheckedObject;

auto readAddress(CheckedObject &From) -> Address {
  constexpr std::int64_t LastPort = 65535;
  Address Result;
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

auto readEntry(CheckedObject &Top, Settings &Result) -> void {
  auto &Entry = Result.Entry_;
  Entry.Entry_ = {Top.text("id")};
  Entry.Environment_ = {Top.text("environment")};
  Entry.DataCentre_ = {Top.text("data_centre")};
  Entry.ShardCount_ =
      static_cast<ShardNumber>(Top.integer("shards", {1, 4096}, 8));
  Entry.Seed_ =
      static_cast<std::uint64_t>(Top.integer("seed", {0, 1000000000}, 0));
  Entry.Desk_.RoutingPolicy_ = Top.text("routing_policy", "power-of-two");
  if (makeRoutingPolicy(Entry.Desk_.RoutingPolicy_) == nullptr)
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
    Entry.Desk_.InFlightLimit_ = static_cast<std::size_t>(
        From.integer("in_flight", {1, 1000000},
                     static_cast<std::int64_t>(Entry.Desk_.InFlightLimit_)));
  });
}

auto readAgent(CheckedObject &Top, Settings &Result) -> void {
  auto &Agent = Result.Agent_;
  Agent.Agent_ = {Top.text("id")};
  Agent.DataCentre_ = {Top.text("data_centre")};
  Agent.Rack_ = Top.text("rack", "none");
  Top.objects("entries", [&](CheckedObject &From) {
    Result.Entries_.push_back(readAddress(From));
  });
  if (Result.Entries_.empty())
    Top.problem("entries", "one or more addresses of entries");
  Top.object("worker", true, [&](CheckedObject &From) {
    Result.Worker_ = readAddress(From);
    Agent.Capacity_ = Internal::readResources(From);
  });
  Top.object("target", true, [&](CheckedObject &From) {
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
