#include "command/Verbs.h"

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

constexpr std::size_t OutstandingLimit = 4000;
constexpr Seconds AnswerPatience{30};

/// What the user asks of a load.
struct LoadPlan {
  std::vector<std::string> Entries_;
  std::string Service_;
  std::string Team_;
  double Rate_ = 0;
  Seconds Length_{0};
  std::uint64_t Seed_ = 1;
  int KeyedPercent_ = 0;
  int JobsPerThousand_ = 0;
  Millis Within_{0};
  std::size_t BodySize_ = 0;
};

/// What came of a load.
struct LoadTally {
  std::vector<double> AnswerMs_;
  std::uint64_t Sent_ = 0;
  std::uint64_t Answered_ = 0;
  std::uint64_t NotSent_ = 0;
  std::uint64_t Jobs_ = 0;
  std::uint64_t RunTwice_ = 0;
  std::uint64_t WrongAnswers_ = 0;
  std::map<std::string, std::uint64_t> Refusals_;
};

auto percentile(const std::vector<double> &Sorted, double Share) -> double {
  if (Sorted.empty())
    return 0;
  const auto Rank = std::ceil(Share * static_cast<double>(Sorted.size()));
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

/// Sends open-loop arrivals: the next one does not wait for the last answer.
class LoadRun {
public:
  explicit LoadRun(LoadPlan Plan)
      : Plan_(std::move(Plan)), Generator_(Plan_.Seed_), Client_(Context_),
        Timer_(Context_) {}

  auto run() -> LoadTally {
    StartedAt_ = SteadyClock::now();
    NextAt_ = StartedAt_;
    scheduleNext();
    Context_.run();
    std::sort(Tally_.AnswerMs_.begin(), Tally_.AnswerMs_.end());
    return std::move(Tally_);
  }

private:
  auto scheduleNext() -> void {
    std::exponential_distribution<double> Gap(Plan_.Rate_);
    NextAt_ += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Gap(Generator_)));
    if (NextAt_ > StartedAt_ + Plan_.Length_)
      return;
    Timer_.expires_at(NextAt_);
    Timer_.async_wait([this](std::error_code Error) {
      if (Error)
        return;
      sendOne(NextAt_);
      scheduleNext();
    });
  }

  auto draw(int Most) -> int {
    return std::uniform_int_distribution<int>(1, Most)(Generator_);
  }

  auto sendOne(TimePoint DueAt) -> void {
    if (Outstanding_ >= OutstandingLimit) {
      ++Tally_.NotSent_;
      return;
    }
    constexpr int Thousand = 1000;
    constexpr int Hundred = 100;
    if (draw(Thousand) <= Plan_.JobsPerThousand_)
      sendJob();
    else
      sendQuick(DueAt, draw(Hundred) <= Plan_.KeyedPercent_);
  }

  auto entry() -> const std::string & {
    return Plan_.Entries_[Generator_() % Plan_.Entries_.size()];
  }

  auto sendQuick(TimePoint DueAt, bool Keyed) -> void {
    HttpCall Call;
    Call.Method_ = "POST";
    Call.Url_ = "http://" + entry() + "/v1/requests?service=" + Plan_.Service_ +
                "&idempotent=" + (Keyed ? "false" : "true");
    if (Plan_.Within_ > Millis{0})
      Call.Url_ += "&within_ms=" + std::to_string(Plan_.Within_.count());
    const auto Name =
        std::to_string(Plan_.Seed_) + "-" + std::to_string(++Tally_.Sent_);
    Call.Body_ = "load " + Name + " " + std::string(Plan_.BodySize_, 'x');
    if (Keyed)
      Call.Headers_.push_back("Idempotency-Key: " + today() + "-load-" + Name);
    Call.Timeout_ = AnswerPatience;
    ++Outstanding_;
    Client_.call(std::move(Call),
                 [this, DueAt, Name, Keyed](const HttpResult &Answer) {
                   --Outstanding_;
                   note(DueAt, Name, Keyed, Answer);
                 });
  }

  auto sendJob() -> void {
    HttpCall Call;
    Call.Method_ = "POST";
    Call.Url_ = "http://" + entry() + "/v1/jobs";
    Call.Body_ = Json{
        {"team", Plan_.Team_},
        {"tasks", 4},
        {"resources", {{"millicores", 500}, {"memory_mb", 500}}},
        {"run_time_ms", 500},
        {"deadline_in_ms",
         60000}}.dump();
    Call.Timeout_ = AnswerPatience;
    ++Tally_.Jobs_;
    ++Outstanding_;
    Client_.call(std::move(Call), [this](const HttpResult &Answer) {
      --Outstanding_;
      if (!Answer.Whole_ || Answer.Status_ >= 400)
        ++Tally_.Refusals_["job: " + codeOf(Answer)];
    });
  }

  static auto codeOf(const HttpResult &Answer) -> std::string {
    if (!Answer.Whole_)
      return Answer.NeverSent_ ? "not connected" : "no answer";
    const auto Problem = Json::parse(Answer.Body_, nullptr, false);
    const auto Type =
        Problem.is_object() ? Problem.value("type", "") : std::string();
    const auto Colon = Type.rfind(':');
    return Colon == std::string::npos
               ? "status " + std::to_string(Answer.Status_)
               : Type.substr(Colon + 1);
  }

  auto note(TimePoint DueAt, const std::string &Name, bool Keyed,
            const HttpResult &Answer) -> void {
    if (!Answer.Whole_ || Answer.Status_ >= 400) {
      ++Tally_.Refusals_[codeOf(Answer)];
      return;
    }
    ++Tally_.Answered_;
    const std::chrono::duration<double, std::milli> Took =
        SteadyClock::now() - DueAt;
    Tally_.AnswerMs_.push_back(Took.count());
    // Our targets repeat the request and say how often they have run it.
    const auto Value = Json::parse(Answer.Body_, nullptr, false);
    if (!Value.is_object())
      return;
    if (Value.value("body", "").rfind("load " + Name + " ", 0) != 0)
      ++Tally_.WrongAnswers_;
    if (Keyed && Value.value("runs", 1) > 1)
      ++Tally_.RunTwice_;
  }

  LoadPlan Plan_;
  LoadTally Tally_;
  std::mt19937_64 Generator_;
  asio::io_context Context_;
  HttpClient Client_;
  asio::steady_timer Timer_;
  TimePoint StartedAt_{};
  TimePoint NextAt_{};
  std::size_t Outstanding_ = 0;
};

