/// \file
/// Tests which entry owns a shard after entries stop or lose the store and
/// after workers are replaced, on a virtual clock with the fake store.

#include "core/EntryCore.h"
#include "test/fuzz/FakeStore.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace skylark;

namespace {

constexpr std::size_t EntryCount = 2;

auto entryIdOf(std::size_t Index) -> EntryId {
  return {"entry-" + std::to_string(Index)};
}

/// Two entries that are connected to each other, and one agent that has a
/// session with each.
class EntryFixture {
public:
  EntryFixture() {
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      startEntry(Index);
    writeConfiguration();
    advance(Millis{4000});
  }

  /// Starts an entry.
  /// \param PeersConnected whether it is connected to the other entries.
  auto startEntry(std::size_t Index, bool PeersConnected = true) -> void {
    EntryIdentity Identity;
    Identity.Entry_ = entryIdOf(Index);
    Identity.Incarnation_ = ++LastIncarnation_;
    Identity.Environment_ = {"test"};
    Identity.PeerAddress_ = entryIdOf(Index).Value_;
    Identity.ShardCount_ = 1;
    Identity.CapacityMilliCores_ = Capacities_[Index];
    Identity.Policy_ = policy();
    Entries_[Index] = std::make_unique<EntryCore>(Identity);
    StoreUnreachable_[Index] = false;
    EntryOutbox Out;
    for (std::size_t Peer = 0; Peer < EntryCount; ++Peer)
      if (Peer != Index && PeersConnected)
        Entries_[Index]->peerConnected(Now_, entryIdOf(Peer), Out);
    performAll(Index, std::move(Out));
    for (std::size_t Peer = 0; Peer < EntryCount; ++Peer)
      if (Peer != Index && Entries_[Peer] && PeersConnected)
        runOn(Peer, [&](EntryCore &Core, EntryOutbox &PeerOut) {
          Core.peerConnected(Now_, entryIdOf(Index), PeerOut);
        });
  }

  auto killEntry(std::size_t Index) -> void {
    Entries_[Index].reset();
    for (std::size_t Peer = 0; Peer < EntryCount; ++Peer)
      if (Entries_[Peer])
        runOn(Peer, [&](EntryCore &Core, EntryOutbox &Out) {
          Core.peerDisconnected(Now_, entryIdOf(Index), Out);
        });
  }

  /// Advances the clock in ticks. While an agent is connected, it sends a
  /// heartbeat to every entry on each tenth tick.
  auto advance(Millis Period) -> void {
    constexpr Millis TickInterval{50};
    for (Millis Elapsed{0}; Elapsed < Period; Elapsed += TickInterval) {
      Now_ = Now_.after(TickInterval);
      for (std::size_t Index = 0; Index < EntryCount; ++Index)
        if (Entries_[Index])
          runOn(Index, [&](EntryCore &Core, EntryOutbox &Out) {
            Core.tick(Now_, Out);
          });
      if (Worker_ != 0 && ++Ticks_ % 10 == 0)
        sendHeartbeats();
    }
  }

  /// Opens the agent's sessions with every entry, on behalf of this worker.
  auto connectAgent(Incarnation Worker) -> void {
    Worker_ = Worker;
    Hello Message;
    Message.Agent_ = {"agent"};
    Message.Incarnation_ = Worker;
    Message.Worker_ = Worker;
    Message.DataCentre_ = {"hobart"};
    Message.Capacity_ = {4000, 8000, 0};
    Message.Services_ = {{"portal"}};
    Session_ = 100 * Worker;
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      sendFromAgent(Index, Message);
  }
  /// Closes the agent's sessions.
  auto leave() -> void {
    Worker_ = 0;
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      if (Entries_[Index])
        runOn(Index, [&](EntryCore &Core, EntryOutbox &Out) {
          Core.agentDisconnected(Now_, Session_, Out);
        });
  }

