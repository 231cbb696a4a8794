/// \file
/// Defines a randomised run of the real decisions: entries, agents, a fake
/// store and fake workers on a virtual clock, under a plan of faults.
#pragma once

#include "core/AgentCore.h"
#include "core/EntryCore.h"
#include "test/fuzz/Checker.h"
#include "test/fuzz/FakeStore.h"
#include "test/fuzz/FakeWorker.h"

#include <array>
#include <functional>
#include <memory>

namespace skylark::Fuzz {

enum class FaultKind : std::uint8_t {
  KillEntry,
  FreezeEntry,
  LeaveEntry,
  KillAgent,
  FreezeAgent,
  LeaveAgent,
  KillInstance,
  SilenceToEntry,
  SilenceToAgent,
  CutAgentFromEntry,
  CutEntries,
  StoreDown,
  StoreSlow,
  StoreCutOne,
  StoreLosesAnswers,
  StoreWritesLate,
  Reorder,
  Duplicate,
  DamageAnswers,
  FailingWorker,
  TakeOut,
  BringBack,
  ApplyDocument,
  CancelJobs,
  Count
};

auto faultName(FaultKind Kind) -> std::string;

/// One fault: what, when, on whom, and for how long.
struct Fault {
  FaultKind Kind_ = FaultKind::KillEntry;
  std::uint32_t AtMs_ = 0;
  std::uint32_t LengthMs_ = 0;
  std::uint32_t Who_ = 0;
};

auto operator<<(std::ostream &Out, const Fault &Each) -> std::ostream &;

struct WorldPlan {
  std::uint64_t Seed_ = 1;
  std::vector<Fault> Faults_;
  int Entries_ = 3;
  int Agents_ = 6;
  /// Time in which work arrives and faults strike.
  Millis Busy_{40000};
  /// Time to come to rest after the last fault has ended.
  Millis Quiet_{60000};
};

/// What a run covered.
struct Coverage {
  std::array<std::uint64_t, static_cast<std::size_t>(FaultKind::Count)>
      Struck_{};
  std::uint64_t Messages_ = 0;
  std::uint64_t StoreCalls_ = 0;
  std::uint64_t Starts_ = 0;
  std::uint64_t Replies_ = 0;
};

class World {
public:
  explicit World(WorldPlan Plan);
  ~World();

  /// Runs to the end; returns what broke, empty for a good run.
  auto run() -> std::vector<std::string>;
  auto coverage() const -> const Coverage & { return Coverage_; }

private:
  struct EntryNode;
  struct AgentNode;
  struct Connection;

  auto at(TrueTime When, std::function<void()> Work) -> void;
  auto after(Millis Delay, std::function<void()> Work) -> void;
  auto delay() -> Micros;
  auto chance(double Share) -> bool;
  auto pick(std::size_t Size) -> std::size_t;

  // Nodes.
  auto bornEntry(std::size_t Index) -> void;
  auto bornAgent(std::size_t Index) -> void;
  auto bornInstance(std::size_t Index) -> void;
  auto killEntry(std::size_t Index) -> void;
  auto killAgent(std::size_t Index) -> void;
  auto momentOf(double Rate) const -> Moment;
  auto toEntry(std::size_t Index,
               std::function<void(EntryCore &, Moment, EntryOutbox &)> Work)
      -> void;
  auto toAgent(std::size_t Index,
               std::function<void(AgentCore &, Moment, AgentOutbox &)> Work)
      -> void;
  auto tickEntry(std::size_t Index, std::uint64_t Life) -> void;
  auto tickAgent(std::size_t Index, std::uint64_t Life) -> void;
  auto thawEntry(std::size_t Index) -> void;
  auto thawAgent(std::size_t Index) -> void;

  // Connections.
  auto connect(std::size_t Agent, std::size_t Entry) -> void;
  auto dropByAgent(const std::shared_ptr<Connection> &Each) -> void;
  auto dropByEntry(const std::shared_ptr<Connection> &Each) -> void;
  auto cut(std::size_t Agent, std::size_t Entry) const -> bool;
  auto sendTimes(TrueTime &Last) -> std::vector<TrueTime>;

