#include "test/fuzz/VirtualHttpStore.h"

#include <nlohmann/json.hpp>
#include <websocketpp/base64/base64.hpp>

#include <algorithm>
#include <utility>

namespace skylark::Fuzz {
namespace {

using Json = nlohmann::json;

constexpr std::uint32_t UsualDelayMicros = 15000;
constexpr std::uint32_t LateDelayMicros = 400000;
/// How far back a stale range may be.
constexpr Micros LongestStaleness{1000000};
constexpr std::uint32_t LostPercent = 30;
/// Most items, and most bytes, of a page of a range.
constexpr std::size_t MaxPageItems = 500;
constexpr std::size_t MaxPageSize = std::size_t{1024} * 1024;

auto parameter(const std::string &Path, const std::string &Name)
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

auto startsWith(const std::string &Text, const std::string &Prefix) -> bool {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

auto complete(std::uint16_t Status, std::string Body) -> HttpResult {
  HttpResult Answer;
  Answer.Complete_ = true;
  Answer.Status_ = Status;
  Answer.Body_ = std::move(Body);
  return Answer;
}

} // namespace

auto VirtualHttpStore::delay() -> Micros {
  return Micros{1000 +
                draw(AnswersAreLate_ ? LateDelayMicros : UsualDelayMicros)};
}

auto VirtualHttpStore::handOver(HttpResult Answer,
                                std::function<void(HttpResult)> Done) -> void {
  if (ClientIsFrozen_)
    Untaken_.push_back(
        [Answer = std::move(Answer), Done = std::move(Done)] { Done(Answer); });
  else
    Done(std::move(Answer));
}

auto VirtualHttpStore::call(HttpCall Call, std::function<void(HttpResult)> Done)
    -> void {
  const auto Deadline = Now_ + Call.Timeout_;
  if (AnswersAreLost_ && draw(99) < LostPercent) {
    schedule(Deadline, [this, Done = std::move(Done)] { handOver({}, Done); });
    return;
  }
  schedule(Now_ + delay(),
           [this, Call = std::move(Call), Deadline, Done = std::move(Done)] {
             execute(Call, Deadline, Done);
           });
}

auto VirtualHttpStore::advance(Micros Now) -> void {
  while (!Actions_.empty() && Actions_.begin()->first <= Now) {
    const auto Next = Actions_.begin();
    Now_ = std::max(Now_, Next->first);
    const auto Action = std::move(Next->second);
    Actions_.erase(Next);
    Action();
  }
  Now_ = Now;
  if (ClientIsFrozen_)
    return;
  for (const auto &Each : std::exchange(Untaken_, {}))
    Each();
}

auto VirtualHttpStore::execute(const HttpCall &Call, Micros Deadline,
                               const std::function<void(HttpResult)> &Done)
    -> void {
  deliver(CallsAreRefused_ ? complete(503, "") : answer(Call), Deadline, Done);
}

auto VirtualHttpStore::deliver(HttpResult Answer, Micros Deadline,
                               const std::function<void(HttpResult)> &Done)
    -> void {
  const auto Start = std::max(Now_, LinkFreeAt_);
  const auto Size = Answer.Body_.size();
  const auto End =
      Start +
      Micros{static_cast<std::int64_t>(Size * 1000 / BytesPerMillisecond_)};
  const auto Arrival = End + delay();
  if (Arrival <= Deadline) {
    LinkFreeAt_ = End;
    schedule(Arrival, [this, Answer = std::move(Answer), Done] {
      handOver(Answer, Done);
    });
    return;
  }
  HttpResult Partial;
  if (Start < Deadline) {
    const auto Arrived = static_cast<std::size_t>((Deadline - Start).count()) *
                         BytesPerMillisecond_ / 1000;
    Partial.Status_ = Answer.Status_;
    Partial.Body_ = Answer.Body_.substr(0, Arrived);
    LinkFreeAt_ = std::min(End, Deadline);
  }
  schedule(Deadline, [this, Partial = std::move(Partial), Done] {
    handOver(Partial, Done);
  });
}

auto VirtualHttpStore::text(const Version &Each) -> std::string {
  auto Text = R"({"key":")" + Each.Key_ + R"(","revision":)" +
              std::to_string(Each.Revision_);
  return Text + (Each.Removed_ ? std::string(R"(,"removed":true})")
                               : R"(,"value":")" + *Each.Value_ + R"("})");
}

auto VirtualHttpStore::range(const std::string &Prefix,
                             const std::string &After) -> std::string {
  auto *Read = &Items_;
  auto Revision = Revision_;
  if (RangesAreStale_ && !Snapshots_.empty()) {
    auto &Chosen =
        Snapshots_[draw(static_cast<std::uint32_t>(Snapshots_.size()) - 1)];
    Read = &Chosen.Items_;
    Revision = Chosen.Revision_;
  }
  std::string List;
  std::size_t Count = 0;
  auto HasMore = false;
  for (auto Each = Read->upper_bound(After); Each != Read->end(); ++Each) {
    if (!startsWith(Each->first, Prefix))
      continue;
    const auto Item = text(Each->second);
    HasMore = Count == MaxPageItems ||
              (Count > 0 && List.size() + Item.size() > MaxPageSize);
    if (HasMore)
      break;
    List += (List.empty() ? "" : ",") + Item;
    ++Count;
  }
  return R"({"items":[)" + List + R"(],"has_more":)" +
         (HasMore ? "true" : "false") + R"(,"current_rev":)" +
         std::to_string(Revision) + "}";
}

auto VirtualHttpStore::watch(const std::string &Prefix, std::uint64_t After)
    -> std::string {
  std::vector<std::string> Events;
  for (const auto &Each : History_)
    if (!WatchesHearNothing_ && Each.Revision_ > After &&
        startsWith(Each.Key_, Prefix))
      Events.push_back(text(Each));
  if (EventsAreShuffled_)
    std::shuffle(Events.begin(), Events.end(), Generator_);
  std::string List;
  for (const auto &Each : Events)
    List += (List.empty() ? "" : ",") + Each;
  return R"({"events":[)" + List + R"(],"current_rev":)" +
         std::to_string(Revision_) + "}";
}

auto VirtualHttpStore::transact(const std::string &Body) -> std::string {
  const auto Request = Json::parse(Body);
  for (const auto &Each : Request.value("set_keys", Json::array()))
    write({Each.at("key"), 0, false,
           std::make_shared<std::string>(Each.at("value"))});
  for (const auto &Each : Request.value("remove", Json::array()))
    remove(Each);
  return R"({"revision":)" + std::to_string(Revision_) + "}";
}

auto VirtualHttpStore::answer(const HttpCall &Call) -> HttpResult {
  const auto Path = Call.Url_.substr(Call.Url_.find("/kv"));
  if (startsWith(Path, "/kv-txn"))
    return complete(200, transact(Call.Body_));
  if (startsWith(Path, "/kv-lease"))
    return complete(200, R"({"lease":1,"ttl_ms":6000})");
  if (startsWith(Path, "/kv-range"))
    return complete(200,
                    range(parameter(Path, "prefix"), parameter(Path, "after")));
  if (startsWith(Path, "/kv-key")) {
    const auto Found = Items_.find(parameter(Path, "key"));
    if (Found == Items_.end())
      return complete(404, "");
    auto Body = text(Found->second);
    Body.back() = ',';
    return complete(200, Body + R"("current_rev":)" +
                             std::to_string(Revision_) + "}");
  }
  if (!startsWith(Path, "/kv-watch"))
    return complete(200, "{}");
  const auto After = std::stoull(parameter(Path, "after"));
  if (After < OldestRevision_)
    return complete(410, "");
  return complete(200, watch(parameter(Path, "prefix"), After));
}

auto VirtualHttpStore::write(Version Written) -> std::uint64_t {
  Snapshots_.push_back({Now_, Revision_, Items_});
  Snapshots_.erase(Snapshots_.begin(),
                   std::find_if(Snapshots_.begin(), Snapshots_.end(),
                                [&](const Snapshot &Each) {
                                  return Each.At_ + LongestStaleness >= Now_;
                                }));
  Written.Revision_ = ++Revision_;
  if (Written.Removed_)
    Items_.erase(Written.Key_);
  else
    Items_[Written.Key_] = Written;
  History_.push_back(std::move(Written));
  return Revision_;
}

auto VirtualHttpStore::put(const std::string &Key, const std::string &Value)
    -> std::uint64_t {
  return write(
      {Key, 0, false,
       std::make_shared<std::string>(websocketpp::base64_encode(Value))});
}

auto VirtualHttpStore::remove(const std::string &Key) -> std::uint64_t {
  return write({Key, 0, true, nullptr});
}

} // namespace skylark::Fuzz
