#include "test/processes/Traffic.h"

#include "review/standin/Cases.h"

namespace skylark::soak {
namespace {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr milliseconds CallTimeout{3000};
constexpr milliseconds StableWindow{3000};
constexpr milliseconds LossSlack{200};
constexpr milliseconds VisibleTimeout{3000};
/// A machine's calm before it counts as in touch, with what a call takes.
constexpr milliseconds InTouchAfter = StableWindow + milliseconds{100};
constexpr int Attempts = 5;

auto chance(std::mt19937_64 &Random, double Probability) -> bool {
  return std::uniform_real_distribution<>(0, 1)(Random) < Probability;
}

auto between(std::mt19937_64 &Random, int Low, int High) -> int {
  return std::uniform_int_distribution<>(Low, High)(Random);
}

auto isRetried(const CallResult &Result) -> bool {
  return Result.End_ != CallEnd::Answered || Result.Status_ == 502 ||
         Result.Status_ == 504;
}

auto entryName(int Entry) -> std::string {
  return "front-" + std::to_string(Entry);
}

} // namespace

Traffic::Traffic(Site &System, review::RunLog &Runs, review::Record &Log,
                 Violations &Found, TrafficOptions Options)
    : Site_(System), Runs_(Runs), Log_(Log), Violations_(Found),
      Options_(Options) {}

auto Traffic::start() -> void {
  Running_ = true;
  for (int Index = 0; Index < Options_.Clients_; ++Index)
    Threads_.emplace_back([this, Index] {
      constexpr std::uint64_t SeedStep = 1000003;
      runClient(Options_.Seed_ * SeedStep + static_cast<std::uint64_t>(Index));
    });
}

auto Traffic::stop() -> void {
  Running_ = false;
  for (auto &Each : Threads_)
    Each.join();
  Threads_.clear();
}

auto Traffic::jobs() const -> std::vector<JobRecord> {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Jobs_;
}

auto Traffic::awaitAcceptance(milliseconds Timeout) -> void {
  std::unique_lock<std::mutex> Lock(Mutex_);
  Accepted_.wait_for(Lock, Timeout);
}

auto Traffic::runClient(std::uint64_t Seed) -> void {
  Generator Random(Seed);
  KeepAliveClient Client(Site_);
  while (Running_) {
    JobRecord Job;
    const auto Body = makeJob(Random, Job).dump();
    submit(Client, Random, Job, Body);
    std::size_t Index = 0;
    JobRecord Old;
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Jobs_.push_back(Job);
      Index = Jobs_.size() - 1;
      Old = Jobs_[Random() % Jobs_.size()];
    }
    constexpr double CancelShare = 0.08;
    constexpr double DuplicateShare = 0.05;
    if (chance(Random, CancelShare) && Job.Outcome_ == JobOutcome::Accepted)
      cancel(Client, Random, Index);
    else if (chance(Random, DuplicateShare) &&
             Job.Outcome_ == JobOutcome::Accepted)
      call(Client, chooseEntry(Random), "POST", Job, Body);
    if (Old.Outcome_ == JobOutcome::Accepted)
      query(Client, Old, chooseEntry(Random));
    std::this_thread::sleep_for(milliseconds{
        between(Random, 1, static_cast<int>(Options_.LongestPause_.count()))});
  }
}

auto Traffic::makeJob(Generator &Random, JobRecord &Job) -> review::Json {
  char Id[24];
  std::snprintf(Id, sizeof Id, "%016llx",
                static_cast<unsigned long long>(Random()));
  Job.Id_ = Id;
  constexpr double LastingShare = 0.04;
  constexpr double TwoStepShare = 0.4;
  constexpr int Cpu = 300;
  constexpr int MemoryMb = 200;
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Job.Lasts_ =
        Lasting_ < Options_.LastingJobs_ && chance(Random, LastingShare);
    Lasting_ += Job.Lasts_ ? 1 : 0;
  }
  const auto Length = milliseconds{between(Random, 200, 1500)};
  Runs_.setBehaviour(Job.Id_, {Length, false, Job.Lasts_});
  const auto Estimate = static_cast<int>(Length.count());
  auto First = review::makeStep(between(Random, 1, 4), Cpu, MemoryMb, Estimate);
  Job.Tasks_ = First["count"].get<int>();
  if (Job.Lasts_) {
    Job.Queue_ = &Site_.Feed_;
    First["long_running"] = true;
    return review::makeJob({First});
  }
  Job.Queue_ = chance(Random, 0.5) ? &Site_.Quick_ : &Site_.Batch_;
  if (!chance(Random, TwoStepShare))
    return review::makeJob({First});
  auto Second =
      review::makeStep(between(Random, 1, 4), Cpu, MemoryMb, Estimate);
  Second["after"] = {0};
  Job.Tasks_ += Second["count"].get<int>();
  return review::makeJob({First, Second});
}