  /// Reports a phase of the task's current attempt to every entry.
  auto report(const std::string &Job, TaskPhase Phase,
              ErrorKind Reason = ErrorKind::None) -> void {
    TaskReport Message;
    Message.Task_ = {{Job}, 0};
    Message.Attempt_ = taskStatus(Job)->Attempt_;
    Message.Phase_ = Phase;
    Message.Reason_ = Reason;
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      sendFromAgent(Index, Message);
  }
  auto isBoundTo(const std::string &Job, Incarnation Worker) const -> bool {
    const auto *Task = taskStatus(Job);
    return Task != nullptr && Task->State_ == TaskState::Bound &&
           Task->Worker_ == Worker;
  }

  auto sendRequest(std::size_t Index, CallerRequest Request) -> CallerToken {
    const auto Token = ++LastToken_;
    runOn(Index, [&](EntryCore &Core, EntryOutbox &Out) {
      Core.callerAsked(Now_, Token, Request, Out);
    });
    return Token;
  }
  auto submit(std::size_t Index, const std::string &Job) -> CallerToken {
    SubmitToQueue Request;
    Request.Address_ = {"portal.example", "/jobs/" + Job};
    Request.Declaration_.Steps_.front().Resources_ = {1000, 1000, 0};
    return sendRequest(Index, Request);
  }

  auto owner() const -> std::size_t {
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      if (Entries_[Index] && Entries_[Index]->ownedShards() == 1)
        return Index;
    return EntryCount;
  }
  auto replyOf(CallerToken Token) const -> const CallerReply * {
    const auto Found = Replies_.find(Token);
    return Found == Replies_.end() ? nullptr : &Found->second;
  }
  auto taskStatus(const std::string &Job) const -> const TaskStatus * {
    const auto Index = owner();
    return Index == EntryCount
               ? nullptr
               : Entries_[Index]->shardState(0)->findTask({{Job}, 0});
  }
  template <typename Function>
  auto runOn(std::size_t Index, Function Callback) -> void {
    EntryOutbox Out;
    Callback(*Entries_[Index], Out);
    performAll(Index, std::move(Out));
  }

  std::array<std::unique_ptr<EntryCore>, EntryCount> Entries_;
  std::array<bool, EntryCount> StoreUnreachable_{};
  std::array<std::uint32_t, EntryCount> Capacities_{1000, 1000};
  std::vector<BindTask> Binds_;
  /// Addresses of the entries in the last list that the agent got.
  std::vector<std::string> KnownAddresses_;
  Moment Now_{TimePoint(Seconds{100}), WallTime(Seconds{1000})};

private:
  static auto policy() -> PolicySettings {
    PolicySettings Policy;
    Policy.RegistrationTtl_ = Millis{2000};
    Policy.TaskLeaseDuration_ = Millis{5000};
    Policy.OutageHorizon_ = Millis{10000};
    Policy.FreshnessWindow_ = Millis{1500};
    return Policy;
  }

  auto writeConfiguration() -> void {
    Document Configured;
    Configured.Text_ = "test";
    Configured.DataCentres_ = {{"hobart"}};
    Configured.Policy_ = policy();
    QueueDeclaration Queue;
    Queue.Name_ = {"queue"};
    Queue.Host_ = "portal.example";
    Queue.PathPrefix_ = "/jobs/";
    Queue.Service_ = {"portal"};
    Configured.Queues_ = {Queue};
    EnvironmentHead Head;
    Head.Revision_ = 1;
    Head.DocumentDigest_ = digestText(Configured.Text_);
    Store_.apply(Micros{0},
                 WriteValue{documentKey(Head.DocumentDigest_), Configured});
    Store_.apply(Micros{0}, WriteValue{headKey({"test"}), Head});
  }

  auto sendFromAgent(std::size_t Index, const AgentMessage &Message) -> void {
    if (Entries_[Index])
      runOn(Index, [&](EntryCore &Core, EntryOutbox &Out) {
        Core.agentSent(Now_, Session_, Message, Out);
      });
  }
  auto sendHeartbeats() -> void {
    Heartbeat Message;
    Message.Sequence_ = static_cast<std::uint64_t>(Ticks_);
    Message.Revision_ = 1;
    Message.Load_.Free_ = {4000, 8000, 0};
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      sendFromAgent(Index, Message);
  }

