#include "test/fuzz/Checker.h"

#include <sstream>

namespace skylark::Fuzz {
namespace {

/// The target for urgent jobs, from the answer that the job is accepted to its
/// start.
constexpr Millis UrgentStartTarget{1000};
/// What the simulation adds: two ticks and an observation of 50 ms each, and
/// six messages or store calls of 8 ms.
constexpr Millis SimulationDelays{200};
/// Time after the acknowledgement of a job's cancellation in which its tasks
/// may still start, and what a stop may take from then on.
constexpr Millis CancelAllowance{3000};
constexpr Millis StopAllowance{400};

template <typename... Parts>
auto concatenate(const Parts &...Each) -> std::string {
  std::ostringstream Out;
  (Out << ... << Each);
  return Out.str();
}

} // namespace

auto Checker::addViolation(std::string Description) -> void {
  constexpr std::size_t MaxViolations = 8;
  if (Violations_.size() < MaxViolations)
    Violations_.push_back(std::move(Description));
}

auto Checker::expectedAnswer(const std::string &Body) -> std::string {
  return "answer to " + Body;
}

auto Checker::taskStarted(TrueTime Now, const std::string &Worker,
                          const DataCentreName &DataCentre,
                          const BindTask &Bind, const Resources &Capacity,
                          Revision AgentRevision) -> void {
  ++TaskStarts_;
  const auto &Task = Bind.Task_;
  const auto Found = Running_.find(Task);
  if (Found != Running_.end())
    addViolation(concatenate("task runs twice: ", Task, " attempt ",
                             Bind.Attempt_, " started on ", Worker,
                             " while attempt ", Found->second.Attempt_,
                             " runs on ", Found->second.Worker_));
  if (Bind.Attempt_ <= LastAttempt_[Task])
    addViolation(concatenate("attempt number of task did not increase: ", Task,
                             " attempt ", Bind.Attempt_, " after ",
                             LastAttempt_[Task]));
  // Three crashes, and three more starts after them, are too many.
  constexpr int TooManyCrashes = 6;
  if (Bind.Payload_ == CrashingPayload &&
      ++CrashingStarts_[Task] == TooManyCrashes)
    addViolation(concatenate("task that crashes its workers was started ",
                             TooManyCrashes, " times: ", Task));
  // A finished task may run again only if its worker was lost before the end
  // was recorded, which takes a fault, and if its job allows reruns: the
  // payload "once" marks jobs that don't.
  if (Finished_.count(Task) != 0 &&
      (Bind.Payload_ == "once" || !FaultsInjected_))
    addViolation(concatenate("finished task ran again: ", Task));
  if (FinishAcknowledged_.count(Task) != 0)
    addViolation(concatenate("task started again after its end was "
                             "acknowledged: ",
                             Task, " attempt ", Bind.Attempt_, " on ", Worker));
  if (Denied_.count(Task.Job_) != 0)
    addViolation(concatenate("started after its cancellation was answered "
                             "\"no such job\": ",
                             Task, " attempt ", Bind.Attempt_, " on ", Worker));
  const auto LatestStart = latestTime(Task.Job_, CancelAllowance);
  if (Calm_ && LatestStart && Now > *LatestStart)
    addViolation(concatenate("task of a cancelled job started: ", Task,
                             " attempt ", Bind.Attempt_, " on ", Worker));
  Started_.insert(Task.Job_);
  StartableSince_.erase(Task.Job_);
  LastAttempt_[Task] = Bind.Attempt_;
  Running_[Task] = {Worker, Bind.Attempt_};
  Allocated_[Worker][Task] = Bind.Resources_;
  const auto Total = allocated(Worker);
  if (!Capacity.holds(Total))
    addViolation(
        concatenate("over capacity: worker ", Worker, " holds ", Total));
  const auto Out = LatestStart_.find(DataCentre);
  if (Out != LatestStart_.end() && Now > Out->second)
    addViolation(
        concatenate("started in a data centre that is out of service: ", Task,
                    " in ", DataCentre));
  if (AgentRevision < InForce_)
    addViolation(concatenate("started under revision ", AgentRevision,
                             " after ", InForce_, " was in force"));
}

auto Checker::startOrdered(TrueTime Now, const TaskId &Task) -> void {
  const auto LatestStart = latestTime(Task.Job_, CancelAllowance);
  if (LatestStart && Now > *LatestStart)
    addViolation(concatenate("start ordered later than ",
                             (CancelAllowance + SimulationDelays).count(),
                             " ms after the job's cancellation: ", Task));
}

auto Checker::cancelledJobDenied(const JobId &Job) -> void {
  Denied_.insert(Job);
  if (Started_.count(Job) != 0)
    addViolation(concatenate("cancellation answered \"no such job\" although "
                             "the job has started: ",
                             Job));
}

auto Checker::urgentJobAccepted(TrueTime Now, const JobId &Job) -> void {
  if (Started_.count(Job) == 0)
    StartableSince_.emplace(Job, Now);
}

auto Checker::jobCancelled(TrueTime Now, const JobId &Job) -> void {
  CancelledAt_.emplace(Job, Now);
}

auto Checker::latestTime(const JobId &Job, Millis Allowed) const
    -> std::optional<TrueTime> {
  const auto Found = CancelledAt_.find(Job);
  if (Found == CancelledAt_.end())
    return std::nullopt;
  return std::max(Found->second, CalmSince_) +
         Micros(Allowed + SimulationDelays);
}

auto Checker::checkCancelled(TrueTime Now) -> void {
  for (const auto &[Task, Each] : Running_) {
    const auto LatestRun =
        latestTime(Task.Job_, CancelAllowance + StopAllowance);
    if (LatestRun && Now > *LatestRun)
      addViolation(concatenate("task of a cancelled job runs on: ", Task,
                               " attempt ", Each.Attempt_, " on ",
                               Each.Worker_));
  }
}

auto Checker::observe(TrueTime Now, bool Calm, bool Startable) -> void {
  if (!Calm || !Calm_)
    CalmSince_ = Now;
  Calm_ = Calm;
  if (Calm)
    checkCancelled(Now);
  for (auto &[Job, Since] : StartableSince_) {
    if (!Calm || !Startable)
      Since = Now;
    if (Since + UrgentStartTarget + SimulationDelays < Now)
      addViolation(concatenate("urgent job ", Job, " did not start within ",
                               (UrgentStartTarget + SimulationDelays).count(),
                               " ms although only the configuration changed"));
  }
}

auto Checker::allocated(const std::string &Worker) const -> Resources {
  Resources Total;
  const auto Found = Allocated_.find(Worker);
  if (Found != Allocated_.end())
    for (const auto &Each : Found->second)
      Total += Each.second;
  return Total;
}

auto Checker::finishAcknowledged(const std::string &Worker, const TaskId &Task,
                                 AttemptNumber Attempt) -> void {
  FinishAcknowledged_.insert(Task);
  if (LastAttempt_[Task] > Attempt)
    addViolation(concatenate("end of attempt ", Attempt, " of ", Task, " on ",
                             Worker, " acknowledged, but attempt ",
                             LastAttempt_[Task], " has started"));
}

auto Checker::taskEnded(const std::string &Worker, const TaskId &Task,
                        AttemptNumber Attempt, TaskPhase Phase,
                        ErrorKind Reason) -> void {
  if (Calm_ && Reason == ErrorKind::LeaseExpired)
    addViolation(concatenate("lease expired although only the configuration "
                             "changed: ",
                             Task, " attempt ", Attempt, " on ", Worker));
  const auto Found = Running_.find(Task);
  if (Found != Running_.end() && Found->second.Worker_ == Worker &&
      Found->second.Attempt_ == Attempt)
    Running_.erase(Found);
  Allocated_[Worker].erase(Task);
  if (Phase == TaskPhase::Finished)
    Finished_.insert(Task);
}

auto Checker::requestRan(const std::string &Body) -> void {
  auto &Each = Requests_[Body];
  ++Each.Runs_;
  if (Each.Idempotent_)
    return;
  if (Each.Runs_ > 1)
    addViolation("ran twice: request " + Body);
  if (Each.AnsweredNotRun_)
    addViolation("ran after the answer \"not run\": request " + Body);
}

auto Checker::requestSent(CallerToken Token, const std::string &Body,
                          bool Idempotent) -> void {
  PendingBodies_[Token] = Body;
  auto &Each = Requests_[Body];
  Each.Body_ = Body;
  Each.Idempotent_ = Idempotent;
  // After a true answer "not run", the caller may send the request again with
  // the same key, and then it may run.
  Each.AnsweredNotRun_ = false;
}

auto Checker::replyReceived(CallerToken Token, const CallerReply &Reply)
    -> void {
  ++Replies_;
  const auto Found = PendingBodies_.find(Token);
  if (Found == PendingBodies_.end())
    return;
  auto &Each = Requests_[Found->second];
  if (const auto *Answer = std::get_if<QuickReply>(&Reply)) {
    if (Answer->Body_ != expectedAnswer(Each.Body_))
      addViolation("wrong answer: \"" + Answer->Body_ + "\" to " + Each.Body_);
    if (Each.Runs_ == 0)
      addViolation("answered but never ran: request " + Each.Body_);
  }
  const auto *Error = std::get_if<ErrorReply>(&Reply);
  const auto NotRun = Error != nullptr &&
                      errorInfo(Error->Kind_).Execution_ == Execution::NotRun;
  if (NotRun && !Each.Idempotent_ && Each.Runs_ > 0)
    addViolation("answer \"not run\" to a request that ran: " + Each.Body_ +
                 ", " + std::string(errorInfo(Error->Kind_).Code_));
  Each.AnsweredNotRun_ = NotRun && !Each.Idempotent_;
  PendingBodies_.erase(Found);
}

auto Checker::revisionInForce(Revision Confirmed) -> void {
  InForce_ = std::max(InForce_, Confirmed);
}

auto Checker::dataCentreTakenOut(const DataCentreName &Name,
                                 TrueTime LatestStart) -> void {
  LatestStart_[Name] = LatestStart;
}

auto Checker::dataCentreReturnRequested(const DataCentreName &Name) -> void {
  LatestStart_.erase(Name);
}

} // namespace skylark::Fuzz
