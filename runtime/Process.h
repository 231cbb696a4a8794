/// \file
/// Defines what every process does around its decisions: the clock, the log,
/// and the two threads.
#pragma once

#include "core/AgentOutput.h"
#include "core/Time.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <functional>
#include <thread>

namespace skylark {

/// The present instant on both clocks.
auto currentMoment() -> Moment;

/// A number that is higher in each later process on this instance.
auto newIncarnation() -> Incarnation;

/// Begins the log: each line goes to standard output as one JSON object,
/// written by a thread of its own, so that a slow reader holds up nothing.
/// \param Name the process that every line names.
auto startLog(const std::string &Name) -> void;
/// Queues one line; where the queue is full the line is counted as left out.
auto writeLog(const LogDecision &Decision) -> void;
/// Queues a line on the process itself rather than on a request.
auto logEvent(std::string_view Event, std::string Detail) -> void;
/// Writes what is queued, as far as the reader takes it within a moment.
auto stopLog() -> void;

/// One thread for control state and one for traffic.
class ProcessThreads {
public:
  ProcessThreads();
  ~ProcessThreads();

  auto control() -> asio::io_context & { return Control_; }
  auto traffic() -> asio::io_context & { return Traffic_; }
  /// Runs until stop(); control state lives on the calling thread.
  auto run() -> void;
  auto stop() -> void;
  /// Calls `Work` on the control thread again and again until stop().
  auto every(Millis Period, std::function<void()> Work) -> void;
  /// Calls `Work` on the control thread once on SIGTERM or SIGINT.
  auto onTerminate(std::function<void()> Work) -> void;
  /// Calls `Work` on the control thread on each SIGHUP.
  auto onReload(std::function<void()> Work) -> void;

private:
  class Ticker;
  static auto waitForReload(const std::shared_ptr<asio::signal_set> &Signals,
                            std::function<void()> Work) -> void;
  using Guard = asio::executor_work_guard<asio::io_context::executor_type>;
  asio::io_context Control_;
  asio::io_context Traffic_;
  Guard ControlGuard_;
  Guard TrafficGuard_;
  std::thread TrafficThread_;
};

} // namespace skylark
