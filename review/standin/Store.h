/// \file
/// Stands in for the platform's metadata store.
#pragma once

#include "Record.h"

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

inline auto base64Alphabet() -> const std::string & {
  static const std::string Alphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  return Alphabet;
}

inline auto base64Encode(const std::string &Bytes) -> std::string {
  std::string Result;
  for (std::size_t Index = 0; Index < Bytes.size(); Index += 3) {
    std::uint32_t Group = 0;
    for (std::size_t Offset = 0; Offset < 3; ++Offset)
      Group =
          Group << 8 | (Index + Offset < Bytes.size()
                            ? static_cast<unsigned char>(Bytes[Index + Offset])
                            : 0U);
    for (std::size_t Digit = 0; Digit < 4; ++Digit)
      Result += Index + Digit > Bytes.size()
                    ? '='
                    : base64Alphabet()[Group >> (18 - 6 * Digit) & 63U];
  }
  return Result;
}

/// Number of bytes that a base64 text stands for.
inline auto base64Size(const std::string &Text) -> std::size_t {
  auto Size = Text.size() / 4 * 3;
  for (auto Each = Text.rbegin(); Each != Text.rend() && *Each == '='; ++Each)
    --Size;
  return Size;
}

class Store {
public:
  Store(Record &Log, std::string Host, int Port)
      : Log_(Log), Server_(std::move(Host), Port,
                           [this](const HttpRequest &R) { return handle(R); }) {
    Server_.start();
  }

  /// The store answers nothing and does nothing (platform_down, silent).
  auto setSilent(bool Silent) -> void {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    if (!Silent)
      // Leases pause while the store is down.
      for (auto &[Id, Each] : Leases_)
        Each.ExpiresAt_ += Clock::now() - SilentSince_;
    SilentSince_ = Clock::now();
    Silent_ = Silent;
    Log_.line(Silent ? "store: silent" : "store: answers again");
  }

  /// Writes a key of the operator.
  auto put(const std::string &Key, const std::string &Value) -> void {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    write(Key, base64Encode(Value), 0, ++Revision_);
    Log_.line("operator: put " + Key);
  }

  auto rejectedValues() -> int {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return RejectedValues_;
  }

private:
  static constexpr std::size_t MaxValueBytes = 1048576;
  static constexpr std::size_t MaxItemsPerPage = 500;
  static constexpr std::size_t MaxPageBytes = 1000000;

  struct Item {
    std::string Value_;
    std::uint64_t Revision_ = 0;
    std::uint64_t Created_ = 0;
    std::uint64_t Lease_ = 0;
  };
  struct Event {
    std::uint64_t Revision_ = 0;
    std::string Key_;
    bool Removed_ = false;
    Item Item_;
  };
  struct Lease {
    Millis TimeToLive_{0};
    Clock::time_point ExpiresAt_;
  };

  auto write(const std::string &Key, std::string Value, std::uint64_t Lease,
             std::uint64_t Revision) -> void {
    auto &Written = Items_[Key];
    if (Written.Created_ == 0)
      Written.Created_ = Revision;
    Written.Value_ = std::move(Value);
    Written.Revision_ = Revision;
    Written.Lease_ = Lease;
    if (Key.compare(0, 3, "op/") == 0)
      Events_.push_back({Revision, Key, false, Written});
  }

  auto remove(const std::string &Key, std::uint64_t Revision) -> void {
    if (Items_.erase(Key) != 0 && Key.compare(0, 3, "op/") == 0)
      Events_.push_back({Revision, Key, true, {}});
  }

  auto expireLeases() -> void {
    for (auto Each = Leases_.begin(); Each != Leases_.end();) {
      if (Each->second.ExpiresAt_ > Clock::now()) {
        ++Each;
        continue;
      }
      endLease(Each->first);
      Each = Leases_.erase(Each);
    }
  }

  auto endLease(std::uint64_t Id) -> void {
    std::vector<std::string> Keys;
    for (const auto &[Key, Each] : Items_)
      if (Each.Lease_ == Id)
        Keys.push_back(Key);
    ++Revision_;
    for (const auto &Key : Keys)
      remove(Key, Revision_);
  }

  static auto render(const std::string &Key, const Item &Each) -> Json {
    return {{"key", Key},
            {"value", Each.Value_},
            {"revision", Each.Revision_},
            {"created", Each.Created_},
            {"lease", Each.Lease_}};
  }

  auto handle(const HttpRequest &Request) -> HttpResponse {
    // The store takes about 4 ms for an answer.
    std::this_thread::sleep_for(Millis{4});
    const std::lock_guard<std::mutex> Lock(Mutex_);
    if (Silent_)
      return {0, "", true};
    expireLeases();
    try {
      return serve(Request);
    } catch (const std::exception &Error) {
      return {400, Json{{"error", Error.what()}}.dump()};
    }
  }