  auto performAll(std::size_t From, EntryOutbox Out) -> void {
    for (auto &Each : Out)
      std::visit([&](auto &Action) { this->perform(From, Action); }, Each);
  }
  auto perform(std::size_t From, const CallStore &Call) -> void {
    StoreResult Result;
    if (!StoreUnreachable_[From])
      Result = Store_.apply(
          std::chrono::duration_cast<Micros>(Now_.Steady_.time_since_epoch()),
          Call.Operation_);
    Result.Call_ = Call.Call_;
    runOn(From, [&](EntryCore &Core, EntryOutbox &Out) {
      Core.storeAnswered(Now_, Result, Out);
    });
  }
  auto perform(std::size_t From, const SendToPeer &Send) -> void {
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      if (entryIdOf(Index) == Send.Entry_ && Entries_[Index])
        runOn(Index, [&](EntryCore &Core, EntryOutbox &Out) {
          Core.peerSent(Now_, entryIdOf(From), Send.Message_, Out);
        });
  }
  auto perform(std::size_t From, const SendToAgent &Send) -> void {
    if (Send.Session_ != Session_ || Worker_ == 0)
      return;
    if (const auto *Bind = std::get_if<BindTask>(&Send.Message_))
      Binds_.push_back(*Bind);
    if (const auto *KnownList = std::get_if<KnownEntries>(&Send.Message_))
      KnownAddresses_ = KnownList->Addresses_;
    if (const auto *Claim = std::get_if<ClaimOwnership>(&Send.Message_))
      sendFromAgent(
          From, ConfirmOwnership{Claim->Shard_, Claim->Epoch_, Worker_, {}});
  }
  auto perform(std::size_t /*From*/, const AnswerCaller &Answer) -> void {
    Replies_[Answer.Token_] = Answer.Reply_;
  }
  template <typename Other>
  auto perform(std::size_t /*From*/, const Other & /*Each*/) -> void {}

  Fuzz::FakeStore Store_;
  std::map<CallerToken, CallerReply> Replies_;
  CallerToken LastToken_ = 0;
  Incarnation LastIncarnation_ = 0;
  Incarnation Worker_ = 0;
  SessionNumber Session_ = 0;
  int Ticks_ = 0;
};

auto isJobState(const CallerReply *Reply) -> bool {
  return Reply != nullptr && std::holds_alternative<JobStateReply>(*Reply);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Ownership)

BOOST_AUTO_TEST_CASE(OneEntryOwnsAndBothAnswer) {
  EntryFixture Fixture;
  BOOST_REQUIRE(Fixture.owner() < EntryCount);
  const auto First = Fixture.submit(0, "a");
  const auto Second = Fixture.submit(1, "b");
  Fixture.advance(Millis{200});
  BOOST_TEST(isJobState(Fixture.replyOf(First)));
  BOOST_TEST(isJobState(Fixture.replyOf(Second)));
}

BOOST_AUTO_TEST_CASE(AStoppingOwnersShardIsAcquiredWithinASecond) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.runOn(OldOwner, [&](EntryCore &Core, EntryOutbox &Out) {
    Core.leave(Fixture.Now_, Out);
  });
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.owner() == 1 - OldOwner);
}

BOOST_AUTO_TEST_CASE(AStoppingOwnerStillAnswersThroughItsSuccessor) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.runOn(OldOwner, [&](EntryCore &Core, EntryOutbox &Out) {
    Core.leave(Fixture.Now_, Out);
  });
  const auto Token = Fixture.submit(OldOwner, "a");
  Fixture.advance(Millis{1500});
  BOOST_TEST(isJobState(Fixture.replyOf(Token)));
}

BOOST_AUTO_TEST_CASE(AnOwnerThatAloneLosesTheStoreRelinquishes) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.StoreUnreachable_[OldOwner] = true;
  const auto Token = Fixture.submit(OldOwner, "a");
  Fixture.advance(Millis{2600});
  BOOST_TEST(Fixture.owner() == 1 - OldOwner);
  BOOST_TEST(isJobState(Fixture.replyOf(Token)));
}

