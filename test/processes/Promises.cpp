#include "test/processes/Promises.h"

#include "review/standin/Cases.h"

namespace skylark::soak {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;
using SteadyClock = std::chrono::steady_clock;

/// Without a run for this long, with calm of LastingCalm, a task that lasts is
/// missing.
constexpr Seconds LastingGap{6};
constexpr milliseconds LastingCalm{7000};
constexpr milliseconds VisibleTimeout{3000};
constexpr milliseconds Standstill{3100};
constexpr Seconds CancelTimeout{3};
constexpr Seconds StopTimeout{0.9};
constexpr milliseconds StableWindow{3000};
constexpr int Queriers = 24;

auto jobOf(const std::string &Task) -> std::string {
  return Task.substr(0, Task.find('.'));
}

/// The runs of each job.
auto groupRuns(const std::vector<review::Run> &Runs)
    -> std::map<std::string, std::vector<review::Run>> {
  std::map<std::string, std::vector<review::Run>> Result;
  for (const auto &Each : Runs)
    Result[jobOf(Each.Task_)].push_back(Each);
  return Result;
}

} // namespace

auto Promises::checkLastingTasks() -> void {
  const auto Now = SteadyClock::now();
  if (!Site_.disruptions().allCalmSince(Now - LastingCalm))
    return;
  const auto ByJob = groupRuns(Runs_.runs());
  const Seconds LogNow{Log_.now()};
  for (const auto &Job : Traffic_.jobs()) {
    if (!Job.Lasts_ || Job.Outcome_ != JobOutcome::Accepted ||
        Job.CancelSent_ || Now - Job.AcceptedAt_ < LastingGap + VisibleTimeout)
      continue;
    for (int Index = 0; Index < Job.Tasks_; ++Index) {
      const auto Task = Job.Id_ + ".0.0." + std::to_string(Index);
      auto AtWork = false;
      Seconds LastEnd{-1};
      const auto Runs = ByJob.find(Job.Id_);
      if (Runs != ByJob.end())
        for (const auto &Each : Runs->second)
          if (Each.Task_ == Task) {
            AtWork |= Each.EndedAt_ < 0;
            LastEnd = std::max(LastEnd, Seconds{Each.EndedAt_});
          }
      if (!AtWork && LogNow - LastEnd > LastingGap &&
          ReportedTasks_.insert(Task).second)
        Violations_.report("LOST-lasting", Task,
                           LastEnd.count() < 0
                               ? "has never run"
                               : "last run ended at " +
                                     std::to_string(LastEnd.count()));
    }
  }
}

auto Promises::checkEnd() -> void {
  const auto Jobs = Traffic_.jobs();
  queryAll(Jobs);
  checkRuns(Jobs);
}

auto Promises::queryAll(const std::vector<JobRecord> &Jobs) -> void {
  std::atomic<std::size_t> Next{0};
  std::mutex Mutex;
  std::vector<JobRecord> Open;
  std::vector<std::thread> Threads;
  Threads.reserve(Queriers);
  for (int Index = 0; Index < Queriers; ++Index)
    Threads.emplace_back([&] {
      KeepAliveClient Client(Site_);
      for (auto Each = Next++; Each < Jobs.size(); Each = Next++) {
        const auto &Job = Jobs[Each];
        if (Job.Outcome_ != JobOutcome::Accepted || Job.CancelSent_)
          continue;
        const auto Entry = static_cast<int>(Each) % Site_.entryCount();
        const auto State = Traffic_.query(Client, Job, Entry);
        Violations_.count("at the end " + State);
        if (State == "completed" || State == "410" || State == "failed" ||
            State == "cancelled" || (Job.Lasts_ && State == "running"))
          continue;
        const std::lock_guard<std::mutex> Lock(Mutex);
        if (State == "running" || State == "pending")
          Open.push_back(Job);
        else
          Violations_.report("LOST-unanswered", Job.Id_,
                             State + " at the end, at front-" +
                                 std::to_string(Entry));
      }
    });
  for (auto &Each : Threads)
    Each.join();
  checkStandstill(Open);
}

auto Promises::checkStandstill(const std::vector<JobRecord> &Open) -> void {
  if (Open.empty())
    return;
  const auto From = Log_.now();
  std::this_thread::sleep_for(Standstill);
  const auto ByJob = groupRuns(Runs_.runs());
  for (const auto &Job : Open) {
    const auto Runs = ByJob.find(Job.Id_);
    auto AtWork = false;
    if (Runs != ByJob.end())
      for (const auto &Each : Runs->second)
        AtWork |= Each.EndedAt_ < 0 || Each.EndedAt_ > From;
    Violations_.report(
        AtWork ? "UNFINISHED" : "LOST-standstill", Job.Id_,
        "not completed 14 s after the traffic, " +
            std::to_string(Runs == ByJob.end() ? 0 : Runs->second.size()) +
            " runs");
  }
}

auto Promises::checkRuns(const std::vector<JobRecord> &Jobs) -> void {
  const auto Runs = Runs_.runs();
  const auto Twice = review::countTwice(Log_, Runs);
  for (int Index = 0; Index < Twice; ++Index)
    Violations_.report("TWICE", "see the log", "");
  const auto ByJob = groupRuns(Runs);
  std::set<std::string> Known;
  const Seconds Now{Log_.now()};
  for (const auto &Job : Jobs) {
    Known.insert(Job.Id_);
    const auto Found = ByJob.find(Job.Id_);
    if (Found == ByJob.end())
      continue;
    if (Job.Outcome_ == JobOutcome::Refused)
      Violations_.report("REFUSED", Job.Id_, "a rejected job has run");
    if (!Job.CancelAcknowledged_)
      continue;
    const Seconds Acknowledged{Job.CancelAcknowledgedAt_};
    for (const auto &Each : Found->second)
      if (Each.EndedAt_ < 0 &&
          Now > Acknowledged + CancelTimeout + StopTimeout + StableWindow)
        Violations_.report("UNASKED", Each.Task_, "of a cancelled job runs on");
      else if (Seconds{Each.StartedAt_} > Acknowledged + CancelTimeout)
        Violations_.count("late starts of cancelled jobs, in touch or not");
  }
  for (const auto &[Job, Each] : ByJob)
    if (Known.count(Job) == 0)
      Violations_.report("UNASKED", Job, "nobody has submitted it");
  Violations_.count("runs", static_cast<int>(Runs.size()));
}

} // namespace skylark::soak
