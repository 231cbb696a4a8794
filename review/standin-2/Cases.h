/// \file
/// Defines what the cases share: jobs, their hand-in, and the check of the rule
/// LOST.
#pragma once

#include "Deployment.h"

namespace skylark::review2 {

/// How a case ends; the exit status of its script.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

struct Job {
  std::string Id_;
  const Queue *Queue_ = nullptr;
  Json Body_;
  int Cpu_ = 0;
  int Memory_ = 0;
  bool Accepted_ = false;
  Millis AcceptedAt_{0};
};

struct Context {
  Record &Log_;
  RunLog &Runs_;
  Deployment &System_;
  /// Whether to play the disruption.
  bool Trouble_ = true;
};

/// A case: what it runs on, and how it is played.
struct Case {
  DeploymentOptions Options_;
  Verdict (*Play_)(Context &, const DeploymentOptions &) = nullptr;
};

/// A job of one step.
/// \param Spec what each task does; see Worker.
inline auto makeJob(const Queue &To, int Count, const Json &Spec, Json Step)
    -> Job {
  static std::mt19937_64 Random(std::random_device{}());
  char Id[24];
  std::snprintf(Id, sizeof Id, "%016llx",
                static_cast<unsigned long long>(Random()));
  Job New;
  New.Id_ = Id;
  New.Queue_ = &To;
  New.Cpu_ = Spec.value("cpu", 0);
  New.Memory_ = Spec.value("mem", 0);
  Step["count"] = Count;
  if (New.Cpu_ > 0)
    Step["cpu"] = New.Cpu_;
  Step["mem_mb"] = New.Memory_;
  Step["estimate_ms"] = Spec.value("ms", 1000);
  New.Body_ = {{"spec", Spec.dump()}, {"steps", {std::move(Step)}}};
  return New;
}

/// Hands a job in, at another entry after an answer that leaves it open.
inline auto submit(Context &Case, Job &New) -> bool {
  constexpr int Attempts = 4;
  for (int Attempt = 0; Attempt < Attempts && !New.Accepted_; ++Attempt) {
    const auto Result =
        Case.System_.call("POST", *New.Queue_, New.Id_, New.Body_.dump());
    New.Accepted_ = Result.Status_ / 100 == 2;
    Case.Log_.line("POST " + New.Id_ + " to " + New.Queue_->Name_ + " -> " +
                   std::to_string(Result.Status_));
  }
  New.AcceptedAt_ = Case.Log_.now();
  return New.Accepted_;
}

/// The state that a GET shows; the status if it isn't 200.
inline auto readState(Context &Case, const Job &Each) -> std::string {
  const auto Result = Case.System_.call("GET", *Each.Queue_, Each.Id_, "");
  auto State = std::to_string(Result.Status_);
  if (Result.Status_ == 200)
    State = Json::parse(Result.Body_).value("state", "unreadable");
  Case.Log_.line("GET " + Each.Id_ + " -> " + State);
  return State;
}

inline auto runsOf(const Context &Case, const Job &Each)
    -> std::vector<RunRecord> {
  std::vector<RunRecord> Found;
  for (auto &Run : Case.Runs_.all())
    if (Run.job() == Each.Id_)
      Found.push_back(std::move(Run));
  return Found;
}

/// Whether, for 3 s, no task of a job runs although there is room for one twice
/// over on a worker of its service and under half of the service's processors
/// are in use. To be called while nothing else disturbs the deployment.
class StarvationCheck {
public:
  explicit StarvationCheck(Context &Case) : Case_(Case) {}

  /// Looks at all jobs, none of which may be cancelled or have run to its end.
  /// \returns the jobs that are broken now.
  auto look(const std::vector<Job> &Jobs) -> std::set<std::string> {
    std::set<std::string> Broken;
    const auto Runs = Case_.Runs_.all();
    for (const auto &Each : Jobs) {
      const auto Waits =
          Each.Accepted_ &&
          std::none_of(Runs.begin(), Runs.end(), [&](const RunRecord &Run) {
            return Run.job() == Each.Id_ &&
                   (Run.How_.empty() || Run.How_ == "done");
          });
      if (!Waits || !hasRoom(Runs, Each)) {
        Since_.erase(Each.Id_);
        continue;
      }
      const auto Since =
          Since_.emplace(Each.Id_, Case_.Log_.now()).first->second;
      if (Case_.Log_.now() - Since >= StarvationTime)
        Broken.insert(Each.Id_);
    }
    return Broken;
  }

private:
  static constexpr Millis StarvationTime{3000};

  auto hasRoom(const std::vector<RunRecord> &Runs, const Job &Each) const
      -> bool {
    int Capacity = 0;
    int InUse = 0;
    auto Fits = false;
    for (const auto &Host : Case_.System_.workers()) {
      const auto &Options = Host->options();
      if (Options.Service_ != Each.Queue_->Service_ || !Host->alive())
        continue;
      auto Cpu = Options.Cpu_;
      auto Memory = Options.Memory_;
      for (const auto &Run : Runs)
        if (Run.Worker_ == Options.Name_ && Run.How_.empty()) {
          Cpu -= Run.Cpu_;
          Memory -= Run.Memory_;
        }
      Capacity += Options.Cpu_;
      InUse += Options.Cpu_ - Cpu;
      Fits = Fits || (Cpu >= 2 * Each.Cpu_ && Memory >= 2 * Each.Memory_);
    }
    return Fits && 2 * InUse < Capacity;
  }

  Context &Case_;
  std::map<std::string, Millis> Since_;
};

} // namespace skylark::review2
