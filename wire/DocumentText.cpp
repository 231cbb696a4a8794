#include "wire/DocumentText.h"

#include "wire/CheckedJson.h"
#include "wire/ResourcesText.h"

#include <set>

namespace skylark {
namespace {

using Internal::CheckedObject;
using Internal::Range;

/// A whole-number setting of the policy with its range.
template <typename Type> struct PolicyField {
  const char *Name_;
  Type PolicySettings::*Member_;
  Range Allowed_;
};

constexpr PolicyField<Millis> Durations[] = {
    {"permit_ms",
     &PolicySettings::PermitDuration_,
     {500, MaxPermitDuration.count()}},
    {"fresh_ms", &PolicySettings::FreshnessWindow_, {500, 3000}},
    {"outage_horizon_ms", &PolicySettings::OutageHorizon_, {0, 3600000}},
    {"task_lease_ms", &PolicySettings::TaskLease_, {2000, 60000}},
    {"silent_after_ms", &PolicySettings::SilenceTimeout_, {1000, 10000}},
    {"checkpoint_within_ms", &PolicySettings::CheckpointTimeout_, {100, 60000}},
    {"return_ramp_ms", &PolicySettings::ReturnRamp_, {0, 600000}},
    {"read_every_ms", &PolicySettings::ReadInterval_, {50, 2000}},
    {"registration_ms", &PolicySettings::RegistrationTtl_, {1000, 60000}},
};

constexpr PolicyField<std::uint32_t> Numbers[] = {
    {"retry_percent", &PolicySettings::RetryPercent_, {0, 100}},
    {"task_failure_limit", &PolicySettings::TaskFailureLimit_, {1, 100}},
};

auto readPolicy(CheckedObject &From, PolicySettings &Policy) -> void {
  for (const auto &Each : Durations)
    Policy.*Each.Member_ = Millis{From.integer(Each.Name_, Each.Allowed_,
                                               (Policy.*Each.Member_).count())};
  for (const auto &Each : Numbers)
    Policy.*Each.Member_ = static_cast<std::uint32_t>(
        From.integer(Each.Name_, Each.Allowed_, Policy.*Each.Member_));
  Policy.MoveWhenOut_ = From.flag("move_when_out", Policy.MoveWhenOut_);
  constexpr std::int64_t Day = std::int64_t{24} * 3600;
  Policy.KeyRetention_ = Seconds{From.integer(
      "key_retention_s", {Day, 30 * Day}, Policy.KeyRetention_.count())};
}

auto readQueue(CheckedObject &From) -> QueueDeclaration {
  constexpr std::int64_t Hour = 3600000;
  constexpr double Percent = 100.0;
  QueueDeclaration Queue;
  Queue.Name_ = {From.text("name")};
  Queue.Host_ = From.text("host");
  Queue.PathPrefix_ = From.text("path_prefix");
  Queue.Service_ = {From.text("service")};
  Queue.Priority_ =
      static_cast<std::uint32_t>(From.integer("priority", {0, 100}, 0));
  Queue.FailureLimit_ =
      static_cast<std::uint32_t>(From.integer("failure_limit", {1, 100}, 5));
  Queue.Stretch_ =
      static_cast<double>(From.integer("stretch_percent", {100, 10000}, 200)) /
      Percent;
  Queue.Slack_ = Millis{From.integer("slack_ms", {0, Hour}, 1000)};
  return Queue;
}

template <typename Name>
auto checkUnique(CheckedObject &From, const char *Field,
                 const std::vector<Name> &Names) -> void {
  const std::set<Name> Unique(Names.begin(), Names.end());
  if (Unique.size() != Names.size())
    From.problem(Field, "a list in which each name stands once");
}

auto readTop(CheckedObject &Top, Document &Result) -> void {
  for (const auto &Name : Top.names("data_centres"))
    Result.DataCentres_.push_back({Name});
  checkUnique(Top, "data_centres", Result.DataCentres_);
  std::vector<ServiceName> Services;
  Top.objects("services", [&](CheckedObject &From) {
    ServiceDeclaration Service;
    Service.Name_ = {From.text("name")};
    Service.AnswerTimeout_ =
        Millis{From.integer("answer_within_ms", {1, 600000})};
    Services.push_back(Service.Name_);
    Result.Services_.push_back(Service);
  });
  checkUnique(Top, "services", Services);
  std::vector<TeamName> Teams;
  Top.objects("teams", [&](CheckedObject &From) {
    TeamDeclaration Team;
    Team.Name_ = {From.text("name")};
    From.object("quota", true, [&](CheckedObject &Quota) {
      Team.Quota_ = Internal::readResources(Quota);
    });
    Teams.push_back(Team.Name_);
    Result.Teams_.push_back(Team);
  });
  checkUnique(Top, "teams", Teams);
  std::vector<QueueName> Queues;
  if (Top.has("queues"))
    Top.objects("queues", [&](CheckedObject &From) {
      Result.Queues_.push_back(readQueue(From));
      Queues.push_back(Result.Queues_.back().Name_);
    });
  checkUnique(Top, "queues", Queues);
  Top.object("largest_worker", true, [&](CheckedObject &From) {
    Result.LargestWorker_ = Internal::readResources(From);
  });
  Top.object("policy", false,
             [&](CheckedObject &From) { readPolicy(From, Result.Policy_); });
}

} // namespace

auto Internal::readPolicySettings(CheckedObject &From, PolicySettings &Policy)
    -> void {
  readPolicy(From, Policy);
}

auto Internal::readResources(CheckedObject &From) -> Resources {
  constexpr std::int64_t Million = 1000000;
  Resources Result;
  Result.MilliCores_ = From.integer("millicores", {0, 1000 * Million});
  Result.MemoryMegabytes_ = From.integer("memory_mb", {0, 1000 * Million});
  Result.Accelerators_ = From.integer("accelerators", {0, Million}, 0);
  return Result;
}

auto parseDocument(const std::string &Text) -> ParsedDocument {
  ParsedDocument Result;
  Result.Document_.Text_ = Text;
  Result.Problems_ = Internal::readChecked(
      Text, [&](CheckedObject &Top) { readTop(Top, Result.Document_); });
  return Result;
}

} // namespace skylark
