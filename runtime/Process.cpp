#include "runtime/Process.h"

#include "core/Assert.h"
#include "wire/ApiJson.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <glog/logging.h>

#include <condition_variable>
#include <ctime>
#include <mutex>
#include <utility>
#include <vector>

namespace skylark {
namespace {

auto processName() -> std::string & {
  static std::string Name;
  return Name;
}

/// Further lines are dropped.
constexpr std::size_t MaxQueuedLines = 4096;
/// How long the process waits at its end for the last lines to be written.
constexpr Millis LogFlushTimeout{200};

struct LogLine {
  LogDecision Decision_;
  WallTime At_{};
};

/// Queue of log lines with the thread that writes them.
class LogQueue {
public:
  static auto instance() -> LogQueue & {
    // Never destroyed: when the process ends, the writing thread may still be
    // blocked on standard output because its reader has stopped.
    static auto *Queue = new LogQueue;
    return *Queue;
  }

  auto start() -> void {
    std::thread([this] { write(); }).detach();
  }

  auto push(LogLine Line) -> void {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    if (Lines_.size() >= MaxQueuedLines) {
      ++DroppedLines_;
      return;
    }
    Lines_.push_back(std::move(Line));
    LinesQueued_.notify_one();
  }

  auto stop() -> void {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Drained_.wait_for(Lock, LogFlushTimeout,
                      [this] { return Lines_.empty() && !Writing_; });
  }

private:
  auto write() -> void {
    std::unique_lock<std::mutex> Lock(Mutex_);
    for (;;) {
      LinesQueued_.wait(Lock, [this] { return !Lines_.empty(); });
      auto Lines = std::exchange(Lines_, {});
      const auto Dropped = std::exchange(DroppedLines_, 0);
      Writing_ = true;
      Lock.unlock();
      writeLines(Lines, Dropped);
      Lock.lock();
      Writing_ = false;
      Drained_.notify_all();
    }
  }

  static auto writeLines(const std::vector<LogLine> &Lines, std::size_t Dropped)
      -> void {
    for (const auto &Each : Lines)
      LOG(INFO) << renderLogLine(Each.Decision_, processName(), Each.At_);
    google::FlushLogFiles(google::GLOG_INFO);
    std::fflush(stdout);
    if (Dropped == 0)
      return;
    LogDecision DroppedNotice;
    DroppedNotice.Event_ = "lines-left-out";
    DroppedNotice.Detail_ = std::to_string(Dropped);
    LOG(INFO) << renderLogLine(DroppedNotice, processName(),
                               currentMoment().Wall_);
  }

  std::mutex Mutex_;
  std::condition_variable LinesQueued_;
  std::condition_variable Drained_;
  std::vector<LogLine> Lines_;
  std::size_t DroppedLines_ = 0;
  bool Writing_ = false;
};

auto logAndAbort(const std::string &Text) -> void {
  logEvent("invariant-broken", Text);
  flushLog();
  std::abort();
}

} // namespace

auto SteadyClock::now() noexcept -> time_point {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return time_point(Seconds{Time.tv_sec} +
                    std::chrono::nanoseconds{Time.tv_nsec});
}

auto currentMoment() -> Moment {
  return {SteadyClock::now(), std::chrono::time_point_cast<Millis>(
                                  std::chrono::system_clock::now())};
}

auto newIncarnation() -> Incarnation {
  return static_cast<Incarnation>(
      std::chrono::duration_cast<Micros>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

auto startLog(const std::string &Name) -> void {
  processName() = Name;
  google::InitGoogleLogging("skylark");
  FLAGS_logtostdout = true;
  FLAGS_log_prefix = false;
  LogQueue::instance().start();
  setAssertHandler(logAndAbort);
}

auto writeLog(const LogDecision &Decision) -> void {
  LogQueue::instance().push({Decision, currentMoment().Wall_});
}

auto logEvent(std::string_view Event, std::string Detail) -> void {
  LogDecision Decision;
  Decision.Event_ = Event;
  Decision.Detail_ = std::move(Detail);
  writeLog(Decision);
}

auto flushLog() -> void { LogQueue::instance().stop(); }

class ProcessThreads::PeriodicTimer
    : public std::enable_shared_from_this<ProcessThreads::PeriodicTimer> {
public:
  PeriodicTimer(asio::io_context &Control, Millis Interval,
                std::function<void()> Callback)
      : Timer_(Control), Interval_(Interval), Callback_(std::move(Callback)) {}

  auto schedule() -> void {
    Timer_.expires_after(Interval_);
    Timer_.async_wait([Self = shared_from_this()](std::error_code Error) {
      if (Error)
        return;
      Self->Callback_();
      Self->schedule();
    });
  }

private:
  asio::steady_timer Timer_;
  Millis Interval_;
  std::function<void()> Callback_;
};

ProcessThreads::ProcessThreads()
    : ControlGuard_(Control_.get_executor()),
      TrafficGuard_(Traffic_.get_executor()) {}

ProcessThreads::~ProcessThreads() {
  if (TrafficThread_.joinable())
    TrafficThread_.join();
}

auto ProcessThreads::run() -> void {
  TrafficThread_ = std::thread([this] { Traffic_.run(); });
  Control_.run();
  TrafficThread_.join();
}

auto ProcessThreads::stop() -> void {
  Control_.stop();
  Traffic_.stop();
}

auto ProcessThreads::runPeriodically(Millis Interval,
                                     std::function<void()> Callback) -> void {
  std::make_shared<PeriodicTimer>(Control_, Interval, std::move(Callback))
      ->schedule();
}

auto ProcessThreads::onReload(std::function<void()> Callback) -> void {
  const auto Signals = std::make_shared<asio::signal_set>(Control_, SIGHUP);
  waitForReload(Signals, std::move(Callback));
}

auto ProcessThreads::waitForReload(
    const std::shared_ptr<asio::signal_set> &Signals,
    std::function<void()> Callback) -> void {
  Signals->async_wait(
      [Signals, Callback = std::move(Callback)](std::error_code Error, int) {
        if (Error)
          return;
        Callback();
        waitForReload(Signals, Callback);
      });
}

auto ProcessThreads::onTerminate(std::function<void()> Callback) -> void {
  // Kept until the process ends: without it, a further signal would have its
  // default effect and end the process at once.
  TerminateSignals_.emplace(Control_, SIGTERM, SIGINT);
  TerminateSignals_->async_wait(
      [Callback = std::move(Callback)](std::error_code Error, int) {
        if (!Error)
          Callback();
      });
}

} // namespace skylark
