#include "wire/DocumentJson.h"

#include "wire/CheckedJson.h"
#include "wire/ResourcesJson.h"

#include <set>

namespace skylark {
namespace {

using Internal::CheckedObject;
using Internal::IntegerRange;

/// An integer field of the policy and its allowed range.
template <typename Type> struct PolicyField {
  const char *Name_;
  Type PolicySettings::*Member_;
  IntegerRange Allowed_;
};

constexpr PolicyField<Millis> DurationFields[] = {
    {"permit_ms",
     &PolicySettings::PermitDuration_,
     {500, MaxPermitDuration.count()}},
    {"fresh_ms", &PolicySettings::FreshnessWindow_, {500, 3000}},
    {"outage_horizon_ms", &PolicySettings::OutageHorizon_, {0, 3600000}},
    {"task_lease_ms", &PolicySettings::TaskLeaseDuration_, {2000, 60000}},
    {"silent_after_ms", &PolicySettings::SilenceTimeout_, {1000, 10000}},
    {"checkpoint_within_ms", &PolicySettings::CheckpointTimeout_, {100, 60000}},
    {"return_ramp_ms", &PolicySettings::ReturnRamp_, {0, 600000}},
    {"read_every_ms", &PolicySettings::ReadInterval_, {50, 2000}},
    {"registration_ms", &PolicySettings::RegistrationTtl_, {1000, 60000}},
};

constexpr PolicyField<std::uint32_t> CountFields[] = {
    {"retry_percent", &PolicySettings::RetryPercent_, {0, 100}},
    {"task_failure_limit", &PolicySettings::TaskFailureLimit_, {1, 100}},
};

auto readPolicy(CheckedObject &Object, PolicySettings &Policy) -> void {
  for (const auto &Each : DurationFields)
    Policy.*Each.Member_ = Millis{Object.integer(
        Each.Name_, Each.Allowed_, (Policy.*Each.Member_).count())};
  for (const auto &Each : CountFields)
    Policy.*Each.Member_ = static_cast<std::uint32_t>(
        Object.integer(Each.Name_, Each.Allowed_, Policy.*Each.Member_));
  Policy.MoveWhenOut_ = Object.flag("move_when_out", Policy.MoveWhenOut_);
  constexpr std::int64_t DaySeconds = std::int64_t{24} * 3600;
  Policy.KeyRetention_ =
      Seconds{Object.integer("key_retention_s", {DaySeconds, 30 * DaySeconds},
                             Policy.KeyRetention_.count())};
  Policy.JobStatusTime_ = Seconds{Object.integer(
      "job_status_s", {1, 30 * DaySeconds}, Policy.JobStatusTime_.count())};
}

auto readQueue(CheckedObject &Object) -> QueueDeclaration {
  constexpr std::int64_t HourMs = 3600000;
  constexpr double PercentPerUnit = 100.0;
  QueueDeclaration Queue;
  Queue.Name_ = {Object.text("name")};
  Queue.Host_ = Object.text("host");
  Queue.PathPrefix_ = Object.text("path_prefix");
  Queue.Service_ = {Object.text("service")};
  Queue.Priority_ =
      static_cast<std::uint32_t>(Object.integer("priority", {0, 100}, 0));
  Queue.FailureLimit_ =
      static_cast<std::uint32_t>(Object.integer("failure_limit", {1, 100}, 5));
  Queue.DeadlineStretch_ = static_cast<double>(Object.integer(
                               "stretch_percent", {100, 10000}, 200)) /
                           PercentPerUnit;
  Queue.DeadlineSlack_ = Millis{Object.integer("slack_ms", {0, HourMs}, 1000)};
  return Queue;
}

template <typename Name>
auto checkUnique(CheckedObject &Object, const char *Field,
                 const std::vector<Name> &Names) -> void {
  const std::set<Name> Unique(Names.begin(), Names.end());
  if (Unique.size() != Names.size())
    Object.reportProblem(Field, "a list in which each name stands once");
}

auto readRoot(CheckedObject &Root, Document &Result) -> void {
  for (const auto &Name : Root.names("data_centres"))
    Result.DataCentres_.push_back({Name});
  checkUnique(Root, "data_centres", Result.DataCentres_);
  std::vector<ServiceName> Services;
  Root.objects("services", [&](CheckedObject &Object) {
    ServiceDeclaration Service;
    Service.Name_ = {Object.text("name")};
    Service.AnswerTimeout_ =
        Millis{Object.integer("answer_within_ms", {1, 600000})};
    Services.push_back(Service.Name_);
    Result.Services_.push_back(Service);
  });
  checkUnique(Root, "services", Services);
  std::vector<TeamName> Teams;
  Root.objects("teams", [&](CheckedObject &Object) {
    TeamDeclaration Team;
    Team.Name_ = {Object.text("name")};
    Object.object("quota", true, [&](CheckedObject &Quota) {
      Team.Quota_ = Internal::readResources(Quota);
    });
    Teams.push_back(Team.Name_);
    Result.Teams_.push_back(Team);
  });
  checkUnique(Root, "teams", Teams);
  std::vector<QueueName> Queues;
  if (Root.has("queues"))
    Root.objects("queues", [&](CheckedObject &Object) {
      Result.Queues_.push_back(readQueue(Object));
      Queues.push_back(Result.Queues_.back().Name_);
    });
  checkUnique(Root, "queues", Queues);
  Root.object("largest_worker", true, [&](CheckedObject &Object) {
    Result.LargestWorker_ = Internal::readResources(Object);
  });
  Root.object("policy", false, [&](CheckedObject &Object) {
    readPolicy(Object, Result.Policy_);
  });
}

} // namespace

auto Internal::readPolicySettings(CheckedObject &Object, PolicySettings &Policy)
    -> void {
  readPolicy(Object, Policy);
}

auto Internal::readResources(CheckedObject &Object) -> Resources {
  constexpr std::int64_t Million = 1000000;
  Resources Result;
  Result.MilliCores_ = Object.integer("millicores", {0, 1000 * Million});
  Result.MemoryMegabytes_ = Object.integer("memory_mb", {0, 1000 * Million});
  Result.Accelerators_ = Object.integer("accelerators", {0, Million}, 0);
  return Result;
}

auto parseDocument(const std::string &Text) -> ParsedDocument {
  ParsedDocument Result;
  Result.Document_.Text_ = Text;
  Result.Problems_ = Internal::parseCheckedJson(
      Text, [&](CheckedObject &Root) { readRoot(Root, Result.Document_); });
  return Result;
}

} // namespace skylark
