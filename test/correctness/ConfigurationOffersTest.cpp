/// \file
/// Tests what entries answer by which configuration while one of them can't
/// read the store, on a virtual clock with the fake store.

#include "core/EntryCore.h"
#include "test/fuzz/FakeStore.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

using namespace skylark;

namespace {

constexpr std::size_t EntryCount = 3;
/// An entry that can't reach the store.
constexpr std::size_t CutOff = 1;
/// Within which a change must be in force.
constexpr Millis ApplyTime{2000};
constexpr Millis StoreTimeout{1000};

auto entryIdOf(std::size_t Index) -> EntryId {
  return {"entry-" + std::to_string(Index)};
}

/// Connected entries, each of which can be cut off from the store, from its
/// peers, or be suspended.
class Entries {
public:
  Entries() {
    changeQueues({"first"});
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      start(Index);
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      for (std::size_t Peer = 0; Peer < EntryCount; ++Peer)
        if (Peer != Index)
          runOn(Index, [&](EntryCore &Core, EntryOutbox &Out) {
            Core.peerConnected(Now_, entryIdOf(Peer), Out);
          });
  }

  /// Starts an entry without the knowledge of an earlier process.
  auto start(std::size_t Index) -> void {
    EntryIdentity Identity;
    Identity.Entry_ = entryIdOf(Index);
    Identity.Incarnation_ = ++LastIncarnation_;
    Identity.Environment_ = {"test"};
    Identity.PeerAddress_ = entryIdOf(Index).Value_;
    Identity.ShardCount_ = 1;
    Cores_[Index] = std::make_unique<EntryCore>(Identity);
  }

  /// Stores a configuration with these queues, each of which is at the path
  /// that is its name.
  auto changeQueues(const std::vector<std::string> &Names,
                    const std::string &Service = "portal") -> void {
    Document Changed;
    Changed.Text_ = "document " + std::to_string(++StoredRevision_);
    Changed.DataCentres_ = {{"hobart"}};
    for (const auto &Name : Names) {
      QueueDeclaration Queue;
      Queue.Name_ = {Name};
      Queue.Host_ = "portal.example";
      Queue.PathPrefix_ = "/" + Name + "/";
      Queue.Service_ = {Service};
      Changed.Queues_.push_back(Queue);
    }
    EnvironmentHead Head;
    Head.Revision_ = StoredRevision_;
    Head.DocumentDigest_ = digestText(Changed.Text_);
    Store_.apply(storeTime(),
                 WriteValue{documentKey(Head.DocumentDigest_), Changed});
    Store_.apply(storeTime(), WriteValue{headKey({"test"}), Head});
  }

  auto advance(Millis Period) -> void {
    constexpr Millis TickInterval{50};
    for (Millis Elapsed{0}; Elapsed < Period; Elapsed += TickInterval) {
      Now_ = Now_.after(TickInterval);
      failOverdueCalls(TickInterval);
      for (std::size_t Index = 0; Index < EntryCount; ++Index)
        if (!Suspended_[Index])
          runOn(Index, [&](EntryCore &Core, EntryOutbox &Out) {
            Core.tick(Now_, Out);
          });
    }
  }

  /// The error with which an entry answers a request; None if it has accepted
  /// or forwarded it.
  auto errorOf(std::size_t Index, const CallerRequest &Request) -> ErrorKind {
    const auto Token = ++LastToken_;
    runOn(Index, [&](EntryCore &Core, EntryOutbox &Out) {
      Core.callerAsked(Now_, Token, Request, Out);
    });
    const auto Found = Replies_.find(Token);
    if (Found == Replies_.end())
      return ErrorKind::None;
    const auto *Refusal = std::get_if<ErrorReply>(&Found->second);
    return Refusal == nullptr ? ErrorKind::None : Refusal->Kind_;
  }
  auto errorOfSubmission(std::size_t Index, const std::string &Queue)
      -> ErrorKind {
    SubmitToQueue Request;
    Request.Address_ = {"portal.example",
                        "/" + Queue + "/" + std::to_string(LastToken_)};
    return errorOf(Index, Request);
  }

