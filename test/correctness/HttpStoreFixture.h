/// \file
/// Defines a fake of the platform's metadata store, and a fixture of a client
/// that follows its operator's keys.
#pragma once

#include "platform/MetadataStore.h"
#include "wire/Cbor.h"

#include <nlohmann/json.hpp>
#include <websocketpp/base64/base64.hpp>

namespace skylark {

using Json = nlohmann::json;

/// Answers range reads, watches and reads of one key, as PROTOCOL.md describes
/// them, during the call.
class FakeHttpStore : public HttpCaller {
public:
  auto call(HttpCall Call, std::function<void(HttpResult)> Done)
      -> void override {
    if (HoldsCalls_ || (IsHeld_ && IsHeld_(Call.Url_)))
      Held_.push_back([this, Call, Done] { answer(Call, Done); });
    else
      answer(Call, Done);
  }
  /// Executes a call that was held.
  auto release(std::size_t Index) -> void {
    HoldsCalls_ = false;
    Held_.at(Index)();
  }

  auto answer(const HttpCall &Call, const std::function<void(HttpResult)> &Done)
      -> void {
    const auto Path = Call.Url_.substr(Call.Url_.find("/kv"));
    Paths_.push_back(Path);
    LongestTimeout_ = std::max(LongestTimeout_, Call.Timeout_);
    HttpResult Answer;
    Answer.Complete_ = true;
    Answer.Status_ = 200;
    if (Path == "/kv-txn")
      Answer.Status_ = WriteStatus_;
    else if (Path.rfind("/kv-range", 0) == 0)
      Answer.Body_ = range(parameter(Path, "prefix"), parameter(Path, "after"));
    else if (Path.rfind("/kv-key", 0) == 0)
      Answer = item(parameter(Path, "key"));
    else if (Path.rfind("/kv-watch", 0) != 0)
      Answer.Status_ = 503;
    else if (std::stoull(parameter(Path, "after")) < OldestRevision_)
      Answer.Status_ = 410;
    else
      Answer.Body_ = watch(parameter(Path, "prefix"),
                           std::stoull(parameter(Path, "after")));
    // Of a larger answer only a part arrives before the call times out.
    if (Answer.Body_.size() > MaxAnswerSize_) {
      Answer.Complete_ = false;
      Answer.Body_.resize(MaxAnswerSize_);
    }
    if (IsLost_ && IsLost_(Path))
      Answer = {};
    AnswerBytes_ += Answer.Body_.size();
    if (AfterAnswer_)
      AfterAnswer_(Path);
    Done(std::move(Answer));
  }

  auto put(const std::string &Key, const std::string &Value) -> void {
    write({{"key", Key},
           {"value", websocketpp::base64_encode(Value)},
           {"revision", Revision_ + 1}});
  }
  /// Stores an item with any JSON values as its value and its revision.
  auto putItem(const std::string &Key, const Json &Value, const Json &Revision)
      -> void {
    ++Revision_;
    const Json Event{{"key", Key}, {"value", Value}, {"revision", Revision}};
    Events_.push_back(Event);
    Items_[Key] = Event;
  }
  auto remove(const std::string &Key) -> void {
    write({{"key", Key}, {"removed", true}, {"revision", Revision_ + 1}});
  }
  /// Drops the history, so that watches from older revisions fail.
  auto dropHistory() -> void { OldestRevision_ = Revision_; }

  /// The status with which it answers each write.
  std::uint16_t WriteStatus_ = 200;
  /// Number of items on a page of a range read.
  std::size_t PageSize_ = 500;
  std::size_t MaxAnswerSize_ = std::size_t{16} * 1024 * 1024;
  /// Runs after each answer was made and before it arrives.
  std::function<void(const std::string &Path)> AfterAnswer_;
  /// Decides which answers are lost as a whole.
  std::function<bool(const std::string &Path)> IsLost_;
  /// Whether watches are answered without events, as if nothing had changed.
  bool WatchesHearNothing_ = false;
  bool EventsAreNewestFirst_ = false;
  /// Decides which calls wait, beside HoldsCalls_.
  std::function<bool(const std::string &Url)> IsHeld_;
  std::size_t AnswerBytes_ = 0;
  Micros LongestTimeout_{0};
  /// The paths of all calls.
  std::vector<std::string> Paths_;
  std::uint64_t Revision_ = 100;
  /// Whether calls wait until they are released.
  bool HoldsCalls_ = false;
  std::vector<std::function<void()>> Held_;

