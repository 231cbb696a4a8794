/// \file
/// Defines a worker of the users' platform whose calls a test answers, and a
/// client of it.
#pragma once

#include "platform/WorkerClient.h"
#include "test/correctness/FreePort.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <set>

namespace skylark {

using Json = nlohmann::json;

/// A worker whose calls the test answers, but for probes, which are answered at
/// once. Each open call has a connection of its own, and each connection ends
/// with the life of the worker that accepted it.
class HeldCalls : public HttpCaller {
public:
  auto call(HttpCall Call, std::function<void(HttpResult)> Done)
      -> void override {
    const auto Connection = takeConnection();
    HttpResult Result;
    Result.Connection_ = Connection;
    if (Call.Admit_ && !Call.Admit_(Connection)) {
      Result.NeverSent_ = true;
      Done(std::move(Result));
      return;
    }
    Result.Copies_ = 1;
    const auto IsProbe = !Call.Admit_;
    if (IsProbe)
      Probes_.push_back(Json::parse(Call.Body_));
    Calls_.push_back({std::move(Call), std::move(Result), std::move(Done)});
    if (!IsProbe || HoldsProbes_)
      return;
    auto Probe = std::move(Calls_.back());
    Calls_.pop_back();
    finish(Probe, 200, list());
  }

  auto count() const -> std::size_t { return Calls_.size(); }
  auto probes() const -> const std::vector<Json> & { return Probes_; }
  auto path(std::size_t Index) const -> std::string {
    const auto &Url = Calls_.at(Index).Call_.Url_;
    return Url.substr(Url.rfind('/'));
  }
  auto body(std::size_t Index) const -> Json {
    return Json::parse(Calls_.at(Index).Call_.Body_);
  }
  auto token(std::size_t Index) const -> Incarnation {
    return body(Index).at("fence").get<Incarnation>();
  }
  /// The id of the worker that a call names; empty if it names none.
  auto expectedId(std::size_t Index) const -> std::string {
    const std::string Name = "Expected-Instance: ";
    for (const auto &Line : Calls_.at(Index).Call_.Headers_)
      if (Line.compare(0, Name.size(), Name) == 0)
        return Line.substr(Name.size());
    return {};
  }
  auto answer(std::size_t Index, std::uint16_t Status, const Json &Body)
      -> void {
    auto Each = Calls_.at(Index);
    finish(Each, Status, Body);
  }
  /// The connection ends without an answer.
  auto lose(std::size_t Index) -> void {
    auto Each = Calls_.at(Index);
    Each.Done_(std::move(Each.Result_));
  }
  /// Starts the worker again under its id. The open calls are lost.
  auto restart() -> void {
    ++Born_;
    Idle_.clear();
  }
  /// An empty list of attempts.
  auto list() const -> Json {
    return {{"born", Born_},
            {"clock_ms", 1000},
            {"running", Json::array()},
            {"finished", Json::array()}};
  }

  Incarnation Born_ = 0;
  bool HoldsProbes_ = false;

private:
  struct HeldCall {
    HttpCall Call_;
    HttpResult Result_;
    std::function<void(HttpResult)> Done_;
  };

  auto takeConnection() -> std::uint64_t {
    if (Idle_.empty())
      return ++LastConnection_;
    const auto First = *Idle_.begin();
    Idle_.erase(Idle_.begin());
    return First;
  }
  auto finish(HeldCall &Each, std::uint16_t Status, const Json &Body) -> void {
    Idle_.insert(Each.Result_.Connection_);
    Each.Result_.Complete_ = true;
    Each.Result_.Status_ = Status;
    Each.Result_.Body_ = Body.dump();
    Each.Done_(std::move(Each.Result_));
  }

  std::vector<HeldCall> Calls_;
  std::vector<Json> Probes_;
  std::set<std::uint64_t> Idle_;
  std::uint64_t LastConnection_ = 0;
};

struct OrderFixture {
  auto start() -> void {
    StartOnWorker Start;
    Start.Bind_.Worker_ = Calls_.Born_;
    Start.Bind_.Task_ = {{"j"}, 0};
    Start.Bind_.Attempt_ = 1;
    Start.LeaseUntil_ = Seconds{10};
    Client_.execute(Start);
  }
  auto stop() -> void { Client_.execute(StopOnWorker{{{"j"}, 0}, 1}); }
  auto poll(std::uint64_t Fence) -> void {
    PollWorker Poll;
    Poll.Fence_ = Fence;
    Client_.execute(Poll);
  }

  asio::io_context Traffic_;
  HeldCalls Calls_;
  std::vector<StartOutcome> Outcomes_;
  int StopsAnswered_ = 0;
  std::vector<WorkerInventory> Inventories_;
  std::vector<WorkerAnnouncement> Announced_;
  std::uint16_t HeartbeatPort_ = freePort();
  WorkerLinkHandlers Handlers_ = [this] {
    WorkerLinkHandlers Handlers;
    Handlers.StartAnswered_ = [this](const TaskId &, AttemptNumber,
                                     StartOutcome Outcome) {
      Outcomes_.push_back(Outcome);
    };
    Handlers.StopAnswered_ = [this](const TaskId &, AttemptNumber) {
      ++StopsAnswered_;
    };
    Handlers.InventoryReceived_ = [this](WorkerInventory Received) {
      Inventories_.push_back(std::move(Received));
    };
    Handlers.AnnouncementReceived_ = [this](WorkerAnnouncement Received) {
      Announced_.push_back(std::move(Received));
    };
    return Handlers;
  }();
  Platform::WorkerClient Client_{
      Traffic_,
      Calls_,
      {"127.0.0.1:1", {"127.0.0.1", HeartbeatPort_}, 100},
      Handlers_};
};

inline const Json EmptyList{{"born", 0},
                            {"clock_ms", 1000},
                            {"running", Json::array()},
                            {"finished", Json::array()}};

} // namespace skylark
