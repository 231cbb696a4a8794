#include "runtime/ConsulStore.h"

#include "wire/Cbor.h"
#include "wire/JsonCodec.h"

#include <nlohmann/json.hpp>
#include <websocketpp/base64/base64.hpp>

namespace skylark {
namespace {

using Json = nlohmann::json;

constexpr Millis CallTimeout{1000};

/// One key of Consul's answer, with its decoded value; none if it can't be
/// decoded.
struct ListedKey {
  std::string Path_;
  std::uint64_t Index_ = 0;
  std::optional<StoreValue> Value_;
};

/// Parses Consul's list of keys; throws if it is malformed as a whole. A key
/// that can't be read is rejected and hides no other.
auto readKeys(const std::string &Text, RejectedItems &Rejected)
    -> std::vector<ListedKey> {
  std::vector<ListedKey> Keys;
  for (const auto &Each : Json::parse(Text)) {
    ListedKey Key;
    try {
      Key.Path_ = Each.at("Key").get<std::string>();
      Key.Index_ = Internal::fromJson<std::uint64_t>(Each.at("ModifyIndex"));
      Key.Value_ = decodeStoreValue(
          websocketpp::base64_decode(Each.at("Value").get<std::string>()));
    } catch (const std::exception &Error) {
      Rejected.report(Key.Path_, Key.Index_, Error.what());
      continue;
    }
    Keys.push_back(std::move(Key));
  }
  return Keys;
}

/// The key's value if it is of the type; null otherwise.
template <typename Type> auto valueAs(const ListedKey &Key) -> const Type * {
  return Key.Value_ ? std::get_if<Type>(&*Key.Value_) : nullptr;
}

auto isUnder(const std::string &Path, const std::string &Folder) -> bool {
  return Path.find("/" + Folder + "/") != std::string::npos;
}

auto readEnvironmentState(const std::string &Text, RejectedItems &Rejected)
    -> EnvironmentState {
  EnvironmentState State;
  for (const auto &Key : readKeys(Text, Rejected)) {
    if (const auto *Head = valueAs<EnvironmentHead>(Key)) {
      State.HeadIndex_ = Key.Index_;
      State.Head_ = *Head;
      continue;
    }
    const auto *Entry = valueAs<EntryRegistration>(Key);
    const auto IsPeer = isUnder(Key.Path_, "leases");
    if (Entry == nullptr || (IsPeer && !isPlausible({Key.Path_}, *Entry))) {
      Rejected.report(Key.Path_, Key.Index_, NoRegistrationReason);
      continue;
    }
    auto &List = IsPeer ? State.Leases_ : State.Grantors_;
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
constexpr std::uint16_t HttpBadRequest = 400;
constexpr std::uint16_t HttpBodyTooLarge = 413;

auto baseResult(const HttpResult &Answer) -> StoreResult {
  StoreResult Result;
  if (Answer.Complete_ && Answer.Status_ == HttpOk)
    Result.Status_ = StoreStatus::Ok;
  if (Answer.Complete_ && Answer.Status_ == HttpNotFound)
    Result.Status_ = StoreStatus::NotFound;
  return Result;
}

/// Returns the result of a write. Consul answers 413 to a value that is too
/// large, and 400 to a transaction that it can't carry out.
auto writeResult(const HttpResult &Answer) -> StoreResult {
  auto Result = baseResult(Answer);
  if (Answer.Complete_ &&
      (Answer.Status_ == HttpBodyTooLarge || Answer.Status_ == HttpBadRequest))
    Result.Status_ = StoreStatus::Refused;
  return Result;
}

auto interpret(const ReadEnvironment & /*Operation*/, const HttpResult &Answer,
               RejectedItems &Rejected) -> StoreResult {
  auto Result = baseResult(Answer);
  if (Result.Status_ == StoreStatus::Ok)
    Result.EnvironmentState_ = readEnvironmentState(Answer.Body_, Rejected);
  // Consul answers 404 if no key has the prefix: the environment is empty.
  if (Result.Status_ == StoreStatus::NotFound)
    Result.Status_ = StoreStatus::Ok;
  return Result;
}

auto interpret(const ReadEntries &Operation, const HttpResult &Answer,
               RejectedItems &Rejected) -> StoreResult {
  return interpret(ReadEnvironment{Operation.Environment_}, Answer, Rejected);
}

auto interpret(const ReadValue & /*Operation*/, const HttpResult &Answer,
               RejectedItems &Rejected) -> StoreResult {
  auto Result = baseResult(Answer);
  if (Result.Status_ != StoreStatus::Ok)
    return Result;
  const auto Keys = readKeys(Answer.Body_, Rejected);
  if (Keys.size() != 1 || !Keys.front().Value_)
    throw std::runtime_error("expected exactly one readable key");
  Result.Index_ = Keys.front().Index_;
  Result.Value_ = *Keys.front().Value_;
  return Result;
}

auto interpret(const CompareAndSwap & /*Operation*/, const HttpResult &Answer,
               RejectedItems & /*Rejected*/) -> StoreResult {
  auto Result = writeResult(Answer);
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

auto interpret(const ReadSegments &Operation, const HttpResult &Answer,
               RejectedItems &Rejected) -> StoreResult {
  auto Result = baseResult(Answer);
  // Consul answers 404 if no key has the prefix: there are no segments.
  if (Result.Status_ == StoreStatus::NotFound)
    Result.Status_ = StoreStatus::Ok;
  else if (Result.Status_ == StoreStatus::Ok)
    for (const auto &Key : readKeys(Answer.Body_, Rejected)) {
      if (Key.Path_ <= Operation.After_.Path_)
        continue;
      if (const auto *Segment = valueAs<ShardSegment>(Key))
        Result.Segments_.push_back(*Segment);
      else
        Rejected.report(Key.Path_, Key.Index_, NoSegmentReason);
    }
  return Result;
}

auto interpret(const WriteUnderLease & /*Operation*/, const HttpResult &Answer,
               RejectedItems & /*Rejected*/) -> StoreResult {
  auto Result = baseResult(Answer);
  if (Result.Status_ == StoreStatus::Ok && !answeredTrue(Answer))
    Result.Status_ = StoreStatus::NotFound;
  return Result;
}

auto interpret(const CreateLease & /*Operation*/, const HttpResult &Answer,
               RejectedItems & /*Rejected*/) -> StoreResult {
  auto Result = baseResult(Answer);
  if (Result.Status_ == StoreStatus::Ok)
    Result.Lease_ = {Json::parse(Answer.Body_).at("ID").get<std::string>()};
  return Result;
}

template <typename Operation>
auto interpret(const Operation & /*Operation*/, const HttpResult &Answer,
               RejectedItems & /*Rejected*/) -> StoreResult {
  return baseResult(Answer);
}

} // namespace

ConsulStore::ConsulStore(HttpCaller &Http, std::string Address)
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
  Http_.call(std::move(Call), [this, CallNumber, Operation,
                               Done =
                                   std::move(Done)](const HttpResult &Answer) {
    StoreResult Result;
    try {
      Result = std::visit(
          [&](const auto &Each) { return interpret(Each, Answer, Rejected_); },
          Operation);
    } catch (const std::exception &) {
      // An unreadable answer leaves the outcome unknown, like a lost one.
      Result = {};
    }
    Result.Call_ = CallNumber;
    Done(std::move(Result));
  });
}

} // namespace skylark
