/// \file
/// Defines what callers and operators ask of an entry, and what an entry asks
/// of the world around it.
#pragma once

#include "core/AgentOutput.h"
#include "core/StoreCalls.h"

namespace skylark {

/// Names one waiting caller of an entry.
using CallerToken = std::uint64_t;

/// A quick request to a service.
struct QuickRequest {
  ServiceName Service_;
  std::string Body_;
  Millis Within_{0};
  bool Idempotent_ = false;
  IdempotencyKey Key_;

  static constexpr auto fields() {
    return std::make_tuple(&QuickRequest::Service_, &QuickRequest::Body_,
                           &QuickRequest::Within_, &QuickRequest::Idempotent_,
                           &QuickRequest::Key_);
  }
};

/// Where a caller found a queue: the host and the whole path asked for.
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
  /// The id that the caller chose; empty where the system makes one.
  JobId Job_;

  static constexpr auto fields() {
    return std::make_tuple(&SubmitJob::Declaration_, &SubmitJob::Key_,
                           &SubmitJob::Job_);
  }
};

/// Submits a job to the queue at an address, under the id that the path names.
struct SubmitToQueue {
  QueueAddress Address_;
  JobDeclaration Declaration_;

  static constexpr auto fields() {
    return std::make_tuple(&SubmitToQueue::Address_,
                           &SubmitToQueue::Declaration_);
  }
};

/// Asks for the job, or the count of unstarted jobs, that the path names.
struct ReadQueue {
  QueueAddress Address_;

  static constexpr auto fields() {
    return std::make_tuple(&ReadQueue::Address_);
  }
};

/// Cancels the job that the path names.
struct CancelInQueue {
  QueueAddress Address_;

  static constexpr auto fields() {
    return std::make_tuple(&CancelInQueue::Address_);
  }
};

/// Asks how many jobs of a queue have not begun.
struct CountUnstarted {
  QueueName Queue_;

  static constexpr auto fields() {
    return std::make_tuple(&CountUnstarted::Queue_);
  }
};

struct GetJob {
  JobId Job_;
  /// Whether only the job's state is wanted in answer.
  bool StateOnly_ = false;
  /// The queue of the job; empty for one submitted to a team.
  QueueName Queue_;

  static constexpr auto fields() {
    return std::make_tuple(&GetJob::Job_, &GetJob::StateOnly_, &GetJob::Queue_);
  }
};

struct CancelJob {
  JobId Job_;
  /// Whether only the job's state is wanted in answer.
  bool StateOnly_ = false;
  /// The queue of the job; empty for one submitted to a team.
  QueueName Queue_;

  static constexpr auto fields() {
    return std::make_tuple(&CancelJob::Job_, &CancelJob::StateOnly_,
                           &CancelJob::Queue_);
  }
};

/// Asks what is known of a request, by its id or its key.
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

/// Replaces an environment's document if its revision is still `IfRevision_`.
struct PutDocument {
  EnvironmentName Environment_;
  Document Document_;
  Revision IfRevision_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&PutDocument::Environment_, &PutDocument::Document_,
                           &PutDocument::IfRevision_);
  }
};

/// Puts the document of one environment into another, unchanged.
struct PromoteDocument {
  EnvironmentName From_;
  EnvironmentName To_;

  static constexpr auto fields() {
    return std::make_tuple(&PromoteDocument::From_, &PromoteDocument::To_);
  }
};

struct SetDataCentre {
  DataCentreName DataCentre_;
  bool Out_ = true;

  static constexpr auto fields() {
    return std::make_tuple(&SetDataCentre::DataCentre_, &SetDataCentre::Out_);
  }
};

struct ListTargets {
  static constexpr auto fields() { return std::make_tuple(); }
};

using CallerRequest =
    std::variant<QuickRequest, SubmitJob, GetJob, CancelJob, ExplainRequest,
                 GetDocument, PutDocument, PromoteDocument, SetDataCentre,
                 ListTargets, SubmitToQueue, ReadQueue, CancelInQueue,
                 CountUnstarted>;

struct ErrorReply {
  ErrorKind Kind_ = ErrorKind::None;
  std::string Detail_;
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

/// The state of a job of a queue, without its tasks.
struct JobStateReply {
  JobState State_ = JobState::Queued;

