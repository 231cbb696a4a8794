#include "core/ConfigurationUpdater.h"

#include <algorithm>
#include <utility>

namespace skylark {
namespace {

/// Time after submission during which a change is retried.
constexpr Millis ChangeTimeout{8000};
/// Time after a change was stored at which the caller is answered even if
/// confirmations are missing.
constexpr Millis ConfirmationTimeout{6000};
constexpr std::size_t MaxQueuedChanges = 256;
/// Number of writes kept in the head, by which a retry recognises that an
/// earlier attempt has taken effect.
constexpr std::size_t MaxRecentWrites = 32;

auto environmentOf(const CallerRequest &Request,
                   const EnvironmentName &OwnEnvironment) -> EnvironmentName {
  if (const auto *Put = std::get_if<PutDocument>(&Request))
    return Put->Environment_;
  if (const auto *Promote = std::get_if<PromoteDocument>(&Request))
    return Promote->To_;
  return OwnEnvironment;
}

/// \returns false if the data centre is already in the requested state.
auto setOutOfService(EnvironmentHead &Head, const SetDataCentreState &Requested)
    -> bool {
  const auto Found =
      std::find(Head.DataCentresOut_.begin(), Head.DataCentresOut_.end(),
                Requested.DataCentre_);
  const auto IsOut = Found != Head.DataCentresOut_.end();
  if (IsOut == Requested.OutOfService_)
    return false;
  if (Requested.OutOfService_)
    Head.DataCentresOut_.push_back(Requested.DataCentre_);
  else
    Head.DataCentresOut_.erase(Found);
  return true;
}

} // namespace

ConfigurationUpdater::ConfigurationUpdater(EntryId Entry,
                                           Incarnation IncarnationNumber,
                                           StoreClient &Store,
                                           const EnvironmentView &View)
    : Entry_(std::move(Entry)), Incarnation_(IncarnationNumber), Store_(Store),
      View_(View) {}

auto ConfigurationUpdater::submit(Moment Now, CallerToken Token,
                                  const CallerRequest &Request,
                                  EntryOutbox &Out) -> void {
  if (Queue_.size() >= MaxQueuedChanges) {
    Out.push_back(AnswerCaller{
        Token, ErrorReply{ErrorKind::QueueFull, "changes waiting", {}}});
    return;
  }
  const auto *DataCentreChange = std::get_if<SetDataCentreState>(&Request);
  if (DataCentreChange != nullptr &&
      !View_.configuration().Document_.hasDataCentre(
          DataCentreChange->DataCentre_)) {
    Out.push_back(
        AnswerCaller{Token, ErrorReply{ErrorKind::UnknownDataCentre,
                                       DataCentreChange->DataCentre_.Value_,
                                       {}}});
    return;
  }
  Change Added;
  Added.Token_ = Token;
  Added.Request_ = Request;
  Added.Write_ = {Entry_.Value_ + "." + std::to_string(Incarnation_) + "." +
                  std::to_string(++WriteCount_)};
  Added.Environment_ = environmentOf(Request, View_.environment());
  Added.Deadline_ = Now.Steady_ + ChangeTimeout;
  Queue_.push_back(std::move(Added));
  startNext();
}

auto ConfigurationUpdater::startNext() -> void {
  if (Running_ || Queue_.empty())
    return;
  Running_ = std::move(Queue_.front());
  Queue_.pop_front();
  start();
}

auto ConfigurationUpdater::start() -> void {
  const auto IsPromotion =
      std::holds_alternative<PromoteDocument>(Running_->Request_);
  if (IsPromotion && !Running_->PromotedDigest_)
    readSourceHead();
  else
    readHead();
}

auto ConfigurationUpdater::readSourceHead() -> void {
  const auto From = std::get<PromoteDocument>(Running_->Request_).From_;
  Store_.call(
      ReadValue{headKey(From)},
      [this, From](Moment Now, const StoreResult &Result, EntryOutbox &Out) {
        if (Result.Status_ == StoreStatus::Unavailable) {
          retryOrFail(Now, Out);
          return;
        }
        if (Result.Status_ != StoreStatus::Ok) {
          fail(ErrorKind::UnknownEnvironment, From.Value_, Out);
          return;
        }
        Running_->PromotedDigest_ =
            std::get<EnvironmentHead>(Result.Value_).DocumentDigest_;
        readHead();
      });
}

auto ConfigurationUpdater::readHead() -> void {
  Store_.call(ReadValue{headKey(Running_->Environment_)},
              [this](Moment Now, const StoreResult &Result, EntryOutbox &Out) {
                handleHead(Now, Result, Out);
              });
}

auto ConfigurationUpdater::handleHead(Moment Now, const StoreResult &Result,
                                      EntryOutbox &Out) -> void {
  if (Result.Status_ == StoreStatus::Unavailable) {
    retryOrFail(Now, Out);
    return;
  }
  EnvironmentHead Head;
  if (Result.Status_ == StoreStatus::Ok)
    Head = std::get<EnvironmentHead>(Result.Value_);
  const auto Index = Result.Status_ == StoreStatus::Ok ? Result.Index_ : 0;
  // An earlier attempt at this change may have taken effect although its answer
  // was lost.
  if (const auto NewRevision = Head.revisionOf(Running_->Write_)) {
    finish(Now, NewRevision, Out);
    return;
  }
  auto Next = Head;
  ++Next.Revision_;
  Next.RecentWrites_.push_back({Running_->Write_, Next.Revision_});
  if (Next.RecentWrites_.size() > MaxRecentWrites)
    Next.RecentWrites_.erase(Next.RecentWrites_.begin());
  if (const auto *Put = std::get_if<PutDocument>(&Running_->Request_)) {
    if (Put->ExpectedRevision_ != Head.DocumentRevision_) {
      fail(ErrorKind::RevisionConflict,
           "the document is at revision " +
               std::to_string(Head.DocumentRevision_) + ", not " +
               std::to_string(Put->ExpectedRevision_),
           Out);
      return;
    }
    Next.DocumentRevision_ = Next.Revision_;
    Next.DocumentDigest_ = digestText(Put->Document_.Text_);
    if (Running_->DocumentStored_)
      swapHead(std::move(Next), Index);
    else
      writeDocument(std::move(Next), Index);
    return;
  }
  if (const auto *DataCentreChange =
          std::get_if<SetDataCentreState>(&Running_->Request_)) {
    if (!setOutOfService(Next, *DataCentreChange)) {
      finish(Now, Head.Revision_, Out);
      return;
    }
  }
  if (Running_->PromotedDigest_) {
    Next.DocumentRevision_ = Next.Revision_;
    Next.DocumentDigest_ = *Running_->PromotedDigest_;
  }
  swapHead(std::move(Next), Index);
}

auto ConfigurationUpdater::writeDocument(EnvironmentHead Next,
                                         std::uint64_t Index) -> void {
  const auto &Requested = std::get<PutDocument>(Running_->Request_).Document_;
  // Documents are stored under their digest, so a conflict means that the same
  // document is stored already.
  const auto Key = documentKey(Next.DocumentDigest_);
  Store_.call(CompareAndSwap{Key, Requested, 0},
              [this, Next = std::move(Next),
               Index](Moment Now, const StoreResult &Result, EntryOutbox &Out) {
                if (Result.Status_ == StoreStatus::Unavailable) {
                  retryOrFail(Now, Out);
                  return;
                }
                if (Result.Status_ == StoreStatus::Refused) {
                  fail(ErrorKind::DocumentInvalid,
                       "the store refuses the document", Out);
                  return;
                }
                Running_->DocumentStored_ = true;
                swapHead(Next, Index);
              });
}

auto ConfigurationUpdater::swapHead(EnvironmentHead Next, std::uint64_t Index)
    -> void {
  Running_->SwapSent_ = true;
  const auto NewRevision = Next.Revision_;
  Store_.call(
      CompareAndSwap{headKey(Running_->Environment_), std::move(Next), Index},
      [this, NewRevision](Moment Now, const StoreResult &Result,
                          EntryOutbox &Out) {
        if (Result.Status_ == StoreStatus::Ok)
          finish(Now, NewRevision, Out);
        else if (Result.Status_ == StoreStatus::Refused)
          fail(ErrorKind::DocumentInvalid, "the store refuses the head", Out);
        else
          retryOrFail(Now, Out);
      });
}

auto ConfigurationUpdater::retryOrFail(Moment Now, EntryOutbox &Out) -> void {
  if (Now.Steady_ < Running_->Deadline_) {
    RetryPending_ = true;
    return;
  }
  const auto Kind = Running_->SwapSent_ ? ErrorKind::OutcomeUnknown
                                        : ErrorKind::StoreUnavailable;
  fail(Kind, "the key-value service did not answer", Out);
}

auto ConfigurationUpdater::finish(Moment Now, Revision NewRevision,
                                  EntryOutbox &Out) -> void {
  const auto Finished = *std::exchange(Running_, std::nullopt);
  Out.push_back(LogDecision{"configuration-changed",
                            Finished.Environment_.Value_, NewRevision,
                            ErrorKind::None, ""});
  if (Finished.Environment_ == View_.environment()) {
    Unconfirmed_.push_back(
        {Finished.Token_, NewRevision, Now.Steady_ + ConfirmationTimeout});
  } else {
    ChangeReply Reply;
    Reply.Revision_ = NewRevision;
    Reply.Missing_ = {"entries of the environment " +
                      Finished.Environment_.Value_};
    Out.push_back(AnswerCaller{Finished.Token_, std::move(Reply)});
  }
  startNext();
}

auto ConfigurationUpdater::fail(ErrorKind Kind, std::string Detail,
                                EntryOutbox &Out) -> void {
  const auto Failed = *std::exchange(Running_, std::nullopt);
  Out.push_back(
      AnswerCaller{Failed.Token_, ErrorReply{Kind, std::move(Detail), {}}});
  startNext();
}

auto ConfigurationUpdater::readDocument(CallerToken Token,
                                        const GetDocument &Request) -> void {
  Store_.call(
      ReadValue{headKey(Request.Environment_)},
      [this, Token, Request](Moment, const StoreResult &Result,
                             EntryOutbox &Out) {
        const auto Kind = Result.Status_ == StoreStatus::Unavailable
                              ? ErrorKind::StoreUnavailable
                              : ErrorKind::UnknownEnvironment;
        if (Result.Status_ != StoreStatus::Ok) {
          Out.push_back(AnswerCaller{
              Token, ErrorReply{Kind, Request.Environment_.Value_, {}}});
          return;
        }
        const auto Head = std::get<EnvironmentHead>(Result.Value_);
        Store_.call(
            ReadValue{documentKey(Head.DocumentDigest_)},
            [Token, Head](Moment, const StoreResult &Found,
                          EntryOutbox &AnswerOut) {
              if (Found.Status_ != StoreStatus::Ok) {
                AnswerOut.push_back(AnswerCaller{
                    Token,
                    ErrorReply{ErrorKind::StoreUnavailable, "document", {}}});
                return;
              }
              AnswerOut.push_back(AnswerCaller{
                  Token,
                  DocumentReply{Head.DocumentRevision_,
                                std::get<Document>(Found.Value_).Text_}});
            });
      });
}

auto ConfigurationUpdater::tick(
    Moment Now,
    const std::function<std::vector<std::string>(Revision)> &FindMissing,
    Duration OldGrantsRemaining, EntryOutbox &Out) -> void {
  if (Running_ && std::exchange(RetryPending_, false))
    start();
  for (auto Each = Unconfirmed_.begin(); Each != Unconfirmed_.end();) {
    auto StillMissing = FindMissing(Each->Revision_);
    if (!StillMissing.empty() && Now.Steady_ < Each->Deadline_) {
      ++Each;
      continue;
    }
    ChangeReply Reply;
    Reply.Revision_ = Each->Revision_;
    Reply.InForce_ = StillMissing.empty();
    Reply.Missing_ = std::move(StillMissing);
    if (!Reply.InForce_)
      Reply.InForceDelay_ = std::chrono::ceil<Millis>(OldGrantsRemaining);
    Out.push_back(AnswerCaller{Each->Token_, std::move(Reply)});
    Each = Unconfirmed_.erase(Each);
  }
}

} // namespace skylark
