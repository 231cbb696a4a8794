#include "entry/EntryProcess.h"

#include "core/RequestKind.h"
#include "entry/Metrics.h"
#include "entry/PeerLinkMonitor.h"
#include "runtime/DescriptorLimit.h"
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

constexpr Millis TickInterval{50};
/// Time for sending the last replies before the process exits.
constexpr Millis ShutdownFlushDelay{300};
/// Descriptors for files and the connections to peers, agents and the store,
/// beside those of callers.
constexpr std::size_t OwnDescriptors = 700;
const std::string PeerPathPrefix = "/peer/";

/// The outgoing connection to another entry. It is only sent on; messages from
/// that entry arrive on the connection that it opened itself.
struct PeerLink {
  EntryRegistration Registration_;
  std::unique_ptr<LinkClient> Link_;
  SessionNumber Session_ = 0;
};

class EntryProcess {
public:
  EntryProcess(const Settings &Settings, const EntryProtocols &Protocols)
      : Settings_(Settings), Core_(identity(Settings, Protocols)),
        Http_(Threads_.traffic()),
        Store_(Protocols.MakeStore_(Http_, Settings)),
        Links_(Threads_.traffic(), linkHandlers()),
        Callers_(Protocols.MakeCallerServer_(Threads_.traffic(), Settings,
                                             callerHandlers())) {}

