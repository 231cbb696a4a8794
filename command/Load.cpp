#include "command/Subcommands.h"

#include "runtime/HttpClient.h"

#include <asio/steady_timer.hpp>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>
#include <sstream>

namespace skylark {
namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxOutstanding = 4000;
constexpr Seconds AnswerTimeout{30};

/// The load to generate, as given on the command line.
struct LoadPlan {
  std::vector<std::string> Entries_;
  std::string Service_;
  std::string Team_;
  double Rate_ = 0;
  Seconds Duration_{0};
  std::uint64_t Seed_ = 1;
  int KeyedPercent_ = 0;
  int JobsPerThousand_ = 0;
  Millis RequestTimeout_{0};
  std::size_t BodySize_ = 0;
};

/// Counts and latencies of a run.
struct LoadResult {
  /// Measured from the scheduled time, so that delays in sending count.
  std::vector<double> LatenciesMs_;
  std::uint64_t Sent_ = 0;
  std::uint64_t Answered_ = 0;
  /// Arrivals dropped because too many requests were outstanding.
  std::uint64_t NotSent_ = 0;
  std::uint64_t Jobs_ = 0;
  /// Requests with an idempotency key that ran more than once.
  std::uint64_t RunTwice_ = 0;
  std::uint64_t WrongAnswers_ = 0;
  /// Failed requests by error code.
  std::map<std::string, std::uint64_t> Refusals_;
};

/// Returns the percentile by the nearest-rank method; 0 for no values.
auto percentile(const std::vector<double> &Sorted, double Fraction) -> double {
  if (Sorted.empty())
    return 0;
  const auto Rank = std::ceil(Fraction * static_cast<double>(Sorted.size()));
  const auto Index = static_cast<std::size_t>(std::max(Rank, 1.0)) - 1;
  return Sorted[std::min(Index, Sorted.size() - 1)];
}

auto today() -> std::string {
  const auto Now = std::time(nullptr);
  std::tm Parts{};
  gmtime_r(&Now, &Parts);
  char Text[16];
  std::strftime(Text, sizeof Text, "%Y%m%d", &Parts);
  return Text;
}

/// Generates an open-loop load with Poisson arrivals: a request is sent at its
/// scheduled time, whether or not earlier ones have been answered.
class LoadGenerator {
public:
  explicit LoadGenerator(LoadPlan Plan)
      : Plan_(std::move(Plan)), Random_(Plan_.Seed_), Client_(Context_),
        Timer_(Context_) {}

  auto run() -> LoadResult {
    StartedAt_ = SteadyClock::now();
    NextArrivalAt_ = StartedAt_;
    scheduleNext();
    Context_.run();
    std::sort(Result_.LatenciesMs_.begin(), Result_.LatenciesMs_.end());
    return std::move(Result_);
  }

private:
  auto scheduleNext() -> void {
    std::exponential_distribution<double> InterArrivalSeconds(Plan_.Rate_);
    NextArrivalAt_ += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(InterArrivalSeconds(Random_)));
    if (NextArrivalAt_ > StartedAt_ + Plan_.Duration_)
      return;
    Timer_.expires_after(NextArrivalAt_ - SteadyClock::now());
    Timer_.async_wait([this](std::error_code Error) {
      if (Error)
        return;
      sendArrival(NextArrivalAt_);
      scheduleNext();
    });
  }

  auto randomUpTo(int Max) -> int {
    return std::uniform_int_distribution<int>(1, Max)(Random_);
  }

  auto sendArrival(TimePoint ScheduledAt) -> void {
    if (Outstanding_ >= MaxOutstanding) {
      ++Result_.NotSent_;
      return;
    }
    constexpr int Thousand = 1000;
    constexpr int Hundred = 100;
    if (randomUpTo(Thousand) <= Plan_.JobsPerThousand_)
      sendJob();
    else
      sendQuickRequest(ScheduledAt, randomUpTo(Hundred) <= Plan_.KeyedPercent_);
  }

  auto randomEntry() -> const std::string & {
    return Plan_.Entries_[Random_() % Plan_.Entries_.size()];
  }

