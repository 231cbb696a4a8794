/// \file
/// Defines an agent in virtual time, as its process runs it, with the client of
/// a worker of the users' platform.
#pragma once

#include "core/AgentCore.h"
#include "platform/WorkerClient.h"
#include "test/fuzz/VirtualConnections.h"

#include <optional>

namespace skylark::Fuzz {

/// Has one connection to an owner, which may be cut.
class LivesAgent {
public:
  /// Gets each message with the number of its connection.
  using Receiver =
      std::function<void(SessionNumber Session, const AgentMessage &)>;

  LivesAgent(VirtualTime &Time, RunLog &Log, std::string Name,
             Receiver ToOwner);

  auto worker() -> VirtualWorker & { return Worker_; }
  auto connections() -> VirtualConnections & { return Connections_; }
  /// Crashes the worker, which is back after a while.
  auto crashWorker(Micros DownFor) -> void;
  /// Sends a message on a connection, if that is open when it arrives.
  auto send(SessionNumber Session, const EntryMessage &Message) -> void;
  /// Cuts the connection to the owner for a while.
  /// \param Silently whether the agent doesn't notice.
  auto cutOwner(Micros Duration, bool Silently) -> void;
  /// Lets the state machine do nothing for a while.
  auto hold(Micros Duration) -> void { Control_.hold(Duration); }

  /// Of 100 heartbeats of the worker, how many arrive up to seconds late.
  std::uint32_t LateHeartbeatPercent_ = 0;

private:
  static auto identity() -> AgentIdentity;
  auto handlers() -> WorkerLinkHandlers;
  auto moment() const -> Moment;
  /// Has the state machine handle an event, on its thread.
  auto post(std::function<void(AgentOutbox &)> Step) -> void;
  auto run(const std::function<void(AgentOutbox &)> &Step) -> void;
  auto openSession() -> void;
  auto tick() -> void;
  auto beat() -> void;

  auto execute(const SendToEntry &Send) -> void;
  auto execute(const RestartAgent &Restart) -> void;
  template <typename Command> auto execute(const Command &Each) -> void;
  auto checkReport(const TaskReport &Report) -> void;

  VirtualTime &Time_;
  RunLog &Log_;
  std::string Name_;
  Receiver ToOwner_;
  VirtualWorker Worker_;
  VirtualConnections Connections_{Time_, Worker_};
  asio::io_context Traffic_;
  Platform::WorkerClient Client_;
  std::optional<AgentCore> Core_;
  /// From the thread of the connections to that of the state machine, and back.
  VirtualChannel Control_;
  VirtualChannel Orders_;
  VirtualChannel FromOwner_;
  VirtualChannel ToOwnerChannel_;
  SessionNumber Session_ = 0;
  SessionNumber LastSession_ = 0;
  Micros CutUntil_{0};
};

} // namespace skylark::Fuzz
