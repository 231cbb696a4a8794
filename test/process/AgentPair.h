/// \file
/// Defines two agents in this process, as their processes run them, with
/// workers that don't answer all calls and an owner that waits for nothing.
#pragma once

#include "core/AgentCore.h"
#include "platform/WorkerClient.h"
#include "runtime/Process.h"
#include "test/standin/FaultyWorker.h"

#include <asio/post.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <set>

namespace skylark::ProcessTest {

/// Repeats a call on an Asio context.
class Periodic {
public:
  Periodic(asio::io_context &Context, Millis Interval,
           std::function<void()> Callback)
      : Timer_(Context), Interval_(Interval), Callback_(std::move(Callback)) {
    wait();
  }

private:
  auto wait() -> void {
    Timer_.expires_after(Interval_);
    Timer_.async_wait([this](std::error_code Error) {
      if (Error)
        return;
      Callback_();
      wait();
    });
  }

  asio::steady_timer Timer_;
  Millis Interval_;
  std::function<void()> Callback_;
};

/// An agent as its process runs it, with a connection to one owner.
class Agent {
public:
  using Receiver = std::function<void(const AgentMessage &)>;

  Agent(asio::io_context &Context, const std::string &WorkerAddress,
        Receiver ToOwner)
      : Context_(Context), Http_(Context),
        Client_(Context, Http_, {WorkerAddress, {}, newIncarnation()},
                handlers()),
        Core_(std::in_place, identity()), ToOwner_(std::move(ToOwner)),
        Ticks_(Context, Millis{50}, [this] {
          run([&](AgentOutbox &Out) { Core_->tick(currentMoment(), Out); });
        }) {
    run([&](AgentOutbox &Out) {
      Core_->openSession(currentMoment(), OwnerSession, Out);
    });
  }

  auto send(const EntryMessage &Message) -> void {
    asio::post(Context_, [this, Message] {
      run([&](AgentOutbox &Out) {
        Core_->receive(currentMoment(), OwnerSession, Message, Out);
      });
    });
  }

private:
  static auto identity() -> AgentIdentity {
    AgentIdentity Identity;
    Identity.Agent_ = {"agent"};
    Identity.DataCentre_ = {"hobart"};
    Identity.Capacity_ = {64000, 64000, 0};
    Identity.LongestLease_ = Seconds{10};
    return Identity;
  }

  auto handlers() -> WorkerLinkHandlers {
    WorkerLinkHandlers Handlers;
    Handlers.InventoryReceived_ = [this](const WorkerInventory &Received) {
      run([&](AgentOutbox &Out) {
        Core_->inventoryReceived(currentMoment(), Received, Out);
      });
    };
    Handlers.StartAnswered_ = [this](const TaskId &Task, AttemptNumber Attempt,
                                     StartOutcome Outcome) {
      run([&](AgentOutbox &Out) {
        Core_->startAnswered(currentMoment(), Task, Attempt, Outcome, Out);
      });
    };
    return Handlers;
  }

  auto run(const std::function<void(AgentOutbox &)> &Step) -> void {
    AgentOutbox Out;
    Step(Out);
    for (const auto &Each : Out)
      std::visit([this](const auto &Output) { execute(Output); }, Each);
  }

  auto execute(const SendToEntry &Send) -> void {
    asio::post(Context_,
               [this, Message = Send.Message_] { ToOwner_(Message); });
  }
  auto execute(const StartOnWorker &Start) -> void { Client_.execute(Start); }
  auto execute(const StopOnWorker &Stop) -> void { Client_.execute(Stop); }
  auto execute(const ForgetOnWorker &Forget) -> void {
    Client_.execute(Forget);
  }
  auto execute(const PollWorker &Poll) -> void { Client_.execute(Poll); }
  auto execute(const RestartAgent & /*Restart*/) -> void {
    asio::post(Context_, [this] {
      auto Identity = identity();
      Identity.WorkerStartedAnew_ = true;
      Core_.emplace(std::move(Identity));
      run([&](AgentOutbox &Out) {
        Core_->openSession(currentMoment(), OwnerSession, Out);
      });
    });
  }
  template <typename Other> auto execute(const Other & /*Output*/) -> void {}

  static constexpr SessionNumber OwnerSession = 1;

  asio::io_context &Context_;
  HttpClient Http_;
  Platform::WorkerClient Client_;
  std::optional<AgentCore> Core_;
  Receiver ToOwner_;
  Periodic Ticks_;
};

/// Two workers with their agents, and the owner of all tasks. It binds a task
/// to the other worker as soon as an attempt has ended otherwise than finished.
class AgentPair {
public:
  /// \param StartGrant how long a task may start under one grant.
  AgentPair(asio::io_context &Context, std::uint32_t Seed, Millis StartGrant)
      : StartGrant_(StartGrant),
        Workers_{{{Context, "worker 0", Runs_, 2 * Seed},
                  {Context, "worker 1", Runs_, 2 * Seed + 1}}},
        Agents_{
            {{Context, Workers_[0].address(),
              [this](const AgentMessage &Message) { receive(0, Message); }},
             {Context, Workers_[1].address(),
              [this](const AgentMessage &Message) { receive(1, Message); }}}},
        Repeats_(Context, Millis{500}, [this] { repeatBindings(); }) {}

