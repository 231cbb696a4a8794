#include "test/fuzz/ConfigurationLag.h"

namespace skylark::Fuzz {

auto ConfigurationLag::observe(Micros Now,
                               std::pair<std::size_t, std::size_t> Entries,
                               Revision Held, bool Lags) -> bool {
  if (!Lags) {
    Lags_.erase(Entries);
    return false;
  }
  auto &Current = Lags_.try_emplace(Entries, Lag{Held, Now}).first->second;
  if (Current.Held_ != Held)
    Current = {Held, Now};
  return Now - Current.Since_ > MaxConfigurationLag;
}

} // namespace skylark::Fuzz
