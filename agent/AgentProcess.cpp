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

constexpr Millis TickEvery{50};
/// How often the store is asked for entries while one is out of reach, and
/// else.
constexpr Millis LookForEntriesEvery{1000};
constexpr Millis LookForEntriesAnyway{20000};
/// An entry that the store doesn't list and that can't be reached is dropped.
constexpr Millis DropEntryAfter{15000};
/// Time for the last messages to leave before the process ends.
constexpr Millis FlushTime{200};

class AgentProcess {
public:
  AgentProcess(const Settings &Settings, const AgentProtocols &Protocols)
      : Settings_(Settings), Incarnation_(newIncarnation()),
        Core_(std::in_place, identity()), Http_(Threads_.traffic()),
        Worker_(Protocols.MakeWorker_(Threads_.traffic(), Http_, Settings,
                                      Incarnation_, workerHandlers())) {
    if (Settings.Store_.Port_ != 0)
      Store_ = Protocols.MakeStore_(Http_, Settings);
  }

  auto run() -> int {
    for (const auto &Entry : Settings_.Entries_)
      connect(Entry.text());
    asio::post(Threads_.traffic(), [this] { Worker_->open(); });
    Threads_.every(TickEvery, [this] { tick(); });
    Threads_.onTerminate([this] {
      logEvent("stopping", "told to terminate");
      AgentOutbox Out;
      Core_->leave(currentMoment(), Out);
      deliver(std::move(Out));
    });
    Threads_.onReload([] { logEvent("settings-kept", "told to reload"); });
    Threads_.run();
    return 0;
  }

private:
  /// The connection to one entry.
  struct EntryLink {
    std::unique_ptr<LinkClient> Link_;
    SessionNumber Session_ = 0;
    TimePoint OpenOrListedAt_{};
  };

  auto identity() const -> AgentIdentity {
    auto Identity = Settings_.Agent_;
    Identity.Incarnation_ = Incarnation_;
    return Identity;
  }

  auto workerHandlers() -> WorkerLinkHandlers {
    WorkerLinkHandlers Handlers;
    Handlers.Listed_ = [this](WorkerInventory Inventory) {
      decide([this, Inventory = std::move(Inventory)](Moment Now,
                                                      AgentOutbox &Out) {
        Core_->inventoryReceived(Now, Inventory, Out);
      });
    };
    Handlers.Announced_ = [this](WorkerAnnouncement Announced) {
      decide([this, Announced = std::move(Announced)](Moment Now,
                                                      AgentOutbox &Out) {
        Core_->announcementReceived(Now, Announced, Out);
      });
    };
    Handlers.StartAnswered_ = [this](const TaskId &Task, AttemptNumber Attempt,
                                     StartOutcome Outcome) {
      decide([this, Task, Attempt, Outcome](Moment Now, AgentOutbox &Out) {
        Core_->startAnswered(Now, Task, Attempt, Outcome, Out);
      });
    };
    return Handlers;
  }

  /// Runs one decision on the control thread and carries out what it asks.
  template <typename Decide> auto decide(Decide Decision) -> void {
    asio::post(Threads_.control(), [this, Decision = std::move(Decision)] {
      AgentOutbox Out;
      Decision(currentMoment(), Out);
      deliver(std::move(Out));
    });
  }

  auto connect(const std::string &Address) -> void {
    auto &Entry = Entries_[Address];
    Entry.OpenOrListedAt_ = currentMoment().Steady_;
    if (Entry.Link_)
      return;
    LinkHandlers Handlers;
    Handlers.Opened_ = [this, Address](SessionNumber Session,
                                       const std::string &) {
      decide([this, Address, Session](Moment Now, AgentOutbox &Out) {
        Entries_[Address].Session_ = Session;
        LinkOf_[Session] = Address;
        logEvent("entry-connected", Address);
        Core_->openSession(Now, Session, Out);
      });
    };
    Handlers.Received_ = [this](SessionNumber Session,
                                const std::string &Bytes) {
      auto Message = decodeEntryMessage(Bytes);
      if (!Message)
        return;
      decide([this, Session, Message = std::move(*Message)](Moment Now,
                                                            AgentOutbox &Out) {
        Core_->receive(Now, Session, Message, Out);
      });
    };
    Handlers.Closed_ = [this](SessionNumber Session) {
      decide([this, Session](Moment, AgentOutbox &) { forget(Session); });
    };
    Entry.Link_ = std::make_unique<LinkClient>(
        Threads_.traffic(), Address, "/agent",
        [this] { return ++NextSession_; }, std::move(Handlers));
    Entry.Link_->start();
  }

  auto forget(SessionNumber Session) -> void {
    const auto Found = LinkOf_.find(Session);
    if (Found == LinkOf_.end())
      return;
    logEvent("entry-lost", Found->second);
    Entries_[Found->second].Session_ = 0;
    LinkOf_.erase(Found);
    Core_->closeSession(currentMoment(), Session);
  }

  auto tick() -> void {
    const auto Now = currentMoment();
    AgentOutbox Out;
    Core_->tick(Now, Out);
    deliver(std::move(Out));
    for (const auto Session : Core_->unresponsiveSessions(Now))
      replace(Session);
    findEntries(Now.Steady_);
  }

  auto replace(SessionNumber Session) -> void {
    const auto Found = LinkOf_.find(Session);
    if (Found == LinkOf_.end())
      return;
    Entries_[Found->second].Link_->replace(Session);
    forget(Session);
  }

