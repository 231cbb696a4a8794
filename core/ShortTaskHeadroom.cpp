#include "core/ShortTaskHeadroom.h"

#include <algorithm>

namespace skylark {

auto ShortTaskHeadroom::record(TimePoint Now, const Demand &MilliCores)
    -> void {
  for (const auto &Each : MilliCores)
    PerService_.try_emplace(Each.first);
  for (auto &[Service, Recorded] : PerService_) {
    const auto Found = MilliCores.find(Service);
    Recorded.record(Now, Found == MilliCores.end() ? 0 : Found->second);
  }
}

auto ShortTaskHeadroom::at(const Target &Worker,
                           const TargetTable &Targets) const -> std::int64_t {
  const auto Capacity = Worker.Capacity_.MilliCores_;
  std::int64_t Headroom = 0;
  for (const auto &[Service, Recorded] : PerService_) {
    const WorkerRequirement OfService{Service, {}};
    if (!OfService.isMetBy(Worker.Hello_))
      continue;
    const auto Workers =
        Service.empty() ? Targets.size() : Targets.ofService(Service).size();
    Headroom += Recorded.headroomAt(Capacity, Workers);
  }
  return std::min(Headroom, ShortTaskDemand::maxHeadroomAt(Capacity));
}

} // namespace skylark
