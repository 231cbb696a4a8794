/// \file
/// Tests who owns a shard when entries stop, are cut off from the store, or
/// lose their workers, on a virtual clock over the fake store.

#include "core/EntryCore.h"
#include "test/fuzz/FakeStore.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace skylark;

namespace {

constexpr std::size_t EntryCount = 2;

auto nameOf(std::size_t Index) -> EntryId {
  return {"entry-" + std::to_string(Index)};
}

/// Two entries that reach each other, and one agent that each of them hears.
class EntryBench {
public:
  EntryBench() {
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      bear(Index);
    writeConfiguration();
    pass(Millis{4000});
  }

  /// Starts an entry; `Heard` tells whether it and the others reach each other.
  auto bear(std::size_t Index, bool Heard = true) -> void {
    EntryIdentity Identity;
    Identity.Entry_ = nameOf(Index);
    Identity.Incarnation_ = ++Incarnations_;
    Identity.Environment_ = {"test"};
    Identity.PeerAddress_ = nameOf(Index).Value_;
    Identity.ShardCount_ = 1;
    Identity.CapacityMilliCores_ = Strengths_[Index];
    Identity.Policy_ = policy();
    Entries_[Index] = std::make_unique<EntryCore>(Identity);
    StoreCut_[Index] = false;
    EntryOutbox Out;
    for (std::size_t Peer = 0; Peer < EntryCount; ++Peer)
      if (Peer != Index && Heard)
        Entries_[Index]->peerConnected(Now_, nameOf(Peer), Out);
    deliver(Index, std::move(Out));
    for (std::size_t Peer = 0; Peer < EntryCount; ++Peer)
      if (Peer != Index && Entries_[Peer] && Heard)
        with(Peer, [&](EntryCore &Core, EntryOutbox &Opened) {
          Core.peerConnected(Now_, nameOf(Index), Opened);
        });
  }

  auto kill(std::size_t Index) -> void {
    Entries_[Index].reset();
    for (std::size_t Peer = 0; Peer < EntryCount; ++Peer)
      if (Entries_[Peer])
        with(Peer, [&](EntryCore &Core, EntryOutbox &Out) {
          Core.peerDisconnected(Now_, nameOf(Index), Out);
        });
  }

  /// Lets time pass; the agent, if it lives, sends heartbeats to all.
  auto pass(Millis Length) -> void {
    constexpr Millis Tick{50};
    for (Millis Gone{0}; Gone < Length; Gone += Tick) {
      Now_ = Now_.after(Tick);
      for (std::size_t Index = 0; Index < EntryCount; ++Index)
        if (Entries_[Index])
          with(Index, [&](EntryCore &Core, EntryOutbox &Out) {
            Core.tick(Now_, Out);
          });
      if (Worker_ != 0 && ++Beats_ % 10 == 0)
        beat();
    }
  }

  /// The agent joins every entry with this worker beside it.
  auto join(Incarnation Worker) -> void {
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
      say(Index, Message);
  }
  auto leave() -> void {
    Worker_ = 0;
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      if (Entries_[Index])
        with(Index, [&](EntryCore &Core, EntryOutbox &Out) {
          Core.agentDisconnected(Now_, Session_, Out);
        });
  }

