/// \file
/// Defines a deterministic simulation of entries and agents, with a fake store
/// and fake workers, on a virtual clock and under injected faults.
#pragma once

#include "core/AgentCore.h"
#include "core/EntryCore.h"
#include "test/fuzz/AcceptedJobs.h"
#include "test/fuzz/Checker.h"
#include "test/fuzz/ConfigurationLag.h"
#include "test/fuzz/FakeStore.h"
#include "test/fuzz/FakeWorker.h"
#include "test/fuzz/UnequalServices.h"
#include "test/fuzz/WallClocks.h"

#include <array>
#include <functional>
#include <memory>

namespace skylark::Fuzz {

/// Faults to inject, and operators' changes that are made at random times.
enum class FaultKind : std::uint8_t {
  /// A process is killed, and started again at the end of the fault.
  KillEntry,
  /// A process is paused; it handles its inputs at the end of the fault.
  FreezeEntry,
  /// A process shuts down gracefully, and is started again.
  LeaveEntry,
  KillAgent,
  FreezeAgent,
  LeaveAgent,
  /// A worker's instance is lost with its agent, and replaced at the end of the
  /// fault.
  KillInstance,
  /// A connection loses all messages in one direction until it is replaced,
  /// without being closed.
  SilenceToEntry,
  SilenceToAgent,
  /// An agent and an entry can't reach each other.
  CutAgentFromEntry,
  /// Messages between two entries are lost.
  CutEntries,
  /// No entry can reach the store.
  StoreDown,
  StoreSlow,
  /// One entry can't reach the store.
  StoreCutFromEntry,
  /// Store calls take effect, but some of the answers are lost.
  StoreLosesAnswers,
  /// Some store calls take effect only after the entry's time-out.
  StoreWritesLate,
  /// Some messages between agents and entries arrive out of order, and some
  /// calls to workers arrive late.
  Reorder,
  /// Some messages between agents and entries arrive twice.
  Duplicate,
  /// Some answers of targets are truncated between agent and entry.
  DamageAnswers,
  /// All tasks on one worker fail.
  FailingWorker,
  /// An operator takes a data centre out of service.
  TakeOutDataCentre,
  /// An operator puts a data centre back into service.
  BringBackDataCentre,
  /// Two operators replace the document at the same time.
  ApplyDocument,
  /// Callers cancel every second job.
  CancelJobs,
  /// Operators change the configuration many times a second, while callers
  /// submit urgent jobs.
  ChangeSeries,
  /// Workers refuse some orders, which then have no effect.
  WorkersRefuse,
  /// Some connections to workers break before an order is answered, and the
  /// HTTP client sends it again on a new one. Each copy may be carried out.
  WorkersBreakConnections,
  /// Some connections to the store break before a call is answered, and the
  /// HTTP client sends it again on a new one. Each copy is carried out, the
  /// first one possibly after the second was answered.
  StoreResends,
  /// The wall clock of an entry leaps by more than a day, and back at the end
  /// of the fault.
  WallClockLeap,
  /// An entry is killed, and its wall clock is wrong by more than a day when it
  /// starts again.
  WallClockAtStart,
  Count
};

/// The name of a fault kind in reports.
auto faultName(FaultKind Kind) -> std::string;

/// Whether faults of this kind are injected only if they are asked for, so that
/// the runs with all kinds stay the same.
auto isInjectedByNameOnly(FaultKind Kind) -> bool;

/// One fault to inject.
struct Fault {
  FaultKind Kind_ = FaultKind::KillEntry;
  std::uint32_t StartMs_ = 0;
  std::uint32_t DurationMs_ = 0;
  /// Selects the entry, agent or data centre that is hit: this value modulo
  /// their number.
  std::uint32_t Selector_ = 0;
};

auto operator<<(std::ostream &Out, const Fault &Each) -> std::ostream &;

/// The parameters of one run; equal parameters give equal runs.
struct SimulationConfig {
  std::uint64_t Seed_ = 1;
  std::vector<Fault> Faults_;
  int Entries_ = 3;
  int Agents_ = 6;
  /// Time in which faults start and callers send new work, which they continue
  /// until the last fault has ended.
  Millis Busy_{40000};
  /// Time without new work and faults at the end of the run, in which all
  /// batch work must complete.
  Millis Quiet_{60000};
  /// As on the users' platform: workers list only the ids of their attempts,
  /// answers to start commands may be lost, there is one shard, and agents
  /// hold no whole configuration that they could send to entries.
  bool MinimalWorkers_ = false;
  /// Whether a job for a service without workers comes before each urgent job.
  bool HopelessJobs_ = false;
  /// Whether jobs are of two services, of which the smaller one loses all its
  /// workers in the middle of the run.
  bool LostService_ = false;
  /// Whether workers announce capacities that shrink and grow while they run.
  bool ChangingCapacity_ = false;
  /// Whether some tasks crash each worker that starts them.
  bool CrashingTasks_ = false;
  /// Whether callers submit jobs under ids of their own and cancel them before,
  /// beside or after the submission, which may be repeated seconds later.
  bool PromptCancellations_ = false;
  /// How many stops of each attempt are lost, on the way to its agent and again
  /// on the way to its worker.
  int LostStops_ = 0;
  /// Whether to print the decisions that the processes log.
  bool Trace_ = false;
};

/// How often each fault was injected in a run, and how much work was done.
struct Coverage {
  std::array<std::uint64_t, static_cast<std::size_t>(FaultKind::Count)>
      FaultCounts_{};
  std::uint64_t Messages_ = 0;
  std::uint64_t StoreCalls_ = 0;
  std::uint64_t TaskStarts_ = 0;
  std::uint64_t Replies_ = 0;
};

/// One run of the simulation.
class Simulation {
public:
  explicit Simulation(SimulationConfig Config);
  ~Simulation();

