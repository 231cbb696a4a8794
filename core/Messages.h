/// \file
/// Defines the typed messages between entries, agents and workers.
#pragma once

#include "core/Document.h"
#include "core/Interference.h"
#include "core/Job.h"

#include <optional>
#include <variant>

namespace skylark {

/// Version of the messages; a peer with another major version is refused.
constexpr std::uint32_t ProtocolVersion = 1;

/// What an agent holds of one task.
enum class TaskPhase : std::uint8_t {
  Queued,
  Starting,
  Running,
  Stopping,
  /// Ended states, reported until the owner has recorded them.
  Finished,
  Failed,
  Stopped,
  NotStarted
};

constexpr auto isEnded(TaskPhase Phase) -> bool {
  return Phase >= TaskPhase::Finished;
}

/// Binds a task to an agent: the agent may start it when it has room.
struct BindTask {
  /// Rises with each message that starts work on a connection.
  std::uint64_t Sequence_ = 0;
  ShardNumber Shard_ = 0;
  Epoch Epoch_ = 0;
  Incarnation Worker_ = 0;
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
  WorkKind Kind_ = WorkKind::Batch;
  Resources Resources_;
  Millis RunTime_{0};
  WallTime Deadline_{};
  CheckpointId Checkpoint_;
  std::string Payload_;
  /// Work of a lower number starts first.
  std::uint32_t Priority_ = 0;
  /// The task takes what processors others leave; see StepDeclaration.
  bool Fills_ = false;
  /// Processors, in thousandths, that a task which fills uses at full speed.
  std::int64_t FillingMilliCores_ = 0;
  /// The task starts even where what it presses leaves it little room.
  bool Insists_ = false;
  bool Checkpoints_ = false;
  std::string Image_;
  Millis TailTarget_{0};

  static constexpr auto fields() {
    return std::make_tuple(
        &BindTask::Sequence_, &BindTask::Shard_, &BindTask::Epoch_,
        &BindTask::Worker_, &BindTask::Task_, &BindTask::Attempt_,
        &BindTask::Kind_, &BindTask::Resources_, &BindTask::RunTime_,
        &BindTask::Deadline_, &BindTask::Checkpoint_, &BindTask::Payload_,
        &BindTask::Priority_, &BindTask::Fills_, &BindTask::FillingMilliCores_,
        &BindTask::Insists_, &BindTask::Checkpoints_, &BindTask::Image_,
        &BindTask::TailTarget_);
  }
};

/// Asks an agent to stop a task, or never to start it.
struct StopTask {
  ShardNumber Shard_ = 0;
  Epoch Epoch_ = 0;
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
  ErrorKind Reason_ = ErrorKind::Cancelled;

  static constexpr auto fields() {
    return std::make_tuple(&StopTask::Shard_, &StopTask::Epoch_,
                           &StopTask::Task_, &StopTask::Attempt_,
                           &StopTask::Reason_);
  }
};

/// What became of an attempt, repeated by the agent until it is acknowledged.
struct TaskReport {
  ShardNumber Shard_ = 0;
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
  TaskPhase Phase_ = TaskPhase::Queued;
  CheckpointId Checkpoint_;
  ErrorKind Reason_ = ErrorKind::None;
  /// The agent found the task on its worker after a restart and doesn't know
  /// what it was bound with.
  bool NeedsBinding_ = false;

  static constexpr auto fields() {
    return std::make_tuple(&TaskReport::Shard_, &TaskReport::Task_,
                           &TaskReport::Attempt_, &TaskReport::Phase_,
                           &TaskReport::Checkpoint_, &TaskReport::Reason_,
                           &TaskReport::NeedsBinding_);
  }
};

struct TaskReportAck {
  TaskId Task_;
  AttemptNumber Attempt_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&TaskReportAck::Task_, &TaskReportAck::Attempt_);
  }
};

/// An entry tells an agent that it owns a shard.
struct ClaimOwnership {
  ShardNumber Shard_ = 0;
  Epoch Epoch_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&ClaimOwnership::Shard_, &ClaimOwnership::Epoch_);
  }
};

/// An agent's answer: it obeys this epoch from now on, and holds just these
/// tasks of the shard.
struct ConfirmOwnership {
  ShardNumber Shard_ = 0;
  Epoch Epoch_ = 0;
  Incarnation Worker_ = 0;
  std::vector<TaskReport> Held_;

  static constexpr auto fields() {
    return std::make_tuple(&ConfirmOwnership::Shard_, &ConfirmOwnership::Epoch_,
                           &ConfirmOwnership::Worker_,
                           &ConfirmOwnership::Held_);
  }
};

/// The first message of an agent on a connection.
struct Hello {
  std::uint32_t Version_ = ProtocolVersion;
  AgentId Agent_;
  /// Incarnation of the agent process.
  Incarnation Incarnation_ = 0;
  /// Incarnation of the worker beside it; a replaced worker has a higher one.
  Incarnation Worker_ = 0;
  DataCentreName DataCentre_;
  std::string Rack_;
  Resources Capacity_;
  std::uint32_t Slots_ = 0;
  std::uint32_t Connections_ = 0;
  std::vector<ServiceName> Services_;
  std::vector<std::string> Labels_;
  Revision Revision_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(
        &Hello::Version_, &Hello::Agent_, &Hello::Incarnation_, &Hello::Worker_,
        &Hello::DataCentre_, &Hello::Rack_, &Hello::Capacity_, &Hello::Slots_,
        &Hello::Connections_, &Hello::Services_, &Hello::Labels_,
        &Hello::Revision_);
  }
};

