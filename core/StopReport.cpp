#include "core/StopReport.h"

namespace skylark {

auto describe(const StopReport &Report) -> std::string {
  auto Text = "after " + std::to_string(Report.Elapsed_.count()) + " ms, " +
              (Report.Forced_ ? "forced" : "complete");
  const auto AddCount = [&](const char *What, std::size_t Count) {
    if (Count != 0)
      Text += std::string(", ") + What + ' ' + std::to_string(Count);
  };
  const auto AddFact = [&](const char *What, bool Holds) {
    if (Holds)
      Text += std::string(", ") + What;
  };
  AddCount("forwarded", Report.Calls_.Forwarded_);
  AddCount("parked", Report.Calls_.Parked_);
  AddCount("of its shards", Report.Calls_.Own_);
  AddCount("of peers", Report.Calls_.FromPeers_);
  AddCount("dispatched", Report.Dispatched_);
  AddFact("changes open", Report.ChangesOpen_);
  AddFact("cancellations open", Report.CancellationsOpen_);
  AddCount("shards not handed over", Report.ShardsHeld_);
  AddCount("grants end in ms",
           static_cast<std::size_t>(Report.GrantsLeft_.count()));
  AddFact("store away", !Report.StoreReached_);
  AddFact("still registered", !Report.RegistrationWithdrawn_);
  return Text;
}

} // namespace skylark
