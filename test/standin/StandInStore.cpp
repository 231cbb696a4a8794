/// \file
/// Stands in for the platform's key-value store: implements the part of
/// Consul's HTTP API that the system uses. POST /fault injects faults; /calls
/// returns the numbers of reads and writes.

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
  std::uint64_t ModifyIndex_ = 0;
  std::string Session_;
};

struct Session {
  std::chrono::milliseconds TimeToLive_{0};
  Clock::time_point ExpiresAt_;
};

/// The fault that is injected at present.
struct Fault {
  /// "" for none, "down" (status 500), "silent" (no response to any call), or
  /// "drop" (carries out a write, but sends no response to it).
  std::string Mode_;
  std::chrono::milliseconds Delay_{0};
  /// Number of writes whose responses are still to be dropped; 0 for all writes
  /// until the fault is cleared.
  std::uint64_t RemainingDrops_ = 0;
};

class Store {
public:
  explicit Store(asio::io_context &Context) : Context_(Context) {}

  auto handle(const Request &Incoming) -> void {
    const auto Path = std::string(Incoming->header().path());
    if (Path == "/fault") {
      setFault(Incoming);
      return;
    }
    if (Path == "/calls") {
      reply(Incoming, 200, Json{{"reads", Reads_}, {"writes", Writes_}}.dump());
      return;
    }
    if (Fault_.Mode_ == "silent") {
      UnansweredRequests_.push_back(Incoming);
      return;
    }
    if (Fault_.Mode_ == "down") {
      reply(Incoming, 500, "no leader");
      return;
    }
    if (Fault_.Delay_.count() == 0) {
      serve(Incoming, Path);
      return;
    }
    const auto Timer =
        std::make_shared<asio::steady_timer>(Context_, Fault_.Delay_);
    Timer->async_wait([this, Timer, Incoming, Path](std::error_code) {
      serve(Incoming, Path);
    });
  }

private:
  auto setFault(const Request &Incoming) -> void {
    Fault_.Mode_ = textParameter(Incoming, "mode");
    Fault_.Delay_ =
        std::chrono::milliseconds{numberParameter(Incoming, "delay_ms", 0)};
    Fault_.RemainingDrops_ = numberParameter(Incoming, "count", 0);
    reply(Incoming, 200, "");
  }

  auto serve(const Request &Incoming, const std::string &Path) -> void {
    removeExpiredSessions();
    const auto IsRead =
        Incoming->header().method() == restinio::http_method_get();
    ++(IsRead ? Reads_ : Writes_);
    std::uint16_t Status = 200;
    auto Body = handleCall(Incoming, Path, Status);
    if (!IsRead && Fault_.Mode_ == "drop") {
      UnansweredRequests_.push_back(Incoming);
      if (Fault_.RemainingDrops_ > 0 && --Fault_.RemainingDrops_ == 0)
        Fault_ = {};
      return;
    }
    reply(Incoming, Status, std::move(Body));
  }

  auto handleCall(const Request &Incoming, const std::string &Path,
                  std::uint16_t &Status) -> std::string {
    const std::string KeyPrefix = "/v1/kv/";
    if (Path.rfind(KeyPrefix, 0) == 0)
      return handleKey(Incoming, Path.substr(KeyPrefix.size()), Status);
    if (Path == "/v1/txn")
      return runTransaction(Incoming, Status);
    if (Path == "/v1/session/create")
      return createSession(Incoming);
    const auto SessionId = Path.substr(Path.rfind('/') + 1);
    if (Path.rfind("/v1/session/renew/", 0) == 0)
      return renewSession(SessionId, Status);
    if (Path.rfind("/v1/session/destroy/", 0) == 0) {
      endSession(SessionId);
      return "true";
    }
    Status = 404;
    return "";
  }

  auto handleKey(const Request &Incoming, const std::string &Key,
                 std::uint16_t &Status) -> std::string {
    const auto Method = Incoming->header().method();
    if (Method == restinio::http_method_get())
      return readKeys(Incoming, Key, Status);
    const auto Query = restinio::parse_query(Incoming->header().query());
    if (Method == restinio::http_method_delete()) {
      const auto Found = Keys_.find(Key);
      const auto Matches =
          !Query.has("cas") ||
          (Found != Keys_.end() &&
           Found->second.ModifyIndex_ == numberParameter(Incoming, "cas", 0));
      if (Matches)
        Keys_.erase(Key);
      return Matches ? "true" : "false";
    }
    const auto Holder = textParameter(Incoming, "acquire");
    if (!Holder.empty() && Sessions_.count(Holder) == 0)
      return "false";
    Keys_[Key] = {Incoming->body(), ++ModifyIndex_, Holder};
    return "true";
  }

