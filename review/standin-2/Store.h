/// \file
/// Stands in for the platform's metadata store. It answers each call at once
/// and loses nothing.
#pragma once

#include "Record.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <vector>

namespace skylark::review2 {

using Json = nlohmann::json;

inline auto base64Encode(const std::string &Bytes) -> std::string {
  constexpr auto Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t Index = 0; Index < Bytes.size(); Index += 3) {
    std::uint32_t Group = 0;
    for (std::size_t Offset = 0; Offset < 3; ++Offset)
      Group =
          Group << 8 | (Index + Offset < Bytes.size()
                            ? static_cast<std::uint8_t>(Bytes[Index + Offset])
                            : 0U);
    for (std::size_t Offset = 0; Offset < 4; ++Offset)
      Result += Index + Offset > Bytes.size()
                    ? '='
                    : Digits[Group >> (18 - 6 * Offset) & 63];
  }
  return Result;
}

class Store {
public:
  Store(const std::string &Host, int Port)
      : Server_(Host, Port, [this](const HttpRequest &Request) {
          return handle(Request);
        }) {
    Server_.start();
    std::thread([this] {
      for (;;) {
        std::this_thread::sleep_for(Millis{20});
        const std::lock_guard<std::mutex> Lock(Mutex_);
        expireLeases();
      }
    }).detach();
  }

  /// Writes a key as the operator does.
  auto put(const std::string &Key, const std::string &Bytes) -> void {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    write(Key, base64Encode(Bytes), 0, ++Revision_);
    Changed_.notify_all();
  }

private:
  struct Item {
    std::string Value_;
    std::uint64_t Revision_ = 0;
    std::uint64_t Created_ = 0;
    std::uint64_t Lease_ = 0;
  };
  struct Lease {
    Millis TimeToLive_{0};
    Clock::time_point EndsAt_;
  };
  struct Event {
    std::uint64_t Revision_ = 0;
    Json Item_;
  };

  auto handle(const HttpRequest &Request) -> std::optional<HttpResponse> {
    std::unique_lock<std::mutex> Lock(Mutex_);
    expireLeases();
    const auto &Path = Request.Path_;
    if (Path == "/kv-key")
      return readKey(Request);
    if (Path == "/kv-range")
      return readRange(Request);
    if (Path == "/kv-watch")
      return watch(Request, Lock);
    if (Path == "/kv-txn")
      return transact(Json::parse(Request.Body_));
    if (Path == "/kv-lease")
      return createLease(Json::parse(Request.Body_));
    const auto Id =
        std::strtoull(Path.substr(Path.rfind('/') + 1).c_str(), nullptr, 10);
    const auto Found = Leases_.find(Id);
    if (Found == Leases_.end())
      return HttpResponse{404, "{}"};
    if (Path.rfind("/kv-keep/", 0) == 0)
      Found->second.EndsAt_ = Clock::now() + Found->second.TimeToLive_;
    else
      endLease(Id);
    return HttpResponse{200, "{}"};
  }

  static auto render(const std::string &Key, const Item &Each) -> Json {
    return {{"key", Key},
            {"value", Each.Value_},
            {"revision", Each.Revision_},
            {"created", Each.Created_},
            {"lease", Each.Lease_}};
  }

  auto readKey(const HttpRequest &Request) -> HttpResponse {
    const auto Found = Items_.find(Request.query("key"));
    if (Found == Items_.end())
      return {404, Json{{"current_rev", Revision_}}.dump()};
    auto Body = render(Found->first, Found->second);
    Body["current_rev"] = Revision_;
    return {200, Body.dump()};
  }

  auto readRange(const HttpRequest &Request) -> HttpResponse {
    const auto Prefix = Request.query("prefix");
    const auto After = Request.query("after");
    constexpr std::size_t MaxItems = 500;
    constexpr std::size_t MaxBytes = 1000000;
    auto Found = Json::array();
    std::size_t Size = 0;
    auto HasMore = false;
    for (auto Each = Items_.lower_bound(std::max(Prefix, After));
         Each != Items_.end(); ++Each) {
      if (Each->first.compare(0, Prefix.size(), Prefix) != 0)
        break;
      if (Each->first == After)
        continue;
      if (Found.size() >= MaxItems || Size > MaxBytes) {
        HasMore = true;
        break;
      }
      Size += Each->second.Value_.size();
      Found.push_back(render(Each->first, Each->second));
    }
    return {200, Json{{"items", Found},
                      {"has_more", HasMore},
                      {"current_rev", Revision_}}
                     .dump()};
  }

