/// \file
/// Defines the conversion between typed values and JSON values. The fields of a
/// struct are given by its fields(), a tuple of member pointers.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>
#include <optional>
#include <stdexcept>
#include <variant>
#include <vector>

namespace skylark::Internal {

using Json = nlohmann::json;

/// Thrown by fromJson() for a JSON value that doesn't match the type. The
/// decoders catch it, so it never reaches their callers.
struct DecodeError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Converts one type to and from JSON, by specialisation. read() throws
/// DecodeError for a value that doesn't match.
template <typename T, typename = void> struct Codec;

template <typename T> auto toJson(const T &Value) -> Json {
  return Codec<T>::write(Value);
}

template <typename T> auto fromJson(const Json &Value) -> T {
  return Codec<T>::read(Value);
}

template <> struct Codec<bool> {
  static auto write(bool Value) -> Json { return Value; }
  static auto read(const Json &Value) -> bool {
    if (!Value.is_boolean())
      throw DecodeError("boolean expected");
    return Value.get<bool>();
  }
};

template <typename T>
struct Codec<
    T, std::enable_if_t<std::is_integral_v<T> && !std::is_same_v<T, bool>>> {
  static auto write(T Value) -> Json { return Value; }
  static auto read(const Json &Value) -> T {
    if (!Value.is_number_integer())
      throw DecodeError("integer expected");
    if (Value.is_number_unsigned()) {
      const auto WideValue = Value.get<std::uint64_t>();
      if (WideValue > static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
        throw DecodeError("integer out of range");
      return static_cast<T>(WideValue);
    }
    const auto WideValue = Value.get<std::int64_t>();
    if (std::is_unsigned_v<T> ||
        WideValue < static_cast<std::int64_t>(std::numeric_limits<T>::min()))
      throw DecodeError("integer out of range");
    return static_cast<T>(WideValue);
  }
};

template <typename T> struct Codec<T, std::enable_if_t<std::is_enum_v<T>>> {
  using Number = std::underlying_type_t<T>;
  static auto write(T Value) -> Json { return static_cast<Number>(Value); }
  static auto read(const Json &Value) -> T {
    const auto WideValue = fromJson<Number>(Value);
    if (!isValidEnumerator(static_cast<T>(WideValue)))
      throw DecodeError("unknown enumerator");
    return static_cast<T>(WideValue);
  }
};

template <> struct Codec<double> {
  static auto write(double Value) -> Json { return Value; }
  static auto read(const Json &Value) -> double {
    if (!Value.is_number())
      throw DecodeError("number expected");
    const auto Number = Value.get<double>();
    if (!std::isfinite(Number))
      throw DecodeError("finite number expected");
    return Number;
  }
};

template <> struct Codec<std::string> {
  static auto write(const std::string &Value) -> Json { return Value; }
  static auto read(const Json &Value) -> std::string {
    if (!Value.is_string())
      throw DecodeError("string expected");
    return Value.get<std::string>();
  }
};

template <typename Tag> struct Codec<Id<Tag>> {
  static auto write(const Id<Tag> &Value) -> Json { return Value.Value_; }
  static auto read(const Json &Value) -> Id<Tag> {
    return {fromJson<std::string>(Value)};
  }
};

template <typename Rep, typename Period>
struct Codec<std::chrono::duration<Rep, Period>> {
  using Type = std::chrono::duration<Rep, Period>;
  static auto write(const Type &Value) -> Json { return Value.count(); }
  static auto read(const Json &Value) -> Type {
    return Type{fromJson<std::int64_t>(Value)};
  }
};

template <> struct Codec<WallTime> {
  static auto write(const WallTime &Value) -> Json {
    return Value.time_since_epoch().count();
  }
  static auto read(const Json &Value) -> WallTime {
    return WallTime{Millis{fromJson<std::int64_t>(Value)}};
  }
};

template <typename T> struct Codec<std::vector<T>> {
  static auto write(const std::vector<T> &Values) -> Json {
    auto Result = Json::array();
    for (const auto &Each : Values)
      Result.push_back(toJson(Each));
    return Result;
  }
  static auto read(const Json &Value) -> std::vector<T> {
    if (!Value.is_array())
      throw DecodeError("array expected");
    std::vector<T> Result;
    Result.reserve(Value.size());
    for (const auto &Each : Value)
      Result.push_back(fromJson<T>(Each));
    return Result;
  }
};

template <> struct Codec<std::monostate> {
  static auto write(std::monostate) -> Json { return nullptr; }
  static auto read(const Json &) -> std::monostate { return {}; }
};

template <typename... Alternatives>
struct Codec<std::variant<Alternatives...>> {
  using Type = std::variant<Alternatives...>;
  static auto write(const Type &Value) -> Json {
    return std::visit(
        [&](const auto &Each) {
          return Json::array({Value.index(), toJson(Each)});
        },
        Value);
  }
  static auto read(const Json &Value) -> Type {
    if (!Value.is_array() || Value.size() < 2)
      throw DecodeError("pair of variant index and value expected");
    return readAlternative<0>(fromJson<std::size_t>(Value[0]), Value[1]);
  }

private:
  template <std::size_t Index>
  static auto readAlternative(std::size_t WantedIndex, const Json &Value)
      -> Type {
    if constexpr (Index < sizeof...(Alternatives)) {
      if (WantedIndex == Index)
        return Type{std::in_place_index<Index>,
                    fromJson<std::variant_alternative_t<Index, Type>>(Value)};
      return readAlternative<Index + 1>(WantedIndex, Value);
    }
    throw DecodeError("unknown kind of value");
  }
};

template <typename T> struct Codec<std::optional<T>> {
  static auto write(const std::optional<T> &Value) -> Json {
    return Value ? toJson(*Value) : Json();
  }
  static auto read(const Json &Value) -> std::optional<T> {
    if (Value.is_null())
      return std::nullopt;
    return fromJson<T>(Value);
  }
};

/// The number of leading fields that a value must have. A struct that has got
/// fields since values were first stored names it as RequiredFields; the others
/// keep their initial values if they are missing.
template <typename T, typename = void>
struct RequiredFieldCount : std::tuple_size<decltype(T::fields())> {};
template <typename T>
struct RequiredFieldCount<T, std::void_t<decltype(T::RequiredFields)>>
    : std::integral_constant<std::size_t, T::RequiredFields> {};

template <typename T> struct Codec<T, std::void_t<decltype(T::fields())>> {
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
    if (!Value.is_array() || Value.size() < RequiredFieldCount<T>::value)
      throw DecodeError("fields missing");
    T Result;
    std::size_t Index = 0;
    std::apply(
        [&](auto... Members) {
          (readField(Value, Index++, Result.*Members), ...);
        },
        T::fields());
    return Result;
  }

private:
  template <typename Field>
  static auto readField(const Json &Value, std::size_t Index, Field &Member)
      -> void {
    if (Index < Value.size())
      Member = fromJson<Field>(Value[Index]);
  }
};

} // namespace skylark::Internal
