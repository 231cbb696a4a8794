#include "runtime/Process.h"

#include "core/Assert.h"
#include "wire/ApiText.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <glog/logging.h>

#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace skylark {
namespace {

auto processName() -> std::string & {
  static std::string Name;
  return Name;
}

/// Lines that wait for the writer before more are left out.
constexpr std::size_t LogQueueLimit = 4096;
/// How long the end of the process waits for the last lines.
constexpr Millis LogFlushWithin{200};

struct LogLine {
  LogDecision Decision_;
  WallTime At_{};
};

/// The lines on their way to the writing thread.
class LogQueue {
public:
  static auto only() -> LogQueue & {
    // Never destroyed: the writer may still be held up by a reader that has
    // stopped when the process ends.
    static auto *Queue = new LogQueue;
    return *Queue;
  }

  auto start() -> void {
    std::thread([this] { write(); }).detach();
  }

  auto push(LogLine Line) -> void {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    if (Lines_.size() >= LogQueueLimit) {
      ++LeftOut_;
      return;
    }
    Lines_.push_back(std::move(Line));
    Changed_.notify_one();
  }

  auto stop() -> void {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Emptied_.wait_for(Lock, LogFlushWithin,
                      [this] { return Lines_.empty() && !Writing_; });
  }

private:
  auto write() -> void {
    std::unique_lock<std::mutex> Lock(Mutex_);
    for (;;) {
      Changed_.wait(Lock, [this] { return !Lines_.empty(); });
      auto Lines = std::exchange(Lines_, {});
      const auto LeftOut = std::exchange(LeftOut_, 0);
      Writing_ = true;
      Lock.unlock();
      writeOut(Lines, LeftOut);
      Lock.lock();
      Writing_ = false;
      Emptied_.notify_all();
    }
  }

  static auto writeOut(const std::vector<LogLine> &Lines, std::size_t LeftOut)
      -> void {
    for (const auto &Each : Lines)
      LOG(INFO) << renderLog(Each.Decision_, processName(), Each.At_);
    google::FlushLogFiles(google::GLOG_INFO);
    std::fflush(stdout);
    if (LeftOut == 0)
      return;
    LogDecision Gap;
    Gap.Event_ = "lines-left-out";
    Gap.Detail_ = std::to_string(LeftOut);
    LOG(INFO) << renderLog(Gap, processName(), currentMoment().Wall_);
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::condition_variable Emptied_;
  std::vector<LogLine> Lines_;
  std::size_t LeftOut_ = 0;
  bool Writing_ = false;
};

auto logAndAbort(const std::string &Text) -> void {
  logEvent("invariant-broken", Text);
  stopLog();
  std::abort();
}

} // namespace

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
  LogQueue::only().start();
  setAssertHandler(logAndAbort);
}

auto writeLog(const LogDecision &Decision) -> void {
  LogQueue::only().push({Decision, currentMoment().Wall_});
}

auto logEvent(std::string_view Event, std::string Detail) -> void {
  LogDecision Decision;
  Decision.Event_ = Event;
  Decision.Detail_ = std::move(Detail);
  writeLog(Decision);
}

auto stopLog() -> void { LogQueue::only().stop(); }

class ProcessThreads::Ticker
    : public std::enable_shared_from_this<ProcessThreads::Ticker> {
public:
  Ticker(asio::io_context &Control, Millis Period, std::function<void()> Work)
      : Timer_(Control), Period_(Period), Work_(std::move(Work)) {}

  auto schedule() -> void {
    Timer_.expires_after(Period_);
    Timer_.async_wait([Self = shared_from_this()](std::error_code Error) {
      if (Error)
        return;
      Self->Work_();
      Self->schedule();
    });
  }

private:
  asio::steady_timer Timer_;
  Millis Period_;
  std::function<void()> Work_;
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

auto ProcessThreads::every(Millis Period, std::function<void()> Work) -> void {
  std::make_shared<Ticker>(Control_, Period, std::move(Work))->schedule();
}

auto ProcessThreads::onReload(std::function<void()> Work) -> void {
  const auto Signals = std::make_shared<asio::signal_set>(Control_, SIGHUP);
  waitForReload(Signals, std::move(Work));
}

auto ProcessThreads::waitForReload(
    const std::shared_ptr<asio::signal_set> &Signals,
    std::function<void()> Work) -> void {
  Signals->async_wait(
      [Signals, Work = std::move(Work)](std::error_code Error, int) {
        if (Error)
          return;
        Work();
        waitForReload(Signals, Work);
      });
}

auto ProcessThreads::onTerminate(std::function<void()> Work) -> void {
  const auto Signals =
      std::make_shared<asio::signal_set>(Control_, SIGTERM, SIGINT);
  Signals->async_wait(
      [Signals, Work = std::move(Work)](std::error_code Error, int) {
        if (!Error)
          Work();
      });
}

} // namespace skylark
