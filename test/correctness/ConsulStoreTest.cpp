/// \file
/// Tests what the client of Consul reads beside keys of other writers, against
/// prepared answers.

#include "runtime/ConsulStore.h"
#include "wire/Cbor.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <websocketpp/base64/base64.hpp>

using namespace skylark;

namespace {

using Json = nlohmann::json;

/// Answers every call with the same keys.
class ListedKeys : public HttpCaller {
public:
  auto call(HttpCall /*Call*/, std::function<void(HttpResult)> Done)
      -> void override {
    HttpResult Answer;
    Answer.Complete_ = true;
    Answer.Status_ = 200;
    Answer.Body_ = Keys_.dump();
    Done(std::move(Answer));
  }
  auto put(const std::string &Path, const Json &Value, const Json &Index = 7)
      -> void {
    Keys_.push_back({{"Key", Path}, {"ModifyIndex", Index}, {"Value", Value}});
  }
  auto put(const StoreKey &Key, const StoreValue &Value) -> void {
    put(Key.Path_, websocketpp::base64_encode(encode(Value)));
  }

private:
  Json Keys_ = Json::array();
};

class ConsulFixture {
public:
  auto read(const StoreOperation &Operation) -> StoreResult {
    StoreResult Result;
    Store_.call(1, Operation,
                [&](StoreResult Answer) { Result = std::move(Answer); });
    return Result;
  }
  auto putEntry(const std::string &Key, const std::string &Name,
                const std::string &Address) -> void {
    EntryRegistration Entry;
    Entry.Entry_ = {Name};
    Entry.PeerAddress_ = Address;
    Http_.put(leaseKey({"test"}, {Key}), Entry);
  }

  ListedKeys Http_;
  ConsulStore Store_{Http_, "store"};
};

/// Values and indexes that no process of the system writes.
const std::vector<std::pair<Json, Json>> OddItems{
    {nullptr, 7},
    {"not base64!", 7},
    {websocketpp::base64_encode(std::string(1000000, '\x81')), 7},
    {websocketpp::base64_encode("{}"), 7},
    {websocketpp::base64_encode(encode(StoreValue{})), -1},
    {websocketpp::base64_encode(encode(StoreValue{})), 1e300}};

} // namespace

BOOST_AUTO_TEST_SUITE(ConsulStores)

BOOST_FIXTURE_TEST_CASE(AKeyThatCannotBeReadHidesNoEntry, ConsulFixture) {
  putEntry("a", "a", "127.0.0.1:4001");
  for (const auto &[Value, Index] : OddItems)
    Http_.put(leaseKey({"test"}, {"b"}).Path_, Value, Index);
  putEntry("c", "c", "127.0.0.1:4003");
  const auto Result = read(ReadEntries{{"test"}});
  BOOST_TEST((Result.Status_ == StoreStatus::Ok));
  BOOST_TEST(Result.EnvironmentState_.Leases_.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(AnEntryThatCannotBeConnectedToIsNoPeer, ConsulFixture) {
  putEntry("a", "a", "127.0.0.1:4001");
  putEntry("b", "b", "127.0.0.1:99999");
  putEntry("c", "a", "127.0.0.1:4003");
  const auto Result = read(ReadEnvironment{{"test"}});
  BOOST_TEST((Result.Status_ == StoreStatus::Ok));
  BOOST_TEST(Result.EnvironmentState_.Leases_.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AKeyThatCannotBeReadHidesNoCommit, ConsulFixture) {
  ShardSegment Segment;
  Segment.Commit_ = 1;
  Http_.put(commitKey({"test"}, 0, 1), Segment);
  for (const auto &[Value, Index] : OddItems)
    Http_.put(commitPrefix({"test"}, 0).Path_ + "000000000001x", Value, Index);
  Segment.Commit_ = 2;
  Http_.put(commitKey({"test"}, 0, 2), Segment);
  const auto Result =
      read(ReadSegments{commitPrefix({"test"}, 0), commitKey({"test"}, 0, 0)});
  BOOST_TEST((Result.Status_ == StoreStatus::Ok));
  BOOST_TEST(Result.Segments_.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
