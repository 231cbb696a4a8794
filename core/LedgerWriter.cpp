#include "core/LedgerWriter.h"

#include "core/Assert.h"
#include "core/EncodedSize.h"
#include "core/Mutation.h"

#include <algorithm>
#include <utility>

namespace skylark {
namespace {

/// Size, in bytes, at which a segment of a snapshot is full.
constexpr std::size_t SnapshotSegmentSize = std::size_t{256} * 1024;
/// Size, in bytes, above which a commit takes no further record. Larger values
/// take long on the links of small instances.
constexpr std::size_t CommitSize = std::size_t{256} * 1024;
/// Most bytes that a segment adds to its records.
constexpr std::size_t SegmentOverhead = 32;
/// A new snapshot is due once the commits after the last snapshot are as large
/// as that snapshot and at least MinCompactionSize bytes, or once there are
/// MaxCommitsBeforeCompaction of them.
constexpr std::size_t MinCompactionSize = std::size_t{1024} * 1024;
constexpr CommitNumber MaxCommitsBeforeCompaction = 3000;
/// How often, and how long after an answer that lacked a part of the ledger,
/// the part is read again. An answer may be some seconds old.
constexpr int MaxMissingParts = 25;
constexpr Millis LoadRetryInterval{200};

auto splitSnapshot(std::vector<LedgerRecord> Records, std::size_t MaxSize)
    -> std::deque<ShardSegment> {
  std::deque<ShardSegment> Segments;
  std::size_t Size = 0;
  for (auto &Record : Records) {
    const auto RecordSize = encodedSize(Record);
    if (Segments.empty() || Size + RecordSize > MaxSize) {
      Segments.emplace_back();
      Size = 0;
    }
    Size += RecordSize;
    Segments.back().Records_.push_back(std::move(Record));
  }
  return Segments;
}

auto sizeOf(const std::vector<LedgerRecord> &Records) -> std::size_t {
  std::size_t Size = 0;
  for (const auto &Record : Records)
    Size += encodedSize(Record);
  return Size;
}

} // namespace

auto LedgerWriter::newWriteId() -> WriteId {
  return {Identity_.Entry_.Value_ + "." +
          std::to_string(Identity_.Incarnation_) + "." +
          std::to_string(Identity_.Shard_) + "." +
          std::to_string(++WritesIssued_)};
}

auto LedgerWriter::acquire(AcquireRule Rule) -> void {
  if (Phase_ != Phase::Idle || CallInFlight_)
    return;
  AcquireRule_ = std::move(Rule);
  Phase_ = Phase::Reading;
  readHead();
}

auto LedgerWriter::readHead() -> void {
  CallInFlight_ = true;
  Store_.call(ReadValue{shardHeadKey(Identity_.Environment_, Identity_.Shard_)},
              [this](Moment Now, const StoreResult &Result, EntryOutbox &) {
                CallInFlight_ = false;
                handleHeadRead(Now, Result);
              });
}

auto LedgerWriter::handleHeadRead(Moment /*Now*/, const StoreResult &Result)
    -> void {
  if (Result.Status_ == StoreStatus::Unavailable) {
    Phase_ = Phase::Idle;
    return;
  }
  ShardHead Found;
  if (Result.Status_ == StoreStatus::Ok)
    Found = std::get<ShardHead>(Result.Value_);
  const auto OldGrantsRemaining = AcquireRule_(Found);
  if (!OldGrantsRemaining) {
    Phase_ = Phase::Idle;
    return;
  }
  HeadIndex_ = Result.Status_ == StoreStatus::Ok ? Result.Index_ : 0;
  SKYLARK_ASSERT(Found.Epoch_ >= Head_.Epoch_, "epoch decreased:", Head_.Epoch_,
                 "to", Found.Epoch_);
  OldGrantsRemaining_ = withClockMargin(*OldGrantsRemaining);
  auto Next = Found;
  ++Next.Epoch_;
  Next.Owner_ = Identity_.Entry_;
  Next.OwnerIncarnation_ = Identity_.Incarnation_;
  Next.OldGrantsRemaining_ = Millis{0};
  Next.Write_ = newWriteId();
  Phase_ = Phase::Acquiring;
  swapHead(Next);
}

auto LedgerWriter::swapHead(const ShardHead &Next) -> void {
  InFlightHead_ = Next;
  CallInFlight_ = true;
  CompareAndSwap Swap{shardHeadKey(Identity_.Environment_, Identity_.Shard_),
                      Next, HeadIndex_};
  // A commit writes only a small head and the new records, so its cost doesn't
  // grow with the ledger.
  if (!Batch_.empty())
    Swap.AdditionalWrite_ = WriteValue{
        commitKey(Identity_.Environment_, Identity_.Shard_, Head_.NextCommit_),
        ShardSegment{Head_.NextCommit_, Batch_}};
  Store_.call(std::move(Swap),
              [this](Moment Now, const StoreResult &Result, EntryOutbox &) {
                CallInFlight_ = false;
                handleSwapResult(Now, Result);
              });
}

auto LedgerWriter::handleSwapResult(Moment Now, const StoreResult &Result)
    -> void {
  WriteRefused_ = Result.Status_ == StoreStatus::Refused &&
                  !isMutationActive(Mutation::UnlimitedCommits);
  if (Result.Status_ == StoreStatus::Ok)
    swapResolved(Now, true, Result.Index_);
  else if (Result.Status_ == StoreStatus::Conflict &&
           isMutationActive(Mutation::TrustConflicts))
    giveUpWrite();
  else
    readBackHead();
}

auto LedgerWriter::readBackHead() -> void {
  CallInFlight_ = true;
  Store_.call(ReadValue{shardHeadKey(Identity_.Environment_, Identity_.Shard_)},
              [this](Moment Now, const StoreResult &Result, EntryOutbox &) {
                CallInFlight_ = false;
                handleHeadReadBack(Now, Result);
              });
}

auto LedgerWriter::handleHeadReadBack(Moment Now, const StoreResult &Result)
    -> void {
  if (Result.Status_ == StoreStatus::Unavailable) {
    readBackHead();
    return;
  }
  ShardHead Found;
  if (Result.Status_ == StoreStatus::Ok)
    Found = std::get<ShardHead>(Result.Value_);
  const auto Index = Result.Status_ == StoreStatus::Ok ? Result.Index_ : 0;
  if (Found.Write_ == InFlightHead_->Write_) {
    swapResolved(Now, true, Index);
    return;
  }
  if (Index != HeadIndex_ && isMutationActive(Mutation::FenceByLeaseOnly)) {
    HeadIndex_ = Index;
    swapHead(ShardHead(*InFlightHead_));
    return;
  }
  // A write for an abandoned shard isn't repeated: the compare-and-swap of the
  // next owner decides whether it takes effect.
  if (Index != HeadIndex_ || Phase_ == Phase::Idle) {
    swapResolved(Now, false, Index);
    return;
  }
  if (WriteRefused_) {
    giveUpWrite();
    return;
  }
  // The write has not taken effect yet and may still do so. Sending the same
  // write again is safe: only the first of them to arrive can succeed.
  swapHead(ShardHead(*InFlightHead_));
}

auto LedgerWriter::swapResolved(Moment Now, bool TookEffect,
                                std::uint64_t Index) -> void {
  const auto WrittenHead = *std::exchange(InFlightHead_, std::nullopt);
  // Idle: the shard was abandoned while the write was in flight.
  if (!TookEffect || Phase_ == Phase::Idle) {
    loseOwnership(OwnershipLoss::HeadReplaced);
    return;
  }
  SKYLARK_ASSERT(WrittenHead.Epoch_ >= Head_.Epoch_,
                 "epoch decreased:", Head_.Epoch_, "to", WrittenHead.Epoch_);
  const auto PreviousHead = std::exchange(Head_, WrittenHead);
  HeadIndex_ = Index;
  if (Phase_ == Phase::Acquiring) {
    OldGrantsUntil_ = Now.Steady_ + OldGrantsRemaining_;
    if (isMutationActive(Mutation::SkipOldGrantsWait))
      OldGrantsUntil_ = {};
    State_ = {};
    SegmentsLoaded_ = 0;
    CommitsLoaded_ = 0;
    MissingParts_ = 0;
    LoadRetryAt_.reset();
    SnapshotSize_ = 0;
    CommitsSize_ = 0;
    Phase_ = Phase::Loading;
    loadSnapshot();
    return;
  }
  if (Head_.Owner_.empty()) {
    loseOwnership(OwnershipLoss::Released);
    return;
  }
  applyCommittedBatch();
  finishSnapshot(PreviousHead);
}

auto LedgerWriter::applyCommittedBatch() -> void {
  ++Commits_;
  MaxBatch_ = MaxRecordsPerCommit;
  for (auto &Record : Batch_) {
    countQueued(Record, false);
    CommitsSize_ += encodedSize(Record);
    State_.apply(Record);
    Committed_.push_back(std::move(Record));
  }
  Batch_.clear();
}

auto LedgerWriter::loadSnapshot() -> void {
  if (SegmentsLoaded_ >= Head_.Segments_.size()) {
    loadCommits();
    return;
  }
  CallInFlight_ = true;
  Store_.call(ReadValue{segmentKey(Identity_.Environment_, Identity_.Shard_,
                                   Head_.Segments_[SegmentsLoaded_])},
              [this](Moment, const StoreResult &Result, EntryOutbox &) {
                CallInFlight_ = false;
                if (Result.Status_ == StoreStatus::NotFound) {
                  handleMissingPart(OwnershipLoss::SnapshotPartMissing);
                  return;
                }
                if (Result.Status_ == StoreStatus::Ok) {
                  const auto &Part = std::get<ShardSegment>(Result.Value_);
                  for (const auto &Record : Part.Records_)
                    State_.apply(Record);
                  SnapshotSize_ += sizeOf(Part.Records_);
                  ++SegmentsLoaded_;
                  MissingParts_ = 0;
                }
                loadSnapshot();
              });
}

auto LedgerWriter::loadCommits() -> void {
  const auto Next = Head_.FirstCommit_ + CommitsLoaded_;
  if (Next == Head_.NextCommit_) {
    Phase_ = Phase::Owning;
    return;
  }
  CallInFlight_ = true;
  Store_.call(
      ReadSegments{
          commitPrefix(Identity_.Environment_, Identity_.Shard_),
          commitKey(Identity_.Environment_, Identity_.Shard_, Next - 1)},
      [this](Moment, const StoreResult &Result, EntryOutbox &) {
        CallInFlight_ = false;
        handleCommitsRead(Result);
      });
}

auto LedgerWriter::handleCommitsRead(const StoreResult &Result) -> void {
  if (Result.Status_ == StoreStatus::Unavailable) {
    loadCommits();
    return;
  }
  const auto LoadedBefore = CommitsLoaded_;
  for (const auto &Each : Result.Segments_) {
    const auto Next = Head_.FirstCommit_ + CommitsLoaded_;
    // Commits of a later owner may follow. They are not part of this epoch, and
    // that owner's compare-and-swap has ended this writer's ownership.
    if (Each.Commit_ != Next || Next == Head_.NextCommit_)
      break;
    for (const auto &Record : Each.Records_)
      State_.apply(Record);
    CommitsSize_ += sizeOf(Each.Records_);
    ++CommitsLoaded_;
  }
  if (CommitsLoaded_ == LoadedBefore) {
    handleMissingPart(OwnershipLoss::CommitMissing);
    return;
  }
  MissingParts_ = 0;
  loadCommits();
}

auto LedgerWriter::handleMissingPart(OwnershipLoss Reason) -> void {
  CallInFlight_ = true;
  Store_.call(
      ReadValue{shardHeadKey(Identity_.Environment_, Identity_.Shard_)},
      [this, Reason](Moment Now, const StoreResult &Result, EntryOutbox &) {
        CallInFlight_ = false;
        if (Result.Status_ == StoreStatus::Unavailable) {
          handleMissingPart(Reason);
          return;
        }
        // An answer from before this writer's own head proves nothing.
        const auto IsOld =
            Result.Status_ == StoreStatus::Ok && Result.Index_ < HeadIndex_;
        if (!IsOld && Result.Index_ != HeadIndex_)
          loseOwnership(OwnershipLoss::HeadReplaced);
        else if (++MissingParts_ > MaxMissingParts)
          loseOwnership(Reason);
        else
          LoadRetryAt_ = Now.Steady_ + LoadRetryInterval;
      });
}

auto LedgerWriter::retryLoad(Moment Now) -> void {
  if (Phase_ != Phase::Loading || !LoadRetryAt_ || Now.Steady_ < *LoadRetryAt_)
    return;
  LoadRetryAt_.reset();
  loadSnapshot();
}

auto LedgerWriter::append(LedgerRecord Record) -> void {
  SKYLARK_ASSERT(
      Phase_ == Phase::Owning || Phase_ == Phase::Releasing,
      "record appended to a shard that is not owned:", Identity_.Shard_);
  ++Appended_;
  countQueued(Record, true);
  Pending_.push_back(std::move(Record));
}

auto LedgerWriter::countQueued(const LedgerRecord &Record, bool Added) -> void {
  const auto Size = encodedSize(Record);
  QueuedSize_ = Added ? QueuedSize_ + Size : QueuedSize_ - Size;
}

auto LedgerWriter::maxRecordSize() const -> std::size_t {
  return Store_.maxValueSize() - SegmentOverhead;
}

auto LedgerWriter::withdraw(
    const std::function<bool(const LedgerRecord &)> &Matches) -> bool {
  for (auto Each = Pending_.begin(); Each != Pending_.end(); ++Each) {
    if (!Matches(*Each))
      continue;
    countQueued(*Each, false);
    Pending_.erase(Each);
    return true;
  }
  return false;
}

auto LedgerWriter::release(Moment Now) -> void {
  if (Phase_ != Phase::Owning)
    return;
  Phase_ = Phase::Releasing;
  OldGrantsRemaining_ = std::max(Duration{0}, OldGrantsUntil_ - Now.Steady_);
}

auto LedgerWriter::advance() -> void {
  if (!owning())
    return;
  writeNextSegment();
  if (CallInFlight_ || InFlightHead_)
    return;
  // Verifications and writes take turns, so that neither can hold up the other.
  const auto HasWrite = !Pending_.empty() || Phase_ == Phase::Releasing;
  if (VerifyRequested_ && !(VerifiedLast_ && HasWrite)) {
    VerifiedLast_ = true;
    readToVerify();
    return;
  }
  VerifiedLast_ = false;
  if (!Pending_.empty()) {
    startBatch();
    return;
  }
  if (Phase_ != Phase::Releasing)
    return;
  auto Next = Head_;
  Next.Owner_ = {};
  Next.OldGrantsRemaining_ = std::chrono::ceil<Millis>(OldGrantsRemaining_);
  Next.Write_ = newWriteId();
  swapHead(Next);
}

auto LedgerWriter::readToVerify() -> void {
  VerifyRequested_ = false;
  CallInFlight_ = true;
  const auto Number = ++VerificationsStarted_;
  Store_.call(ReadValue{shardHeadKey(Identity_.Environment_, Identity_.Shard_)},
              [this, Number](Moment, const StoreResult &Result, EntryOutbox &) {
                CallInFlight_ = false;
                if (Result.Status_ == StoreStatus::Unavailable)
                  VerifyRequested_ = true;
                else if (Result.Index_ != HeadIndex_)
                  loseOwnership(OwnershipLoss::HeadReplaced);
                else
                  LastVerification_ = Number;
              });
}

auto LedgerWriter::startBatch() -> void {
  const auto MaxSize = isMutationActive(Mutation::UnlimitedCommits)
                           ? std::numeric_limits<std::size_t>::max()
                           : std::min(CommitSize, maxRecordSize());
  std::size_t Size = 0;
  while (!Pending_.empty() && Batch_.size() < MaxBatch_) {
    const auto RecordSize = encodedSize(Pending_.front());
    if (!Batch_.empty() && Size + RecordSize > MaxSize)
      break;
    Size += RecordSize;
    Batch_.push_back(std::move(Pending_.front()));
    Pending_.pop_front();
  }
  swapHead(nextHead());
}

auto LedgerWriter::giveUpWrite() -> void {
  InFlightHead_.reset();
  WriteRefused_ = false;
  if (Phase_ == Phase::Acquiring || Batch_.empty()) {
    loseOwnership(OwnershipLoss::WriteRefused);
    return;
  }
  if (Batch_.size() == 1) {
    countQueued(Batch_.front(), false);
    Refused_.push_back(std::move(Batch_.front()));
  } else {
    MaxBatch_ = Batch_.size() / 2;
    Pending_.insert(Pending_.begin(), std::make_move_iterator(Batch_.begin()),
                    std::make_move_iterator(Batch_.end()));
  }
  Batch_.clear();
}

auto LedgerWriter::nextHead() -> ShardHead {
  auto Next = Head_;
  Next.Write_ = newWriteId();
  ++Next.NextCommit_;
  const auto SnapshotWritten = Snapshot_ && Snapshot_->PendingSegments_.empty();
  if (SnapshotWritten) {
    Next.Segments_ = Snapshot_->WrittenSegments_;
    Next.FirstCommit_ = Snapshot_->EndCommit_;
  }
  return Next;
}

// Snapshots.

auto LedgerWriter::startSnapshotIfDue() -> void {
  const auto Commits = Head_.NextCommit_ - Head_.FirstCommit_;
  const auto Due = CommitsSize_ >= std::max(MinCompactionSize, SnapshotSize_) ||
                   Commits >= MaxCommitsBeforeCompaction;
  if (Snapshot_ || !Due || Head_.NextCommit_ < NextSnapshotCommit_)
    return;
  const auto MaxSize = std::min(SnapshotSegmentSize, maxRecordSize());
  auto Records = State_.snapshot(MaxSize - SegmentOverhead);
  Snapshot_.emplace();
  Snapshot_->EndCommit_ = Head_.NextCommit_;
  Snapshot_->Size_ = sizeOf(Records);
  Snapshot_->PendingSegments_ = splitSnapshot(std::move(Records), MaxSize);
  CommitsSize_ = 0;
}

auto LedgerWriter::writeNextSegment() -> void {
  startSnapshotIfDue();
  if (!Snapshot_ || Snapshot_->PendingSegments_.empty() ||
      !Snapshot_->InFlightSegment_.empty())
    return;
  const auto Segment = newWriteId();
  Snapshot_->InFlightSegment_ = Segment;
  Store_.call(
      WriteValue{segmentKey(Identity_.Environment_, Identity_.Shard_, Segment),
                 Snapshot_->PendingSegments_.front()},
      [this, Segment](Moment, const StoreResult &Result, EntryOutbox &) {
        // Ownership may have been lost, and acquired again, since the call.
        if (!Snapshot_ || Snapshot_->InFlightSegment_ != Segment)
          return;
        Snapshot_->InFlightSegment_ = {};
        if (Result.Status_ == StoreStatus::Ok) {
          Snapshot_->WrittenSegments_.push_back(Segment);
          Snapshot_->PendingSegments_.pop_front();
        }
        // The commits remain; another snapshot is tried after some more.
        if (Result.Status_ == StoreStatus::Refused) {
          NextSnapshotCommit_ = Head_.NextCommit_ + MaxCommitsBeforeCompaction;
          Snapshot_.reset();
        }
        advance();
      });
}

auto LedgerWriter::finishSnapshot(const ShardHead &PreviousHead) -> void {
  if (!Snapshot_ || Head_.FirstCommit_ != Snapshot_->EndCommit_)
    return;
  SnapshotSize_ = Snapshot_->Size_;
  Snapshot_.reset();
  for (const auto &Segment : PreviousHead.Segments_)
    Store_.call(
        DeleteValue{
            segmentKey(Identity_.Environment_, Identity_.Shard_, Segment), 0},
        [](Moment, const StoreResult &, EntryOutbox &) {});
  removeCommits(PreviousHead.FirstCommit_, Head_.FirstCommit_);
}

auto LedgerWriter::removeCommits(CommitNumber From, CommitNumber To) -> void {
  while (From < To) {
    DeleteValues Removal;
    for (; From < To && Removal.Keys_.size() < MaxKeysPerCall; ++From)
      Removal.Keys_.push_back(
          commitKey(Identity_.Environment_, Identity_.Shard_, From));
    Store_.call(std::move(Removal),
                [](Moment, const StoreResult &, EntryOutbox &) {});
  }
}

auto LedgerWriter::loadProgress() const -> std::string {
  return std::to_string(SegmentsLoaded_) + " of " +
         std::to_string(Head_.Segments_.size()) + " snapshot parts, " +
         std::to_string(CommitsLoaded_) + " of " +
         std::to_string(Head_.NextCommit_ - Head_.FirstCommit_) + " commits";
}

auto LedgerWriter::loseOwnership(OwnershipLoss Reason) -> void {
  if (Phase_ != Phase::Idle)
    Loss_ = Reason;
  Phase_ = Phase::Idle;
  VerifyRequested_ = false;
  Pending_.clear();
  Batch_.clear();
  QueuedSize_ = 0;
  MaxBatch_ = MaxRecordsPerCommit;
  NextSnapshotCommit_ = 0;
  Snapshot_.reset();
  Committed_.clear();
  Refused_.clear();
}

auto LedgerWriter::takeCommitted() -> std::vector<LedgerRecord> {
  return std::exchange(Committed_, {});
}

auto LedgerWriter::takeRefused() -> std::vector<LedgerRecord> {
  return std::exchange(Refused_, {});
}

} // namespace skylark
