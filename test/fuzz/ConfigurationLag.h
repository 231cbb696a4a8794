/// \file
/// Defines the check that an entry doesn't hold an old configuration while
/// another one could send it a newer one.
#pragma once

#include "core/Ids.h"
#include "core/Time.h"

#include <map>
#include <utility>

namespace skylark::Fuzz {

/// How long an entry may hold an older configuration than one that is connected
/// to it and reads the store.
constexpr Millis MaxConfigurationLag{2500};

/// Follows for how long one entry has lagged behind another without a pause.
class ConfigurationLag {
public:
  /// Records what is observed now of two entries, by index.
  /// \param Held the revision of the first one.
  /// \param Lags whether the second one holds a newer one and could send it.
  /// \returns whether the first one has lagged for too long.
  auto observe(Micros Now, std::pair<std::size_t, std::size_t> Entries,
               Revision Held, bool Lags) -> bool;

private:
  struct Lag {
    Revision Held_ = 0;
    Micros Since_{0};
  };

  std::map<std::pair<std::size_t, std::size_t>, Lag> Lags_;
};

} // namespace skylark::Fuzz
