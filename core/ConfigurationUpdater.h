/// \file
/// Defines how operators' configuration changes are applied: by
/// compare-and-swap on the environment's head, retried safely after a lost
/// answer, and answered once in force.
#pragma once

#include "core/EnvironmentView.h"

#include <deque>
#include <optional>

namespace skylark {

/// Applies operators' configuration changes one at a time.
class ConfigurationUpdater {
public:
  ConfigurationUpdater(EntryId Entry, Incarnation IncarnationNumber,
                       StoreClient &Store, const EnvironmentView &View);

  /// Queues a change to a document or to a data centre's state.
  auto submit(Moment Now, CallerToken Token, const CallerRequest &Request,
              EntryOutbox &Out) -> void;
  /// Reads an environment's current document and answers the caller.
  auto readDocument(CallerToken Token, const GetDocument &Request) -> void;
  /// Retries the running change if needed, and answers changes that are in
  /// force or whose confirmation timeout has passed.
  ///
  /// \param FindMissing returns the names of all that have not confirmed a
  /// revision yet; if there are none, the revision is in force.
  ///
  /// \param OldGrantsRemaining time until the last permit granted under an
  /// older revision ends.
  auto
  tick(Moment Now,
       const std::function<std::vector<std::string>(Revision)> &FindMissing,
       Duration OldGrantsRemaining, EntryOutbox &Out) -> void;
  auto idle() const -> bool {
    return !Running_ && Queue_.empty() && Unconfirmed_.empty();
  }

private:
  struct Change {
    CallerToken Token_ = 0;
    CallerRequest Request_;
    WriteId Write_;
    EnvironmentName Environment_;
    TimePoint Deadline_{};
    /// True once the swap of the head has been sent: it may have taken effect
    /// even if no answer arrives.
    bool SwapSent_ = false;
    /// True once the document is stored. A retry then swaps the head right
    /// after reading it, which leaves others less time to change it.
    bool DocumentStored_ = false;
    /// Digest of the promoted document, once the source head has been read.
    std::optional<std::string> PromotedDigest_;
  };
  /// A change stored in the head and not yet confirmed to be in force.
  struct UnconfirmedChange {
    CallerToken Token_ = 0;
    Revision Revision_ = 0;
    TimePoint Deadline_{};
  };

  auto startNext() -> void;
  /// Starts the running change, or starts it again for a retry.
  auto start() -> void;
  auto readHead() -> void;
  auto handleHead(Moment Now, const StoreResult &Result, EntryOutbox &Out)
      -> void;
  auto readSourceHead() -> void;
  auto swapHead(EnvironmentHead Next, std::uint64_t Index) -> void;
  auto writeDocument(EnvironmentHead Next, std::uint64_t Index) -> void;
  auto finish(Moment Now, Revision NewRevision, EntryOutbox &Out) -> void;
  auto fail(ErrorKind Kind, std::string Detail, EntryOutbox &Out) -> void;
  /// Schedules a retry for the next tick, or fails the change if its deadline
  /// has passed.
  auto retryOrFail(Moment Now, EntryOutbox &Out) -> void;

  EntryId Entry_;
  Incarnation Incarnation_;
  StoreClient &Store_;
  const EnvironmentView &View_;
  std::uint64_t WriteCount_ = 0;
  std::deque<Change> Queue_;
  std::optional<Change> Running_;
  std::vector<UnconfirmedChange> Unconfirmed_;
  bool RetryPending_ = false;
};

} // namespace skylark
