#include "test/fuzz/World.h"

#include "core/Assert.h"

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
               "bring-back",        "apply-document",   "cancel-jobs"};
const std::array<const char *, 3> Centres{"hobart", "launceston", "burnie"};
constexpr Millis TickEvery{50};
constexpr Millis StoreTimeout{1000};
/// Clocks start far from nought, each at its own rate.
constexpr Seconds ClockStart{1000};
const WallTime WallStart{Seconds{1796000000}};
const Resources WorkerSize{4000, 8000, 1};

/// A broken invariant ends the run it belongs to.
struct InvariantBroken {
  std::string Text_;
};

auto throwBroken(const std::string &Text) -> void {
  throw InvariantBroken{Text};
}

} // namespace

auto faultName(FaultKind Kind) -> std::string {
  return FaultNames[static_cast<std::size_t>(Kind)];
}

auto operator<<(std::ostream &Out, const Fault &Each) -> std::ostream & {
  return Out << faultName(Each.Kind_) << " at " << Each.AtMs_ << " ms for "
             << Each.LengthMs_ << " ms on " << Each.Who_;
}

auto fuzzDocument(int Version) -> Document {
  Document Result;
  Result.Text_ = "version " + std::to_string(Version);
  for (const auto *Name : Centres)
    Result.DataCentres_.push_back({Name});
  Result.Services_ = {{{"check"}, Millis{1000}}, {{"lodge"}, Millis{1000}}};
  Result.Teams_ = {{{"red"}, {1000000, 1000000, 100}},
                   {{"blue"}, {6000, 1000000, 100}}};
  Result.LargestWorker_ = WorkerSize;
  Result.Policy_.PermitDuration_ = Millis{1500};
  Result.Policy_.TaskLease_ = Millis{3000};
  Result.Policy_.OutageHorizon_ = Millis{15000};
  return Result;
}

struct World::EntryNode {
  std::unique_ptr<EntryCore> Core_;
  EntryId Id_;
  std::uint64_t Life_ = 0;
  double Rate_ = 1.0;
  TrueTime FrozenUntil_{0};
  bool Leaving_ = false;
  std::deque<std::function<void()>> Inbox_;
  std::map<EntryId, bool> PeerOpen_;
  Revision Highest_ = 0;
};

struct World::AgentNode {
  std::unique_ptr<AgentCore> Core_;
  std::unique_ptr<FakeWorker> Worker_;
  Incarnation Incarnation_ = 0;
  std::uint64_t Life_ = 0;
  std::uint64_t WorkerLife_ = 0;
  double Rate_ = 1.0;
  double WorkerRate_ = 1.0;
  TrueTime FrozenUntil_{0};
  bool Leaving_ = false;
  std::deque<std::function<void()>> Inbox_;
  Revision Highest_ = 0;
};

struct World::Connection {
  std::size_t Agent_ = 0;
  std::size_t Entry_ = 0;
  SessionNumber Session_ = 0;
  bool OpenAtAgent_ = true;
  bool OpenAtEntry_ = true;
  TrueTime SilentToEntryUntil_{0};
  TrueTime SilentToAgentUntil_{0};
  TrueTime LastToEntry_{0};
  TrueTime LastToAgent_{0};
};

World::World(WorldPlan Plan)
    : Plan_(std::move(Plan)), Generator_(Plan_.Seed_),
      Checker_(!Plan_.Faults_.empty()) {
  setAssertHandler(throwBroken);
}

World::~World() = default;

// Time and chance.

auto World::at(TrueTime When, std::function<void()> Work) -> void {
  Events_.emplace(std::make_pair(std::max(When, Now_), ++NextEvent_),
                  std::move(Work));
}

auto World::after(Millis Delay, std::function<void()> Work) -> void {
  at(Now_ + Delay, std::move(Work));
}

auto World::delay() -> Micros {
  return Micros{std::uniform_int_distribution<int>(200, 8000)(Generator_)};
}

auto World::chance(double Share) -> bool {
  return std::uniform_real_distribution<double>(0, 1)(Generator_) < Share;
}

auto World::pick(std::size_t Size) -> std::size_t {
  return std::uniform_int_distribution<std::size_t>(0, Size - 1)(Generator_);
}

auto World::momentOf(double Rate) const -> Moment {
  const auto Passed = std::chrono::duration_cast<Duration>(Now_ * Rate);
  return {TimePoint(ClockStart) + Passed,
          WallStart + std::chrono::duration_cast<Millis>(Now_)};
}

// Nodes.

auto World::bornEntry(std::size_t Index) -> void {
  auto &Node = *Entries_[Index];
  EntryIdentity Identity;
  Identity.Entry_ = Node.Id_;
  Identity.Incarnation_ = ++NextIncarnation_;
  Identity.Environment_ = {"production"};
  Identity.DataCentre_ = {Centres[Index % Centres.size()]};
  Identity.ShardCount_ = 4;
  Identity.StoreCallsPerSecond_ = 200;
  Identity.Seed_ = Generator_();
  Node.Core_ = std::make_unique<EntryCore>(Identity);
  Node.Leaving_ = false;
  Node.FrozenUntil_ = TrueTime{0};
  Node.Inbox_.clear();
  Node.PeerOpen_.clear();
  Node.Highest_ = 0;
  tickEntry(Index, ++Node.Life_);
  for (std::size_t Agent = 0; Agent < Agents_.size(); ++Agent)
    connect(Agent, Index);
}