  /// Answers range reads from now on with the state of now.
  auto freezeRanges() -> void { Frozen_ = Frozen{Items_, Revision_}; }
  auto thawRanges() -> void { Frozen_.reset(); }

private:
  struct Frozen {
    std::map<std::string, Json> Items_;
    std::uint64_t Revision_;
  };
  static auto parameter(const std::string &Path, const std::string &Name)
      -> std::string {
    const auto Mark = Name + "=";
    auto Start = Path.find("?" + Mark);
    if (Start == std::string::npos)
      Start = Path.find("&" + Mark);
    if (Start == std::string::npos)
      return "";
    Start += Mark.size() + 1;
    return Path.substr(Start, Path.find('&', Start) - Start);
  }
  auto range(const std::string &Prefix, const std::string &After) const
      -> std::string {
    const auto &Items = Frozen_ ? Frozen_->Items_ : Items_;
    Json Answer{{"items", Json::array()},
                {"current_rev", Frozen_ ? Frozen_->Revision_ : Revision_}};
    for (auto Each = Items.upper_bound(After); Each != Items.end(); ++Each) {
      if (Each->first.rfind(Prefix, 0) != 0)
        continue;
      Answer["has_more"] = Answer["items"].size() == PageSize_;
      if (Answer["items"].size() == PageSize_)
        break;
      Answer["items"].push_back(Each->second);
    }
    return Answer.dump();
  }
  auto item(const std::string &Key) const -> HttpResult {
    HttpResult Answer;
    Answer.Complete_ = true;
    const auto Found = Items_.find(Key);
    Answer.Status_ = Found == Items_.end() ? 404 : 200;
    if (Found == Items_.end())
      return Answer;
    auto Body = Found->second;
    Body["current_rev"] = Revision_;
    Answer.Body_ = Body.dump();
    return Answer;
  }
  auto watch(const std::string &Prefix, std::uint64_t After) const
      -> std::string {
    Json Answer{{"events", Json::array()}, {"current_rev", Revision_}};
    if (WatchesHearNothing_)
      return Answer.dump();
    for (const auto &Each : Events_)
      if (Each.at("revision").is_number() &&
          Each.at("revision").get<double>() > static_cast<double>(After) &&
          Each.at("key").get<std::string>().rfind(Prefix, 0) == 0)
        Answer["events"].push_back(Each);
    if (EventsAreNewestFirst_)
      std::reverse(Answer["events"].begin(), Answer["events"].end());
    return Answer.dump();
  }
  auto write(const Json &Event) -> void {
    ++Revision_;
    Events_.push_back(Event);
    const auto Key = Event.at("key").get<std::string>();
    if (Event.contains("removed"))
      Items_.erase(Key);
    else
      Items_[Key] = Event;
  }

  std::map<std::string, Json> Items_;
  std::optional<Frozen> Frozen_;
  std::vector<Json> Events_;
  std::uint64_t OldestRevision_ = 0;
};

/// A client of the fake store, which has a configuration.
class StoreFixture {
public:
  StoreFixture() { putConfiguration("s0"); }

  /// Stores a configuration with one service, padded to a size in bytes.
  auto putConfiguration(const std::string &Service, std::size_t Size = 0)
      -> void {
    Json Configuration{{"routes", Json::array()},
                       {"services", Json::array({{{"name", Service}}})},
                       {"padding", std::string(Size, 'x')}};
    Http_.put("op/config", Configuration.dump());
  }
  /// Reads the environment. \returns false if that failed.
  auto read() -> bool {
    StoreResult Result;
    Store_.call(1, ReadEnvironment{{"test"}},
                [&](StoreResult Answer) { Result = std::move(Answer); });
    if (Result.Status_ != StoreStatus::Ok)
      return false;
    State_ = Result.EnvironmentState_;
    Store_.call(2, ReadValue{documentKey(State_.Head_.DocumentDigest_)},
                [&](StoreResult Answer) { Result = std::move(Answer); });
    Service_ = std::get<Document>(Result.Value_).Services_.front().Name_.Value_;
    return true;
  }
  /// Registers an entry under a key, with an address for its peers.
  auto putEntry(const std::string &Key, const std::string &Name,
                const std::string &Address) -> void {
    EntryRegistration Entry;
    Entry.Entry_ = {Name};
    Entry.Incarnation_ = 1;
    Entry.PeerAddress_ = Address;
    Http_.put(leaseKey({"test"}, {Key}).Path_, encode(StoreValue{Entry}));
  }
  /// The names of the entries in the last read.
  auto entries() const -> std::vector<std::string> {
    std::vector<std::string> Names;
    for (const auto &Each : State_.Leases_)
      Names.push_back(Each.Registration_.Entry_.Value_);
    return Names;
  }
  auto isOut(const std::string &DataCentre) const -> bool {
    return State_.Head_.isOut({DataCentre});
  }

  auto elapse(Duration Time) -> void { Now_ += Time; }

  FakeHttpStore Http_;
  TimePoint Now_{Seconds{1000}};
  Platform::MetadataStore Store_{Http_, "store", {}, [this] { return Now_; }};
  EnvironmentState State_;
  /// The service that the configuration read last declares.
  std::string Service_;
};

} // namespace skylark
