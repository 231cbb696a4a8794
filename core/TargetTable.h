/// \file
/// Defines an entry's table of the targets that have registered with it.
#pragma once

#include "core/WorkerRequirement.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace skylark {

/// An entry's view of one target and its worker. It is an estimate and may be
/// out of date: the agent decides what the worker accepts.
struct Target {
  Hello Hello_;
  SessionNumber Session_ = 0;
  AgentLoad Load_;
  /// The worker's capacity, which may change while it runs.
  Resources Capacity_;
  Revision Revision_ = 0;
  Revision InForceRevision_ = 0;
  TimePoint LastSeenAt_{};

  /// The latest end of the start grants sent to the agent.
  TimePoint StartGrantUntil_{};
  /// The start revision of the last configuration sent, and when it was sent.
  Revision ConfigurationSentRevision_ = 0;
  TimePoint ConfigurationSentAt_{};
  /// Sequence number of the newest heartbeat received.
  std::uint64_t HeartbeatSequence_ = 0;
  bool Leaving_ = false;
  bool OtherEntryViewFresh_ = false;
  /// Requests sent by this entry that the target has not answered.
  std::uint32_t InFlight_ = 0;
  /// Requests sent by this entry since the last heartbeat.
  std::uint32_t SentSinceHeartbeat_ = 0;
  /// Running mean of the answer times measured by this entry.
  Micros MeanAnswerTime_{0};
  std::uint64_t LastSequence_ = 0;
  /// Shards whose ownership this entry has claimed from the agent, with the
  /// time of the last claim message.
  std::map<ShardNumber, TimePoint> ClaimedShards_;
  std::set<ShardNumber> ConfirmedShards_;
  /// Shards listed in a heartbeat acknowledgement, whose tasks the agent can
  /// accept.
  std::set<ShardNumber> GrantedShards_;
  /// Resources reserved for bound tasks that no heartbeat has reflected yet.
  Resources Reserved_;
  /// When resources were last reserved.
  TimePoint ReservedAt_{};
  /// Latency samples of the serving tasks on this worker, from the agent's
  /// latest poll.
  std::vector<ServingSample> Serving_;
  TimePoint ServingSampledAt_{};
  /// Until this time no best-effort task is bound to this agent.
  TimePoint NoBestEffortUntil_{};

  auto agent() const -> const AgentId & { return Hello_.Agent_; }
  auto dataCentre() const -> const DataCentreName & {
    return Hello_.DataCentre_;
  }
  /// Resources free at the last heartbeat, less those reserved since.
  auto free() const -> Resources { return Load_.Free_ - Reserved_; }
};

/// True if `Candidate` may be given new work: a message from it arrived within
/// the configured timeout, it is not leaving, and its data centre is known and
/// not out.
auto acceptsNewWork(const Target &Candidate, const Configuration &Configuration,
                    TimePoint Now) -> bool;

/// Indexes targets by connection, by agent and by service.
class TargetTable {
public:
  /// Adds the target that sent `Message`, or replaces its earlier record.
  /// \returns the other connection on which the same agent was registered until
  /// now, or 0.
  auto add(Moment Now, SessionNumber Session, const Hello &Message)
      -> SessionNumber;
  auto remove(SessionNumber Session) -> void;
  auto update(Moment Now, SessionNumber Session, const Heartbeat &Report)
      -> void;

  auto find(SessionNumber Session) -> Target *;
  auto find(SessionNumber Session) const -> const Target *;
  auto findAgent(const AgentId &Agent) -> Target *;
  /// Targets of a service; empty if there are none.
  auto ofService(const ServiceName &Service) const
      -> const std::vector<Target *> &;
  /// Whether a target is registered that meets the requirement, whatever state
  /// it is in. The cost doesn't grow with the number of targets.
  auto offers(const WorkerRequirement &Requirement) const -> bool {
    return Offers_.count(Requirement) != 0;
  }
  auto all() const -> const std::vector<Target *> & { return All_; }
  auto size() const -> std::size_t { return All_.size(); }

private:
  std::unordered_map<SessionNumber, std::unique_ptr<Target>> Targets_;
  std::unordered_map<AgentId, SessionNumber> Agents_;
  std::unordered_map<ServiceName, std::vector<Target *>> Services_;
  std::vector<Target *> All_;
  /// How many targets meet each requirement that one of them meets.
  std::map<WorkerRequirement, std::size_t> Offers_;
};

} // namespace skylark