  auto ask(std::size_t Index, CallerRequest Request) -> CallerToken {
    const auto Token = ++Tokens_;
    with(Index, [&](EntryCore &Core, EntryOutbox &Out) {
      Core.callerAsked(Now_, Token, Request, Out);
    });
    return Token;
  }
  auto submit(std::size_t Index, const std::string &Job) -> CallerToken {
    SubmitToQueue Request;
    Request.Address_ = {"portal.example", "/jobs/" + Job};
    Request.Declaration_.Steps_.front().Resources_ = {1000, 1000, 0};
    return ask(Index, Request);
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
  auto task(const std::string &Job) const -> const TaskStatus * {
    const auto Index = owner();
    return Index == EntryCount
               ? nullptr
               : Entries_[Index]->shardState(0)->findTask({{Job}, 0});
  }
  template <typename Work> auto with(std::size_t Index, Work Do) -> void {
    EntryOutbox Out;
    Do(*Entries_[Index], Out);
    deliver(Index, std::move(Out));
  }

  std::array<std::unique_ptr<EntryCore>, EntryCount> Entries_;
  std::array<bool, EntryCount> StoreCut_{};
  std::array<std::uint32_t, EntryCount> Strengths_{1000, 1000};
  std::vector<BindTask> Binds_;
  /// The entries that the agent was last told of.
  std::vector<std::string> Known_;
  Moment Now_{TimePoint(Seconds{100}), WallTime(Seconds{1000})};

private:
  static auto policy() -> PolicySettings {
    PolicySettings Policy;
    Policy.RegistrationTtl_ = Millis{2000};
    Policy.TaskLease_ = Millis{5000};
    Policy.OutageHorizon_ = Millis{10000};
    Policy.FreshnessWindow_ = Millis{1500};
    return Policy;
  }

  auto writeConfiguration() -> void {
    Document Wanted;
    Wanted.Text_ = "test";
    Wanted.DataCentres_ = {{"hobart"}};
    Wanted.Policy_ = policy();
    QueueDeclaration Queue;
    Queue.Name_ = {"queue"};
    Queue.Host_ = "portal.example";
    Queue.PathPrefix_ = "/jobs/";
    Queue.Service_ = {"portal"};
    Wanted.Queues_ = {Queue};
    EnvironmentHead Head;
    Head.Revision_ = 1;
    Head.DocumentDigest_ = digestText(Wanted.Text_);
    Store_.apply(Micros{0},
                 WriteValue{documentKey(Head.DocumentDigest_), Wanted});
    Store_.apply(Micros{0}, WriteValue{headKey({"test"}), Head});
  }

  auto say(std::size_t Index, const AgentMessage &Message) -> void {
    if (Entries_[Index])
      with(Index, [&](EntryCore &Core, EntryOutbox &Out) {
        Core.agentSent(Now_, Session_, Message, Out);
      });
  }
  auto beat() -> void {
    Heartbeat Message;
    Message.Sequence_ = static_cast<std::uint64_t>(Beats_);
    Message.Revision_ = 1;
    Message.Load_.Free_ = {4000, 8000, 0};
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      say(Index, Message);
  }

  auto deliver(std::size_t From, EntryOutbox Out) -> void {
    for (auto &Each : Out)
      std::visit([&](auto &One) { this->carryOut(From, One); }, Each);
  }
  auto carryOut(std::size_t From, const CallStore &Call) -> void {
    StoreResult Result;
    if (!StoreCut_[From])
      Result = Store_.apply(
          std::chrono::duration_cast<Micros>(Now_.Steady_.time_since_epoch()),
          Call.Operation_);
    Result.Call_ = Call.Call_;
    with(From, [&](EntryCore &Core, EntryOutbox &Out) {
      Core.storeAnswered(Now_, Result, Out);
    });
  }
  auto carryOut(std::size_t From, const SendToPeer &Send) -> void {
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      if (nameOf(Index) == Send.Entry_ && Entries_[Index])
        with(Index, [&](EntryCore &Core, EntryOutbox &Out) {
          Core.peerSent(Now_, nameOf(From), Send.Message_, Out);
        });
  }
  auto carryOut(std::size_t From, const SendToAgent &Send) -> void {
    if (Send.Session_ != Session_ || Worker_ == 0)
      return;
    if (const auto *Bind = std::get_if<BindTask>(&Send.Message_))
      Binds_.push_back(*Bind);
    if (const auto *Known = std::get_if<KnownEntries>(&Send.Message_))
      Known_ = Known->Addresses_;
    if (const auto *Claim = std::get_if<ClaimOwnership>(&Send.Message_))
      say(From, ConfirmOwnership{Claim->Shard_, Claim->Epoch_, Worker_, {}});
  }
  auto carryOut(std::size_t /*From*/, const AnswerCaller &Answer) -> void {
    Replies_[Answer.Token_] = Answer.Reply_;
  }
  template <typename Other>
  auto carryOut(std::size_t /*From*/, const Other & /*Each*/) -> void {}

  Fuzz::FakeStore Store_;
  std::map<CallerToken, CallerReply> Replies_;
  CallerToken Tokens_ = 0;
  Incarnation Incarnations_ = 0;
  Incarnation Worker_ = 0;
  SessionNumber Session_ = 0;
  int Beats_ = 0;
};

auto isJobState(const CallerReply *Reply) -> bool {
  return Reply != nullptr && std::holds_alternative<JobStateReply>(*Reply);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Ownership)

BOOST_AUTO_TEST_CASE(OneEntryOwnsAndBothAnswer) {
  EntryBench Bench;
  BOOST_REQUIRE(Bench.owner() < EntryCount);
  const auto First = Bench.submit(0, "a");
  const auto Second = Bench.submit(1, "b");
  Bench.pass(Millis{200});
  BOOST_TEST(isJobState(Bench.replyOf(First)));
  BOOST_TEST(isJobState(Bench.replyOf(Second)));
}

BOOST_AUTO_TEST_CASE(AStoppingOwnersShardIsTakenWithinASecond) {
  EntryBench Bench;
  const auto Old = Bench.owner();
  Bench.with(Old, [&](EntryCore &Core, EntryOutbox &Out) {
    Core.leave(Bench.Now_, Out);
  });
  Bench.pass(Millis{1000});
  BOOST_TEST(Bench.owner() == 1 - Old);
}

BOOST_AUTO_TEST_CASE(AStoppingOwnerStillAnswersThroughItsSuccessor) {
  EntryBench Bench;
  const auto Old = Bench.owner();
  Bench.with(Old, [&](EntryCore &Core, EntryOutbox &Out) {
    Core.leave(Bench.Now_, Out);
  });
  const auto Token = Bench.submit(Old, "a");
  Bench.pass(Millis{1500});
  BOOST_TEST(isJobState(Bench.replyOf(Token)));
}

BOOST_AUTO_TEST_CASE(AnOwnerThatAloneLosesTheStoreGivesUp) {
  EntryBench Bench;
  const auto Old = Bench.owner();
  Bench.StoreCut_[Old] = true;
  const auto Token = Bench.submit(Old, "a");
  Bench.pass(Millis{2600});
  BOOST_TEST(Bench.owner() == 1 - Old);
  BOOST_TEST(isJobState(Bench.replyOf(Token)));
}

BOOST_AUTO_TEST_CASE(AShardThatWasGivenUpIsTakenWithinHalfASecond) {
  // Whichever of the two the hash prefers.
  for (std::size_t First = 0; First < EntryCount; ++First) {
    EntryBench Bench;
    Bench.kill(1 - First);
    Bench.pass(Millis{6000});
    Bench.bear(1 - First);
    Bench.pass(Millis{2000});
    BOOST_REQUIRE(Bench.owner() == First);
    Bench.StoreCut_[First] = true;
    while (Bench.owner() == First)
      Bench.pass(Millis{50});
    Bench.pass(Millis{500});
    BOOST_TEST(Bench.owner() == 1 - First);
  }
}

BOOST_AUTO_TEST_CASE(ARenouncedShardStaysFreeWhenTheStoreIsBack) {
  EntryBench Bench;
  const auto Old = Bench.owner();
  Bench.StoreCut_[Old] = true;
  Bench.pass(Millis{1700});
  Bench.StoreCut_[Old] = false;
  Bench.pass(Millis{2000});
  BOOST_TEST(Bench.owner() < EntryCount);
}

BOOST_AUTO_TEST_CASE(NobodyGivesUpWhileTheStoreIsDownForAll) {
  EntryBench Bench;
  const auto Old = Bench.owner();
  Bench.StoreCut_.fill(true);
  Bench.pass(Millis{4000});
  BOOST_TEST(Bench.owner() == Old);
}

BOOST_AUTO_TEST_CASE(NobodyGivesUpWhenAnOutageOfAllEndsForOthersFirst) {
  EntryBench Bench;
  const auto Old = Bench.owner();
  Bench.StoreCut_.fill(true);
  Bench.pass(Millis{4000});
  Bench.StoreCut_[1 - Old] = false;
  Bench.pass(Millis{350});
  Bench.StoreCut_[Old] = false;
  Bench.pass(Millis{1000});
  BOOST_TEST(Bench.owner() == Old);
}

BOOST_AUTO_TEST_CASE(AnOwnerThatDiedInAnOutageIsReplacedAtItsEnd) {
  EntryBench Bench;
  const auto Old = Bench.owner();
  Bench.StoreCut_.fill(true);
  Bench.pass(Millis{3000});
  Bench.kill(Old);
  Bench.pass(Millis{1000});
  Bench.StoreCut_.fill(false);
  Bench.pass(Millis{1000});
  BOOST_TEST(Bench.owner() == 1 - Old);
}

BOOST_AUTO_TEST_CASE(AMuchStrongerEntryGetsTheShardOnceItIsSteady) {
  EntryBench Bench;
  const auto Old = Bench.owner();
  Bench.kill(1 - Old);
  Bench.Strengths_[1 - Old] = 4000;
  Bench.bear(1 - Old);
  Bench.pass(Millis{2000});
  BOOST_TEST(Bench.owner() == Old);
  Bench.pass(Millis{5000});
  BOOST_TEST(Bench.owner() == 1 - Old);
}

BOOST_AUTO_TEST_CASE(AWeakEntryLeavesTheShardToAStrongOneThatHasRegistered) {
  EntryBench Bench;
  Bench.kill(1);
  Bench.Strengths_[1] = 4000;
  Bench.bear(1);
  Bench.pass(Millis{8000});
  BOOST_REQUIRE(Bench.owner() == 1U);
  Bench.kill(0);
  Bench.kill(1);
  Bench.bear(0, false);
  Bench.bear(1, false);
  Bench.pass(Millis{800});
  BOOST_TEST(Bench.owner() == 1U);
}

BOOST_AUTO_TEST_CASE(AnEntryThatEndsAnswersWhoeverStillWaits) {
  EntryBench Bench;
  const auto Old = Bench.owner();
  Bench.kill(1 - Old);
  Bench.StoreCut_[Old] = true;
  Bench.with(Old, [&](EntryCore &Core, EntryOutbox &Out) {
    Core.leave(Bench.Now_, Out);
  });
  // The process ends ForcedStopMargin before it may be ended by force.
  Bench.pass(Millis{10400});
  const auto Token = Bench.submit(Old, "a");
  Bench.pass(Millis{300});
  BOOST_TEST(Bench.replyOf(Token) != nullptr);
}

BOOST_AUTO_TEST_CASE(ADeadOwnersShardIsTakenAfterItsLease) {
  EntryBench Bench;
  const auto Old = Bench.owner();
  Bench.kill(Old);
  Bench.pass(Millis{3500});
  BOOST_TEST(Bench.owner() == 1 - Old);
}

BOOST_AUTO_TEST_CASE(WorkOfAReplacedWorkerIsFreeAtOnce) {
  EntryBench Bench;
  Bench.join(1);
  Bench.pass(Millis{1200});
  Bench.submit(0, "a");
  Bench.pass(Millis{1000});
  BOOST_REQUIRE(Bench.task("a") != nullptr);
  BOOST_TEST(Bench.task("a")->Worker_ == 1U);
  // Everything loses power; the earlier owner's grants would last for long.
  const auto Old = Bench.owner();
  Bench.leave();
  Bench.kill(0);
  Bench.kill(1);
  Bench.bear(1 - Old);
  Bench.pass(Millis{4000});
  Bench.join(2);
  Bench.pass(Millis{2000});
  BOOST_REQUIRE(Bench.task("a") != nullptr);
  BOOST_TEST(Bench.task("a")->Worker_ == 2U);
  BOOST_TEST(Bench.task("a")->Attempt_ == 2U);
}

BOOST_AUTO_TEST_CASE(AgentsLearnOfAnEntryThatComesLater) {
  EntryBench Bench;
  Bench.kill(1);
  Bench.pass(Millis{4000});
  Bench.join(1);
  Bench.pass(Millis{500});
  BOOST_TEST(Bench.Known_.size() == 1U);
  Bench.bear(1);
  Bench.pass(Millis{2000});
  BOOST_TEST(Bench.Known_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ARepeatedSubmissionIsOneJob) {
  EntryBench Bench;
  Bench.submit(0, "a");
  Bench.pass(Millis{200});
  const auto Again = Bench.submit(1, "a");
  Bench.pass(Millis{200});
  BOOST_TEST(isJobState(Bench.replyOf(Again)));
  const auto Count = Bench.ask(0, ReadQueue{{"portal.example", "/jobs/"}});
  Bench.pass(Millis{200});
  const auto *Reply = Bench.replyOf(Count);
  BOOST_REQUIRE(Reply != nullptr);
  BOOST_TEST(std::get<UnstartedReply>(*Reply).Count_ == 1U);
}

BOOST_AUTO_TEST_CASE(UnknownPathsAndJobsAreToldApart) {
  EntryBench Bench;
  const auto NoQueue = Bench.ask(0, ReadQueue{{"portal.example", "/other/x"}});
  const auto NoJob = Bench.ask(0, ReadQueue{{"portal.example", "/jobs/x"}});
  Bench.pass(Millis{200});
  BOOST_TEST((std::get<ErrorReply>(*Bench.replyOf(NoQueue)).Kind_ ==
              ErrorKind::UnknownQueue));
  BOOST_TEST((std::get<ErrorReply>(*Bench.replyOf(NoJob)).Kind_ ==
              ErrorKind::UnknownJob));
}

BOOST_AUTO_TEST_SUITE_END()
