/// \file
/// Defines the operators' document and the head of an environment that points
/// to it.
#pragma once

#include "core/Ids.h"
#include "core/Resources.h"
#include "core/Time.h"

#include <string>
#include <vector>

namespace skylark {

/// What an operator declares of one latency-critical service.
struct ServiceDeclaration {
  ServiceName Name_;
  Millis AnswerWithin_{500};

  static constexpr auto fields() {
    return std::make_tuple(&ServiceDeclaration::Name_,
                           &ServiceDeclaration::AnswerWithin_);
  }
};

/// One team and the most that its tasks may hold at once.
struct TeamDeclaration {
  TeamName Name_;
  Resources Quota_;

  static constexpr auto fields() {
    return std::make_tuple(&TeamDeclaration::Name_, &TeamDeclaration::Quota_);
  }
};

/// One queue that takes whole jobs of callers, found by host and path.
struct QueueDeclaration {
  QueueName Name_;
  /// Host name that callers ask for, without a port.
  std::string Host_;
  /// Start of the path; the rest of the path names the job.
  std::string PathPrefix_;
  ServiceName Service_;
  std::uint32_t Priority_ = 0;
  /// How often a task of the queue's jobs may fail.
  std::uint32_t FailureLimit_ = 5;
  /// A job is on time within this many times its longest chain of work ...
  double Stretch_ = 2.0;
  /// ... and this much more.
  Millis Slack_{1000};

  static constexpr auto fields() {
    return std::make_tuple(
        &QueueDeclaration::Name_, &QueueDeclaration::Host_,
        &QueueDeclaration::PathPrefix_, &QueueDeclaration::Service_,
        &QueueDeclaration::Priority_, &QueueDeclaration::FailureLimit_,
        &QueueDeclaration::Stretch_, &QueueDeclaration::Slack_);
  }
};

/// The longest start permit that a document may ask for.
constexpr Millis LongestPermit{5000};

/// Every duration and limit that operators may set.
struct PolicySettings {
  /// How long after a heartbeat an agent may go on starting tasks.
  Millis PermitFor_{2000};
  /// How old an entry's last read of the store may be for it to count as fresh.
  Millis FreshFor_{1000};
  /// How long an entry goes on granting while the store is unreachable for all.
  Millis OutageHorizon_{120000};
  /// How long a task may run after the last heartbeat its shard's owner
  /// acknowledged.
  Millis TaskLease_{10000};
  /// How long the connection of an agent may be silent before it is replaced.
  Millis SilentAfter_{2500};
  /// How long running tasks have to write a checkpoint.
  Millis CheckpointWithin_{3000};
  /// How long the load of a returning data centre takes to reach its share.
  Millis ReturnRamp_{10000};
  /// How long the result of a keyed request is kept.
  Seconds KeyRetention_{3 * 24 * 3600};
  /// Share of recent successes that may be spent on retries, in percent.
  std::uint32_t RetryPercent_ = 10;
  /// How often a task may fail before its job ends as failed.
  std::uint32_t TaskFailureLimit_ = 5;
  /// Whether running tasks move away when their data centre is taken out;
  /// otherwise they run on there to their end.
  bool MoveWhenOut_ = true;
  /// Lifetime of an entry's registration after its last renewal.
  Millis RegistrationFor_{6000};
  /// How often an entry reads the environment from the store.
  Millis ReadEvery_{300};

  static constexpr auto fields() {
    return std::make_tuple(
        &PolicySettings::PermitFor_, &PolicySettings::FreshFor_,
        &PolicySettings::OutageHorizon_, &PolicySettings::TaskLease_,
        &PolicySettings::SilentAfter_, &PolicySettings::CheckpointWithin_,
        &PolicySettings::ReturnRamp_, &PolicySettings::KeyRetention_,
        &PolicySettings::RetryPercent_, &PolicySettings::TaskFailureLimit_,
        &PolicySettings::MoveWhenOut_, &PolicySettings::RegistrationFor_,
        &PolicySettings::ReadEvery_);
  }
};

/// One document an environment: what the operators want.
struct Document {
  /// The text as the operator wrote it, comments included.
  std::string Text_;
  std::vector<DataCentreName> DataCentres_;
  std::vector<ServiceDeclaration> Services_;
  std::vector<TeamDeclaration> Teams_;
  std::vector<QueueDeclaration> Queues_;
  /// The size of the largest worker, against which a task is judged.
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
  /// The queue with the longest prefix of `Path` at `Host`; null for none.
  auto findQueue(const std::string &Host, const std::string &Path) const
      -> const QueueDeclaration *;
};

/// One write of the head, kept so that a writer whose answer was lost can tell
/// whether its write took effect.
struct HeadWrite {
  WriteId Write_;
  Revision Revision_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&HeadWrite::Write_, &HeadWrite::Revision_);
  }
};

/// The newest state of an environment; every change raises the revision.
struct EnvironmentHead {
  Revision Revision_ = 0;
  /// The revision that last changed the document itself.
  Revision DocumentRevision_ = 0;
  /// The revision that last changed what may start where.
  Revision StartRevision_ = 0;
  /// Content address of the document.
  std::string DocumentDigest_;
  std::vector<DataCentreName> Out_;
  std::vector<HeadWrite> RecentWrites_;

  static constexpr auto fields() {
    return std::make_tuple(
        &EnvironmentHead::Revision_, &EnvironmentHead::DocumentRevision_,
        &EnvironmentHead::StartRevision_, &EnvironmentHead::DocumentDigest_,
        &EnvironmentHead::Out_, &EnvironmentHead::RecentWrites_);
  }
  auto isOut(const DataCentreName &Name) const -> bool;
  /// The revision that `Write` made, or 0 where it is not among recent writes.
  auto revisionOf(const WriteId &Write) const -> Revision;
};

/// A head together with its document: what entries and agents hold.
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
  /// What an agent needs of it. Where starts have a revision of their own, the
  /// text and the queues are left out, since they change often and only
  /// entries read them.
  auto forAgents() const -> Configuration;
};

/// The content address of a document's text.
auto digestText(const std::string &Text) -> std::string;

/// The 64-bit digest of an answer or a key.
auto digest64(const std::string &Bytes) -> std::uint64_t;

} // namespace skylark
