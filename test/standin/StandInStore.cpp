/// \file
/// Stands in for the platform's key-value service: the part of Consul's HTTP
/// interface that we use, with faults on demand at /fault.

#include "test/standin/StandInServer.h"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <websocketpp/base64/base64.hpp>

#include <iostream>
#include <map>

namespace {

using namespace skylark::StandIn;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

struct StoredKey {
  std::string Value_;
  std::uint64_t Index_ = 0;
  std::string Session_;
};

struct Session {
  std::chrono::milliseconds TimeToLive_{0};
  Clock::time_point EndsAt_;
};

/// How the stand-in misbehaves at present.
struct Fault {
  /// "", "down" (refuses), "silent" (never answers), or "drop" (writes, then
  /// never answers the write).
  std::string Mode_;
  std::chrono::milliseconds Delay_{0};
  /// Writes left whose answer is dropped; 0 means all.
  std::uint64_t Left_ = 0;
};

class Store {
public:
  explicit Store(asio::io_context &Context) : Context_(Context) {}

  auto handle(const Request &From) -> void {
    const auto Path = std::string(From->header().path());
    if (Path == "/fault") {
      setFault(From);
      return;
    }
    if (Path == "/calls") {
      reply(From, 200, Json{{"reads", Reads_}, {"writes", Writes_}}.dump());
      return;
    }
    if (Fault_.Mode_ == "silent") {
      Kept_.push_back(From);
      return;
    }
    if (Fault_.Mode_ == "down") {
      reply(From, 500, "no leader");
      return;
    }
    if (Fault_.Delay_.count() == 0) {
      serve(From, Path);
      return;
    }
    const auto Timer =
        std::make_shared<asio::steady_timer>(Context_, Fault_.Delay_);
    Timer->async_wait(
        [this, Timer, From, Path](std::error_code) { serve(From, Path); });
  }

private:
  auto setFault(const Request &From) -> void {
    Fault_.Mode_ = textIn(From, "mode");
    Fault_.Delay_ = std::chrono::milliseconds{numberIn(From, "delay_ms", 0)};
    Fault_.Left_ = numberIn(From, "count", 0);
    reply(From, 200, "");
  }

  auto serve(const Request &From, const std::string &Path) -> void {
    dropLapsed();
    const auto IsRead = From->header().method() == restinio::http_method_get();
    ++(IsRead ? Reads_ : Writes_);
    std::uint16_t Status = 200;
    auto Body = answer(From, Path, Status);
    if (!IsRead && Fault_.Mode_ == "drop") {
      Kept_.push_back(From);
      if (Fault_.Left_ > 0 && --Fault_.Left_ == 0)
        Fault_ = {};
      return;
    }
    reply(From, Status, std::move(Body));
  }

  auto answer(const Request &From, const std::string &Path,
              std::uint16_t &Status) -> std::string {
    const std::string KeyPrefix = "/v1/kv/";
    if (Path.rfind(KeyPrefix, 0) == 0)
      return answerKey(From, Path.substr(KeyPrefix.size()), Status);
    if (Path == "/v1/txn")
      return swap(From, Status);
    if (Path == "/v1/session/create")
      return createSession(From);
    const auto Name = Path.substr(Path.rfind('/') + 1);
    if (Path.rfind("/v1/session/renew/", 0) == 0)
      return renewSession(Name, Status);
    if (Path.rfind("/v1/session/destroy/", 0) == 0) {
      endSession(Name);
      return "true";
    }
    Status = 404;
    return "";
  }

  auto answerKey(const Request &From, const std::string &Key,
                 std::uint16_t &Status) -> std::string {
    const auto Method = From->header().method();
    if (Method == restinio::http_method_get())
      return readKeys(From, Key, Status);
    const auto Query = restinio::parse_query(From->header().query());
    if (Method == restinio::http_method_delete()) {
      const auto Found = Keys_.find(Key);
      const auto Matches = !Query.has("cas") ||
                           (Found != Keys_.end() &&
                            Found->second.Index_ == numberIn(From, "cas", 0));
      if (Matches)
        Keys_.erase(Key);
      return Matches ? "true" : "false";
    }
    const auto Holder = textIn(From, "acquire");
    if (!Holder.empty() && Sessions_.count(Holder) == 0)
      return "false";
    Keys_[Key] = {From->body(), ++Index_, Holder};
    return "true";
  }