  auto owner() const -> std::size_t {
    std::size_t Index = 0;
    while (Index < EntryCount && Cores_[Index]->ownedShards() == 0)
      ++Index;
    return Index;
  }
  auto jobAt(std::size_t Index, const std::string &Job) const
      -> const skylark::Job * {
    const auto *Shard = Cores_[Index]->shardState(0);
    return Shard == nullptr ? nullptr : Shard->findJob({Job});
  }
  auto revisionOf(std::size_t Index) const -> Revision {
    return Cores_[Index]->configuration().Head_.Revision_;
  }
  auto healthy(std::size_t Index) const -> bool {
    return Cores_[Index]->healthy(Now_);
  }
  auto countersOf(std::size_t Index) const -> const Counters & {
    return Cores_[Index]->counters();
  }
  auto configurationsSent() const -> std::uint64_t {
    std::uint64_t Sent = 0;
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      Sent += countersOf(Index).ConfigurationsSent_;
    return Sent;
  }
  /// Whether the entry would grant an agent permission to start tasks, and the
  /// revision of the grant.
  auto grantOf(std::size_t Index) -> HeartbeatAck {
    LastAck_ = {};
    runOn(Index, [&](EntryCore &Core, EntryOutbox &Out) {
      Hello Joining;
      Joining.Agent_ = {"agent"};
      Joining.DataCentre_ = {"hobart"};
      Core.agentSent(Now_, 1, Joining, Out);
      Core.agentSent(Now_, 1, Heartbeat{}, Out);
    });
    return LastAck_;
  }

  template <typename Function>
  auto runOn(std::size_t Index, Function Callback) -> void {
    EntryOutbox Out;
    Callback(*Cores_[Index], Out);
    for (auto &Each : Out)
      std::visit([&](auto &Action) { this->perform(Index, Action); }, Each);
  }

  /// Entries whose calls of the store are never answered.
  std::array<bool, EntryCount> StoreSilent_{};
  std::array<bool, EntryCount> Suspended_{};
  /// Entries that drop configurations from peers, like those of a version that
  /// doesn't know the message.
  std::array<bool, EntryCount> OldVersion_{};
  /// Entries whose configurations don't reach the others.
  std::array<bool, EntryCount> LosesConfigurations_{};
  Moment Now_{TimePoint(Seconds{100}), WallTime(Seconds{1000})};

private:
  struct OpenCall {
    std::size_t Entry_ = 0;
    std::uint64_t Call_ = 0;
    Millis Remaining_{0};
  };

  auto storeTime() const -> Micros {
    return std::chrono::duration_cast<Micros>(Now_.Steady_.time_since_epoch());
  }
  /// Ends the calls that have timed out; a suspended entry's timers stand
  /// still.
  auto failOverdueCalls(Millis Elapsed) -> void {
    std::vector<OpenCall> Overdue;
    for (auto &Each : OpenCalls_) {
      if (!Suspended_[Each.Entry_])
        Each.Remaining_ -= Elapsed;
      if (Each.Remaining_ <= Millis{0})
        Overdue.push_back(Each);
    }
    OpenCalls_.erase(std::remove_if(OpenCalls_.begin(), OpenCalls_.end(),
                                    [](const OpenCall &Each) {
                                      return Each.Remaining_ <= Millis{0};
                                    }),
                     OpenCalls_.end());
    for (const auto &Each : Overdue) {
      StoreResult Result;
      Result.Call_ = Each.Call_;
      runOn(Each.Entry_, [&](EntryCore &Core, EntryOutbox &Out) {
        Core.storeAnswered(Now_, Result, Out);
      });
    }
  }
  auto perform(std::size_t From, const CallStore &Call) -> void {
    if (StoreSilent_[From]) {
      OpenCalls_.push_back({From, Call.Call_, StoreTimeout});
      return;
    }
    auto Result = Store_.apply(storeTime(), Call.Operation_);
    Result.Call_ = Call.Call_;
    runOn(From, [&](EntryCore &Core, EntryOutbox &Out) {
      Core.storeAnswered(Now_, Result, Out);
    });
  }
  auto perform(std::size_t From, const SendToPeer &Send) -> void {
    for (std::size_t Index = 0; Index < EntryCount; ++Index) {
      const auto Dropped =
          (OldVersion_[Index] || LosesConfigurations_[From]) &&
          std::holds_alternative<ConfigurationUpdate>(Send.Message_);
      if (entryIdOf(Index) == Send.Entry_ && !Suspended_[Index] && !Dropped)
        runOn(Index, [&](EntryCore &Core, EntryOutbox &Out) {
          Core.peerSent(Now_, entryIdOf(From), Send.Message_, Out);
        });
    }
  }
  auto perform(std::size_t /*From*/, const SendToAgent &Send) -> void {
    if (const auto *Ack = std::get_if<HeartbeatAck>(&Send.Message_))
      LastAck_ = *Ack;
  }
  auto perform(std::size_t /*From*/, const AnswerCaller &Answer) -> void {
    Replies_[Answer.Token_] = Answer.Reply_;
  }
  template <typename Other>
  auto perform(std::size_t /*From*/, const Other & /*Each*/) -> void {}

