#include "core/LedgerWriter.h"

#include "core/Assert.h"
#include "core/Mutation.h"

#include <algorithm>
#include <utility>

namespace skylark {
namespace {

/// Size in bytes at which the active part of a head is sealed.
constexpr std::size_t SealSize = std::size_t{12} * 1024;
/// Size in bytes of one segment of a snapshot.
constexpr std::size_t SnapshotSegmentSize = std::size_t{256} * 1024;
/// Most records that one write takes.
constexpr std::size_t BatchLimit = 512;
/// Sealed segments at which the ledger is rewritten as a snapshot.
constexpr std::size_t CompactAt = 64;

auto splitSnapshot(std::vector<LedgerRecord> Records)
    -> std::deque<ShardSegment> {
  std::deque<ShardSegment> Segments;
  std::size_t Size = SnapshotSegmentSize;
  for (auto &Record : Records) {
    if (Size >= SnapshotSegmentSize) {
      Segments.emplace_back();
      Size = 0;
    }
    Size += recordSize(Record);
    Segments.back().Records_.push_back(std::move(Record));
  }
  return Segments;
}

auto sizeOf(const std::vector<LedgerRecord> &Records) -> std::size_t {
  std::size_t Size = 0;
  for (const auto &Record : Records)
    Size += recordSize(Record);
  return Size;
}

} // namespace

auto LedgerWriter::newWriteId() -> WriteId {
  return {Identity_.Entry_.Value_ + "." +
          std::to_string(Identity_.Incarnation_) + "." +
          std::to_string(Identity_.Shard_) + "." +
          std::to_string(++NextWrite_)};
}

auto LedgerWriter::take(TakeRule MayTake) -> void {
  if (Phase_ != Phase::Idle || CallOpen_)
    return;
  MayTake_ = std::move(MayTake);
  Phase_ = Phase::Reading;
  readHead();
}

auto LedgerWriter::readHead() -> void {
  CallOpen_ = true;
  Store_.call(ReadValue{shardHeadKey(Identity_.Environment_, Identity_.Shard_)},
              [this](Moment Now, const StoreResult &Result, EntryOutbox &) {
                CallOpen_ = false;
                headRead(Now, Result);
              });
}

auto LedgerWriter::headRead(Moment /*Now*/, const StoreResult &Result) -> void {
  if (Result.Status_ == StoreStatus::Unavailable) {
    Phase_ = Phase::Idle;
    return;
  }
  ShardHead Found;
  if (Result.Status_ == StoreStatus::Ok)
    Found = std::get<ShardHead>(Result.Value_);
  const auto OldGrants = MayTake_(Found);
  if (!OldGrants) {
    Phase_ = Phase::Idle;
    return;
  }
  HeadIndex_ = Result.Status_ == StoreStatus::Ok ? Result.Index_ : 0;
  SKYLARK_ASSERT(Found.Epoch_ >= Head_.Epoch_, "epoch went down:", Head_.Epoch_,
                 "to", Found.Epoch_);
  OldGrantsFor_ = withClockMargin(*OldGrants);
  auto Next = Found;
  ++Next.Epoch_;
  Next.Owner_ = Identity_.Entry_;
  Next.OwnerIncarnation_ = Identity_.Incarnation_;
  Next.OldGrantsFor_ = Millis{0};
  Next.Write_ = newWriteId();
  Phase_ = Phase::Taking;
  swapHead(Next);
}

auto LedgerWriter::swapHead(const ShardHead &Next) -> void {
  Swapping_ = Next;
  CallOpen_ = true;
  Store_.call(
      CompareAndSwap{shardHeadKey(Identity_.Environment_, Identity_.Shard_),
                     Next, HeadIndex_},
      [this](Moment Now, const StoreResult &Result, EntryOutbox &) {
        CallOpen_ = false;
        headSwapped(Now, Result);
      });
}

auto LedgerWriter::headSwapped(Moment Now, const StoreResult &Result) -> void {
  if (Result.Status_ == StoreStatus::Ok)
    swapSettled(Now, true, Result.Index_);
  else
    settleByReading();
}

auto LedgerWriter::settleByReading() -> void {
  CallOpen_ = true;
  Store_.call(ReadValue{shardHeadKey(Identity_.Environment_, Identity_.Shard_)},
              [this](Moment Now, const StoreResult &Result, EntryOutbox &) {
                CallOpen_ = false;
                settled(Now, Result);
              });
}

auto LedgerWriter::settled(Moment Now, const StoreResult &Result) -> void {
  if (Result.Status_ == StoreStatus::Unavailable) {
    settleByReading();
    return;
  }
  ShardHead Found;
  if (Result.Status_ == StoreStatus::Ok)
    Found = std::get<ShardHead>(Result.Value_);
  const auto Index = Result.Status_ == StoreStatus::Ok ? Result.Index_ : 0;
  if (Found.Write_ == Swapping_->Write_) {
    swapSettled(Now, true, Index);
    return;
  }
  if (Index != HeadIndex_ && isBroken(Mutation::WriteOnLeaseAlone)) {
    HeadIndex_ = Index;
    swapHead(ShardHead(*Swapping_));
    return;
  }
  if (Index != HeadIndex_) {
    swapSettled(Now, false, Index);
    return;
  }
  // The write has not taken effect yet, and may still do so. Sending the very
  // same write again is safe: whichever arrives first, the other one loses.
  swapHead(ShardHead(*Swapping_));
}

auto LedgerWriter::swapSettled(Moment Now, bool TookEffect, std::uint64_t Index)
    -> void {
  const auto Written = *std::exchange(Swapping_, std::nullopt);
  // An abandoned shard's last write settles nothing here.
  if (!TookEffect || Phase_ == Phase::Idle) {
    lose();
    return;
  }
  SKYLARK_ASSERT(Written.Epoch_ >= Head_.Epoch_,
                 "epoch went down:", Head_.Epoch_, "to", Written.Epoch_);
  Head_ = Written;
  HeadIndex_ = Index;
  if (Phase_ == Phase::Taking) {
    OldGrantsUntil_ = Now.Steady_ + OldGrantsFor_;
    if (isBroken(Mutation::SkipOldGrants))
      OldGrantsUntil_ = {};
    State_ = {};
    SegmentsLoaded_ = 0;
    Phase_ = Phase::Loading;
    loadNextSegment();
    return;
  }
  if (Head_.Owner_.empty()) {
    lose();
    return;
  }
  ++Commits_;
  ActiveSize_ = sizeOf(Head_.Active_);
  for (auto &Record : Batch_) {
    State_.apply(Record);
    Committed_.push_back(std::move(Record));
  }
  Batch_.clear();
  for (const auto &Segment : std::exchange(SegmentsToDelete_, {}))
    Store_.call(
        DeleteValue{
            segmentKey(Identity_.Environment_, Identity_.Shard_, Segment), 0},
        [](Moment, const StoreResult &, EntryOutbox &) {});
}

auto LedgerWriter::loadNextSegment() -> void {
  if (SegmentsLoaded_ < Head_.Segments_.size()) {
    CallOpen_ = true;
    Store_.call(ReadValue{segmentKey(Identity_.Environment_, Identity_.Shard_,
                                     Head_.Segments_[SegmentsLoaded_])},
                [this](Moment, const StoreResult &Result, EntryOutbox &) {
                  CallOpen_ = false;
                  segmentLoaded(Result);
                });
    return;
  }
  for (const auto &Record : Head_.Active_)
    State_.apply(Record);
  ActiveSize_ = sizeOf(Head_.Active_);
  Phase_ = Phase::Owning;
}

auto LedgerWriter::segmentLoaded(const StoreResult &Result) -> void {
  if (Result.Status_ == StoreStatus::NotFound) {
    // The segment was compacted away by a later owner.
    lose();
    return;
  }
  if (Result.Status_ == StoreStatus::Ok) {
    for (const auto &Record : std::get<ShardSegment>(Result.Value_).Records_)
      State_.apply(Record);
    ++SegmentsLoaded_;
  }
  loadNextSegment();
}

auto LedgerWriter::append(LedgerRecord Record) -> void {
  SKYLARK_ASSERT(Phase_ == Phase::Owning || Phase_ == Phase::Releasing,
                 "record for a shard that is not owned:", Identity_.Shard_);
  Pending_.push_back(std::move(Record));
}

auto LedgerWriter::withdraw(
    const std::function<bool(const LedgerRecord &)> &Matches) -> bool {
  for (auto Each = Pending_.begin(); Each != Pending_.end(); ++Each) {
    if (!Matches(*Each))
      continue;
    Pending_.erase(Each);
    return true;
  }
  return false;
}

auto LedgerWriter::release(Moment Now) -> void {
  if (Phase_ != Phase::Owning)
    return;
  Phase_ = Phase::Releasing;
  OldGrantsFor_ = std::max(Duration{0}, OldGrantsUntil_ - Now.Steady_);
}

auto LedgerWriter::advance() -> void {
  if (CallOpen_ || Swapping_ || !owning())
    return;
  if (VerifyWanted_) {
    readToVerify();
    return;
  }
  if (!Batch_.empty()) {
    writeNextSegment();
    return;
  }
  if (!Pending_.empty()) {
    startBatch();
    return;
  }
  if (Phase_ != Phase::Releasing)
    return;
  auto Next = Head_;
  Next.Owner_ = {};
  Next.OldGrantsFor_ = std::chrono::ceil<Millis>(OldGrantsFor_);
  Next.Write_ = newWriteId();
  swapHead(Next);
}

auto LedgerWriter::readToVerify() -> void {
  VerifyWanted_ = false;
  CallOpen_ = true;
  Store_.call(ReadValue{shardHeadKey(Identity_.Environment_, Identity_.Shard_)},
              [this](Moment, const StoreResult &Result, EntryOutbox &) {
                CallOpen_ = false;
                if (Result.Status_ == StoreStatus::Unavailable)
                  VerifyWanted_ = true;
                else if (Result.Index_ != HeadIndex_)
                  lose();
              });
}

auto LedgerWriter::startBatch() -> void {
  while (!Pending_.empty() && Batch_.size() < BatchLimit) {
    Batch_.push_back(std::move(Pending_.front()));
    Pending_.pop_front();
  }
  prepareSegments();
  writeNextSegment();
}

auto LedgerWriter::prepareSegments() -> void {
  SealNext_ = ActiveSize_ >= SealSize;
  if (!SealNext_)
    return;
  if (Head_.Segments_.size() >= CompactAt) {
    SegmentsToDelete_ = Head_.Segments_;
    NextSegments_.clear();
    SegmentsToWrite_ = splitSnapshot(State_.snapshot());
    return;
  }
  NextSegments_ = Head_.Segments_;
  SegmentsToWrite_.push_back(ShardSegment{Head_.Active_});
}

auto LedgerWriter::writeNextSegment() -> void {
  if (SegmentsToWrite_.empty()) {
    swapHead(nextHead());
    return;
  }
  const auto Segment = newWriteId();
  CallOpen_ = true;
  Store_.call(
      WriteValue{segmentKey(Identity_.Environment_, Identity_.Shard_, Segment),
                 SegmentsToWrite_.front()},
      [this, Segment](Moment, const StoreResult &Result, EntryOutbox &) {
        CallOpen_ = false;
        // The shard may have been abandoned meanwhile.
        if (!owning())
          return;
        if (Result.Status_ == StoreStatus::Ok) {
          NextSegments_.push_back(Segment);
          SegmentsToWrite_.pop_front();
        }
        advance();
      });
}

auto LedgerWriter::nextHead() -> ShardHead {
  auto Next = Head_;
  Next.Write_ = newWriteId();
  if (SealNext_) {
    Next.Segments_ = NextSegments_;
    Next.Active_.clear();
    SealNext_ = false;
  }
  Next.Active_.insert(Next.Active_.end(), Batch_.begin(), Batch_.end());
  return Next;
}

auto LedgerWriter::lose() -> void {
  Phase_ = Phase::Idle;
  VerifyWanted_ = false;
  Pending_.clear();
  Batch_.clear();
  SegmentsToWrite_.clear();
  SegmentsToDelete_.clear();
  SealNext_ = false;
  Committed_.clear();
}

auto LedgerWriter::takeCommitted() -> std::vector<LedgerRecord> {
  return std::exchange(Committed_, {});
}

} // namespace skylark