auto World::bornAgent(std::size_t Index) -> void {
  auto &Node = *Agents_[Index];
  AgentIdentity Identity;
  Identity.Agent_ = {"agent-" + std::to_string(Index)};
  Identity.Incarnation_ = ++NextIncarnation_;
  Identity.DataCentre_ = {Centres[Index % Centres.size()]};
  Identity.Rack_ = "rack";
  Identity.Capacity_ = WorkerSize;
  Identity.Limits_ = {4, 16};
  Identity.Services_ = {{"check"}, {"lodge"}};
  Node.Incarnation_ = Identity.Incarnation_;
  Node.Core_ = std::make_unique<AgentCore>(Identity);
  Node.Leaving_ = false;
  Node.FrozenUntil_ = TrueTime{0};
  Node.Inbox_.clear();
  Node.Highest_ = 0;
  tickAgent(Index, ++Node.Life_);
  for (std::size_t Entry = 0; Entry < Entries_.size(); ++Entry)
    connect(Index, Entry);
}

auto World::bornInstance(std::size_t Index) -> void {
  auto &Node = *Agents_[Index];
  WorkerPlan Plan;
  Plan.Name_ = "worker-" + std::to_string(Index) + "." +
               std::to_string(++Node.WorkerLife_);
  Plan.Centre_ = {Centres[Index % Centres.size()]};
  Plan.Capacity_ = WorkerSize;
  Plan.Incarnation_ = ++NextIncarnation_;
  Node.Worker_ = std::make_unique<FakeWorker>(Plan, Checker_);
  bornAgent(Index);
}

auto World::killEntry(std::size_t Index) -> void {
  auto &Node = *Entries_[Index];
  ++Node.Life_;
  Node.Core_.reset();
  for (const auto &Each : Connections_)
    if (Each->Entry_ == Index && Each->OpenAtEntry_)
      dropByEntry(Each);
  for (std::size_t Other = 0; Other < Entries_.size(); ++Other) {
    if (Other == Index || !Entries_[Other]->PeerOpen_[Node.Id_])
      continue;
    Entries_[Other]->PeerOpen_[Node.Id_] = false;
    const auto Id = Node.Id_;
    toEntry(Other, [Id](EntryCore &Core, Moment Then, EntryOutbox &Out) {
      Core.peerDisconnected(Then, Id, Out);
    });
  }
}

auto World::killAgent(std::size_t Index) -> void {
  auto &Node = *Agents_[Index];
  ++Node.Life_;
  Node.Core_.reset();
  for (const auto &Each : Connections_)
    if (Each->Agent_ == Index && Each->OpenAtAgent_)
      dropByAgent(Each);
}

auto World::toEntry(
    std::size_t Index,
    std::function<void(EntryCore &, Moment, EntryOutbox &)> Work) -> void {
  auto &Node = *Entries_[Index];
  if (!Node.Core_)
    return;
  const auto Life = Node.Life_;
  auto Run = [this, Index, Life, Work = std::move(Work)] {
    auto &Each = *Entries_[Index];
    if (!Each.Core_ || Each.Life_ != Life)
      return;
    EntryOutbox Out;
    Work(*Each.Core_, momentOf(Each.Rate_), Out);
    const auto Revision = Each.Core_->configuration().Head_.Revision_;
    if (Revision < Each.Highest_)
      Checker_.broken("revision went down at " + Each.Id_.Value_);
    Each.Highest_ = Revision;
    deliver(Index, Out);
  };
  if (Node.FrozenUntil_ > Now_)
    Node.Inbox_.push_back(std::move(Run));
  else
    Run();
}

auto World::toAgent(
    std::size_t Index,
    std::function<void(AgentCore &, Moment, AgentOutbox &)> Work) -> void {
  auto &Node = *Agents_[Index];
  if (!Node.Core_)
    return;
  const auto Life = Node.Life_;
  auto Run = [this, Index, Life, Work = std::move(Work)] {
    auto &Each = *Agents_[Index];
    if (!Each.Core_ || Each.Life_ != Life)
      return;
    AgentOutbox Out;
    Work(*Each.Core_, momentOf(Each.Rate_), Out);
    const auto Revision = Each.Core_->configuration().Head_.Revision_;
    if (Revision < Each.Highest_)
      Checker_.broken("revision went down at agent");
    Each.Highest_ = Revision;
    deliver(Index, Out);
  };
  if (Node.FrozenUntil_ > Now_)
    Node.Inbox_.push_back(std::move(Run));
  else
    Run();
}

auto World::thawEntry(std::size_t Index) -> void {
  auto Inbox = std::exchange(Entries_[Index]->Inbox_, {});
  for (auto &Each : Inbox)
    Each();
}

auto World::thawAgent(std::size_t Index) -> void {
  auto Inbox = std::exchange(Agents_[Index]->Inbox_, {});
  for (auto &Each : Inbox)
    Each();
}