  std::array<std::unique_ptr<EntryCore>, EntryCount> Cores_;
  Fuzz::FakeStore Store_;
  std::vector<OpenCall> OpenCalls_;
  std::map<CallerToken, CallerReply> Replies_;
  HeartbeatAck LastAck_;
  CallerToken LastToken_ = 0;
  Revision StoredRevision_ = 0;
  Incarnation LastIncarnation_ = 0;
};

/// Requests of each kind for a queue.
auto requestsFor(const std::string &Queue) -> std::vector<CallerRequest> {
  const QueueAddress Job{"portal.example", "/" + Queue + "/a"};
  SubmitToQueue Submission;
  Submission.Address_ = Job;
  return {Submission, ReadQueue{Job}, CancelInQueue{Job},
          ReadQueue{{"portal.example", "/" + Queue + "/"}}};
}

/// The error where a view that isn't fresh names no queue. An earlier copy of a
/// submission may have been accepted elsewhere.
auto unprovenError(const CallerRequest &Request) -> ErrorKind {
  return std::holds_alternative<SubmitToQueue>(Request)
             ? ErrorKind::KeyNotChecked
             : ErrorKind::StoreUnavailable;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OldViews)

// A route that had been added was refused with 404 for as long as the store
// turned the entry away.
BOOST_AUTO_TEST_CASE(AnOldViewDoesNotProveThatAQueueIsAbsent) {
  Entries Fixture;
  Fixture.advance(Millis{3000});
  for (const auto &Request : requestsFor("added"))
    BOOST_TEST((Fixture.errorOf(CutOff, Request) == ErrorKind::UnknownQueue));
  BOOST_TEST(Fixture.countersOf(CutOff).UnprovenAbsences_ == 0);
  Fixture.StoreSilent_.fill(true);
  Fixture.advance(Millis{1500});
  for (const auto &Request : requestsFor("added"))
    BOOST_TEST((Fixture.errorOf(CutOff, Request) == unprovenError(Request)));
  BOOST_TEST(Fixture.countersOf(CutOff).UnprovenAbsences_ == 4);
  // What the view names is served meanwhile.
  BOOST_TEST((Fixture.errorOfSubmission(CutOff, "first") == ErrorKind::None));
}

BOOST_AUTO_TEST_CASE(AnOldViewDoesNotProveThatAServiceIsAbsent) {
  Entries Fixture;
  Fixture.advance(Millis{3000});
  QuickRequest Request;
  Request.Service_ = {"added"};
  BOOST_TEST((Fixture.errorOf(CutOff, Request) == ErrorKind::UnknownService));
  Fixture.StoreSilent_.fill(true);
  Fixture.advance(Millis{1500});
  BOOST_TEST((Fixture.errorOf(CutOff, Request) == ErrorKind::StoreUnavailable));
  Request.Key_ = {"key"};
  BOOST_TEST((Fixture.errorOf(CutOff, Request) == ErrorKind::KeyNotChecked));
}

BOOST_AUTO_TEST_CASE(AnEntryThatHasReadNothingRefusesNothingAsUnknown) {
  Entries Fixture;
  Fixture.StoreSilent_.fill(true);
  Fixture.advance(Millis{300});
  BOOST_TEST(!Fixture.healthy(CutOff));
  QuickRequest Quick;
  Quick.Service_ = {"portal"};
  BOOST_TEST((Fixture.errorOf(CutOff, Quick) == ErrorKind::StoreUnavailable));
  for (const auto &Request : requestsFor("first"))
    BOOST_TEST(
        (Fixture.errorOf(CutOff, Request) == ErrorKind::StoreUnavailable));
}

// Changes were not in force at an entry that the store alone turned away.
BOOST_AUTO_TEST_CASE(AnEntryCutOffFromTheStoreFollowsChangesThroughItsPeers) {
  Entries Fixture;
  Fixture.advance(Millis{3000});
  Fixture.StoreSilent_[CutOff] = true;
  // A change just after the cut, and one long after it.
  for (const auto *Added : {"second", "third"}) {
    Fixture.changeQueues({Added});
    Fixture.advance(ApplyTime);
    BOOST_TEST((Fixture.errorOfSubmission(CutOff, Added) == ErrorKind::None));
    BOOST_TEST((Fixture.errorOfSubmission(CutOff, "first") ==
                ErrorKind::KeyNotChecked));
    Fixture.advance(Millis{5000});
  }
  // One entry sends each configuration, once.
  BOOST_TEST(Fixture.configurationsSent() == 2);
  BOOST_TEST(Fixture.countersOf(CutOff).ConfigurationsFromPeers_ == 2);
}

BOOST_AUTO_TEST_CASE(AChangeIsInForceInTimeWheneverItFollowsTheCut) {
  for (Millis Gap{0}; Gap <= Millis{1200}; Gap += Millis{50})
    for (const auto Phase : {Millis{0}, Millis{150}, Millis{250}}) {
      Entries Fixture;
      Fixture.advance(Millis{3000} + Phase);
      Fixture.StoreSilent_[CutOff] = true;
      Fixture.advance(Gap);
      Fixture.changeQueues({"second"});
      Fixture.advance(ApplyTime);
      BOOST_TEST(Fixture.revisionOf(CutOff) == 2);
    }
}

BOOST_AUTO_TEST_CASE(AnotherEntryOffersWhatTheFirstOneDidNotDeliver) {
  Entries Fixture;
  Fixture.advance(Millis{3000});
  Fixture.StoreSilent_[CutOff] = true;
  Fixture.LosesConfigurations_[0] = true;
  Fixture.changeQueues({"second"});
  Fixture.advance(ApplyTime);
  BOOST_TEST(Fixture.revisionOf(CutOff) == 2);
  BOOST_TEST(Fixture.configurationsSent() == 2);
}

BOOST_AUTO_TEST_CASE(AConfigurationFromAPeerIsNoContactWithTheStore) {
  Entries Fixture;
  Fixture.advance(Millis{3000});
  Fixture.StoreSilent_[CutOff] = true;
  Fixture.advance(Millis{2500});
  const auto Before = Fixture.grantOf(CutOff);
  Fixture.changeQueues({"second"});
  Fixture.advance(ApplyTime);
  BOOST_REQUIRE(Fixture.revisionOf(CutOff) == 2);
  const auto After = Fixture.grantOf(CutOff);
  BOOST_TEST(!Before.ViewFresh_);
  BOOST_TEST(!After.ViewFresh_);
  BOOST_TEST(Before.AsOf_ <= After.AsOf_);
  BOOST_TEST(After.AsOf_ <= 2U);
  BOOST_TEST((After.StartGrantDuration_ <= Before.StartGrantDuration_));
  BOOST_TEST((After.RunGrantDuration_ <= Before.RunGrantDuration_));
}

BOOST_AUTO_TEST_CASE(AnEntryThatStartsWithoutTheStoreIsToldTheConfiguration) {
  Entries Fixture;
  Fixture.advance(Millis{3000});
  Fixture.StoreSilent_[CutOff] = true;
  Fixture.start(CutOff);
  for (std::size_t Peer = 0; Peer < EntryCount; ++Peer)
    if (Peer != CutOff)
      Fixture.runOn(CutOff, [&](EntryCore &Core, EntryOutbox &Out) {
        Core.peerConnected(Fixture.Now_, entryIdOf(Peer), Out);
      });
  Fixture.advance(ApplyTime);
  BOOST_TEST(Fixture.revisionOf(CutOff) == 1);
}

BOOST_AUTO_TEST_CASE(EntriesThatReadTheStoreAreSentNoConfigurations) {
  Entries Fixture;
  Fixture.advance(Millis{3000});
  for (int Change = 0; Change < 20; ++Change) {
    Fixture.changeQueues({"queue-" + std::to_string(Change)});
    Fixture.advance(Millis{350});
  }
  BOOST_TEST(Fixture.configurationsSent() == 0);
}

// An earlier version can't read the message; a long configuration that it drops
// must not fill its link.
BOOST_AUTO_TEST_CASE(AnOfferWithoutEffectIsRepeatedEverMoreRarely) {
  Entries Fixture;
  Fixture.advance(Millis{3000});
  Fixture.StoreSilent_[CutOff] = true;
  Fixture.OldVersion_[CutOff] = true;
  Fixture.changeQueues({"second"});
  Fixture.advance(Millis{20000});
  BOOST_TEST(Fixture.configurationsSent() >= 2);
  BOOST_TEST(Fixture.configurationsSent() <= 2 * 6);
  BOOST_TEST(Fixture.revisionOf(CutOff) == 1);
  BOOST_TEST((Fixture.errorOfSubmission(CutOff, "second") ==
              ErrorKind::KeyNotChecked));
}

// The timers of the calls of the store don't count the time of a suspension.
BOOST_AUTO_TEST_CASE(AResumedEntryFollowsChangesThroughItsPeers) {
  Entries Fixture;
  Fixture.advance(Millis{3000});
  Fixture.StoreSilent_[CutOff] = true;
  Fixture.advance(Millis{400});
  Fixture.Suspended_[CutOff] = true;
  Fixture.changeQueues({"second"});
  Fixture.advance(Millis{800});
  Fixture.Suspended_[CutOff] = false;
  // Before its first tick it has no fresh view.
  BOOST_TEST((Fixture.errorOfSubmission(CutOff, "second") ==
              ErrorKind::KeyNotChecked));
  Fixture.advance(Millis{500});
  BOOST_TEST((Fixture.errorOfSubmission(CutOff, "second") == ErrorKind::None));
}

// The entry that took a request decides by its configuration; an owner that
// holds an older one carries out what was decided.
BOOST_AUTO_TEST_CASE(AnOwnerWithAnOlderConfigurationDoesNotDecideARequest) {
  Entries Fixture;
  Fixture.advance(Millis{4000});
  const auto Owner = Fixture.owner();
  BOOST_REQUIRE(Owner < EntryCount);
  const auto Other = (Owner + 1) % EntryCount;
  Fixture.changeQueues({"added"}, "new-service");
  Fixture.Suspended_[Owner] = true;
  Fixture.advance(Millis{400});
  Fixture.Suspended_[Owner] = false;
  BOOST_REQUIRE(Fixture.revisionOf(Other) == 2);
  SubmitToQueue Added;
  Added.Address_ = {"portal.example", "/added/a"};
  SubmitToQueue Removed;
  Removed.Address_ = {"portal.example", "/first/b"};
  BOOST_TEST((Fixture.errorOf(Other, Added) == ErrorKind::None));
  BOOST_TEST((Fixture.errorOf(Other, Removed) == ErrorKind::UnknownQueue));
  BOOST_REQUIRE(Fixture.revisionOf(Owner) == 1);
  Fixture.advance(Millis{100});
  const auto *Stored = Fixture.jobAt(Owner, "a");
  BOOST_REQUIRE(Stored != nullptr);
  BOOST_TEST(Stored->Declaration_.Service_ == ServiceName{"new-service"});
  BOOST_TEST((Fixture.jobAt(Owner, "b") == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
