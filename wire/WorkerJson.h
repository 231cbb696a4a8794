/// \file
/// Defines the JSON of the worker's HTTP interface. Its requests start, stop
/// and forget an attempt; a poll renews the leases of tasks and returns the
/// worker's inventory.
#pragma once

#include "core/AgentOutput.h"

#include <optional>

namespace skylark {

/// Each renders the body of a request, or of the response to a poll.
/// \param AgentIncarnation the incarnation of the agent that sends the request.
auto renderStart(const StartOnWorker &Start, Incarnation AgentIncarnation)
    -> std::string;
auto renderAttempt(const TaskId &Task, AttemptNumber Attempt,
                   Incarnation AgentIncarnation) -> std::string;
auto renderPoll(const PollWorker &Poll, Incarnation AgentIncarnation)
    -> std::string;
auto renderInventory(const WorkerInventory &Inventory) -> std::string;

/// A request to stop or forget one attempt of a task, as the worker receives
/// it.
struct WorkerAttemptRequest {
  TaskId Task_;
  AttemptNumber Attempt_ = 0;
  /// Of the agent that sent the request, so that the worker can reject requests
  /// of an agent that has since been replaced.
  Incarnation Agent_ = 0;
};

struct WorkerStartRequest {
  StartOnWorker Start_;
  Incarnation Agent_ = 0;
};

struct WorkerPollRequest {
  PollWorker Poll_;
  Incarnation Agent_ = 0;
};

/// Each returns nothing for text that is not valid JSON of the expected form.
auto parseStart(const std::string &Text) -> std::optional<WorkerStartRequest>;
auto parseAttempt(const std::string &Text)
    -> std::optional<WorkerAttemptRequest>;
auto parsePoll(const std::string &Text) -> std::optional<WorkerPollRequest>;
auto parseInventory(const std::string &Text) -> std::optional<WorkerInventory>;

} // namespace skylark