auto World::tickEntry(std::size_t Index, std::uint64_t Life) -> void {
  auto &Node = *Entries_[Index];
  if (Node.Life_ != Life)
    return;
  if (Node.FrozenUntil_ <= Now_)
    toEntry(Index, [](EntryCore &Core, Moment Then, EntryOutbox &Out) {
      Core.tick(Then, Out);
    });
  after(TickEvery, [this, Index, Life] { tickEntry(Index, Life); });
}

auto World::tickAgent(std::size_t Index, std::uint64_t Life) -> void {
  auto &Node = *Agents_[Index];
  if (Node.Life_ != Life)
    return;
  if (Node.FrozenUntil_ <= Now_ && Node.Core_) {
    toAgent(Index, [](AgentCore &Core, Moment Then, AgentOutbox &Out) {
      Core.tick(Then, Out);
    });
    if (Node.Core_ && Node.Life_ == Life)
      for (const auto Session :
           Node.Core_->unresponsiveSessions(momentOf(Node.Rate_)))
        for (const auto &Each : std::vector(Connections_))
          if (Each->Session_ == Session && Each->OpenAtAgent_)
            dropByAgent(Each);
  }
  after(TickEvery, [this, Index, Life] { tickAgent(Index, Life); });
}

// Connections.

auto World::cut(std::size_t Agent, std::size_t Entry) const -> bool {
  const auto Found = CutUntil_.find({Agent, Entry});
  return Found != CutUntil_.end() && Found->second > Now_;
}

auto World::connect(std::size_t Agent, std::size_t Entry) -> void {
  const auto Retry = [this, Agent, Entry, AgentLife = Agents_[Agent]->Life_] {
    if (Agents_[Agent]->Life_ == AgentLife)
      connect(Agent, Entry);
  };
  for (const auto &Each : Connections_)
    if (Each->Agent_ == Agent && Each->Entry_ == Entry && Each->OpenAtAgent_)
      return;
  if (!Agents_[Agent]->Core_)
    return;
  if (!Entries_[Entry]->Core_ || cut(Agent, Entry)) {
    after(Millis{300}, Retry);
    return;
  }
  auto New = std::make_shared<Connection>();
  New->Agent_ = Agent;
  New->Entry_ = Entry;
  New->Session_ = ++NextSession_;
  Connections_.push_back(New);
  toAgent(Agent, [New](AgentCore &Core, Moment Then, AgentOutbox &Out) {
    if (New->OpenAtAgent_)
      Core.openSession(Then, New->Session_, Out);
  });
}

auto World::dropByAgent(const std::shared_ptr<Connection> &Each) -> void {
  Each->OpenAtAgent_ = false;
  const auto Agent = Each->Agent_;
  const auto Entry = Each->Entry_;
  toAgent(Agent, [Each](AgentCore &Core, Moment Then, AgentOutbox &) {
    Core.closeSession(Then, Each->Session_);
  });
  if (Each->SilentToEntryUntil_ <= Now_ && !cut(Agent, Entry))
    at(std::max(Each->LastToEntry_, Now_ + delay()), [this, Each] {
      if (std::exchange(Each->OpenAtEntry_, false))
        toEntry(Each->Entry_,
                [Each](EntryCore &Core, Moment Then, EntryOutbox &Out) {
                  Core.agentDisconnected(Then, Each->Session_, Out);
                });
    });
  after(Millis{200}, [this, Agent, Entry, Life = Agents_[Agent]->Life_] {
    if (Agents_[Agent]->Life_ == Life)
      connect(Agent, Entry);
  });
}

auto World::dropByEntry(const std::shared_ptr<Connection> &Each) -> void {
  Each->OpenAtEntry_ = false;
  if (Each->SilentToAgentUntil_ > Now_ || cut(Each->Agent_, Each->Entry_))
    return;
  at(std::max(Each->LastToAgent_, Now_ + delay()), [this, Each] {
    if (Each->OpenAtAgent_)
      dropByAgent(Each);
  });
}

auto World::sendTimes(TrueTime &Last) -> std::vector<TrueTime> {
  ++Coverage_.Messages_;
  const auto Active = [&](FaultKind Kind) { return ActiveUntil_[Kind] > Now_; };
  auto When = std::max(Last, Now_ + delay());
  if (Active(FaultKind::Reorder) && chance(0.3))
    When = Now_ + delay() * 40;
  else
    Last = When;
  std::vector<TrueTime> Times{When};
  if (Active(FaultKind::Duplicate) && chance(0.3))
    Times.push_back(When + delay() * 200);
  return Times;
}

// What entries ask for.

auto World::deliver(std::size_t Entry, const EntryOutbox &Out) -> void {
  for (const auto &Each : Out)
    std::visit([&](const auto &One) { carryOut(Entry, One); }, Each);
}