auto Traffic::submit(KeepAliveClient &Client, Generator &Random, JobRecord &Job,
                     const std::string &Body) -> void {
  auto MayHaveArrived = false;
  for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
    const auto Result = call(Client, chooseEntry(Random), "POST", Job, Body);
    if (Result.End_ == CallEnd::Answered && Result.Status_ / 100 == 2) {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Job.Outcome_ = JobOutcome::Accepted;
      Job.AcceptedAt_ = SteadyClock::now();
      Accepted_.notify_all();
      return;
    }
    if (Result.End_ == CallEnd::Refused)
      std::this_thread::sleep_for(milliseconds{50});
    else if (isRetried(Result))
      MayHaveArrived = true;
    else if (Result.Status_ != 429 && Result.Status_ != 503) {
      Log_.line("POST " + Job.Id_ + " -> " + std::to_string(Result.Status_) +
                " " + Result.Body_.substr(0, 200));
      Violations_.count("submissions answered otherwise");
      return;
    } else {
      Violations_.count("submissions rejected");
      if (chance(Random, 0.5))
        break;
      std::this_thread::sleep_for(milliseconds{500});
    }
  }
  if (!MayHaveArrived)
    Job.Outcome_ = JobOutcome::Refused;
}

auto Traffic::cancel(KeepAliveClient &Client, Generator &Random,
                     std::size_t Index) -> void {
  std::this_thread::sleep_for(milliseconds{between(Random, 0, 1500)});
  JobRecord Job;
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Jobs_[Index].CancelSent_ = true;
    Job = Jobs_[Index];
  }
  for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
    const auto Result = call(Client, chooseEntry(Random), "DELETE", Job, "");
    if (Result.End_ == CallEnd::Answered &&
        (Result.Status_ / 100 == 2 || Result.Status_ == 410)) {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Jobs_[Index].CancelAcknowledged_ = true;
      Jobs_[Index].CancelAcknowledgedAt_ = Log_.now();
      Jobs_[Index].CancelAcknowledgedSteady_ = SteadyClock::now();
      return;
    }
    std::this_thread::sleep_for(milliseconds{300});
  }
}

auto Traffic::query(KeepAliveClient &Client, const JobRecord &Job, int Entry)
    -> std::string {
  const auto Result = call(Client, Entry, "GET", Job, "");
  if (Result.End_ != CallEnd::Answered)
    return Result.End_ == CallEnd::TimedOut ? "timed out" : "cut";
  auto State = std::to_string(Result.Status_);
  if (Result.Status_ == 200) {
    const auto Body = review::Json::parse(Result.Body_, nullptr, false);
    State = Body.is_object() ? Body.value("state", "unreadable") : "unreadable";
  }
  // The job as it is now: it may have been cancelled meanwhile.
  auto CancelSent = Job.CancelSent_;
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    for (const auto &Each : Jobs_)
      if (Each.Id_ == Job.Id_)
        CancelSent = Each.CancelSent_;
  }
  if (CancelSent)
    return State;
  if (State == "failed" || State == "cancelled")
    Violations_.report("LOST-" + State, Job.Id_,
                       "no cause, at " + entryName(Entry));
  const auto Sent = Result.SentAt_;
  const auto InTouch =
      Site_.disruptions().calmSince(entryName(Entry), Sent - InTouchAfter) &&
      Site_.disruptions().calmSince("store", Sent - InTouchAfter) &&
      Job.AcceptedAt_ + VisibleTimeout < Sent;
  if (State == "410" && InTouch)
    Violations_.report("LOST-410", Job.Id_, "at " + entryName(Entry));
  else if (State == "410")
    Violations_.count("410 by entries out of touch");
  return State;
}

auto Traffic::call(KeepAliveClient &Client, int Entry,
                   const std::string &Method, const JobRecord &Job,
                   const std::string &Body) -> CallResult {
  auto Result =
      Client.call(Entry, Method, *Job.Queue_, Job.Id_, Body, CallTimeout);
  static const std::map<CallEnd, std::string> Names{
      {CallEnd::Answered, "calls answered"},
      {CallEnd::Refused, "calls refused a connection"},
      {CallEnd::Cut, "calls cut"},
      {CallEnd::TimedOut, "calls timed out"}};
  Violations_.count(Names.at(Result.End_));
  if (Result.End_ == CallEnd::Cut && Result.Waited_ > LossSlack)
    checkCut(Result, Job, Entry);
  return Result;
}

auto Traffic::checkCut(const CallResult &Result, const JobRecord &Job,
                       int Entry) -> void {
  if (Site_.disruptions().onlyPlannedSince(Result.SentAt_ - StableWindow))
    Violations_.report("LOST-cut", Job.Id_,
                       "at " + entryName(Entry) + " after " +
                           std::to_string(Result.Waited_.count()) + " ms");
  else
    Violations_.count("calls cut late near disruptions");
}

auto Traffic::chooseEntry(Generator &Random) const -> int {
  return between(Random, 0, Site_.entryCount() - 1);
}

} // namespace skylark::soak