  /// Runs to the end or to the first violation. Returns the violations; none if
  /// the run passed.
  auto run() -> std::vector<std::string>;
  auto coverage() const -> const Coverage & { return Coverage_; }

private:
  struct EntryNode;
  struct AgentNode;
  struct Connection;

  // Virtual time and randomness.

  auto scheduleAt(TrueTime When, std::function<void()> Action) -> void;
  auto scheduleAfter(Millis Delay, std::function<void()> Action) -> void;
  /// The delay of one message or call.
  auto randomDelay() -> Micros;
  /// Returns true with the given probability.
  auto chance(double Probability) -> bool;
  /// A random number from 0 to `Limit` - 1.
  auto randomBelow(std::size_t Limit) -> std::size_t;

  // Processes.

  auto startEntry(std::size_t Index) -> void;
  auto startAgent(std::size_t Index) -> void;
  /// Starts a new instance: a worker and its agent.
  auto startInstance(std::size_t Index) -> void;
  /// The capacity that the worker has now.
  auto capacityOf(std::size_t Index) const -> Resources;
  /// The capacity that the worker states now. A larger one than before may be
  /// used at once.
  auto describeWorker(std::size_t Index) -> Resources;
  /// Sends the worker's announcement to its agent, and schedules the next one.
  auto announceWorker(std::size_t Index) -> void;
  /// The worker crashes and is replaced some seconds later; its agent lives on
  /// until then.
  auto crashWorker(std::size_t Index) -> void;
  /// Ends a worker and its agent.
  auto killInstance(std::size_t Index) -> void;
  /// Ends the workers of the smaller service for good.
  auto loseSmallerService() -> void;
  auto killEntry(std::size_t Index) -> void;
  auto killAgent(std::size_t Index) -> void;
  /// The present time on a clock that runs at `ClockRate` times the true rate.
  auto localTime(double ClockRate) const -> Moment;
  /// Runs a command on an entry's state machine and executes its outputs;
  /// defers the command while the entry is frozen.
  auto callEntry(std::size_t Index,
                 std::function<void(EntryCore &, Moment, EntryOutbox &)> Action)
      -> void;
  /// Like callEntry(), for an agent.
  auto callAgent(std::size_t Index,
                 std::function<void(AgentCore &, Moment, AgentOutbox &)> Action)
      -> void;
  /// Ticks an entry periodically, until `Generation` is no longer its current
  /// one.
  auto tickEntry(std::size_t Index, std::uint64_t Generation) -> void;
  auto tickAgent(std::size_t Index, std::uint64_t Generation) -> void;
  /// Runs the commands that were deferred while the entry was frozen.
  auto thawEntry(std::size_t Index) -> void;
  auto thawAgent(std::size_t Index) -> void;

  // Connections between agents and entries.

  /// Opens a connection if there is none; retries while the entry can't be
  /// reached.
  auto connect(std::size_t Agent, std::size_t Entry) -> void;
  /// Closes a connection at the agent's end; the entry learns of it later, if
  /// its messages still arrive.
  auto closeFromAgent(const std::shared_ptr<Connection> &Each) -> void;
  /// Closes a connection at the entry's end; the agent learns of it later, if
  /// its messages still arrive.
  auto closeFromEntry(const std::shared_ptr<Connection> &Each) -> void;
  /// Whether an agent and an entry can't reach each other.
  auto isCut(std::size_t Agent, std::size_t Entry) const -> bool;
  /// When a message sent now arrives: once, or twice if it is duplicated.
  /// Messages arrive in order unless Reorder is active.
  /// \param LastDelivery latest arrival in this direction; updated.
  auto deliveryTimes(TrueTime &LastDelivery) -> std::vector<TrueTime>;

