/// \file
/// Defines an entry's table of the targets that have announced themselves.
#pragma once

#include "core/Messages.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace skylark {

/// What an entry knows of one target and its worker; a soft estimate, since
/// the agent alone decides.
struct Target {
  Hello Hello_;
  SessionNumber Session_ = 0;
  AgentLoad Load_;
  Revision Revision_ = 0;
  Revision InForceRevision_ = 0;
  TimePoint HeardAt_{};

  TimePoint StartGrantUntil_{};
  TimePoint ConfigurationSentAt_{};
  /// The newest heartbeat taken in.
  std::uint64_t BeatSequence_ = 0;
  bool Leaving_ = false;
  bool OtherEntryFresh_ = false;
  /// Requests of this entry that the target has not answered.
  std::uint32_t InFlight_ = 0;
  std::uint32_t SentSinceReport_ = 0;
  /// Running mean of the answer times that this entry saw.
  Micros AnswerTime_{0};
  std::uint64_t NextSequence_ = 0;
  /// Shards claimed towards the agent, and when that was last said.
  std::map<ShardNumber, TimePoint> ClaimedShards_;
  std::set<ShardNumber> ConfirmedShards_;
  /// Shards that an acknowledged heartbeat has named, so that the agent may
  /// take tasks of them.
  std::set<ShardNumber> GrantedShards_;
  /// Resources promised to tasks that no heartbeat has shown yet.
  Resources Promised_;
  TimePoint PromisedAt_{};
  /// The tasks here that serve users of their own, as last looked at.
  std::vector<ServingFigure> Serving_;
  TimePoint ServingSeenAt_{};
  /// Until when the agent is not asked again to start work that fills.
  TimePoint NoFillersUntil_{};
  /// Task failures in a row, for quarantine.
  std::uint32_t FailureRun_ = 0;
  TimePoint QuarantinedUntil_{};

  auto agent() const -> const AgentId & { return Hello_.Agent_; }
  auto dataCentre() const -> const DataCentreName & {
    return Hello_.DataCentre_;
  }
  auto free() const -> Resources { return Load_.Free_ - Promised_; }
};

/// True if `Candidate` may be given new work: it is heard of, is not leaving,
/// and its data centre is known and not out.
auto mayGetWork(const Target &Candidate, const Configuration &Configuration,
                TimePoint Now) -> bool;

/// The targets by connection, by agent and by service.
class TargetTable {
public:
  /// Adds or replaces the target that said hello. Returns the connection of an
  /// older incarnation of the same agent, or 0.
  auto add(Moment Now, SessionNumber Session, const Hello &Message)
      -> SessionNumber;
  auto remove(SessionNumber Session) -> void;
  auto update(Moment Now, SessionNumber Session, const Heartbeat &Beat) -> void;

  auto find(SessionNumber Session) -> Target *;
  auto find(SessionNumber Session) const -> const Target *;
  auto findAgent(const AgentId &Agent) -> Target *;
  /// Targets of a service; empty where there is none.
  auto ofService(const ServiceName &Service) const
      -> const std::vector<Target *> &;
  auto all() const -> const std::vector<Target *> & { return All_; }
  auto size() const -> std::size_t { return All_.size(); }

private:
  std::unordered_map<SessionNumber, std::unique_ptr<Target>> Targets_;
  std::unordered_map<AgentId, SessionNumber> Agents_;
  std::unordered_map<ServiceName, std::vector<Target *>> Services_;
  std::vector<Target *> All_;
};

} // namespace skylark
