#include "core/WorkerRequirement.h"

#include <algorithm>

namespace skylark {

auto WorkerRequirement::isMetBy(const Hello &Worker) const -> bool {
  const auto &Services = Worker.Services_;
  const auto &Labels = Worker.Labels_;
  return (Service_.empty() || std::find(Services.begin(), Services.end(),
                                        Service_) != Services.end()) &&
         (Label_.empty() ||
          std::find(Labels.begin(), Labels.end(), Label_) != Labels.end());
}

} // namespace skylark