  auto run() -> int {
    Links_.listen(Settings_.Link_.Host_, Settings_.Link_.Port_);
    asio::post(Threads_.traffic(), [this] { Callers_->start(); });
    if (Settings_.Metrics_.Port_ != 0)
      serveMetrics();
    Threads_.runPeriodically(TickInterval, [this] {
      handleEvent(
          [this](Moment Now, EntryOutbox &Out) { Core_.tick(Now, Out); });
    });
    Threads_.onTerminate([this] {
      logEvent("stopping", "received a signal to terminate");
      Stopping_ = true;
      StopStart_ = SteadyClock::now();
      handleEvent(
          [this](Moment Now, EntryOutbox &Out) { Core_.leave(Now, Out); });
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
  static auto identity(const Settings &Settings,
                       const EntryProtocols &Protocols) -> EntryIdentity {
    auto Identity = Settings.Entry_;
    Identity.MaxValueSize_ = Protocols.MaxValueSize_(Settings);
    Identity.Incarnation_ = newIncarnation();
    if (Identity.Seed_ == 0)
      Identity.Seed_ = std::random_device{}();
    return Identity;
  }

  /// Passes one event to the core and performs the resulting actions. Must be
  /// called on the control thread.
  template <typename EventHandler>
  auto handleEvent(EventHandler Event) -> void {
    EntryOutbox Out;
    Event(currentMoment(), Out);
    for (auto &Each : Out)
      std::visit([this](auto &Action) { this->perform(Action); }, Each);
  }

  /// Calls handleEvent() on the control thread. May be called from any thread.
  template <typename EventHandler> auto postEvent(EventHandler Event) -> void {
    asio::post(Threads_.control(), [this, Event = std::move(Event)]() mutable {
      handleEvent(std::move(Event));
    });
  }

  // Messages from agents and other entries.

  auto linkHandlers() -> LinkHandlers {
    LinkHandlers Handlers;
    Handlers.Opened_ = [this](SessionNumber Session, const std::string &Path) {
      if (Path.rfind(PeerPathPrefix, 0) != 0)
        return;
      const EntryId Peer{Path.substr(PeerPathPrefix.size())};
      PeerSessions_[Session] = Peer;
      PeerLinks_.opened(SteadyClock::now(), Peer, LinkDirection::Incoming,
                        Session);
      postEvent([this, Peer](Moment Now, EntryOutbox &Out) {
        Core_.peerLinkOpened(Now, Peer, Out);
      });
    };
    Handlers.Received_ = [this](SessionNumber Session,
                                const std::string &Bytes) {
      const auto Peer = PeerSessions_.find(Session);
      if (Peer == PeerSessions_.end())
        receiveFromAgent(Session, Bytes);
      else
        receiveFromPeer(Peer->second, Bytes);
    };
    Handlers.Closed_ = [this](SessionNumber Session, LinkEnd End) {
      const auto Peer = PeerSessions_.find(Session);
      if (Peer != PeerSessions_.end()) {
        PeerLinks_.closed(SteadyClock::now(), Peer->second,
                          LinkDirection::Incoming, Session, End);
        PeerSessions_.erase(Peer);
        return;
      }
      postEvent([this, Session](Moment Now, EntryOutbox &Out) {
        Core_.agentDisconnected(Now, Session, Out);
      });
    };
    return Handlers;
  }

  auto receiveFromAgent(SessionNumber Session, const std::string &Bytes)
      -> void {
    auto Message = decodeAgentMessage(Bytes);
    if (!Message) {
      countRefusal(ErrorKind::MalformedRequest);
      Links_.close(Session);
      postEvent([this, Session](Moment Now, EntryOutbox &Out) {
        Core_.agentDisconnected(Now, Session, Out);
      });
      return;
    }
    postEvent([this, Session, Message = std::move(*Message)](Moment Now,
                                                             EntryOutbox &Out) {
      Core_.agentSent(Now, Session, Message, Out);
    });
  }

  auto receiveFromPeer(const EntryId &Peer, const std::string &Bytes) -> void {
    PeerLinks_.received(SteadyClock::now(), Peer);
    auto Message = decodePeerMessage(Bytes);
    if (!Message)
      return;
    postEvent([this, Peer, Message = std::move(*Message)](Moment Now,
                                                          EntryOutbox &Out) {
      Core_.peerSent(Now, Peer, Message, Out);
    });
  }

  auto connectPeer(const EntryRegistration &Registration) -> void {
    auto &Peer = Peers_[Registration.Entry_];
    if (Peer.Link_ &&
        Peer.Registration_.PeerAddress_ == Registration.PeerAddress_)
      return;
    if (Peer.Link_) {
      Peer.Link_->stop();
      asio::post(Threads_.traffic(), [this, Id = Registration.Entry_,
                                      Session = Peer.Session_] {
        PeerLinks_.closed(SteadyClock::now(), Id, LinkDirection::Outgoing,
                          Session, LinkEnd::AddressChanged);
      });
    }
    Peer.Registration_ = Registration;
    const auto Id = Registration.Entry_;
    LinkHandlers Handlers;
    Handlers.Opened_ = [this, Id](SessionNumber Session, const std::string &) {
      PeerLinks_.opened(SteadyClock::now(), Id, LinkDirection::Outgoing,
                        Session);
      postEvent([this, Id, Session](Moment Now, EntryOutbox &Out) {
        Peers_[Id].Session_ = Session;
        Core_.peerConnected(Now, Id, Out);
      });
    };
    Handlers.Received_ = [](SessionNumber, const std::string &) {};
    Handlers.Closed_ = [this, Id](SessionNumber Session, LinkEnd End) {
      PeerLinks_.closed(SteadyClock::now(), Id, LinkDirection::Outgoing,
                        Session, End);
      postEvent([this, Id](Moment Now, EntryOutbox &Out) {
        Peers_[Id].Session_ = 0;
        Core_.peerDisconnected(Now, Id, Out);
      });
    };
    Peer.Link_ = std::make_unique<LinkClient>(
        Threads_.traffic(), Registration.PeerAddress_,
        PeerPathPrefix + Settings_.Entry_.Entry_.Value_,
        [this] { return ++NextPeerSession_; }, std::move(Handlers));
    Peer.Link_->start();
  }

  // Requests of callers and operators.

  auto callerHandlers() -> CallerHandlers {
    CallerHandlers Handlers;
    Handlers.RequestReceived_ = [this](CallerRequest Request,
                                       ReplySender Send) {
      const auto ReceivedAt = SteadyClock::now();
      postEvent([this, Request = std::move(Request), Send = std::move(Send),
                 ReceivedAt](Moment Now, EntryOutbox &Out) mutable {
        const auto Token = ++NextToken_;
        WaitingCallers_[Token] = {std::move(Send), ReceivedAt,
                                  requestKindText(Request)};
        Core_.callerAsked(Now, Token, Request, Out);
      });
    };
    Handlers.MetricsRequested_ = [this](std::function<void(std::string)> Send) {
      postEvent([this, Send = std::move(Send)](Moment, EntryOutbox &) {
        Send(metricsText());
      });
    };
    Handlers.HealthRequested_ = [this](std::function<void(bool)> Send) {
      postEvent([this, Send = std::move(Send)](Moment Now, EntryOutbox &) {
        Send(Core_.healthy(Now));
      });
    };
    Handlers.Stopping_ = [this] { return Stopping_.load(); };
    Handlers.RequestRefused_ = [this](ErrorKind Kind) { countRefusal(Kind); };
    return Handlers;
  }

  auto serveMetrics() -> void {
    HttpServerOptions Options;
    Options.Host_ = Settings_.Metrics_.Host_;
    Options.Port_ = Settings_.Metrics_.Port_;
    Metrics_ = std::make_unique<HttpServer>(
        Threads_.traffic(), Options,
        [this](const HttpServerRequest &, const HttpResponder &Send) {
          postEvent([this, Send](Moment, EntryOutbox &) {
            HttpServerAnswer Answer;
            Answer.ContentType_ = "text/plain; version=0.0.4";
            Answer.Body_ = metricsText();
            Send(std::move(Answer));
          });
        });
    asio::post(Threads_.traffic(), [this] { Metrics_->start(); });
  }

  auto metricsText() -> std::string {
    Gauges CurrentGauges;
    CurrentGauges.Targets_ = Core_.targetCount();
    CurrentGauges.Peers_ = Core_.peerCount(currentMoment());
    CurrentGauges.OutgoingLinks_ =
        PeerLinks_.openLinks(LinkDirection::Outgoing);
    CurrentGauges.IncomingLinks_ =
        PeerLinks_.openLinks(LinkDirection::Incoming);
    CurrentGauges.OwnedShards_ = Core_.ownedShards();
    CurrentGauges.InFlight_ = Core_.inFlight();
    CurrentGauges.Ledgers_ = Core_.ledgerSize();
    CurrentGauges.UnansweredRequests_ = WaitingCallers_.size();
    CurrentGauges.OpenRequests_ = Callers_->load().OpenRequests_;
    CurrentGauges.Connections_ = Callers_->load().Connections_;
    CurrentGauges.ConnectionLimitsReached_ = Callers_->load().LimitsReached_;
    CurrentGauges.AcceptFailures_ = Callers_->load().AcceptFailures_;
    CurrentGauges.Revision_ = Core_.configuration().Head_.Revision_;
    auto Totals = Core_.counters();
    for (std::size_t Index = 0; Index < Totals.Refusals_.size(); ++Index)
      Totals.Refusals_[Index] += RefusalsBeforeCore_[Index];
    return renderMetrics(Totals, CurrentGauges) +
           Latency_.render("skylark_answer_seconds");
  }

  auto countRefusal(ErrorKind Kind) -> void {
    ++RefusalsBeforeCore_[static_cast<std::size_t>(Kind)];
  }

  // Actions that the core requests.

  auto perform(SendToAgent &Send) -> void {
    Links_.send(Send.Session_, encode(Send.Message_));
  }

  auto perform(SendToPeer &Send) -> void {
    const auto Found = Peers_.find(Send.Entry_);
    if (Found != Peers_.end() && Found->second.Session_ != 0)
      Found->second.Link_->send(Found->second.Session_, encode(Send.Message_));
  }

  auto perform(AnswerCaller &Answer) -> void {
    const auto Found = WaitingCallers_.find(Answer.Token_);
    if (Found == WaitingCallers_.end())
      return;
    auto Caller = std::move(Found->second);
    WaitingCallers_.erase(Found);
    Latency_.record(std::chrono::duration_cast<Micros>(SteadyClock::now() -
                                                       Caller.ReceivedAt_));
    asio::post(Threads_.traffic(),
               [Send = std::move(Caller.Send_),
                Reply = std::move(Answer.Reply_)]() mutable {
                 Send(std::move(Reply));
               });
  }

  auto perform(const CallStore &Call) -> void {
    asio::post(Threads_.traffic(), [this, Call] {
      Store_->call(Call.Call_, Call.Operation_, [this](StoreResult Result) {
        postEvent(
            [this, Result = std::move(Result)](Moment Now, EntryOutbox &Out) {
              Core_.storeAnswered(Now, Result, Out);
            });
      });
    });
  }

  auto perform(const CloseSession &Close) -> void {
    Links_.close(Close.Session_);
  }

  auto perform(const ConnectPeers &Connect) -> void {
    for (const auto &Each : Connect.Peers_)
      connectPeer(Each);
  }

  auto perform(const LogDecision &Event) -> void { writeLog(Event); }

  auto perform(const ExitProcess & /*Exit*/) -> void {
    const auto Timer = std::make_shared<asio::steady_timer>(Threads_.control(),
                                                            ShutdownFlushDelay);
    Timer->async_wait([this, Timer](std::error_code) {
      logEvent("stop-ended", stopText());
      Threads_.stop();
    });
  }

  /// What the process leaves unanswered when it ends, for the log.
  auto stopText() const -> std::string {
    std::map<std::string_view, std::size_t> Unanswered;
    for (const auto &[Token, Each] : WaitingCallers_)
      ++Unanswered[Each.Kind_];
    const auto Open = Callers_->load().OpenRequests_.load();
    const auto Elapsed =
        std::chrono::duration_cast<Millis>(SteadyClock::now() - StopStart_);
    auto Text = "after " + std::to_string(Elapsed.count()) + " ms, " +
                std::to_string(WaitingCallers_.size()) +
                " read and not answered";
    for (const auto &[Kind, Count] : Unanswered)
      Text += ", " + std::string(Kind) + ' ' + std::to_string(Count);
    return Text + ", " +
           std::to_string(Open - std::min(Open, WaitingCallers_.size())) +
           " answered and not written, " +
           std::to_string(Callers_->load().Connections_.load()) +
           " connections open";
  }

  struct WaitingCaller {
    ReplySender Send_;
    TimePoint ReceivedAt_{};
    std::string_view Kind_;
  };

  Settings Settings_;
  ProcessThreads Threads_;
  // Used on the control thread only.
  EntryCore Core_;
  std::unordered_map<CallerToken, WaitingCaller> WaitingCallers_;
  CallerToken NextToken_ = 0;
  TimePoint StopStart_{};
  std::map<EntryId, PeerLink> Peers_;
  LatencyHistogram Latency_;
  // Used on the traffic thread only.
  std::map<SessionNumber, EntryId> PeerSessions_;
  PeerLinkMonitor PeerLinks_{writeLog};
  // Used on both threads.
  std::array<std::atomic<std::uint64_t>,
             static_cast<std::size_t>(ErrorKind::Count)>
      RefusalsBeforeCore_{};
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
  raiseDescriptorLimit(Settings.Limits_.Connections_ + OwnDescriptors);
  logEvent("started", "entry in " + Settings.Entry_.DataCentre_.Value_);
  const auto Status = EntryProcess(Settings, Protocols).run();
  logEvent("stopped", "");
  flushLog();
  return Status;
}

} // namespace skylark
