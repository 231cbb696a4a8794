/// \file
/// Plays one case: `cases NAME FOLDER` writes FOLDER/record.txt. With TROUBLE=0
/// in the environment, the disruption is left out.

#include "Cases.h"

#include <filesystem>
#include <iostream>

namespace skylark::review2 {

auto undoableJobs() -> Case;
auto emptyService() -> Case;
auto overTarget() -> Case;
auto lateHeartbeat() -> Case;

namespace {

const std::map<std::string, Case (*)()> Cases{
    {"undoable-jobs", undoableJobs},
    {"empty-service", emptyService},

    {"over-target", overTarget},
    {"late-heartbeat", lateHeartbeat}};

auto play(const std::string &Name, const std::string &Folder) -> Verdict {
  const auto Found = Cases.find(Name);
  if (Found == Cases.end())
    return Verdict::NotRun;
  const auto *Variable = std::getenv("TROUBLE");
  const auto Trouble = Variable == nullptr || std::string(Variable) != "0";
  std::string Temporary = "/tmp/review-2-XXXXXX";
  if (::mkdtemp(Temporary.data()) == nullptr)
    return Verdict::NotRun;
  Record Log(Folder + "/record.txt");
  auto Result = Verdict::NotRun;
  // Threads of the stand-ins use these until the process ends.
  auto *Runs = new RunLog(Log);
  const auto Each = Found->second();
  auto *System = new Deployment(Log, *Runs, Temporary, Each.Options_);
  try {
    Log.line("case " + Name + (Trouble ? "" : ", without the disruption"));
    System->start();
    Context Playing{Log, *Runs, *System, Trouble};
    Result = Each.Play_(Playing, Each.Options_);
    if (!System->allRun()) {
      Log.line("a process has ended by itself");
      Result = Verdict::NotRun;
    }
  } catch (const std::exception &Error) {
    Log.line(std::string("the case could not run: ") + Error.what());
    Result = Verdict::NotRun;
  }
  System->endProcesses();
  constexpr const char *Texts[] = {"the rule held", "the rule was broken",
                                   "the case could not run"};
  Log.line(Texts[static_cast<int>(Result)]);
  std::cout << Name << ": " << Texts[static_cast<int>(Result)] << std::endl;
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(Temporary);
  else
    std::cout << Temporary << std::endl;
  return Result;
}

} // namespace
} // namespace skylark::review2

auto main(int Count, char **Arguments) -> int {
  if (Count != 3) {
    std::cerr << "usage: cases NAME FOLDER\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const auto Result = skylark::review2::play(Arguments[1], Arguments[2]);
  std::_Exit(static_cast<int>(Result));
}