/// What an agent last knew of its target and worker.
struct AgentLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Queued_ = 0;
  /// Recent mean time that the target takes for a request.
  Micros ServiceTime_{0};
  Resources Free_;
  std::uint32_t TasksQueued_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&AgentLoad::Running_, &AgentLoad::Queued_,
                           &AgentLoad::ServiceTime_, &AgentLoad::Free_,
                           &AgentLoad::TasksQueued_);
  }
};

/// An agent's periodic message to each entry.
struct Heartbeat {
  std::uint64_t Sequence_ = 0;
  Revision Revision_ = 0;
  /// Nothing can start on this worker any more under a revision below this.
  Revision InForceRevision_ = 0;
  AgentLoad Load_;
  bool Leaving_ = false;
  /// True if an entry other than the receiver has just read the store.
  bool OtherEntryFresh_ = false;

  static constexpr auto fields() {
    return std::make_tuple(&Heartbeat::Sequence_, &Heartbeat::Revision_,
                           &Heartbeat::InForceRevision_, &Heartbeat::Load_,
                           &Heartbeat::Leaving_, &Heartbeat::OtherEntryFresh_);
  }
};

/// An entry's answer to a heartbeat. Both grants count from the moment at which
/// the agent sent the heartbeat, so that no delay can lengthen them.
struct HeartbeatAck {
  std::uint64_t Sequence_ = 0;
  /// The newest revision known to the entry that changed what may start where.
  Revision Revision_ = 0;
  /// Up to this revision the entry has seen every change.
  Revision AsOf_ = 0;
  /// How long tasks may start under Revision_; nought grants nothing.
  Millis StartFor_{0};
  /// How long tasks of Shards_ may run on; nought grants nothing.
  Millis RunFor_{0};
  /// Shards that the entry owns and whose ownership the agent has confirmed.
  std::vector<ShardNumber> Shards_;
  /// True if the entry has read the store within the freshness time.
  bool Fresh_ = false;
  bool Leaving_ = false;

  static constexpr auto fields() {
    return std::make_tuple(&HeartbeatAck::Sequence_, &HeartbeatAck::Revision_,
                           &HeartbeatAck::AsOf_, &HeartbeatAck::StartFor_,
                           &HeartbeatAck::RunFor_, &HeartbeatAck::Shards_,
                           &HeartbeatAck::Fresh_, &HeartbeatAck::Leaving_);
  }
};

/// The addresses of all entries that the sender knows of, itself included.
struct KnownEntries {
  std::vector<std::string> Addresses_;

  static constexpr auto fields() {
    return std::make_tuple(&KnownEntries::Addresses_);
  }
};

/// A configuration that the receiver has not seen yet, in either direction.
struct ConfigurationUpdate {
  Configuration Configuration_;

  static constexpr auto fields() {
    return std::make_tuple(&ConfigurationUpdate::Configuration_);
  }
};

/// A quick request on its way to a target.
struct DispatchRequest {
  /// Rises with each dispatch on a connection; a lower number is a duplicate.
  std::uint64_t Sequence_ = 0;
  RequestId Request_;
  ServiceName Service_;
  std::string Body_;
  Micros StartWithin_{0};
  Micros AnswerWithin_{0};
  bool Idempotent_ = false;

  static constexpr auto fields() {
    return std::make_tuple(
        &DispatchRequest::Sequence_, &DispatchRequest::Request_,
        &DispatchRequest::Service_, &DispatchRequest::Body_,
        &DispatchRequest::StartWithin_, &DispatchRequest::AnswerWithin_,
        &DispatchRequest::Idempotent_);
  }
};

struct CancelDispatch {
  RequestId Request_;

  static constexpr auto fields() {
    return std::make_tuple(&CancelDispatch::Request_);
  }
};

/// The end of a dispatched request. With Error_ other than None the body is
/// empty; whether the request ran follows from the error kind.
struct DispatchAnswer {
  std::uint64_t Sequence_ = 0;
  RequestId Request_;
  ErrorKind Error_ = ErrorKind::None;
  std::uint16_t Status_ = 0;
  std::string Body_;
  std::uint64_t Length_ = 0;
  std::uint64_t Digest_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&DispatchAnswer::Sequence_,
                           &DispatchAnswer::Request_, &DispatchAnswer::Error_,
                           &DispatchAnswer::Status_, &DispatchAnswer::Body_,
                           &DispatchAnswer::Length_, &DispatchAnswer::Digest_);
  }
};

/// Everything that an agent sends to an entry.
using AgentMessage =
    std::variant<Hello, Heartbeat, ConfigurationUpdate, ConfirmOwnership,
                 TaskReport, DispatchAnswer, SharingSample, PressTable>;

/// Everything that an entry sends to an agent.
using EntryMessage =
    std::variant<HeartbeatAck, ConfigurationUpdate, ClaimOwnership, BindTask,
                 StopTask, TaskReportAck, DispatchRequest, CancelDispatch,
                 PressTable, KnownEntries>;

} // namespace skylark
