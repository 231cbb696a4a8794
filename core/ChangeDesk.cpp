#include "core/ChangeDesk.h"

#include <algorithm>
#include <utility>

namespace skylark {
namespace {

constexpr Millis OperatorPatience{8000};
constexpr Millis InForcePatience{6000};
constexpr std::size_t QueueLimit = 256;
constexpr std::size_t RememberedWrites = 32;

auto environmentOf(const CallerRequest &Request, const EnvironmentName &Own)
    -> EnvironmentName {
  if (const auto *Put = std::get_if<PutDocument>(&Request))
    return Put->Environment_;
  if (const auto *Promote = std::get_if<PromoteDocument>(&Request))
    return Promote->To_;
  return Own;
}

auto setOut(EnvironmentHead &Head, const SetDataCentre &Wanted) -> bool {
  const auto Found =
      std::find(Head.Out_.begin(), Head.Out_.end(), Wanted.DataCentre_);
  const auto IsOut = Found != Head.Out_.end();
  if (IsOut == Wanted.Out_)
    return false;
  if (Wanted.Out_)
    Head.Out_.push_back(Wanted.DataCentre_);
  else
    Head.Out_.erase(Found);
  return true;
}

} // namespace

ChangeDesk::ChangeDesk(EntryId Entry, Incarnation Number, StorePort &Store,
                       const EnvironmentView &View)
    : Entry_(std::move(Entry)), Incarnation_(Number), Store_(Store),
      View_(View) {}

auto ChangeDesk::submit(Moment Now, CallerToken Token,
                        const CallerRequest &Request, EntryOutbox &Out)
    -> void {
  if (Queue_.size() >= QueueLimit) {
    Out.push_back(AnswerCaller{
        Token, ErrorReply{ErrorKind::QueueFull, "changes waiting", {}}});
    return;
  }
  const auto *Centre = std::get_if<SetDataCentre>(&Request);
  if (Centre != nullptr &&
      !View_.configuration().Document_.hasDataCentre(Centre->DataCentre_)) {
    Out.push_back(AnswerCaller{Token, ErrorReply{ErrorKind::UnknownDataCentre,
                                                 Centre->DataCentre_.Value_,
                                                 {}}});
    return;
  }
  Change New;
  New.Token_ = Token;
  New.Request_ = Request;
  New.Write_ = {Entry_.Value_ + "." + std::to_string(Incarnation_) + "." +
                std::to_string(++NextWrite_)};
  New.Environment_ = environmentOf(Request, View_.environment());
  New.GiveUpAt_ = Now.Steady_ + OperatorPatience;
  Queue_.push_back(std::move(New));
  startNext();
}

auto ChangeDesk::startNext() -> void {
  if (Running_ || Queue_.empty())
    return;
  Running_ = std::move(Queue_.front());
  Queue_.pop_front();
  start();
}

auto ChangeDesk::start() -> void {
  const auto Promotes =
      std::holds_alternative<PromoteDocument>(Running_->Request_);
  if (Promotes && !Running_->PromotedDigest_)
    readSource();
  else
    readHead();
}

auto ChangeDesk::readSource() -> void {
  const auto From = std::get<PromoteDocument>(Running_->Request_).From_;
  Store_.call(
      ReadValue{headKey(From)},
      [this, From](Moment Now, const StoreResult &Result, EntryOutbox &Out) {
        if (Result.Status_ == StoreStatus::Unavailable) {
          retryOrGiveUp(Now, Out);
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

auto ChangeDesk::readHead() -> void {
  Store_.call(ReadValue{headKey(Running_->Environment_)},
              [this](Moment Now, const StoreResult &Result, EntryOutbox &Out) {
                headRead(Now, Result, Out);
              });
}

auto ChangeDesk::headRead(Moment Now, const StoreResult &Result,
                          EntryOutbox &Out) -> void {
  if (Result.Status_ == StoreStatus::Unavailable) {
    retryOrGiveUp(Now, Out);
    return;
  }
  EnvironmentHead Head;
  if (Result.Status_ == StoreStatus::Ok)
    Head = std::get<EnvironmentHead>(Result.Value_);
  const auto Index = Result.Status_ == StoreStatus::Ok ? Result.Index_ : 0;
  // An earlier try of this very change may have taken effect though its
  // answer was lost.
  if (const auto Made = Head.revisionOf(Running_->Write_)) {
    finish(Now, Made, Out);
    return;
  }
  auto Next = Head;
  ++Next.Revision_;
  Next.RecentWrites_.push_back({Running_->Write_, Next.Revision_});
  if (Next.RecentWrites_.size() > RememberedWrites)
    Next.RecentWrites_.erase(Next.RecentWrites_.begin());
  if (const auto *Put = std::get_if<PutDocument>(&Running_->Request_)) {
    if (Put->IfRevision_ != Head.DocumentRevision_) {
      fail(ErrorKind::RevisionConflict,
           "the document is at revision " +
               std::to_string(Head.DocumentRevision_) + ", not " +
               std::to_string(Put->IfRevision_),
           Out);
      return;
    }
    Next.DocumentRevision_ = Next.Revision_;
    Next.DocumentDigest_ = digestText(Put->Document_.Text_);
    writeDocument(std::move(Next), Index);
    return;
  }
  if (const auto *Centre = std::get_if<SetDataCentre>(&Running_->Request_)) {
    if (!setOut(Next, *Centre)) {
      finish(Now, Head.Revision_, Out);
      return;
    }
  }
  if (Running_->PromotedDigest_) {
    Next.DocumentRevision_ = Next.Revision_;
    Next.DocumentDigest_ = *Running_->PromotedDigest_;
  }
  swap(std::move(Next), Index);
}

auto ChangeDesk::writeDocument(EnvironmentHead Next, std::uint64_t Index)
    -> void {
  const auto &Wanted = std::get<PutDocument>(Running_->Request_).Document_;
  // Documents are stored under their digest, so a conflict means that this
  // very document is there already.
  const auto Key = documentKey(Next.DocumentDigest_);
  Store_.call(CompareAndSwap{Key, Wanted, 0},
              [this, Next = std::move(Next),
               Index](Moment Now, const StoreResult &Result, EntryOutbox &Out) {
                if (Result.Status_ == StoreStatus::Unavailable)
                  retryOrGiveUp(Now, Out);
                else
                  swap(Next, Index);
              });
}

auto ChangeDesk::swap(EnvironmentHead Next, std::uint64_t Index) -> void {
  Running_->Sent_ = true;
  const auto Made = Next.Revision_;
  Store_.call(
      CompareAndSwap{headKey(Running_->Environment_), std::move(Next), Index},
      [this, Made](Moment Now, const StoreResult &Result, EntryOutbox &Out) {
        if (Result.Status_ == StoreStatus::Ok)
          finish(Now, Made, Out);
        else
          retryOrGiveUp(Now, Out);
      });
}

auto ChangeDesk::retryOrGiveUp(Moment Now, EntryOutbox &Out) -> void {
  if (Now.Steady_ < Running_->GiveUpAt_) {
    RetryWanted_ = true;
    return;
  }
  const auto Kind =
      Running_->Sent_ ? ErrorKind::OutcomeUnknown : ErrorKind::StoreUnavailable;
  fail(Kind, "the key-value service did not answer", Out);
}

auto ChangeDesk::finish(Moment Now, Revision Made, EntryOutbox &Out) -> void {
  const auto Done = *std::exchange(Running_, std::nullopt);
  Out.push_back(LogDecision{"configuration-changed", Done.Environment_.Value_,
                            Made, ErrorKind::None, ""});
  if (Done.Environment_ == View_.environment()) {
    Waiting_.push_back({Done.Token_, Made, Now.Steady_ + InForcePatience});
  } else {
    ChangeReply Reply;
    Reply.Revision_ = Made;
    Reply.Missing_ = {"entries of the environment " + Done.Environment_.Value_};
    Out.push_back(AnswerCaller{Done.Token_, std::move(Reply)});
  }
  startNext();
}

auto ChangeDesk::fail(ErrorKind Kind, std::string Detail, EntryOutbox &Out)
    -> void {
  const auto Failed = *std::exchange(Running_, std::nullopt);
  Out.push_back(
      AnswerCaller{Failed.Token_, ErrorReply{Kind, std::move(Detail), {}}});
  startNext();
}

auto ChangeDesk::read(CallerToken Token, const GetDocument &Request) -> void {
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
                          EntryOutbox &Answers) {
              if (Found.Status_ != StoreStatus::Ok) {
                Answers.push_back(AnswerCaller{
                    Token,
                    ErrorReply{ErrorKind::StoreUnavailable, "document", {}}});
                return;
              }
              Answers.push_back(AnswerCaller{
                  Token,
                  DocumentReply{Head.DocumentRevision_,
                                std::get<Document>(Found.Value_).Text_}});
            });
      });
}

auto ChangeDesk::tick(
    Moment Now,
    const std::function<std::vector<std::string>(Revision)> &Missing,
    Duration OldGrantsLeft, EntryOutbox &Out) -> void {
  if (Running_ && std::exchange(RetryWanted_, false))
    start();
  for (auto Each = Waiting_.begin(); Each != Waiting_.end();) {
    auto Left = Missing(Each->Revision_);
    if (!Left.empty() && Now.Steady_ < Each->GiveUpAt_) {
      ++Each;
      continue;
    }
    ChangeReply Reply;
    Reply.Revision_ = Each->Revision_;
    Reply.InForce_ = Left.empty();
    Reply.Missing_ = std::move(Left);
    if (!Reply.InForce_)
      Reply.InForceWithin_ = std::chrono::ceil<Millis>(OldGrantsLeft);
    Out.push_back(AnswerCaller{Each->Token_, std::move(Reply)});
    Each = Waiting_.erase(Each);
  }
}

} // namespace skylark
