#include "wire/ApiJson.h"

#include "wire/CheckedJson.h"
#include "wire/ResourcesJson.h"

#include <ctime>

namespace skylark {
namespace {

using Internal::CheckedObject;
using Json = nlohmann::json;

auto dump(const Json &Value) -> std::string {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

auto resourcesJson(const Resources &Amount) -> Json {
  return {{"millicores", Amount.MilliCores_},
          {"memory_mb", Amount.MemoryMegabytes_},
          {"accelerators", Amount.Accelerators_}};
}

auto reasonText(ErrorKind Reason) -> std::string {
  return Reason == ErrorKind::None ? "" : std::string(errorInfo(Reason).Code_);
}

auto attemptJson(const AttemptRecord &Record) -> Json {
  return {{"attempt", Record.Attempt_},
          {"state", taskStateText(Record.State_)},
          {"agent", Record.Agent_.Value_},
          {"data_centre", Record.DataCentre_.Value_},
          {"at", timeText(Record.At_)},
          {"reason", reasonText(Record.Reason_)}};
}

auto taskJson(const TaskStatus &Task, std::uint32_t Index) -> Json {
  auto History = Json::array();
  for (const auto &Record : Task.History_)
    History.push_back(attemptJson(Record));
  return {{"task", Index},
          {"state", taskStateText(Task.State_)},
          {"attempt", Task.Attempt_},
          {"agent", Task.Agent_.Value_},
          {"checkpoint", Task.Checkpoint_.Value_},
          {"failures", Task.Failures_},
          {"history", std::move(History)}};
}

auto render(const JobReply &Reply) -> HttpResponse {
  const auto &Job = Reply.Job_;
  const auto Tally = tallyTasks(Job);
  auto Tasks = Json::array();
  for (std::uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index)
    Tasks.push_back(taskJson(Job.Tasks_[Index], Index));
  const Json Value{{"job", Job.Id_.Value_},
                   {"team", Job.Declaration_.Team_.Value_},
                   {"kind", workKindText(Job.isWatcher() ? WorkKind::Watcher
                                                         : WorkKind::Batch)},
                   {"submitted_at", timeText(Job.SubmittedAt_)},
                   {"deadline", timeText(Job.Declaration_.Deadline_)},
                   {"cancelled", Job.Cancelled_},
                   {"tally",
                    {{"pending", Tally.Pending_},
                     {"bound", Tally.Bound_},
                     {"finished", Tally.Finished_},
                     {"failed", Tally.Failed_},
                     {"cancelled", Tally.Cancelled_}}},
                   {"tasks", std::move(Tasks)}};
  HttpResponse Response;
  Response.Body_ = dump(Value);
  return Response;
}

auto render(const ErrorReply &Reply) -> HttpResponse {
  return renderError(Reply);
}

auto render(const QuickReply &Reply) -> HttpResponse {
  HttpResponse Response;
  Response.Status_ = Reply.Status_;
  Response.ContentType_ = "application/octet-stream";
  Response.Body_ = Reply.Body_;
  Response.RequestId_ = Reply.Request_.Value_;
  return Response;
}

auto render(const ExplainReply &Reply) -> HttpResponse {
  auto Events = Json::array();
  for (const auto &Each : Reply.Events_)
    Events.push_back({{"at", timeText(Each.At_)},
                      {"what", Each.Description_},
                      {"agent", Each.Agent_.Value_},
                      {"data_centre", Each.DataCentre_.Value_},
                      {"reason", reasonText(Each.Reason_)}});
  HttpResponse Response;
  Response.Body_ =
      dump({{"request", Reply.Request_.Value_}, {"events", std::move(Events)}});
  return Response;
}

auto render(const DocumentReply &Reply) -> HttpResponse {
  HttpResponse Response;
  Response.EntityTag_ = "\"" + std::to_string(Reply.Revision_) + "\"";
  Response.Body_ = Reply.Text_;
  return Response;
}

auto render(const ChangeReply &Reply) -> HttpResponse {
  HttpResponse Response;
  constexpr std::uint16_t HttpAccepted = 202;
  if (!Reply.InForce_)
    Response.Status_ = HttpAccepted;
  Response.EntityTag_ = "\"" + std::to_string(Reply.Revision_) + "\"";
  Response.Body_ = dump({{"revision", Reply.Revision_},
                         {"in_force", Reply.InForce_},
                         {"missing", Reply.Missing_},
                         {"in_force_within_ms", Reply.InForceDelay_.count()}});
  return Response;
}

auto render(const JobStateReply &Reply) -> HttpResponse {
  HttpResponse Response;
  Response.Body_ = dump({{"state", jobStateText(Reply.State_)}});
  return Response;
}

auto render(const UnstartedJobsReply &Reply) -> HttpResponse {
  HttpResponse Response;
  Response.Body_ = dump({{"unstarted", Reply.Count_}});
  return Response;
}

auto render(const TargetsReply &Reply) -> HttpResponse {
  auto Targets = Json::array();
  for (const auto &Each : Reply.Targets_)
    Targets.push_back({{"agent", Each.Agent_.Value_},
                       {"data_centre", Each.DataCentre_.Value_},
                       {"state", Each.State_},
                       {"revision", Each.Revision_},
                       {"running", Each.Running_},
                       {"queued", Each.Queued_},
                       {"free", resourcesJson(Each.Free_)}});
  HttpResponse Response;
  Response.Body_ =
      dump({{"revision", Reply.Revision_}, {"targets", std::move(Targets)}});
  return Response;
}

} // namespace

auto timeText(WallTime At) -> std::string {
  const auto WholeSeconds = std::chrono::floor<Seconds>(At);
  const auto Milliseconds = (At - WholeSeconds).count();
  const auto UnixTime =
      static_cast<std::time_t>(WholeSeconds.time_since_epoch().count());
  std::tm CalendarTime{};
  gmtime_r(&UnixTime, &CalendarTime);
  char Text[32];
  const auto Size = std::strftime(Text, sizeof Text, "%FT%T", &CalendarTime);
  std::snprintf(Text + Size, sizeof Text - Size, ".%03dZ",
                static_cast<int>(Milliseconds));
  return Text;
}

auto parseJob(const std::string &Text, WallTime Now) -> ParsedJob {
  ParsedJob Result;
  auto &Job = Result.Declaration_;
  constexpr std::int64_t YearMs = 366LL * 24 * 3600 * 1000;
  Result.Problems_ = Internal::parseCheckedJson(Text, [&](CheckedObject &Root) {
    Job.Team_ = {Root.text("team")};
    const auto Kind = Root.text("kind", "batch");
    auto &Step = Job.Steps_.front();
    Step.LongRunning_ = Kind == "watcher";
    if (Kind != "watcher" && Kind != "batch")
      Root.reportProblem("kind", "\"batch\" or \"watcher\"");
    Step.TaskCount_ =
        static_cast<std::uint32_t>(Root.integer("tasks", {1, 20000}, 1));
    Root.object("resources", true, [&](CheckedObject &Object) {
      Step.Resources_ = Internal::readResources(Object);
    });
    Step.RunTime_ = Millis{Root.integer("run_time_ms", {0, YearMs}, 1000)};
    Job.Deadline_ =
        Now + Millis{Root.integer("deadline_in_ms", {1, YearMs}, 3600000)};
    Job.Urgent_ = Root.flag("urgent", false);
    Job.RerunWhenLost_ = Root.flag("rerun_when_lost", true);
    Job.Payload_ = Root.text("payload", "");
  });
  return Result;
}

auto renderError(const ErrorReply &Error) -> HttpResponse {
  const auto &Info = errorInfo(Error.Kind_);
  HttpResponse Response;
  Response.Status_ = Info.HttpStatus_;
  Response.ContentType_ = "application/problem+json";
  Response.RequestId_ = Error.Request_.Value_;
  Response.Body_ =
      dump({{"type", "urn:skylark:error:" + std::string(Info.Code_)},
            {"title", Info.Title_},
            {"status", Info.HttpStatus_},
            {"detail", Error.Detail_},
            {"ran", executionText(Info.Execution_)},
            {"may_retry", Info.MayRetry_},
            {"request", Error.Request_.Value_}});
  return Response;
}

auto renderReply(const CallerReply &Reply) -> HttpResponse {
  return std::visit([](const auto &Each) { return render(Each); }, Reply);
}

auto renderLogLine(const LogDecision &Decision, const std::string &Process,
                   WallTime At) -> std::string {
  const Json Line{{"at", timeText(At)},
                  {"process", Process},
                  {"event", Decision.Event_},
                  {"id", Decision.Subject_},
                  {"revision", Decision.Revision_},
                  {"reason", reasonText(Decision.Reason_)},
                  {"detail", Decision.Detail_}};
  return Line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace skylark
