/// \file
/// Defines the simulated callers who submit jobs to a queue under ids of their
/// own and cancel them promptly.

#include "test/fuzz/Simulation.h"

#include <cstdio>

namespace skylark::Fuzz {
namespace {

constexpr const char *QueueHost = "jobs.example";
constexpr const char *QueuePrefix = "/q/";
/// How long a caller waits for an answer until it sends its request again.
constexpr Millis AnswerTimeout{4000};
constexpr Millis RetryDelay{400};
/// Submission and cancellation of a job are sent within this time.
constexpr std::size_t SpreadMs = 400;
/// The latest repetition of a submission.
constexpr std::size_t MaxRepeatMs = 9000;
constexpr int MaxRetries = 60;

auto addressOf(const JobId &Id) -> QueueAddress {
  return {QueueHost, QueuePrefix + Id.Value_};
}

auto jobAt(const QueueAddress &Address) -> JobId {
  return {Address.Path_.substr(std::string(QueuePrefix).size())};
}

} // namespace

auto addQueue(Document &Configured) -> void {
  QueueDeclaration Queue;
  Queue.Name_ = {"q"};
  Queue.Host_ = QueueHost;
  Queue.PathPrefix_ = QueuePrefix;
  Queue.Service_ = {"check"};
  Configured.Queues_.push_back(std::move(Queue));
}

auto Simulation::generatePromptCancellations() -> void {
  if (!Busy_)
    return;
  char Text[17];
  std::snprintf(Text, sizeof Text, "%016d", ++LastNumber_);
  const JobId Id{Text};
  SubmitToQueue Submission{addressOf(Id), {}};
  auto &Step = Submission.Declaration_.Steps_.front();
  Step.TaskCount_ = 1 + randomBelow(3);
  Step.Resources_ = {200, 200, 0};
  Step.RunTime_ = Millis{200 + 100 * static_cast<int>(randomBelow(10))};
  const auto After = [&](std::size_t Spread) {
    return Millis{randomBelow(Spread)};
  };
  scheduleAfter(After(SpreadMs),
                [this, Submission] { submitToQueue(Submission, MaxRetries); });
  // Half of the cancellations follow at once.
  const auto CancelAfter = chance(0.5) ? After(SpreadMs / 10) : After(SpreadMs);
  scheduleAfter(CancelAfter, [this, Id] { cancelInQueue(Id, MaxRetries); });
  if (chance(0.5))
    scheduleAfter(After(MaxRepeatMs),
                  [this, Submission] { submitToQueue(Submission, 0); });
  scheduleAfter(Millis{100} + After(300),
                [this] { generatePromptCancellations(); });
}

auto Simulation::submitToQueue(const SubmitToQueue &Submission, int RetriesLeft)
    -> void {
  const auto Repeat = [this, Submission, RetriesLeft] {
    if (RetriesLeft > 0)
      submitToQueue(Submission, RetriesLeft - 1);
  };
  const auto Answered = std::make_shared<bool>(false);
  sendRequest(Submission, "", true,
              [this, Repeat, Answered,
               Id = jobAt(Submission.Address_)](const CallerReply &Reply) {
                if (std::holds_alternative<JobStateReply>(Reply))
                  AcceptedJobs_.add(Now_, Id);
                if (std::exchange(*Answered, true))
                  return;
                const auto *Error = std::get_if<ErrorReply>(&Reply);
                if (Error != nullptr &&
                    errorInfo(Error->Kind_).Execution_ == Execution::Unknown)
                  scheduleAfter(RetryDelay, Repeat);
              });
  scheduleAfter(AnswerTimeout, [Repeat, Answered] {
    if (!std::exchange(*Answered, true))
      Repeat();
  });
}

auto Simulation::cancelInQueue(const JobId &Id, int RetriesLeft) -> void {
  const auto Repeat = [this, Id, RetriesLeft] {
    if (RetriesLeft > 0)
      cancelInQueue(Id, RetriesLeft - 1);
  };
  const auto Answered = std::make_shared<bool>(false);
  // An answer counts also if it arrives after the caller has repeated its
  // request.
  sendRequest(CancelInQueue{addressOf(Id)}, "", true,
              [this, Id, Repeat, Answered](const CallerReply &Reply) {
                const auto *Error = std::get_if<ErrorReply>(&Reply);
                if (Error == nullptr)
                  Checker_.jobCancelled(Now_, Id);
                else if (Error->Kind_ == ErrorKind::UnknownJob)
                  Checker_.cancelledJobDenied(Id);
                else if (!*Answered)
                  scheduleAfter(RetryDelay, Repeat);
                *Answered = true;
              });
  scheduleAfter(AnswerTimeout, [Repeat, Answered] {
    if (!std::exchange(*Answered, true))
      Repeat();
  });
}

} // namespace skylark::Fuzz
