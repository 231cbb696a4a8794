#include "command/ApiCaller.h"

#include <algorithm>
#include <cctype>

namespace skylark {

auto callAndWait(HttpCall Call) -> HttpResult {
  asio::io_context Context;
  HttpClient Client(Context);
  HttpResult Result;
  auto Guard = asio::make_work_guard(Context);
  Client.call(std::move(Call), [&](HttpResult Answer) {
    Result = std::move(Answer);
    Guard.reset();
    Context.stop();
  });
  Context.run();
  return Result;
}

auto headerOf(const HttpResult &Answer, const std::string &Name)
    -> std::string {
  const auto SameLetter = [](char Left, char Right) {
    return std::tolower(static_cast<unsigned char>(Left)) ==
           std::tolower(static_cast<unsigned char>(Right));
  };
  for (const auto &Line : Answer.Headers_) {
    const auto Colon = Line.find(':');
    if (Colon != Name.size() ||
        !std::equal(Name.begin(), Name.end(), Line.begin(), SameLetter))
      continue;
    const auto First = Line.find_first_not_of(' ', Colon + 1);
    return First == std::string::npos ? "" : Line.substr(First);
  }
  return {};
}

} // namespace skylark
