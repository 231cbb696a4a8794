#include "command/Subcommands.h"

#include "command/BlockingCall.h"
#include "wire/DocumentJson.h"
#include "wire/Settings.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace skylark {
namespace {

using Json = nlohmann::json;

constexpr Seconds CallTimeout{30};
constexpr Millis PollInterval{300};

auto commonOptions(const Subcommand &Self) -> cxxopts::Options {
  cxxopts::Options Options(std::string("skylark ") + Self.Name_,
                           std::string(Self.Summary_) +
                               "\nExample: " + Self.Example_);
  Options.add_options()(
      "entry", "address of an entry or a load balancer",
      cxxopts::value<std::string>()->default_value("127.0.0.1:8080"))(
      "json", "print the answer as JSON")("h,help", "print this text")(
      "arguments", "what the command acts on",
      cxxopts::value<std::vector<std::string>>());
  Options.parse_positional({"arguments"});
  return Options;
}

/// The parsed command line of one subcommand.
struct CommandLine {
  cxxopts::ParseResult Parsed_;

  auto entry() const -> std::string {
    return Parsed_["entry"].as<std::string>();
  }
  auto json() const -> bool { return Parsed_.count("json") != 0; }
  auto arguments() const -> std::vector<std::string> {
    if (Parsed_.count("arguments") == 0)
      return {};
    return Parsed_["arguments"].as<std::vector<std::string>>();
  }
};

auto readFile(const std::string &Name) -> std::string {
  std::ifstream In(Name);
  if (!In)
    throw std::runtime_error("The file \"" + Name + "\" can't be read.");
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

auto makeCall(const CommandLine &Command, std::string Method,
              const std::string &Path) -> HttpCall {
  HttpCall Call;
  Call.Method_ = std::move(Method);
  Call.Url_ = "http://" + Command.entry() + Path;
  Call.Timeout_ = CallTimeout;
  return Call;
}

auto statusOf(const HttpResult &Answer) -> ExitStatus {
  if (!Answer.Complete_)
    return Answer.NeverSent_ ? ExitStatus::Unreachable
                             : ExitStatus::OutcomeUnknown;
  constexpr std::uint16_t Accepted = 202;
  constexpr std::uint16_t FirstError = 400;
  if (Answer.Status_ == Accepted)
    return ExitStatus::NotInForce;
  if (Answer.Status_ < FirstError)
    return ExitStatus::Done;
  const auto Problem = Json::parse(Answer.Body_, nullptr, false);
  const auto Unknown =
      Problem.is_object() && Problem.value("ran", "") == "unknown";
  return Unknown ? ExitStatus::OutcomeUnknown : ExitStatus::Refused;
}

auto printProblem(const HttpResult &Answer) -> void {
  if (!Answer.Complete_) {
    std::cerr << (Answer.NeverSent_
                      ? "Can't connect to an entry at this address.\n"
                      : "The entry's answer is missing or incomplete.\n");
    return;
  }
  const auto Problem = Json::parse(Answer.Body_, nullptr, false);
  if (!Problem.is_object()) {
    std::cerr << Answer.Body_ << '\n';
    return;
  }
  std::cerr << Problem.value("title", "") << ". " << Problem.value("detail", "")
            << "\nExecution of the request: " << Problem.value("ran", "")
            << "; a retry is "
            << (Problem.value("may_retry", false) ? "" : "not ")
            << "recommended.\n";
}

/// Makes a call and prints its answer, as JSON or with `Print`.
auto callAndPrint(const CommandLine &Command, HttpCall Call,
                  void (*Print)(const Json &)) -> ExitStatus {
  const auto Answer = callAndWait(std::move(Call));
  const auto Status = statusOf(Answer);
  if (Status != ExitStatus::Done && Status != ExitStatus::NotInForce) {
    if (Command.json())
      std::cout << Answer.Body_;
    else
      printProblem(Answer);
    return Status;
  }
  if (Command.json())
    std::cout << Answer.Body_;
  else
    Print(Json::parse(Answer.Body_));
  return Status;
}

auto printChange(const Json &Value) -> void {
  std::cout << "revision " << Value.at("revision")
            << (Value.at("in_force").get<bool>()
                    ? " is in force everywhere\n"
                    : " is accepted, not in force yet\n");
  for (const auto &Each : Value.at("missing"))
    std::cout << "  not confirmed: " << Each.get<std::string>() << '\n';
  if (!Value.at("in_force").get<bool>())
    std::cout << "  the last grant of an older revision ends within "
              << Value.at("in_force_within_ms") << " ms\n";
}

auto printJob(const Json &Value) -> void {
  const auto &Tally = Value.at("tally");
  std::cout << Value.at("job").get<std::string>() << "  "
            << Value.at("kind").get<std::string>() << " of team "
            << Value.at("team").get<std::string>() << "  pending "
            << Tally.at("pending") << "  bound " << Tally.at("bound")
            << "  finished " << Tally.at("finished") << "  failed "
            << Tally.at("failed") << "  cancelled " << Tally.at("cancelled")
            << '\n';
}

auto printHistory(const Json &Value) -> void {
  printJob(Value);
  for (const auto &Task : Value.at("tasks"))
    for (const auto &Transition : Task.at("history"))
      std::cout << "  task " << std::setw(4) << Task.at("task").get<int>()
                << "  " << Transition.at("at").get<std::string>()
                << "  attempt " << Transition.at("attempt") << "  " << std::left
                << std::setw(9) << Transition.at("state").get<std::string>()
                << "  " << std::setw(16)
                << Transition.at("agent").get<std::string>() << "  "
                << std::setw(12)
                << Transition.at("data_centre").get<std::string>() << "  "
                << Transition.at("reason").get<std::string>() << std::right
                << '\n';
}

auto printEvents(const Json &Value) -> void {
  if (Value.contains("job")) {
    printHistory(Value);
    return;
  }
  for (const auto &Each : Value.at("events"))
    std::cout << Each.at("at").get<std::string>() << "  " << std::left
              << std::setw(16) << Each.at("what").get<std::string>()
              << std::setw(16) << Each.at("agent").get<std::string>()
              << std::setw(12) << Each.at("data_centre").get<std::string>()
              << Each.at("reason").get<std::string>() << std::right << '\n';
}

auto printTargets(const Json &Value) -> void {
  std::cout << "revision " << Value.at("revision") << '\n'
            << std::left << std::setw(18) << "target" << std::setw(14)
            << "data centre" << std::setw(12) << "state" << std::right
            << std::setw(9) << "revision" << std::setw(8) << "running"
            << std::setw(8) << "queued" << std::setw(16) << "free millicores"
            << '\n';
  for (const auto &Each : Value.at("targets"))
    std::cout << std::left << std::setw(18)
              << Each.at("agent").get<std::string>() << std::setw(14)
              << Each.at("data_centre").get<std::string>() << std::setw(12)
              << Each.at("state").get<std::string>() << std::right
              << std::setw(9) << Each.at("revision").get<int>() << std::setw(8)
              << Each.at("running").get<int>() << std::setw(8)
              << Each.at("queued").get<int>() << std::setw(16)
              << Each.at("free").at("millicores").get<long>() << '\n';
}

/// Parses the command line of a subcommand. Returns false if help was asked for
/// and printed. Throws std::runtime_error for a wrong number of arguments.
auto parse(const Subcommand &Self, cxxopts::Options Options, int Count,
           char **Arguments, std::size_t ExpectedArguments, CommandLine &Result)
    -> bool {
  Result.Parsed_ = Options.parse(Count, Arguments);
  if (Result.Parsed_.count("help") != 0) {
    std::cout << Options.help();
    return false;
  }
  if (Result.arguments().size() != ExpectedArguments)
    throw std::runtime_error(std::string("\"skylark ") + Self.Name_ +
                             "\" takes " + std::to_string(ExpectedArguments) +
                             " argument(s), not " +
                             std::to_string(Result.arguments().size()) +
                             ". Example: " + Self.Example_);
  return true;
}

auto environmentPath(const std::string &Name) -> std::string {
  return "/v1/environments/" + Name + "/document";
}

auto apply(const Subcommand &Self, int Count, char **Arguments) -> ExitStatus {
  auto Options = commonOptions(Self);
  Options.add_options()("revision",
                        "the revision that the document replaces; the current "
                        "one if left out",
                        cxxopts::value<std::string>());
  CommandLine Command;
  if (!parse(Self, Options, Count, Arguments, 2, Command))
    return ExitStatus::Done;
  const auto Path = environmentPath(Command.arguments()[0]);
  std::string EntityTag = "0";
  if (Command.Parsed_.count("revision") != 0) {
    EntityTag = Command.Parsed_["revision"].as<std::string>();
  } else {
    const auto Current = callAndWait(makeCall(Command, "GET", Path));
    if (!headerValue(Current, "ETag").empty())
      EntityTag = headerValue(Current, "ETag");
  }
  auto Call = makeCall(Command, "PUT", Path);
  Call.Body_ = readFile(Command.arguments()[1]);
  Call.Headers_.push_back("If-Match: " + EntityTag);
  return callAndPrint(Command, std::move(Call), printChange);
}

auto diff(const Subcommand &Self, int Count, char **Arguments) -> ExitStatus {
  CommandLine Command;
  if (!parse(Self, commonOptions(Self), Count, Arguments, 2, Command))
    return ExitStatus::Done;
  const auto Answer = callAndWait(
      makeCall(Command, "GET", environmentPath(Command.arguments()[0])));
  if (statusOf(Answer) != ExitStatus::Done) {
    printProblem(Answer);
    return statusOf(Answer);
  }
  const auto Current = Json::parse(Answer.Body_, nullptr, true, true);
  const auto Desired =
      Json::parse(readFile(Command.arguments()[1]), nullptr, true, true);
  const auto Changes = Json::diff(Current, Desired);
  if (Command.json()) {
    std::cout << Changes.dump() << '\n';
  } else if (Changes.empty()) {
    std::cout << "no difference\n";
  } else {
    for (const auto &Change : Changes)
      std::cout << std::left << std::setw(9)
                << Change.at("op").get<std::string>()
                << Change.at("path").get<std::string>() << "  "
                << (Change.contains("value") ? Change.at("value").dump() : "")
                << '\n';
  }
  return Changes.empty() ? ExitStatus::Done : ExitStatus::Refused;
}

auto promote(const Subcommand &Self, int Count, char **Arguments)
    -> ExitStatus {
  CommandLine Command;
  if (!parse(Self, commonOptions(Self), Count, Arguments, 2, Command))
    return ExitStatus::Done;
  const auto Environments = Command.arguments();
  return callAndPrint(Command,
                      makeCall(Command, "POST",
                               "/v1/environments/" + Environments[0] +
                                   "/promote?to=" + Environments[1]),
                      printChange);
}

auto setDataCentre(const Subcommand &Self, int Count, char **Arguments)
    -> ExitStatus {
  CommandLine Command;
  if (!parse(Self, commonOptions(Self), Count, Arguments, 1, Command))
    return ExitStatus::Done;
  return callAndPrint(
      Command,
      makeCall(Command, "POST",
               "/v1/datacentres/" + Command.arguments()[0] + "/" + Self.Name_),
      printChange);
}

auto targets(const Subcommand &Self, int Count, char **Arguments)
    -> ExitStatus {
  CommandLine Command;
  if (!parse(Self, commonOptions(Self), Count, Arguments, 0, Command))
    return ExitStatus::Done;
  return callAndPrint(Command, makeCall(Command, "GET", "/v1/targets"),
                      printTargets);
}

auto isFinished(const Json &Job) -> bool {
  const auto &Tally = Job.at("tally");
  return Tally.at("pending") == 0 && Tally.at("bound") == 0;
}

/// Prints a job's progress until all its tasks have ended.
auto waitForJob(const CommandLine &Command, const std::string &Id)
    -> ExitStatus {
  for (;;) {
    const auto Answer = callAndWait(makeCall(Command, "GET", "/v1/jobs/" + Id));
    if (statusOf(Answer) == ExitStatus::Done) {
      const auto Job = Json::parse(Answer.Body_);
      std::cerr << '\r';
      if (isFinished(Job)) {
        if (Command.json())
          std::cout << Answer.Body_;
        else
          printJob(Job);
        const auto Failed = Job.at("tally").at("failed").get<int>() > 0;
        return Failed ? ExitStatus::Refused : ExitStatus::Done;
      }
      std::cerr << "finished " << Job.at("tally").at("finished") << " of "
                << Job.at("tasks").size() << "   " << std::flush;
    }
    std::this_thread::sleep_for(PollInterval);
  }
}

auto submit(const Subcommand &Self, int Count, char **Arguments) -> ExitStatus {
  auto Options = commonOptions(Self);
  Options.add_options()("key", "idempotency key, YYYYMMDD-...",
                        cxxopts::value<std::string>())(
      "wait", "show progress until the job has ended");
  CommandLine Command;
  if (!parse(Self, Options, Count, Arguments, 1, Command))
    return ExitStatus::Done;
  auto Call = makeCall(Command, "POST", "/v1/jobs");
  Call.Body_ = readFile(Command.arguments()[0]);
  if (Command.Parsed_.count("key") != 0)
    Call.Headers_.push_back("Idempotency-Key: " +
                            Command.Parsed_["key"].as<std::string>());
  if (Command.Parsed_.count("wait") == 0)
    return callAndPrint(Command, std::move(Call), printJob);
  const auto Answer = callAndWait(std::move(Call));
  if (statusOf(Answer) != ExitStatus::Done) {
    printProblem(Answer);
    return statusOf(Answer);
  }
  return waitForJob(Command,
                    Json::parse(Answer.Body_).at("job").get<std::string>());
}

auto job(const Subcommand &Self, int Count, char **Arguments) -> ExitStatus {
  CommandLine Command;
  if (!parse(Self, commonOptions(Self), Count, Arguments, 1, Command))
    return ExitStatus::Done;
  return callAndPrint(
      Command, makeCall(Command, "GET", "/v1/jobs/" + Command.arguments()[0]),
      printJob);
}

auto cancel(const Subcommand &Self, int Count, char **Arguments) -> ExitStatus {
  CommandLine Command;
  if (!parse(Self, commonOptions(Self), Count, Arguments, 1, Command))
    return ExitStatus::Done;
  return callAndPrint(
      Command,
      makeCall(Command, "POST",
               "/v1/jobs/" + Command.arguments()[0] + "/cancel"),
      printJob);
}

auto explain(const Subcommand &Self, int Count, char **Arguments)
    -> ExitStatus {
  CommandLine Command;
  if (!parse(Self, commonOptions(Self), Count, Arguments, 1, Command))
    return ExitStatus::Done;
  return callAndPrint(
      Command,
      makeCall(Command, "GET", "/v1/explain/" + Command.arguments()[0]),
      printEvents);
}

auto check(const Subcommand &Self, int Count, char **Arguments) -> ExitStatus {
  CommandLine Command;
  auto Options = commonOptions(Self);
  Command.Parsed_ = Options.parse(Count, Arguments);
  if (Command.Parsed_.count("help") != 0 || Command.arguments().empty()) {
    std::cout << Options.help();
    return Command.arguments().empty() && Command.Parsed_.count("help") == 0
               ? ExitStatus::Usage
               : ExitStatus::Done;
  }
  auto Status = ExitStatus::Done;
  for (const auto &File : Command.arguments()) {
    const auto Text = readFile(File);
    // Only settings files have the field "role".
    const auto Value = Json::parse(Text, nullptr, false, true);
    const auto IsSettings = Value.is_object() && Value.contains("role");
    const auto Problems = IsSettings ? parseSettings(Text).Problems_
                                     : parseDocument(Text).Problems_;
    for (const auto &Error : Problems)
      std::cout << File << ": " << describe(Error) << '\n';
    if (!Problems.empty())
      Status = ExitStatus::Refused;
    else
      std::cout << File << ": valid "
                << (IsSettings ? "settings\n" : "document\n");
  }
  return Status;
}

} // namespace

auto allSubcommands() -> const std::vector<Subcommand> & {
  static const std::vector<Subcommand> Subcommands{
      {"apply", "Replaces the document of an environment.",
       "skylark apply trial examples/huon/document.json", apply},
      {"diff", "Shows how a document differs from the one in an environment.",
       "skylark diff production examples/huon/document.json", diff},
      {"promote", "Copies the document of one environment to another.",
       "skylark promote trial production", promote},
      {"out", "Takes a data centre out of service.", "skylark out hobart",
       setDataCentre},
      {"return", "Brings a data centre back into service.",
       "skylark return hobart", setDataCentre},
      {"targets", "Lists the targets that an entry knows of.",
       "skylark targets", targets},
      {"submit", "Submits a job.", "skylark submit examples/huon/job.json",
       submit},
      {"job", "Shows the state of a job.", "skylark job j3-0123456789abcdef",
       job},
      {"cancel", "Cancels a job.", "skylark cancel j3-0123456789abcdef",
       cancel},
      {"explain", "Shows what happened to a request or a job, and why.",
       "skylark explain r-entry-a-17", explain},
      {"load",
       "Generates requests and jobs at a given rate and reports the results.",
       "skylark load --rate 100 --seconds 10 --service receipt-check", runLoad},
      {"check", "Checks settings files and documents offline.",
       "skylark check examples/huon/document.json", check},
  };
  return Subcommands;
}

} // namespace skylark