auto World::carryOut(std::size_t Entry, const SendToAgent &Send) -> void {
  for (const auto &Each : Connections_) {
    if (Each->Session_ != Send.Session_ || !Each->OpenAtEntry_)
      continue;
    for (const auto When : sendTimes(Each->LastToAgent_))
      at(When, [this, Each, Message = Send.Message_] {
        if (!Each->OpenAtAgent_ || Each->SilentToAgentUntil_ > Now_ ||
            cut(Each->Agent_, Each->Entry_))
          return;
        toAgent(Each->Agent_, [Each, Message](AgentCore &Core, Moment Then,
                                              AgentOutbox &Out) {
          if (Each->OpenAtAgent_)
            Core.receive(Then, Each->Session_, Message, Out);
        });
      });
  }
  (void)Entry;
}

auto World::carryOut(std::size_t Entry, const SendToPeer &Send) -> void {
  for (std::size_t Other = 0; Other < Entries_.size(); ++Other) {
    if (Entries_[Other]->Id_ != Send.Entry_ ||
        !Entries_[Entry]->PeerOpen_[Send.Entry_] ||
        PeersCutUntil_[{std::min(Entry, Other), std::max(Entry, Other)}] > Now_)
      continue;
    const auto Life = Entries_[Other]->Life_;
    after(Millis{3}, [this, Entry, Other, Life, Message = Send.Message_] {
      if (Entries_[Other]->Life_ != Life)
        return;
      const auto From = Entries_[Entry]->Id_;
      toEntry(Other,
              [From, Message](EntryCore &Core, Moment Then, EntryOutbox &Out) {
                Core.peerSent(Then, From, Message, Out);
              });
    });
  }
}

auto World::carryOut(std::size_t Entry, const ConnectPeers &Connect) -> void {
  for (const auto &Peer : Connect.Peers_) {
    for (std::size_t Other = 0; Other < Entries_.size(); ++Other) {
      if (Entries_[Other]->Id_ != Peer.Entry_ || !Entries_[Other]->Core_)
        continue;
      if (std::exchange(Entries_[Entry]->PeerOpen_[Peer.Entry_], true))
        continue;
      const auto Id = Peer.Entry_;
      after(Millis{5}, [this, Entry, Id] {
        toEntry(Entry, [Id](EntryCore &Core, Moment Then, EntryOutbox &Out) {
          Core.peerConnected(Then, Id, Out);
        });
      });
    }
  }
}

auto World::carryOut(std::size_t /*Entry*/, const AnswerCaller &Answer)
    -> void {
  ++Coverage_.Replies_;
  Checker_.told(Answer.Token_, Answer.Reply_);
  const auto Found = Waiting_.find(Answer.Token_);
  if (Found == Waiting_.end()) {
    Checker_.broken("second answer to one caller");
    return;
  }
  const auto Then = std::move(Found->second);
  Waiting_.erase(Found);

  Then(Answer.Reply_);
}

auto World::carryOut(std::size_t Entry, const CallStore &Call) -> void {
  ++Coverage_.StoreCalls_;
  const auto Active = [&](FaultKind Kind) { return ActiveUntil_[Kind] > Now_; };
  const auto Life = Entries_[Entry]->Life_;
  const auto Answer = [this, Entry, Life](TrueTime When, StoreResult Result) {
    at(When, [this, Entry, Life, Result = std::move(Result)] {
      if (Entries_[Entry]->Life_ != Life)
        return;
      toEntry(Entry, [Result](EntryCore &Core, Moment Then, EntryOutbox &Out) {
        Core.storeAnswered(Then, Result, Out);
      });
    });
  };
  StoreResult Lost;
  Lost.Call_ = Call.Call_;
  const auto GoneAt = Now_ + Micros(StoreTimeout);
  if (Active(FaultKind::StoreDown) || StoreCutUntil_[Entry] > Now_) {
    Answer(GoneAt, Lost);
    return;
  }
  auto TakesEffectAt = Now_ + delay();
  if (Active(FaultKind::StoreSlow))
    TakesEffectAt += delay() * 100;
  const auto Late = Active(FaultKind::StoreWritesLate) && chance(0.4);
  if (Late)
    TakesEffectAt += Micros(StoreTimeout) + delay() * 250;
  const auto LoseAnswer =
      Late || (Active(FaultKind::StoreLosesAnswers) && chance(0.4));
  if (LoseAnswer)
    Answer(GoneAt, Lost);
  at(TakesEffectAt, [this, Call, LoseAnswer, Answer, GoneAt] {
    auto Result = Store_.apply(Now_, Call.Operation_);
    Result.Call_ = Call.Call_;
    if (!LoseAnswer && Now_ + delay() < GoneAt)
      Answer(Now_ + delay(), Result);
    else if (!LoseAnswer)
      Answer(GoneAt, [&] {
        StoreResult Gone;
        Gone.Call_ = Call.Call_;
        return Gone;
      }());
  });
}

auto World::carryOut(std::size_t /*Entry*/, const CloseSession &Close) -> void {
  for (const auto &Each : std::vector(Connections_))
    if (Each->Session_ == Close.Session_ && Each->OpenAtEntry_)
      dropByEntry(Each);
}

auto World::carryOut(std::size_t /*Entry*/, const LogDecision & /*Decision*/)
    -> void {}

