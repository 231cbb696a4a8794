/// \file
/// Declares a TCP forwarder that disturbs the connections of chosen pairs.
#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace skylark::soak {

enum class Pair { ClientEntry, EntryEntry, AgentEntry, Store, AgentWorker };

enum class Silence {
  /// Bytes are read and discarded.
  Discard,
  /// Bytes are no longer read.
  Stall
};

enum class Direction { ToTarget, ToSource, Both };

/// Connections to disturb.
struct Selection {
  std::set<Pair> Pairs_;
  /// Probability that a connection of these pairs is taken.
  double Share_ = 1;
  /// Last octet of the connecting machine; -1: any.
  int SourceOctet_ = -1;
};

/// Forwards connections on a thread of its own.
class Forwarder {
public:
  explicit Forwarder(std::uint64_t Seed);
  ~Forwarder();
  Forwarder(const Forwarder &) = delete;
  auto operator=(const Forwarder &) -> Forwarder & = delete;

  /// Starts to forward; to be called before run().
  /// \param ReceiveBytes size of the buffer for bytes from the connecting side,
  ///   0: the system's. Beyond it a stalled connection acknowledges nothing.
  /// \throws std::system_error if the address can't be bound.
  auto listen(const std::string &From, const std::string &To, int Port,
              Pair Kind, int ReceiveBytes = 0) -> void;
  auto run() -> void;
  /// Returns for how long the forwarder's thread has at most done nothing: what
  /// it carries stood still meanwhile, whatever the processes did.
  auto longestStall() const -> std::chrono::milliseconds {
    return std::chrono::milliseconds{LongestStallMs_.load()};
  }

  /// Silences open connections for good; new ones work.
  /// \returns how many.
  auto silence(const Selection &Chosen, Silence How, Direction Which)
      -> std::size_t;
  /// Resets open connections.
  /// \returns how many.
  auto reset(const Selection &Chosen) -> std::size_t;
  /// Resets new connections for a time.
  auto refuse(const Selection &Chosen, std::chrono::milliseconds Duration)
      -> void;
  /// Delays each chunk by `Delay` for a time, on old and new connections.
  auto delay(const Selection &Chosen, std::chrono::milliseconds Delay,
             std::chrono::milliseconds Duration) -> void;

private:
  class Connection;
  struct Listener;
  struct Rule {
    Selection Chosen_;
    std::chrono::steady_clock::time_point Until_;
    std::chrono::milliseconds Delay_{0};
  };

  auto watchStalls() -> void;
  auto accept(Listener &From) -> void;
  auto accepted(const Listener &From, asio::ip::tcp::socket Socket) -> void;
  auto takes(const Selection &Chosen, Pair Kind, int SourceOctet) -> bool;
  auto currentDelay(Pair Kind, int SourceOctet) -> std::chrono::milliseconds;
  auto onThread(const std::function<std::size_t()> &Work) -> std::size_t;

  asio::io_context Context_;
  asio::executor_work_guard<asio::io_context::executor_type> Guard_;
  std::mt19937_64 Random_;
  std::vector<std::unique_ptr<Listener>> Listeners_;
  std::set<std::shared_ptr<Connection>> Connections_;
  std::vector<Rule> Refusals_;
  std::vector<Rule> Delays_;
  asio::steady_timer StallTimer_{Context_};
  std::atomic<std::int64_t> LongestStallMs_{0};
  std::thread Thread_;
};

} // namespace skylark::soak
