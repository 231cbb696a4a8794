/// \file
/// Defines an entry's view of its environment: configuration, registrations,
/// and whether the entry may grant start permits.
#pragma once

#include "core/GrantBarrier.h"
#include "core/StoreClient.h"

#include <map>

namespace skylark {

/// How current an entry's knowledge of the store is.
enum class StoreContact : std::uint8_t {
  /// The last successful read is recent enough.
  Fresh,
  /// The last successful read is too old, and a read has failed since.
  Outage,
  /// The last successful read is too old, and no read has failed since: whether
  /// the store is reachable is not known.
  Unknown
};

/// An entry that may be granting start permits.
struct Grantor {
  Incarnation Incarnation_ = 0;
  /// The latest time at which its last permit can end; TimePoint::max() while
  /// its lease is live.
  TimePoint Until_{};
};

/// Polls the environment's head and the entries' registrations in one store
/// call, several times a second, and renews the entry's own registration.
class EnvironmentView {
public:
  /// \param Policy the settings that apply until a document has been read.
  EnvironmentView(EnvironmentName Environment, EntryRegistration Self,
                  const PolicySettings &Policy, StoreClient &Store);

  auto tick(Moment Now) -> void;
  /// Adopts a configuration received from an agent, if it is newer and its
  /// document matches its digest.
  auto offerConfiguration(Moment Now, const Configuration &Offered) -> void;
  /// Withdraws the registration on a graceful shutdown.
  auto leave() -> void;
  /// Requests a read of the store at the next tick.
  auto requestRead() -> void { NextReadAt_ = {}; }

  auto configuration() const -> const Configuration & { return Current_; }
  /// How the configuration was found.
  auto source() const -> ConfigurationSource { return Source_; }
  /// How many configurations have come into force.
  auto adoptionCount() const -> std::uint64_t { return AdoptionCount_; }
  auto revision() const -> Revision { return Current_.Head_.Revision_; }
  /// The revision up to which every change has been seen.
  auto asOf() const -> Revision { return std::max(AsOf_, revision()); }
  auto environment() const -> const EnvironmentName & { return Environment_; }
  auto storeContact(Moment Now) const -> StoreContact;
  /// When the last successful read of the store was sent.
  auto lastReadAt() const -> TimePoint { return LastReadAt_; }
  /// What prevents this entry from granting permits. It may grant if it is
  /// registered and its view is fresh. In an outage it may do so within the
  /// outage horizon if it holds the newest configuration that it knows of.
  auto grantBarrier(Moment Now) const -> GrantBarrier;
  auto mayGrant(Moment Now) const -> bool {
    return grantBarrier(Now) == GrantBarrier::None;
  }
  /// The time by which every permit that this entry granted under older
  /// revisions has ended.
  auto oldGrantsEnd() const -> TimePoint { return OldGrantsEnd_; }
  /// True while permits granted by an earlier incarnation of this entry may
  /// still be valid.
  auto earlierGrantsPossible(Moment Now) const -> bool {
    return Now.Steady_ < EarlierGrantsEnd_;
  }
  /// Other entries registered under a live lease.
  auto peers() const -> const std::vector<EntryRegistration> & {
    return Peers_;
  }
  auto isRegistered(const EntryId &Entry, Incarnation IncarnationNumber) const
      -> bool;
  /// True if any incarnation of the entry is registered.
  auto isRegistered(const EntryId &Entry) const -> bool;
  /// Entries that may still be granting permits.
  auto grantors() const -> const std::map<EntryId, Grantor> & {
    return Grantors_;
  }
  /// The highest revision that a read of the store has returned; the same read
  /// returned the entries registered at that time.
  auto knownRevision() const -> Revision { return KnownRevision_; }
  /// How often this entry has registered; more than once only after its lease
  /// or its key was lost.
  auto registrationCount() const -> std::uint64_t { return RegistrationCount_; }
  auto registered() const -> bool { return Registered_; }
  /// True shortly after an outage of the store: live entries whose
  /// registrations expired during the outage may not have registered again yet.
  auto expirationsUnreliable(Moment Now) const -> bool;
  /// When the first and the last read of a series of consecutive failed reads
  /// were sent.
  struct FailedReads {
    TimePoint FirstAt_;
    TimePoint LastAt_;
  };
  /// The current series of failed reads; none if the last read succeeded.
  auto failedReads() const -> const std::optional<FailedReads> & {
    return FailedReads_;
  }
  /// True once the store has answered the calls of leave(), even with a
  /// failure.
  auto leaveCompleted() const -> bool { return LeaveCompleted_; }

private:
  /// Starts a read of the environment. A head with an unknown digest is
  /// followed by a read of its document, and the next read starts only after
  /// that: a read counts once the entry holds the configuration that it has
  /// found.
  auto readEnvironment(Moment Now) -> void;
  auto handleEnvironmentRead(Moment Now, const StoreResult &Result,
                             TimePoint SentAt) -> void;
  /// Reads the document of a head that was read as of the revision `AsOf`, by a
  /// read sent at `SentAt`.
  auto readDocument(const EnvironmentHead &Head, ConfigurationSource Source,
                    Revision AsOf, TimePoint SentAt) -> void;
  /// Records that the configuration held was the newest one at `SentAt`.
  auto completeRead(Moment Now, Revision AsOf, TimePoint SentAt) -> void;
  auto failRead(Moment Now, TimePoint SentAt) -> void;
  /// Whether a data centre is out in the newest head read, but not in the
  /// configuration held.
  auto newerForbidsStarts() const -> bool;
  auto adoptConfiguration(Moment Now, Configuration Next,
                          ConfigurationSource Source) -> void;
  auto updateRegistrations(Moment Now, const EnvironmentState &State) -> void;
  auto updateGrantors(Moment Now, const EnvironmentState &State) -> void;
  auto registrationDuration() const -> Millis;
  auto maintainLease(Moment Now) -> void;
  auto createLease() -> void;
  auto writeGrantorKey() -> void;
  auto writeLeaseKey() -> void;
  auto renewLease() -> void;