  static constexpr auto fields() {
    return std::make_tuple(&JobStateReply::State_);
  }
};

struct UnstartedReply {
  std::uint64_t Count_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&UnstartedReply::Count_);
  }
};

/// One decision on the way of a request.
struct RequestEvent {
  WallTime At_{};
  std::string What_;
  AgentId Agent_;
  DataCentreName DataCentre_;
  ErrorKind Reason_ = ErrorKind::None;

  static constexpr auto fields() {
    return std::make_tuple(&RequestEvent::At_, &RequestEvent::What_,
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

/// The answer to an operator's change. Where it is not in force yet, says who
/// has not confirmed it and after how long the last old grant ends.
struct ChangeReply {
  Revision Revision_ = 0;
  bool InForce_ = false;
  std::vector<std::string> Missing_;
  Millis InForceWithin_{0};

  static constexpr auto fields() {
    return std::make_tuple(&ChangeReply::Revision_, &ChangeReply::InForce_,
                           &ChangeReply::Missing_,
                           &ChangeReply::InForceWithin_);
  }
};

struct TargetLine {
  AgentId Agent_;
  DataCentreName DataCentre_;
  std::string State_;
  Revision Revision_ = 0;
  std::uint32_t Running_ = 0;
  std::uint32_t Queued_ = 0;
  Resources Free_;

  static constexpr auto fields() {
    return std::make_tuple(&TargetLine::Agent_, &TargetLine::DataCentre_,
                           &TargetLine::State_, &TargetLine::Revision_,
                           &TargetLine::Running_, &TargetLine::Queued_,
                           &TargetLine::Free_);
  }
};

struct TargetsReply {
  Revision Revision_ = 0;
  std::vector<TargetLine> Targets_;

  static constexpr auto fields() {
    return std::make_tuple(&TargetsReply::Revision_, &TargetsReply::Targets_);
  }
};

using CallerReply =
    std::variant<ErrorReply, QuickReply, JobReply, ExplainReply, DocumentReply,
                 ChangeReply, TargetsReply, JobStateReply, UnstartedReply>;

/// A shard that an entry owns and serves, and since which epoch.
struct OwnedShard {
  ShardNumber Shard_ = 0;
  Epoch Epoch_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&OwnedShard::Shard_, &OwnedShard::Epoch_);
  }
};

/// The periodic message between entries.
struct PeerBeat {
  EntryId Entry_;
  Incarnation Incarnation_ = 0;
  Revision SeenRevision_ = 0;
  /// No agent that this entry knows of can start under an older revision.
  Revision ConfirmedRevision_ = 0;
  std::vector<OwnedShard> Owned_;
  /// Shards that the sender still owns by the store's record and has given up,
  /// since it can't reach the store to say so there.
  std::vector<OwnedShard> Renounced_;
  /// How long ago the sender last read the store.
  Millis StoreReadAge_{0};
  /// True if the sender stops and takes no shard any more.
  bool Leaving_ = false;

  static constexpr auto fields() {
    return std::make_tuple(
        &PeerBeat::Entry_, &PeerBeat::Incarnation_, &PeerBeat::SeenRevision_,
        &PeerBeat::ConfirmedRevision_, &PeerBeat::Owned_, &PeerBeat::Renounced_,
        &PeerBeat::StoreReadAge_, &PeerBeat::Leaving_);
  }
};

/// Passes a caller's request to the entry that owns its shard.
struct Forward {
  std::uint64_t Number_ = 0;
  CallerRequest Request_;

  static constexpr auto fields() {
    return std::make_tuple(&Forward::Number_, &Forward::Request_);
  }
};

struct ForwardReply {
  std::uint64_t Number_ = 0;
  CallerReply Reply_;

  static constexpr auto fields() {
    return std::make_tuple(&ForwardReply::Number_, &ForwardReply::Reply_);
  }
};

using PeerMessage = std::variant<PeerBeat, Forward, ForwardReply>;

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

/// Asks the driver to hold a connection to each of these entries.
struct ConnectPeers {
  std::vector<EntryRegistration> Peers_;
};

using EntryOutput =
    std::variant<SendToAgent, SendToPeer, AnswerCaller, CallStore, CloseSession,
                 ConnectPeers, LogDecision, ExitProcess>;
using EntryOutbox = std::vector<EntryOutput>;

} // namespace skylark
