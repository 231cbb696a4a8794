#include "test/standin/FaultyWorker.h"

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <algorithm>

namespace skylark::StandIn {
namespace {

using Tcp = asio::ip::tcp;

/// How long a run works.
constexpr Millis WorkDuration{200};
constexpr Millis StopDuration{50};
constexpr Millis LongestLease{10000};
/// More than any agent asks for; less than the clocks of two lives differ.
constexpr Millis LongestGrant{300000};
constexpr Millis StepInterval{5};
constexpr int ShortestLatenessMs = 100;
constexpr int LongestLatenessMs = 900;
constexpr int HttpOk = 200;
constexpr int HttpConflict = 409;
constexpr int HttpUnavailable = 503;

auto bodySize(const std::string &Head) -> std::size_t {
  const std::string Name = "Content-Length: ";
  const auto Found = Head.find(Name);
  return Found == std::string::npos
             ? std::size_t{0}
             : std::stoull(Head.substr(Found + Name.size()));
}

} // namespace

auto RunLog::started(const std::string &Task, const std::string &Run) -> void {
  // What is over, but not yet taken note of, doesn't count as running.
  for (const auto &Advance : Workers_)
    Advance();
  ++StartCount_;
  const auto Running = Running_.find(Task);
  const auto Finished = Finished_.find(Task);
  if (Running != Running_.end())
    Violations_.push_back(Task + ": " + Run + " starts while " +
                          Running->second + " runs");
  if (Finished != Finished_.end())
    Violations_.push_back(Task + ": " + Run + " starts after the finish of " +
                          Finished->second);
  Running_[Task] = Run;
}

auto RunLog::ended(const std::string &Task, const std::string &Run) -> void {
  const auto Found = Running_.find(Task);
  if (Found != Running_.end() && Found->second == Run)
    Running_.erase(Found);
}

struct FaultyWorker::Connection {
  explicit Connection(Tcp::socket Socket) : Socket_(std::move(Socket)) {}
  Tcp::socket Socket_;
  std::string Received_;
  std::string Sent_;
};

FaultyWorker::FaultyWorker(asio::io_context &Context, std::string Name,
                           RunLog &Runs, std::uint32_t Seed)
    : Context_(Context),
      Acceptor_(Context, {asio::ip::address_v4::loopback(), 0}),
      Timer_(Context), Name_(std::move(Name)), Runs_(Runs), Random_(Seed),
      StartedAt_(std::chrono::steady_clock::now()),
      Born_(std::chrono::duration_cast<Millis>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()) {
  Runs_.addWorker([this] { advance(); });
  accept();
  advancePeriodically();
}

auto FaultyWorker::address() const -> std::string {
  return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
}

auto FaultyWorker::clock() const -> Millis {
  return FirstClock_ + std::chrono::duration_cast<Millis>(
                           std::chrono::steady_clock::now() - StartedAt_);
}

auto FaultyWorker::restart() -> void {
  advance();
  for (const auto &[Task, Each] : Running_)
    Runs_.ended(Task, describe(Each.Number_));
  Running_.clear();
  HighestEnded_.clear();
  Ended_.clear();
  LastEnd_ = 0;
  Acknowledged_ = 0;
  PollCount_ = 0;
  Fence_ = 0;
  LeaseUntil_ = Millis{0};
  OpenPolls_.clear();
  for (const auto &Each : Connections_)
    if (const auto Open = Each.lock()) {
      std::error_code Ignored;
      Open->Socket_.close(Ignored);
    }
  Connections_.clear();
  FirstClock_ -= 2 * LongestGrant;
  StartedAt_ = std::chrono::steady_clock::now();
  ++Born_;
}

auto FaultyWorker::chance(int From, int To) -> int {
  return std::uniform_int_distribution<int>(From, To)(Random_);
}

// Connections.

auto FaultyWorker::accept() -> void {
  Acceptor_.async_accept([this](std::error_code Error, Tcp::socket Socket) {
    if (Error)
      return;
    const auto Accepted = std::make_shared<Connection>(std::move(Socket));
    Connections_.push_back(Accepted);
    read(Accepted);
    accept();
  });
}

auto FaultyWorker::read(const ConnectionPointer &From) -> void {
  asio::async_read_until(
      From->Socket_, asio::dynamic_buffer(From->Received_), "\r\n\r\n",
      [this, From](std::error_code Error, std::size_t HeadSize) {
        if (!Error)
          readBody(From, HeadSize);
      });
}

auto FaultyWorker::readBody(const ConnectionPointer &From, std::size_t HeadSize)
    -> void {
  const auto Head = From->Received_.substr(0, HeadSize);
  const auto Size = HeadSize + bodySize(Head);
  const auto Missing = Size - std::min(Size, From->Received_.size());
  asio::async_read(
      From->Socket_, asio::dynamic_buffer(From->Received_),
      asio::transfer_exactly(Missing),
      [this, From, Head, Size](std::error_code Error, std::size_t) {
        if (Error)
          return;
        const auto Body =
            From->Received_.substr(Head.size(), Size - Head.size());
        From->Received_.erase(0, Size);
        const auto PathStart = Head.find(' ') + 1;
        handle(From,
               Head.substr(PathStart, Head.find(' ', PathStart) - PathStart),
               Body);
      });
}

auto FaultyWorker::answer(const ConnectionPointer &To, int Status, Json Body)
    -> void {
  Body["clock_ms"] = clock().count();
  Body["born"] = Born_;
  const auto Text = Body.dump();
  To->Sent_ =
      "HTTP/1.1 " + std::to_string(Status) +
      " stand-in\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(Text.size()) + "\r\n\r\n" + Text;
  asio::async_write(To->Socket_, asio::buffer(To->Sent_),
                    [this, To](std::error_code Error, std::size_t) {
                      if (!Error)
                        read(To);
                    });
}

auto FaultyWorker::chooseFate(const std::string &Path) -> CallFate {
  const auto IsPoll = Path == "/hold";
  if (!IsPoll && !Script_.empty()) {
    const auto Next = Script_.front();
    Script_.pop_front();
    return Next;
  }
  const auto &Shares = IsPoll ? Polls_ : Orders_;
  const auto Drawn = chance(0, 99);
  if (Drawn < Shares.Broken_)
    return CallFate::Broken;
  if (Drawn < Shares.Broken_ + Shares.Refused_)
    return CallFate::Refused;
  if (Drawn < Shares.Broken_ + Shares.Refused_ + Shares.Late_)
    return CallFate::Late;
  return CallFate::Answered;
}

auto FaultyWorker::handle(const ConnectionPointer &From,
                          const std::string &Path, const std::string &Body)
    -> void {
  // The call was read before the restart that has closed its connection.
  if (!From->Socket_.is_open())
    return;
  OrderCount_ += Path == "/hold" ? 0 : 1;
  const auto Call = Json::parse(Body);
  switch (chooseFate(Path)) {
  case CallFate::Answered:
    carryOut(Path, Call, [this, From](int Status, Json Answer) {
      answer(From, Status, std::move(Answer));
    });
    break;
  case CallFate::Broken:
    // The last reference to the connection closes it.
    carryOut(Path, Call, [](int, const Json &) {});
    break;
  case CallFate::Refused:
    answer(From, HttpUnavailable, Json::object());
    break;
  case CallFate::Late: {
    const auto Timer = std::make_shared<asio::steady_timer>(
        Context_, Millis{chance(ShortestLatenessMs, LongestLatenessMs)});
    ++LateCount_;
    Timer->async_wait([this, Timer, Path, Call](std::error_code) {
      --LateCount_;
      carryOut(Path, Call, [](int, const Json &) {});
    });
    // Some connections stay open until the client gives up.
    if (chance(0, 1) == 0)
      read(From);
    break;
  }
  }
}

// Runs.

auto FaultyWorker::carryOut(const std::string &Path, const Json &Call,
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

auto FaultyWorker::extendLease(const Json &Call) -> void {
  const Millis Until{Call.value("deadline_ms", std::int64_t{0})};
  if (Until > clock() + LongestGrant)
    Runs_.violate(Name_ + " at " + std::to_string(clock().count()) +
                  " was given a lease until " + std::to_string(Until.count()));
  LeaseUntil_ = std::max(LeaseUntil_, std::min(Until, clock() + LongestLease));
}

auto FaultyWorker::startRun(const Json &Order) -> std::string {
  const auto Task = Order.at("task").get<std::string>();
  const auto Number = Order.at("run").get<std::uint64_t>();
  if (Order.at("deadline_ms").get<std::int64_t>() <= clock().count())
    return "late";
  extendLease(Order);
  const auto Running = Running_.find(Task);
  if (Running != Running_.end())
    return Running->second.Number_ == Number ? "" : "old";
  const auto Ended = HighestEnded_.find(Task);
  if (Ended != HighestEnded_.end() && Number <= Ended->second)
    return "old";
  Runs_.started(Task, describe(Number));
  Running_[Task] = {Number, clock() + WorkDuration, "done"};
  return "";
}

auto FaultyWorker::stopRun(const Json &Order) -> void {
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

auto FaultyWorker::hold(const Json &Poll, const Responder &Respond) -> void {
  extendLease(Poll);
  const auto Through = Poll.value("acked_through", std::uint64_t{0});
  ++PollCount_;
  if (Through > LastEnd_)
    Runs_.violate(Name_ + " was told to forget end " + std::to_string(Through) +
                  " and has listed " + std::to_string(LastEnd_));
  Acknowledged_ = std::max(Acknowledged_, Through);
  while (!Ended_.empty() && Ended_.front().Number_ <= Through) {
    const auto &Known = Ended_.front();
    if (Known.How_ == "done")
      Runs_.finishAcknowledged(Known.Task_, describe(Known.Run_));
    Ended_.erase(Ended_.begin());
  }
  OpenPolls_.push_back({clock() + Millis{Poll.value("wait_ms", 0)}, Respond});
  advance();
}

auto FaultyWorker::list() const -> Json {
  Json Lists{{"running", Json::array()}, {"finished", Json::array()}};
  for (const auto &[Task, Each] : Running_)
    Lists["running"].push_back({Task, Each.Number_, "", 0, 0});
  for (const auto &Each : Ended_)
    Lists["finished"].push_back(
        {Each.Number_, Each.Task_, Each.Run_, Each.How_, ""});
  return Lists;
}

auto FaultyWorker::advance() -> void {
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
    Runs_.ended(Task, describe(Ending.Number_));
    Each = Running_.erase(Each);
  }
  std::vector<OpenPoll> Waiting;
  Waiting.swap(OpenPolls_);
  for (auto &Each : Waiting) {
    if (Ended_.empty() && Now < Each.Until_)
      OpenPolls_.push_back(std::move(Each));
    else
      Each.Respond_(HttpOk, list());
  }
}

auto FaultyWorker::advancePeriodically() -> void {
  advance();
  Timer_.expires_after(StepInterval);
  Timer_.async_wait([this](std::error_code Error) {
    if (!Error)
      advancePeriodically();
  });
}

} // namespace skylark::StandIn
