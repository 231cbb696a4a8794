#include "core/StaleReport.h"

namespace skylark {

auto chooseStaleReportAction(const TaskStatus *Task, const TaskReport &Report,
                             bool LongRunning, bool ChangePending,
                             bool Verified) -> StaleReportAction {
  const auto InLedger = Task != nullptr && Report.Attempt_ <= Task->Attempt_;
  if (!InLedger && !Verified)
    return StaleReportAction::VerifyOwnership;
  if (!isEnded(Report.Phase_))
    return StaleReportAction::Stop;
  if (Task == nullptr)
    return StaleReportAction::Acknowledge;
  if (ChangePending)
    return StaleReportAction::Wait;
  const auto Open =
      Task->State_ == TaskState::Pending || Task->State_ == TaskState::Bound;
  if (Report.Phase_ == TaskPhase::Finished && Open && !LongRunning)
    return StaleReportAction::RecordFinish;
  return StaleReportAction::Acknowledge;
}

} // namespace skylark