  EnvironmentName Environment_;
  EntryRegistration Self_;
  StoreClient &Store_;
  Configuration Current_;
  ConfigurationSource Source_ = ConfigurationSource::Unknown;
  std::uint64_t AdoptionCount_ = 0;
  /// The highest revision that the store is known to hold.
  Revision KnownRevision_ = 0;
  /// The data centres that are out of service at that revision.
  std::vector<DataCentreName> KnownDataCentresOut_;
  Revision AsOf_ = 0;
  TimePoint OldGrantsEnd_{};
  TimePoint EarlierGrantsEnd_{};
  /// Whether the environment, or the document of the head found, is being read.
  bool ReadPending_ = false;
  /// A read of the environment that waits for the document of its head.
  struct PendingRead {
    Revision Revision_ = 0;
    Revision AsOf_ = 0;
    TimePoint SentAt_;
  };
  std::optional<PendingRead> PendingRead_;
  TimePoint NextReadAt_{};
  TimePoint LastReadAt_{};
  TimePoint LastFailureAt_{};
  std::optional<FailedReads> FailedReads_;
  /// When the store first answered after the last outage.
  TimePoint StoreRecoveredAt_{};
  bool LeaseCallPending_ = false;
  LeaseId Lease_;
  bool LeaseKeyWritten_ = false;
  bool Registered_ = false;
  std::uint64_t RegistrationCount_ = 0;
  TimePoint NextRenewalAt_{};
  std::vector<EntryRegistration> Peers_;
  /// All entries registered under a live lease, including this one.
  std::vector<EntryRegistration> Leases_;
  std::map<EntryId, Grantor> Grantors_;
  /// When a read first showed a grantor without a live lease.
  std::map<EntryId, TimePoint> ExpiredAt_;
  /// The store's index of this entry's grantor key.
  std::uint64_t GrantorIndex_ = 0;
  bool Leaving_ = false;
  bool LeaveCompleted_ = false;
};

} // namespace skylark
