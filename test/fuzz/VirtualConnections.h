/// \file
/// Defines the HTTP connections of an agent to a worker in virtual time, as
/// libcurl keeps them.
#pragma once

#include "runtime/HttpClient.h"
#include "test/fuzz/VirtualWorker.h"

#include <list>
#include <memory>
#include <set>
#include <vector>

namespace skylark::Fuzz {

/// What becomes of calls, in percent; the others are answered.
struct CallFaults {
  /// Carried out, and the connection ends without an answer.
  std::uint32_t Broken_ = 0;
  /// Answered 503, without effect.
  std::uint32_t Refused_ = 0;
  /// Carried out up to seconds later, without an answer.
  std::uint32_t Late_ = 0;
  /// Whether answers may take long, and overtake each other.
  bool SlowAnswers_ = false;
};

/// Each connection ends with the life of the worker that accepted it. A request
/// whose kept connection ends before any answer is sent again on a new one, and
/// after a request without an answer no connection is used again.
class VirtualConnections : public HttpCaller {
public:
  VirtualConnections(VirtualTime &Time, VirtualWorker &Worker)
      : Time_(Time), Worker_(Worker) {}

  auto call(HttpCall Call, std::function<void(HttpResult)> Done)
      -> void override;
  /// The worker has crashed: the calls on its connections break.
  auto workerCrashed() -> void;

  CallFaults Faults_;
  /// Whether a call to one life may be carried out by the next.
  bool LateAcrossLives_ = false;

private:
  struct Transfer {
    HttpCall Call_;
    std::function<void(HttpResult)> Done_;
    HttpResult Result_;
    /// The life to which its connection leads.
    std::uint64_t Born_ = 0;
    bool OnKept_ = false;
    bool Ended_ = false;
    /// The number of the copy that may be answered; 0 while there is none.
    int Copy_ = 0;
    /// Whether the answer is on its way.
    bool IsAnswered_ = false;
    std::uint64_t Pool_ = 0;
  };
  using TransferPointer = std::shared_ptr<Transfer>;
  struct KeptConnection {
    std::uint64_t Number_ = 0;
    std::uint64_t Born_ = 0;
  };

  auto connect(const TransferPointer &Each) -> void;
  auto takeKept(const TransferPointer &Each) -> bool;
  auto send(const TransferPointer &Each) -> void;
  auto arrive(const TransferPointer &Each, int Copy) -> void;
  auto carryOut(const TransferPointer &Each, int Copy) -> void;
  auto carryOutLate(const HttpCall &Call) -> void;
  auto answer(const TransferPointer &Each, int Copy, std::uint16_t Status,
              std::string Body) -> void;
  auto breakOff(const TransferPointer &Each) -> void;
  auto timeOut(const TransferPointer &Each) -> void;
  auto end(const TransferPointer &Each) -> void;
  auto delay() -> Micros { return Time_.draw(Micros{100}, Micros{3000}); }
  auto answerDelay() -> Micros;

  VirtualTime &Time_;
  VirtualWorker &Worker_;
  std::vector<KeptConnection> Kept_;
  std::list<TransferPointer> Open_;
  std::uint64_t LastConnection_ = 0;
  /// Counts the times after which no earlier connection was used again.
  std::uint64_t Pool_ = 0;
};

} // namespace skylark::Fuzz