  // Outputs of the state machines.

  auto executeOutputs(std::size_t Entry, const EntryOutbox &Out) -> void;
  auto executeOutputs(std::size_t Agent, const AgentOutbox &Out) -> void;
  auto execute(std::size_t Entry, const SendToAgent &Send) -> void;
  auto execute(std::size_t Entry, const SendToPeer &Send) -> void;
  auto execute(std::size_t Entry, const AnswerCaller &Answer) -> void;
  auto execute(std::size_t Entry, const CallStore &Call) -> void;
  auto execute(std::size_t Entry, const CloseSession &Close) -> void;
  auto execute(std::size_t Entry, const ConnectPeers &Connect) -> void;
  auto execute(std::size_t Entry, const LogDecision &Decision) -> void;
  auto execute(std::size_t Entry, const ExitProcess &Exit) -> void;
  auto executeForAgent(std::size_t Agent, const SendToEntry &Send) -> void;
  auto executeForAgent(std::size_t Agent, const StartOnWorker &Start) -> void;
  auto executeForAgent(std::size_t Agent, const StopOnWorker &Stop) -> void;
  auto executeForAgent(std::size_t Agent, const ForgetOnWorker &Forget) -> void;
  auto executeForAgent(std::size_t Agent, const PollWorker &Poll) -> void;
  auto executeForAgent(std::size_t Agent, const CallTarget &Call) -> void;
  auto executeForAgent(std::size_t Agent, const LogDecision &Decision) -> void;
  auto executeForAgent(std::size_t Agent, const PaceOnWorker &Pace) -> void;
  auto executeForAgent(std::size_t Agent, const RestartAgent &Restart) -> void;
  auto executeForAgent(std::size_t Agent, const ConnectEntries &Connect)
      -> void;
  auto executeForAgent(std::size_t Agent, const ExitProcess &Exit) -> void;
  /// Runs an action on an agent's worker after the delay of a call.
  auto callWorker(std::size_t Agent, std::function<void(FakeWorker &)> Action)
      -> void;
  /// Sends an order to an agent's worker, in one copy or several.
  /// \param Order carries one copy out.
  /// \param Answered gets the outcome of the copy that is answered, if any is;
  ///   may be empty.
  /// \param Copies how many copies are sent at most.
  auto sendOrder(std::size_t Agent,
                 const std::function<StartOutcome(FakeWorker &)> &Order,
                 const std::function<void(StartOutcome)> &Answered, int Copies)
      -> void;
  /// The token of the agent's next command.
  auto tokenOf(std::size_t Agent) const -> CommandToken;

  // Callers, operators and faults.

  /// Sends a request to a random running entry; does nothing if there is none.
  /// \param Body identifies the request to the checker; empty if the checker
  ///   does not follow it.
  auto sendRequest(CallerRequest Request, const std::string &Body,
                   bool Idempotent,
                   std::function<void(const CallerReply &)> Then) -> void;
  /// Sends new work at random intervals, until the quiet period.
  auto generateLoad() -> void;
  auto sendQuickRequest() -> void;
  /// Sends a request with an idempotency key, and may repeat it after the
  /// answer.
  auto sendKeyedRequest(const std::string &Key, const std::string &Body,
                        int RetriesLeft) -> void;
  auto submitJob() -> void;
  /// Submits a small urgent job, whose start the checker awaits.
  auto submitUrgentJob() -> void;
  /// Submits a job that comes before the urgent ones and finds no worker.
  auto submitHopelessJob() -> void;
  /// Cancels a job; repeats the request after an error.
  auto cancelJob(const JobId &Id, int RetriesLeft) -> void;
  /// Submits and cancels jobs under callers' ids, until the quiet period.
  auto generatePromptCancellations() -> void;
  /// Submits a job to a queue; repeats the request while its outcome is not
  /// known.
  auto submitToQueue(const SubmitToQueue &Submission, int RetriesLeft) -> void;
  /// Cancels a job of a queue; repeats the request until it is answered.
  auto cancelInQueue(const JobId &Id, int RetriesLeft) -> void;
  auto injectFault(const Fault &Each) -> void;
  /// Takes a data centre out of service or puts it back, and reports to the
  /// checker what the operator was told.
  auto setDataCentreOut(const DataCentreName &Name, bool Out) -> void;
  /// Replaces the document; after an error reads its revision and tries again.
  auto applyDocument(Revision ExpectedRevision, int RetriesLeft) -> void;
  /// Changes the configuration, and again and again until `Until`.
  /// \param Selector selects what is changed, and in which data centre.
  /// \param Step number of changes so far.
  auto continueChangeSeries(TrueTime Until, std::uint32_t Selector, int Step)
      -> void;
  /// The operators' document with this version.
  auto makeDocument(int Version) const -> Document;
  /// The head in the store; its revision is 0 if there is none.
  auto storedHead() -> EnvironmentHead;
  /// Writes a document into the store, and a head that names it.
  auto writeDocument() -> void;
  /// Takes a data centre out of service, or puts it back, by a write of the
  /// head in the store.
  auto writeDataCentreState(const DataCentreName &Name, bool Out) -> void;
  /// Tells the checker whether only the configuration may have changed lately,
  /// and whether there is room for an urgent job.
  auto observeCalm() -> void;
  /// Checks that no entry lags behind another one that could send it a newer
  /// configuration.
  auto observeConfigurations() -> void;
  /// Whether an entry runs and takes messages.
  auto isRunning(std::size_t Entry) const -> bool;
  /// Whether an entry has reached the store without faults for some time.
  auto readsStore(std::size_t Entry) -> bool;
  /// Whether two entries are connected and lose no messages, nor have lately.
  auto areLinked(std::size_t One, std::size_t Other) -> bool;
  /// Puts all data centres back into service and cancels all watchers, so that
  /// the remaining work can complete. Repeats this, since requests may fail.
  auto windDown(int RetriesLeft) -> void;
  /// Sets whether the tasks on an agent's worker fail.
  auto setFailing(std::size_t Agent, bool Value) -> void;
  /// Ends the load, puts all data centres back into service and stops making
  /// tasks fail.
  auto startQuietPeriod() -> void;
  auto describeTasks(const Job &Each) const -> std::string;
  /// Checks that all shards have an owner and that no batch work is left.
  auto checkFinalState() -> void;
  /// Checks that the owners know all jobs that were accepted.
  auto checkAcceptedJobs() -> void;