auto World::carryOut(std::size_t Entry, const ExitProcess & /*Exit*/) -> void {
  after(Millis{0}, [this, Entry, Life = Entries_[Entry]->Life_] {
    if (Entries_[Entry]->Life_ == Life)
      killEntry(Entry);
  });
  after(Millis{1500}, [this, Entry] {
    if (!Entries_[Entry]->Core_)
      bornEntry(Entry);
  });
}

// What agents ask for.

auto World::deliver(std::size_t Agent, const AgentOutbox &Out) -> void {
  for (const auto &Each : Out)
    std::visit([&](const auto &One) { carryOutAgent(Agent, One); }, Each);
}

auto World::carryOutAgent(std::size_t /*Agent*/, const SendToEntry &Send)
    -> void {
  for (const auto &Each : Connections_) {
    if (Each->Session_ != Send.Session_ || !Each->OpenAtAgent_)
      continue;
    auto Message = Send.Message_;
    auto *Answer = std::get_if<DispatchAnswer>(&Message);
    if (Answer != nullptr && !Answer->Body_.empty() &&
        ActiveUntil_[FaultKind::DamageAnswers] > Now_ && chance(0.3))
      Answer->Body_.pop_back();
    for (const auto When : sendTimes(Each->LastToEntry_))
      at(When, [this, Each, Message] {
        if (!Each->OpenAtEntry_ || Each->SilentToEntryUntil_ > Now_ ||
            cut(Each->Agent_, Each->Entry_))
          return;
        toEntry(Each->Entry_, [Each, Message](EntryCore &Core, Moment Then,
                                              EntryOutbox &Out) {
          if (Each->OpenAtEntry_)
            Core.agentSent(Then, Each->Session_, Message, Out);
        });
      });
  }
}

auto World::onWorker(std::size_t Agent, std::function<void(FakeWorker &)> Work)
    -> void {
  // A call may take long on its way, but not longer than its time limit
  // without the agent being told; the worker may still carry it out.
  auto Takes = delay() / 4;
  if (ActiveUntil_[FaultKind::Reorder] > Now_ && chance(0.2))
    Takes += delay() * 500;
  const auto Life = Agents_[Agent]->WorkerLife_;
  at(Now_ + Takes, [this, Agent, Life, Work = std::move(Work)] {
    if (Agents_[Agent]->WorkerLife_ == Life && Agents_[Agent]->Worker_)
      Work(*Agents_[Agent]->Worker_);
  });
}

auto World::carryOutAgent(std::size_t Agent, const StartOnWorker &Start)
    -> void {
  const auto Number = Agents_[Agent]->Incarnation_;
  const auto Revision = Agents_[Agent]->Core_->configuration().Head_.Revision_;
  onWorker(Agent, [this, Agent, Start, Number, Revision](FakeWorker &Worker) {
    const auto Clock = std::chrono::duration_cast<Micros>(
        momentOf(Agents_[Agent]->WorkerRate_).Steady_.time_since_epoch());
    Worker.start(Now_, Clock, Start, Number, Revision);
  });
}

auto World::carryOutAgent(std::size_t Agent, const StopOnWorker &Stop) -> void {
  onWorker(Agent, [Stop, Number = Agents_[Agent]->Incarnation_](
                      FakeWorker &Worker) { Worker.stop(Stop, Number); });
}

auto World::carryOutAgent(std::size_t Agent, const ForgetOnWorker &Forget)
    -> void {
  onWorker(Agent, [Forget, Number = Agents_[Agent]->Incarnation_](
                      FakeWorker &Worker) { Worker.forget(Forget, Number); });
}

auto World::carryOutAgent(std::size_t Agent, const PollWorker &Poll) -> void {
  onWorker(Agent, [this, Agent, Poll, Number = Agents_[Agent]->Incarnation_,
                   Life = Agents_[Agent]->Life_](FakeWorker &Worker) {
    Worker.renew(Poll, Number);
    const auto Clock = std::chrono::duration_cast<Micros>(
        momentOf(Agents_[Agent]->WorkerRate_).Steady_.time_since_epoch());
    const auto Inventory = Worker.list(Clock);
    at(Now_ + delay() / 4, [this, Agent, Inventory, Life] {
      if (Agents_[Agent]->Life_ != Life)
        return;
      toAgent(Agent,
              [Inventory](AgentCore &Core, Moment Then, AgentOutbox &Out) {
                Core.inventoryReceived(Then, Inventory, Out);
              });
    });
  });
}

auto World::carryOutAgent(std::size_t Agent, const CallTarget &Call) -> void {
  const auto Life = Agents_[Agent]->Life_;
  onWorker(Agent, [this, Agent, Call, Life](FakeWorker &) {
    Checker_.requestRan(Call.Body_);
    const auto Takes = delay() * (chance(0.03) ? 300 : 3);
    TargetResult Result;
    Result.Request_ = Call.Request_;
    Result.Status_ = 200;
    Result.Body_ = Checker::answerTo(Call.Body_);
    at(Now_ + Takes, [this, Agent, Life, Result] {
      if (Agents_[Agent]->Life_ != Life)
        return;
      toAgent(Agent, [Result](AgentCore &Core, Moment Then, AgentOutbox &Out) {
        Core.targetAnswered(Then, Result, Out);
      });
    });
  });
}

