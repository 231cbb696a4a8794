/// \file
/// Defines the typed messages between entries, agents and workers.
#pragma once

#include "core/Document.h"
#include "core/Interference.h"
#include "core/Job.h"

#include <optional>
#include <variant>

namespace skylark {

/// Version of the message formats; an entry refuses agents that use another
/// version.
constexpr std::uint32_t ProtocolVersion = 1;

/// State of one task attempt at its agent.
enum class TaskPhase : std::uint8_t {
  Queued,
  Starting,
  Running,
  Stopping,
  /// Final states, reported until the shard's owner has recorded them.
  Finished,
  Failed,
  Stopped,
  NotStarted
};

constexpr auto isEnded(TaskPhase Phase) -> bool {
  return Phase >= TaskPhase::Finished;
}

/// Lower-case name of a phase, for log lines.
auto taskPhaseText(TaskPhase Phase) -> std::string_view;

/// Binds a task to an agent, which may start it once resources are free.
struct BindTask {
  /// Increases with each BindTask or DispatchRequest message on a connection; a
  /// message whose number is not higher than the last one's is a duplicate.
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
  /// Tasks with a lower number start first.
  std::uint32_t Priority_ = 0;
  /// The task is best-effort: it uses the processors that others leave idle;
  /// see StepDeclaration.
  bool BestEffort_ = false;
  /// Thousandths of a processor that a best-effort task uses at full speed.
  std::int64_t BestEffortMilliCores_ = 0;
  /// The best-effort task may start even if its interference with serving tasks
  /// leaves little capacity for it, since its job has no other bound task.
  bool StartsDespiteInterference_ = false;
  /// The task writes checkpoints, from which a later attempt can resume.
  bool Checkpoints_ = false;
  std::string Image_;
  /// Tail-latency target of a serving task; zero for other tasks.
  Millis TailTarget_{0};

  static constexpr auto fields() {
    return std::make_tuple(
        &BindTask::Sequence_, &BindTask::Shard_, &BindTask::Epoch_,
        &BindTask::Worker_, &BindTask::Task_, &BindTask::Attempt_,
        &BindTask::Kind_, &BindTask::Resources_, &BindTask::RunTime_,
        &BindTask::Deadline_, &BindTask::Checkpoint_, &BindTask::Payload_,
        &BindTask::Priority_, &BindTask::BestEffort_,
        &BindTask::BestEffortMilliCores_, &BindTask::StartsDespiteInterference_,
        &BindTask::Checkpoints_, &BindTask::Image_, &BindTask::TailTarget_);
  }
};

/// Asks an agent to stop a task, or not to start it if it has not started yet.
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

/// Reports the state of an attempt. The agent repeats the report of a final
/// state until it is acknowledged.
struct TaskReport {
  ShardNumber Shard_ = 0;
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
  TaskPhase Phase_ = TaskPhase::Queued;
  CheckpointId Checkpoint_;
  ErrorKind Reason_ = ErrorKind::None;
  /// The agent found the task on its worker after a restart and lacks the rest
  /// of its BindTask message.
  bool NeedsBinding_ = false;

  static constexpr auto fields() {
    return std::make_tuple(&TaskReport::Shard_, &TaskReport::Task_,
                           &TaskReport::Attempt_, &TaskReport::Phase_,
                           &TaskReport::Checkpoint_, &TaskReport::Reason_,
                           &TaskReport::NeedsBinding_);
  }
};

/// Whether the report shows that the attempt has begun on its worker.
auto hasBegun(const TaskReport &Report) -> bool;

struct TaskReportAck {
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
  /// The end that was reported.
  TaskPhase Phase_ = TaskPhase::Finished;

  static constexpr std::size_t RequiredFields = 2;
  static constexpr auto fields() {
    return std::make_tuple(&TaskReportAck::Task_, &TaskReportAck::Attempt_,
                           &TaskReportAck::Phase_);
  }
};

/// Announces to an agent that the sending entry owns a shard under this epoch.
struct ClaimOwnership {
  ShardNumber Shard_ = 0;
  Epoch Epoch_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&ClaimOwnership::Shard_, &ClaimOwnership::Epoch_);
  }
};

/// An agent's answer to ClaimOwnership: from now on it accepts commands for the
/// shard only under this or a later epoch, and it holds exactly the listed
/// tasks of the shard, unless it says that there are more.
struct ConfirmOwnership {
  ShardNumber Shard_ = 0;
  Epoch Epoch_ = 0;
  Incarnation Worker_ = 0;
  std::vector<TaskReport> HeldTasks_;
  /// The list isn't whole, so an attempt that is missing may be running or have
  /// ended: the worker has ended attempts that it doesn't list yet, or lists
  /// some that can't be read. The agent confirms again once it knows them all.
  bool MoreEnds_ = false;

  static constexpr std::size_t RequiredFields = 4;
  static constexpr auto fields() {
    return std::make_tuple(&ConfirmOwnership::Shard_, &ConfirmOwnership::Epoch_,
                           &ConfirmOwnership::Worker_,
                           &ConfirmOwnership::HeldTasks_,
                           &ConfirmOwnership::MoreEnds_);
  }
};

