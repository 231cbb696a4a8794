/// \file
/// Defines an owner of tasks for two agents whose workers crash and start again
/// under their ids.
#pragma once

#include "core/Messages.h"
#include "test/fuzz/RunLog.h"
#include "test/fuzz/VirtualTime.h"

#include <array>
#include <functional>
#include <map>

namespace skylark::Fuzz {

/// Binds a task to the other agent once its attempt has ended otherwise than
/// finished, its worker has begun another life, or all that was granted for it
/// has expired.
class LivesOwner {
public:
  static constexpr std::size_t AgentCount = 2;
  using Sender = std::function<void(std::size_t Agent, SessionNumber Session,
                                    const EntryMessage &)>;

  LivesOwner(VirtualTime &Time, RunLog &Log, Sender ToAgent);

  auto receive(std::size_t From, SessionNumber Session,
               const AgentMessage &Message) -> void;
  /// Binds the first attempt of a new task.
  auto submit(std::size_t ToAgent) -> void;
  auto unfinished() const -> std::size_t;
  /// Whether an agent takes tasks for this life of its worker.
  auto isRegistered(std::size_t Index, Incarnation Worker) const -> bool {
    const auto &Agent = Agents_.at(Index);
    return Agent.IsConfirmed_ && Agent.Worker_ == Worker;
  }

private:
  struct Agent {
    SessionNumber Session_ = 0;
    Incarnation Worker_ = 0;
    bool IsConfirmed_ = false;
    /// When a grant was last sent.
    Micros GrantedAt_{0};
    std::uint64_t Sequence_ = 0;
  };
  struct Task {
    std::size_t Agent_ = 0;
    AttemptNumber Attempt_ = 1;
    /// The life to which the attempt was last sent; 0 if to none.
    Incarnation Worker_ = 0;
    bool IsBound_ = true;
    bool IsFinished_ = false;
  };

  auto repeat() -> void;
  auto sendBinding(const TaskId &Id, Task &Each) -> void;
  auto sendStop(const TaskId &Id, const Task &Each, ErrorKind Reason) -> void;
  /// The attempt has ended, or can't start any more.
  auto attemptEnded(const TaskId &Id, Task &Each) -> void;
  auto handle(std::size_t From, const Hello &Message) -> void;
  auto handle(std::size_t From, const ConfirmOwnership &Message) -> void;
  auto handle(std::size_t From, const Heartbeat &Message) -> void;
  auto handle(std::size_t From, const TaskReport &Report) -> void;
  template <typename Other>
  auto handle(std::size_t /*From*/, const Other & /*Message*/) -> void {}
  auto send(std::size_t To, const EntryMessage &Message) -> void {
    ToAgent_(To, Agents_[To].Session_, Message);
  }

  VirtualTime &Time_;
  RunLog &Log_;
  Sender ToAgent_;
  std::array<Agent, AgentCount> Agents_;
  std::map<TaskId, Task> Tasks_;
};

} // namespace skylark::Fuzz