  /// Asks the store for entries, often while some are out of reach.
  auto findEntries(TimePoint Now) -> void {
    if (!Store_)
      return;
    auto Missing = Entries_.empty();
    for (auto &[Address, Entry] : Entries_) {
      Missing |= Entry.Session_ == 0;
      if (Entry.Session_ != 0)
        Entry.OpenOrListedAt_ = Now;
    }
    const auto Every = Missing ? LookForEntriesEvery : LookForEntriesAnyway;
    if (LookingForEntries_ || Now < LookedForEntriesAt_ + Every)
      return;
    LookedForEntriesAt_ = Now;
    LookingForEntries_ = true;
    asio::post(Threads_.traffic(), [this] {
      Store_->call(0, ReadEntries{Settings_.Environment_},
                   [this](StoreResult Result) {
                     decide([this, Result = std::move(Result)](Moment Then,
                                                               AgentOutbox &) {
                       entriesFound(Then.Steady_, Result);
                     });
                   });
    });
  }

  auto entriesFound(TimePoint Now, const StoreResult &Result) -> void {
    LookingForEntries_ = false;
    if (Result.Status_ != StoreStatus::Ok)
      return;
    for (const auto &Each : Result.EnvironmentState_.Leases_)
      connect(Each.Registration_.PeerAddress_);
    for (auto Each = Entries_.begin(); Each != Entries_.end();) {
      const auto Gone = Each->second.Session_ == 0 &&
                        Each->second.OpenOrListedAt_ + DropEntryAfter < Now;
      if (Gone)
        Each->second.Link_->stop();
      Each = Gone ? Entries_.erase(Each) : std::next(Each);
    }
  }

  auto deliver(AgentOutbox Out) -> void {
    for (auto &Each : Out)
      std::visit([this](auto &One) { this->carryOut(One); }, Each);
  }

  auto carryOut(SendToEntry &Send) -> void {
    const auto Found = LinkOf_.find(Send.Session_);
    if (Found != LinkOf_.end())
      Entries_[Found->second].Link_->send(Send.Session_, encode(Send.Message_));
  }

  template <typename Order> auto orderWorker(const Order &Wanted) -> void {
    asio::post(Threads_.traffic(), [this, Wanted] { Worker_->order(Wanted); });
  }

  auto carryOut(const StartOnWorker &Start) -> void { orderWorker(Start); }
  auto carryOut(const StopOnWorker &Stop) -> void { orderWorker(Stop); }
  auto carryOut(const ForgetOnWorker &Forget) -> void { orderWorker(Forget); }
  auto carryOut(const PollWorker &Poll) -> void { orderWorker(Poll); }
  auto carryOut(const PaceOnWorker &Pace) -> void { orderWorker(Pace); }

  auto carryOut(CallTarget &Call) -> void {
    HttpCall Post = postOf(Settings_.Target_, "/" + Call.Service_.Value_,
                           std::move(Call.Body_), Call.Timeout_);
    Post.OwnConnection_ = !Call.Idempotent_;
    send(std::move(Post), [this, Request = Call.Request_](HttpResult Answer) {
      TargetResult Result;
      Result.Request_ = Request;
      Result.Status_ = Answer.Status_;
      if (Answer.Whole_)
        Result.Body_ = std::move(Answer.Body_);
      else
        Result.Error_ =
            Answer.NeverSent_ ? ErrorKind::NoTarget : ErrorKind::TargetFailed;
      decide([this, Result = std::move(Result)](Moment Now, AgentOutbox &Out) {
        Core_->targetAnswered(Now, Result, Out);
      });
    });
  }

  static auto postOf(const Address &Where, const std::string &Path,
                     std::string Body, Micros Timeout) -> HttpCall {
    HttpCall Call;
    Call.Method_ = "POST";
    Call.Url_ = "http://" + Where.text() + Path;
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

  auto carryOut(const LogDecision &Decision) -> void { writeLog(Decision); }

  auto carryOut(const ConnectEntries &Connect) -> void {
    // The entries of a fixed list are reached by the addresses in it.
    if (!Store_)
      return;
    for (const auto &Address : Connect.Addresses_)
      connect(Address);
  }

  auto carryOut(const RestartAgent & /*Anew*/) -> void {
    const auto Open = LinkOf_;
    for (const auto &Each : Open)
      replace(Each.first);
    Core_.emplace(identity());
  }

  auto carryOut(const ExitProcess & /*Exit*/) -> void {
    const auto Timer =
        std::make_shared<asio::steady_timer>(Threads_.control(), FlushTime);
    Timer->async_wait([this, Timer](std::error_code) { Threads_.stop(); });
  }

  Settings Settings_;
  Incarnation Incarnation_;
  ProcessThreads Threads_;
  // Used on the control thread alone.
  std::optional<AgentCore> Core_;
  std::map<std::string, EntryLink> Entries_;
  std::map<SessionNumber, std::string> LinkOf_;
  TimePoint LookedForEntriesAt_{};
  bool LookingForEntries_ = false;
  // Used on the traffic thread alone.
  HttpClient Http_;
  std::unique_ptr<WorkerLink> Worker_;
  std::unique_ptr<StoreTransport> Store_;
  // Used on both.
  std::atomic<SessionNumber> NextSession_{0};
};

} // namespace

auto runAgent(const Settings &Settings, const AgentProtocols &Protocols)
    -> int {
  startLog(Settings.Agent_.Agent_.Value_);
  logEvent("started", "agent in " + Settings.Agent_.DataCentre_.Value_);
  const auto Status = AgentProcess(Settings, Protocols).run();
  logEvent("stopped", "");
  stopLog();
  return Status;
}

} // namespace skylark
