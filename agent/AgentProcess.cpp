#include "agent/AgentProcess.h"

#include "runtime/Process.h"
#include "wire/Cbor.h"
#include "wire/Link.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <optional>

namespace skylark {
namespace {

constexpr Millis TickInterval{50};
/// Intervals of reading the list of entries from the store: while an entry is
/// disconnected or none is known, and otherwise.
constexpr Millis DisconnectedDiscoveryInterval{1000};
constexpr Millis ConnectedDiscoveryInterval{20000};
/// An entry that has been neither connected nor listed in the store for this
/// long is forgotten.
constexpr Millis UnreachableEntryTimeout{15000};
/// Time for sending the last messages before the process exits.
constexpr Millis ShutdownFlushDelay{200};

class AgentProcess {
public:
  AgentProcess(const Settings &Settings, const AgentProtocols &Protocols)
      : Settings_(Settings), Incarnation_(newIncarnation()),
        LongestStop_(Protocols.LongestStop_(Settings)),
        Core_(std::in_place, identity()), Http_(Threads_.traffic()),
        Worker_(Protocols.MakeWorker_(Threads_.traffic(), Http_, Settings,
                                      Incarnation_, workerHandlers())) {
    if (Settings.Store_.Port_ != 0)
      Store_ = Protocols.MakeStore_(Http_, Settings);
  }

  auto run() -> int {
    for (const auto &Entry : Settings_.Entries_)
      connect(Entry.text());
    asio::post(Threads_.traffic(), [this] { Worker_->listen(); });
    Threads_.runPeriodically(TickInterval, [this] { tick(); });
    Threads_.onTerminate([this] {
      logEvent("stopping", "received a signal to terminate");
      AgentOutbox Out;
      Core_->leave(currentMoment(), Out);
      performAll(std::move(Out));
    });
    Threads_.onReload([] {
      logEvent(
          "settings-kept",
          "received a signal to reload; settings are read only at startup");
    });
    Threads_.run();
    return 0;
  }

private:
  /// The connection to one entry.
  struct EntryLink {
    std::unique_ptr<LinkClient> Link_;
    SessionNumber Session_ = 0;
    /// When the entry was last connected or listed in the store.
    TimePoint LastSeenAt_{};
  };

  auto identity() const -> AgentIdentity {
    auto Identity = Settings_.Agent_;
    Identity.Incarnation_ = Incarnation_;
    Identity.LongestStop_ = LongestStop_;
    return Identity;
  }

  auto workerHandlers() -> WorkerLinkHandlers {
    WorkerLinkHandlers Handlers;
    Handlers.InventoryReceived_ = [this](WorkerInventory Inventory) {
      postEvent([this, Inventory = std::move(Inventory)](Moment Now,
                                                         AgentOutbox &Out) {
        Core_->inventoryReceived(Now, Inventory, Out);
      });
    };
    Handlers.AnnouncementReceived_ = [this](WorkerAnnouncement Announcement) {
      postEvent([this, Announcement = std::move(Announcement)](
                    Moment Now, AgentOutbox &Out) {
        Core_->announcementReceived(Now, Announcement, Out);
      });
    };
    Handlers.StartAnswered_ = [this](const TaskId &Task, AttemptNumber Attempt,
                                     StartOutcome Outcome) {
      postEvent([this, Task, Attempt, Outcome](Moment Now, AgentOutbox &Out) {
        Core_->startAnswered(Now, Task, Attempt, Outcome, Out);
      });
    };
    Handlers.StopAnswered_ = [this](const TaskId &Task, AttemptNumber Attempt) {
      postEvent([this, Task, Attempt](Moment Now, AgentOutbox &Out) {
        Core_->stopAnswered(Now, Task, Attempt, Out);
      });
    };
    return Handlers;
  }

  /// Passes one event to the core, on the control thread, and performs the
  /// resulting actions. May be called from any thread.
  template <typename EventHandler> auto postEvent(EventHandler Event) -> void {
    asio::post(Threads_.control(), [this, Event = std::move(Event)] {
      AgentOutbox Out;
      Event(currentMoment(), Out);
      performAll(std::move(Out));
    });
  }