auto metricSum(const std::vector<std::string> &Entries, const std::string &Name)
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
    auto Guard = asio::make_work_guard(Context);
    Context.run();
  }
  return Sum;
}

auto report(const LoadPlan &Plan, const LoadTally &Tally, double Retries,
            double Evictions) -> Json {
  const auto &Times = Tally.AnswerMs_;
  const auto Length = static_cast<double>(Plan.Length_.count());
  return {{"sent", Tally.Sent_},
          {"answered", Tally.Answered_},
          {"jobs", Tally.Jobs_},
          {"not_sent", Tally.NotSent_},
          {"per_second", static_cast<double>(Tally.Answered_) / Length},
          {"p50_ms", percentile(Times, 0.5)},
          {"p95_ms", percentile(Times, 0.95)},
          {"p99_ms", percentile(Times, 0.99)},
          {"p999_ms", percentile(Times, 0.999)},
          {"refusals", Tally.Refusals_},
          {"retries", Retries},
          {"evictions", Evictions},
          {"run_twice", Tally.RunTwice_},
          {"wrong_answers", Tally.WrongAnswers_}};
}

auto readPlan(const cxxopts::ParseResult &Parsed) -> LoadPlan {
  LoadPlan Plan;
  Plan.Entries_ = Parsed["entry"].as<std::vector<std::string>>();
  Plan.Service_ = Parsed["service"].as<std::string>();
  Plan.Team_ = Parsed["team"].as<std::string>();
  Plan.Rate_ = Parsed["rate"].as<double>();
  Plan.Length_ = Seconds{Parsed["seconds"].as<int>()};
  Plan.Seed_ = Parsed["seed"].as<std::uint64_t>();
  Plan.KeyedPercent_ = Parsed["keyed-percent"].as<int>();
  Plan.JobsPerThousand_ = Parsed["jobs-per-thousand"].as<int>();
  Plan.Within_ = Millis{Parsed["within-ms"].as<int>()};
  Plan.BodySize_ = Parsed["body-size"].as<std::size_t>();
  constexpr double MaxRate = 20000;
  constexpr Seconds MaxLength{3600};
  if (Plan.Rate_ <= 0 || Plan.Rate_ > MaxRate || Plan.Length_ < Seconds{1} ||
      Plan.Length_ > MaxLength)
    throw std::runtime_error(
        "--rate must be above 0 and at most 20000, --seconds 1 to 3600.");
  return Plan;
}

} // namespace

auto runLoad(const Verb &Self, int Count, char **Arguments) -> ExitStatus {
  cxxopts::Options Options("skylark load", std::string(Self.Summary_) +
                                               "\nExample: " + Self.Example_);
  using Texts = std::vector<std::string>;
  Options.add_options()(
      "entry", "addresses of entries, comma separated",
      cxxopts::value<Texts>()->default_value("127.0.0.1:8080"))(
      "service", "service to ask",
      cxxopts::value<std::string>()->default_value("receipt-check"))(
      "team", "team of the jobs",
      cxxopts::value<std::string>()->default_value("lodgements"))(
      "rate", "arrivals a second",
      cxxopts::value<double>()->default_value("50"))(
      "seconds", "length of the run",
      cxxopts::value<int>()->default_value("5"))(
      "seed", "seed of the arrivals",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "keyed-percent", "share of quick requests that are not idempotent",
      cxxopts::value<int>()->default_value("10"))(
      "jobs-per-thousand", "arrivals in a thousand that are batch jobs",
      cxxopts::value<int>()->default_value("0"))(
      "within-ms", "deadline of quick requests; 0 is the service's own",
      cxxopts::value<int>()->default_value("0"))(
      "body-size", "bytes of each request's body",
      cxxopts::value<std::size_t>()->default_value("200"))(
      "json", "print the report as JSON")("h,help", "print this text");
  const auto Parsed = Options.parse(Count, Arguments);
  if (Parsed.count("help") != 0) {
    std::cout << Options.help();
    return ExitStatus::Done;
  }
  const auto Plan = readPlan(Parsed);
  const auto RetriesBefore = metricSum(Plan.Entries_, "skylark_retries_total");
  const auto EvictedBefore =
      metricSum(Plan.Entries_, "skylark_evictions_total");
  const auto Tally = LoadRun(Plan).run();
  const auto Report = report(
      Plan, Tally,
      metricSum(Plan.Entries_, "skylark_retries_total") - RetriesBefore,
      metricSum(Plan.Entries_, "skylark_evictions_total") - EvictedBefore);
  if (Parsed.count("json") != 0) {
    std::cout << Report.dump() << '\n';
  } else {
    for (const auto &[Name, Value] : Report.items())
      std::cout << std::left << std::setw(16) << Name << Value.dump() << '\n';
  }
  const auto Broken = Tally.RunTwice_ > 0 || Tally.WrongAnswers_ > 0;
  return Broken ? ExitStatus::Refused : ExitStatus::Done;
}

} // namespace skylark
