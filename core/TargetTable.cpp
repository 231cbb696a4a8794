#include "core/TargetTable.h"

#include <algorithm>

namespace skylark {
namespace {

auto eraseTarget(std::vector<Target *> &Targets, const Target *Removed)
    -> void {
  const auto Found = std::find(Targets.begin(), Targets.end(), Removed);
  if (Found == Targets.end())
    return;
  *Found = Targets.back();
  Targets.pop_back();
}

/// Heartbeats arrive twice a second, so reserved resources that none of them
/// has reflected after this time belong to tasks that the agent has refused.
constexpr Millis ReservationTimeout{1500};

} // namespace

auto acceptsNewWork(const Target &Candidate, const Configuration &Configuration,
                    TimePoint Now) -> bool {
  const auto SilentAfter = Configuration.Document_.Policy_.SilenceTimeout_;
  return !Candidate.Leaving_ && Candidate.LastSeenAt_ + SilentAfter >= Now &&
         Configuration.Document_.hasDataCentre(Candidate.dataCentre()) &&
         !Configuration.Head_.isOut(Candidate.dataCentre());
}

auto TargetTable::add(Moment Now, SessionNumber Session, const Hello &Message)
    -> SessionNumber {
  SessionNumber Replaced = 0;
  const auto Known = Agents_.find(Message.Agent_);
  if (Known != Agents_.end() && Known->second != Session) {
    Replaced = Known->second;
    remove(Replaced);
  }
  remove(Session);
  auto New = std::make_unique<Target>();
  New->Hello_ = Message;
  New->Session_ = Session;
  New->LastSeenAt_ = Now.Steady_;
  New->Revision_ = Message.Revision_;
  Agents_[Message.Agent_] = Session;
  for (const auto &Service : Message.Services_)
    Services_[Service].push_back(New.get());
  All_.push_back(New.get());
  Targets_[Session] = std::move(New);
  return Replaced;
}

auto TargetTable::remove(SessionNumber Session) -> void {
  const auto Found = Targets_.find(Session);
  if (Found == Targets_.end())
    return;
  const auto *Removed = Found->second.get();
  for (const auto &Service : Removed->Hello_.Services_)
    eraseTarget(Services_[Service], Removed);
  eraseTarget(All_, Removed);
  Agents_.erase(Removed->agent());
  Targets_.erase(Found);
}

auto TargetTable::update(Moment Now, SessionNumber Session,
                         const Heartbeat &Report) -> void {
  auto *Known = find(Session);
  if (Known == nullptr)
    return;
  Known->LastSeenAt_ = Now.Steady_;
  Known->Load_ = Report.Load_;
  // A worker that was only unresponsive for a while is no longer leaving, but
  // an older heartbeat that arrives late must not reset the flag.
  if (Report.Sequence_ > Known->HeartbeatSequence_) {
    Known->HeartbeatSequence_ = Report.Sequence_;
    Known->Leaving_ = Report.Leaving_;
  }
  Known->Revision_ = std::max(Known->Revision_, Report.Revision_);
  Known->InForceRevision_ =
      std::max(Known->InForceRevision_, Report.InForceRevision_);
  Known->OtherEntryViewFresh_ = Report.OtherEntryViewFresh_;
  Known->SentSinceHeartbeat_ = 0;
  if (Known->ReservedAt_ + ReservationTimeout < Now.Steady_)
    Known->Reserved_ = {};
}

auto TargetTable::find(SessionNumber Session) -> Target * {
  const auto Found = Targets_.find(Session);
  return Found == Targets_.end() ? nullptr : Found->second.get();
}

auto TargetTable::find(SessionNumber Session) const -> const Target * {
  const auto Found = Targets_.find(Session);
  return Found == Targets_.end() ? nullptr : Found->second.get();
}

auto TargetTable::findAgent(const AgentId &Agent) -> Target * {
  const auto Found = Agents_.find(Agent);
  return Found == Agents_.end() ? nullptr : find(Found->second);
}

auto TargetTable::ofService(const ServiceName &Service) const
    -> const std::vector<Target *> & {
  static const std::vector<Target *> None;
  const auto Found = Services_.find(Service);
  return Found == Services_.end() ? None : Found->second;
}

} // namespace skylark
