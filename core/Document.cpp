#include "core/Document.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdio>

namespace skylark {
namespace {

template <typename Item, typename Name>
auto findNamed(const std::vector<Item> &Items, const Name &Wanted)
    -> const Item * {
  const auto Found =
      std::find_if(Items.begin(), Items.end(),
                   [&](const Item &Each) { return Each.Name_ == Wanted; });
  return Found == Items.end() ? nullptr : &*Found;
}

auto contains(const std::vector<DataCentreName> &Names,
              const DataCentreName &Wanted) -> bool {
  return std::find(Names.begin(), Names.end(), Wanted) != Names.end();
}

} // namespace

auto Document::findService(const ServiceName &Name) const
    -> const ServiceDeclaration * {
  return findNamed(Services_, Name);
}

auto Document::findTeam(const TeamName &Name) const -> const TeamDeclaration * {
  return findNamed(Teams_, Name);
}

auto Document::findQueue(const std::string &Host, const std::string &Path) const
    -> const QueueDeclaration * {
  const QueueDeclaration *Best = nullptr;
  for (const auto &Each : Queues_) {
    const auto Matches =
        Each.Host_ == Host &&
        Path.compare(0, Each.PathPrefix_.size(), Each.PathPrefix_) == 0;
    if (Matches &&
        (Best == nullptr || Each.PathPrefix_.size() > Best->PathPrefix_.size()))
      Best = &Each;
  }
  return Best;
}

auto Document::hasDataCentre(const DataCentreName &Name) const -> bool {
  return contains(DataCentres_, Name);
}

auto Configuration::forAgents() const -> Configuration {
  if (Head_.StartRevision_ == 0)
    return *this;
  Configuration Trimmed;
  Trimmed.Head_.Revision_ = startRevision();
  Trimmed.Head_.DataCentresOut_ = Head_.DataCentresOut_;
  Trimmed.Document_.DataCentres_ = Document_.DataCentres_;
  Trimmed.Document_.Policy_ = Document_.Policy_;
  return Trimmed;
}

auto EnvironmentHead::isOut(const DataCentreName &Name) const -> bool {
  return contains(DataCentresOut_, Name);
}

auto EnvironmentHead::supersedes(const EnvironmentHead &Held) const -> bool {
  const auto Order = [](const EnvironmentHead &Head) {
    return std::make_tuple(Head.Revision_, Head.DocumentRevision_,
                           Head.StartRevision_);
  };
  if (Order(*this) != Order(Held))
    return Order(*this) > Order(Held);
  return !(DataCentresOut_ == Held.DataCentresOut_);
}

auto EnvironmentHead::revisionOf(const WriteId &Write) const -> Revision {
  for (const auto &Each : RecentWrites_)
    if (Each.Write_ == Write)
      return Each.Revision_;
  return 0;
}

auto digest64(const std::string &Bytes) -> std::uint64_t {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

auto digestText(const std::string &Text) -> std::string {
  const auto Value = XXH3_128bits(Text.data(), Text.size());
  constexpr std::size_t HexSize = 33;
  char Hex[HexSize];
  std::snprintf(Hex, HexSize, "%016llx%016llx",
                static_cast<unsigned long long>(Value.high64),
                static_cast<unsigned long long>(Value.low64));
  return Hex;
}

} // namespace skylark
