/// \file
/// Defines the daemon: an entry or an agent, by its settings file.

#include "agent/AgentProcess.h"
#include "entry/EntryProcess.h"
#include "wire/Settings.h"

#include <cxxopts.hpp>

#include <array>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr int UsageStatus = 2;

struct RoleRunner {
  skylark::Role Role_;
  int (*Run_)(const skylark::Settings &);
};

constexpr std::array<RoleRunner, 2> Runners{
    {{skylark::Role::Entry, skylark::runEntry},
     {skylark::Role::Agent, skylark::runAgent}}};

auto run(const std::string &File) -> int {
  std::ifstream In(File);
  if (!In) {
    std::cerr << "The settings file \"" << File << "\" can't be read.\n";
    return UsageStatus;
  }
  std::ostringstream Text;
  Text << In.rdbuf();
  const auto Parsed = skylark::parseSettings(Text.str());
  for (const auto &Each : Parsed.Problems_)
    std::cerr << File << ": " << skylark::describe(Each) << '\n';
  if (!Parsed.Problems_.empty())
    return UsageStatus;
  for (const auto &Each : Runners)
    if (Each.Role_ == Parsed.Settings_.Role_)
      return Each.Run_(Parsed.Settings_);
  return UsageStatus;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  cxxopts::Options Options(
      "skylarkd", "The daemon of skylarksaddle: an entry or an agent.\n"
                  "Example: skylarkd examples/huon/entry.json");
  Options.add_options()("settings", "settings file (JSON with comments)",
                        cxxopts::value<std::string>())("h,help",
                                                       "print this text");
  Options.parse_positional({"settings"});
  Options.positional_help("SETTINGS");
  try {
    const auto Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help") != 0) {
      std::cout << Options.help();
      return 0;
    }
    if (Parsed.count("settings") == 0) {
      std::cerr << Options.help();
      return UsageStatus;
    }
    return run(Parsed["settings"].as<std::string>());
  } catch (const std::exception &Error) {
    std::cerr << "skylarkd: " << Error.what() << '\n';
    return UsageStatus;
  }
}
