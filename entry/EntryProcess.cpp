#include "entry/EntryProcess.h"

#include "entry/Metrics.h"
#include "runtime/HttpClient.h"
#include "runtime/HttpServer.h"
#include "runtime/Process.h"
#include "wire/Cbor.h"
#include "wire/Link.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <unordered_map>

namespace skylark {
namespace {

constexpr Millis TickEvery{50};
/// A peer that has sent nothing for this long gets a new connection.
constexpr Millis PeerSilentAfter{3000};
/// Time for the last answers to leave before the process ends.
constexpr Millis FlushTime{300};
const std::string PeerPath = "/peer/";

/// The connection to one other entry. This entry sends on the connection that
/// it opened, and receives on the one that the other entry opened.
struct PeerLink {
  EntryRegistration Registration_;
  std::unique_ptr<LinkClient> Link_;
  SessionNumber Session_ = 0;
  TimePoint LastSeenAt_{};
};

class EntryProcess {
public:
  EntryProcess(const Settings &Settings, const EntryProtocols &Protocols)
      : Settings_(Settings), Core_(identity(Settings)),
        Http_(Threads_.traffic()),
        Store_(Protocols.MakeStore_(Http_, Settings)),
        Links_(Threads_.traffic(), linkHandlers()),
        Callers_(Protocols.MakeCallers_(Threads_.traffic(), Settings,
                                        callerHandlers())) {}

  auto run() -> int {
    Links_.listen(Settings_.Link_.Host_, Settings_.Link_.Port_);
    asio::post(Threads_.traffic(), [this] { Callers_->start(); });
    if (Settings_.Metrics_.Port_ != 0)
      serveMetrics();
    Threads_.every(TickEvery, [this] {
      decideNow([this](Moment Now, EntryOutbox &Out) { Core_.tick(Now, Out); });
      replaceSilentPeers();
    });
    Threads_.onTerminate([this] {
      logEvent("stopping", "told to terminate");
      Stopping_ = true;
      decideNow(
          [this](Moment Now, EntryOutbox &Out) { Core_.leave(Now, Out); });
    });
    Threads_.onReload([] { logEvent("settings-kept", "told to reload"); });
    Threads_.run();
    return 0;
  }

private:
  static auto identity(const Settings &Settings) -> EntryIdentity {
    auto Identity = Settings.Entry_;
    Identity.Incarnation_ = newIncarnation();
    if (Identity.Seed_ == 0)
      Identity.Seed_ = std::random_device{}();
    return Identity;
  }

  /// Runs one decision, on the control thread, and carries out what it asks.
  template <typename Decide> auto decideNow(Decide Decision) -> void {
    EntryOutbox Out;
    Decision(currentMoment(), Out);
    for (auto &Each : Out)
      std::visit([this](auto &One) { this->carryOut(One); }, Each);
  }

  template <typename Decide> auto decide(Decide Decision) -> void {
    asio::post(Threads_.control(),
               [this, Decision = std::move(Decision)]() mutable {
                 decideNow(std::move(Decision));
               });
  }

  // Agents and other entries.

  auto linkHandlers() -> LinkHandlers {
    LinkHandlers Handlers;
    Handlers.Opened_ = [this](SessionNumber Session, const std::string &Path) {
      if (Path.rfind(PeerPath, 0) == 0)
        PeerSessions_[Session] = {Path.substr(PeerPath.size())};
    };
    Handlers.Received_ = [this](SessionNumber Session,
                                const std::string &Bytes) {
      const auto Peer = PeerSessions_.find(Session);
      if (Peer == PeerSessions_.end())
        agentReceived(Session, Bytes);
      else
        peerReceived(Peer->second, Bytes);
    };
    Handlers.Closed_ = [this](SessionNumber Session) {
      if (PeerSessions_.erase(Session) != 0)
        return;
      decide([this, Session](Moment Now, EntryOutbox &Out) {
        Core_.agentDisconnected(Now, Session, Out);
      });
    };
    return Handlers;
  }

  auto agentReceived(SessionNumber Session, const std::string &Bytes) -> void {
    auto Message = decodeAgentMessage(Bytes);
    if (!Message) {
      countRefusal(ErrorKind::MalformedRequest);
      Links_.close(Session);
      decide([this, Session](Moment Now, EntryOutbox &Out) {
        Core_.agentDisconnected(Now, Session, Out);
      });
      return;
    }
    decide([this, Session, Message = std::move(*Message)](Moment Now,
                                                          EntryOutbox &Out) {
      Core_.agentSent(Now, Session, Message, Out);
    });
  }