  auto connect(const std::string &Address) -> void {
    auto &Entry = Entries_[Address];
    Entry.LastSeenAt_ = currentMoment().Steady_;
    if (Entry.Link_)
      return;
    LinkHandlers Handlers;
    Handlers.Opened_ = [this, Address](SessionNumber Session,
                                       const std::string &) {
      postEvent([this, Address, Session](Moment Now, AgentOutbox &Out) {
        Entries_[Address].Session_ = Session;
        AddressBySession_[Session] = Address;
        logEvent("entry-connected", Address);
        Core_->openSession(Now, Session, Out);
      });
    };
    Handlers.Received_ = [this](SessionNumber Session,
                                const std::string &Bytes) {
      auto Message = decodeEntryMessage(Bytes);
      if (!Message)
        return;
      postEvent([this, Session,
                 Message = std::move(*Message)](Moment Now, AgentOutbox &Out) {
        Core_->receive(Now, Session, Message, Out);
      });
    };
    Handlers.Closed_ = [this](SessionNumber Session, LinkEnd) {
      postEvent(
          [this, Session](Moment, AgentOutbox &) { dropSession(Session); });
    };
    Entry.Link_ = std::make_unique<LinkClient>(
        Threads_.traffic(), Address, "/agent",
        [this] { return ++NextSession_; }, std::move(Handlers));
    Entry.Link_->start();
  }

  auto dropSession(SessionNumber Session) -> void {
    const auto Found = AddressBySession_.find(Session);
    if (Found == AddressBySession_.end())
      return;
    logEvent("entry-lost", Found->second);
    Entries_[Found->second].Session_ = 0;
    AddressBySession_.erase(Found);
    Core_->closeSession(currentMoment(), Session);
  }

  auto tick() -> void {
    const auto Now = currentMoment();
    AgentOutbox Out;
    Core_->tick(Now, Out);
    performAll(std::move(Out));
    for (const auto Session : Core_->unresponsiveSessions(Now))
      dropAndReconnect(Session);
    discoverEntries(Now.Steady_);
  }

  auto dropAndReconnect(SessionNumber Session) -> void {
    const auto Found = AddressBySession_.find(Session);
    if (Found == AddressBySession_.end())
      return;
    Entries_[Found->second].Link_->dropAndReconnect(Session);
    dropSession(Session);
  }

  /// Reads the list of entries from the store if the interval has passed.
  auto discoverEntries(TimePoint Now) -> void {
    if (!Store_)
      return;
    auto AnyDisconnected = Entries_.empty();
    for (auto &[Address, Entry] : Entries_) {
      AnyDisconnected |= Entry.Session_ == 0;
      if (Entry.Session_ != 0)
        Entry.LastSeenAt_ = Now;
    }
    const auto Interval = AnyDisconnected ? DisconnectedDiscoveryInterval
                                          : ConnectedDiscoveryInterval;
    if (DiscoveryInProgress_ || Now < LastDiscoveryAt_ + Interval)
      return;
    LastDiscoveryAt_ = Now;
    DiscoveryInProgress_ = true;
    asio::post(Threads_.traffic(), [this] {
      Store_->call(0, ReadEntries{Settings_.Environment_},
                   [this](StoreResult Result) {
                     postEvent([this, Result = std::move(Result)](
                                   Moment AnswerTime, AgentOutbox &) {
                       entriesDiscovered(AnswerTime.Steady_, Result);
                     });
                   });
    });
  }

  auto entriesDiscovered(TimePoint Now, const StoreResult &Result) -> void {
    DiscoveryInProgress_ = false;
    if (Result.Status_ != StoreStatus::Ok)
      return;
    for (const auto &Each : Result.EnvironmentState_.Leases_)
      connect(Each.Registration_.PeerAddress_);
    for (auto Each = Entries_.begin(); Each != Entries_.end();) {
      const auto Expired =
          Each->second.Session_ == 0 &&
          Each->second.LastSeenAt_ + UnreachableEntryTimeout < Now;
      if (Expired)
        Each->second.Link_->stop();
      Each = Expired ? Entries_.erase(Each) : std::next(Each);
    }
  }

  auto performAll(AgentOutbox Out) -> void {
    for (auto &Each : Out)
      std::visit([this](auto &Action) { this->perform(Action); }, Each);
  }

  auto perform(SendToEntry &Send) -> void {
    const auto Found = AddressBySession_.find(Send.Session_);
    if (Found != AddressBySession_.end())
      Entries_[Found->second].Link_->send(Send.Session_, encode(Send.Message_));
  }

