/// \file
/// Defines the translation between typed values and JSON values, driven by the
/// tables of member pointers that the types carry.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <stdexcept>
#include <variant>
#include <vector>

namespace skylark::Internal {

using Json = nlohmann::json;

/// Thrown inside the codecs for a value of the wrong shape; never leaves them.
struct ShapeError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

template <typename T, typename = void> struct Field;

template <typename T> auto toJson(const T &Value) -> Json {
  return Field<T>::write(Value);
}

template <typename T> auto fromJson(const Json &Value) -> T {
  return Field<T>::read(Value);
}

template <> struct Field<bool> {
  static auto write(bool Value) -> Json { return Value; }
  static auto read(const Json &Value) -> bool {
    if (!Value.is_boolean())
      throw ShapeError("boolean expected");
    return Value.get<bool>();
  }
};

template <typename T>
struct Field<
    T, std::enable_if_t<std::is_integral_v<T> && !std::is_same_v<T, bool>>> {
  static auto write(T Value) -> Json { return Value; }
  static auto read(const Json &Value) -> T {
    if (!Value.is_number_integer())
      throw ShapeError("integer expected");
    if (Value.is_number_unsigned()) {
      const auto Wide = Value.get<std::uint64_t>();
      if (Wide > static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
        throw ShapeError("integer out of range");
      return static_cast<T>(Wide);
    }
    const auto Wide = Value.get<std::int64_t>();
    if (std::is_unsigned_v<T> ||
        Wide < static_cast<std::int64_t>(std::numeric_limits<T>::min()))
      throw ShapeError("integer out of range");
    return static_cast<T>(Wide);
  }
};

template <typename T> struct Field<T, std::enable_if_t<std::is_enum_v<T>>> {
  using Number = std::underlying_type_t<T>;
  static auto write(T Value) -> Json { return static_cast<Number>(Value); }
  static auto read(const Json &Value) -> T {
    const auto Wide = fromJson<Number>(Value);
    if (!isKnown(static_cast<T>(Wide)))
      throw ShapeError("unknown enumerator");
    return static_cast<T>(Wide);
  }
};

template <> struct Field<double> {
  static auto write(double Value) -> Json { return Value; }
  static auto read(const Json &Value) -> double {
    if (!Value.is_number())
      throw ShapeError("number expected");
    return Value.get<double>();
  }
};

template <> struct Field<std::string> {
  static auto write(const std::string &Value) -> Json { return Value; }
  static auto read(const Json &Value) -> std::string {
    if (!Value.is_string())
      throw ShapeError("string expected");
    return Value.get<std::string>();
  }
};

template <typename Tag> struct Field<Id<Tag>> {
  static auto write(const Id<Tag> &Value) -> Json { return Value.Value_; }
  static auto read(const Json &Value) -> Id<Tag> {
    return {fromJson<std::string>(Value)};
  }
};

template <typename Rep, typename Period>
struct Field<std::chrono::duration<Rep, Period>> {
  using Type = std::chrono::duration<Rep, Period>;
  static auto write(const Type &Value) -> Json { return Value.count(); }
  static auto read(const Json &Value) -> Type {
    return Type{fromJson<std::int64_t>(Value)};
  }
};

template <> struct Field<WallTime> {
  static auto write(const WallTime &Value) -> Json {
    return Value.time_since_epoch().count();
  }
  static auto read(const Json &Value) -> WallTime {
    return WallTime{Millis{fromJson<std::int64_t>(Value)}};
  }
};

template <typename T> struct Field<std::vector<T>> {
  static auto write(const std::vector<T> &Values) -> Json {
    auto Result = Json::array();
    for (const auto &Each : Values)
      Result.push_back(toJson(Each));
    return Result;
  }
  static auto read(const Json &Value) -> std::vector<T> {
    if (!Value.is_array())
      throw ShapeError("array expected");
    std::vector<T> Result;
    Result.reserve(Value.size());
    for (const auto &Each : Value)
      Result.push_back(fromJson<T>(Each));
    return Result;
  }
};

template <> struct Field<std::monostate> {
  static auto write(std::monostate) -> Json { return nullptr; }
  static auto read(const Json &) -> std::monostate { return {}; }
};

template <typename... Options> struct Field<std::variant<Options...>> {
  using Type = std::variant<Options...>;
  static auto write(const Type &Value) -> Json {
    return std::visit(
        [&](const auto &Each) {
          return Json::array({Value.index(), toJson(Each)});
        },
        Value);
  }
  static auto read(const Json &Value) -> Type {
    if (!Value.is_array() || Value.size() < 2)
      throw ShapeError("tagged value expected");
    return readOption<0>(fromJson<std::size_t>(Value[0]), Value[1]);
  }

private:
  template <std::size_t Index>
  static auto readOption(std::size_t Wanted, const Json &Value) -> Type {
    if constexpr (Index < sizeof...(Options)) {
      if (Wanted == Index)
        return Type{std::in_place_index<Index>,
                    fromJson<std::variant_alternative_t<Index, Type>>(Value)};
      return readOption<Index + 1>(Wanted, Value);
    }
    throw ShapeError("unknown kind of message");
  }
};

template <typename T> struct Field<T, std::void_t<decltype(T::fields())>> {
  static auto write(const T &Value) -> Json {
    auto Result = Json::array();
    std::apply(
        [&](auto... Members) {
          (Result.push_back(toJson(Value.*Members)), ...);
        },
        T::fields());
    return Result;
  }
  static auto read(const Json &Value) -> T {
    constexpr auto Count = std::tuple_size_v<decltype(T::fields())>;
    if (!Value.is_array() || Value.size() < Count)
      throw ShapeError("fields missing");
    T Result;
    std::size_t Index = 0;
    std::apply(
        [&](auto... Members) {
          ((Result.*Members = fromJson<std::decay_t<decltype(Result.*Members)>>(
                Value[Index++])),
           ...);
        },
        T::fields());
    return Result;
  }
};

} // namespace skylark::Internal
