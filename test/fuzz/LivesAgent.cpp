#include "test/fuzz/LivesAgent.h"

#include "platform/InventoryParser.h"

namespace skylark::Fuzz {
namespace {

constexpr Micros TickInterval{Millis{50}};
constexpr Micros HeartbeatInterval{Millis{500}};
constexpr Micros LongestLateness{Seconds{4}};
constexpr Micros ThreadDelay{Millis{1}};
constexpr Micros LinkDelay{Millis{5}};
constexpr Micros ReconnectDelay{Millis{30}};
constexpr std::uint32_t PacedPercent = 20;
constexpr Incarnation FirstToken = 100;

} // namespace

LivesAgent::LivesAgent(VirtualTime &Time, RunLog &Log, std::string Name,
                       Receiver ToOwner)
    : Time_(Time), Log_(Log), Name_(std::move(Name)),
      ToOwner_(std::move(ToOwner)), Worker_(Time, Log, Name_),
      Client_(Traffic_, Connections_, {"worker:1", {}, FirstToken}, handlers()),
      Core_(std::in_place, identity()), Control_(Time, ThreadDelay),
      Orders_(Time, ThreadDelay), FromOwner_(Time, LinkDelay),
      ToOwnerChannel_(Time, LinkDelay) {
  openSession();
  tick();
  beat();
}

auto LivesAgent::identity() -> AgentIdentity {
  AgentIdentity Identity;
  Identity.Agent_ = {"agent"};
  Identity.DataCentre_ = {"hobart"};
  Identity.LongestLease_ = Seconds{10};
  Identity.LongestStop_ = Millis{150};
  Identity.WorkerAnnounces_ = true;
  return Identity;
}

auto LivesAgent::handlers() -> WorkerLinkHandlers {
  WorkerLinkHandlers Handlers;
  Handlers.InventoryReceived_ = [this](const WorkerInventory &Received) {
    post([this, Received](AgentOutbox &Out) {
      Core_->inventoryReceived(moment(), Received, Out);
    });
  };
  Handlers.AnnouncementReceived_ = [this](const WorkerAnnouncement &Received) {
    post([this, Received](AgentOutbox &Out) {
      Core_->announcementReceived(moment(), Received, Out);
    });
  };
  Handlers.StartAnswered_ = [this](const TaskId &Task, AttemptNumber Attempt,
                                   StartOutcome Outcome) {
    post([this, Task, Attempt, Outcome](AgentOutbox &Out) {
      Core_->startAnswered(moment(), Task, Attempt, Outcome, Out);
    });
  };
  Handlers.StopAnswered_ = [this](const TaskId &Task, AttemptNumber Attempt) {
    post([this, Task, Attempt](AgentOutbox &Out) {
      Core_->stopAnswered(moment(), Task, Attempt, Out);
    });
  };
  return Handlers;
}

auto LivesAgent::moment() const -> Moment {
  return {TimePoint(Seconds{1000}) + Time_.now(), WallTime(Seconds{1000})};
}

auto LivesAgent::post(std::function<void(AgentOutbox &)> Step) -> void {
  Control_.post([this, Step = std::move(Step)] { run(Step); });
}

auto LivesAgent::run(const std::function<void(AgentOutbox &)> &Step) -> void {
  AgentOutbox Out;
  Step(Out);
  for (const auto &Each : Out)
    std::visit([this](const auto &Output) { execute(Output); }, Each);
}

auto LivesAgent::tick() -> void {
  post([this](AgentOutbox &Out) { Core_->tick(moment(), Out); });
  Time_.after(TickInterval, [this] { tick(); });
}

// The worker.

auto LivesAgent::crashWorker(Micros DownFor) -> void {
  if (!Worker_.isUp())
    return;
  Worker_.crash();
  Connections_.workerCrashed();
  Time_.after(DownFor, [this] { Worker_.begin(); });
}

auto LivesAgent::beat() -> void {
  if (Worker_.isUp()) {
    const auto IsLate = Time_.chance(LateHeartbeatPercent_);
    Time_.after(Time_.draw(Micros{0}, IsLate ? LongestLateness : LinkDelay),
                [this, Body = Worker_.heartbeat()] {
                  Client_.heartbeatReceived("/Instances.Heartbeat/i-1", Body);
                });
  }
  Time_.after(HeartbeatInterval, [this] { beat(); });
}

// The owner.

auto LivesAgent::openSession() -> void {
  if (Session_ != 0)
    return;
  if (Time_.now() < CutUntil_) {
    Time_.after(CutUntil_ - Time_.now(), [this] { openSession(); });
    return;
  }
  Session_ = ++LastSession_;
  post([this, Session = Session_](AgentOutbox &Out) {
    Core_->openSession(moment(), Session, Out);
  });
}

auto LivesAgent::cutOwner(Micros Duration, bool Silently) -> void {
  CutUntil_ = std::max(CutUntil_, Time_.now() + Duration);
  const auto Close = [this, Session = Session_] {
    if (Session_ != Session || Session == 0)
      return;
    Session_ = 0;
    post([this, Session](AgentOutbox &) {
      Core_->closeSession(moment(), Session);
    });
    openSession();
  };
  Time_.after(Silently ? Duration : Micros{0}, Close);
}

auto LivesAgent::send(SessionNumber Session, const EntryMessage &Message)
    -> void {
  FromOwner_.post([this, Session, Message] {
    if (Session != Session_ || Time_.now() < CutUntil_)
      return;
    post([this, Session, Message](AgentOutbox &Out) {
      Core_->receive(moment(), Session, Message, Out);
    });
  });
}

auto LivesAgent::execute(const SendToEntry &Send) -> void {
  if (const auto *Report = std::get_if<TaskReport>(&Send.Message_))
    checkReport(*Report);
  ToOwnerChannel_.post([this, Send] {
    if (Send.Session_ == Session_ && Time_.now() >= CutUntil_)
      ToOwner_(Send.Session_, Send.Message_);
  });
}

auto LivesAgent::execute(const RestartAgent & /*Restart*/) -> void {
  auto Identity = identity();
  Identity.WorkerStartedAnew_ = true;
  Core_.emplace(std::move(Identity));
  Session_ = 0;
  Time_.after(ReconnectDelay, [this] { openSession(); });
}

template <typename Command>
auto LivesAgent::execute(const Command &Each) -> void {
  if constexpr (std::is_same_v<Command, StartOnWorker> ||
                std::is_same_v<Command, StopOnWorker> ||
                std::is_same_v<Command, ForgetOnWorker> ||
                std::is_same_v<Command, PollWorker> ||
                std::is_same_v<Command, PaceOnWorker>)
    Orders_.post([this, Each] { Client_.execute(Each); });
  // The state machine paces best-effort tasks only.
  if constexpr (std::is_same_v<Command, StartOnWorker>)
    if (Time_.chance(PacedPercent))
      execute(PaceOnWorker{Each.Bind_.Task_, Each.Bind_.Attempt_, 50});
}

auto LivesAgent::checkReport(const TaskReport &Report) -> void {
  if (!isEnded(Report.Phase_) || Report.Phase_ == TaskPhase::Finished)
    return;
  const auto Task = Platform::taskName(Report.Task_);
  if (Worker_.hasDone(Task, Report.Attempt_))
    Log_.violate(Task + ", run " + std::to_string(Report.Attempt_) +
                 ", is done at " + Name_ + " but reported " +
                 std::string(taskPhaseText(Report.Phase_)));
}

} // namespace skylark::Fuzz
