/// \file
/// Defines what all processes share: the clock, the log, and the control and
/// traffic threads.
#pragma once

#include "core/AgentOutput.h"
#include "core/Time.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <functional>
#include <optional>
#include <thread>

namespace skylark {

/// The current time on the steady and the wall clock.
auto currentMoment() -> Moment;

/// A number that is higher in each later process on this instance, as long as
/// the wall clock is not set back: the microseconds since 1970.
auto newIncarnation() -> Incarnation;

/// Starts the log. Each line is written to standard output as one JSON object,
/// by a separate thread, so that a slow reader does not block the process.
/// \param Name the process name in every line.
auto startLog(const std::string &Name) -> void;
/// Queues one line. If the queue is full, the line is dropped and counted.
auto writeLog(const LogDecision &Decision) -> void;
/// Queues a line about the process itself rather than about a request.
auto logEvent(std::string_view Event, std::string Detail) -> void;
/// Waits until the queued lines are written, or gives up after a short timeout
/// if the reader of standard output is too slow.
auto flushLog() -> void;

/// The two threads of a process: the control thread owns the scheduling state,
/// the traffic thread does the network I/O.
class ProcessThreads {
public:
  ProcessThreads();
  ~ProcessThreads();

  auto control() -> asio::io_context & { return Control_; }
  auto traffic() -> asio::io_context & { return Traffic_; }
  /// Runs until stop(); the calling thread becomes the control thread.
  auto run() -> void;
  auto stop() -> void;
  /// Calls `Callback` on the control thread until stop(), and waits for
  /// `Interval` before each call.
  auto runPeriodically(Millis Interval, std::function<void()> Callback) -> void;
  /// Calls `Callback` on the control thread once, on the first SIGTERM or
  /// SIGINT; further ones have no effect.
  auto onTerminate(std::function<void()> Callback) -> void;
  /// Calls `Callback` on the control thread on each SIGHUP.
  auto onReload(std::function<void()> Callback) -> void;

private:
  class PeriodicTimer;
  static auto waitForReload(const std::shared_ptr<asio::signal_set> &Signals,
                            std::function<void()> Callback) -> void;
  using Guard = asio::executor_work_guard<asio::io_context::executor_type>;
  asio::io_context Control_;
  asio::io_context Traffic_;
  std::optional<asio::signal_set> TerminateSignals_;
  Guard ControlGuard_;
  Guard TrafficGuard_;
  std::thread TrafficThread_;
};

} // namespace skylark
