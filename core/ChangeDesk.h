/// \file
/// Defines the operators' changes of configuration: compare-and-swap on the
/// head, settled after lost answers, answered once in force.
#pragma once

#include "core/EnvironmentView.h"

#include <deque>
#include <optional>

namespace skylark {

/// Carries out operators' changes one after the other.
class ChangeDesk {
public:
  ChangeDesk(EntryId Entry, Incarnation Number, StorePort &Store,
             const EnvironmentView &View);

  /// Queues a change of a document or of a data centre's state.
  auto submit(Moment Now, CallerToken Token, const CallerRequest &Request,
              EntryOutbox &Out) -> void;
  auto read(CallerToken Token, const GetDocument &Request) -> void;
  /// \param Missing tells who has not confirmed a revision; empty means in
  /// force.
  auto tick(Moment Now,
            const std::function<std::vector<std::string>(Revision)> &Missing,
            Duration OldGrantsLeft, EntryOutbox &Out) -> void;
  auto idle() const -> bool {
    return !Running_ && Queue_.empty() && Waiting_.empty();
  }

private:
  struct Change {
    CallerToken Token_ = 0;
    CallerRequest Request_;
    WriteId Write_;
    EnvironmentName Environment_;
    TimePoint GiveUpAt_{};
    bool Sent_ = false;
    std::optional<std::string> PromotedDigest_;
  };
  struct Waiting {
    CallerToken Token_ = 0;
    Revision Revision_ = 0;
    TimePoint GiveUpAt_{};
  };

  auto startNext() -> void;
  auto start() -> void;
  auto readHead() -> void;
  auto headRead(Moment Now, const StoreResult &Result, EntryOutbox &Out)
      -> void;
  auto readSource() -> void;
  auto swap(EnvironmentHead Next, std::uint64_t Index) -> void;
  auto writeDocument(EnvironmentHead Next, std::uint64_t Index) -> void;
  auto finish(Moment Now, Revision Made, EntryOutbox &Out) -> void;
  auto fail(ErrorKind Kind, std::string Detail, EntryOutbox &Out) -> void;
  auto retryOrGiveUp(Moment Now, EntryOutbox &Out) -> void;

  EntryId Entry_;
  Incarnation Incarnation_;
  StorePort &Store_;
  const EnvironmentView &View_;
  std::uint64_t NextWrite_ = 0;
  std::deque<Change> Queue_;
  std::optional<Change> Running_;
  std::vector<Waiting> Waiting_;
  bool RetryWanted_ = false;
};

} // namespace skylark
