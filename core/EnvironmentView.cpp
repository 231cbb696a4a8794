#include "core/EnvironmentView.h"

#include "core/Assert.h"
#include "core/Mutation.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace skylark {
namespace {

/// Renewals attempted within one lifetime of a registration.
constexpr int RenewalsPerLifetime = 4;

/// Reads that fail for longer than this indicate an outage of the store, during
/// which leases may expire although their holders are alive.
constexpr Millis OutageThreshold{1000};
/// How long live entries may take to register again after an outage.
constexpr Millis ReregistrationWindow{2000};

auto containsRegistration(const std::vector<RegisteredEntry> &Entries,
                          const EntryRegistration &Registration) -> bool {
  return std::any_of(
      Entries.begin(), Entries.end(), [&](const RegisteredEntry &Each) {
        return Each.Registration_.Entry_ == Registration.Entry_ &&
               Each.Registration_.Incarnation_ == Registration.Incarnation_;
      });
}

} // namespace

EnvironmentView::EnvironmentView(EnvironmentName Environment,
                                 EntryRegistration Self,
                                 const PolicySettings &Policy,
                                 StoreClient &Store)
    : Environment_(std::move(Environment)), Self_(std::move(Self)),
      Store_(Store) {
  Current_.Document_.Policy_ = Policy;
}

auto EnvironmentView::tick(Moment Now) -> void {
  // An earlier incarnation of this entry may have granted permits just before
  // it stopped, under a revision that this incarnation does not know.
  if (EarlierGrantsEnd_ == TimePoint{}) {
    EarlierGrantsEnd_ = Now.Steady_ + withClockMargin(MaxPermitDuration);
    OldGrantsEnd_ = EarlierGrantsEnd_;
  }
  if (!ReadPending_ && Now.Steady_ >= NextReadAt_)
    readEnvironment(Now);
  maintainLease(Now);
}

auto EnvironmentView::readEnvironment(Moment Now) -> void {
  ReadPending_ = true;
  NextReadAt_ = Now.Steady_ + Current_.Document_.Policy_.ReadInterval_;
  const auto SentAt = Now.Steady_;
  Store_.call(ReadEnvironment{Environment_},
              [this, SentAt](Moment AnsweredAt, const StoreResult &Result,
                             EntryOutbox &) {
                handleEnvironmentRead(AnsweredAt, Result, SentAt);
              });
}

auto EnvironmentView::handleEnvironmentRead(Moment Now,
                                            const StoreResult &Result,
                                            TimePoint SentAt) -> void {
  if (Result.Status_ == StoreStatus::Unavailable) {
    failRead(Now, SentAt);
    return;
  }
  const auto &State = Result.EnvironmentState_;
  if (State.Head_.Revision_ >= KnownRevision_) {
    KnownRevision_ = State.Head_.Revision_;
    KnownDataCentresOut_ = State.Head_.DataCentresOut_;
  }
  updateRegistrations(Now, State);
  if (!State.Head_.supersedes(Current_.Head_)) {
    completeRead(Now, State.AsOf_, SentAt);
  } else if (State.Head_.DocumentDigest_ == Current_.Head_.DocumentDigest_) {
    adoptConfiguration(Now, {State.Head_, Current_.Document_}, State.Source_);
    completeRead(Now, State.AsOf_, SentAt);
  } else {
    readDocument(State.Head_, State.Source_, State.AsOf_, SentAt);
  }
}

auto EnvironmentView::readDocument(const EnvironmentHead &Head,
                                   ConfigurationSource Source, Revision AsOf,
                                   TimePoint SentAt) -> void {
  PendingRead_ = PendingRead{Head.Revision_, AsOf, SentAt};
  Store_.call(
      ReadValue{documentKey(Head.DocumentDigest_)},
      [this, Head, Source, AsOf,
       SentAt](Moment AnsweredAt, const StoreResult &Result, EntryOutbox &) {
        // An agent has offered this configuration or a newer one.
        if (!PendingRead_ || PendingRead_->Revision_ != Head.Revision_)
          return;
        PendingRead_.reset();
        if (Result.Status_ != StoreStatus::Ok) {
          failRead(AnsweredAt, SentAt);
          return;
        }
        adoptConfiguration(AnsweredAt,
                           {Head, std::get<Document>(Result.Value_)}, Source);
        const auto IgnoreRead =
            isMutationActive(Mutation::NewerDocumentIsNoContact);
        completeRead(AnsweredAt, AsOf, IgnoreRead ? TimePoint{} : SentAt);
      });
}

auto EnvironmentView::completeRead(Moment Now, Revision AsOf, TimePoint SentAt)
    -> void {
  ReadPending_ = false;
  if (FailedReads_ && FailedReads_->FirstAt_ + OutageThreshold < SentAt)
    StoreRecoveredAt_ = Now.Steady_;
  FailedReads_.reset();
  AsOf_ = std::max(AsOf_, AsOf);
  LastReadAt_ = std::max(LastReadAt_, SentAt);
}