  auto readKeys(const Request &From, const std::string &Key,
                std::uint16_t &Status) -> std::string {
    const auto Query = restinio::parse_query(From->header().query());
    const auto Recurse = Query.has("recurse");
    auto Found = Json::array();
    for (auto Each = Keys_.lower_bound(Key); Each != Keys_.end(); ++Each) {
      const auto Matches =
          Recurse ? Each->first.rfind(Key, 0) == 0 : Each->first == Key;
      if (!Matches)
        break;
      Found.push_back(
          {{"Key", Each->first},
           {"ModifyIndex", Each->second.Index_},
           {"Value", websocketpp::base64_encode(Each->second.Value_)}});
    }
    if (Found.empty())
      Status = 404;
    return Found.dump();
  }

  auto swap(const Request &From, std::uint16_t &Status) -> std::string {
    const auto Steps = Json::parse(From->body());
    for (const auto &Each : Steps) {
      const auto &Step = Each.at("KV");
      const auto Found = Keys_.find(Step.at("Key").get<std::string>());
      const auto Present = Found == Keys_.end() ? 0 : Found->second.Index_;
      if (Step.at("Verb") == "cas" &&
          Present != Step.at("Index").get<std::uint64_t>()) {
        Status = 409;
        return R"({"Results":null,"Errors":[{"OpIndex":0,"What":"stale"}]})";
      }
    }
    ++Index_;
    auto Results = Json::array();
    for (const auto &Each : Steps)
      Results.push_back(carryOut(Each.at("KV")));
    return Json{{"Results", std::move(Results)}, {"Errors", nullptr}}.dump();
  }

  auto carryOut(const Json &Step) -> Json {
    const auto Key = Step.at("Key").get<std::string>();
    if (Step.at("Verb") == "delete")
      Keys_.erase(Key);
    else
      Keys_[Key] = {
          websocketpp::base64_decode(Step.at("Value").get<std::string>()),
          Index_, ""};
    return {{"KV", {{"Key", Key}, {"ModifyIndex", Index_}}}};
  }

  auto createSession(const Request &From) -> std::string {
    const auto Text = Json::parse(From->body()).at("TTL").get<std::string>();
    const auto Name = "session-" + std::to_string(++Index_);
    const std::chrono::milliseconds TimeToLive{std::stoll(Text)};
    Sessions_[Name] = {TimeToLive, Clock::now() + TimeToLive};
    return Json{{"ID", Name}}.dump();
  }

  auto renewSession(const std::string &Name, std::uint16_t &Status)
      -> std::string {
    const auto Found = Sessions_.find(Name);
    if (Found == Sessions_.end()) {
      Status = 404;
      return "";
    }
    Found->second.EndsAt_ = Clock::now() + Found->second.TimeToLive_;
    return "[]";
  }

  auto endSession(const std::string &Name) -> void {
    Sessions_.erase(Name);
    for (auto Each = Keys_.begin(); Each != Keys_.end();)
      Each =
          Each->second.Session_ == Name ? Keys_.erase(Each) : std::next(Each);
  }

  auto dropLapsed() -> void {
    std::vector<std::string> Lapsed;
    for (const auto &[Name, Each] : Sessions_)
      if (Each.EndsAt_ < Clock::now())
        Lapsed.push_back(Name);
    for (const auto &Name : Lapsed)
      endSession(Name);
  }

  asio::io_context &Context_;
  std::map<std::string, StoredKey> Keys_;
  std::map<std::string, Session> Sessions_;
  std::uint64_t Index_ = 0;
  Fault Fault_;
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  std::vector<Request> Kept_;
};

} // namespace

auto main(int Count, char **Arguments) -> int {
  if (Count != 2) {
    std::cerr << "usage: standin-store PORT\n";
    return 2;
  }
  asio::io_context Context;
  Store State(Context);
  serve(Context, static_cast<std::uint16_t>(std::stoi(Arguments[1])),
        [&](const Request &From) { State.handle(From); });
  return 0;
}