BOOST_AUTO_TEST_CASE(ARelinquishedShardIsAcquiredWithinHalfASecond) {
  // With each of the entries as owner, since the hash prefers one of them.
  for (std::size_t First = 0; First < EntryCount; ++First) {
    EntryFixture Fixture;
    Fixture.killEntry(1 - First);
    Fixture.advance(Millis{6000});
    Fixture.startEntry(1 - First);
    Fixture.advance(Millis{2000});
    BOOST_REQUIRE(Fixture.owner() == First);
    Fixture.StoreUnreachable_[First] = true;
    while (Fixture.owner() == First)
      Fixture.advance(Millis{50});
    Fixture.advance(Millis{500});
    BOOST_TEST(Fixture.owner() == 1 - First);
  }
}

BOOST_AUTO_TEST_CASE(ARelinquishedShardCanBeAcquiredOnceTheStoreIsBack) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.StoreUnreachable_[OldOwner] = true;
  Fixture.advance(Millis{1700});
  Fixture.StoreUnreachable_[OldOwner] = false;
  Fixture.advance(Millis{2000});
  BOOST_TEST(Fixture.owner() < EntryCount);
}

BOOST_AUTO_TEST_CASE(NoEntryRelinquishesWhileTheStoreIsDownForAll) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.StoreUnreachable_.fill(true);
  Fixture.advance(Millis{4000});
  BOOST_TEST(Fixture.owner() == OldOwner);
}

BOOST_AUTO_TEST_CASE(NoEntryRelinquishesWhenACommonOutageEndsForOthersFirst) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.StoreUnreachable_.fill(true);
  Fixture.advance(Millis{4000});
  Fixture.StoreUnreachable_[1 - OldOwner] = false;
  Fixture.advance(Millis{350});
  Fixture.StoreUnreachable_[OldOwner] = false;
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.owner() == OldOwner);
}

BOOST_AUTO_TEST_CASE(AnOwnerThatDiedInAStoreOutageIsReplacedAfterIt) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.StoreUnreachable_.fill(true);
  Fixture.advance(Millis{3000});
  Fixture.killEntry(OldOwner);
  Fixture.advance(Millis{1000});
  Fixture.StoreUnreachable_.fill(false);
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.owner() == 1 - OldOwner);
}

BOOST_AUTO_TEST_CASE(AnEntryOfMuchMoreCapacityGetsTheShardOnceItIsStable) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.killEntry(1 - OldOwner);
  Fixture.Capacities_[1 - OldOwner] = 4000;
  Fixture.startEntry(1 - OldOwner);
  Fixture.advance(Millis{2000});
  BOOST_TEST(Fixture.owner() == OldOwner);
  Fixture.advance(Millis{5000});
  BOOST_TEST(Fixture.owner() == 1 - OldOwner);
}

BOOST_AUTO_TEST_CASE(ALowCapacityEntryLeavesTheShardToARegisteredLargerOne) {
  EntryFixture Fixture;
  Fixture.killEntry(1);
  Fixture.Capacities_[1] = 4000;
  Fixture.startEntry(1);
  Fixture.advance(Millis{8000});
  BOOST_REQUIRE(Fixture.owner() == 1U);
  Fixture.killEntry(0);
  Fixture.killEntry(1);
  Fixture.startEntry(0, false);
  Fixture.startEntry(1, false);
  Fixture.advance(Millis{800});
  BOOST_TEST(Fixture.owner() == 1U);
}

BOOST_AUTO_TEST_CASE(AStoppingEntryAnswersAllWaitingCallers) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.killEntry(1 - OldOwner);
  Fixture.StoreUnreachable_[OldOwner] = true;
  Fixture.runOn(OldOwner, [&](EntryCore &Core, EntryOutbox &Out) {
    Core.leave(Fixture.Now_, Out);
  });
  // The entry ends by itself ForcedStopMargin before its process may be killed;
  // a request that arrives shortly before still gets an answer.
  Fixture.advance(Millis{10400});
  const auto Token = Fixture.submit(OldOwner, "a");
  Fixture.advance(Millis{300});
  BOOST_TEST(Fixture.replyOf(Token) != nullptr);
}