  auto sendQuickRequest(TimePoint ScheduledAt, bool Keyed) -> void {
    HttpCall Call;
    Call.Method_ = "POST";
    Call.Url_ = "http://" + randomEntry() +
                "/v1/requests?service=" + Plan_.Service_ +
                "&idempotent=" + (Keyed ? "false" : "true");
    if (Plan_.RequestTimeout_ > Millis{0})
      Call.Url_ +=
          "&within_ms=" + std::to_string(Plan_.RequestTimeout_.count());
    const auto Name =
        std::to_string(Plan_.Seed_) + "-" + std::to_string(++Result_.Sent_);
    Call.Body_ = "load " + Name + " " + std::string(Plan_.BodySize_, 'x');
    if (Keyed)
      Call.Headers_.push_back("Idempotency-Key: " + today() + "-load-" + Name);
    Call.Timeout_ = AnswerTimeout;
    ++Outstanding_;
    Client_.call(std::move(Call),
                 [this, ScheduledAt, Name, Keyed](const HttpResult &Answer) {
                   --Outstanding_;
                   recordAnswer(ScheduledAt, Name, Keyed, Answer);
                 });
  }

  auto sendJob() -> void {
    HttpCall Call;
    Call.Method_ = "POST";
    Call.Url_ = "http://" + randomEntry() + "/v1/jobs";
    Call.Body_ = Json{
        {"team", Plan_.Team_},
        {"tasks", 4},
        {"resources", {{"millicores", 500}, {"memory_mb", 500}}},
        {"run_time_ms", 500},
        {"deadline_in_ms",
         60000}}.dump();
    Call.Timeout_ = AnswerTimeout;
    ++Result_.Jobs_;
    ++Outstanding_;
    Client_.call(std::move(Call), [this](const HttpResult &Answer) {
      --Outstanding_;
      if (!Answer.Complete_ || Answer.Status_ >= 400)
        ++Result_.Refusals_["job: " + errorCodeOf(Answer)];
    });
  }

  static auto errorCodeOf(const HttpResult &Answer) -> std::string {
    if (!Answer.Complete_)
      return Answer.NeverSent_ ? "not connected" : "no answer";
    const auto Problem = Json::parse(Answer.Body_, nullptr, false);
    const auto Type =
        Problem.is_object() ? Problem.value("type", "") : std::string();
    const auto Colon = Type.rfind(':');
    return Colon == std::string::npos
               ? "status " + std::to_string(Answer.Status_)
               : Type.substr(Colon + 1);
  }

  auto recordAnswer(TimePoint ScheduledAt, const std::string &Name, bool Keyed,
                    const HttpResult &Answer) -> void {
    if (!Answer.Complete_ || Answer.Status_ >= 400) {
      ++Result_.Refusals_[errorCodeOf(Answer)];
      return;
    }
    ++Result_.Answered_;
    const std::chrono::duration<double, std::milli> Latency =
        SteadyClock::now() - ScheduledAt;
    Result_.LatenciesMs_.push_back(Latency.count());
    // The stand-in targets return the request's body and the number of times
    // that they have run it.
    const auto Value = Json::parse(Answer.Body_, nullptr, false);
    if (!Value.is_object())
      return;
    if (Value.value("body", "").rfind("load " + Name + " ", 0) != 0)
      ++Result_.WrongAnswers_;
    if (Keyed && Value.value("runs", 1) > 1)
      ++Result_.RunTwice_;
  }

  LoadPlan Plan_;
  LoadResult Result_;
  std::mt19937_64 Random_;
  asio::io_context Context_;
  HttpClient Client_;
  asio::steady_timer Timer_;
  TimePoint StartedAt_{};
  TimePoint NextArrivalAt_{};
  std::size_t Outstanding_ = 0;
};

/// Returns the sum of a metric over its labels and all entries.
auto sumMetric(const std::vector<std::string> &Entries, const std::string &Name)
    -> double {
  double Sum = 0;
  for (const auto &Entry : Entries) {
    asio::io_context Context;
    HttpClient Client(Context);
    HttpCall Call;
    Call.Url_ = "http://" + Entry + "/v1/metrics";
    Client.call(std::move(Call), [&](const HttpResult &Answer) {
      std::istringstream Lines(Answer.Body_);
      for (std::string Text; std::getline(Lines, Text);)
        if (Text.rfind(Name, 0) == 0)
          Sum += std::stod(Text.substr(Text.rfind(' ') + 1));
      Context.stop();
    });
    auto WorkGuard = asio::make_work_guard(Context);
    Context.run();
  }
  return Sum;
}