  auto worker(std::size_t Index) -> StandIn::FaultyWorker & {
    return Workers_[Index];
  }
  auto setFaults(const StandIn::FaultShares &Orders,
                 const StandIn::FaultShares &Polls) -> void {
    for (auto &Each : Workers_)
      Each.setFaults(Orders, Polls);
  }
  auto runs() const -> const StandIn::RunLog & { return Runs_; }
  /// Whether both agents take tasks.
  auto ready() const -> bool { return Ready_.size() == Agents_.size(); }
  auto unfinished() const -> std::size_t { return Bindings_.size(); }
  /// How many calls to start and stop runs have arrived at the workers.
  auto orderCount() const -> int {
    return Workers_[0].orderCount() + Workers_[1].orderCount();
  }
  /// Whether each call to a worker has had its effect.
  auto settled() const -> bool {
    return std::all_of(Workers_.begin(), Workers_.end(),
                       [](const auto &Each) { return Each.lateCount() == 0; });
  }
  /// The highest attempt that any task has needed.
  auto highestAttempt() const -> AttemptNumber { return HighestAttempt_; }

  /// Binds the first attempt of a new task.
  auto submit(std::size_t ToAgent) -> void {
    const TaskId Task{{"job"}, TaskCount_++};
    bind(Task, {ToAgent, 1});
  }

private:
  struct Binding {
    std::size_t Agent_ = 0;
    AttemptNumber Attempt_ = 0;
  };

  auto bind(const TaskId &Task, const Binding &To) -> void {
    Bindings_[Task] = To;
    HighestAttempt_ = std::max(HighestAttempt_, To.Attempt_);
    sendBinding(Task, To);
  }

  auto sendBinding(const TaskId &Task, const Binding &To) -> void {
    BindTask Bind;
    Bind.Sequence_ = ++Sequence_;
    Bind.Epoch_ = 1;
    Bind.Worker_ = Incarnations_[To.Agent_];
    Bind.Task_ = Task;
    Bind.Attempt_ = To.Attempt_;
    Bind.Resources_ = {100, 100, 0};
    Agents_[To.Agent_].send(Bind);
  }

  /// An agent takes some bindings only when they are repeated.
  auto repeatBindings() -> void {
    for (const auto &[Task, To] : Bindings_)
      sendBinding(Task, To);
  }

  auto receive(std::size_t From, const AgentMessage &Message) -> void {
    std::visit([&](const auto &Each) { handle(From, Each); }, Message);
  }

  auto handle(std::size_t From, const Hello &Message) -> void {
    Incarnations_[From] = Message.Worker_;
    ConfigurationUpdate Update;
    Update.Configuration_.Head_.Revision_ = CurrentRevision;
    Update.Configuration_.Document_.DataCentres_ = {{"hobart"}};
    Agents_[From].send(Update);
    Agents_[From].send(ClaimOwnership{0, 1});
  }

  auto handle(std::size_t From, const Heartbeat &Message) -> void {
    if (Message.Revision_ == CurrentRevision)
      Ready_.insert(From);
    HeartbeatAck Ack;
    Ack.Sequence_ = Message.Sequence_;
    Ack.Revision_ = CurrentRevision;
    Ack.AsOf_ = CurrentRevision;
    Ack.StartGrantDuration_ = StartGrant_;
    Ack.RunGrantDuration_ = StartGrant_ + Millis{3000};
    Ack.Shards_ = {0};
    Ack.ViewFresh_ = true;
    Agents_[From].send(Ack);
  }

  auto handle(std::size_t From, const TaskReport &Report) -> void {
    if (!isEnded(Report.Phase_))
      return;
    Agents_[From].send(
        TaskReportAck{Report.Task_, Report.Attempt_, Report.Phase_});
    const auto Found = Bindings_.find(Report.Task_);
    if (Found == Bindings_.end())
      return;
    if (Report.Phase_ == TaskPhase::Finished)
      Bindings_.erase(Found);
    else if (Report.Attempt_ == Found->second.Attempt_)
      bind(Report.Task_, {1 - From, Report.Attempt_ + 1});
  }

  template <typename Other>
  auto handle(std::size_t /*From*/, const Other & /*Message*/) -> void {}

  static constexpr Revision CurrentRevision = 3;

  Millis StartGrant_;
  StandIn::RunLog Runs_;
  std::array<StandIn::FaultyWorker, 2> Workers_;
  std::array<Agent, 2> Agents_;
  std::array<Incarnation, 2> Incarnations_{};
  std::set<std::size_t> Ready_;
  std::map<TaskId, Binding> Bindings_;
  std::uint32_t TaskCount_ = 0;
  std::uint64_t Sequence_ = 0;
  AttemptNumber HighestAttempt_ = 0;
  Periodic Repeats_;
};

} // namespace skylark::ProcessTest
