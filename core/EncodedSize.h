/// \file
/// Defines the size of values in CBOR, so that decisions can respect the limits
/// of the store without encoding anything.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <variant>
#include <vector>

namespace skylark {

/// Size in bytes of the head of a CBOR item, whose argument takes 0, 1, 2, 4 or
/// 8 bytes more (RFC 8949, section 3).
constexpr auto cborHeadSize(std::uint64_t Argument) -> std::size_t {
  if (Argument < 24)
    return 1;
  if (Argument <= 0xFF)
    return 2;
  if (Argument <= 0xFFFF)
    return 3;
  return Argument <= 0xFFFFFFFF ? 5 : 9;
}

namespace Internal {

template <typename T, typename = void> struct EncodedSize;

template <> struct EncodedSize<bool> {
  static auto of(bool /*Value*/) -> std::size_t { return 1; }
};

template <typename T>
struct EncodedSize<
    T, std::enable_if_t<std::is_integral_v<T> && !std::is_same_v<T, bool>>> {
  static auto of(T Value) -> std::size_t {
    // A negative number n is encoded as -1 - n, the complement of its bits.
    if constexpr (std::is_signed_v<T>)
      if (Value < 0)
        return cborHeadSize(~static_cast<std::uint64_t>(Value));
    return cborHeadSize(static_cast<std::uint64_t>(Value));
  }
};

template <typename T>
struct EncodedSize<T, std::enable_if_t<std::is_enum_v<T>>> {
  static auto of(T Value) -> std::size_t {
    return EncodedSize<std::underlying_type_t<T>>::of(
        static_cast<std::underlying_type_t<T>>(Value));
  }
};

/// An upper bound: a number that needs less precision is shorter.
template <> struct EncodedSize<double> {
  static auto of(double /*Value*/) -> std::size_t { return 9; }
};

template <> struct EncodedSize<std::string> {
  static auto of(const std::string &Value) -> std::size_t {
    return cborHeadSize(Value.size()) + Value.size();
  }
};

template <typename Tag> struct EncodedSize<Id<Tag>> {
  static auto of(const Id<Tag> &Value) -> std::size_t {
    return EncodedSize<std::string>::of(Value.Value_);
  }
};

template <typename Rep, typename Period>
struct EncodedSize<std::chrono::duration<Rep, Period>> {
  static auto of(const std::chrono::duration<Rep, Period> &Value)
      -> std::size_t {
    return EncodedSize<Rep>::of(Value.count());
  }
};

template <> struct EncodedSize<WallTime> {
  static auto of(const WallTime &Value) -> std::size_t {
    return EncodedSize<WallTime::duration>::of(Value.time_since_epoch());
  }
};

template <> struct EncodedSize<std::monostate> {
  static auto of(std::monostate /*Value*/) -> std::size_t { return 1; }
};

template <typename T> struct EncodedSize<std::vector<T>> {
  static auto of(const std::vector<T> &Values) -> std::size_t {
    auto Size = cborHeadSize(Values.size());
    for (const auto &Each : Values)
      Size += EncodedSize<T>::of(Each);
    return Size;
  }
};

template <typename T> struct EncodedSize<std::optional<T>> {
  static auto of(const std::optional<T> &Value) -> std::size_t {
    return Value ? EncodedSize<T>::of(*Value) : 1;
  }
};

/// A pair of the alternative's index and its value.
template <typename... Alternatives>
struct EncodedSize<std::variant<Alternatives...>> {
  static auto of(const std::variant<Alternatives...> &Value) -> std::size_t {
    return std::visit(
        [&](const auto &Each) {
          return 1 + cborHeadSize(Value.index()) +
                 EncodedSize<std::decay_t<decltype(Each)>>::of(Each);
        },
        Value);
  }
};

/// An array of the fields.
template <typename T>
struct EncodedSize<T, std::void_t<decltype(T::fields())>> {
  static auto of(const T &Value) -> std::size_t {
    return std::apply(
        [&](auto... Members) {
          return (cborHeadSize(sizeof...(Members)) + ... +
                  EncodedSize<std::decay_t<decltype(Value.*Members)>>::of(
                      Value.*Members));
        },
        T::fields());
  }
};

} // namespace Internal

/// Returns the size in bytes of a value that is encoded as the wire package
/// does; never less than that size.
template <typename T> auto encodedSize(const T &Value) -> std::size_t {
  return Internal::EncodedSize<T>::of(Value);
}

} // namespace skylark