  auto readKeys(const Request &Incoming, const std::string &Key,
                std::uint16_t &Status) -> std::string {
    const auto Query = restinio::parse_query(Incoming->header().query());
    const auto Recurse = Query.has("recurse");
    auto Found = Json::array();
    for (auto Each = Keys_.lower_bound(Key); Each != Keys_.end(); ++Each) {
      const auto Matches =
          Recurse ? Each->first.rfind(Key, 0) == 0 : Each->first == Key;
      if (!Matches)
        break;
      Found.push_back(
          {{"Key", Each->first},
           {"ModifyIndex", Each->second.ModifyIndex_},
           {"Value", websocketpp::base64_encode(Each->second.Value_)}});
    }
    if (Found.empty())
      Status = 404;
    return Found.dump();
  }

  auto runTransaction(const Request &Incoming, std::uint16_t &Status)
      -> std::string {
    const auto Operations = Json::parse(Incoming->body());
    for (const auto &Each : Operations) {
      const auto &Operation = Each.at("KV");
      const auto Found = Keys_.find(Operation.at("Key").get<std::string>());
      const auto CurrentIndex =
          Found == Keys_.end() ? 0 : Found->second.ModifyIndex_;
      if (Operation.at("Verb") == "cas" &&
          CurrentIndex != Operation.at("Index").get<std::uint64_t>()) {
        Status = 409;
        return R"({"Results":null,"Errors":[{"OpIndex":0,"What":"stale"}]})";
      }
    }
    ++ModifyIndex_;
    auto Results = Json::array();
    for (const auto &Each : Operations)
      Results.push_back(applyOperation(Each.at("KV")));
    return Json{{"Results", std::move(Results)}, {"Errors", nullptr}}.dump();
  }

  auto applyOperation(const Json &Operation) -> Json {
    const auto Key = Operation.at("Key").get<std::string>();
    if (Operation.at("Verb") == "delete")
      Keys_.erase(Key);
    else
      Keys_[Key] = {
          websocketpp::base64_decode(Operation.at("Value").get<std::string>()),
          ModifyIndex_, ""};
    return {{"KV", {{"Key", Key}, {"ModifyIndex", ModifyIndex_}}}};
  }

  auto createSession(const Request &Incoming) -> std::string {
    const auto Text =
        Json::parse(Incoming->body()).at("TTL").get<std::string>();
    const auto SessionId = "session-" + std::to_string(++ModifyIndex_);
    const std::chrono::milliseconds TimeToLive{std::stoll(Text)};
    Sessions_[SessionId] = {TimeToLive, Clock::now() + TimeToLive};
    return Json{{"ID", SessionId}}.dump();
  }

  auto renewSession(const std::string &SessionId, std::uint16_t &Status)
      -> std::string {
    const auto Found = Sessions_.find(SessionId);
    if (Found == Sessions_.end()) {
      Status = 404;
      return "";
    }
    Found->second.ExpiresAt_ = Clock::now() + Found->second.TimeToLive_;
    return "[]";
  }

  auto endSession(const std::string &SessionId) -> void {
    Sessions_.erase(SessionId);
    for (auto Each = Keys_.begin(); Each != Keys_.end();)
      Each = Each->second.Session_ == SessionId ? Keys_.erase(Each)
                                                : std::next(Each);
  }

  auto removeExpiredSessions() -> void {
    std::vector<std::string> Expired;
    for (const auto &[SessionId, Each] : Sessions_)
      if (Each.ExpiresAt_ < Clock::now())
        Expired.push_back(SessionId);
    for (const auto &SessionId : Expired)
      endSession(SessionId);
  }

  asio::io_context &Context_;
  std::map<std::string, StoredKey> Keys_;
  std::map<std::string, Session> Sessions_;
  std::uint64_t ModifyIndex_ = 0;
  Fault Fault_;
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  /// Stored so that their connections stay open.
  std::vector<Request> UnansweredRequests_;
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
        [&](const Request &Incoming) { State.handle(Incoming); });
  return 0;
}
