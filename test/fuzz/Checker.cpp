#include "test/fuzz/Checker.h"

#include <sstream>

namespace skylark::Fuzz {
namespace {

template <typename... Parts> auto textOf(const Parts &...Each) -> std::string {
  std::ostringstream Out;
  (Out << ... << Each);
  return Out.str();
}

} // namespace

auto Checker::broken(std::string What) -> void {
  constexpr std::size_t KeptViolations = 8;
  if (Violations_.size() < KeptViolations)
    Violations_.push_back(std::move(What));
}

auto Checker::answerTo(const std::string &Body) -> std::string {
  return "answer to " + Body;
}

auto Checker::taskStarted(TrueTime Now, const std::string &Worker,
                          const DataCentreName &Centre, const BindTask &Bind,
                          const Resources &Capacity, Revision AgentRevision)
    -> void {
  ++Starts_;
  const auto &Task = Bind.Task_;
  const auto Found = Running_.find(Task);
  if (Found != Running_.end())
    broken(textOf("two places: task ", Task, " attempt ", Bind.Attempt_,
                  " started on ", Worker, " while attempt ",
                  Found->second.Attempt_, " runs on ", Found->second.Worker_));
  if (Bind.Attempt_ <= LastAttempt_[Task])
    broken(textOf("resumed twice: task ", Task, " attempt ", Bind.Attempt_,
                  " after ", LastAttempt_[Task]));
  // A task whose worker was lost after it finished and before that was
  // recorded may run again, but only where its job allows it.
  if (Finished_.count(Task) != 0 && (Bind.Payload_ == "once" || !Faulty_))
    broken(textOf("ran again: finished task ", Task));
  LastAttempt_[Task] = Bind.Attempt_;
  Running_[Task] = {Worker, Bind.Attempt_};
  auto &Used = Used_[Worker];
  Used[Task] = Bind.Resources_;
  Resources Sum;
  for (const auto &Each : Used)
    Sum += Each.second;
  if (!Capacity.holds(Sum))
    broken(textOf("over its size: worker ", Worker, " holds ", Sum));
  const auto Out = OutSince_.find(Centre);
  if (Out != OutSince_.end() && Now > Out->second)
    broken(
        textOf("started in a data centre that is out: ", Task, " in ", Centre));
  if (AgentRevision < InForce_)
    broken(textOf("started under revision ", AgentRevision, " after ", InForce_,
                  " was in force"));
}

auto Checker::taskEnded(const std::string &Worker, const TaskId &Task,
                        TaskPhase Phase) -> void {
  const auto Found = Running_.find(Task);
  if (Found != Running_.end() && Found->second.Worker_ == Worker)
    Running_.erase(Found);
  Used_[Worker].erase(Task);
  if (Phase == TaskPhase::Finished)
    Finished_.insert(Task);
}

auto Checker::requestRan(const std::string &Body) -> void {
  auto &Each = Requests_[Body];
  ++Each.Runs_;
  if (Each.Idempotent_)
    return;
  if (Each.Runs_ > 1)
    broken("ran twice: request " + Body);
  if (Each.ToldNotRun_)
    broken("ran after \"not run\" was told: request " + Body);
}

auto Checker::asked(CallerToken Token, const std::string &Body, bool Idempotent)
    -> void {
  BodyOf_[Token] = Body;
  auto &Each = Requests_[Body];
  Each.Body_ = Body;
  Each.Idempotent_ = Idempotent;
  // A repeat with the same key may be run after a true "not run".
  Each.ToldNotRun_ = false;
}

auto Checker::told(CallerToken Token, const CallerReply &Reply) -> void {
  ++Replies_;
  const auto Found = BodyOf_.find(Token);
  if (Found == BodyOf_.end())
    return;
  auto &Each = Requests_[Found->second];
  if (const auto *Answer = std::get_if<QuickReply>(&Reply)) {
    if (Answer->Body_ != answerTo(Each.Body_))
      broken("wrong answer: \"" + Answer->Body_ + "\" to " + Each.Body_);
    if (Each.Runs_ == 0)
      broken("answered but never ran: request " + Each.Body_);
  }
  const auto *Error = std::get_if<ErrorReply>(&Reply);
  const auto NotRun = Error != nullptr &&
                      errorInfo(Error->Kind_).Execution_ == Execution::NotRun;
  if (NotRun && !Each.Idempotent_ && Each.Runs_ > 0)
    broken("\"not run\" told of a request that ran: " + Each.Body_ + ", " +
           std::string(errorInfo(Error->Kind_).Code_));
  Each.ToldNotRun_ = NotRun && !Each.Idempotent_;
  BodyOf_.erase(Found);
}

auto Checker::inForce(Revision Confirmed) -> void {
  InForce_ = std::max(InForce_, Confirmed);
}

auto Checker::dataCentreOut(const DataCentreName &Name, TrueTime LatestStart)
    -> void {
  OutSince_[Name] = LatestStart;
}

auto Checker::dataCentreReturning(const DataCentreName &Name) -> void {
  OutSince_.erase(Name);
}

} // namespace skylark::Fuzz
