/// \file
/// Defines an environment's configuration document, which its operators write,
/// and the head, which points to the current document.
#pragma once

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

#include <string>
#include <vector>

namespace skylark {

/// Declaration of one latency-critical service.
struct ServiceDeclaration {
  ServiceName Name_;
  /// Default time limit for answering a request.
  Millis AnswerTimeout_{500};

  static constexpr auto fields() {
    return std::make_tuple(&ServiceDeclaration::Name_,
                           &ServiceDeclaration::AnswerTimeout_);
  }
};

/// Declaration of one team, with the limit of what its tasks may reserve.
struct TeamDeclaration {
  TeamName Name_;
  Resources Quota_;

  static constexpr auto fields() {
    return std::make_tuple(&TeamDeclaration::Name_, &TeamDeclaration::Quota_);
  }
};

/// Declaration of one queue to which callers submit jobs; it is selected by
/// the host and path of a request.
struct QueueDeclaration {
  QueueName Name_;
  /// Host name in the request, without a port.
  std::string Host_;
  /// Prefix of the path; the rest of the path names the job.
  std::string PathPrefix_;
  ServiceName Service_;
  std::uint32_t Priority_ = 0;
  /// How often a task of the queue's jobs may fail before its job ends as
  /// failed.
  std::uint32_t FailureLimit_ = 5;
  /// The deadline of a job is its submission, or its first scheduled start if
  /// that is later, plus DeadlineStretch_ times its critical path, plus
  /// DeadlineSlack_.
  double DeadlineStretch_ = 2.0;
  Millis DeadlineSlack_{1000};

  static constexpr auto fields() {
    return std::make_tuple(
        &QueueDeclaration::Name_, &QueueDeclaration::Host_,
        &QueueDeclaration::PathPrefix_, &QueueDeclaration::Service_,
        &QueueDeclaration::Priority_, &QueueDeclaration::FailureLimit_,
        &QueueDeclaration::DeadlineStretch_, &QueueDeclaration::DeadlineSlack_);
  }
};

/// Upper limit of the duration of start permits in a document.
constexpr Millis MaxPermitDuration{5000};

/// Durations and limits that operators may set.
struct PolicySettings {
  /// How long an agent may start tasks after a heartbeat.
  Millis PermitDuration_{2000};
  /// Maximum age at which an entry's last read of the store counts as fresh.
  Millis FreshnessWindow_{1000};
  /// How long an entry continues to grant permits and leases while the store is
  /// unreachable for all entries.
  Millis OutageHorizon_{120000};
  /// How long a task may run after the last heartbeat that its shard's owner
  /// acknowledged.
  Millis TaskLeaseDuration_{10000};
  /// How long an agent's connection may be silent before it is replaced.
  Millis SilenceTimeout_{2500};
  /// Time limit for a running task to write a checkpoint.
  Millis CheckpointTimeout_{3000};
  /// Time over which the load of a returning data centre ramps up to its full
  /// share.
  Millis ReturnRamp_{10000};
  /// How long the result of a request with an idempotency key is kept.
  Seconds KeyRetention_{3 * 24 * 3600};
  /// Retry budget: retries per recent success, in percent.
  std::uint32_t RetryPercent_ = 10;
  /// How often a task may fail before its job ends as failed.
  std::uint32_t TaskFailureLimit_ = 5;
  /// Whether running tasks are stopped and continue in another data centre when
  /// theirs is taken out of service; otherwise they run to their end there.
  bool MoveWhenOut_ = true;
  /// Lifetime of an entry's registration after its last renewal.
  Millis RegistrationTtl_{6000};
  /// Interval at which an entry reads the environment from the store.
  Millis ReadInterval_{300};
  /// How long a job stays known after its end, at least.
  Seconds JobStatusTime_{24 * 3600};

