#include "test/fuzz/VirtualWorker.h"

#include <algorithm>

namespace skylark::Fuzz {
namespace {

constexpr Micros LongestLease{Seconds{10}};
constexpr Micros StopDuration{Millis{150}};
constexpr Micros ShortestWork{Millis{50}};
constexpr Micros LongestWork{Millis{1500}};
/// Deadlines may be this much past when they arrive.
constexpr Micros LongestDelay{Seconds{15}};
/// The clocks of two lives differ by at least this.
constexpr Micros ClockStep{Seconds{600}};
constexpr std::size_t MaxListedEnds = 500;
constexpr std::uint16_t HttpOk = 200;
constexpr std::uint16_t HttpConflict = 409;

auto toMillis(Micros Time) -> std::int64_t {
  return std::chrono::floor<Millis>(Time).count();
}

} // namespace

VirtualWorker::VirtualWorker(VirtualTime &Time, RunLog &Log, std::string Name)
    : Time_(Time), Log_(Log), Name_(std::move(Name)) {
  begin();
}

auto VirtualWorker::crash() -> void {
  IsUp_ = false;
  for (const auto &Each : Running_)
    Log_.ended(Each.first);
  Running_.clear();
  OpenPolls_.clear();
}

auto VirtualWorker::begin() -> void {
  IsUp_ = true;
  Born_ += 1 + Time_.draw(2);
  Micros First{0};
  do
    First = ClockStep * Time_.draw(3);
  while (First == FirstClock_);
  FirstClock_ = First;
  BeganAt_ = Time_.now();
  ClockRate_ = 980000 + Time_.draw(25000);
  Sequence_ = 0;
  Fence_ = 0;
  LeaseUntil_ = Micros{0};
  HighestEnded_.clear();
  Done_.clear();
  Ended_.clear();
  LastEnd_ = 0;
  ListedThrough_ = 0;
  StrayThrough_ = 0;
}

auto VirtualWorker::clock() const -> Micros {
  return FirstClock_ + (Time_.now() - BeganAt_) * ClockRate_ / 1000000;
}

auto VirtualWorker::describe(std::uint64_t Run) const -> std::string {
  return "run " + std::to_string(Run) + " at " + Name_ + " born " +
         std::to_string(Born_);
}

auto VirtualWorker::stamp(Json Body) const -> std::string {
  Body["clock_ms"] = toMillis(clock());
  Body["born"] = Born_;
  return Body.dump();
}

auto VirtualWorker::heartbeat() -> std::string {
  return Json{{"service", "s"},
              {"state", "ready"},
              {"slots", 8},
              {"capacity", {{"cpu", 64000}, {"mem_mb", 64000}}},
              {"labels", {label(Born_)}},
              {"born", Born_},
              {"seq", ++Sequence_}}
      .dump();
}

auto VirtualWorker::hasDone(const std::string &Task, std::uint64_t Run) const
    -> bool {
  return IsUp_ && Done_.count({Task, Run}) != 0 && LeaseUntil_ > clock();
}

auto VirtualWorker::carryOut(const std::string &Path, const Json &Call,
                             const Responder &Respond) -> void {
  advance();
  const auto Fence = Call.value("fence", std::uint64_t{0});
  if (Fence < Fence_) {
    Respond(HttpConflict, {{"reason", "fence"}});
    return;
  }
  Fence_ = Fence;
  if (Path == "/hold") {
    hold(Call, Respond);
    return;
  }
  std::string Rejection;
  if (Path == "/run-start")
    Rejection = startRun(Call);
  else if (Path == "/run-stop")
    stopRun(Call);
  if (Rejection.empty())
    Respond(HttpOk, Json::object());
  else
    Respond(HttpConflict, {{"reason", Rejection}});
}

auto VirtualWorker::carryOutStray(const std::string &Path, const Json &Call)
    -> void {
  IsStray_ = true;
  carryOut(Path, Call, [](std::uint16_t, const Json &) {});
  IsStray_ = false;
}

auto VirtualWorker::extendLease(const Json &Call) -> void {
  if (!Call.contains("deadline_ms"))
    return;
  const Micros Until = Millis{Call.at("deadline_ms").get<std::int64_t>()};
  const auto IsOfThisLife =
      Until <= clock() + LongestGrant && Until >= clock() - LongestDelay;
  if (!IsStray_ && !IsOfThisLife)
    Log_.violate(Name_ + " born " + std::to_string(Born_) + " at " +
                 std::to_string(toMillis(clock())) +
                 " was given a deadline at " + std::to_string(toMillis(Until)));
  LeaseUntil_ = std::max(LeaseUntil_, std::min(Until, clock() + LongestLease));
}

auto VirtualWorker::startRun(const Json &Order) -> std::string {
  const auto Task = Order.at("task").get<std::string>();
  const auto Number = Order.at("run").get<std::uint64_t>();
  extendLease(Order);
  if (Order.at("deadline_ms").get<std::int64_t>() <= toMillis(clock()))
    return "late";
  const auto Running = Running_.find(Task);
  if (Running != Running_.end())
    return Running->second.Number_ == Number ? "" : "old";
  const auto Ended = HighestEnded_.find(Task);
  if (Ended != HighestEnded_.end() && Number <= Ended->second)
    return "old";
  Log_.started(Task, describe(Number));
  Running_[Task] = {Number, clock() + Time_.draw(ShortestWork, LongestWork),
                    "done"};
  return "";
}

auto VirtualWorker::stopRun(const Json &Order) -> void {
  const auto Task = Order.at("task").get<std::string>();
  const auto Number = Order.at("run").get<std::uint64_t>();
  const auto Running = Running_.find(Task);
  if (Running == Running_.end()) {
    HighestEnded_[Task] = std::max(HighestEnded_[Task], Number);
    return;
  }
  auto &Stopped = Running->second;
  const auto EndsAt = clock() + StopDuration;
  if (Stopped.Number_ <= Number && EndsAt < Stopped.EndsAt_)
    Stopped = {Stopped.Number_, EndsAt, "stopped"};
}

auto VirtualWorker::hold(const Json &Poll, const Responder &Respond) -> void {
  extendLease(Poll);
  const auto Through = Poll.value("acked_through", std::uint64_t{0});
  if (IsStray_)
    StrayThrough_ = std::max(StrayThrough_, Through);
  else if (Through > ListedThrough_)
    Log_.violate(Name_ + " born " + std::to_string(Born_) +
                 " was told to forget end " + std::to_string(Through) +
                 " and has listed " + std::to_string(ListedThrough_));
  forget(Through);
  OpenPolls_.push_back({clock() + Millis{Poll.value("wait_ms", 0)}, Respond});
  advance();
}

auto VirtualWorker::forget(std::uint64_t Through) -> void {
  const auto IsForgotten = [&](const End &Each) {
    return Each.Number_ <= Through;
  };
  for (const auto &Each : Ended_)
    if (IsForgotten(Each) && Each.How_ == "done")
      Log_.finishAcknowledged(Each.Task_, describe(Each.Run_));
  Ended_.erase(std::remove_if(Ended_.begin(), Ended_.end(), IsForgotten),
               Ended_.end());
}

auto VirtualWorker::list() -> Json {
  Json Lists{{"running", Json::array()}, {"finished", Json::array()}};
  for (const auto &[Task, Each] : Running_)
    Lists["running"].push_back({Task, Each.Number_, "", 0, 0});
  for (const auto &Each : Ended_) {
    if (Lists["finished"].size() == MaxListedEnds)
      break;
    Lists["finished"].push_back(
        {Each.Number_, Each.Task_, Each.Run_, Each.How_, ""});
    ListedThrough_ = std::max(ListedThrough_, Each.Number_);
  }
  return Lists;
}

auto VirtualWorker::advance() -> void {
  if (!IsUp_)
    return;
  const auto Now = clock();
  for (auto Each = Running_.begin(); Each != Running_.end();) {
    const auto &[Task, Ending] = *Each;
    if (std::min(Ending.EndsAt_, LeaseUntil_) > Now) {
      ++Each;
      continue;
    }
    const auto How = LeaseUntil_ < Ending.EndsAt_ ? "lapsed" : Ending.How_;
    HighestEnded_[Task] = std::max(HighestEnded_[Task], Ending.Number_);
    Ended_.push_back({++LastEnd_, Task, Ending.Number_, How});
    if (Ended_.back().How_ == "done")
      Done_.insert({Task, Ending.Number_});
    Log_.ended(Task);
    Each = Running_.erase(Each);
  }
  // The number of a stray call also counts for ends that come after it.
  forget(StrayThrough_);
  std::vector<OpenPoll> Waiting;
  Waiting.swap(OpenPolls_);
  for (auto &Each : Waiting) {
    if (Ended_.empty() && Now < Each.Until_)
      OpenPolls_.push_back(std::move(Each));
    else
      Each.Respond_(HttpOk, list());
  }
}

} // namespace skylark::Fuzz