auto World::carryOutAgent(std::size_t /*Agent*/,
                          const LogDecision & /*Decision*/) -> void {}

auto World::carryOutAgent(std::size_t /*Agent*/, const PaceOnWorker & /*Pace*/)
    -> void {}

auto World::carryOutAgent(std::size_t /*Agent*/,
                          const ConnectEntries & /*Connect*/) -> void {}

auto World::carryOutAgent(std::size_t Agent, const RestartAgent & /*Anew*/)
    -> void {
  carryOutAgent(Agent, ExitProcess{});
}

auto World::carryOutAgent(std::size_t Agent, const ExitProcess & /*Exit*/)
    -> void {
  after(Millis{20}, [this, Agent, Life = Agents_[Agent]->Life_] {
    if (Agents_[Agent]->Life_ != Life)
      return;
    killAgent(Agent);
    after(Millis{1000}, [this, Agent] {
      if (!Agents_[Agent]->Core_ && Agents_[Agent]->Worker_)
        bornAgent(Agent);
    });
  });
}

// Callers and operators.

auto World::ask(CallerRequest Request, const std::string &Body, bool Idempotent,
                std::function<void(const CallerReply &)> Then) -> void {
  std::vector<std::size_t> Alive;
  for (std::size_t Index = 0; Index < Entries_.size(); ++Index)
    if (Entries_[Index]->Core_)
      Alive.push_back(Index);
  if (Alive.empty())
    return;
  const auto Entry = Alive[pick(Alive.size())];
  const auto Token = ++NextToken_;
  Waiting_[Token] = std::move(Then);

  if (!Body.empty())
    Checker_.asked(Token, Body, Idempotent);
  toEntry(Entry, [Token, Request = std::move(Request)](
                     EntryCore &Core, Moment Then, EntryOutbox &Out) {
    Core.callerAsked(Then, Token, Request, Out);
  });
}

auto World::askQuick() -> void {
  QuickRequest Request;
  Request.Service_ = {"check"};
  Request.Idempotent_ = chance(0.6);
  Request.Body_ = "body-" + std::to_string(++NextBody_);
  Request.Timeout_ = Millis{800};
  ask(Request, Request.Body_, Request.Idempotent_, [](const CallerReply &) {});
}

auto World::askKeyed(const std::string &Key, const std::string &Body, int Left)
    -> void {
  QuickRequest Request;
  Request.Service_ = {"lodge"};
  Request.Body_ = Body;
  Request.Key_ = {Key};
  Request.Timeout_ = Millis{1000};
  ask(Request, Body, false, [this, Key, Body, Left](const CallerReply &) {
    if (Left > 0 && chance(0.5))
      after(Millis{50},
            [this, Key, Body, Left] { askKeyed(Key, Body, Left - 1); });
  });
}

auto World::askJob() -> void {
  SubmitJob Request;
  auto &Job = Request.Declaration_;
  Job.Team_ = {chance(0.5) ? "red" : "blue"};
  auto &Step = Job.Steps_.front();
  Step.LongRunning_ = chance(0.2);
  Step.TaskCount_ = Step.LongRunning_ ? 1 : 1 + pick(5);
  Step.Resources_ = {static_cast<std::int64_t>(500 + 500 * pick(4)),
                     static_cast<std::int64_t>(500 + 500 * pick(6)),
                     chance(0.1) ? 1 : 0};
  Step.RunTime_ = Millis{200 + 400 * static_cast<int>(pick(8))};
  Job.Deadline_ = WallStart + Seconds{300};
  Job.RerunWhenLost_ = chance(0.5);
  Job.Payload_ = Job.RerunWhenLost_ ? "" : "once";
  ask(Request, "", true, [this](const CallerReply &Reply) {
    const auto *Added = std::get_if<JobReply>(&Reply);
    if (Added == nullptr)
      return;
    Jobs_.push_back(Added->Job_.Id_);
    // Watchers hold their room until they are cancelled.
    if (Added->Job_.isWatcher())
      after(Millis{12000}, [this, Id = Added->Job_.Id_] { cancelJob(Id, 20); });
  });
}

auto World::cancelJob(const JobId &Id, int Left) -> void {
  ask(CancelJob{Id, false, {}}, "", true,
      [this, Id, Left](const CallerReply &Reply) {
        if (std::holds_alternative<ErrorReply>(Reply) && Left > 0)
          after(Millis{2000}, [this, Id, Left] { cancelJob(Id, Left - 1); });
      });
}

auto World::callerStep() -> void {
  if (!Busy_)
    return;
  askQuick();
  if (chance(0.4)) {
    const auto Name = std::to_string(++NextBody_);
    askKeyed("20261130-" + Name, "keyed-" + Name, 3);
  }
  if (chance(0.12))
    askJob();
  after(Millis{40 + static_cast<int>(pick(80))}, [this] { callerStep(); });
}

