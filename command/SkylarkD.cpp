/// \file
/// The daemon, which runs as an entry or an agent, as its settings file says.

#include "command/NativeProtocols.h"
#include "entry/EntryProcess.h"
#include "platform/Protocols.h"

#include <cxxopts.hpp>

#include <array>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr int UsageStatus = 2;

/// A set of interfaces to external systems; the settings select it by name.
struct Protocol {
  const char *Name_;
  skylark::EntryProtocols (*Entry_)();
  skylark::AgentProtocols (*Agent_)();
};

constexpr std::array<Protocol, 2> Protocols{
    {{"native", skylark::nativeEntryProtocols, skylark::nativeAgentProtocols},
     {"platform", skylark::Platform::entryProtocols,
      skylark::Platform::agentProtocols}}};

auto runRole(const skylark::Settings &Settings, const Protocol &Selected)
    -> int {
  switch (Settings.Role_) {
  case skylark::Role::Entry:
    return skylark::runEntry(Settings, Selected.Entry_());
  case skylark::Role::Agent:
    return skylark::runAgent(Settings, Selected.Agent_());
  }
  return UsageStatus;
}

auto runFromSettings(const std::string &File) -> int {
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
  for (const auto &Each : Protocols)
    if (Parsed.Settings_.Protocol_ == Each.Name_)
      return runRole(Parsed.Settings_, Each);
  std::cerr << File << ": The field \"protocol\" is \""
            << Parsed.Settings_.Protocol_
            << "\"; allowed is \"native\" or \"platform\".\n";
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
    return runFromSettings(Parsed["settings"].as<std::string>());
  } catch (const std::exception &Error) {
    std::cerr << "skylarkd: " << Error.what() << '\n';
    return UsageStatus;
  }
}