  auto peerReceived(const EntryId &Peer, const std::string &Bytes) -> void {
    auto Message = decodePeerMessage(Bytes);
    if (!Message)
      return;
    decide([this, Peer, Message = std::move(*Message)](Moment Now,
                                                       EntryOutbox &Out) {
      const auto Known = Peers_.find(Peer);
      if (Known != Peers_.end())
        Known->second.LastSeenAt_ = Now.Steady_;
      Core_.peerSent(Now, Peer, Message, Out);
    });
  }

  auto openPeer(const EntryRegistration &Registration) -> void {
    auto &Peer = Peers_[Registration.Entry_];
    if (Peer.Link_ &&
        Peer.Registration_.PeerAddress_ == Registration.PeerAddress_)
      return;
    if (Peer.Link_)
      Peer.Link_->stop();
    Peer.Registration_ = Registration;
    Peer.LastSeenAt_ = currentMoment().Steady_;
    const auto Id = Registration.Entry_;
    LinkHandlers Handlers;
    Handlers.Opened_ = [this, Id](SessionNumber Session, const std::string &) {
      decide([this, Id, Session](Moment Now, EntryOutbox &Out) {
        Peers_[Id].Session_ = Session;
        Peers_[Id].LastSeenAt_ = Now.Steady_;
        Core_.peerConnected(Now, Id, Out);
      });
    };
    Handlers.Received_ = [](SessionNumber, const std::string &) {};
    Handlers.Closed_ = [this, Id](SessionNumber) {
      decide([this, Id](Moment Now, EntryOutbox &Out) {
        Peers_[Id].Session_ = 0;
        Core_.peerDisconnected(Now, Id, Out);
      });
    };
    Peer.Link_ = std::make_unique<LinkClient>(
        Threads_.traffic(), Registration.PeerAddress_,
        PeerPath + Settings_.Entry_.Entry_.Value_,
        [this] { return ++NextPeerSession_; }, std::move(Handlers));
    Peer.Link_->start();
  }

  auto replaceSilentPeers() -> void {
    const auto Now = currentMoment().Steady_;
    for (auto &[Id, Peer] : Peers_) {
      if (Peer.Session_ == 0 || Peer.LastSeenAt_ + PeerSilentAfter > Now)
        continue;
      Peer.LastSeenAt_ = Now;
      Peer.Link_->replace(Peer.Session_);
    }
  }

  // Callers and operators.

  auto callerHandlers() -> CallerHandlers {
    CallerHandlers Handlers;
    Handlers.Asked_ = [this](CallerRequest Request, ReplySender Send) {
      const auto AskedAt = SteadyClock::now();
      decide([this, Request = std::move(Request), Send = std::move(Send),
              AskedAt](Moment Now, EntryOutbox &Out) mutable {
        const auto Token = ++NextToken_;
        Waiting_[Token] = {std::move(Send), AskedAt};
        Core_.callerAsked(Now, Token, Request, Out);
      });
    };
    Handlers.MetricsAsked_ = [this](std::function<void(std::string)> Send) {
      decide([this, Send = std::move(Send)](Moment, EntryOutbox &) {
        Send(metrics());
      });
    };
    Handlers.HealthAsked_ = [this](std::function<void(bool)> Send) {
      decide([this, Send = std::move(Send)](Moment Now, EntryOutbox &) {
        Send(Core_.healthy(Now));
      });
    };
    Handlers.Stopping_ = [this] { return Stopping_.load(); };
    Handlers.Refused_ = [this](ErrorKind Kind) { countRefusal(Kind); };
    return Handlers;
  }

  auto serveMetrics() -> void {
    HttpServerOptions Options;
    Options.Host_ = Settings_.Metrics_.Host_;
    Options.Port_ = Settings_.Metrics_.Port_;
    Metrics_ = std::make_unique<HttpServer>(
        Threads_.traffic(), Options,
        [this](const HttpServerRequest &, const HttpResponder &Send) {
          decide([this, Send](Moment, EntryOutbox &) {
            HttpServerAnswer Answer;
            Answer.ContentType_ = "text/plain; version=0.0.4";
            Answer.Body_ = metrics();
            Send(std::move(Answer));
          });
        });
    asio::post(Threads_.traffic(), [this] { Metrics_->start(); });
  }

