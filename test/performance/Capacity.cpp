/// \file
/// Measures the unit costs behind docs/CAPACITY.md: processor time and bytes
/// for each kind of message, at several numbers of targets and tasks.

#include "core/AgentCore.h"
#include "core/EndedJobs.h"
#include "core/EntryCore.h"
#include "wire/Cbor.h"

#include <malloc.h>

#include <cstdio>

using namespace skylark;

namespace {

constexpr int Iterations = 20000;

template <typename Function>
auto microsPerCall(int Count, Function Call) -> double {
  const auto StartedAt = std::chrono::steady_clock::now();
  for (int Index = 0; Index < Count; ++Index)
    Call(Index);
  const std::chrono::duration<double, std::micro> Elapsed =
      std::chrono::steady_clock::now() - StartedAt;
  return Elapsed.count() / Count;
}

auto heapBytes() -> std::size_t { return mallinfo2().uordblks; }

auto momentAt(int Index) -> Moment {
  return {TimePoint(Seconds{1000}) + Micros{Index},
          WallTime{Seconds{1800000000}}};
}

auto configuration() -> Configuration {
  Configuration Result;
  Result.Head_.Revision_ = 1;
  Result.Document_.DataCentres_ = {{"hobart"}};
  Result.Document_.Services_ = {{{"check"}, Millis{500}}};
  Result.Document_.Teams_ = {{{"red"}, {1LL << 40, 1LL << 40, 1LL << 40}}};
  Result.Document_.LargestWorker_ = {64000, 250000, 8};
  Result.Head_.DocumentDigest_ = digestText(Result.Document_.Text_);
  return Result;
}

auto makeHello(int Index) -> Hello {
  Hello Message;
  Message.Agent_ = {"agent-" + std::to_string(Index)};
  Message.Worker_ = 1;
  Message.DataCentre_ = {"hobart"};
  Message.Rack_ = "rack-" + std::to_string(Index / 3);
  Message.Capacity_ = {64000, 250000, 2};
  Message.Slots_ = 8;
  Message.Connections_ = 64;
  Message.Services_ = {{"check"}};
  return Message;
}

auto makeHeartbeat(int Sequence) -> Heartbeat {
  Heartbeat OneHeartbeat;
  OneHeartbeat.Sequence_ = static_cast<std::uint64_t>(Sequence);
  OneHeartbeat.Revision_ = 1;
  OneHeartbeat.Load_.Free_ = {64000, 250000, 2};
  OneHeartbeat.Load_.ServiceTime_ = Micros{5000};
  return OneHeartbeat;
}

auto measureTargets(int Targets) -> void {
  EntryIdentity Identity;
  Identity.Entry_ = {"entry-a"};
  Identity.Environment_ = {"production"};
  Identity.DataCentre_ = {"hobart"};
  const auto Before = heapBytes();
  EntryCore Core(Identity);
  EntryOutbox Out;
  for (int Index = 0; Index < Targets; ++Index)
    Core.agentSent(momentAt(0), static_cast<SessionNumber>(Index + 1),
                   makeHello(Index), Out);
  Core.agentSent(momentAt(0), 1, ConfigurationUpdate{configuration()}, Out);
  Out.clear();
  const auto Bytes = (heapBytes() - Before) / static_cast<std::size_t>(Targets);
  const auto OneHeartbeat = microsPerCall(Iterations, [&](int Index) {
    Out.clear();
    Core.agentSent(momentAt(Index),
                   static_cast<SessionNumber>(Index % Targets + 1),
                   makeHeartbeat(Index), Out);
  });
  QuickRequest Quick;
  Quick.Service_ = {"check"};
  Quick.Idempotent_ = true;
  Quick.Timeout_ = Millis{500};
  Quick.Body_ = std::string(300, 'x');
  const auto OneRequest = microsPerCall(Iterations, [&](int Index) {
    Out.clear();
    Core.callerAsked(momentAt(Index), static_cast<CallerToken>(Index + 1),
                     Quick, Out);
    for (const auto &Each : EntryOutbox(Out)) {
      const auto *Send = std::get_if<SendToAgent>(&Each);
      const auto *Dispatch =
          Send == nullptr ? nullptr
                          : std::get_if<DispatchRequest>(&Send->Message_);
      if (Dispatch == nullptr)
        continue;
      DispatchAnswer Answer;
      Answer.Sequence_ = Dispatch->Sequence_;
      Answer.Request_ = Dispatch->Request_;
      Answer.Status_ = 200;
      Answer.BodyDigest_ = digest64("");
      Core.agentSent(momentAt(Index), Send->Session_, Answer, Out);
    }
  });
  const auto OneTick = microsPerCall(200, [&](int Index) {
    Out.clear();
    Core.tick(momentAt(Iterations + Index), Out);
  });
  std::printf("targets %6d: %5zu B each, heartbeat %6.2f us, request %6.2f us, "
              "tick %8.1f us\n",
              Targets, Bytes, OneHeartbeat, OneRequest, OneTick);
}

auto measureCodec() -> void {
  Heartbeat OneHeartbeat = makeHeartbeat(100000);
  HeartbeatAck Ack;
  Ack.Sequence_ = 100000;
  Ack.Shards_ = {1, 2, 3, 4, 5, 6, 7, 8};
  BindTask Bind;
  Bind.Task_ = {{"j12-0123456789abcdef"}, 17};
  Bind.Resources_ = {2000, 4000, 0};
  Bind.Payload_ = "lodge-quarter";
  const auto HeartbeatBytes = encode(AgentMessage{OneHeartbeat});
  const auto AckBytes = encode(EntryMessage{Ack});
  const auto BindBytes = encode(EntryMessage{Bind});
  std::printf("bytes: heartbeat %zu, acknowledgement %zu, binding %zu\n",
              HeartbeatBytes.size(), AckBytes.size(), BindBytes.size());
  std::printf(
      "codec: heartbeat encode %.2f us, decode %.2f us; "
      "acknowledgement encode %.2f us, decode %.2f us\n",
      microsPerCall(Iterations,
                    [&](int) { encode(AgentMessage{OneHeartbeat}); }),
      microsPerCall(Iterations,
                    [&](int) { decodeAgentMessage(HeartbeatBytes); }),
      microsPerCall(Iterations, [&](int) { encode(EntryMessage{Ack}); }),
      microsPerCall(Iterations, [&](int) { decodeEntryMessage(AckBytes); }));
}

auto measureLedger(int Tasks) -> void {
  const auto Before = heapBytes();
  ShardState State;
  Job LargeJob;
  LargeJob.Id_ = {"j1-0123456789abcdef"};
  LargeJob.Declaration_.Team_ = {"red"};
  LargeJob.Declaration_.Steps_.front().TaskCount_ =
      static_cast<std::uint32_t>(Tasks);
  LargeJob.Tasks_.resize(static_cast<std::size_t>(Tasks));
  State.apply(LedgerRecord{JobAdded{LargeJob}});
  TaskChanged Change;
  Change.State_ = TaskState::Bound;
  Change.Attempt_ = 1;
  Change.Agent_ = {"hobart-1"};
  Change.DataCentre_ = {"hobart"};
  const auto OneApply = microsPerCall(Tasks, [&](int Index) {
    Change.Task_ = {LargeJob.Id_, static_cast<std::uint32_t>(Index)};
    State.apply(LedgerRecord{Change});
  });
  const auto Bytes = (heapBytes() - Before) / static_cast<std::size_t>(Tasks);
  ShardSegment Segment;
  for (int Index = 0; Index < std::min(Tasks, 400); ++Index) {
    Change.Task_.Index_ = static_cast<std::uint32_t>(Index);
    Segment.Records_.emplace_back(Change);
  }
  const auto Count = Segment.Records_.size();
  const auto RecordBytes = encode(StoreValue{Segment}).size() / Count;
  const auto OneEncode =
      microsPerCall(100, [&](int) { encode(StoreValue{Segment}); });
  std::printf("tasks %7d: %4zu B each in memory, %3zu B a record in the store, "
              "apply %5.2f us, encode a commit of %zu records %7.1f us\n",
              Tasks, Bytes, RecordBytes, OneApply, Count, OneEncode);
}

/// Adds a job whose tasks have all been bound and have finished.
auto addEndedJob(ShardState &State, int Number, std::uint32_t Tasks) -> void {
  Job Ended;
  Ended.Id_ = {"c3590faf" + std::to_string(10000000 + Number)};
  Ended.Declaration_.Queue_ = {"r-4bf5f9c"};
  Ended.Declaration_.Steps_.front().TaskCount_ = Tasks;
  Ended.Declaration_.Steps_.front().Image_ = "image-7f3a";
  Ended.Tasks_.resize(Tasks);
  const auto Id = Ended.Id_;
  State.apply(LedgerRecord{JobAdded{std::move(Ended)}});
  for (const auto Phase : {TaskState::Bound, TaskState::Finished})
    for (std::uint32_t Index = 0; Index < Tasks; ++Index) {
      TaskChanged Change;
      Change.Task_ = {Id, Index};
      Change.State_ = Phase;
      Change.Attempt_ = 1;
      Change.Agent_ = {"worker-alpha-12"};
      Change.DataCentre_ = {"delta-north"};
      Change.Worker_ = 1800000000000000;
      Change.At_ = WallTime{Seconds{1800000000}};
      Change.Started_ = true;
      State.apply(LedgerRecord{Change});
    }
}

/// Measures what ended jobs cost an owner, and the next one.
auto measureEndedJobs(int Jobs) -> void {
  constexpr std::uint32_t TasksPerJob = 20;
  constexpr std::size_t SegmentSize = std::size_t{256} * 1024;
  constexpr std::size_t JobsPerSegment = 100;
  const auto Before = heapBytes();
  ShardState State;
  EndedJobs Ended;
  for (int Number = 0; Number < Jobs; ++Number)
    addEndedJob(State, Number, TasksPerJob);
  for (const auto &[Id, Each] : State.jobs())
    Ended.add(momentAt(0).Steady_, Id, Each.Tasks_.size());
  const auto Bytes = heapBytes() - Before;
  std::vector<LedgerRecord> Records;
  const auto Snapshot = microsPerCall(
      1, [&](int /*Index*/) { Records = State.snapshot(SegmentSize); });
  std::vector<std::string> Segments;
  std::size_t Stored = 0;
  const auto Encode = microsPerCall(1, [&](int /*Index*/) {
    for (std::size_t First = 0; First < Records.size();
         First += JobsPerSegment) {
      ShardSegment Segment;
      const auto End = std::min(First + JobsPerSegment, Records.size());
      for (auto Position = First; Position < End; ++Position)
        Segment.Records_.push_back(Records[Position]);
      Segments.push_back(encode(StoreValue{Segment}));
      Stored += Segments.back().size();
    }
  });
  ShardState Loaded;
  const auto Load = microsPerCall(1, [&](int /*Index*/) {
    for (const auto &Each : Segments) {
      const auto Value = decodeStoreValue(Each);
      for (const auto &Record : std::get<ShardSegment>(*Value).Records_)
        Loaded.apply(Record);
    }
  });
  constexpr double Million = 1e6;
  constexpr double Thousand = 1e3;
  std::printf("%6d ended jobs of %u tasks: memory %7.1f MB, snapshot %6.1f MB, "
              "made in %7.1f ms, encoded in %8.1f ms, loaded in %8.1f ms\n",
              Jobs, TasksPerJob, static_cast<double>(Bytes) / Million,
              static_cast<double>(Stored) / Million, Snapshot / Thousand,
              Encode / Thousand, Load / Thousand);
}

auto measureAgent(int Tasks) -> void {
  AgentIdentity Identity;
  Identity.Agent_ = {"agent"};
  Identity.Capacity_ = {1LL << 40, 1LL << 40, 0};
  AgentCore Core(Identity);
  AgentOutbox Out;
  WorkerInventory Inventory;
  Inventory.Worker_ = 1;
  for (int Index = 0; Index < Tasks; ++Index) {
    WorkerTask Task;
    Task.Bind_.Task_ = {{"j1-0123456789abcdef"},
                        static_cast<std::uint32_t>(Index)};
    Task.Bind_.Attempt_ = 1;
    Task.Bind_.Resources_ = {100, 100, 0};
    Inventory.Tasks_.push_back(Task);
  }
  Core.openSession(momentAt(0), 1, Out);
  Core.inventoryReceived(momentAt(0), Inventory, Out);
  const auto OneTick = microsPerCall(2000, [&](int Index) {
    Out.clear();
    Core.tick(momentAt(Index * 50000), Out);
  });
  const auto OneInventory = microsPerCall(2000, [&](int Index) {
    Out.clear();
    Inventory.Clock_ = Micros{Index + 1};
    Core.inventoryReceived(momentAt(Index * 50000), Inventory, Out);
  });
  std::printf(
      "agent with %4d tasks: tick %6.2f us, worker's inventory %6.2f us\n",
      Tasks, OneTick, OneInventory);
}

} // namespace

auto main() -> int {
  for (const int Targets : {11, 110, 1100, 14000})
    measureTargets(Targets);
  measureCodec();
  for (const int Tasks : {100, 1000, 10000, 20000})
    measureLedger(Tasks);
  for (const int Jobs : {1000, 10000, 50000})
    measureEndedJobs(Jobs);
  for (const int Tasks : {5, 20, 80})
    measureAgent(Tasks);
  return 0;
}
