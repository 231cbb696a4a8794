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

auto requirementsMetBy(const Hello &Worker) -> std::vector<WorkerRequirement> {
  auto Services = Worker.Services_;
  Services.emplace_back();
  auto Labels = Worker.Labels_;
  Labels.emplace_back();
  std::vector<WorkerRequirement> Met;
  Met.reserve(Services.size() * Labels.size());
  for (const auto &Service : Services)
    for (const auto &Label : Labels)
      Met.push_back({Service, Label});
  return Met;
}

} // namespace skylark
