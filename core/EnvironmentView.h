/// \file
/// Defines an entry's view of its environment: configuration, registration,
/// and whether it may grant.
#pragma once

#include "core/StorePort.h"

#include <map>

namespace skylark {

/// How well an entry knows the state of the store.
enum class StoreContact : std::uint8_t {
  /// Read within the freshness time.
  Fresh,
  /// A read was tried since the last good one, and failed.
  Outage,
  /// Neither: nothing may be concluded.
  Unsure
};

/// An entry that may be granting: until when at the latest, which is
/// TimePoint::max() while its lease lives.
struct Grantor {
  Incarnation Incarnation_ = 0;
  TimePoint Until_{};
};

/// Reads the environment's head and the entries' registrations in one call,
/// several times a second, and keeps the entry's own registration alive.
class EnvironmentView {
public:
  /// \param Policy what holds until there is a document.
  EnvironmentView(EnvironmentName Environment, EntryRegistration Self,
                  const PolicySettings &Policy, StorePort &Store);

  auto tick(Moment Now) -> void;
  /// Adopts a configuration that an agent brought, if it is newer and whole.
  auto learn(Moment Now, const Configuration &Learned) -> void;
  /// Withdraws the registration on a graceful shutdown.
  auto leave() -> void;
  /// Reads the store at the next tick.
  auto readSoon() -> void { NextRead_ = {}; }

  auto configuration() const -> const Configuration & { return Current_; }
  auto revision() const -> Revision { return Current_.Head_.Revision_; }
  /// Up to this revision every change has been seen.
  auto asOf() const -> Revision { return std::max(AsOf_, revision()); }
  auto environment() const -> const EnvironmentName & { return Environment_; }
  auto contact(Moment Now) const -> StoreContact;
  /// When the store was last read.
  auto freshAt() const -> TimePoint { return FreshAt_; }
  /// True if this entry may grant at all: it is registered, and fresh or within
  /// the outage horizon.
  auto mayGrant(Moment Now) const -> bool;
  /// When every grant that this entry gave under older revisions has ended.
  auto oldGrantsEnd() const -> TimePoint { return OldGrantsEnd_; }
  /// True while grants of an earlier incarnation of this entry may last.
  auto settlingIn(Moment Now) const -> bool { return Now.Steady_ < SettledAt_; }
  /// Other entries that are registered under a live lease.
  auto peers() const -> const std::vector<EntryRegistration> & {
    return Peers_;
  }
  auto isRegistered(const EntryId &Entry, Incarnation Number) const -> bool;
  /// True if any process of the entry is registered.
  auto isRegistered(const EntryId &Entry) const -> bool;
  /// Entries that may still be granting.
  auto grantors() const -> const std::map<EntryId, Grantor> & {
    return Grantors_;
  }
  /// The highest revision that a read of the store has shown, together with
  /// the entries registered at that time.
  auto knownRevision() const -> Revision { return KnownRevision_; }
  /// How often this entry has registered; a second time only after its lease
  /// was lost.
  auto registrations() const -> std::uint64_t { return Registrations_; }
  auto registered() const -> bool { return Registered_; }
  /// Whether the store has come back so lately that registrations which lapsed
  /// meanwhile may still be renewed by entries that live.
  auto lapsesDoubtful(Moment Now) const -> bool;
  /// When the first and the last reading of an unbroken series of failures was
  /// sent.
  struct FailedReadings {
    TimePoint FirstAt_;
    TimePoint LastAt_;
  };
  /// The present series; nothing where the last reading has succeeded.
  auto failing() const -> const std::optional<FailedReadings> & {
    return Failing_;
  }
  auto left() const -> bool { return Left_; }

private:
  auto readLive(Moment Now) -> void;
  auto liveRead(Moment Now, const StoreResult &Result, TimePoint SentAt)
      -> void;
  auto adopt(Moment Now, const EnvironmentHead &Head) -> void;
  auto adoptWith(Moment Now, Configuration Next) -> void;
  auto noteEntries(Moment Now, const LiveView &Live) -> void;
  auto noteGrantors(Moment Now, const LiveView &Live) -> void;
  auto registrationFor() const -> Millis;
  auto keepLease(Moment Now) -> void;
  auto openLease() -> void;
  auto announceGrantor() -> void;
  auto announceLease() -> void;
  auto renewLease() -> void;

  EnvironmentName Environment_;
  EntryRegistration Self_;
  StorePort &Store_;
  Configuration Current_;
  /// The highest revision that the store is known to hold.
  Revision KnownRevision_ = 0;
  Revision AsOf_ = 0;
  TimePoint OldGrantsEnd_{};
  TimePoint SettledAt_{};
  bool ReadOpen_ = false;
  bool DocumentOpen_ = false;
  TimePoint NextRead_{};
  TimePoint FreshAt_{};
  TimePoint FailedAt_{};
  std::optional<FailedReadings> Failing_;
  /// When the last series of failed readings ended.
  TimePoint ReturnedAt_{};
  bool LeaseCallOpen_ = false;
  LeaseId Lease_;
  bool Announced_ = false;
  bool Registered_ = false;
  std::uint64_t Registrations_ = 0;
  TimePoint NextRenewal_{};
  std::vector<EntryRegistration> Peers_;
  std::vector<EntryRegistration> Leases_;
  std::map<EntryId, Grantor> Grantors_;
  std::map<EntryId, TimePoint> LapsedAt_;
  /// The store's index of this entry's own registration.
  std::uint64_t GrantorIndex_ = 0;
  bool Leaving_ = false;
  bool Left_ = false;
};

} // namespace skylark
