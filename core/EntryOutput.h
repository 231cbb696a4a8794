/// \file
/// Defines the requests of callers and operators to an entry, the messages
/// between entries, and the outputs of an entry's state machine.
#pragma once

#include "core/AgentOutput.h"
#include "core/StoreCalls.h"

namespace skylark {

/// Identifies one caller that waits for an entry's answer.
using CallerToken = std::uint64_t;

/// A short request to a service, answered while the caller waits.
struct QuickRequest {
  ServiceName Service_;
  std::string Body_;
  /// How long the caller waits for the answer; zero means the service's answer
  /// timeout.
  Millis Timeout_{0};
  bool Idempotent_ = false;
  IdempotencyKey Key_;

  static constexpr auto fields() {
    return std::make_tuple(&QuickRequest::Service_, &QuickRequest::Body_,
                           &QuickRequest::Timeout_, &QuickRequest::Idempotent_,
                           &QuickRequest::Key_);
  }
};

/// The address of a caller's request to a queue: host and full path.
struct QueueAddress {
  std::string Host_;
  std::string Path_;

  static constexpr auto fields() {
    return std::make_tuple(&QueueAddress::Host_, &QueueAddress::Path_);
  }
};

struct SubmitJob {
  JobDeclaration Declaration_;
  IdempotencyKey Key_;
  /// The id that the caller chose; empty if the system generates one.
  JobId Job_;

  static constexpr auto fields() {
    return std::make_tuple(&SubmitJob::Declaration_, &SubmitJob::Key_,
                           &SubmitJob::Job_);
  }
};

/// Submits a job to the queue at an address, under the job id in the path.
struct SubmitToQueue {
  QueueAddress Address_;
  JobDeclaration Declaration_;

  static constexpr auto fields() {
    return std::make_tuple(&SubmitToQueue::Address_,
                           &SubmitToQueue::Declaration_);
  }
};

/// Asks for the state of the job whose id is in the path or, if the path has no
/// job id, for the number of the queue's jobs that have not started.
struct ReadQueue {
  QueueAddress Address_;

  static constexpr auto fields() {
    return std::make_tuple(&ReadQueue::Address_);
  }
};

/// Cancels the job whose id is in the path.
struct CancelInQueue {
  QueueAddress Address_;

  static constexpr auto fields() {
    return std::make_tuple(&CancelInQueue::Address_);
  }
};

/// Asks how many jobs of a queue have not started.
struct CountUnstartedJobs {
  QueueName Queue_;

  static constexpr auto fields() {
    return std::make_tuple(&CountUnstartedJobs::Queue_);
  }
};

struct GetJob {
  JobId Job_;
  /// Whether the reply holds only the job's state.
  bool StateOnly_ = false;
  /// The queue that the job was submitted to; empty if it was submitted to a
  /// team.
  QueueName Queue_;

  static constexpr auto fields() {
    return std::make_tuple(&GetJob::Job_, &GetJob::StateOnly_, &GetJob::Queue_);
  }
};

struct CancelJob {
  JobId Job_;
  /// Whether the reply holds only the job's state.
  bool StateOnly_ = false;
  /// The queue that the job was submitted to; empty if it was submitted to a
  /// team.
  QueueName Queue_;

  static constexpr auto fields() {
    return std::make_tuple(&CancelJob::Job_, &CancelJob::StateOnly_,
                           &CancelJob::Queue_);
  }
};

/// Asks for the recorded events of a request, by its id.
struct ExplainRequest {
  RequestId Request_;

  static constexpr auto fields() {
    return std::make_tuple(&ExplainRequest::Request_);
  }
};

struct GetDocument {
  EnvironmentName Environment_;

  static constexpr auto fields() {
    return std::make_tuple(&GetDocument::Environment_);
  }
};

/// Replaces an environment's document if its revision is still
/// `ExpectedRevision_`.
struct PutDocument {
  EnvironmentName Environment_;
  Document Document_;
  Revision ExpectedRevision_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&PutDocument::Environment_, &PutDocument::Document_,
                           &PutDocument::ExpectedRevision_);
  }
};