auto EnvironmentView::failRead(Moment Now, TimePoint SentAt) -> void {
  ReadPending_ = false;
  LastFailureAt_ = Now.Steady_;
  if (!FailedReads_)
    FailedReads_ = FailedReads{SentAt, SentAt};
  FailedReads_->LastAt_ = SentAt;
}

auto EnvironmentView::adoptConfiguration(Moment Now, Configuration Next,
                                         ConfigurationSource Source) -> void {
  if (!Next.Head_.supersedes(Current_.Head_))
    return;
  // A source that has missed a document may know of a newer evacuation.
  if (Next.Head_.DocumentRevision_ < Current_.Head_.DocumentRevision_) {
    Next.Head_.DocumentRevision_ = Current_.Head_.DocumentRevision_;
    Next.Head_.DocumentDigest_ = Current_.Head_.DocumentDigest_;
    Next.Document_ = Current_.Document_;
  }
  // Permits granted so far have the duration set by the previous document.
  const auto LongerPermit = std::max(Current_.Document_.Policy_.PermitDuration_,
                                     Next.Document_.Policy_.PermitDuration_);
  const auto PreviousRevision = revision();
  Current_ = std::move(Next);
  Source_ = Source;
  ++AdoptionCount_;
  SKYLARK_ASSERT(revision() >= PreviousRevision,
                 "configuration revision decreased from", PreviousRevision,
                 "to", revision());
  OldGrantsEnd_ =
      std::max(OldGrantsEnd_, Now.Steady_ + withClockMargin(LongerPermit));
}

auto EnvironmentView::offerConfiguration(Moment Now,
                                         const Configuration &Offered) -> void {
  const auto DigestMatches =
      digestText(Offered.Document_.Text_) == Offered.Head_.DocumentDigest_;
  if (!DigestMatches)
    return;
  if (Offered.Head_.Revision_ > revision())
    adoptConfiguration(Now, Offered, ConfigurationSource::Agent);
  if (PendingRead_ && revision() >= PendingRead_->Revision_) {
    const auto Read = *std::exchange(PendingRead_, std::nullopt);
    completeRead(Now, Read.AsOf_, Read.SentAt_);
  }
}

auto EnvironmentView::updateRegistrations(Moment Now,
                                          const EnvironmentState &State)
    -> void {
  Registered_ = !Leaving_ && containsRegistration(State.Leases_, Self_) &&
                containsRegistration(State.Grantors_, Self_);
  Peers_.clear();
  Leases_.clear();
  for (const auto &Each : State.Leases_) {
    Leases_.push_back(Each.Registration_);
    if (Each.Registration_.Entry_ != Self_.Entry_)
      Peers_.push_back(Each.Registration_);
  }
  if (LeaseKeyWritten_ && !Registered_ && !LeaseCallPending_) {
    // The lease has expired, or a delayed deregistration by an earlier
    // incarnation has removed this entry's key: register again.
    LeaseKeyWritten_ = false;
    if (!containsRegistration(State.Leases_, Self_))
      Lease_ = {};
  }
  updateGrantors(Now, State);
}

auto EnvironmentView::updateGrantors(Moment Now, const EnvironmentState &State)
    -> void {
  const auto &Policy = Current_.Document_.Policy_;
  const auto MaxGrantDuration =
      withClockMargin(Policy.OutageHorizon_ + Policy.PermitDuration_);
  Grantors_.clear();
  for (const auto &Each : State.Grantors_) {
    const auto &Entry = Each.Registration_.Entry_;
    if (Entry == Self_.Entry_)
      GrantorIndex_ = Each.Index_;
    if (containsRegistration(State.Leases_, Each.Registration_)) {
      ExpiredAt_.erase(Entry);
      Grantors_[Entry] = {Each.Registration_.Incarnation_, TimePoint::max()};
      continue;
    }
    // An entry whose lease expired without a deregistration may be partitioned
    // from the store and go on granting until its outage horizon has passed.
    const auto ExpiredAt = ExpiredAt_.emplace(Entry, Now.Steady_).first->second;
    const auto GrantsEndAt = ExpiredAt + MaxGrantDuration;
    if (Now.Steady_ < GrantsEndAt) {
      Grantors_[Entry] = {Each.Registration_.Incarnation_, GrantsEndAt};
      continue;
    }
    ExpiredAt_.erase(Entry);
    Store_.call(DeleteValue{grantorKey(Environment_, Entry), Each.Index_},
                [](Moment, const StoreResult &, EntryOutbox &) {});
  }
}

auto EnvironmentView::isRegistered(const EntryId &Entry,
                                   Incarnation IncarnationNumber) const
    -> bool {
  return std::any_of(
      Leases_.begin(), Leases_.end(), [&](const EntryRegistration &Each) {
        return Each.Entry_ == Entry && Each.Incarnation_ == IncarnationNumber;
      });
}

auto EnvironmentView::isRegistered(const EntryId &Entry) const -> bool {
  return std::any_of(
      Leases_.begin(), Leases_.end(),
      [&](const EntryRegistration &Each) { return Each.Entry_ == Entry; });
}

auto EnvironmentView::expirationsUnreliable(Moment Now) const -> bool {
  return StoreRecoveredAt_ != TimePoint{} &&
         Now.Steady_ < StoreRecoveredAt_ + ReregistrationWindow;
}

