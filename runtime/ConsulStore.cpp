#include "runtime/ConsulStore.h"

#include "wire/Cbor.h"

#include <nlohmann/json.hpp>
#include <websocketpp/base64/base64.hpp>

namespace skylark {
namespace {

using Json = nlohmann::json;

constexpr Millis CallTimeout{1000};

/// One key of Consul's answer, with its decoded value.
struct ListedKey {
  std::string Path_;
  std::uint64_t Index_ = 0;
  StoreValue Value_;
};

/// Parses Consul's list of keys; throws if it is malformed or a value can't be
/// decoded.
auto readKeys(const std::string &Text) -> std::vector<ListedKey> {
  std::vector<ListedKey> Keys;
  for (const auto &Each : Json::parse(Text)) {
    ListedKey Key;
    Key.Path_ = Each.at("Key").get<std::string>();
    Key.Index_ = Each.at("ModifyIndex").get<std::uint64_t>();
    const auto Bytes =
        websocketpp::base64_decode(Each.at("Value").get<std::string>());
    auto Value = decodeStoreValue(Bytes);
    if (!Value)
      throw std::runtime_error("undecodable value at key " + Key.Path_);
    Key.Value_ = std::move(*Value);
    Keys.push_back(std::move(Key));
  }
  return Keys;
}

auto isUnder(const std::string &Path, const std::string &Folder) -> bool {
  return Path.find("/" + Folder + "/") != std::string::npos;
}

auto readEnvironmentState(const std::string &Text) -> EnvironmentState {
  EnvironmentState State;
  for (auto &Key : readKeys(Text)) {
    if (const auto *Head = std::get_if<EnvironmentHead>(&Key.Value_)) {
      State.HeadIndex_ = Key.Index_;
      State.Head_ = *Head;
    }
    const auto *Entry = std::get_if<EntryRegistration>(&Key.Value_);
    if (Entry == nullptr)
      continue;
    auto &List = isUnder(Key.Path_, "leases") ? State.Leases_ : State.Grantors_;
    List.push_back({*Entry, Key.Index_});
  }
  return State;
}

/// Whether Consul answered "true": the write took effect.
auto answeredTrue(const HttpResult &Answer) -> bool {
  return Answer.Body_.rfind("true", 0) == 0;
}

constexpr std::uint16_t HttpOk = 200;
constexpr std::uint16_t HttpNotFound = 404;
constexpr std::uint16_t HttpConflict = 409;

auto baseResult(const HttpResult &Answer) -> StoreResult {
  StoreResult Result;
  if (Answer.Complete_ && Answer.Status_ == HttpOk)
    Result.Status_ = StoreStatus::Ok;
  if (Answer.Complete_ && Answer.Status_ == HttpNotFound)
    Result.Status_ = StoreStatus::NotFound;
  return Result;
}

auto interpret(const ReadEnvironment & /*Operation*/, const HttpResult &Answer)
    -> StoreResult {
  auto Result = baseResult(Answer);
  if (Result.Status_ == StoreStatus::Ok)
    Result.EnvironmentState_ = readEnvironmentState(Answer.Body_);
  // Consul answers 404 if no key has the prefix: the environment is empty.
  if (Result.Status_ == StoreStatus::NotFound)
    Result.Status_ = StoreStatus::Ok;
  return Result;
}

auto interpret(const ReadEntries &Operation, const HttpResult &Answer)
    -> StoreResult {
  return interpret(ReadEnvironment{Operation.Environment_}, Answer);
}

auto interpret(const ReadValue & /*Operation*/, const HttpResult &Answer)
    -> StoreResult {
  auto Result = baseResult(Answer);
  if (Result.Status_ != StoreStatus::Ok)
    return Result;
  auto Keys = readKeys(Answer.Body_);
  if (Keys.size() != 1)
    throw std::runtime_error("expected exactly one key");
  Result.Index_ = Keys.front().Index_;
  Result.Value_ = std::move(Keys.front().Value_);
  return Result;
}

auto interpret(const CompareAndSwap & /*Operation*/, const HttpResult &Answer)
    -> StoreResult {
  auto Result = baseResult(Answer);
  if (Result.Status_ == StoreStatus::Ok)
    Result.Index_ = Json::parse(Answer.Body_)
                        .at("Results")
                        .at(0)
                        .at("KV")
                        .at("ModifyIndex")
                        .get<std::uint64_t>();
  if (Answer.Complete_ && Answer.Status_ == HttpConflict)
    Result.Status_ = StoreStatus::Conflict;
  return Result;
}

auto interpret(const ReadSegments &Operation, const HttpResult &Answer)
    -> StoreResult {
  auto Result = baseResult(Answer);
  // Consul answers 404 if no key has the prefix: there are no segments.
  if (Result.Status_ == StoreStatus::NotFound)
    Result.Status_ = StoreStatus::Ok;
  else if (Result.Status_ == StoreStatus::Ok)
    for (auto &Key : readKeys(Answer.Body_))
      if (Key.Path_ > Operation.After_.Path_)
        Result.Segments_.push_back(
            std::get<ShardSegment>(std::move(Key.Value_)));
  return Result;
}

auto interpret(const WriteUnderLease & /*Operation*/, const HttpResult &Answer)
    -> StoreResult {
  auto Result = baseResult(Answer);
  if (Result.Status_ == StoreStatus::Ok && !answeredTrue(Answer))
    Result.Status_ = StoreStatus::NotFound;
  return Result;
}

auto interpret(const CreateLease & /*Operation*/, const HttpResult &Answer)
    -> StoreResult {
  auto Result = baseResult(Answer);
  if (Result.Status_ == StoreStatus::Ok)
    Result.Lease_ = {Json::parse(Answer.Body_).at("ID").get<std::string>()};
  return Result;
}

template <typename Operation>
auto interpret(const Operation & /*Operation*/, const HttpResult &Answer)
    -> StoreResult {
  return baseResult(Answer);
}

} // namespace

ConsulStore::ConsulStore(HttpClient &Http, std::string Address)
    : Http_(Http), BaseUrl_("http://" + std::move(Address) + "/v1") {}

auto ConsulStore::keyUrl(const StoreKey &Key) const -> std::string {
  return BaseUrl_ + "/kv/" + Key.Path_;
}

auto ConsulStore::prepare(const ReadEnvironment &Operation) const -> HttpCall {
  HttpCall Call;
  Call.Url_ =
      keyUrl({"skylark/environments/" + Operation.Environment_.Value_ + "/"}) +
      "?recurse=1&consistent=1";
  return Call;
}

auto ConsulStore::prepare(const ReadEntries &Operation) const -> HttpCall {
  HttpCall Call;
  Call.Url_ =
      keyUrl({"skylark/environments/" + Operation.Environment_.Value_ + "/"}) +
      "?recurse=1&stale=1";
  return Call;
}

auto ConsulStore::prepare(const ReadValue &Operation) const -> HttpCall {
  HttpCall Call;
  Call.Url_ = keyUrl(Operation.Key_) + "?consistent=1";
  return Call;
}

auto ConsulStore::prepare(const CompareAndSwap &Operation) const -> HttpCall {
  // Uses a transaction even for one operation: its answer contains the key's
  // new index, which saves a read after each write.
  auto Operations = Json::array();
  Operations.push_back(
      {{"KV",
        {{"Verb", "cas"},
         {"Key", Operation.Key_.Path_},
         {"Value", websocketpp::base64_encode(encode(Operation.Value_))},
         {"Index", Operation.ExpectedIndex_}}}});
  if (Operation.AdditionalWrite_)
    Operations.push_back(
        {{"KV",
          {{"Verb", "set"},
           {"Key", Operation.AdditionalWrite_->Key_.Path_},
           {"Value", websocketpp::base64_encode(
                         encode(Operation.AdditionalWrite_->Value_))}}}});
  return makeTransaction(Operations.dump());
}

auto ConsulStore::prepare(const DeleteValues &Operation) const -> HttpCall {
  auto Operations = Json::array();
  for (const auto &Key : Operation.Keys_)
    Operations.push_back({{"KV", {{"Verb", "delete"}, {"Key", Key.Path_}}}});
  return makeTransaction(Operations.dump());
}

auto ConsulStore::prepare(const ReadSegments &Operation) const -> HttpCall {
  HttpCall Call;
  Call.Url_ = keyUrl(Operation.Prefix_) + "?recurse=1&consistent=1";
  return Call;
}

auto ConsulStore::makeTransaction(std::string Operations) const -> HttpCall {
  HttpCall Call;
  Call.Method_ = "PUT";
  Call.Url_ = BaseUrl_ + "/txn";
  Call.Body_ = std::move(Operations);
  return Call;
}

auto ConsulStore::prepare(const WriteValue &Operation) const -> HttpCall {
  HttpCall Call;
  Call.Method_ = "PUT";
  Call.Url_ = keyUrl(Operation.Key_);
  Call.Body_ = encode(Operation.Value_);
  return Call;
}

auto ConsulStore::prepare(const DeleteValue &Operation) const -> HttpCall {
  HttpCall Call;
  Call.Method_ = "DELETE";
  Call.Url_ = keyUrl(Operation.Key_);
  if (Operation.ExpectedIndex_ != 0)
    Call.Url_ += "?cas=" + std::to_string(Operation.ExpectedIndex_);
  return Call;
}

auto ConsulStore::prepare(const CreateLease &Operation) const -> HttpCall {
  HttpCall Call;
  Call.Method_ = "PUT";
  Call.Url_ = BaseUrl_ + "/session/create";
  Call.Body_ = Json{
      {"TTL", std::to_string(Operation.TimeToLive_.count()) + "ms"},
      {"Behavior", "delete"},
      {"LockDelay",
       "0s"}}.dump();
  return Call;
}

auto ConsulStore::prepare(const RenewLease &Operation) const -> HttpCall {
  HttpCall Call;
  Call.Method_ = "PUT";
  Call.Url_ = BaseUrl_ + "/session/renew/" + Operation.Lease_.Value_;
  return Call;
}

auto ConsulStore::prepare(const RevokeLease &Operation) const -> HttpCall {
  HttpCall Call;
  Call.Method_ = "PUT";
  Call.Url_ = BaseUrl_ + "/session/destroy/" + Operation.Lease_.Value_;
  return Call;
}

auto ConsulStore::prepare(const WriteUnderLease &Operation) const -> HttpCall {
  HttpCall Call;
  Call.Method_ = "PUT";
  Call.Url_ = keyUrl(Operation.Key_) + "?acquire=" + Operation.Lease_.Value_;
  Call.Body_ = encode(Operation.Value_);
  return Call;
}

auto ConsulStore::call(std::uint64_t CallNumber,
                       const StoreOperation &Operation,
                       std::function<void(StoreResult)> Done) -> void {
  auto Call =
      std::visit([this](const auto &Each) { return prepare(Each); }, Operation);
  Call.Timeout_ = CallTimeout;
  Http_.call(std::move(Call), [CallNumber, Operation, Done = std::move(Done)](
                                  const HttpResult &Answer) {
    StoreResult Result;
    try {
      Result = std::visit(
          [&](const auto &Each) { return interpret(Each, Answer); }, Operation);
    } catch (const std::exception &) {
      // An unreadable answer leaves the outcome unknown, like a lost one.
      Result = {};
    }
    Result.Call_ = CallNumber;
    Done(std::move(Result));
  });
}

} // namespace skylark