/// Copies the document of one environment to another one, unchanged.
struct PromoteDocument {
  EnvironmentName From_;
  EnvironmentName To_;

  static constexpr auto fields() {
    return std::make_tuple(&PromoteDocument::From_, &PromoteDocument::To_);
  }
};

struct SetDataCentreState {
  DataCentreName DataCentre_;
  /// True takes the data centre out of service; false puts it back.
  bool OutOfService_ = true;

  static constexpr auto fields() {
    return std::make_tuple(&SetDataCentreState::DataCentre_,
                           &SetDataCentreState::OutOfService_);
  }
};

struct ListTargets {
  static constexpr auto fields() { return std::make_tuple(); }
};

using CallerRequest =
    std::variant<QuickRequest, SubmitJob, GetJob, CancelJob, ExplainRequest,
                 GetDocument, PutDocument, PromoteDocument, SetDataCentreState,
                 ListTargets, SubmitToQueue, ReadQueue, CancelInQueue,
                 CountUnstartedJobs>;

struct ErrorReply {
  ErrorKind Kind_ = ErrorKind::None;
  std::string Detail_;
  /// Empty if no id was assigned to the request.
  RequestId Request_;

  static constexpr auto fields() {
    return std::make_tuple(&ErrorReply::Kind_, &ErrorReply::Detail_,
                           &ErrorReply::Request_);
  }
};

struct QuickReply {
  RequestId Request_;
  std::uint16_t Status_ = 0;
  std::string Body_;

  static constexpr auto fields() {
    return std::make_tuple(&QuickReply::Request_, &QuickReply::Status_,
                           &QuickReply::Body_);
  }
};

struct JobReply {
  Job Job_;

  static constexpr auto fields() { return std::make_tuple(&JobReply::Job_); }
};

/// The state of a job that was submitted to a queue, without its tasks.
struct JobStateReply {
  JobState State_ = JobState::Queued;

  static constexpr auto fields() {
    return std::make_tuple(&JobStateReply::State_);
  }
};

/// The number of a queue's jobs that have not started.
struct UnstartedJobsReply {
  std::uint64_t Count_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&UnstartedJobsReply::Count_);
  }
};

/// One recorded decision in the handling of a request.
struct RequestEvent {
  WallTime At_{};
  std::string Description_;
  AgentId Agent_;
  DataCentreName DataCentre_;
  ErrorKind Reason_ = ErrorKind::None;

  static constexpr auto fields() {
    return std::make_tuple(&RequestEvent::At_, &RequestEvent::Description_,
                           &RequestEvent::Agent_, &RequestEvent::DataCentre_,
                           &RequestEvent::Reason_);
  }
};

struct ExplainReply {
  RequestId Request_;
  std::vector<RequestEvent> Events_;

  static constexpr auto fields() {
    return std::make_tuple(&ExplainReply::Request_, &ExplainReply::Events_);
  }
};

struct DocumentReply {
  Revision Revision_ = 0;
  std::string Text_;

  static constexpr auto fields() {
    return std::make_tuple(&DocumentReply::Revision_, &DocumentReply::Text_);
  }
};

/// The answer to an operator's change.
struct ChangeReply {
  Revision Revision_ = 0;
  bool InForce_ = false;
  /// The targets and entries, and the store, whose confirmation is still
  /// missing; empty if the change is in force.
  std::vector<std::string> Missing_;
  /// Time until the last grant under an older revision ends. From then on the
  /// change is in force even without the missing confirmations.
  Millis InForceDelay_{0};

  static constexpr auto fields() {
    return std::make_tuple(&ChangeReply::Revision_, &ChangeReply::InForce_,
                           &ChangeReply::Missing_, &ChangeReply::InForceDelay_);
  }
};

/// One target in the list that operators read.
struct TargetStatus {
  AgentId Agent_;
  DataCentreName DataCentre_;
  std::string State_;
  Revision Revision_ = 0;
  std::uint32_t Running_ = 0;
  std::uint32_t Queued_ = 0;
  Resources Free_;