auto report(const LoadPlan &Plan, const LoadResult &Result, double Retries,
            double Evictions) -> Json {
  const auto &Latencies = Result.LatenciesMs_;
  const auto DurationSeconds = static_cast<double>(Plan.Duration_.count());
  return {
      {"sent", Result.Sent_},
      {"answered", Result.Answered_},
      {"jobs", Result.Jobs_},
      {"not_sent", Result.NotSent_},
      {"per_second", static_cast<double>(Result.Answered_) / DurationSeconds},
      {"p50_ms", percentile(Latencies, 0.5)},
      {"p95_ms", percentile(Latencies, 0.95)},
      {"p99_ms", percentile(Latencies, 0.99)},
      {"p999_ms", percentile(Latencies, 0.999)},
      {"refusals", Result.Refusals_},
      {"retries", Retries},
      {"evictions", Evictions},
      {"run_twice", Result.RunTwice_},
      {"wrong_answers", Result.WrongAnswers_}};
}

auto readPlan(const cxxopts::ParseResult &Parsed) -> LoadPlan {
  LoadPlan Plan;
  Plan.Entries_ = Parsed["entry"].as<std::vector<std::string>>();
  Plan.Service_ = Parsed["service"].as<std::string>();
  Plan.Team_ = Parsed["team"].as<std::string>();
  Plan.Rate_ = Parsed["rate"].as<double>();
  Plan.Duration_ = Seconds{Parsed["seconds"].as<int>()};
  Plan.Seed_ = Parsed["seed"].as<std::uint64_t>();
  Plan.KeyedPercent_ = Parsed["keyed-percent"].as<int>();
  Plan.JobsPerThousand_ = Parsed["jobs-per-thousand"].as<int>();
  Plan.RequestTimeout_ = Millis{Parsed["within-ms"].as<int>()};
  Plan.BodySize_ = Parsed["body-size"].as<std::size_t>();
  constexpr double MaxRate = 20000;
  constexpr Seconds MaxDuration{3600};
  if (Plan.Rate_ <= 0 || Plan.Rate_ > MaxRate || Plan.Duration_ < Seconds{1} ||
      Plan.Duration_ > MaxDuration)
    throw std::runtime_error(
        "--rate must be above 0 and at most 20000, --seconds 1 to 3600.");
  return Plan;
}

} // namespace

auto runLoad(const Subcommand &Self, int Count, char **Arguments)
    -> ExitStatus {
  cxxopts::Options Options("skylark load", std::string(Self.Summary_) +
                                               "\nExample: " + Self.Example_);
  using StringList = std::vector<std::string>;
  Options.add_options()(
      "entry", "addresses of entries, comma separated",
      cxxopts::value<StringList>()->default_value("127.0.0.1:8080"))(
      "service", "service to send requests to",
      cxxopts::value<std::string>()->default_value("receipt-check"))(
      "team", "team of the jobs",
      cxxopts::value<std::string>()->default_value("lodgements"))(
      "rate", "mean number of arrivals per second",
      cxxopts::value<double>()->default_value("50"))(
      "seconds", "duration of the run, in seconds",
      cxxopts::value<int>()->default_value("5"))(
      "seed", "seed of the random arrivals",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "keyed-percent",
      "share of quick requests that are not idempotent, in percent",
      cxxopts::value<int>()->default_value("10"))(
      "jobs-per-thousand", "number of batch jobs in a thousand arrivals",
      cxxopts::value<int>()->default_value("0"))(
      "within-ms",
      "deadline of quick requests, in ms; 0 for the default of the service",
      cxxopts::value<int>()->default_value("0"))(
      "body-size", "size of each request's body, in bytes",
      cxxopts::value<std::size_t>()->default_value("200"))(
      "json", "print the report as JSON")("h,help", "print this text");
  const auto Parsed = Options.parse(Count, Arguments);
  if (Parsed.count("help") != 0) {
    std::cout << Options.help();
    return ExitStatus::Done;
  }
  const auto Plan = readPlan(Parsed);
  const auto RetriesBefore = sumMetric(Plan.Entries_, "skylark_retries_total");
  const auto EvictionsBefore =
      sumMetric(Plan.Entries_, "skylark_evictions_total");
  const auto Result = LoadGenerator(Plan).run();
  const auto Report = report(
      Plan, Result,
      sumMetric(Plan.Entries_, "skylark_retries_total") - RetriesBefore,
      sumMetric(Plan.Entries_, "skylark_evictions_total") - EvictionsBefore);
  if (Parsed.count("json") != 0) {
    std::cout << Report.dump() << '\n';
  } else {
    for (const auto &[Name, Value] : Report.items())
      std::cout << std::left << std::setw(16) << Name << Value.dump() << '\n';
  }
  const auto Incorrect = Result.RunTwice_ > 0 || Result.WrongAnswers_ > 0;
  return Incorrect ? ExitStatus::Refused : ExitStatus::Done;
}

} // namespace skylark