  template <typename Command>
  auto sendToWorker(const Command &WorkerCommand) -> void {
    asio::post(Threads_.traffic(),
               [this, WorkerCommand] { Worker_->execute(WorkerCommand); });
  }

  auto perform(const StartOnWorker &Start) -> void { sendToWorker(Start); }
  auto perform(const StopOnWorker &Stop) -> void { sendToWorker(Stop); }
  auto perform(const ForgetOnWorker &Forget) -> void { sendToWorker(Forget); }
  auto perform(const PollWorker &Poll) -> void { sendToWorker(Poll); }
  auto perform(const PaceOnWorker &Pace) -> void { sendToWorker(Pace); }

  auto perform(CallTarget &Call) -> void {
    HttpCall Post = makePost(Settings_.Target_, "/" + Call.Service_.Value_,
                             std::move(Call.Body_), Call.Timeout_);
    Post.DedicatedConnection_ = !Call.Idempotent_;
    send(std::move(Post), [this, Request = Call.Request_](HttpResult Answer) {
      TargetResult Result;
      Result.Request_ = Request;
      Result.Status_ = Answer.Status_;
      if (Answer.Complete_)
        Result.Body_ = std::move(Answer.Body_);
      else
        Result.Error_ =
            Answer.NeverSent_ ? ErrorKind::NoTarget : ErrorKind::TargetFailed;
      postEvent(
          [this, Result = std::move(Result)](Moment Now, AgentOutbox &Out) {
            Core_->targetAnswered(Now, Result, Out);
          });
    });
  }

  static auto makePost(const Address &Server, const std::string &Path,
                       std::string Body, Micros Timeout) -> HttpCall {
    HttpCall Call;
    Call.Method_ = "POST";
    Call.Url_ = "http://" + Server.text() + Path;
    Call.Body_ = std::move(Body);
    Call.Timeout_ = Timeout;
    return Call;
  }

  auto send(HttpCall Call, std::function<void(HttpResult)> Done) -> void {
    asio::post(Threads_.traffic(), [this, Call = std::move(Call),
                                    Done = std::move(Done)]() mutable {
      Http_.call(std::move(Call), std::move(Done));
    });
  }

  auto perform(const LogDecision &Event) -> void { writeLog(Event); }

  auto perform(const ConnectEntries &Connect) -> void {
    // Without a store, the settings list the entries by their addresses.
    if (!Store_)
      return;
    for (const auto &Address : Connect.Addresses_)
      connect(Address);
  }

  auto perform(const RestartAgent & /*Restart*/) -> void {
    const auto OpenSessions = AddressBySession_;
    for (const auto &Each : OpenSessions)
      dropAndReconnect(Each.first);
    auto Identity = identity();
    Identity.WorkerStartedAnew_ = true;
    Core_.emplace(std::move(Identity));
  }

  auto perform(const ExitProcess & /*Exit*/) -> void {
    const auto Timer = std::make_shared<asio::steady_timer>(Threads_.control(),
                                                            ShutdownFlushDelay);
    Timer->async_wait([this, Timer](std::error_code) { Threads_.stop(); });
  }

  Settings Settings_;
  Incarnation Incarnation_;
  Millis LongestStop_;
  ProcessThreads Threads_;
  // Used on the control thread only.
  std::optional<AgentCore> Core_;
  std::map<std::string, EntryLink> Entries_;
  std::map<SessionNumber, std::string> AddressBySession_;
  TimePoint LastDiscoveryAt_{};
  bool DiscoveryInProgress_ = false;
  // Used on the traffic thread only.
  HttpClient Http_;
  std::unique_ptr<WorkerLink> Worker_;
  std::unique_ptr<StoreTransport> Store_;
  // Used on both threads.
  std::atomic<SessionNumber> NextSession_{0};
};

} // namespace

auto runAgent(const Settings &Settings, const AgentProtocols &Protocols)
    -> int {
  startLog(Settings.Agent_.Agent_.Value_);
  logEvent("started", "agent in " + Settings.Agent_.DataCentre_.Value_);
  const auto Status = AgentProcess(Settings, Protocols).run();
  logEvent("stopped", "");
  flushLog();
  return Status;
}

} // namespace skylark
