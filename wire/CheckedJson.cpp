#include "wire/CheckedJson.h"

#include <sstream>

namespace skylark {

auto describe(const Problem &InvalidField) -> std::string {
  return "The field \"" + InvalidField.Path_ + "\" is " + InvalidField.Value_ +
         "; allowed is " + InvalidField.Allowed_ + ".";
}

namespace Internal {
namespace {

using Json = nlohmann::json;

/// The JSON text of `Value`, shortened for use in a message.
auto abbreviate(const Json &Value) -> std::string {
  constexpr std::size_t MaxTextLength = 60;
  auto Text = Value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (Text.size() > MaxTextLength)
    Text = Text.substr(0, MaxTextLength) + "...";
  return Text;
}

/// Describes the range, and for a number that exceeds it the reason for its
/// maximum.
auto rangeText(IntegerRange Allowed, const Json *Found) -> std::string {
  auto Text = "a whole number from " + std::to_string(Allowed.Min_) + " to " +
              std::to_string(Allowed.Max_);
  const auto TooLarge =
      Found != nullptr && Found->is_number() &&
      Found->get<double>() > static_cast<double>(Allowed.Max_);
  if (TooLarge && Allowed.MaxReason_ != nullptr)
    Text += ", the maximum because " + std::string(Allowed.MaxReason_);
  return Text;
}

} // namespace

CheckedObject::CheckedObject(const Json &Value, std::string Path,
                             std::vector<Problem> &Problems)
    : Value_(Value), Path_(std::move(Path)), Problems_(Problems) {
  if (!Value_.is_object())
    Problems_.push_back(
        {Path_.empty() ? "(top)" : Path_, abbreviate(Value_), "an object"});
}

auto CheckedObject::pathOf(const std::string &Name) const -> std::string {
  return Path_.empty() ? Name : Path_ + "." + Name;
}

auto CheckedObject::find(const std::string &Name) -> const Json * {
  KnownFields_.insert(Name);
  if (!Value_.is_object())
    return nullptr;
  const auto Found = Value_.find(Name);
  return Found == Value_.end() ? nullptr : &*Found;
}

auto CheckedObject::has(const std::string &Name) const -> bool {
  return Value_.is_object() && Value_.contains(Name);
}

auto CheckedObject::reportProblem(const std::string &Name,
                                  const std::string &Allowed) -> void {
  const auto *Found = find(Name);
  Problems_.push_back({pathOf(Name),
                       Found == nullptr ? "missing" : abbreviate(*Found),
                       Allowed});
}

auto CheckedObject::text(const std::string &Name) -> std::string {
  const auto *Found = find(Name);
  if (Found != nullptr && Found->is_string() &&
      !Found->get<std::string>().empty())
    return Found->get<std::string>();
  if (Value_.is_object())
    reportProblem(Name, "a text that is not empty");
  return {};
}

auto CheckedObject::text(const std::string &Name, const std::string &Default)
    -> std::string {
  return find(Name) == nullptr ? Default : text(Name);
}

auto CheckedObject::integer(const std::string &Name, IntegerRange Allowed)
    -> std::int64_t {
  const auto *Found = find(Name);
  const auto IsInteger = Found != nullptr && Found->is_number_integer();
  if (IsInteger) {
    const auto Number = Found->get<std::int64_t>();
    if (Number >= Allowed.Min_ && Number <= Allowed.Max_)
      return Number;
  }
  if (Value_.is_object())
    reportProblem(Name, rangeText(Allowed, Found));
  return Allowed.Min_;
}

auto CheckedObject::integer(const std::string &Name, IntegerRange Allowed,
                            std::int64_t Default) -> std::int64_t {
  return find(Name) == nullptr ? Default : integer(Name, Allowed);
}

auto CheckedObject::number(const std::string &Name, double Min, double Max,
                           double Default) -> double {
  const auto *Found = find(Name);
  if (Found == nullptr)
    return Default;
  if (Found->is_number()) {
    const auto Number = Found->get<double>();
    if (Number >= Min && Number <= Max)
      return Number;
  }
  std::ostringstream Allowed;
  Allowed << "a number from " << Min << " to " << Max;
  reportProblem(Name, Allowed.str());
  return Default;
}

auto CheckedObject::flag(const std::string &Name, bool Default) -> bool {
  const auto *Found = find(Name);
  if (Found == nullptr)
    return Default;
  if (Found->is_boolean())
    return Found->get<bool>();
  reportProblem(Name, "true or false");
  return Default;
}

auto CheckedObject::texts(const std::string &Name) -> std::vector<std::string> {
  const auto *Found = find(Name);
  std::vector<std::string> Texts;
  auto Valid = Found != nullptr && Found->is_array();
  if (Valid) {
    for (const auto &Each : *Found) {
      Valid = Valid && Each.is_string();
      if (Each.is_string())
        Texts.push_back(Each.get<std::string>());
    }
  }
  if (!Valid && Value_.is_object())
    reportProblem(Name, "a list of texts");
  return Texts;
}

auto CheckedObject::objectText(const std::string &Name) -> std::string {
  const auto *Found = find(Name);
  if (Found == nullptr)
    return "{}";
  if (!Found->is_object())
    Problems_.push_back({pathOf(Name), abbreviate(*Found), "an object"});
  return Found->dump();
}

auto CheckedObject::names(const std::string &Name) -> std::vector<std::string> {
  const auto *Found = find(Name);
  if (Found != nullptr && Found->is_array() && !Found->empty())
    return texts(Name);
  if (Value_.is_object())
    reportProblem(Name, "a list of one or more names");
  return {};
}

auto CheckedObject::object(const std::string &Name, bool Required,
                           const std::function<void(CheckedObject &)> &Read)
    -> void {
  const auto *Found = find(Name);
  if (Found == nullptr) {
    if (Required && Value_.is_object())
      reportProblem(Name, "an object");
    return;
  }
  CheckedObject Nested(*Found, pathOf(Name), Problems_);
  Read(Nested);
  Nested.reportUnknownFields();
}

auto CheckedObject::objects(const std::string &Name,
                            const std::function<void(CheckedObject &)> &Read)
    -> void {
  const auto *Found = find(Name);
  if (Found == nullptr || !Found->is_array()) {
    if (Value_.is_object())
      reportProblem(Name, "a list of objects");
    return;
  }
  std::size_t Index = 0;
  for (const auto &Each : *Found) {
    CheckedObject Nested(
        Each, pathOf(Name) + "[" + std::to_string(Index++) + "]", Problems_);
    Read(Nested);
    Nested.reportUnknownFields();
  }
}

auto CheckedObject::reportUnknownFields() -> void {
  if (!Value_.is_object())
    return;
  for (const auto &[Name, Value] : Value_.items())
    if (KnownFields_.count(Name) == 0)
      Problems_.push_back({pathOf(Name), abbreviate(Value), "no such field"});
}

auto parseCheckedJson(const std::string &Text,
                      const std::function<void(CheckedObject &)> &Read)
    -> std::vector<Problem> {
  std::vector<Problem> Problems;
  // Deeply nested input would overflow the parser's stack. No valid file nests
  // this deep.
  constexpr int MaxNestingDepth = 16;
  const auto CheckDepth = [](int Depth, Json::parse_event_t, Json &) -> bool {
    if (Depth > MaxNestingDepth)
      throw std::runtime_error("nested too deeply");
    return true;
  };
  Json Value;
  try {
    Value = Json::parse(Text, CheckDepth, true, true);
  } catch (const std::exception &Error) {
    Problems.push_back({"(top)", "not readable: " + std::string(Error.what()),
                        "JSON with comments"});
    return Problems;
  }
  CheckedObject Root(Value, "", Problems);
  Read(Root);
  Root.reportUnknownFields();
  return Problems;
}

} // namespace Internal
} // namespace skylark