BOOST_AUTO_TEST_CASE(ADeadOwnersShardIsAcquiredAfterItsLease) {
  EntryFixture Fixture;
  const auto OldOwner = Fixture.owner();
  Fixture.killEntry(OldOwner);
  Fixture.advance(Millis{3500});
  BOOST_TEST(Fixture.owner() == 1 - OldOwner);
}

BOOST_AUTO_TEST_CASE(TasksOfAReplacedWorkerAreReboundAtOnce) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  BOOST_REQUIRE(Fixture.taskStatus("a") != nullptr);
  BOOST_TEST(Fixture.taskStatus("a")->Worker_ == 1U);
  // Both entries, the agent and the worker lose power at once. The former
  // owner's grants would last for long, but only the old worker could use them.
  const auto OldOwner = Fixture.owner();
  Fixture.leave();
  Fixture.killEntry(0);
  Fixture.killEntry(1);
  Fixture.startEntry(1 - OldOwner);
  Fixture.advance(Millis{4000});
  Fixture.connectAgent(2);
  Fixture.advance(Millis{2000});
  BOOST_REQUIRE(Fixture.taskStatus("a") != nullptr);
  BOOST_TEST(Fixture.taskStatus("a")->Worker_ == 2U);
  BOOST_TEST(Fixture.taskStatus("a")->Attempt_ == 2U);
}

BOOST_AUTO_TEST_CASE(AgentsLearnOfAnEntryThatStartsLater) {
  EntryFixture Fixture;
  Fixture.killEntry(1);
  Fixture.advance(Millis{4000});
  Fixture.connectAgent(1);
  Fixture.advance(Millis{500});
  BOOST_TEST(Fixture.KnownAddresses_.size() == 1U);
  Fixture.startEntry(1);
  Fixture.advance(Millis{2000});
  BOOST_TEST(Fixture.KnownAddresses_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ARepeatedSubmissionIsOneJob) {
  EntryFixture Fixture;
  Fixture.submit(0, "a");
  Fixture.advance(Millis{200});
  const auto Repeated = Fixture.submit(1, "a");
  Fixture.advance(Millis{200});
  BOOST_TEST(isJobState(Fixture.replyOf(Repeated)));
  const auto Count =
      Fixture.sendRequest(0, ReadQueue{{"portal.example", "/jobs/"}});
  Fixture.advance(Millis{200});
  const auto *Reply = Fixture.replyOf(Count);
  BOOST_REQUIRE(Reply != nullptr);
  BOOST_TEST(std::get<UnstartedJobsReply>(*Reply).Count_ == 1U);
}

BOOST_AUTO_TEST_CASE(UnknownQueuesAndJobsHaveDifferentErrors) {
  EntryFixture Fixture;
  const auto NoQueue =
      Fixture.sendRequest(0, ReadQueue{{"portal.example", "/other/x"}});
  const auto NoJob =
      Fixture.sendRequest(0, ReadQueue{{"portal.example", "/jobs/x"}});
  Fixture.advance(Millis{200});
  BOOST_TEST((std::get<ErrorReply>(*Fixture.replyOf(NoQueue)).Kind_ ==
              ErrorKind::UnknownQueue));
  BOOST_TEST((std::get<ErrorReply>(*Fixture.replyOf(NoJob)).Kind_ ==
              ErrorKind::UnknownJob));
}

BOOST_AUTO_TEST_CASE(ATaskThatCrashesEachWorkerIsGivenUp) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  for (Incarnation Worker = 1; Fixture.isBoundTo("a", Worker);) {
    BOOST_REQUIRE(Worker <= 3U);
    Fixture.report("a", TaskPhase::Running);
    Fixture.leave();
    Fixture.advance(Millis{3000});
    Fixture.connectAgent(++Worker);
    Fixture.advance(Millis{2000});
  }
  BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Failed));
}