  // What the decisions ask for.
  auto deliver(std::size_t Entry, const EntryOutbox &Out) -> void;
  auto deliver(std::size_t Agent, const AgentOutbox &Out) -> void;
  auto carryOut(std::size_t Entry, const SendToAgent &Send) -> void;
  auto carryOut(std::size_t Entry, const SendToPeer &Send) -> void;
  auto carryOut(std::size_t Entry, const AnswerCaller &Answer) -> void;
  auto carryOut(std::size_t Entry, const CallStore &Call) -> void;
  auto carryOut(std::size_t Entry, const CloseSession &Close) -> void;
  auto carryOut(std::size_t Entry, const ConnectPeers &Connect) -> void;
  auto carryOut(std::size_t Entry, const LogDecision &Decision) -> void;
  auto carryOut(std::size_t Entry, const ExitProcess &Exit) -> void;
  auto carryOutAgent(std::size_t Agent, const SendToEntry &Send) -> void;
  auto carryOutAgent(std::size_t Agent, const StartOnWorker &Start) -> void;
  auto carryOutAgent(std::size_t Agent, const StopOnWorker &Stop) -> void;
  auto carryOutAgent(std::size_t Agent, const ForgetOnWorker &Forget) -> void;
  auto carryOutAgent(std::size_t Agent, const PollWorker &Poll) -> void;
  auto carryOutAgent(std::size_t Agent, const CallTarget &Call) -> void;
  auto carryOutAgent(std::size_t Agent, const LogDecision &Decision) -> void;
  auto carryOutAgent(std::size_t Agent, const PaceOnWorker &Pace) -> void;
  auto carryOutAgent(std::size_t Agent, const RestartAgent &Anew) -> void;
  auto carryOutAgent(std::size_t Agent, const ConnectEntries &Connect) -> void;
  auto carryOutAgent(std::size_t Agent, const ExitProcess &Exit) -> void;
  auto onWorker(std::size_t Agent, std::function<void(FakeWorker &)> Work)
      -> void;

  // Callers, operators and faults.
  auto ask(CallerRequest Request, const std::string &Body, bool Idempotent,
           std::function<void(const CallerReply &)> Then) -> void;
  auto callerStep() -> void;
  auto askQuick() -> void;
  auto askKeyed(const std::string &Key, const std::string &Body, int Left)
      -> void;
  auto askJob() -> void;
  auto cancelJob(const JobId &Id, int Left) -> void;
  auto strike(const Fault &Each) -> void;
  auto setOut(const DataCentreName &Name, bool Out) -> void;
  auto applyDocument(Revision Expected, int Left) -> void;
  auto bringAllBack(int Left) -> void;
  auto setFailing(std::size_t Agent, bool Value) -> void;
  auto settleFaults() -> void;
  auto describeRest(const Job &Each) const -> std::string;
  auto checkRest() -> void;

  WorldPlan Plan_;
  Random Generator_;
  Checker Checker_;
  FakeStore Store_;
  Coverage Coverage_;
  TrueTime Now_{0};
  std::uint64_t NextEvent_ = 0;
  std::map<std::pair<TrueTime, std::uint64_t>, std::function<void()>> Events_;
  std::vector<std::unique_ptr<EntryNode>> Entries_;
  std::vector<std::unique_ptr<AgentNode>> Agents_;
  std::vector<std::shared_ptr<Connection>> Connections_;
  std::map<std::pair<std::size_t, std::size_t>, TrueTime> CutUntil_;
  std::map<std::pair<std::size_t, std::size_t>, TrueTime> PeersCutUntil_;
  std::map<std::size_t, TrueTime> StoreCutUntil_;
  std::map<FaultKind, TrueTime> ActiveUntil_;
  std::map<CallerToken, std::function<void(const CallerReply &)>> Waiting_;

  CallerToken NextToken_ = 0;
  SessionNumber NextSession_ = 0;
  Incarnation NextIncarnation_ = 1;
  int NextBody_ = 0;
  std::vector<JobId> Jobs_;
  std::map<std::string, int> DataCentreOrders_;
  /// Orders to bring a data centre back whose outcome is open.
  std::map<std::string, int> OpenReturns_;
  /// The newest revision that brought a data centre back.
  std::map<std::string, Revision> ReturnedBy_;
  bool Busy_ = true;
};

/// The document of the randomised runs.
auto fuzzDocument(int Version) -> Document;

} // namespace skylark::Fuzz