  auto metrics() -> std::string {
    Gauges Present;
    Present.Targets_ = Core_.targetCount();
    Present.Peers_ = Core_.peerCount(currentMoment());
    Present.OwnedShards_ = Core_.ownedShards();
    Present.InFlight_ = Core_.inFlight();
    Present.Revision_ = Core_.configuration().Head_.Revision_;
    auto Values = Core_.counters();
    for (std::size_t Index = 0; Index < Values.Refusals_.size(); ++Index)
      Values.Refusals_[Index] += EarlyRefusals_[Index];
    return renderMetrics(Values, Present) +
           Latency_.render("skylark_answer_seconds");
  }

  auto countRefusal(ErrorKind Kind) -> void {
    ++EarlyRefusals_[static_cast<std::size_t>(Kind)];
  }

  // What the decisions ask for.

  auto carryOut(SendToAgent &Send) -> void {
    Links_.send(Send.Session_, encode(Send.Message_));
  }

  auto carryOut(SendToPeer &Send) -> void {
    const auto Found = Peers_.find(Send.Entry_);
    if (Found != Peers_.end() && Found->second.Session_ != 0)
      Found->second.Link_->send(Found->second.Session_, encode(Send.Message_));
  }

  auto carryOut(AnswerCaller &Answer) -> void {
    const auto Found = Waiting_.find(Answer.Token_);
    if (Found == Waiting_.end())
      return;
    auto Caller = std::move(Found->second);
    Waiting_.erase(Found);
    Latency_.record(std::chrono::duration_cast<Micros>(SteadyClock::now() -
                                                       Caller.AskedAt_));
    asio::post(Threads_.traffic(),
               [Send = std::move(Caller.Send_),
                Reply = std::move(Answer.Reply_)]() mutable {
                 Send(std::move(Reply));
               });
  }

  auto carryOut(const CallStore &Call) -> void {
    asio::post(Threads_.traffic(), [this, Call] {
      Store_->call(Call.Call_, Call.Operation_, [this](StoreResult Result) {
        decide(
            [this, Result = std::move(Result)](Moment Now, EntryOutbox &Out) {
              Core_.storeAnswered(Now, Result, Out);
            });
      });
    });
  }

  auto carryOut(const CloseSession &Close) -> void {
    Links_.close(Close.Session_);
  }

  auto carryOut(const ConnectPeers &Connect) -> void {
    for (const auto &Each : Connect.Peers_)
      openPeer(Each);
  }

  auto carryOut(const LogDecision &Decision) -> void { writeLog(Decision); }

  auto carryOut(const ExitProcess & /*Exit*/) -> void {
    const auto Timer =
        std::make_shared<asio::steady_timer>(Threads_.control(), FlushTime);
    Timer->async_wait([this, Timer](std::error_code) { Threads_.stop(); });
  }

  struct WaitingCaller {
    ReplySender Send_;
    TimePoint AskedAt_{};
  };

  Settings Settings_;
  ProcessThreads Threads_;
  // Used on the control thread alone.
  EntryCore Core_;
  std::unordered_map<CallerToken, WaitingCaller> Waiting_;
  CallerToken NextToken_ = 0;
  std::map<EntryId, PeerLink> Peers_;
  LatencyHistogram Latency_;
  // Used on the traffic thread alone.
  std::map<SessionNumber, EntryId> PeerSessions_;
  // Used on both.
  std::array<std::atomic<std::uint64_t>,
             static_cast<std::size_t>(ErrorKind::Count)>
      EarlyRefusals_{};
  std::atomic<SessionNumber> NextPeerSession_{0};
  std::atomic<bool> Stopping_{false};
  HttpClient Http_;
  std::unique_ptr<StoreTransport> Store_;
  LinkServer Links_;
  std::unique_ptr<CallerServer> Callers_;
  std::unique_ptr<HttpServer> Metrics_;
};

} // namespace

auto runEntry(const Settings &Settings, const EntryProtocols &Protocols)
    -> int {
  startLog(Settings.Entry_.Entry_.Value_);
  logEvent("started", "entry in " + Settings.Entry_.DataCentre_.Value_);
  const auto Status = EntryProcess(Settings, Protocols).run();
  logEvent("stopped", "");
  stopLog();
  return Status;
}

} // namespace skylark