auto World::setOut(const DataCentreName &Name, bool Out) -> void {
  const auto Order = ++DataCentreOrders_[Name.Value_];
  if (!Out) {
    Checker_.dataCentreReturning(Name);
    ++OpenReturns_[Name.Value_];
  }
  ask(SetDataCentre{Name, Out}, "", true,
      [this, Name, Out, Order](const CallerReply &Reply) {
        const auto *Change = std::get_if<ChangeReply>(&Reply);
        const auto *Error = std::get_if<ErrorReply>(&Reply);
        const auto Settled =
            Error == nullptr ||
            errorInfo(Error->Kind_).Execution_ == Execution::NotRun;
        if (!Out && Settled)
          --OpenReturns_[Name.Value_];
        // A later order for the same data centre makes this one say nothing,
        // and so does an order to bring it back that may still take effect.
        if (Change != nullptr && !Out)
          ReturnedBy_[Name.Value_] =
              std::max(ReturnedBy_[Name.Value_], Change->Revision_);
        // The same holds of one that came later, though its answer came first.
        if (Change != nullptr && Out &&
            Change->Revision_ < ReturnedBy_[Name.Value_])
          return;
        if (Change == nullptr || DataCentreOrders_[Name.Value_] != Order ||
            OpenReturns_[Name.Value_] > 0)
          return;
        if (Change->InForce_)
          Checker_.inForce(Change->Revision_);
        if (Out)
          Checker_.dataCentreOut(
              Name, Now_ + (Change->InForce_ ? Micros{0}
                                             : Micros(Change->InForceDelay_)));
      });
}

auto World::applyDocument(Revision Expected, int Left) -> void {
  ask(PutDocument{{"production"}, fuzzDocument(++NextBody_), Expected}, "",
      true, [this, Left](const CallerReply &Reply) {
        const auto *Change = std::get_if<ChangeReply>(&Reply);
        if (Change != nullptr && Change->InForce_)
          Checker_.inForce(Change->Revision_);
        const auto *Error = std::get_if<ErrorReply>(&Reply);
        if (Error == nullptr || Left == 0)
          return;
        ask(GetDocument{{"production"}}, "", true,
            [this, Left](const CallerReply &Present) {
              const auto *Found = std::get_if<DocumentReply>(&Present);
              if (Found != nullptr)
                applyDocument(Found->Revision_, Left - 1);
            });
      });
}

