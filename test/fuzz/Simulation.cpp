#include "test/fuzz/Simulation.h"

#include "core/Assert.h"

#include <algorithm>
#include <deque>
#include <sstream>
#include <utility>

namespace skylark::Fuzz {
namespace {

constexpr std::array<const char *, static_cast<std::size_t>(FaultKind::Count)>
    FaultNames{"kill-entry",        "freeze-entry",     "leave-entry",
               "kill-agent",        "freeze-agent",     "leave-agent",
               "kill-instance",     "silence-to-entry", "silence-to-agent",
               "cut-agent",         "cut-entries",      "store-down",
               "store-slow",        "store-cut-one",    "store-loses-answers",
               "store-writes-late", "reorder",          "duplicate",
               "damage-answers",    "failing-worker",   "take-out",
               "bring-back",        "apply-document",   "cancel-jobs",
               "change-series",     "workers-refuse",   "workers-break",
               "store-resends",     "wall-clock-leap",  "wall-clock-at-start"};
const std::array<const char *, 3> DataCentres{"hobart", "launceston", "burnie"};
constexpr Millis TickInterval{50};
constexpr Millis StoreTimeout{1000};
/// Time after which a start command counts as unanswered.
constexpr Millis OrderTimeout{400};
/// How many copies of an order libcurl sends at most.
constexpr int MaxCopies = 6;
/// Steady clocks start far from zero, and each one has its own rate.
constexpr Seconds SteadyStart{1000};
const WallTime WallStart{Seconds{1796000000}};
const Resources WorkerCapacity{4000, 8000, 1};
const Resources ShrunkCapacity{2000, 4000, 1};
/// How long a worker has the same capacity, if it changes.
constexpr Seconds CapacityPeriod{9};
constexpr Millis AnnouncementInterval{1100};
/// How long after its announcement a smaller capacity must be observed.
constexpr Millis CapacityTolerance{4100};

/// A series of changes makes one after each interval from this one to this one
/// plus the spread.
constexpr Millis ChangeInterval{80};
constexpr std::size_t ChangeIntervalSpreadMs = 70;
const Resources UrgentJobSize{100, 100, 0};
/// Time within which agents know which data centres are out of service: entries
/// read the store each 300 ms, agents' heartbeats follow within 500 ms, and
/// messages and store calls need the rest.
constexpr Millis PropagationTime{1000};
/// Time after a fault of the store within which every entry reads it again.
constexpr Millis StoreRecoveryTime{2500};
/// The longest time after which entries repeat a configuration that was lost.
constexpr Millis ResendTime{10000};

/// Whether a fault of this kind changes only the configuration, the work that
/// callers want done, or the time of day.
auto leavesProcessesAlone(FaultKind Kind) -> bool {
  return Kind == FaultKind::TakeOutDataCentre ||
         Kind == FaultKind::BringBackDataCentre ||
         Kind == FaultKind::ApplyDocument || Kind == FaultKind::CancelJobs ||
         Kind == FaultKind::ChangeSeries || Kind == FaultKind::WallClockLeap;
}

/// Time after a fault within which every registration, permit and lease that it
/// concerns has been renewed, or has ended and has been replaced.
auto recoveryTime() -> Micros {
  const auto Policy = simulationDocument(0).Policy_;
  return Micros(Policy.RegistrationTtl_ + Policy.OutageHorizon_ +
                Policy.PermitDuration_ + Policy.TaskLeaseDuration_);
}

/// Thrown by a failed assertion, so that it ends its run and not the process.
struct InvariantViolation {
  std::string Text_;
};

auto throwInvariantViolation(const std::string &Text) -> void {
  throw InvariantViolation{Text};
}

} // namespace

auto faultName(FaultKind Kind) -> std::string {
  return FaultNames[static_cast<std::size_t>(Kind)];
}

auto isInjectedByNameOnly(FaultKind Kind) -> bool {
  return Kind == FaultKind::WallClockLeap ||
         Kind == FaultKind::WallClockAtStart;
}

auto operator<<(std::ostream &Out, const Fault &Each) -> std::ostream & {
  return Out << faultName(Each.Kind_) << " at " << Each.StartMs_ << " ms for "
             << Each.DurationMs_ << " ms on " << Each.Selector_;
}

auto simulationDocument(int Version) -> Document {
  Document Result;
  Result.Text_ = "version " + std::to_string(Version);
  for (const auto *Name : DataCentres)
    Result.DataCentres_.push_back({Name});
  Result.Services_ = {{{"check"}, Millis{1000}}, {{"lodge"}, Millis{1000}}};
  Result.Teams_ = {{{"red"}, {1000000, 1000000, 100}},
                   {{"blue"}, {6000, 1000000, 100}}};
  Result.LargestWorker_ = WorkerCapacity;
  Result.Policy_.PermitDuration_ = Millis{1500};
  Result.Policy_.TaskLeaseDuration_ = Millis{3000};
  Result.Policy_.OutageHorizon_ = Millis{15000};
  return Result;
}

/// An entry's process. Each start and each kill begins a new generation; events
/// that were scheduled for an earlier one have no effect.
struct Simulation::EntryNode {
  std::unique_ptr<EntryCore> Core_;
  EntryId Id_;
  std::uint64_t Generation_ = 0;
  double ClockRate_ = 1.0;
  TrueTime FrozenUntil_{0};
  bool Leaving_ = false;
  std::deque<std::function<void()>> DeferredCommands_;
  std::map<EntryId, bool> PeerConnected_;
  Revision HighestRevision_ = 0;
};

/// An agent's process and its worker, each with its own generation and clock.
struct Simulation::AgentNode {
  std::unique_ptr<AgentCore> Core_;
  std::unique_ptr<FakeWorker> Worker_;
  Incarnation Incarnation_ = 0;
  std::uint64_t Generation_ = 0;
  std::uint64_t WorkerGeneration_ = 0;
  double ClockRate_ = 1.0;
  double WorkerClockRate_ = 1.0;
  TrueTime FrozenUntil_{0};
  bool Leaving_ = false;
  std::deque<std::function<void()>> DeferredCommands_;
  Revision HighestRevision_ = 0;
  /// The fence of the last poll.
  std::uint64_t Fence_ = 0;
  /// How many fences this process has raised.
  std::uint64_t Fences_ = 0;
};

/// A connection between an agent and an entry, with the state at either end.
struct Simulation::Connection {
  std::size_t Agent_ = 0;
  std::size_t Entry_ = 0;
  SessionNumber Session_ = 0;
  bool OpenAtAgent_ = true;
  bool OpenAtEntry_ = true;
  TrueTime SilentToEntryUntil_{0};
  TrueTime SilentToAgentUntil_{0};
  TrueTime LastDeliveryToEntry_{0};
  TrueTime LastDeliveryToAgent_{0};
};

Simulation::Simulation(SimulationConfig Config)
    : Config_(std::move(Config)), Generator_(Config_.Seed_),
      Checker_(!Config_.Faults_.empty() || Config_.CrashingTasks_),
      Services_(Config_.LostService_,
                static_cast<std::size_t>(Config_.Agents_)) {
  setAssertHandler(throwInvariantViolation);
  // Lower than that of a real store, so that few records reach it.
  Store_.MaxValueSize_ = 1024;
}

Simulation::~Simulation() = default;

// Virtual time and randomness.

auto Simulation::scheduleAt(TrueTime When, std::function<void()> Action)
    -> void {
  Events_.emplace(std::make_pair(std::max(When, Now_), ++LastEvent_),
                  std::move(Action));
}

auto Simulation::scheduleAfter(Millis Delay, std::function<void()> Action)
    -> void {
  scheduleAt(Now_ + Delay, std::move(Action));
}

auto Simulation::randomDelay() -> Micros {
  return Micros{std::uniform_int_distribution<int>(200, 8000)(Generator_)};
}

auto Simulation::chance(double Probability) -> bool {
  return std::uniform_real_distribution<double>(0, 1)(Generator_) < Probability;
}

auto Simulation::randomBelow(std::size_t Limit) -> std::size_t {
  return std::uniform_int_distribution<std::size_t>(0, Limit - 1)(Generator_);
}

auto Simulation::localTime(double ClockRate) const -> Moment {
  const auto Elapsed = std::chrono::duration_cast<Duration>(Now_ * ClockRate);
  return {TimePoint(SteadyStart) + Elapsed,
          WallStart + std::chrono::duration_cast<Millis>(Now_)};
}

// Processes.

auto Simulation::startEntry(std::size_t Index) -> void {
  auto &Node = *Entries_[Index];
  EntryIdentity Identity;
  Identity.Entry_ = Node.Id_;
  Identity.Incarnation_ = ++LastIncarnation_;
  Identity.Environment_ = {"production"};
  Identity.DataCentre_ = {DataCentres[Index % DataCentres.size()]};
  Identity.ShardCount_ = shardCount();
  Identity.StoreCallsPerSecond_ = 200;
  Identity.MaxValueSize_ = Store_.MaxValueSize_;
  Identity.Seed_ = Generator_();
  Node.Core_ = std::make_unique<EntryCore>(Identity);
  Node.Leaving_ = false;
  Node.FrozenUntil_ = TrueTime{0};
  Node.DeferredCommands_.clear();
  Node.PeerConnected_.clear();
  Node.HighestRevision_ = 0;
  tickEntry(Index, ++Node.Generation_);
  for (std::size_t Agent = 0; Agent < Agents_.size(); ++Agent)
    connect(Agent, Index);
}

auto Simulation::startAgent(std::size_t Index) -> void {
  auto &Node = *Agents_[Index];
  AgentIdentity Identity;
  Identity.Agent_ = {"agent-" + std::to_string(Index)};
  Identity.Incarnation_ = ++LastIncarnation_;
  Identity.DataCentre_ = {DataCentres[Index % DataCentres.size()]};
  Identity.Rack_ = "rack";
  Identity.Capacity_ = describeWorker(Index);
  Identity.Limits_ = {4, 16};
  Identity.Services_ = {{"check"}, {"lodge"}};
  if (Services_.enabled())
    Identity.Services_.push_back(Services_.serviceOf(Index));
  Node.Incarnation_ = Identity.Incarnation_;
  Node.Core_ = std::make_unique<AgentCore>(Identity);
  Node.Fence_ = 0;
  Node.Fences_ = 0;
  Node.Leaving_ = false;
  Node.FrozenUntil_ = TrueTime{0};
  Node.DeferredCommands_.clear();
  Node.HighestRevision_ = 0;
  tickAgent(Index, ++Node.Generation_);
  for (std::size_t Entry = 0; Entry < Entries_.size(); ++Entry)
    connect(Index, Entry);
}

auto Simulation::capacityOf(std::size_t Index) const -> Resources {
  const auto Period = Now_ / CapacityPeriod + static_cast<std::int64_t>(Index);
  const auto Shrunk =
      Config_.ChangingCapacity_ && Now_ < Config_.Busy_ && Period % 2 != 0;
  return Shrunk ? ShrunkCapacity : WorkerCapacity;
}

auto Simulation::describeWorker(std::size_t Index) -> Resources {
  const auto Capacity = capacityOf(Index);
  if (Capacity.holds(WorkerCapacity))
    Agents_[Index]->Worker_->setCapacity(Capacity);
  return Capacity;
}

auto Simulation::announceWorker(std::size_t Index) -> void {
  scheduleAfter(AnnouncementInterval, [this, Index] { announceWorker(Index); });
  auto &Node = *Agents_[Index];
  if (!Node.Worker_)
    return;
  WorkerAnnouncement Announcement;
  Announcement.Worker_ = Node.Worker_->config().Incarnation_;
  Announcement.Capacity_ = describeWorker(Index);
  Announcement.Rack_ = "rack";
  Announcement.Service_ = {"check"};
  // A smaller capacity counts once its announcement has had time to arrive.
  const auto Generation = Node.WorkerGeneration_;
  scheduleAfter(CapacityTolerance, [this, Index, Generation,
                                    Capacity = Announcement.Capacity_] {
    auto &Each = *Agents_[Index];
    const auto StillShrunk = !capacityOf(Index).holds(WorkerCapacity);
    if (Each.Worker_ && Each.WorkerGeneration_ == Generation && StillShrunk)
      Each.Worker_->setCapacity(Capacity);
  });
  callAgent(Index,
            [Announcement](AgentCore &Core, Moment Then, AgentOutbox &Out) {
              Core.announcementReceived(Then, Announcement, Out);
            });
}

auto Simulation::startInstance(std::size_t Index) -> void {
  if (Services_.isLost(Index))
    return;
  auto &Node = *Agents_[Index];
  WorkerConfig Config;
  Config.Name_ = "worker-" + std::to_string(Index) + "." +
                 std::to_string(++Node.WorkerGeneration_);
  Config.DataCentreName_ = {DataCentres[Index % DataCentres.size()]};
  Config.Capacity_ = WorkerCapacity;
  Config.Incarnation_ = ++LastIncarnation_;
  Config.ListsIdsOnly_ = Config_.MinimalWorkers_;
  Node.Worker_ = std::make_unique<FakeWorker>(Config, Checker_);
  startAgent(Index);
}

auto Simulation::crashWorker(std::size_t Index) -> void {
  auto &Node = *Agents_[Index];
  if (!Node.Worker_)
    return;
  Node.Worker_->terminate();
  Node.Worker_.reset();
  ++Node.WorkerGeneration_;
  scheduleAfter(Millis{1000 + 1000 * static_cast<int>(randomBelow(7))},
                [this, Index] {
                  if (Agents_[Index]->Worker_)
                    return;
                  if (Agents_[Index]->Core_)
                    killAgent(Index);
                  startInstance(Index);
                });
}

auto Simulation::killInstance(std::size_t Index) -> void {
  auto &Node = *Agents_[Index];
  if (Node.Core_)
    killAgent(Index);
  if (Node.Worker_)
    Node.Worker_->terminate();
  Node.Worker_.reset();
  ++Node.WorkerGeneration_;
}

auto Simulation::loseSmallerService() -> void {
  Services_.loseSmaller();
  for (std::size_t Agent = 0; Agent < Agents_.size(); ++Agent)
    if (Services_.isLost(Agent))
      killInstance(Agent);
}

auto Simulation::killEntry(std::size_t Index) -> void {
  auto &Node = *Entries_[Index];
  ++Node.Generation_;
  Node.Core_.reset();
  for (const auto &Each : Connections_)
    if (Each->Entry_ == Index && Each->OpenAtEntry_)
      closeFromEntry(Each);
  for (std::size_t Other = 0; Other < Entries_.size(); ++Other) {
    if (Other == Index || !Entries_[Other]->PeerConnected_[Node.Id_])
      continue;
    Entries_[Other]->PeerConnected_[Node.Id_] = false;
    const auto Id = Node.Id_;
    callEntry(Other, [Id](EntryCore &Core, Moment Then, EntryOutbox &Out) {
      Core.peerDisconnected(Then, Id, Out);
    });
  }
}

auto Simulation::killAgent(std::size_t Index) -> void {
  auto &Node = *Agents_[Index];
  ++Node.Generation_;
  Node.Core_.reset();
  for (const auto &Each : Connections_)
    if (Each->Agent_ == Index && Each->OpenAtAgent_)
      closeFromAgent(Each);
}

auto Simulation::callEntry(
    std::size_t Index,
    std::function<void(EntryCore &, Moment, EntryOutbox &)> Action) -> void {
  auto &Node = *Entries_[Index];
  if (!Node.Core_)
    return;
  const auto Generation = Node.Generation_;
  auto Command = [this, Index, Generation, Action = std::move(Action)] {
    auto &Each = *Entries_[Index];
    if (!Each.Core_ || Each.Generation_ != Generation)
      return;
    EntryOutbox Out;
    auto Then = localTime(Each.ClockRate_);
    Then.Wall_ += WallClocks_.offsetOf(Index);
    Action(*Each.Core_, Then, Out);
    const auto Revision = Each.Core_->configuration().Head_.Revision_;
    if (Revision < Each.HighestRevision_)
      Checker_.addViolation("revision went down at " + Each.Id_.Value_);
    Each.HighestRevision_ = Revision;
    executeOutputs(Index, Out);
  };
  if (Node.FrozenUntil_ > Now_)
    Node.DeferredCommands_.push_back(std::move(Command));
  else
    Command();
}

auto Simulation::callAgent(
    std::size_t Index,
    std::function<void(AgentCore &, Moment, AgentOutbox &)> Action) -> void {
  auto &Node = *Agents_[Index];
  if (!Node.Core_)
    return;
  const auto Generation = Node.Generation_;
  auto Command = [this, Index, Generation, Action = std::move(Action)] {
    auto &Each = *Agents_[Index];
    if (!Each.Core_ || Each.Generation_ != Generation)
      return;
    AgentOutbox Out;
    Action(*Each.Core_, localTime(Each.ClockRate_), Out);
    const auto Revision = Each.Core_->configuration().Head_.Revision_;
    if (Revision < Each.HighestRevision_)
      Checker_.addViolation("revision went down at agent");
    Each.HighestRevision_ = Revision;
    executeOutputs(Index, Out);
  };
  if (Node.FrozenUntil_ > Now_)
    Node.DeferredCommands_.push_back(std::move(Command));
  else
    Command();
}

auto Simulation::thawEntry(std::size_t Index) -> void {
  auto Deferred = std::exchange(Entries_[Index]->DeferredCommands_, {});
  for (auto &Each : Deferred)
    Each();
}

auto Simulation::thawAgent(std::size_t Index) -> void {
  auto Deferred = std::exchange(Agents_[Index]->DeferredCommands_, {});
  for (auto &Each : Deferred)
    Each();
}

auto Simulation::tickEntry(std::size_t Index, std::uint64_t Generation)
    -> void {
  auto &Node = *Entries_[Index];
  if (Node.Generation_ != Generation)
    return;
  if (Node.FrozenUntil_ <= Now_)
    callEntry(Index, [](EntryCore &Core, Moment Then, EntryOutbox &Out) {
      Core.tick(Then, Out);
    });
  scheduleAfter(TickInterval,
                [this, Index, Generation] { tickEntry(Index, Generation); });
}

auto Simulation::tickAgent(std::size_t Index, std::uint64_t Generation)
    -> void {
  auto &Node = *Agents_[Index];
  if (Node.Generation_ != Generation)
    return;
  if (Node.FrozenUntil_ <= Now_ && Node.Core_) {
    callAgent(Index, [](AgentCore &Core, Moment Then, AgentOutbox &Out) {
      Core.tick(Then, Out);
    });
    if (Node.Core_ && Node.Generation_ == Generation)
      for (const auto Session :
           Node.Core_->unresponsiveSessions(localTime(Node.ClockRate_)))
        for (const auto &Each : std::vector(Connections_))
          if (Each->Session_ == Session && Each->OpenAtAgent_)
            closeFromAgent(Each);
  }
  scheduleAfter(TickInterval,
                [this, Index, Generation] { tickAgent(Index, Generation); });
}

// Connections between agents and entries.

auto Simulation::isCut(std::size_t Agent, std::size_t Entry) const -> bool {
  const auto Found = AgentCutUntil_.find({Agent, Entry});
  return Found != AgentCutUntil_.end() && Found->second > Now_;
}

auto Simulation::connect(std::size_t Agent, std::size_t Entry) -> void {
  const auto Retry = [this, Agent, Entry,
                      AgentGeneration = Agents_[Agent]->Generation_] {
    if (Agents_[Agent]->Generation_ == AgentGeneration)
      connect(Agent, Entry);
  };
  for (const auto &Each : Connections_)
    if (Each->Agent_ == Agent && Each->Entry_ == Entry && Each->OpenAtAgent_)
      return;
  if (!Agents_[Agent]->Core_)
    return;
  if (!Entries_[Entry]->Core_ || isCut(Agent, Entry)) {
    scheduleAfter(Millis{300}, Retry);
    return;
  }
  auto New = std::make_shared<Connection>();
  New->Agent_ = Agent;
  New->Entry_ = Entry;
  New->Session_ = ++LastSession_;
  Connections_.push_back(New);
  callAgent(Agent, [New](AgentCore &Core, Moment Then, AgentOutbox &Out) {
    if (New->OpenAtAgent_)
      Core.openSession(Then, New->Session_, Out);
  });
}

auto Simulation::closeFromAgent(const std::shared_ptr<Connection> &Each)
    -> void {
  Each->OpenAtAgent_ = false;
  const auto Agent = Each->Agent_;
  const auto Entry = Each->Entry_;
  callAgent(Agent, [Each](AgentCore &Core, Moment Then, AgentOutbox &) {
    Core.closeSession(Then, Each->Session_);
  });
  if (Each->SilentToEntryUntil_ <= Now_ && !isCut(Agent, Entry))
    scheduleAt(std::max(Each->LastDeliveryToEntry_, Now_ + randomDelay()),
               [this, Each] {
                 if (std::exchange(Each->OpenAtEntry_, false))
                   callEntry(Each->Entry_, [Each](EntryCore &Core, Moment Then,
                                                  EntryOutbox &Out) {
                     Core.agentDisconnected(Then, Each->Session_, Out);
                   });
               });
  scheduleAfter(Millis{200},
                [this, Agent, Entry, Generation = Agents_[Agent]->Generation_] {
                  if (Agents_[Agent]->Generation_ == Generation)
                    connect(Agent, Entry);
                });
}

auto Simulation::closeFromEntry(const std::shared_ptr<Connection> &Each)
    -> void {
  Each->OpenAtEntry_ = false;
  if (Each->SilentToAgentUntil_ > Now_ || isCut(Each->Agent_, Each->Entry_))
    return;
  scheduleAt(std::max(Each->LastDeliveryToAgent_, Now_ + randomDelay()),
             [this, Each] {
               if (Each->OpenAtAgent_)
                 closeFromAgent(Each);
             });
}

auto Simulation::deliveryTimes(TrueTime &LastDelivery)
    -> std::vector<TrueTime> {
  ++Coverage_.Messages_;
  const auto Active = [&](FaultKind Kind) { return ActiveUntil_[Kind] > Now_; };
  auto When = std::max(LastDelivery, Now_ + randomDelay());
  if (Active(FaultKind::Reorder) && chance(0.3))
    When = Now_ + randomDelay() * 40;
  else
    LastDelivery = When;
  std::vector<TrueTime> Times{When};
  if (Active(FaultKind::Duplicate) && chance(0.3))
    Times.push_back(When + randomDelay() * 200);
  return Times;
}

// Outputs of entries.

auto Simulation::executeOutputs(std::size_t Entry, const EntryOutbox &Out)
    -> void {
  for (const auto &Each : Out)
    std::visit([&](const auto &One) { execute(Entry, One); }, Each);
}

auto Simulation::execute(std::size_t Entry, const SendToAgent &Send) -> void {
  const auto *Stop = std::get_if<StopTask>(&Send.Message_);
  if (Stop != nullptr &&
      StopsLostToAgent_[{Stop->Task_, Stop->Attempt_}]++ < Config_.LostStops_)
    return;
  for (const auto &Each : Connections_) {
    if (Each->Session_ != Send.Session_ || !Each->OpenAtEntry_)
      continue;
    for (const auto When : deliveryTimes(Each->LastDeliveryToAgent_))
      scheduleAt(When, [this, Each, Message = Send.Message_] {
        if (!Each->OpenAtAgent_ || Each->SilentToAgentUntil_ > Now_ ||
            isCut(Each->Agent_, Each->Entry_))
          return;
        callAgent(Each->Agent_, [Each, Message](AgentCore &Core, Moment Then,
                                                AgentOutbox &Out) {
          if (Each->OpenAtAgent_)
            Core.receive(Then, Each->Session_, Message, Out);
        });
      });
  }
  (void)Entry;
}

auto Simulation::execute(std::size_t Entry, const SendToPeer &Send) -> void {
  for (std::size_t Other = 0; Other < Entries_.size(); ++Other) {
    if (Entries_[Other]->Id_ != Send.Entry_ ||
        !Entries_[Entry]->PeerConnected_[Send.Entry_] ||
        EntriesCutUntil_[{std::min(Entry, Other), std::max(Entry, Other)}] >
            Now_)
      continue;
    const auto Generation = Entries_[Other]->Generation_;
    scheduleAfter(
        Millis{3}, [this, Entry, Other, Generation, Message = Send.Message_] {
          if (Entries_[Other]->Generation_ != Generation)
            return;
          const auto From = Entries_[Entry]->Id_;
          callEntry(Other, [From, Message](EntryCore &Core, Moment Then,
                                           EntryOutbox &Out) {
            Core.peerSent(Then, From, Message, Out);
          });
        });
  }
}

auto Simulation::execute(std::size_t Entry, const ConnectPeers &Connect)
    -> void {
  for (const auto &Peer : Connect.Peers_) {
    for (std::size_t Other = 0; Other < Entries_.size(); ++Other) {
      if (Entries_[Other]->Id_ != Peer.Entry_ || !Entries_[Other]->Core_)
        continue;
      if (std::exchange(Entries_[Entry]->PeerConnected_[Peer.Entry_], true))
        continue;
      const auto Id = Peer.Entry_;
      scheduleAfter(Millis{5}, [this, Entry, Id] {
        callEntry(Entry, [Id](EntryCore &Core, Moment Then, EntryOutbox &Out) {
          Core.peerConnected(Then, Id, Out);
        });
      });
    }
  }
}

auto Simulation::execute(std::size_t /*Entry*/, const AnswerCaller &Answer)
    -> void {
  ++Coverage_.Replies_;
  Checker_.replyReceived(Answer.Token_, Answer.Reply_);
  if (const auto *Known = std::get_if<JobReply>(&Answer.Reply_))
    AcceptedJobs_.add(Now_, Known->Job_.Id_);
  const auto Found = PendingReplies_.find(Answer.Token_);
  if (Found == PendingReplies_.end()) {
    Checker_.addViolation("second answer to one caller");
    return;
  }
  const auto Then = std::move(Found->second);
  PendingReplies_.erase(Found);

  Then(Answer.Reply_);
}

auto Simulation::execute(std::size_t Entry, const CallStore &Call) -> void {
  ++Coverage_.StoreCalls_;
  const auto Active = [&](FaultKind Kind) { return ActiveUntil_[Kind] > Now_; };
  const auto Generation = Entries_[Entry]->Generation_;
  const auto Answer = [this, Entry, Generation](TrueTime When,
                                                StoreResult Result) {
    scheduleAt(When, [this, Entry, Generation, Result = std::move(Result)] {
      if (Entries_[Entry]->Generation_ != Generation)
        return;
      callEntry(Entry,
                [Result](EntryCore &Core, Moment Then, EntryOutbox &Out) {
                  Core.storeAnswered(Then, Result, Out);
                });
    });
  };
  StoreResult NoAnswer;
  NoAnswer.Call_ = Call.Call_;
  const auto TimeoutAt = Now_ + Micros(StoreTimeout);
  if (Active(FaultKind::StoreDown) || StoreCutUntil_[Entry] > Now_) {
    Answer(TimeoutAt, NoAnswer);
    return;
  }
  auto AppliedAt = Now_ + randomDelay();
  if (Active(FaultKind::StoreSlow))
    AppliedAt += randomDelay() * 100;
  if (Active(FaultKind::StoreResends) && chance(0.4)) {
    const auto FirstCopyAt =
        chance(0.3) ? AppliedAt + randomDelay() * 250 : AppliedAt;
    scheduleAt(FirstCopyAt, [this, Operation = Call.Operation_] {
      Store_.apply(Now_, Operation);
    });
    AppliedAt += randomDelay();
  }
  const auto AppliedLate = Active(FaultKind::StoreWritesLate) && chance(0.4);
  if (AppliedLate)
    AppliedAt += Micros(StoreTimeout) + randomDelay() * 250;
  const auto LoseAnswer =
      AppliedLate || (Active(FaultKind::StoreLosesAnswers) && chance(0.4));
  if (LoseAnswer)
    Answer(TimeoutAt, NoAnswer);
  scheduleAt(AppliedAt, [this, Call, LoseAnswer, Answer, TimeoutAt] {
    auto Result = Store_.apply(Now_, Call.Operation_);
    Result.Call_ = Call.Call_;
    if (!LoseAnswer && Now_ + randomDelay() < TimeoutAt)
      Answer(Now_ + randomDelay(), Result);
    else if (!LoseAnswer)
      Answer(TimeoutAt, [&] {
        StoreResult TimedOut;
        TimedOut.Call_ = Call.Call_;
        return TimedOut;
      }());
  });
}

auto Simulation::execute(std::size_t /*Entry*/, const CloseSession &Close)
    -> void {
  for (const auto &Each : std::vector(Connections_))
    if (Each->Session_ == Close.Session_ && Each->OpenAtEntry_)
      closeFromEntry(Each);
}

auto Simulation::trace(const std::string &Process,
                       const LogDecision &Decision) const -> void {
  if (!Config_.Trace_)
    return;
  std::printf("%9.3f %-8s %s %s %s; %s\n",
              std::chrono::duration<double>(Now_).count(), Process.c_str(),
              std::string(Decision.Event_).c_str(), Decision.Subject_.c_str(),
              std::string(errorInfo(Decision.Reason_).Code_).c_str(),
              Decision.Detail_.c_str());
}

auto Simulation::execute(std::size_t Entry, const LogDecision &Decision)
    -> void {
  trace(Entries_[Entry]->Id_.Value_, Decision);
}

auto Simulation::execute(std::size_t Entry, const ExitProcess & /*Exit*/)
    -> void {
  scheduleAfter(Millis{0},
                [this, Entry, Generation = Entries_[Entry]->Generation_] {
                  if (Entries_[Entry]->Generation_ == Generation)
                    killEntry(Entry);
                });
  scheduleAfter(Millis{1500}, [this, Entry] {
    if (!Entries_[Entry]->Core_)
      startEntry(Entry);
  });
}

// Outputs of agents.

auto Simulation::executeOutputs(std::size_t Agent, const AgentOutbox &Out)
    -> void {
  for (const auto &Each : Out)
    std::visit([&](const auto &One) { executeForAgent(Agent, One); }, Each);
}

auto Simulation::executeForAgent(std::size_t /*Agent*/, const SendToEntry &Send)
    -> void {
  for (const auto &Each : Connections_) {
    if (Each->Session_ != Send.Session_ || !Each->OpenAtAgent_)
      continue;
    auto Message = Send.Message_;
    auto *Answer = std::get_if<DispatchAnswer>(&Message);
    if (Answer != nullptr && !Answer->Body_.empty() &&
        ActiveUntil_[FaultKind::DamageAnswers] > Now_ && chance(0.3))
      Answer->Body_.pop_back();
    for (const auto When : deliveryTimes(Each->LastDeliveryToEntry_))
      scheduleAt(When, [this, Each, Message] {
        if (!Each->OpenAtEntry_ || Each->SilentToEntryUntil_ > Now_ ||
            isCut(Each->Agent_, Each->Entry_))
          return;
        if (Config_.MinimalWorkers_ &&
            std::holds_alternative<ConfigurationUpdate>(Message))
          return;
        callEntry(Each->Entry_, [Each, Message](EntryCore &Core, Moment Then,
                                                EntryOutbox &Out) {
          if (Each->OpenAtEntry_)
            Core.agentSent(Then, Each->Session_, Message, Out);
        });
      });
  }
}

auto Simulation::callWorker(std::size_t Agent,
                            std::function<void(FakeWorker &)> Action) -> void {
  // The worker carries a late call out too, even if that is after the call's
  // time-out at the agent.
  auto Latency = randomDelay() / 4;
  if (ActiveUntil_[FaultKind::Reorder] > Now_ && chance(0.2))
    Latency += randomDelay() * 500;
  const auto Generation = Agents_[Agent]->WorkerGeneration_;
  scheduleAt(Now_ + Latency,
             [this, Agent, Generation, Action = std::move(Action)] {
               if (Agents_[Agent]->WorkerGeneration_ == Generation &&
                   Agents_[Agent]->Worker_)
                 Action(*Agents_[Agent]->Worker_);
             });
}

auto Simulation::sendOrder(
    std::size_t Agent, const std::function<StartOutcome(FakeWorker &)> &Order,
    const std::function<void(StartOutcome)> &Answered, int Copies) -> void {
  const auto Active = [&](FaultKind Kind) { return ActiveUntil_[Kind] > Now_; };
  const auto Refused = Active(FaultKind::WorkersRefuse) && chance(0.4);
  const auto Breaks = Active(FaultKind::WorkersBreakConnections) && chance(0.4);
  callWorker(
      Agent, [this, Order, Answered, Refused, Breaks](FakeWorker &Worker) {
        const auto Outcome = Refused ? StartOutcome::Refused : Order(Worker);
        const auto AnswerLost =
            Breaks || !Answered ||
            (ActiveUntil_[FaultKind::Reorder] > Now_ && chance(0.2));
        if (!AnswerLost)
          scheduleAt(Now_ + randomDelay() / 4,
                     [Answered, Outcome] { Answered(Outcome); });
      });
  if (!Breaks || Copies == 1)
    return;
  const auto Generation = Agents_[Agent]->Generation_;
  scheduleAt(Now_ + randomDelay() / 2,
             [this, Agent, Generation, Order, Answered, Copies] {
               if (Agents_[Agent]->Generation_ == Generation)
                 sendOrder(Agent, Order, Answered, Copies - 1);
             });
}

auto Simulation::tokenOf(std::size_t Agent) const -> CommandToken {
  const auto &Node = *Agents_[Agent];
  return {Node.Incarnation_, Node.Fences_};
}

auto Simulation::executeForAgent(std::size_t Agent, const StartOnWorker &Start)
    -> void {
  auto &Node = *Agents_[Agent];
  const auto Generation = Node.Generation_;
  const auto Revision = Node.Core_->configuration().Head_.Revision_;
  Checker_.startOrdered(Now_, Start.Bind_.Task_);
  const auto Order = [this, Agent, Start, Token = tokenOf(Agent),
                      Revision](FakeWorker &Worker) {
    const auto Clock = std::chrono::duration_cast<Micros>(
        localTime(Agents_[Agent]->WorkerClockRate_).Steady_.time_since_epoch());
    const auto Outcome = Worker.start(Now_, Clock, Start, Token, Revision);
    if (Outcome == StartOutcome::Accepted &&
        Start.Bind_.Payload_ == CrashingPayload)
      scheduleAfter(
          Millis{10},
          [this, Agent, Generation = Agents_[Agent]->WorkerGeneration_] {
            if (Agents_[Agent]->WorkerGeneration_ == Generation)
              crashWorker(Agent);
          });
    return Outcome;
  };
  // Other workers don't answer a start.
  if (!Config_.MinimalWorkers_) {
    sendOrder(Agent, Order, {}, MaxCopies);
    return;
  }
  const auto Answered = std::make_shared<bool>(false);
  const auto AnswerOnce = [this, Agent, Generation, Answered,
                           Bind = Start.Bind_](StartOutcome Outcome) {
    if (std::exchange(*Answered, true) ||
        Agents_[Agent]->Generation_ != Generation)
      return;
    callAgent(
        Agent, [Bind, Outcome](AgentCore &Core, Moment Then, AgentOutbox &Out) {
          Core.startAnswered(Then, Bind.Task_, Bind.Attempt_, Outcome, Out);
        });
  };
  sendOrder(Agent, Order, AnswerOnce, MaxCopies);
  scheduleAfter(OrderTimeout,
                [AnswerOnce] { AnswerOnce(StartOutcome::Unknown); });
}

auto Simulation::executeForAgent(std::size_t Agent, const StopOnWorker &Stop)
    -> void {
  if (StopsLostToWorker_[{Stop.Task_, Stop.Attempt_}]++ < Config_.LostStops_)
    return;
  const auto Order = [Stop, Token = tokenOf(Agent)](FakeWorker &Worker) {
    Worker.stop(Stop, Token);
    return StartOutcome::Accepted;
  };
  sendOrder(Agent, Order, {}, MaxCopies);
}

auto Simulation::executeForAgent(std::size_t Agent,
                                 const ForgetOnWorker &Forget) -> void {
  callWorker(Agent, [Forget, Token = tokenOf(Agent)](FakeWorker &Worker) {
    Worker.forget(Forget, Token);
  });
}

auto Simulation::executeForAgent(std::size_t Agent, const PollWorker &Poll)
    -> void {
  auto &Node = *Agents_[Agent];
  if (std::exchange(Node.Fence_, Poll.Fence_) != Poll.Fence_)
    ++Node.Fences_;
  callWorker(Agent, [this, Agent, Poll, Token = tokenOf(Agent),
                     Generation = Node.Generation_](FakeWorker &Worker) {
    if (!Worker.renewLeases(Poll, Token))
      return;
    const auto Clock = std::chrono::duration_cast<Micros>(
        localTime(Agents_[Agent]->WorkerClockRate_).Steady_.time_since_epoch());
    auto Inventory = Worker.inventory(Clock);
    Inventory.Fence_ = Poll.Fence_;
    scheduleAt(Now_ + randomDelay() / 4, [this, Agent, Inventory, Generation] {
      if (Agents_[Agent]->Generation_ != Generation)
        return;
      callAgent(Agent,
                [Inventory](AgentCore &Core, Moment Then, AgentOutbox &Out) {
                  Core.inventoryReceived(Then, Inventory, Out);
                });
    });
  });
}

auto Simulation::executeForAgent(std::size_t Agent, const CallTarget &Call)
    -> void {
  const auto Generation = Agents_[Agent]->Generation_;
  callWorker(Agent, [this, Agent, Call, Generation](FakeWorker &) {
    Checker_.requestRan(Call.Body_);
    const auto Latency = randomDelay() * (chance(0.03) ? 300 : 3);
    TargetResult Result;
    Result.Request_ = Call.Request_;
    Result.Status_ = 200;
    Result.Body_ = Checker::expectedAnswer(Call.Body_);
    scheduleAt(Now_ + Latency, [this, Agent, Generation, Result] {
      if (Agents_[Agent]->Generation_ != Generation)
        return;
      callAgent(Agent,
                [Result](AgentCore &Core, Moment Then, AgentOutbox &Out) {
                  Core.targetAnswered(Then, Result, Out);
                });
    });
  });
}

auto Simulation::executeForAgent(std::size_t Agent, const LogDecision &Decision)
    -> void {
  trace("agent-" + std::to_string(Agent), Decision);
}

auto Simulation::executeForAgent(std::size_t /*Agent*/,
                                 const PaceOnWorker & /*Pace*/) -> void {}

auto Simulation::executeForAgent(std::size_t /*Agent*/,
                                 const ConnectEntries & /*Connect*/) -> void {}

auto Simulation::executeForAgent(std::size_t Agent,
                                 const RestartAgent & /*Restart*/) -> void {
  executeForAgent(Agent, ExitProcess{});
}

auto Simulation::executeForAgent(std::size_t Agent,
                                 const ExitProcess & /*Exit*/) -> void {
  scheduleAfter(Millis{20},
                [this, Agent, Generation = Agents_[Agent]->Generation_] {
                  if (Agents_[Agent]->Generation_ != Generation)
                    return;
                  killAgent(Agent);
                  scheduleAfter(Millis{1000}, [this, Agent] {
                    if (!Agents_[Agent]->Core_ && Agents_[Agent]->Worker_)
                      startAgent(Agent);
                  });
                });
}

// Callers, operators and faults.

auto Simulation::sendRequest(CallerRequest Request, const std::string &Body,
                             bool Idempotent,
                             std::function<void(const CallerReply &)> Then)
    -> void {
  std::vector<std::size_t> Alive;
  for (std::size_t Index = 0; Index < Entries_.size(); ++Index)
    if (Entries_[Index]->Core_)
      Alive.push_back(Index);
  if (Alive.empty())
    return;
  const auto Entry = Alive[randomBelow(Alive.size())];
  const auto Token = ++LastToken_;
  PendingReplies_[Token] = std::move(Then);

  if (!Body.empty())
    Checker_.requestSent(Token, Body, Idempotent);
  callEntry(Entry, [Token, Request = std::move(Request)](
                       EntryCore &Core, Moment Then, EntryOutbox &Out) {
    Core.callerAsked(Then, Token, Request, Out);
  });
}

auto Simulation::sendQuickRequest() -> void {
  QuickRequest Request;
  Request.Service_ = {"check"};
  Request.Idempotent_ = chance(0.6);
  Request.Body_ = "body-" + std::to_string(++LastNumber_);
  Request.Timeout_ = Millis{800};
  sendRequest(Request, Request.Body_, Request.Idempotent_,
              [](const CallerReply &) {});
}

auto Simulation::sendKeyedRequest(const std::string &Key,
                                  const std::string &Body, int RetriesLeft)
    -> void {
  QuickRequest Request;
  Request.Service_ = {"lodge"};
  Request.Body_ = Body;
  Request.Key_ = {Key};
  Request.Timeout_ = Millis{1000};
  sendRequest(Request, Body, false,
              [this, Key, Body, RetriesLeft](const CallerReply &) {
                if (RetriesLeft > 0 && chance(0.5))
                  scheduleAfter(Millis{50}, [this, Key, Body, RetriesLeft] {
                    sendKeyedRequest(Key, Body, RetriesLeft - 1);
                  });
              });
}

auto Simulation::submitJob() -> void {
  SubmitJob Request;
  auto &Job = Request.Declaration_;
  Job.Team_ = {chance(0.5) ? "red" : "blue"};
  auto &Step = Job.Steps_.front();
  Step.LongRunning_ = chance(0.2);
  Step.TaskCount_ = Step.LongRunning_ ? 1 : 1 + randomBelow(5);
  Step.Resources_ = {static_cast<std::int64_t>(500 + 500 * randomBelow(4)),
                     static_cast<std::int64_t>(500 + 500 * randomBelow(6)),
                     chance(0.1) ? 1 : 0};
  Step.RunTime_ = Millis{200 + 400 * static_cast<int>(randomBelow(8))};
  Job.Deadline_ = WallStart + Seconds{300};
  Job.RerunWhenLost_ = chance(0.5);
  Job.Payload_ = Job.RerunWhenLost_ ? "" : "once";
  if (Config_.CrashingTasks_ && chance(0.05)) {
    Job.RerunWhenLost_ = true;
    Job.Payload_ = CrashingPayload;
  }
  if (Services_.enabled() && chance(0.3))
    UnequalServices::moveToSmaller(Job, chance(0.2));
  else if (Services_.enabled())
    UnequalServices::moveToLarger(Job);
  sendRequest(Request, "", true, [this](const CallerReply &Reply) {
    const auto *Submitted = std::get_if<JobReply>(&Reply);
    if (Submitted == nullptr)
      return;
    Jobs_.push_back(Submitted->Job_.Id_);
    // Watchers hold their resources until they are cancelled.
    if (Submitted->Job_.isWatcher())
      scheduleAfter(Millis{12000},
                    [this, Id = Submitted->Job_.Id_] { cancelJob(Id, 20); });
  });
}

auto Simulation::submitUrgentJob() -> void {
  SubmitJob Request;
  auto &Job = Request.Declaration_;
  Job.Team_ = {"red"};
  Job.Urgent_ = true;
  Job.Steps_.front().Resources_ = UrgentJobSize;
  Job.Steps_.front().RunTime_ = Millis{100};
  Job.Deadline_ = WallStart + Seconds{1};
  sendRequest(Request, "", true, [this](const CallerReply &Reply) {
    if (const auto *Submitted = std::get_if<JobReply>(&Reply))
      Checker_.urgentJobAccepted(Now_, Submitted->Job_.Id_);
  });
}

auto Simulation::submitHopelessJob() -> void {
  constexpr Millis Lifetime{6000};
  SubmitJob Request;
  auto &Job = Request.Declaration_;
  Job.Team_ = {"red"};
  Job.Urgent_ = true;
  Job.Service_ = {"without-workers"};
  Job.Steps_.front().Resources_ = UrgentJobSize;
  Job.Deadline_ = WallStart;
  sendRequest(Request, "", true, [=](const CallerReply &Reply) {
    if (const auto *Submitted = std::get_if<JobReply>(&Reply))
      scheduleAfter(Lifetime,
                    [this, Id = Submitted->Job_.Id_] { cancelJob(Id, 20); });
  });
}

auto Simulation::cancelJob(const JobId &Id, int RetriesLeft) -> void {
  sendRequest(CancelJob{Id, false, {}}, "", true,
              [this, Id, RetriesLeft](const CallerReply &Reply) {
                if (!std::holds_alternative<ErrorReply>(Reply))
                  Checker_.jobCancelled(Now_, Id);
                if (std::holds_alternative<ErrorReply>(Reply) &&
                    RetriesLeft > 0)
                  scheduleAfter(Millis{2000}, [this, Id, RetriesLeft] {
                    cancelJob(Id, RetriesLeft - 1);
                  });
              });
}

auto Simulation::generateLoad() -> void {
  if (!Busy_)
    return;
  sendQuickRequest();
  if (chance(0.4)) {
    const auto Name = std::to_string(++LastNumber_);
    sendKeyedRequest("20261130-" + Name, "keyed-" + Name, 3);
  }
  if (chance(0.12))
    submitJob();
  scheduleAfter(Millis{40 + static_cast<int>(randomBelow(80))},
                [this] { generateLoad(); });
}

auto Simulation::setDataCentreOut(const DataCentreName &Name, bool Out)
    -> void {
  const auto ChangeNumber = ++DataCentreChanges_[Name.Value_];
  if (!Out) {
    Checker_.dataCentreReturnRequested(Name);
    ++PendingReturns_[Name.Value_];
  }
  sendRequest(SetDataCentreState{Name, Out}, "", true,
              [this, Name, Out, ChangeNumber](const CallerReply &Reply) {
                const auto *Change = std::get_if<ChangeReply>(&Reply);
                const auto *Error = std::get_if<ErrorReply>(&Reply);
                const auto OutcomeKnown =
                    Error == nullptr ||
                    errorInfo(Error->Kind_).Execution_ == Execution::NotRun;
                if (!Out && OutcomeKnown)
                  --PendingReturns_[Name.Value_];
                // The answer says nothing about the present state if a later
                // change of the same data centre was requested, or if a request
                // to put it back may still take effect.
                if (Change != nullptr && !Out)
                  ReturnRevision_[Name.Value_] =
                      std::max(ReturnRevision_[Name.Value_], Change->Revision_);
                // The same holds if the data centre was put back by a later
                // revision whose answer arrived first.
                if (Change != nullptr && Out &&
                    Change->Revision_ < ReturnRevision_[Name.Value_])
                  return;
                if (Change == nullptr ||
                    DataCentreChanges_[Name.Value_] != ChangeNumber ||
                    PendingReturns_[Name.Value_] > 0)
                  return;
                if (Change->InForce_)
                  Checker_.revisionInForce(Change->Revision_);
                if (Out)
                  Checker_.dataCentreTakenOut(
                      Name, Now_ + (Change->InForce_
                                        ? Micros{0}
                                        : Micros(Change->InForceDelay_)));
              });
}

auto Simulation::applyDocument(Revision ExpectedRevision, int RetriesLeft)
    -> void {
  sendRequest(
      PutDocument{
          {"production"}, makeDocument(++LastNumber_), ExpectedRevision},
      "", true, [this, RetriesLeft](const CallerReply &Reply) {
        const auto *Change = std::get_if<ChangeReply>(&Reply);
        if (Change != nullptr && Change->InForce_)
          Checker_.revisionInForce(Change->Revision_);
        const auto *Error = std::get_if<ErrorReply>(&Reply);
        if (Error == nullptr || RetriesLeft == 0)
          return;
        sendRequest(GetDocument{{"production"}}, "", true,
                    [this, RetriesLeft](const CallerReply &Current) {
                      const auto *Found = std::get_if<DocumentReply>(&Current);
                      if (Found != nullptr)
                        applyDocument(Found->Revision_, RetriesLeft - 1);
                    });
      });
}

auto Simulation::makeDocument(int Version) const -> Document {
  auto Made = simulationDocument(Version);
  if (Config_.PromptCancellations_)
    addQueue(Made);
  return Made;
}

auto Simulation::storedHead() -> EnvironmentHead {
  const auto Found = Store_.apply(Now_, ReadValue{headKey({"production"})});
  return Found.Status_ == StoreStatus::Ok
             ? std::get<EnvironmentHead>(Found.Value_)
             : EnvironmentHead{};
}

auto Simulation::writeDocument() -> void {
  const auto Written = makeDocument(++LastNumber_);
  auto Head = storedHead();
  Head.DocumentRevision_ = ++Head.Revision_;
  Head.DocumentDigest_ = digestText(Written.Text_);
  Store_.apply(Now_, WriteValue{documentKey(Head.DocumentDigest_), Written});
  Store_.apply(Now_, WriteValue{headKey({"production"}), Head});
}

auto Simulation::writeDataCentreState(const DataCentreName &Name, bool Out)
    -> void {
  auto Head = storedHead();
  if (Head.isOut(Name) == Out)
    return;
  ++Head.Revision_;
  ++DataCentreChanges_[Name.Value_];
  auto &AllOut = Head.DataCentresOut_;
  if (Out) {
    AllOut.push_back(Name);
  } else {
    AllOut.erase(std::find(AllOut.begin(), AllOut.end(), Name));
    Checker_.dataCentreReturnRequested(Name);
    ReturnRevision_[Name.Value_] = Head.Revision_;
  }
  Store_.apply(Now_, WriteValue{headKey({"production"}), Head});
}

auto Simulation::continueChangeSeries(TrueTime Until, std::uint32_t Selector,
                                      int Step) -> void {
  constexpr int StepsPerUrgentJob = 4;
  constexpr int StepsPerDataCentreChange = 24;
  if (Now_ >= Until || storedHead().Revision_ == 0)
    return;
  if (Step % StepsPerUrgentJob == 0) {
    if (Config_.HopelessJobs_)
      submitHopelessJob();
    submitUrgentJob();
  }
  const DataCentreName DataCentre{DataCentres[Selector % DataCentres.size()]};
  const auto Variant = Selector / DataCentres.size() % 4;
  const auto ChangesDataCentre = Variant == 2
                                     ? Step % StepsPerDataCentreChange == 1
                                     : Variant == 3 && Step % 2 == 1;
  if (ChangesDataCentre)
    writeDataCentreState(DataCentre, !storedHead().isOut(DataCentre));
  else if (Variant == 1)
    applyDocument(storedHead().DocumentRevision_, 0);
  else
    writeDocument();
  scheduleAfter(ChangeInterval + Millis{randomBelow(ChangeIntervalSpreadMs)},
                [this, Until, Selector, Step] {
                  continueChangeSeries(Until, Selector, Step + 1);
                });
}

auto Simulation::observeCalm() -> void {
  const auto Head = storedHead();
  for (const auto &Each : Head.DataCentresOut_)
    LastOutAt_[Each] = Now_;
  const auto IsStartable = [&](const std::unique_ptr<AgentNode> &Node) {
    if (!Node->Worker_)
      return false;
    const auto &Worker = Node->Worker_->config();
    const auto LastOut = LastOutAt_.find(Worker.DataCentreName_);
    return (LastOut == LastOutAt_.end() ||
            LastOut->second + PropagationTime <= Now_) &&
           Worker.Capacity_.holds(Checker_.allocated(Worker.Name_) +
                                  UrgentJobSize);
  };
  // The owner of one of several shards doesn't see all of a worker's room.
  const auto Startable =
      shardCount() == 1 &&
      std::any_of(Agents_.begin(), Agents_.end(), IsStartable);
  Checker_.observe(Now_, Now_ >= DisturbedUntil_, Startable);
}

auto Simulation::isRunning(std::size_t Entry) const -> bool {
  const auto &Node = *Entries_[Entry];
  return Node.Core_ && !Node.Core_->leaving() && Node.FrozenUntil_ <= Now_;
}

auto Simulation::readsStore(std::size_t Entry) -> bool {
  constexpr std::array<FaultKind, 5> StoreFaults{
      FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::StoreLosesAnswers,
      FaultKind::StoreWritesLate, FaultKind::StoreResends};
  const auto Reached = [&](TrueTime FaultEnd) {
    return FaultEnd == TrueTime{0} || FaultEnd + StoreRecoveryTime <= Now_;
  };
  return Reached(StoreCutUntil_[Entry]) &&
         std::all_of(
             StoreFaults.begin(), StoreFaults.end(),
             [&](FaultKind Each) { return Reached(ActiveUntil_[Each]); });
}

auto Simulation::areLinked(std::size_t One, std::size_t Other) -> bool {
  const auto CutUntil =
      EntriesCutUntil_[{std::min(One, Other), std::max(One, Other)}];
  return Entries_[One]->PeerConnected_[Entries_[Other]->Id_] &&
         Entries_[Other]->PeerConnected_[Entries_[One]->Id_] &&
         (CutUntil == TrueTime{0} || CutUntil + ResendTime <= Now_);
}

auto Simulation::observeConfigurations() -> void {
  for (std::size_t Entry = 0; Entry < Entries_.size(); ++Entry)
    for (std::size_t Peer = 0; Peer < Entries_.size(); ++Peer) {
      if (Peer == Entry)
        continue;
      const auto Comparable = isRunning(Entry) && isRunning(Peer) &&
                              areLinked(Entry, Peer) && readsStore(Peer);
      const auto HeldBy = [&](std::size_t Index) {
        return Comparable
                   ? Entries_[Index]->Core_->configuration().Head_.Revision_
                   : 0;
      };
      if (ConfigurationLag_.observe(Now_, {Entry, Peer}, HeldBy(Entry),
                                    HeldBy(Entry) < HeldBy(Peer)))
        Checker_.addViolation(Entries_[Entry]->Id_.Value_ +
                              " holds an older configuration than " +
                              Entries_[Peer]->Id_.Value_ + " for too long");
    }
}

auto Simulation::injectFault(const Fault &Each) -> void {
  ++Coverage_.FaultCounts_[static_cast<std::size_t>(Each.Kind_)];
  const auto FaultDuration = Millis{Each.DurationMs_};
  const auto Until = Now_ + Micros(FaultDuration);
  if (!leavesProcessesAlone(Each.Kind_))
    DisturbedUntil_ = std::max(DisturbedUntil_, Until + recoveryTime());
  const auto Entry = Each.Selector_ % Entries_.size();
  const auto Agent = Each.Selector_ % Agents_.size();
  const auto Variant =
      Each.Selector_ / static_cast<std::uint32_t>(Entries_.size());
  switch (Each.Kind_) {
  case FaultKind::KillEntry:
    if (Entries_[Entry]->Core_)
      killEntry(Entry);
    scheduleAfter(FaultDuration, [this, Entry] {
      if (!Entries_[Entry]->Core_)
        startEntry(Entry);
    });
    break;
  case FaultKind::WallClockLeap:
    WallClocks_.leap(Entry, Variant);
    scheduleAt(Until, [this, Entry] { WallClocks_.correct(Entry); });
    break;
  case FaultKind::WallClockAtStart:
    if (Entries_[Entry]->Core_)
      killEntry(Entry);
    scheduleAt(Until, [this, Entry, Variant] {
      if (Entries_[Entry]->Core_)
        return;
      WallClocks_.leap(Entry, Variant);
      startEntry(Entry);
    });
    break;
  case FaultKind::FreezeEntry:
    Entries_[Entry]->FrozenUntil_ = Until;
    scheduleAt(Until, [this, Entry] { thawEntry(Entry); });
    break;
  case FaultKind::LeaveEntry:
    callEntry(Entry, [](EntryCore &Core, Moment Then, EntryOutbox &Out) {
      Core.leave(Then, Out);
    });
    break;
  case FaultKind::KillAgent:
    if (Agents_[Agent]->Core_)
      killAgent(Agent);
    scheduleAfter(FaultDuration, [this, Agent] {
      if (!Agents_[Agent]->Core_ && Agents_[Agent]->Worker_)
        startAgent(Agent);
    });
    break;
  case FaultKind::FreezeAgent:
    Agents_[Agent]->FrozenUntil_ = Until;
    scheduleAt(Until, [this, Agent] { thawAgent(Agent); });
    break;
  case FaultKind::LeaveAgent:
    callAgent(Agent, [](AgentCore &Core, Moment Then, AgentOutbox &Out) {
      Core.leave(Then, Out);
    });
    break;
  case FaultKind::KillInstance:
    killInstance(Agent);
    scheduleAfter(FaultDuration, [this, Agent] {
      if (!Agents_[Agent]->Worker_)
        startInstance(Agent);
    });
    break;
  case FaultKind::SilenceToEntry:
  case FaultKind::SilenceToAgent:
    for (const auto &Open : Connections_) {
      if (Open->Agent_ != Agent || Open->Entry_ != Entry)
        continue;
      auto &Silent = Each.Kind_ == FaultKind::SilenceToEntry
                         ? Open->SilentToEntryUntil_
                         : Open->SilentToAgentUntil_;
      Silent = TrueTime::max();
    }
    break;
  case FaultKind::CutAgentFromEntry:
    AgentCutUntil_[{Agent, Entry}] = Until;
    break;
  case FaultKind::CutEntries: {
    const auto Other = (Entry + 1) % Entries_.size();
    EntriesCutUntil_[{std::min(Entry, Other), std::max(Entry, Other)}] = Until;
    break;
  }
  case FaultKind::StoreCutFromEntry:
    StoreCutUntil_[Entry] = Until;
    break;
  case FaultKind::FailingWorker:
    setFailing(Agent, true);
    scheduleAfter(FaultDuration, [this, Agent] { setFailing(Agent, false); });
    break;
  case FaultKind::TakeOutDataCentre:
  case FaultKind::BringBackDataCentre:
    setDataCentreOut({DataCentres[Each.Selector_ % DataCentres.size()]},
                     Each.Kind_ == FaultKind::TakeOutDataCentre);
    break;
  case FaultKind::ApplyDocument:
    applyDocument(0, 3);
    applyDocument(0, 3);
    break;
  case FaultKind::CancelJobs:
    for (std::size_t Index = 0; Index < Jobs_.size(); Index += 2)
      cancelJob(Jobs_[Index], 0);
    break;
  case FaultKind::ChangeSeries:
    continueChangeSeries(Until, Each.Selector_, 0);
    break;
  default:
    ActiveUntil_[Each.Kind_] = Until;
    break;
  }
}

auto Simulation::windDown(int RetriesLeft) -> void {
  for (const auto *Name : DataCentres)
    setDataCentreOut({Name}, false);
  for (const auto &Node : Entries_)
    for (ShardNumber Shard = 0; Node->Core_ && Shard < shardCount(); ++Shard)
      if (const auto *State = Node->Core_->shardState(Shard))
        for (const auto &[Id, Job] : State->jobs())
          if (Job.isWatcher() && !Job.Cancelled_)
            scheduleAfter(Millis{1}, [this, Id = Id] { cancelJob(Id, 3); });
  if (RetriesLeft > 0)
    scheduleAfter(Millis{4000},
                  [this, RetriesLeft] { windDown(RetriesLeft - 1); });
}

auto Simulation::setFailing(std::size_t Agent, bool Value) -> void {
  if (Agents_[Agent]->Worker_)
    Agents_[Agent]->Worker_->setFailing(Value);
}

auto Simulation::startQuietPeriod() -> void {
  Busy_ = false;
  windDown(6);
  for (std::size_t Agent = 0; Agent < Agents_.size(); ++Agent)
    setFailing(Agent, false);
}

auto Simulation::describeTasks(const Job &Each) const -> std::string {
  std::ostringstream Out;
  for (std::size_t Index = 0; Index < Each.Tasks_.size(); ++Index) {
    const auto &Task = Each.Tasks_[Index];
    Out << " [" << Index << ' ' << taskStateText(Task.State_) << " attempt "
        << Task.Attempt_ << " at " << Task.Agent_ << " failures "
        << Task.Failures_ << " of team " << Each.Declaration_.Team_ << ' '
        << Each.Declaration_.Steps_.front().Resources_ << ']';
  }
  return Out.str();
}

auto Simulation::checkFinalState() -> void {

  std::size_t OwnedShards = 0;
  for (const auto &Node : Entries_)
    OwnedShards += Node->Core_->ownedShards();
  if (OwnedShards != shardCount())
    Checker_.addViolation("at the end " + std::to_string(OwnedShards) + " of " +
                          std::to_string(shardCount()) +
                          " shards have an owner");
  for (const auto &Node : Entries_) {
    for (ShardNumber Shard = 0; Shard < shardCount(); ++Shard) {
      const auto *State = Node->Core_->shardState(Shard);
      if (State == nullptr)
        continue;
      for (const auto &[Id, Job] : State->jobs()) {
        const auto Tally = tallyTasks(Job);
        if (Services_.isLost(Job.Declaration_))
          continue;
        const auto Batch = !Job.isWatcher();
        if (Batch && Tally.Pending_ + Tally.Bound_ > 0)
          Checker_.addViolation("at the end job " + Id.Value_ +
                                " has unfinished tasks: " + describeTasks(Job));
      }
    }
  }
}

auto Simulation::checkAcceptedJobs() -> void {
  std::vector<const ShardState *> States;
  for (const auto &Node : Entries_)
    for (ShardNumber Shard = 0; Shard < shardCount(); ++Shard)
      if (const auto *State = Node->Core_->shardState(Shard))
        States.push_back(State);
  const auto Promise = simulationDocument(0).Policy_.JobStatusTime_;
  for (const auto &Id : AcceptedJobs_.findLost(Now_, States, Promise))
    Checker_.addViolation("at the end accepted job " + Id.Value_ +
                          " is not known to an owner");
}

auto Simulation::run() -> std::vector<std::string> {
  const auto ClockRate = [this] {
    return std::uniform_real_distribution<double>(0.992, 1.008)(Generator_);
  };
  for (int Index = 0; Index < Config_.Entries_; ++Index) {
    Entries_.push_back(std::make_unique<EntryNode>());
    Entries_.back()->Id_ = {"entry-" + std::to_string(Index)};
    Entries_.back()->ClockRate_ = ClockRate();
  }
  for (int Index = 0; Index < Config_.Agents_; ++Index) {
    Agents_.push_back(std::make_unique<AgentNode>());
    Agents_.back()->ClockRate_ = ClockRate();
    Agents_.back()->WorkerClockRate_ = ClockRate();
  }
  try {
    for (std::size_t Index = 0; Index < Entries_.size(); ++Index)
      startEntry(Index);
    for (std::size_t Index = 0; Index < Agents_.size(); ++Index)
      startInstance(Index);
    for (std::size_t Index = 0;
         Config_.ChangingCapacity_ && Index < Agents_.size(); ++Index)
      announceWorker(Index);
    std::function<void()> AdvanceWorkers = [&] {
      constexpr Millis Step{50};
      observeCalm();
      observeConfigurations();
      for (const auto &Node : Agents_)
        if (Node->Worker_)
          Node->Worker_->advance(
              std::chrono::duration_cast<Micros>(
                  localTime(Node->WorkerClockRate_).Steady_.time_since_epoch()),
              Step);
      scheduleAfter(Step, AdvanceWorkers);
    };
    AdvanceWorkers();
    applyDocument(0, 3);
    scheduleAfter(Millis{2500}, [this] { generateLoad(); });
    if (Config_.PromptCancellations_)
      scheduleAfter(Millis{2500}, [this] { generatePromptCancellations(); });
    if (Services_.enabled())
      scheduleAt(Micros(Config_.Busy_) / 2, [this] { loseSmallerService(); });
    auto LastFaultEnd = Config_.Busy_;
    for (const auto &Each : Config_.Faults_) {
      scheduleAt(Micros(Millis{Each.StartMs_}),
                 [this, Each] { injectFault(Each); });
      LastFaultEnd =
          std::max(LastFaultEnd, Millis{Each.StartMs_ + Each.DurationMs_});
    }
    scheduleAt(Micros(LastFaultEnd), [this] { startQuietPeriod(); });
    const auto End = Micros(LastFaultEnd + Config_.Quiet_);
    while (!Events_.empty() && Events_.begin()->first.first < End &&
           Checker_.violations().empty()) {
      auto Next = Events_.extract(Events_.begin());
      Now_ = Next.key().first;
      Next.mapped()();
    }
    if (Checker_.violations().empty()) {
      checkFinalState();
      checkAcceptedJobs();
    }
  } catch (const InvariantViolation &Violation) {
    Checker_.addViolation(Violation.Text_);
  }
  Coverage_.TaskStarts_ = Checker_.taskStartCount();
  return Checker_.violations();
}

} // namespace skylark::Fuzz