  static constexpr auto fields() {
    return std::make_tuple(&TargetStatus::Agent_, &TargetStatus::DataCentre_,
                           &TargetStatus::State_, &TargetStatus::Revision_,
                           &TargetStatus::Running_, &TargetStatus::Queued_,
                           &TargetStatus::Free_);
  }
};

struct TargetsReply {
  Revision Revision_ = 0;
  std::vector<TargetStatus> Targets_;

  static constexpr auto fields() {
    return std::make_tuple(&TargetsReply::Revision_, &TargetsReply::Targets_);
  }
};

using CallerReply =
    std::variant<ErrorReply, QuickReply, JobReply, ExplainReply, DocumentReply,
                 ChangeReply, TargetsReply, JobStateReply, UnstartedJobsReply>;

/// A shard that an entry owns, and the epoch of its ownership.
struct OwnedShard {
  ShardNumber Shard_ = 0;
  Epoch Epoch_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&OwnedShard::Shard_, &OwnedShard::Epoch_);
  }
};

/// An entry's periodic message to each other entry.
struct PeerHeartbeat {
  EntryId Entry_;
  Incarnation Incarnation_ = 0;
  Revision SeenRevision_ = 0;
  /// Agents known to the sender can start work only under this revision or a
  /// newer one.
  Revision ConfirmedRevision_ = 0;
  /// Shards that the sender owns and accepts requests for.
  std::vector<OwnedShard> Owned_;
  /// Shards that the sender has relinquished although the store still names it
  /// as owner, which it can't change while the store is unreachable.
  std::vector<OwnedShard> Relinquished_;
  /// Time since the sender last read the store.
  Millis StoreReadAge_{0};
  /// True if the sender is shutting down and acquires no more shards.
  bool Leaving_ = false;

  static constexpr auto fields() {
    return std::make_tuple(
        &PeerHeartbeat::Entry_, &PeerHeartbeat::Incarnation_,
        &PeerHeartbeat::SeenRevision_, &PeerHeartbeat::ConfirmedRevision_,
        &PeerHeartbeat::Owned_, &PeerHeartbeat::Relinquished_,
        &PeerHeartbeat::StoreReadAge_, &PeerHeartbeat::Leaving_);
  }
};

/// Forwards a caller's request to another entry: the owner of the shard that it
/// concerns or, for ExplainRequest, the entry that assigned the request id.
struct ForwardRequest {
  /// Chosen by the sender; the reply repeats it.
  std::uint64_t CallNumber_ = 0;
  CallerRequest Request_;

  static constexpr auto fields() {
    return std::make_tuple(&ForwardRequest::CallNumber_,
                           &ForwardRequest::Request_);
  }
};

struct ForwardReply {
  std::uint64_t CallNumber_ = 0;
  CallerReply Reply_;

  static constexpr auto fields() {
    return std::make_tuple(&ForwardReply::CallNumber_, &ForwardReply::Reply_);
  }
};

/// An entry ignores messages that its version doesn't know, so later versions
/// may append types.
using PeerMessage = std::variant<PeerHeartbeat, ForwardRequest, ForwardReply,
                                 ConfigurationUpdate>;

struct SendToAgent {
  SessionNumber Session_ = 0;
  EntryMessage Message_;
};

struct SendToPeer {
  EntryId Entry_;
  PeerMessage Message_;
};

struct AnswerCaller {
  CallerToken Token_ = 0;
  CallerReply Reply_;
};

struct CallStore {
  std::uint64_t Call_ = 0;
  StoreOperation Operation_;
};

struct CloseSession {
  SessionNumber Session_ = 0;
};

/// Asks the process to keep a connection to each of these entries.
struct ConnectPeers {
  std::vector<EntryRegistration> Peers_;
};

using EntryOutput =
    std::variant<SendToAgent, SendToPeer, AnswerCaller, CallStore, CloseSession,
                 ConnectPeers, LogDecision, ExitProcess>;
using EntryOutbox = std::vector<EntryOutput>;

} // namespace skylark
