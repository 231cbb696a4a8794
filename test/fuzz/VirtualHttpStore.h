/// \file
/// Defines a fake of the platform's metadata store behind a link with a limited
/// rate, on a virtual clock.
#pragma once

#include "runtime/HttpClient.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace skylark::Fuzz {

/// Answers the calls that an entry makes to read the operator's keys, to
/// register, and to write a ledger that no other entry writes. Answers arrive
/// as time passes, one after the other as the link allows. Of an answer that
/// takes too long only a part arrives.
class VirtualHttpStore : public HttpCaller {
public:
  explicit VirtualHttpStore(std::uint64_t Seed) : Generator_(Seed) {}

  auto call(HttpCall Call, std::function<void(HttpResult)> Done)
      -> void override;
  /// Executes and answers what is due by `Now`.
  auto advance(Micros Now) -> void;
  auto put(const std::string &Key, const std::string &Value) -> std::uint64_t;
  auto remove(const std::string &Key) -> std::uint64_t;
  auto dropHistory() -> void { OldestRevision_ = Revision_; }
  auto revision() const -> std::uint64_t { return Revision_; }

  std::size_t BytesPerMillisecond_ = 125000;
  bool WatchesHearNothing_ = false;
  bool EventsAreShuffled_ = false;
  bool AnswersAreLate_ = false;
  bool RangesAreStale_ = false;
  bool AnswersAreLost_ = false;
  bool CallsAreRefused_ = false;
  /// Whether the client is frozen: it takes its answers once it has thawed.
  bool ClientIsFrozen_ = false;

private:
  struct Version {
    std::string Key_;
    std::uint64_t Revision_ = 0;
    bool Removed_ = false;
    /// The value in base64.
    std::shared_ptr<const std::string> Value_;
  };
  using Items = std::map<std::string, Version>;
  struct Snapshot {
    Micros At_{};
    std::uint64_t Revision_ = 0;
    Items Items_;
  };

  auto draw(std::uint32_t Max) -> std::uint32_t {
    return std::uniform_int_distribution<std::uint32_t>(0, Max)(Generator_);
  }
  auto schedule(Micros At, std::function<void()> Action) -> void {
    Actions_.emplace(At, std::move(Action));
  }
  auto delay() -> Micros;
  /// Hands an answer to the client, or keeps it while the client is frozen.
  auto handOver(HttpResult Answer, std::function<void(HttpResult)> Done)
      -> void;
  auto execute(const HttpCall &Call, Micros Deadline,
               const std::function<void(HttpResult)> &Done) -> void;
  /// Sends an answer over the link.
  auto deliver(HttpResult Answer, Micros Deadline,
               const std::function<void(HttpResult)> &Done) -> void;
  auto answer(const HttpCall &Call) -> HttpResult;
  /// Lists one page of the items after a key.
  auto range(const std::string &Prefix, const std::string &After)
      -> std::string;
  auto watch(const std::string &Prefix, std::uint64_t After) -> std::string;
  auto transact(const std::string &Body) -> std::string;
  auto write(Version Written) -> std::uint64_t;
  static auto text(const Version &Each) -> std::string;

  std::mt19937_64 Generator_;
  Micros Now_{};
  std::multimap<Micros, std::function<void()>> Actions_;
  /// Answers that arrived while the client was frozen.
  std::vector<std::function<void()>> Untaken_;
  Micros LinkFreeAt_{};
  std::uint64_t Revision_ = 100;
  std::uint64_t OldestRevision_ = 0;
  Items Items_;
  std::vector<Version> History_;
  std::vector<Snapshot> Snapshots_;
};

} // namespace skylark::Fuzz
