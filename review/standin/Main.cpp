/// \file
/// Plays one case of the review: review-case CASE FOLDER. Writes record.txt
/// into the folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if
/// the case couldn't run. With TROUBLE=0 in the environment it leaves the
/// disruption out.

#include "Cases.h"

#include <iostream>

auto main(int Count, char **Arguments) -> int {
  using namespace review;
  if (Count != 3) {
    std::cerr << "usage: review-case CASE FOLDER\n";
    return 2;
  }
  const std::string Name = Arguments[1];
  const auto Found = cases().find(Name);
  if (Found == cases().end()) {
    std::cerr << "no such case: " << Name << "\n";
    return 2;
  }
  const auto *Setting = std::getenv("TROUBLE");
  const auto Trouble = Setting == nullptr || std::string(Setting) != "0";
  Record Log(std::string(Arguments[2]) + "/record.txt");
  Log.line("case " + Name + (Trouble ? "" : ", without the disruption"));
  try {
    const auto Broken = Found->second(Log, Trouble);
    Log.line(Broken ? "the rule was BROKEN" : "the rule held");
    std::cout << Name << ": the rule " << (Broken ? "was BROKEN" : "held")
              << "\n";
    return Broken ? 1 : 0;
  } catch (const std::exception &Error) {
    Log.line(std::string("the case couldn't run: ") + Error.what());
    std::cout << Name << ": couldn't run: " << Error.what() << "\n";
    return 2;
  }
}
