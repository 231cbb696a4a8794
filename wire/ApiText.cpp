#include "wire/ApiText.h"

#include "wire/CheckedJson.h"
#include "wire/ResourcesText.h"

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

auto noteJson(const AttemptRecord &Note) -> Json {
  return {
      {"attempt", Note.Attempt_},    {"state", taskStateText(Note.State_)},
      {"agent", Note.Agent_.Value_}, {"data_centre", Note.DataCentre_.Value_},
      {"at", timeText(Note.At_)},    {"reason", reasonText(Note.Reason_)}};
}

auto taskJson(const TaskStatus &Task, std::uint32_t Index) -> Json {
  auto History = Json::array();
  for (const auto &Note : Task.History_)
    History.push_back(noteJson(Note));
  return {{"task", Index},
          {"state", taskStateText(Task.State_)},
          {"attempt", Task.Attempt_},
          {"agent", Task.Agent_.Value_},
          {"checkpoint", Task.Checkpoint_.Value_},
          {"failures", Task.Failures_},
          {"history", std::move(History)}};
}

auto render(const JobReply &Reply) -> HttpAnswer {
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
  HttpAnswer Answer;
  Answer.Body_ = dump(Value);
  return Answer;
}

auto render(const ErrorReply &Reply) -> HttpAnswer {
  return renderError(Reply);
}

auto render(const QuickReply &Reply) -> HttpAnswer {
  HttpAnswer Answer;
  Answer.Status_ = Reply.Status_;
  Answer.ContentType_ = "application/octet-stream";
  Answer.Body_ = Reply.Body_;
  Answer.RequestId_ = Reply.Request_.Value_;
  return Answer;
}

auto render(const ExplainReply &Reply) -> HttpAnswer {
  auto Events = Json::array();
  for (const auto &Each : Reply.Events_)
    Events.push_back({{"at", timeText(Each.At_)},
                      {"what", Each.What_},
                      {"agent", Each.Agent_.Value_},
                      {"data_centre", Each.DataCentre_.Value_},
                      {"reason", reasonText(Each.Reason_)}});
  HttpAnswer Answer;
  Answer.Body_ =
      dump({{"request", Reply.Request_.Value_}, {"events", std::move(Events)}});
  return Answer;
}

auto render(const DocumentReply &Reply) -> HttpAnswer {
  HttpAnswer Answer;
  Answer.EntityTag_ = "\"" + std::to_string(Reply.Revision_) + "\"";
  Answer.Body_ = Reply.Text_;
  return Answer;
}

auto render(const ChangeReply &Reply) -> HttpAnswer {
  HttpAnswer Answer;
  constexpr std::uint16_t Accepted = 202;
  if (!Reply.InForce_)
    Answer.Status_ = Accepted;
  Answer.EntityTag_ = "\"" + std::to_string(Reply.Revision_) + "\"";
  Answer.Body_ = dump({{"revision", Reply.Revision_},
                       {"in_force", Reply.InForce_},
                       {"missing", Reply.Missing_},
                       {"in_force_within_ms", Reply.InForceDelay_.count()}});
  return Answer;
}

auto render(const JobStateReply &Reply) -> HttpAnswer {
  HttpAnswer Answer;
  Answer.Body_ = dump({{"state", jobStateText(Reply.State_)}});
  return Answer;
}

auto render(const UnstartedReply &Reply) -> HttpAnswer {
  HttpAnswer Answer;
  Answer.Body_ = dump({{"unstarted", Reply.Count_}});
  return Answer;
}

auto render(const TargetsReply &Reply) -> HttpAnswer {
  auto Targets = Json::array();
  for (const auto &Each : Reply.Targets_)
    Targets.push_back({{"agent", Each.Agent_.Value_},
                       {"data_centre", Each.DataCentre_.Value_},
                       {"state", Each.State_},
                       {"revision", Each.Revision_},
                       {"running", Each.Running_},
                       {"queued", Each.Queued_},
                       {"free", resourcesJson(Each.Free_)}});
  HttpAnswer Answer;
  Answer.Body_ =
      dump({{"revision", Reply.Revision_}, {"targets", std::move(Targets)}});
  return Answer;
}

} // namespace

auto timeText(WallTime At) -> std::string {
  const auto Whole = std::chrono::floor<Seconds>(At);
  const auto Rest = (At - Whole).count();
  const auto Time = static_cast<std::time_t>(Whole.time_since_epoch().count());
  std::tm Parts{};
  gmtime_r(&Time, &Parts);
  char Text[32];
  const auto Size = std::strftime(Text, sizeof Text, "%FT%T", &Parts);
  std::snprintf(Text + Size, sizeof Text - Size, ".%03dZ",
                static_cast<int>(Rest));
  return Text;
}

auto parseJob(const std::string &Text, WallTime Now) -> ParsedJob {
  ParsedJob Result;
  auto &Job = Result.Declaration_;
  constexpr std::int64_t Year = 366LL * 24 * 3600 * 1000;
  Result.Problems_ = Internal::readChecked(Text, [&](CheckedObject &Top) {
    Job.Team_ = {Top.text("team")};
    const auto Kind = Top.text("kind", "batch");
    auto &Step = Job.Steps_.front();
    Step.LongRunning_ = Kind == "watcher";
    if (Kind != "watcher" && Kind != "batch")
      Top.problem("kind", "\"batch\" or \"watcher\"");
    Step.TaskCount_ =
        static_cast<std::uint32_t>(Top.integer("tasks", {1, 20000}, 1));
    Top.object("resources", true, [&](CheckedObject &From) {
      Step.Resources_ = Internal::readResources(From);
    });
    Step.RunTime_ = Millis{Top.integer("run_time_ms", {0, Year}, 1000)};
    Job.Deadline_ =
        Now + Millis{Top.integer("deadline_in_ms", {1, Year}, 3600000)};
    Job.Urgent_ = Top.flag("urgent", false);
    Job.RerunWhenLost_ = Top.flag("rerun_when_lost", true);
    Job.Payload_ = Top.text("payload", "");
  });
  return Result;
}

auto renderError(const ErrorReply &Error) -> HttpAnswer {
  const auto &Entry = errorInfo(Error.Kind_);
  HttpAnswer Answer;
  Answer.Status_ = Entry.HttpStatus_;
  Answer.ContentType_ = "application/problem+json";
  Answer.RequestId_ = Error.Request_.Value_;
  Answer.Body_ =
      dump({{"type", "urn:skylark:error:" + std::string(Entry.Code_)},
            {"title", Entry.Title_},
            {"status", Entry.HttpStatus_},
            {"detail", Error.Detail_},
            {"ran", executionText(Entry.Execution_)},
            {"may_retry", Entry.MayRetry_},
            {"request", Error.Request_.Value_}});
  return Answer;
}

auto renderReply(const CallerReply &Reply) -> HttpAnswer {
  return std::visit([](const auto &Each) { return render(Each); }, Reply);
}

auto renderLog(const LogDecision &Decision, const std::string &Process,
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