/// The first message of an agent on a connection; registers it with the entry.
struct Hello {
  std::uint32_t Version_ = ProtocolVersion;
  AgentId Agent_;
  /// Incarnation of the agent process.
  Incarnation Incarnation_ = 0;
  /// Incarnation of the agent's worker; a replaced worker has a higher one.
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

/// The load of an agent's target and worker as the agent last saw it.
struct AgentLoad {
  /// Requests that the target is executing.
  std::uint32_t Running_ = 0;
  /// Requests queued at the agent.
  std::uint32_t Queued_ = 0;
  /// Recent mean service time of the target for one request.
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
  /// Tasks and requests can start on this worker only under this revision or a
  /// newer one.
  Revision InForceRevision_ = 0;
  AgentLoad Load_;
  bool Leaving_ = false;
  /// True if an entry other than the receiver has a fresh view of the store. A
  /// receiver that can't read the store then knows that others can.
  bool OtherEntryViewFresh_ = false;
  /// The worker's present capacity; agents of earlier versions don't send it.
  std::optional<Resources> Capacity_;

  static constexpr std::size_t RequiredFields = 6;
  static constexpr auto fields() {
    return std::make_tuple(
        &Heartbeat::Sequence_, &Heartbeat::Revision_,
        &Heartbeat::InForceRevision_, &Heartbeat::Load_, &Heartbeat::Leaving_,
        &Heartbeat::OtherEntryViewFresh_, &Heartbeat::Capacity_);
  }
};

/// An entry's answer to a heartbeat. The durations of both grants count from
/// the time at which the agent sent the heartbeat, so that no delay in transit
/// can extend them.
struct HeartbeatAck {
  std::uint64_t Sequence_ = 0;
  /// The newest revision known to the entry that changed where work may start.
  Revision Revision_ = 0;
  /// The revision up to which the entry has seen every change.
  Revision AsOf_ = 0;
  /// How long tasks may start under Revision_; zero grants nothing.
  Millis StartGrantDuration_{0};
  /// How long tasks of Shards_ may keep running; zero grants nothing.
  Millis RunGrantDuration_{0};
  /// Shards that the entry owns and whose ownership the agent has confirmed.
  std::vector<ShardNumber> Shards_;
  /// True if the entry has read the store within the policy's freshness window.
  bool ViewFresh_ = false;
  bool Leaving_ = false;

  static constexpr auto fields() {
    return std::make_tuple(
        &HeartbeatAck::Sequence_, &HeartbeatAck::Revision_,
        &HeartbeatAck::AsOf_, &HeartbeatAck::StartGrantDuration_,
        &HeartbeatAck::RunGrantDuration_, &HeartbeatAck::Shards_,
        &HeartbeatAck::ViewFresh_, &HeartbeatAck::Leaving_);
  }
};

/// The addresses of all entries that the sender knows, including its own.
struct KnownEntries {
  std::vector<std::string> Addresses_;

  static constexpr auto fields() {
    return std::make_tuple(&KnownEntries::Addresses_);
  }
};

/// A configuration that the receiver has not seen yet. Sent in both directions
/// between entries and agents, and between entries.
struct ConfigurationUpdate {
  Configuration Configuration_;

  static constexpr auto fields() {
    return std::make_tuple(&ConfigurationUpdate::Configuration_);
  }
};

/// Sends a quick request to an agent, for the agent's target.
struct DispatchRequest {
  /// Increases with each BindTask or DispatchRequest message on a connection; a
  /// message whose number is not higher than the last one's is a duplicate.
  std::uint64_t Sequence_ = 0;
  RequestId Request_;
  ServiceName Service_;
  std::string Body_;
  /// Time after receipt within which the request must start.
  Micros StartTimeout_{0};
  /// Time after receipt within which the answer is due.
  Micros AnswerTimeout_{0};
  bool Idempotent_ = false;

  static constexpr auto fields() {
    return std::make_tuple(
        &DispatchRequest::Sequence_, &DispatchRequest::Request_,
        &DispatchRequest::Service_, &DispatchRequest::Body_,
        &DispatchRequest::StartTimeout_, &DispatchRequest::AnswerTimeout_,
        &DispatchRequest::Idempotent_);
  }
};

/// Asks an agent not to start a dispatched request that is still queued.
struct CancelDispatch {
  RequestId Request_;

  static constexpr auto fields() {
    return std::make_tuple(&CancelDispatch::Request_);
  }
};

/// The outcome of a dispatched request. If Error_ isn't None the body is empty,
/// and the error kind says whether the request may have run.
struct DispatchAnswer {
  std::uint64_t Sequence_ = 0;
  RequestId Request_;
  ErrorKind Error_ = ErrorKind::None;
  std::uint16_t Status_ = 0;
  std::string Body_;
  /// Length in bytes and digest of the body that the agent received from the
  /// target, by which the entry detects damage.
  std::uint64_t BodyLength_ = 0;
  std::uint64_t BodyDigest_ = 0;

  static constexpr auto fields() {
    return std::make_tuple(&DispatchAnswer::Sequence_,
                           &DispatchAnswer::Request_, &DispatchAnswer::Error_,
                           &DispatchAnswer::Status_, &DispatchAnswer::Body_,
                           &DispatchAnswer::BodyLength_,
                           &DispatchAnswer::BodyDigest_);
  }
};

/// All messages from an agent to an entry.
using AgentMessage = std::variant<Hello, Heartbeat, ConfigurationUpdate,
                                  ConfirmOwnership, TaskReport, DispatchAnswer,
                                  ColocationSample, InterferenceTable>;

/// All messages from an entry to an agent.
using EntryMessage =
    std::variant<HeartbeatAck, ConfigurationUpdate, ClaimOwnership, BindTask,
                 StopTask, TaskReportAck, DispatchRequest, CancelDispatch,
                 InterferenceTable, KnownEntries>;

} // namespace skylark
