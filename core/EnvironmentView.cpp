#include "core/EnvironmentView.h"

#include "core/Assert.h"

#include <algorithm>
#include <limits>

namespace skylark {
namespace {

/// Renewals in one lifetime of a registration.
constexpr int RenewalsPerLife = 4;

/// Readings that fail for longer tell of an outage, in which leases may lapse.
constexpr Millis OutageIfLonger{1000};
/// How long entries that live may take to register again after an outage.
constexpr Millis BackWithin{2000};

auto contains(const std::vector<RegisteredEntry> &Entries,
              const EntryRegistration &Wanted) -> bool {
  return std::any_of(
      Entries.begin(), Entries.end(), [&](const RegisteredEntry &Each) {
        return Each.Registration_.Entry_ == Wanted.Entry_ &&
               Each.Registration_.Incarnation_ == Wanted.Incarnation_;
      });
}

} // namespace

EnvironmentView::EnvironmentView(EnvironmentName Environment,
                                 EntryRegistration Self,
                                 const PolicySettings &Policy, StorePort &Store)
    : Environment_(std::move(Environment)), Self_(std::move(Self)),
      Store_(Store) {
  Current_.Document_.Policy_ = Policy;
}

auto EnvironmentView::tick(Moment Now) -> void {
  // An earlier incarnation of this entry may have granted just before it
  // died, under a revision that nobody here knows.
  if (SettledAt_ == TimePoint{}) {
    SettledAt_ = Now.Steady_ + withClockMargin(LongestPermit);
    OldGrantsEnd_ = SettledAt_;
  }
  if (!ReadOpen_ && Now.Steady_ >= NextRead_)
    readLive(Now);
  keepLease(Now);
}

auto EnvironmentView::readLive(Moment Now) -> void {
  ReadOpen_ = true;
  NextRead_ = Now.Steady_ + Current_.Document_.Policy_.ReadEvery_;
  const auto SentAt = Now.Steady_;
  Store_.call(
      ReadLive{Environment_},
      [this, SentAt](Moment Then, const StoreResult &Result, EntryOutbox &) {
        ReadOpen_ = false;
        liveRead(Then, Result, SentAt);
      });
}

auto EnvironmentView::liveRead(Moment Now, const StoreResult &Result,
                               TimePoint SentAt) -> void {
  if (Result.Status_ == StoreStatus::Unavailable) {
    FailedAt_ = Now.Steady_;
    if (!Failing_)
      Failing_ = FailedReadings{SentAt, SentAt};
    Failing_->LastAt_ = SentAt;
    return;
  }
  if (Failing_ && Failing_->FirstAt_ + OutageIfLonger < SentAt)
    ReturnedAt_ = Now.Steady_;
  Failing_.reset();
  KnownRevision_ = std::max(KnownRevision_, Result.Live_.Head_.Revision_);
  noteEntries(Now, Result.Live_);
  if (Result.Live_.Head_.Revision_ > revision()) {
    // Until the newer document is here, this entry's view is not fresh.
    adopt(Now, Result.Live_.Head_);
    if (Result.Live_.Head_.Revision_ > revision())
      return;
  }
  AsOf_ = std::max(AsOf_, Result.Live_.AsOf_);
  FreshAt_ = std::max(FreshAt_, SentAt);
}

auto EnvironmentView::adopt(Moment Now, const EnvironmentHead &Head) -> void {
  if (Head.DocumentDigest_ == Current_.Head_.DocumentDigest_) {
    adoptWith(Now, {Head, Current_.Document_});
    return;
  }
  if (DocumentOpen_)
    return;
  DocumentOpen_ = true;
  Store_.call(
      ReadValue{documentKey(Head.DocumentDigest_)},
      [this, Head](Moment Then, const StoreResult &Result, EntryOutbox &) {
        DocumentOpen_ = false;
        if (Result.Status_ == StoreStatus::Ok)
          adoptWith(Then, {Head, std::get<Document>(Result.Value_)});
      });
}

auto EnvironmentView::adoptWith(Moment Now, Configuration Next) -> void {
  if (Next.Head_.Revision_ <= revision())
    return;
  // Grants given so far ran under the former settings.
  const auto Longest = std::max(Current_.Document_.Policy_.PermitFor_,
                                Next.Document_.Policy_.PermitFor_);
  const auto Before = revision();
  Current_ = std::move(Next);
  SKYLARK_ASSERT(revision() > Before, "revision went down:", Before, "to",
                 revision());
  OldGrantsEnd_ =
      std::max(OldGrantsEnd_, Now.Steady_ + withClockMargin(Longest));
}

auto EnvironmentView::learn(Moment Now, const Configuration &Learned) -> void {
  const auto Whole =
      digestText(Learned.Document_.Text_) == Learned.Head_.DocumentDigest_;
  if (Whole)
    adoptWith(Now, Learned);
}

auto EnvironmentView::noteEntries(Moment Now, const LiveView &Live) -> void {
  Registered_ = !Leaving_ && contains(Live.Leases_, Self_) &&
                contains(Live.Grantors_, Self_);
  Peers_.clear();
  Leases_.clear();
  for (const auto &Each : Live.Leases_) {
    Leases_.push_back(Each.Registration_);
    if (Each.Registration_.Entry_ != Self_.Entry_)
      Peers_.push_back(Each.Registration_);
  }
  if (Announced_ && !Registered_ && !LeaseCallOpen_) {
    // The lease lapsed, or a late goodbye of an earlier incarnation took the
    // entry from the list: register again.
    Announced_ = false;
    if (!contains(Live.Leases_, Self_))
      Lease_ = {};
  }
  noteGrantors(Now, Live);
}

auto EnvironmentView::noteGrantors(Moment Now, const LiveView &Live) -> void {
  const auto &Policy = Current_.Document_.Policy_;
  const auto LongestGrant =
      withClockMargin(Policy.OutageHorizon_ + Policy.PermitFor_);
  Grantors_.clear();
  for (const auto &Each : Live.Grantors_) {
    const auto &Entry = Each.Registration_.Entry_;
    if (Entry == Self_.Entry_)
      GrantorIndex_ = Each.Index_;
    if (contains(Live.Leases_, Each.Registration_)) {
      LapsedAt_.erase(Entry);
      Grantors_[Entry] = {Each.Registration_.Incarnation_, TimePoint::max()};
      continue;
    }
    // An entry whose lease lapsed without a goodbye may be cut off from the
    // store and still be granting, until its horizon has passed.
    const auto LapsedAt = LapsedAt_.emplace(Entry, Now.Steady_).first->second;
    const auto EndsAt = LapsedAt + LongestGrant;
    if (Now.Steady_ < EndsAt) {
      Grantors_[Entry] = {Each.Registration_.Incarnation_, EndsAt};
      continue;
    }
    LapsedAt_.erase(Entry);
    Store_.call(DeleteValue{grantorKey(Environment_, Entry), Each.Index_},
                [](Moment, const StoreResult &, EntryOutbox &) {});
  }
}

auto EnvironmentView::isRegistered(const EntryId &Entry,
                                   Incarnation Number) const -> bool {
  return std::any_of(
      Leases_.begin(), Leases_.end(), [&](const EntryRegistration &Each) {
        return Each.Entry_ == Entry && Each.Incarnation_ == Number;
      });
}

auto EnvironmentView::isRegistered(const EntryId &Entry) const -> bool {
  return std::any_of(
      Leases_.begin(), Leases_.end(),
      [&](const EntryRegistration &Each) { return Each.Entry_ == Entry; });
}

auto EnvironmentView::lapsesDoubtful(Moment Now) const -> bool {
  return ReturnedAt_ != TimePoint{} && Now.Steady_ < ReturnedAt_ + BackWithin;
}

auto EnvironmentView::contact(Moment Now) const -> StoreContact {
  const auto FreshFor = Current_.Document_.Policy_.FreshFor_;
  if (FreshAt_ != TimePoint{} && FreshAt_ + FreshFor > Now.Steady_)
    return StoreContact::Fresh;
  return FailedAt_ > FreshAt_ ? StoreContact::Outage : StoreContact::Unsure;
}

auto EnvironmentView::mayGrant(Moment Now) const -> bool {
  // An entry that knows of a newer revision than it holds must not go on
  // granting under the older one.
  if (!Registered_ || Leaving_ || revision() < KnownRevision_)
    return false;
  switch (contact(Now)) {
  case StoreContact::Fresh:
    return true;
  case StoreContact::Outage:
    return FreshAt_ + Current_.Document_.Policy_.OutageHorizon_ > Now.Steady_;
  case StoreContact::Unsure:
    return false;
  }
  return false;
}

auto EnvironmentView::registrationFor() const -> Millis {
  return Current_.Document_.Policy_.RegistrationFor_;
}

auto EnvironmentView::keepLease(Moment Now) -> void {
  if (LeaseCallOpen_ || Now.Steady_ < NextRenewal_)
    return;
  if (Leaving_)
    return;
  NextRenewal_ = Now.Steady_ + registrationFor() / RenewalsPerLife;
  LeaseCallOpen_ = true;
  if (Lease_.empty())
    openLease();
  else if (!Announced_)
    announceGrantor();
  else
    renewLease();
}

auto EnvironmentView::openLease() -> void {
  Store_.call(OpenLease{registrationFor()},
              [this](Moment, const StoreResult &Result, EntryOutbox &) {
                LeaseCallOpen_ = false;
                if (Result.Status_ != StoreStatus::Ok)
                  return;
                Lease_ = Result.Lease_;
                LeaseCallOpen_ = true;
                announceGrantor();
              });
}

auto EnvironmentView::announceGrantor() -> void {
  Store_.call(WriteValue{grantorKey(Environment_, Self_.Entry_), Self_},
              [this](Moment, const StoreResult &Result, EntryOutbox &) {
                LeaseCallOpen_ = false;
                if (Result.Status_ != StoreStatus::Ok)
                  return;
                LeaseCallOpen_ = true;
                announceLease();
              });
}

auto EnvironmentView::announceLease() -> void {
  Store_.call(
      WriteUnderLease{leaseKey(Environment_, Self_.Entry_), Self_, Lease_},
      [this](Moment, const StoreResult &Result, EntryOutbox &) {
        LeaseCallOpen_ = false;
        if (Result.Status_ == StoreStatus::Ok) {
          Announced_ = true;
          ++Registrations_;
          // Nothing can be owned before a reading shows the registration.
          NextRead_ = {};
        }
        if (Result.Status_ == StoreStatus::NotFound)
          Lease_ = {};
      });
}

auto EnvironmentView::renewLease() -> void {
  Store_.call(RenewLease{Lease_},
              [this](Moment, const StoreResult &Result, EntryOutbox &) {
                LeaseCallOpen_ = false;
                if (Result.Status_ != StoreStatus::NotFound)
                  return;
                Lease_ = {};
                Announced_ = false;
              });
}

auto EnvironmentView::leave() -> void {
  if (Leaving_)
    return;
  Leaving_ = true;
  Registered_ = false;
  // The goodbye names the very registration that it ends: one that arrives
  // late must not take a later incarnation of this entry from the list.
  constexpr auto NeverWritten = std::numeric_limits<std::uint64_t>::max();
  const auto Index = GrantorIndex_ == 0 ? NeverWritten : GrantorIndex_;
  Store_.call(DeleteValue{grantorKey(Environment_, Self_.Entry_), Index},
              [this](Moment, const StoreResult &, EntryOutbox &) {
                if (Lease_.empty()) {
                  Left_ = true;
                  return;
                }
                Store_.call(EndLease{Lease_},
                            [this](Moment, const StoreResult &, EntryOutbox &) {
                              Left_ = true;
                            });
              });
}

} // namespace skylark