BOOST_AUTO_TEST_CASE(AnInnocentTaskOnCrashingWorkersGoesOn) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "long");
  Fixture.advance(Millis{1000});
  Fixture.report("long", TaskPhase::Running);
  Fixture.advance(Millis{3000});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  Incarnation Worker = 1;
  while (Fixture.isBoundTo("a", Worker)) {
    BOOST_REQUIRE(Worker <= 3U);
    BOOST_TEST(Fixture.isBoundTo("long", Worker));
    Fixture.report("long", TaskPhase::Running);
    Fixture.report("a", TaskPhase::Running);
    Fixture.leave();
    Fixture.advance(Millis{3000});
    Fixture.connectAgent(++Worker);
    Fixture.advance(Millis{2000});
  }
  BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Failed));
  BOOST_TEST(Fixture.isBoundTo("long", Worker));
}

BOOST_AUTO_TEST_CASE(NothingElseStartsBesideATrial) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  Fixture.report("a", TaskPhase::Running);
  Fixture.leave();
  Fixture.connectAgent(2);
  Fixture.advance(Millis{1200});
  BOOST_REQUIRE(Fixture.isBoundTo("a", 2));
  Fixture.submit(0, "b");
  Fixture.advance(Millis{400});
  BOOST_TEST(!Fixture.isBoundTo("b", 2));
  Fixture.report("a", TaskPhase::Running);
  Fixture.advance(Millis{700});
  BOOST_TEST(Fixture.isBoundTo("b", 2));
}

BOOST_AUTO_TEST_CASE(CrashesAreCountedAcrossATakeover) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  Incarnation Worker = 1;
  while (Fixture.isBoundTo("a", Worker)) {
    BOOST_REQUIRE(Worker <= 5U);
    Fixture.report("a", TaskPhase::Running);
    Fixture.leave();
    const auto OldOwner = Fixture.owner();
    Fixture.killEntry(OldOwner);
    Fixture.advance(Millis{5000});
    Fixture.startEntry(OldOwner);
    Fixture.connectAgent(++Worker);
    Fixture.advance(Millis{3000});
  }
  BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Failed));
}

BOOST_AUTO_TEST_CASE(AWorkerThatWasOnlySilentHasNotCrashed) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  for (int Silences = 0; Silences < 8; ++Silences) {
    Fixture.advance(Millis{1500});
    BOOST_REQUIRE(Fixture.isBoundTo("a", 1));
    Fixture.report("a", TaskPhase::Running);
    Fixture.report("a", TaskPhase::Stopped, ErrorKind::WorkerGone);
  }
  Fixture.advance(Millis{1500});
  BOOST_TEST(Fixture.taskStatus("a")->CrashBlame_ == 0U);
  // A later crash doesn't turn the silences before it into crashes.
  Fixture.leave();
  Fixture.connectAgent(2);
  Fixture.advance(Millis{2000});
  BOOST_TEST(Fixture.isBoundTo("a", 2));
}

BOOST_AUTO_TEST_CASE(ACrashThatIsProvedAfterASilentLossCountsOnce) {
  EntryFixture Fixture;
  Fixture.connectAgent(1);
  Fixture.advance(Millis{1200});
  Fixture.submit(0, "a");
  Fixture.advance(Millis{1000});
  Fixture.report("a", TaskPhase::Running);
  Fixture.report("a", TaskPhase::Stopped, ErrorKind::WorkerGone);
  Fixture.leave();
  Fixture.advance(Millis{3000});
  BOOST_TEST(Fixture.taskStatus("a")->CrashBlame_ == 0U);
  Fixture.connectAgent(2);
  Fixture.advance(Millis{2000});
  BOOST_TEST(Fixture.isBoundTo("a", 2));
  BOOST_TEST(Fixture.taskStatus("a")->CrashBlame_ == Blame::Sole);
  Fixture.report("a", TaskPhase::Running);
  Fixture.report("a", TaskPhase::Stopped, ErrorKind::WorkerGone);
  Fixture.leave();
  Fixture.connectAgent(3);
  Fixture.advance(Millis{2000});
  BOOST_TEST((Fixture.taskStatus("a")->State_ == TaskState::Failed));
}

BOOST_AUTO_TEST_SUITE_END()
