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

/// A heartbeat clears the reserved resources if the last reservation is older
/// than this. Heartbeats arrive twice a second, so resources that none of them
/// has reflected by then belong to tasks that the agent has refused.
constexpr Millis ReservationTimeout{1500};

} // namespace

auto acceptsNewWork(const Target &Candidate, const Configuration &Configuration,
                    TimePoint Now) -> bool {
  const auto SilenceTimeout = Configuration.Document_.Policy_.SilenceTimeout_;
  return !Candidate.Leaving_ && Candidate.LastSeenAt_ + SilenceTimeout >= Now &&
         Configuration.Document_.hasDataCentre(Candidate.dataCentre()) &&
         !Configuration.Head_.isOut(Candidate.dataCentre());
}

auto TargetTable::add(Moment Now, SessionNumber Session, const Hello &Message)
    -> SessionNumber {
  SessionNumber Replaced = 0;
  const auto Registered = Agents_.find(Message.Agent_);
  if (Registered != Agents_.end() && Registered->second != Session) {
    Replaced = Registered->second;
    remove(Replaced);
  }
  remove(Session);
  auto New = std::make_unique<Target>();
  New->Hello_ = Message;
  New->Session_ = Session;
  New->Capacity_ = Message.Capacity_;
  New->LastSeenAt_ = Now.Steady_;
  New->Revision_ = Message.Revision_;
  Agents_[Message.Agent_] = Session;
  for (const auto &Service : Message.Services_)
    Services_[Service].push_back(New.get());
  for (const auto &Each : requirementsMetBy(Message))
    ++Offers_[Each];
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
  for (const auto &Each : requirementsMetBy(Removed->Hello_)) {
    const auto Offered = Offers_.find(Each);
    if (--Offered->second == 0)
      Offers_.erase(Offered);
  }
  eraseTarget(All_, Removed);
  Agents_.erase(Removed->agent());
  Targets_.erase(Found);
}

auto TargetTable::update(Moment Now, SessionNumber Session,
                         const Heartbeat &Report) -> void {
  auto *Registered = find(Session);
  if (Registered == nullptr)
    return;
  Registered->LastSeenAt_ = Now.Steady_;
  Registered->Load_ = Report.Load_;
  // A worker that was only unresponsive for a while is no longer leaving, but
  // an older heartbeat that arrives late must not reset the flag.
  if (Report.Sequence_ > Registered->HeartbeatSequence_) {
    Registered->HeartbeatSequence_ = Report.Sequence_;
    Registered->Leaving_ = Report.Leaving_;
    Registered->Capacity_ = Report.Capacity_.value_or(Registered->Capacity_);
  }
  Registered->Revision_ = std::max(Registered->Revision_, Report.Revision_);
  Registered->InForceRevision_ =
      std::max(Registered->InForceRevision_, Report.InForceRevision_);
  Registered->OtherEntryViewFresh_ = Report.OtherEntryViewFresh_;
  Registered->SentSinceHeartbeat_ = 0;
  if (Registered->ReservedAt_ + ReservationTimeout < Now.Steady_)
    Registered->Reserved_ = {};
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