  /// Prints a line of the trace, if one was asked for.
  auto trace(const std::string &Process, const LogDecision &Decision) const
      -> void;
  auto shardCount() const -> ShardNumber {
    return Config_.MinimalWorkers_ ? 1 : 4;
  }

  SimulationConfig Config_;
  Random Generator_;
  Checker Checker_;
  FakeStore Store_;
  Coverage Coverage_;
  TrueTime Now_{0};
  std::uint64_t LastEvent_ = 0;
  /// Scheduled events; those of the same time run in the order of scheduling.
  std::map<std::pair<TrueTime, std::uint64_t>, std::function<void()>> Events_;
  std::vector<std::unique_ptr<EntryNode>> Entries_;
  std::vector<std::unique_ptr<AgentNode>> Agents_;
  std::vector<std::shared_ptr<Connection>> Connections_;
  /// Until when an agent and an entry can't reach each other.
  std::map<std::pair<std::size_t, std::size_t>, TrueTime> AgentCutUntil_;
  /// Until when messages between two entries are lost; lower index first.
  std::map<std::pair<std::size_t, std::size_t>, TrueTime> EntriesCutUntil_;
  std::map<std::size_t, TrueTime> StoreCutUntil_;
  /// Until when the faults that hit all processes are active.
  std::map<FaultKind, TrueTime> ActiveUntil_;
  std::map<CallerToken, std::function<void(const CallerReply &)>>
      PendingReplies_;

  CallerToken LastToken_ = 0;
  SessionNumber LastSession_ = 0;
  Incarnation LastIncarnation_ = 1;
  /// Makes request bodies, keys and documents unique.
  int LastNumber_ = 0;
  std::vector<JobId> Jobs_;
  /// Number of the operators' changes of a data centre so far.
  std::map<std::string, int> DataCentreChanges_;
  /// Number of requests to put a data centre back whose outcome is not known.
  std::map<std::string, int> PendingReturns_;
  /// The newest revision that put a data centre back into service.
  std::map<std::string, Revision> ReturnRevision_;
  /// Until when a fault, or the recovery from it, may delay starts and end
  /// leases.
  TrueTime DisturbedUntil_{0};
  ConfigurationLag ConfigurationLag_;
  WallClocks WallClocks_;
  AcceptedJobs AcceptedJobs_;
  UnequalServices Services_;
  /// When each data centre was last seen out of service.
  std::map<DataCentreName, TrueTime> LastOutAt_;
  /// Number of stops of each attempt that were lost.
  std::map<std::pair<TaskId, AttemptNumber>, int> StopsLostToAgent_;
  std::map<std::pair<TaskId, AttemptNumber>, int> StopsLostToWorker_;
  /// Whether callers send new work.
  bool Busy_ = true;
};

/// The operators' document of a run; `Version` makes its text unique.
auto simulationDocument(int Version) -> Document;
/// Adds the queue of the callers who cancel promptly.
auto addQueue(Document &Configured) -> void;

} // namespace skylark::Fuzz
