/// \file
/// The command line for operators, callers and load tests.

#include "command/Subcommands.h"

#include <iomanip>
#include <iostream>

namespace {

auto printHelp(std::ostream &Out) -> void {
  Out << "The command line of skylarksaddle.\n\nUsage: skylark COMMAND "
         "[OPTIONS]\n\n";
  for (const auto &Each : skylark::allSubcommands())
    Out << "  " << std::left << std::setw(9) << Each.Name_ << Each.Summary_
        << '\n';
  Out << "\nRun \"skylark COMMAND --help\" for the options of a command.\nExit "
         "status: 0 done, 1 refused, "
         "2 invalid usage, 3 entry unreachable,\n4 outcome unknown, 5 accepted "
         "but not in force yet.\n";
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  const std::string Name = Count > 1 ? Arguments[1] : "";
  if (Name.empty() || Name == "--help" || Name == "-h") {
    printHelp(Name.empty() ? std::cerr : std::cout);
    return Name.empty() ? static_cast<int>(skylark::ExitStatus::Usage) : 0;
  }
  for (const auto &Each : skylark::allSubcommands()) {
    if (Name != Each.Name_)
      continue;
    try {
      return static_cast<int>(Each.Run_(Each, Count - 1, Arguments + 1));
    } catch (const std::exception &Error) {
      std::cerr << "skylark " << Name << ": " << Error.what() << '\n';
      return static_cast<int>(skylark::ExitStatus::Usage);
    }
  }
  std::cerr << "skylark: there is no command \"" << Name << "\".\n";
  printHelp(std::cerr);
  return static_cast<int>(skylark::ExitStatus::Usage);
}