  auto watch(const HttpRequest &Request, std::unique_lock<std::mutex> &Lock)
      -> HttpResponse {
    const auto Prefix = Request.query("prefix");
    const auto After = std::stoull(Request.query("after"));
    const auto Until =
        Clock::now() + Millis{std::stoll(Request.query("wait_ms"))};
    for (;;) {
      auto Found = Json::array();
      for (const auto &Each : History_)
        if (Each.Revision_ > After &&
            Each.Item_["key"].get<std::string>().rfind(Prefix, 0) == 0)
          Found.push_back(Each.Item_);
      if (!Found.empty() || Clock::now() >= Until)
        return {200,
                Json{{"events", Found}, {"current_rev", Revision_}}.dump()};
      Changed_.wait_until(Lock, Until);
    }
  }

  auto transact(const Json &Call) -> HttpResponse {
    const auto Expect = Call.value("expect", Json::array());
    const auto Sets = Call.value("set_keys", Json::array());
    for (const auto &Each : Expect) {
      const auto Found = Items_.find(Each["key"].get<std::string>());
      const auto Current = Found == Items_.end() ? 0 : Found->second.Revision_;
      if (Current != Each["revision"].get<std::uint64_t>())
        return {412, conflict(Expect)};
    }
    for (const auto &Each : Sets) {
      const auto Id = Each.value("lease", std::uint64_t{0});
      if (Id != 0 && Leases_.count(Id) == 0)
        return {404, "{}"};
    }
    ++Revision_;
    for (const auto &Each : Sets)
      write(Each["key"], Each["value"], Each.value("lease", std::uint64_t{0}),
            Revision_);
    for (const auto &Each : Call.value("remove", Json::array()))
      remove(Each, Revision_);
    Changed_.notify_all();
    return {200, Json{{"revision", Revision_}}.dump()};
  }

  auto conflict(const Json &Expect) -> std::string {
    auto Found = Json::array();
    for (const auto &Each : Expect) {
      const auto Item = Items_.find(Each["key"].get<std::string>());
      if (Item != Items_.end())
        Found.push_back(render(Item->first, Item->second));
    }
    return Json{{"items", Found}, {"current_rev", Revision_}}.dump();
  }

  auto createLease(const Json &Call) -> HttpResponse {
    const Millis TimeToLive{
        std::max<std::int64_t>(1000, Call["ttl_ms"].get<std::int64_t>())};
    Leases_[++LastLease_] = {TimeToLive, Clock::now() + TimeToLive};
    return {200,
            Json{{"lease", LastLease_}, {"ttl_ms", TimeToLive.count()}}.dump()};
  }

  auto write(const std::string &Key, const std::string &Value,
             std::uint64_t Lease, std::uint64_t At) -> void {
    auto &Written = Items_[Key];
    if (Written.Created_ == 0)
      Written.Created_ = At;
    Written.Value_ = Value;
    Written.Revision_ = At;
    Written.Lease_ = Lease;
    addEvent({At, render(Key, Written)});
  }

  auto remove(const std::string &Key, std::uint64_t At) -> void {
    if (Items_.erase(Key) != 0)
      addEvent({At, {{"key", Key}, {"revision", At}, {"removed", true}}});
  }

  auto addEvent(Event Added) -> void {
    // Only the operator's keys are watched.
    if (Added.Item_["key"].get<std::string>().rfind("op/", 0) == 0)
      History_.push_back(std::move(Added));
  }

  auto endLease(std::uint64_t Id) -> void {
    Leases_.erase(Id);
    std::vector<std::string> Ended;
    for (const auto &[Key, Each] : Items_)
      if (Each.Lease_ == Id)
        Ended.push_back(Key);
    if (Ended.empty())
      return;
    ++Revision_;
    for (const auto &Each : Ended)
      remove(Each, Revision_);
  }

  auto expireLeases() -> void {
    std::vector<std::uint64_t> Ended;
    for (const auto &[Id, Each] : Leases_)
      if (Each.EndsAt_ <= Clock::now())
        Ended.push_back(Id);
    for (const auto Id : Ended)
      endLease(Id);
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<std::string, Item> Items_;
  std::map<std::uint64_t, Lease> Leases_;
  std::vector<Event> History_;
  std::uint64_t Revision_ = 1;
  std::uint64_t LastLease_ = 0;
  HttpServer Server_;
};

} // namespace skylark::review2
