#include "test/fuzz/VirtualConnections.h"

namespace skylark::Fuzz {
namespace {

using Json = nlohmann::json;

/// How many of 100 connections that have ended the client takes for open.
constexpr std::uint32_t UnnoticedEndPercent = 30;
constexpr Micros ShortestLateness{Millis{100}};
constexpr Micros LongestLateness{Seconds{4}};
constexpr Micros LongestAnswerDelay{Millis{300}};
constexpr std::uint16_t HttpUnavailable = 503;

auto pathOf(const HttpCall &Call) -> std::string {
  return Call.Url_.substr(Call.Url_.rfind('/'));
}

} // namespace

auto VirtualConnections::call(HttpCall Call,
                              std::function<void(HttpResult)> Done) -> void {
  const auto Each = std::make_shared<Transfer>();
  Each->Call_ = std::move(Call);
  Each->Done_ = std::move(Done);
  Each->Pool_ = Pool_;
  Open_.push_back(Each);
  Time_.after(Each->Call_.Timeout_, [this, Each] { timeOut(Each); });
  Time_.after(Micros{0}, [this, Each] {
    if (takeKept(Each))
      send(Each);
    else
      connect(Each);
  });
}

auto VirtualConnections::takeKept(const TransferPointer &Each) -> bool {
  while (!Kept_.empty() && Each->Pool_ == Pool_) {
    const auto Index = Time_.draw(static_cast<std::uint32_t>(Kept_.size()) - 1);
    const auto Taken = Kept_[Index];
    Kept_.erase(Kept_.begin() + Index);
    const auto HasEnded = !Worker_.isUp() || Taken.Born_ != Worker_.born();
    if (HasEnded && !Time_.chance(UnnoticedEndPercent))
      continue;
    Each->Result_.Connection_ = Taken.Number_;
    Each->Born_ = Taken.Born_;
    Each->OnKept_ = true;
    return true;
  }
  return false;
}

auto VirtualConnections::connect(const TransferPointer &Each) -> void {
  Each->OnKept_ = false;
  Time_.after(delay(), [this, Each] {
    if (Each->Ended_)
      return;
    if (!Worker_.isUp()) {
      Each->Result_.NeverSent_ = Each->Result_.Copies_ == 0;
      end(Each);
      return;
    }
    Each->Result_.Connection_ = ++LastConnection_;
    Each->Born_ = Worker_.born();
    send(Each);
  });
}

auto VirtualConnections::send(const TransferPointer &Each) -> void {
  const auto &Admit = Each->Call_.Admit_;
  if (Admit && !Admit(Each->Result_.Connection_)) {
    Each->Result_.NeverSent_ = Each->Result_.Copies_ == 0;
    end(Each);
    return;
  }
  Each->Copy_ = ++Each->Result_.Copies_;
  Time_.after(delay(),
              [this, Each, Copy = Each->Copy_] { arrive(Each, Copy); });
}

auto VirtualConnections::arrive(const TransferPointer &Each, int Copy) -> void {
  if (Each->Copy_ != Copy)
    return;
  if (!Worker_.isUp() || Worker_.born() != Each->Born_) {
    breakOff(Each);
    return;
  }
  auto Drawn = Time_.draw(99);
  const auto IsFate = [&Drawn](std::uint32_t Share) {
    const auto Is = Drawn < Share;
    Drawn -= Is ? 0 : Share;
    return Is;
  };
  if (IsFate(Faults_.Broken_)) {
    Worker_.carryOut(pathOf(Each->Call_), Json::parse(Each->Call_.Body_),
                     [](std::uint16_t, const Json &) {});
    breakOff(Each);
  } else if (IsFate(Faults_.Refused_)) {
    answer(Each, Copy, HttpUnavailable, Worker_.stamp(Json::object()));
  } else if (IsFate(Faults_.Late_)) {
    carryOutLate(Each->Call_);
    // Others stay open until the client gives up.
    if (Time_.chance(50))
      breakOff(Each);
  } else {
    carryOut(Each, Copy);
  }
}

auto VirtualConnections::carryOut(const TransferPointer &Each, int Copy)
    -> void {
  Worker_.carryOut(pathOf(Each->Call_), Json::parse(Each->Call_.Body_),
                   [this, Each, Copy](std::uint16_t Status, Json Body) {
                     answer(Each, Copy, Status, Worker_.stamp(std::move(Body)));
                   });
}

auto VirtualConnections::carryOutLate(const HttpCall &Call) -> void {
  Time_.after(Time_.draw(ShortestLateness, LongestLateness),
              [this, Path = pathOf(Call), Body = Json::parse(Call.Body_),
               Born = Worker_.born()] {
                if (!Worker_.isUp())
                  return;
                if (Worker_.born() == Born)
                  Worker_.carryOut(Path, Body,
                                   [](std::uint16_t, const Json &) {});
                else if (LateAcrossLives_)
                  Worker_.carryOutStray(Path, Body);
              });
}

auto VirtualConnections::answerDelay() -> Micros {
  return Faults_.SlowAnswers_ ? Time_.draw(Micros{100}, LongestAnswerDelay)
                              : delay();
}

auto VirtualConnections::answer(const TransferPointer &Each, int Copy,
                                std::uint16_t Status, std::string Body)
    -> void {
  // What was sent before the connection ended still arrives.
  if (Each->Copy_ == Copy)
    Each->IsAnswered_ = true;
  Time_.after(answerDelay(),
              [this, Each, Copy, Status, Body = std::move(Body)] {
                if (Each->Ended_ || Each->Copy_ != Copy)
                  return;
                Each->Result_.Complete_ = true;
                Each->Result_.Status_ = Status;
                Each->Result_.Body_ = Body;
                if (Each->Pool_ == Pool_)
                  Kept_.push_back({Each->Result_.Connection_, Each->Born_});
                end(Each);
              });
}

auto VirtualConnections::breakOff(const TransferPointer &Each) -> void {
  Time_.after(delay(), [this, Each, Copy = Each->Copy_] {
    if (Each->Ended_ || Each->Copy_ != Copy || Each->IsAnswered_)
      return;
    Each->Copy_ = 0;
    if (Each->OnKept_)
      connect(Each);
    else
      end(Each);
  });
}

auto VirtualConnections::workerCrashed() -> void {
  for (const auto &Each : Open_)
    if (Each->Copy_ > 0)
      breakOff(Each);
}

auto VirtualConnections::timeOut(const TransferPointer &Each) -> void {
  if (Each->Ended_)
    return;
  if (Each->Result_.Copies_ > 0 && Each->Pool_ == Pool_) {
    Kept_.clear();
    ++Pool_;
  }
  end(Each);
}

auto VirtualConnections::end(const TransferPointer &Each) -> void {
  Each->Ended_ = true;
  Open_.remove(Each);
  const auto Done = std::move(Each->Done_);
  Done(std::move(Each->Result_));
}

} // namespace skylark::Fuzz