auto EnvironmentView::storeContact(Moment Now) const -> StoreContact {
  const auto MaxReadAge = Current_.Document_.Policy_.FreshnessWindow_;
  if (LastReadAt_ != TimePoint{} && LastReadAt_ + MaxReadAge > Now.Steady_)
    return StoreContact::Fresh;
  return LastFailureAt_ > LastReadAt_ ? StoreContact::Outage
                                      : StoreContact::Unknown;
}

auto EnvironmentView::grantBarrier(Moment Now) const -> GrantBarrier {
  if (Leaving_)
    return GrantBarrier::Leaving;
  if (!Registered_)
    return GrantBarrier::NotRegistered;
  // While it reads the document of a newer configuration, an entry may grant
  // under the one that it holds, unless the newer one forbids more starts.
  const auto Contact = storeContact(Now);
  if (revision() < KnownRevision_ &&
      (Contact != StoreContact::Fresh || newerForbidsStarts()))
    return GrantBarrier::NewerConfiguration;
  switch (Contact) {
  case StoreContact::Fresh:
    return GrantBarrier::None;
  case StoreContact::Outage:
    return LastReadAt_ + Current_.Document_.Policy_.OutageHorizon_ > Now.Steady_
               ? GrantBarrier::None
               : GrantBarrier::OutageHorizonPassed;
  case StoreContact::Unknown:
    return GrantBarrier::StaleView;
  }
  return GrantBarrier::StaleView;
}

auto EnvironmentView::newerForbidsStarts() const -> bool {
  return std::any_of(
      KnownDataCentresOut_.begin(), KnownDataCentresOut_.end(),
      [&](const DataCentreName &Each) { return !Current_.Head_.isOut(Each); });
}

auto EnvironmentView::registrationDuration() const -> Millis {
  return Current_.Document_.Policy_.RegistrationTtl_;
}

auto EnvironmentView::maintainLease(Moment Now) -> void {
  if (LeaseCallPending_ || Now.Steady_ < NextRenewalAt_)
    return;
  if (Leaving_)
    return;
  NextRenewalAt_ = Now.Steady_ + registrationDuration() / RenewalsPerLifetime;
  LeaseCallPending_ = true;
  if (Lease_.empty())
    createLease();
  else if (!LeaseKeyWritten_)
    writeGrantorKey();
  else
    renewLease();
}

auto EnvironmentView::createLease() -> void {
  Store_.call(CreateLease{registrationDuration()},
              [this](Moment, const StoreResult &Result, EntryOutbox &) {
                LeaseCallPending_ = false;
                if (Result.Status_ != StoreStatus::Ok)
                  return;
                Lease_ = Result.Lease_;
                LeaseCallPending_ = true;
                writeGrantorKey();
              });
}

auto EnvironmentView::writeGrantorKey() -> void {
  Store_.call(WriteValue{grantorKey(Environment_, Self_.Entry_), Self_},
              [this](Moment, const StoreResult &Result, EntryOutbox &) {
                LeaseCallPending_ = false;
                if (Result.Status_ != StoreStatus::Ok)
                  return;
                LeaseCallPending_ = true;
                writeLeaseKey();
              });
}

auto EnvironmentView::writeLeaseKey() -> void {
  Store_.call(
      WriteUnderLease{leaseKey(Environment_, Self_.Entry_), Self_, Lease_},
      [this](Moment, const StoreResult &Result, EntryOutbox &) {
        LeaseCallPending_ = false;
        if (Result.Status_ == StoreStatus::Ok) {
          LeaseKeyWritten_ = true;
          ++RegistrationCount_;
          // This entry can't own a shard until a read shows its registration.
          NextReadAt_ = {};
        }
        if (Result.Status_ == StoreStatus::NotFound)
          Lease_ = {};
      });
}

auto EnvironmentView::renewLease() -> void {
  Store_.call(RenewLease{Lease_},
              [this](Moment, const StoreResult &Result, EntryOutbox &) {
                LeaseCallPending_ = false;
                if (Result.Status_ != StoreStatus::NotFound)
                  return;
                Lease_ = {};
                LeaseKeyWritten_ = false;
              });
}

auto EnvironmentView::leave() -> void {
  if (Leaving_)
    return;
  Leaving_ = true;
  Registered_ = false;
  // The delete is conditional on the index of this incarnation's key, so that
  // a delayed delete can't remove the key of a later incarnation.
  constexpr auto UnusedIndex = std::numeric_limits<std::uint64_t>::max();
  const auto Index = GrantorIndex_ == 0 ? UnusedIndex : GrantorIndex_;
  Store_.call(DeleteValue{grantorKey(Environment_, Self_.Entry_), Index},
              [this](Moment, const StoreResult &, EntryOutbox &) {
                if (Lease_.empty()) {
                  LeaveCompleted_ = true;
                  return;
                }
                Store_.call(RevokeLease{Lease_},
                            [this](Moment, const StoreResult &, EntryOutbox &) {
                              LeaveCompleted_ = true;
                            });
              });
}

} // namespace skylark
