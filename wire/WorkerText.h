/// \file
/// Defines the JSON of the worker's interface, which the platform gives: start,
/// stop, forget, and a poll that renews leases and lists tasks.
#pragma once

#include "core/AgentOutput.h"

#include <optional>

namespace skylark {

auto renderStart(const StartOnWorker &Start, Incarnation Agent) -> std::string;
auto renderAttempt(const TaskId &Task, AttemptNumber Attempt, Incarnation Agent)
    -> std::string;
auto renderPoll(const PollWorker &Poll, Incarnation Agent) -> std::string;
auto renderInventory(const WorkerInventory &Inventory) -> std::string;

/// One attempt as an agent of some incarnation names it.
struct WorkerAttempt {
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
  Incarnation Agent_ = 0;
};

struct WorkerStart {
  StartOnWorker Start_;
  Incarnation Agent_ = 0;
};

struct WorkerPoll {
  PollWorker Poll_;
  Incarnation Agent_ = 0;
};

/// Each returns nothing for text of another shape.
auto parseStart(const std::string &Text) -> std::optional<WorkerStart>;
auto parseAttempt(const std::string &Text) -> std::optional<WorkerAttempt>;
auto parsePoll(const std::string &Text) -> std::optional<WorkerPoll>;
auto parseInventory(const std::string &Text) -> std::optional<WorkerInventory>;

} // namespace skylark