  static constexpr std::size_t RequiredFields = 13;
  static constexpr auto fields() {
    return std::make_tuple(
        &PolicySettings::PermitDuration_, &PolicySettings::FreshnessWindow_,
        &PolicySettings::OutageHorizon_, &PolicySettings::TaskLeaseDuration_,
        &PolicySettings::SilenceTimeout_, &PolicySettings::CheckpointTimeout_,
        &PolicySettings::ReturnRamp_, &PolicySettings::KeyRetention_,
        &PolicySettings::RetryPercent_, &PolicySettings::TaskFailureLimit_,
        &PolicySettings::MoveWhenOut_, &PolicySettings::RegistrationTtl_,
        &PolicySettings::ReadInterval_, &PolicySettings::JobStatusTime_);
  }
};

/// The configuration of an environment, as declared by its operators. Each
/// environment has exactly one document.
struct Document {
  /// The text as the operator wrote it, comments included.
  std::string Text_;
  std::vector<DataCentreName> DataCentres_;
  std::vector<ServiceDeclaration> Services_;
  std::vector<TeamDeclaration> Teams_;
  std::vector<QueueDeclaration> Queues_;
  /// Capacity of the largest worker; a task that needs more is refused.
  Resources LargestWorker_;
  PolicySettings Policy_;

  static constexpr auto fields() {
    return std::make_tuple(&Document::Text_, &Document::DataCentres_,
                           &Document::Services_, &Document::Teams_,
                           &Document::Queues_, &Document::LargestWorker_,
                           &Document::Policy_);
  }
  auto findService(const ServiceName &Name) const -> const ServiceDeclaration *;
  auto findTeam(const TeamName &Name) const -> const TeamDeclaration *;
  auto hasDataCentre(const DataCentreName &Name) const -> bool;
  /// The queue at `Host` with the longest prefix that matches `Path`; null if
  /// none matches.
  auto findQueue(const std::string &Host, const std::string &Path) const
      -> const QueueDeclaration *;
};

/// One write of the head, kept so that a writer that got no answer can find
/// out whether its write took effect.
struct HeadWrite {
  WriteId Write_;
  Revision Revision_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&HeadWrite::Write_, &HeadWrite::Revision_);
  }
};

/// The current state of an environment; every change increments the revision.
struct EnvironmentHead {
  Revision Revision_ = 0;
  /// The revision that last changed the document itself.
  Revision DocumentRevision_ = 0;
  /// The revision that last changed which tasks may start where; 0 if that is
  /// not tracked separately, so that Revision_ applies.
  Revision StartRevision_ = 0;
  /// Digest of the document's text; the store keeps the document under it.
  std::string DocumentDigest_;
  /// Data centres that are out of service.
  std::vector<DataCentreName> DataCentresOut_;
  std::vector<HeadWrite> RecentWrites_;

  static constexpr auto fields() {
    return std::make_tuple(
        &EnvironmentHead::Revision_, &EnvironmentHead::DocumentRevision_,
        &EnvironmentHead::StartRevision_, &EnvironmentHead::DocumentDigest_,
        &EnvironmentHead::DataCentresOut_, &EnvironmentHead::RecentWrites_);
  }
  auto isOut(const DataCentreName &Name) const -> bool;
  /// Whether this head, found by a later read of the same store, replaces
  /// `Held`. Heads of one revision differ if a change was found after a newer
  /// one and nothing has been written since.
  auto supersedes(const EnvironmentHead &Held) const -> bool;
  /// The revision that `Write` made, or 0 where it is not among recent writes.
  auto revisionOf(const WriteId &Write) const -> Revision;
};

/// A head together with its document: the configuration that entries and agents
/// use.
struct Configuration {
  EnvironmentHead Head_;
  Document Document_;

  static constexpr auto fields() {
    return std::make_tuple(&Configuration::Head_, &Configuration::Document_);
  }
  /// The revision under which agents start tasks.
  auto startRevision() const -> Revision {
    return Head_.StartRevision_ == 0 ? Head_.Revision_ : Head_.StartRevision_;
  }
  /// The part that agents need: the whole configuration, or, if the head has a
  /// start revision of its own, only that revision, the data centres,
  /// which of them are out of service, and the policy. The text and the queues
  /// are left out then, since they change often and only entries read them.
  auto forAgents() const -> Configuration;
};

/// Digest of a document's text, under which the store keeps the document: 32
/// hexadecimal digits.
auto digestText(const std::string &Text) -> std::string;

/// 64-bit digest, for answers and keys.
auto digest64(const std::string &Bytes) -> std::uint64_t;

} // namespace skylark
