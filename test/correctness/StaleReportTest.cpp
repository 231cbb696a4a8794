/// \file
/// Tests what an owner does with a report of an attempt that is not current.

#include "core/StaleReport.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

/// The action for a report of attempt 1 in phase `Phase`, if the ledger has
/// `Attempt` in state `State`.
auto actionFor(TaskPhase Phase, TaskState State, AttemptNumber Attempt = 2,
               bool LongRunning = false, bool ChangePending = false)
    -> StaleReportAction {
  TaskStatus Task;
  Task.State_ = State;
  Task.Attempt_ = Attempt;
  TaskReport Report;
  Report.Attempt_ = 1;
  Report.Phase_ = Phase;
  return chooseStaleReportAction(&Task, Report, LongRunning, ChangePending,
                                 false);
}

using Action = StaleReportAction;

} // namespace

BOOST_AUTO_TEST_SUITE(StaleReport)

BOOST_AUTO_TEST_CASE(AFinishIsRecordedWhileTheTaskIsOpen) {
  BOOST_TEST((actionFor(TaskPhase::Finished, TaskState::Pending, 1) ==
              Action::RecordFinish));
  BOOST_TEST((actionFor(TaskPhase::Finished, TaskState::Bound) ==
              Action::RecordFinish));
}

BOOST_AUTO_TEST_CASE(AFinishOfATaskThatHasEndedIsAcknowledged) {
  for (const auto State :
       {TaskState::Finished, TaskState::Failed, TaskState::Cancelled})
    BOOST_TEST((actionFor(TaskPhase::Finished, State) == Action::Acknowledge));
}

BOOST_AUTO_TEST_CASE(NoEndIsAcknowledgedWhileAChangeIsBeingCommitted) {
  for (const auto Phase : {TaskPhase::Finished, TaskPhase::Failed})
    BOOST_TEST(
        (actionFor(Phase, TaskState::Pending, 1, false, true) == Action::Wait));
}

BOOST_AUTO_TEST_CASE(ALongRunningTaskIsNeverFinished) {
  BOOST_TEST((actionFor(TaskPhase::Finished, TaskState::Bound, 2, true) ==
              Action::Acknowledge));
}

BOOST_AUTO_TEST_CASE(AnEarlierAttemptThatStillRunsIsStopped) {
  BOOST_TEST((actionFor(TaskPhase::Running, TaskState::Bound) == Action::Stop));
}

BOOST_AUTO_TEST_CASE(AnAttemptBeyondTheLedgerNeedsAVerifiedOwner) {
  TaskReport Report;
  Report.Attempt_ = 1;
  Report.Phase_ = TaskPhase::Finished;
  BOOST_TEST((chooseStaleReportAction(nullptr, Report, false, false, false) ==
              Action::VerifyOwnership));
  BOOST_TEST((chooseStaleReportAction(nullptr, Report, false, false, true) ==
              Action::Acknowledge));
  BOOST_TEST((actionFor(TaskPhase::Finished, TaskState::Pending, 0) ==
              Action::VerifyOwnership));
}

BOOST_AUTO_TEST_SUITE_END()