  auto serve(const HttpRequest &Request) -> HttpResponse {
    const auto &Path = Request.Path_;
    if (Path == "/kv-key")
      return readKey(Request.Query_.at("key"));
    if (Path == "/kv-range")
      return readRange(Request);
    if (Path == "/kv-watch")
      return watch(Request);
    if (Path == "/kv-txn")
      return transact(Json::parse(Request.Body_));
    if (Path == "/kv-lease") {
      const Millis TimeToLive{
          Json::parse(Request.Body_).at("ttl_ms").get<int>()};
      const auto Id = ++LastLease_;
      Leases_[Id] = {TimeToLive, Clock::now() + TimeToLive};
      return {200, Json{{"lease", Id}, {"ttl_ms", TimeToLive.count()}}.dump()};
    }
    const auto Id = std::stoull(Path.substr(Path.rfind('/') + 1));
    const auto Found = Leases_.find(Id);
    if (Found == Leases_.end())
      return {404, "{}"};
    if (Path.compare(0, 9, "/kv-keep/") == 0) {
      Found->second.ExpiresAt_ = Clock::now() + Found->second.TimeToLive_;
      return {200, Json{{"ttl_ms", Found->second.TimeToLive_.count()}}.dump()};
    }
    endLease(Id);
    Leases_.erase(Found);
    return {200, "{}"};
  }

  auto readKey(const std::string &Key) -> HttpResponse {
    const auto Found = Items_.find(Key);
    if (Found == Items_.end())
      return {404, Json{{"current_rev", Revision_}}.dump()};
    auto Body = render(Key, Found->second);
    Body["current_rev"] = Revision_;
    return {200, Body.dump()};
  }

  auto readRange(const HttpRequest &Request) -> HttpResponse {
    const auto &Prefix = Request.Query_.at("prefix");
    const auto After = Request.Query_.count("after") != 0
                           ? Request.Query_.at("after")
                           : std::string{};
    Json Body{{"items", Json::array()},
              {"has_more", false},
              {"current_rev", Revision_}};
    std::size_t Bytes = 0;
    auto Each = After.empty() ? Items_.lower_bound(Prefix)
                              : Items_.upper_bound(std::max(After, Prefix));
    for (; Each != Items_.end() &&
           Each->first.compare(0, Prefix.size(), Prefix) == 0;
         ++Each) {
      if (Body["items"].size() >= MaxItemsPerPage || Bytes >= MaxPageBytes) {
        Body["has_more"] = true;
        break;
      }
      Bytes += Each->second.Value_.size();
      Body["items"].push_back(render(Each->first, Each->second));
    }
    return {200, Body.dump()};
  }

  auto watch(const HttpRequest &Request) -> HttpResponse {
    const auto &Prefix = Request.Query_.at("prefix");
    const auto After = std::stoull(Request.Query_.at("after"));
    Json Body{{"events", Json::array()}, {"current_rev", Revision_}};
    for (const auto &Each : Events_) {
      if (Each.Revision_ <= After ||
          Each.Key_.compare(0, Prefix.size(), Prefix) != 0)
        continue;
      if (Each.Removed_)
        Body["events"].push_back({{"key", Each.Key_},
                                  {"revision", Each.Revision_},
                                  {"removed", true}});
      else
        Body["events"].push_back(render(Each.Key_, Each.Item_));
    }
    return {200, Body.dump()};
  }

  auto transact(const Json &Body) -> HttpResponse {
    auto Failed = false;
    auto Current = Json::array();
    for (const auto &Each : Body.value("expect", Json::array())) {
      const auto Key = Each.at("key").get<std::string>();
      const auto Found = Items_.find(Key);
      const auto Revision = Found == Items_.end() ? 0 : Found->second.Revision_;
      Failed |= Revision != Each.at("revision").get<std::uint64_t>();
      if (Found != Items_.end())
        Current.push_back(render(Key, Found->second));
    }
    for (const auto &Each : Body.value("set_keys", Json::array())) {
      const auto Size = base64Size(Each.at("value").get<std::string>());
      if (Size > MaxValueBytes) {
        ++RejectedValues_;
        if (RejectedValues_ <= 20 || RejectedValues_ % 100 == 0)
          Log_.line("store: refused the value of " +
                    Each.at("key").get<std::string>() + ", " +
                    std::to_string(Size) + " bytes, " +
                    std::to_string(RejectedValues_) + " refusals so far");
        return {400, Json{{"error", "value_bytes"}}.dump()};
      }
      const auto Lease = Each.value("lease", std::uint64_t{0});
      if (Lease != 0 && Leases_.count(Lease) == 0)
        return {404, "{}"};
    }
    if (Failed)
      return {412, Json{{"items", Current}}.dump()};
    ++Revision_;
    for (const auto &Each : Body.value("set_keys", Json::array()))
      write(Each.at("key").get<std::string>(),
            Each.at("value").get<std::string>(),
            Each.value("lease", std::uint64_t{0}), Revision_);
    for (const auto &Each : Body.value("remove", Json::array()))
      remove(Each.get<std::string>(), Revision_);
    return {200, Json{{"revision", Revision_}}.dump()};
  }

  Record &Log_;
  std::mutex Mutex_;
  std::map<std::string, Item> Items_;
  std::vector<Event> Events_;
  std::map<std::uint64_t, Lease> Leases_;
  std::uint64_t Revision_ = 1;
  std::uint64_t LastLease_ = 77000;
  bool Silent_ = false;
  Clock::time_point SilentSince_;
  int RejectedValues_ = 0;
  /// Last, so that it stops first.
  HttpServer Server_;
};

} // namespace review
