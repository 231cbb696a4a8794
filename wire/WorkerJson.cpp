#include "wire/WorkerJson.h"

#include "wire/JsonCodec.h"

namespace skylark {
namespace {

using Json = nlohmann::json;

/// Reads a whole number; throws if the field is missing, or isn't a number that
/// the type holds.
template <typename Integer>
auto readInteger(const Json &Value, const char *Name) -> Integer {
  return Internal::fromJson<Integer>(Value.at(Name));
}

auto phaseText(TaskPhase Phase) -> const char * {
  switch (Phase) {
  case TaskPhase::Finished:
    return "finished";
  case TaskPhase::Failed:
    return "failed";
  case TaskPhase::Stopped:
    return "stopped";
  case TaskPhase::Stopping:
    return "stopping";
  default:
    return "running";
  }
}

auto parsePhase(const std::string &Text) -> TaskPhase {
  for (const auto Phase : {TaskPhase::Finished, TaskPhase::Failed,
                           TaskPhase::Stopped, TaskPhase::Stopping})
    if (Text == phaseText(Phase))
      return Phase;
  return TaskPhase::Running;
}

auto attemptJson(const TaskId &Task, AttemptNumber Attempt) -> Json {
  return {
      {"job", Task.Job_.Value_}, {"index", Task.Index_}, {"attempt", Attempt}};
}

auto readTaskId(const Json &Value) -> TaskId {
  return {{Value.at("job").get<std::string>()},
          readInteger<std::uint32_t>(Value, "index")};
}

auto bindJson(const BindTask &Bind) -> Json {
  auto Value = attemptJson(Bind.Task_, Bind.Attempt_);
  Value["shard"] = Bind.Shard_;
  Value["epoch"] = Bind.Epoch_;
  Value["kind"] = workKindText(Bind.Kind_);
  Value["millicores"] = Bind.Resources_.MilliCores_;
  Value["memory_mb"] = Bind.Resources_.MemoryMegabytes_;
  Value["accelerators"] = Bind.Resources_.Accelerators_;
  Value["run_time_ms"] = Bind.RunTime_.count();
  Value["checkpoint"] = Bind.Checkpoint_.Value_;
  Value["payload"] = Bind.Payload_;
  return Value;
}

auto readBind(const Json &Value) -> BindTask {
  BindTask Bind;
  Bind.Task_ = readTaskId(Value);
  Bind.Attempt_ = readInteger<AttemptNumber>(Value, "attempt");
  Bind.Shard_ = readInteger<ShardNumber>(Value, "shard");
  Bind.Epoch_ = readInteger<Epoch>(Value, "epoch");
  Bind.Kind_ =
      Value.at("kind") == "watcher" ? WorkKind::Watcher : WorkKind::Batch;
  Bind.Resources_ = {readInteger<std::int64_t>(Value, "millicores"),
                     readInteger<std::int64_t>(Value, "memory_mb"),
                     readInteger<std::int64_t>(Value, "accelerators")};
  Bind.RunTime_ = Millis{readInteger<std::int64_t>(Value, "run_time_ms")};
  Bind.Checkpoint_ = {Value.at("checkpoint").get<std::string>()};
  Bind.Payload_ = Value.at("payload").get<std::string>();
  return Bind;
}

auto readTask(const Json &Value) -> WorkerTask {
  WorkerTask Task;
  Task.Bind_ = readBind(Value);
  Task.Phase_ = parsePhase(Value.at("phase").get<std::string>());
  Task.Checkpoint_ = {Value.at("checkpoint").get<std::string>()};
  if (Value.at("lapsed").get<bool>())
    Task.Reason_ = ErrorKind::LeaseExpired;
  else if (Task.Phase_ == TaskPhase::Failed)
    Task.Reason_ = ErrorKind::TaskFailed;
  return Task;
}

template <typename Result>
auto tryParse(const std::string &Text, Result (*Convert)(const Json &))
    -> std::optional<Result> {
  try {
    return Convert(Json::parse(Text));
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

auto dump(const Json &Value) -> std::string {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

auto renderStart(const StartOnWorker &Start, Incarnation AgentIncarnation)
    -> std::string {
  auto Value = bindJson(Start.Bind_);
  Value["lease_until_us"] = Start.LeaseUntil_.count();
  Value["agent_incarnation"] = AgentIncarnation;
  return dump(Value);
}

auto renderAttempt(const TaskId &Task, AttemptNumber Attempt,
                   Incarnation AgentIncarnation) -> std::string {
  auto Value = attemptJson(Task, Attempt);
  Value["agent_incarnation"] = AgentIncarnation;
  return dump(Value);
}

auto renderPoll(const PollWorker &Poll, Incarnation AgentIncarnation)
    -> std::string {
  auto Leases = Json::array();
  for (const auto &Lease : Poll.Leases_) {
    auto Value = attemptJson(Lease.Task_, Lease.Attempt_);
    Value["lease_until_us"] = Lease.LeaseUntil_.count();
    Leases.push_back(std::move(Value));
  }
  return dump(
      {{"agent_incarnation", AgentIncarnation}, {"leases", std::move(Leases)}});
}

auto renderInventory(const WorkerInventory &Inventory) -> std::string {
  auto Tasks = Json::array();
  for (const auto &Task : Inventory.Tasks_) {
    auto Value = bindJson(Task.Bind_);
    Value["phase"] = phaseText(Task.Phase_);
    Value["checkpoint"] = Task.Checkpoint_.Value_;
    Value["lapsed"] = Task.Reason_ == ErrorKind::LeaseExpired;
    Tasks.push_back(std::move(Value));
  }
  return dump({{"worker_incarnation", Inventory.Worker_},
               {"clock_us", Inventory.Clock_.count()},
               {"tasks", std::move(Tasks)}});
}

auto parseStart(const std::string &Text) -> std::optional<WorkerStartRequest> {
  return tryParse<WorkerStartRequest>(Text, [](const Json &Value) {
    WorkerStartRequest Start;
    Start.Start_.Bind_ = readBind(Value);
    Start.Start_.LeaseUntil_ =
        Micros{readInteger<std::int64_t>(Value, "lease_until_us")};
    Start.Agent_ = readInteger<Incarnation>(Value, "agent_incarnation");
    return Start;
  });
}

auto parseAttempt(const std::string &Text)
    -> std::optional<WorkerAttemptRequest> {
  return tryParse<WorkerAttemptRequest>(Text, [](const Json &Value) {
    return WorkerAttemptRequest{
        readTaskId(Value), readInteger<AttemptNumber>(Value, "attempt"),
        readInteger<Incarnation>(Value, "agent_incarnation")};
  });
}

auto parsePoll(const std::string &Text) -> std::optional<WorkerPollRequest> {
  return tryParse<WorkerPollRequest>(Text, [](const Json &Value) {
    WorkerPollRequest Poll;
    Poll.Agent_ = readInteger<Incarnation>(Value, "agent_incarnation");
    for (const auto &Each : Value.at("leases"))
      Poll.Poll_.Leases_.push_back(
          {readTaskId(Each), readInteger<AttemptNumber>(Each, "attempt"),
           Micros{readInteger<std::int64_t>(Each, "lease_until_us")}});
    return Poll;
  });
}

auto parseInventory(const std::string &Text) -> std::optional<WorkerInventory> {
  return tryParse<WorkerInventory>(Text, [](const Json &Value) {
    WorkerInventory Inventory;
    Inventory.Worker_ = readInteger<Incarnation>(Value, "worker_incarnation");
    Inventory.Clock_ = Micros{readInteger<std::int64_t>(Value, "clock_us")};
    for (const auto &Each : Value.at("tasks")) {
      try {
        Inventory.Tasks_.push_back(readTask(Each));
      } catch (const std::exception &) {
        Inventory.Complete_ = false;
      }
    }
    return Inventory;
  });
}

} // namespace skylark