auto World::strike(const Fault &Each) -> void {
  ++Coverage_.Struck_[static_cast<std::size_t>(Each.Kind_)];
  const auto Length = Millis{Each.LengthMs_};
  const auto Until = Now_ + Micros(Length);
  const auto Entry = Each.Who_ % Entries_.size();
  const auto Agent = Each.Who_ % Agents_.size();
  switch (Each.Kind_) {
  case FaultKind::KillEntry:
    if (Entries_[Entry]->Core_)
      killEntry(Entry);
    after(Length, [this, Entry] {
      if (!Entries_[Entry]->Core_)
        bornEntry(Entry);
    });
    break;
  case FaultKind::FreezeEntry:
    Entries_[Entry]->FrozenUntil_ = Until;
    at(Until, [this, Entry] { thawEntry(Entry); });
    break;
  case FaultKind::LeaveEntry:
    toEntry(Entry, [](EntryCore &Core, Moment Then, EntryOutbox &Out) {
      Core.leave(Then, Out);
    });
    break;
  case FaultKind::KillAgent:
    if (Agents_[Agent]->Core_)
      killAgent(Agent);
    after(Length, [this, Agent] {
      if (!Agents_[Agent]->Core_ && Agents_[Agent]->Worker_)
        bornAgent(Agent);
    });
    break;
  case FaultKind::FreezeAgent:
    Agents_[Agent]->FrozenUntil_ = Until;
    at(Until, [this, Agent] { thawAgent(Agent); });
    break;
  case FaultKind::LeaveAgent:
    toAgent(Agent, [](AgentCore &Core, Moment Then, AgentOutbox &Out) {
      Core.leave(Then, Out);
    });
    break;
  case FaultKind::KillInstance:
    if (Agents_[Agent]->Core_)
      killAgent(Agent);
    if (Agents_[Agent]->Worker_)
      Agents_[Agent]->Worker_->die();
    Agents_[Agent]->Worker_.reset();
    ++Agents_[Agent]->WorkerLife_;
    after(Length, [this, Agent] {
      if (!Agents_[Agent]->Worker_)
        bornInstance(Agent);
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
    CutUntil_[{Agent, Entry}] = Until;
    break;
  case FaultKind::CutEntries: {
    const auto Other = (Entry + 1) % Entries_.size();
    PeersCutUntil_[{std::min(Entry, Other), std::max(Entry, Other)}] = Until;
    break;
  }
  case FaultKind::StoreCutOne:
    StoreCutUntil_[Entry] = Until;
    break;
  case FaultKind::FailingWorker:
    setFailing(Agent, true);
    after(Length, [this, Agent] { setFailing(Agent, false); });
    break;
  case FaultKind::TakeOut:
  case FaultKind::BringBack:
    setOut({Centres[Each.Who_ % Centres.size()]},
           Each.Kind_ == FaultKind::TakeOut);
    break;
  case FaultKind::ApplyDocument:
    applyDocument(0, 3);
    applyDocument(0, 3);
    break;
  case FaultKind::CancelJobs:
    for (std::size_t Index = 0; Index < Jobs_.size(); Index += 2)
      ask(CancelJob{Jobs_[Index], false, {}}, "", true,
          [](const CallerReply &) {});
    break;
  default:
    ActiveUntil_[Each.Kind_] = Until;
    break;
  }
}

auto World::bringAllBack(int Left) -> void {
  for (const auto *Name : Centres)
    setOut({Name}, false);
  for (const auto &Node : Entries_)
    for (ShardNumber Shard = 0; Node->Core_ && Shard < 4; ++Shard)
      if (const auto *State = Node->Core_->shardState(Shard))
        for (const auto &[Id, Job] : State->jobs())
          if (Job.isWatcher() && !Job.Cancelled_)
            after(Millis{1}, [this, Id = Id] { cancelJob(Id, 3); });
  if (Left > 0)
    after(Millis{4000}, [this, Left] { bringAllBack(Left - 1); });
}

auto World::setFailing(std::size_t Agent, bool Value) -> void {
  if (Agents_[Agent]->Worker_)
    Agents_[Agent]->Worker_->setFailing(Value);
}

auto World::settleFaults() -> void {
  Busy_ = false;
  bringAllBack(6);
  for (std::size_t Agent = 0; Agent < Agents_.size(); ++Agent)
    setFailing(Agent, false);
}

auto World::describeRest(const Job &Each) const -> std::string {
  std::ostringstream Out;
  for (std::size_t Index = 0; Index < Each.Tasks_.size(); ++Index) {
    const auto &Task = Each.Tasks_[Index];
    Out << " [" << Index << ' ' << taskStateText(Task.State_) << " attempt "
        << Task.Attempt_ << " at " << Task.Agent_ << " failures "
        << Task.Failures_ << " of " << Each.Declaration_.Team_ << ' '
        << Each.Declaration_.Steps_.front().Resources_ << ']';
  }
  return Out.str();
}

auto World::checkRest() -> void {

  std::size_t Owned = 0;
  for (const auto &Node : Entries_)
    Owned += Node->Core_->ownedShards();
  if (Owned != 4)
    Checker_.broken("at rest " + std::to_string(Owned) +
                    " of 4 shards have an owner");
  for (const auto &Node : Entries_) {
    for (ShardNumber Shard = 0; Shard < 4; ++Shard) {
      const auto *State = Node->Core_->shardState(Shard);
      if (State == nullptr)
        continue;
      for (const auto &[Id, Job] : State->jobs()) {
        const auto Tally = tallyTasks(Job);
        const auto Batch = !Job.isWatcher();
        if (Batch && Tally.Pending_ + Tally.Bound_ > 0)
          Checker_.broken("at rest job " + Id.Value_ +
                          " is not over: " + describeRest(Job));
      }
    }
  }
}

auto World::run() -> std::vector<std::string> {
  const auto Rate = [this] {
    return std::uniform_real_distribution<double>(0.992, 1.008)(Generator_);
  };
  for (int Index = 0; Index < Plan_.Entries_; ++Index) {
    Entries_.push_back(std::make_unique<EntryNode>());
    Entries_.back()->Id_ = {"entry-" + std::to_string(Index)};
    Entries_.back()->Rate_ = Rate();
  }
  for (int Index = 0; Index < Plan_.Agents_; ++Index) {
    Agents_.push_back(std::make_unique<AgentNode>());
    Agents_.back()->Rate_ = Rate();
    Agents_.back()->WorkerRate_ = Rate();
  }
  try {
    for (std::size_t Index = 0; Index < Entries_.size(); ++Index)
      bornEntry(Index);
    for (std::size_t Index = 0; Index < Agents_.size(); ++Index)
      bornInstance(Index);
    std::function<void()> StepWorkers = [&] {
      constexpr Millis Step{50};
      for (const auto &Node : Agents_)
        if (Node->Worker_)
          Node->Worker_->step(
              std::chrono::duration_cast<Micros>(
                  momentOf(Node->WorkerRate_).Steady_.time_since_epoch()),
              Step);
      after(Step, StepWorkers);
    };
    StepWorkers();
    applyDocument(0, 3);
    after(Millis{2500}, [this] { callerStep(); });
    auto LastEnd = Plan_.Busy_;
    for (const auto &Each : Plan_.Faults_) {
      at(Micros(Millis{Each.AtMs_}), [this, Each] { strike(Each); });
      LastEnd = std::max(LastEnd, Millis{Each.AtMs_ + Each.LengthMs_});
    }
    at(Micros(LastEnd), [this] { settleFaults(); });
    const auto End = Micros(LastEnd + Plan_.Quiet_);
    while (!Events_.empty() && Events_.begin()->first.first < End &&
           Checker_.violations().empty()) {
      auto Next = Events_.extract(Events_.begin());
      Now_ = Next.key().first;
      Next.mapped()();
    }
    if (Checker_.violations().empty())
      checkRest();
  } catch (const InvariantBroken &Broken) {
    Checker_.broken(Broken.Text_);
  }
  Coverage_.Starts_ = Checker_.starts();
  return Checker_.violations();
}

} // namespace skylark::Fuzz
