#include "command/BlockingCall.h"

#include <algorithm>
#include <cctype>

namespace skylark {

auto callAndWait(HttpCall Call) -> HttpResult {
  asio::io_context Context;
  HttpClient Client(Context);
  HttpResult Result;
  auto WorkGuard = asio::make_work_guard(Context);
  Client.call(std::move(Call), [&](HttpResult Answer) {
    Result = std::move(Answer);
    WorkGuard.reset();
    Context.stop();
  });
  Context.run();
  return Result;
}

auto headerValue(const HttpResult &Answer, const std::string &Name)
    -> std::string {
  const auto EqualIgnoringCase = [](char Left, char Right) {
    return std::tolower(static_cast<unsigned char>(Left)) ==
           std::tolower(static_cast<unsigned char>(Right));
  };
  for (const auto &HeaderLine : Answer.Headers_) {
    const auto Colon = HeaderLine.find(':');
    if (Colon != Name.size() ||
        !std::equal(Name.begin(), Name.end(), HeaderLine.begin(),
                    EqualIgnoringCase))
      continue;
    const auto ValueStart = HeaderLine.find_first_not_of(' ', Colon + 1);
    return ValueStart == std::string::npos ? "" : HeaderLine.substr(ValueStart);
  }
  return {};
}

} // namespace skylark
