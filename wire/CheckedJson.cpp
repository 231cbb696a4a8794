#include "wire/CheckedJson.h"

#include <sstream>

namespace skylark {

auto describe(const Problem &Mistake) -> std::string {
  return "The field \"" + Mistake.Path_ + "\" is " + Mistake.Value_ +
         "; allowed is " + Mistake.Allowed_ + ".";
}

namespace Internal {
namespace {

using Json = nlohmann::json;

auto shown(const Json &Value) -> std::string {
  constexpr std::size_t ShownSize = 60;
  auto Text = Value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (Text.size() > ShownSize)
    Text = Text.substr(0, ShownSize) + "...";
  return Text;
}

auto rangeText(Range Allowed) -> std::string {
  return "a whole number from " + std::to_string(Allowed.Least_) + " to " +
         std::to_string(Allowed.Most_);
}

} // namespace

CheckedObject::CheckedObject(const Json &Value, std::string Path,
                             std::vector<Problem> &Problems)
    : Value_(Value), Path_(std::move(Path)), Problems_(Problems) {
  if (!Value_.is_object())
    Problems_.push_back(
        {Path_.empty() ? "(top)" : Path_, shown(Value_), "an object"});
}

auto CheckedObject::pathOf(const std::string &Name) const -> std::string {
  return Path_.empty() ? Name : Path_ + "." + Name;
}

auto CheckedObject::find(const std::string &Name) -> const Json * {
  Asked_.insert(Name);
  if (!Value_.is_object())
    return nullptr;
  const auto Found = Value_.find(Name);
  return Found == Value_.end() ? nullptr : &*Found;
}

auto CheckedObject::has(const std::string &Name) const -> bool {
  return Value_.is_object() && Value_.contains(Name);
}

auto CheckedObject::problem(const std::string &Name, const std::string &Allowed)
    -> void {
  const auto *Found = find(Name);
  Problems_.push_back(
      {pathOf(Name), Found == nullptr ? "missing" : shown(*Found), Allowed});
}

auto CheckedObject::text(const std::string &Name) -> std::string {
  const auto *Found = find(Name);
  if (Found != nullptr && Found->is_string() &&
      !Found->get<std::string>().empty())
    return Found->get<std::string>();
  if (Value_.is_object())
    problem(Name, "a text that is not empty");
  return {};
}

auto CheckedObject::text(const std::string &Name, const std::string &Default)
    -> std::string {
  return find(Name) == nullptr ? Default : text(Name);
}

auto CheckedObject::integer(const std::string &Name, Range Allowed)
    -> std::int64_t {
  const auto *Found = find(Name);
  const auto Whole = Found != nullptr && Found->is_number_integer();
  if (Whole) {
    const auto Number = Found->get<std::int64_t>();
    if (Number >= Allowed.Least_ && Number <= Allowed.Most_)
      return Number;
  }
  if (Value_.is_object())
    problem(Name, rangeText(Allowed));
  return Allowed.Least_;
}

auto CheckedObject::integer(const std::string &Name, Range Allowed,
                            std::int64_t Default) -> std::int64_t {
  return find(Name) == nullptr ? Default : integer(Name, Allowed);
}

auto CheckedObject::number(const std::string &Name, double Least, double Most,
                           double Default) -> double {
  const auto *Found = find(Name);
  if (Found == nullptr)
    return Default;
  if (Found->is_number()) {
    const auto Number = Found->get<double>();
    if (Number >= Least && Number <= Most)
      return Number;
  }
  std::ostringstream Allowed;
  Allowed << "a number from " << Least << " to " << Most;
  problem(Name, Allowed.str());
  return Default;
}

auto CheckedObject::flag(const std::string &Name, bool Default) -> bool {
  const auto *Found = find(Name);
  if (Found == nullptr)
    return Default;
  if (Found->is_boolean())
    return Found->get<bool>();
  problem(Name, "true or false");
  return Default;
}

auto CheckedObject::texts(const std::string &Name) -> std::vector<std::string> {
  const auto *Found = find(Name);
  std::vector<std::string> Texts;
  auto Good = Found != nullptr && Found->is_array();
  if (Good) {
    for (const auto &Each : *Found) {
      Good = Good && Each.is_string();
      if (Each.is_string())
        Texts.push_back(Each.get<std::string>());
    }
  }
  if (!Good && Value_.is_object())
    problem(Name, "a list of texts");
  return Texts;
}

auto CheckedObject::names(const std::string &Name) -> std::vector<std::string> {
  const auto *Found = find(Name);
  if (Found != nullptr && Found->is_array() && !Found->empty())
    return texts(Name);
  if (Value_.is_object())
    problem(Name, "a list of one or more names");
  return {};
}

auto CheckedObject::object(const std::string &Name, bool Required,
                           const std::function<void(CheckedObject &)> &Read)
    -> void {
  const auto *Found = find(Name);
  if (Found == nullptr) {
    if (Required && Value_.is_object())
      problem(Name, "an object");
    return;
  }
  CheckedObject Nested(*Found, pathOf(Name), Problems_);
  Read(Nested);
  Nested.finish();
}

auto CheckedObject::objects(const std::string &Name,
                            const std::function<void(CheckedObject &)> &Read)
    -> void {
  const auto *Found = find(Name);
  if (Found == nullptr || !Found->is_array()) {
    if (Value_.is_object())
      problem(Name, "a list of objects");
    return;
  }
  std::size_t Index = 0;
  for (const auto &Each : *Found) {
    CheckedObject Nested(
        Each, pathOf(Name) + "[" + std::to_string(Index++) + "]", Problems_);
    Read(Nested);
    Nested.finish();
  }
}

auto CheckedObject::finish() -> void {
  if (!Value_.is_object())
    return;
  for (const auto &[Name, Value] : Value_.items())
    if (Asked_.count(Name) == 0)
      Problems_.push_back({pathOf(Name), shown(Value), "no such field"});
}

auto readChecked(const std::string &Text,
                 const std::function<void(CheckedObject &)> &Read)
    -> std::vector<Problem> {
  std::vector<Problem> Problems;
  // Nesting deeper than any of our files would exhaust the parser's stack.
  constexpr int DepthLimit = 16;
  const auto Shallow = [](int Depth, Json::parse_event_t, Json &) -> bool {
    if (Depth > DepthLimit)
      throw std::runtime_error("nested too deeply");
    return true;
  };
  Json Value;
  try {
    Value = Json::parse(Text, Shallow, true, true);
  } catch (const std::exception &Error) {
    Problems.push_back({"(top)", "not readable: " + std::string(Error.what()),
                        "JSON with comments"});
    return Problems;
  }
  CheckedObject Top(Value, "", Problems);
  Read(Top);
  Top.finish();
  return Problems;
}

} // namespace Internal
} // namespace skylark
