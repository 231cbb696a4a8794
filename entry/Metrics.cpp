#include "entry/Metrics.h"

#include <boost/histogram.hpp>

#include <sstream>

namespace skylark {
namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr unsigned BucketCount = 60;
constexpr double MinSeconds = 1e-4;
constexpr double MaxSeconds = 100.0;

struct CounterMetric {
  const char *Name_;
  std::uint64_t Counters::*Member_;
};

constexpr CounterMetric CounterMetrics[] = {
    {"skylark_answered_total", &Counters::Answered_},
    {"skylark_dispatched_total", &Counters::Dispatched_},
    {"skylark_tasks_bound_total", &Counters::TasksBound_},
    {"skylark_tasks_finished_total", &Counters::TasksFinished_},
    {"skylark_evictions_total", &Counters::Evictions_},
    {"skylark_crashes_blamed_total", &Counters::CrashesBlamed_},
    {"skylark_tasks_given_up_total", &Counters::TasksGivenUp_},
    {"skylark_unproven_absences_total", &Counters::UnprovenAbsences_},
    {"skylark_configurations_sent_total", &Counters::ConfigurationsSent_},
    {"skylark_configurations_from_peers_total",
     &Counters::ConfigurationsFromPeers_},
    {"skylark_unknown_jobs_cancelled_total", &Counters::UnknownJobsCancelled_},
    {"skylark_cancelled_before_submission_total",
     &Counters::SubmittedCancelled_},
    {"skylark_jobs_removed_total", &Counters::JobsRemoved_},
    {"skylark_wall_clock_moves_total", &Counters::WallClockMoves_},
    {"skylark_stops_sent_total", &Counters::StopsSent_},
    {"skylark_stops_overdue_total", &Counters::StopsOverdue_},
    {"skylark_stops_forced_total", &Counters::StopsForced_},
    {"skylark_takeovers_ended_total", &Counters::TakeoversEnded_},
    {"skylark_store_calls_total", &Counters::StoreCalls_},
    {"skylark_workers_ejected_total", &Counters::WorkersEjected_},
    {"skylark_store_failures_total", &Counters::StoreFailures_},
    {"skylark_store_refusals_total", &Counters::StoreRefusals_},
    {"skylark_store_corrections_total", &Counters::StoreCorrections_},
    {"skylark_declarations_left_out_total", &Counters::DeclarationsLeftOut_},
};

struct GaugeMetric {
  const char *Name_;
  std::size_t Gauges::*Member_;
};

constexpr GaugeMetric GaugeMetrics[] = {
    {"skylark_targets", &Gauges::Targets_},
    {"skylark_peers", &Gauges::Peers_},
    {"skylark_links_outgoing", &Gauges::OutgoingLinks_},
    {"skylark_links_incoming", &Gauges::IncomingLinks_},
    {"skylark_owned_shards", &Gauges::OwnedShards_},
    {"skylark_in_flight", &Gauges::InFlight_},
    {"skylark_unanswered_requests", &Gauges::UnansweredRequests_},
    {"skylark_open_requests", &Gauges::OpenRequests_},
    {"skylark_connections", &Gauges::Connections_},
};

struct LedgerMetric {
  const char *Name_;
  std::size_t LedgerSize::*Member_;
};

constexpr LedgerMetric LedgerMetrics[] = {
    {"skylark_ledger_jobs", &LedgerSize::Jobs_},
    {"skylark_ledger_ended_jobs", &LedgerSize::EndedJobs_},
    {"skylark_ledger_snapshot_bytes", &LedgerSize::SnapshotBytes_},
    {"skylark_ledger_commit_bytes", &LedgerSize::CommitBytes_},
};

} // namespace

class LatencyHistogram::Implementation {
public:
  using Histogram =
      decltype(bh::make_histogram(LogAxis(BucketCount, MinSeconds, 1.0)));
  Histogram Histogram_ =
      bh::make_histogram(LogAxis(BucketCount, MinSeconds, MaxSeconds));
  double Sum_ = 0;
  std::uint64_t Count_ = 0;
};

LatencyHistogram::LatencyHistogram()
    : Implementation_(std::make_unique<Implementation>()) {}
LatencyHistogram::~LatencyHistogram() = default;

auto LatencyHistogram::record(Micros Elapsed) -> void {
  const auto ElapsedSeconds = std::chrono::duration<double>(Elapsed).count();
  Implementation_->Histogram_(ElapsedSeconds);
  Implementation_->Sum_ += ElapsedSeconds;
  ++Implementation_->Count_;
}

auto LatencyHistogram::render(const std::string &Name) const -> std::string {
  std::ostringstream Out;
  const auto &Histogram = Implementation_->Histogram_;
  Out << "# TYPE " << Name << " histogram\n";
  auto Cumulative = static_cast<double>(Histogram.at(-1));
  for (const auto &Bin : bh::indexed(Histogram)) {
    Cumulative += static_cast<double>(*Bin);
    Out << Name << "_bucket{le=\"" << Bin.bin().upper() << "\"} " << Cumulative
        << '\n';
  }
  Out << Name << "_bucket{le=\"+Inf\"} " << Implementation_->Count_ << '\n'
      << Name << "_sum " << Implementation_->Sum_ << '\n'
      << Name << "_count " << Implementation_->Count_ << '\n';
  return Out.str();
}

auto renderMetrics(const Counters &CounterValues, const Gauges &GaugeValues)
    -> std::string {
  std::ostringstream Out;
  for (const auto &Each : CounterMetrics)
    Out << "# TYPE " << Each.Name_ << " counter\n"
        << Each.Name_ << ' ' << CounterValues.*Each.Member_ << '\n';
  Out << "# TYPE skylark_refusals_total counter\n";
  for (std::size_t Index = 1; Index < CounterValues.Refusals_.size(); ++Index)
    Out << "skylark_refusals_total{reason=\""
        << errorInfo(static_cast<ErrorKind>(Index)).Code_ << "\"} "
        << CounterValues.Refusals_[Index] << '\n';
  Out << "# TYPE skylark_retries_total counter\n";
  for (std::size_t Index = 0; Index < CounterValues.Retries_.size(); ++Index)
    Out << "skylark_retries_total{reason=\""
        << retryReasonText(static_cast<RetryReason>(Index)) << "\"} "
        << CounterValues.Retries_[Index] << '\n';
  Out << "# TYPE skylark_grants_withheld_total counter\n";
  for (std::size_t Index = 1; Index < CounterValues.GrantsWithheld_.size();
       ++Index)
    Out << "skylark_grants_withheld_total{reason=\""
        << grantBarrierText(static_cast<GrantBarrier>(Index)) << "\"} "
        << CounterValues.GrantsWithheld_[Index] << '\n';
  Out << "# TYPE skylark_forwarded_calls_unanswered_total counter\n";
  for (std::size_t Index = 0; Index < CounterValues.UnansweredCalls_.size();
       ++Index)
    Out << "skylark_forwarded_calls_unanswered_total{reason=\""
        << unansweredReasonText(static_cast<UnansweredReason>(Index)) << "\"} "
        << CounterValues.UnansweredCalls_[Index] << '\n';
  Out << "# TYPE skylark_store_failures_by_reason_total counter\n";
  for (std::size_t Index = 1;
       Index < CounterValues.StoreFailuresByReason_.size(); ++Index)
    Out << "skylark_store_failures_by_reason_total{reason=\""
        << storeFailureText(static_cast<StoreFailure>(Index)) << "\"} "
        << CounterValues.StoreFailuresByReason_[Index] << '\n';
  Out << "# TYPE skylark_task_wait_microseconds_total counter\n";
  for (std::size_t Index = 0; Index < CounterValues.TaskWaitMicros_.size();
       ++Index)
    Out << "skylark_task_wait_microseconds_total{wait=\""
        << taskWaitText(static_cast<TaskWait>(Index)) << "\"} "
        << CounterValues.TaskWaitMicros_[Index] << '\n';
  for (const auto &Each : GaugeMetrics)
    Out << "# TYPE " << Each.Name_ << " gauge\n"
        << Each.Name_ << ' ' << GaugeValues.*Each.Member_ << '\n';
  for (const auto &Each : LedgerMetrics)
    Out << "# TYPE " << Each.Name_ << " gauge\n"
        << Each.Name_ << ' ' << GaugeValues.Ledgers_.*Each.Member_ << '\n';
  Out << "# TYPE skylark_connection_limits_reached_total counter\n"
      << "skylark_connection_limits_reached_total "
      << GaugeValues.ConnectionLimitsReached_ << '\n';
  Out << "# TYPE skylark_accept_failures_total counter\n"
      << "skylark_accept_failures_total " << GaugeValues.AcceptFailures_
      << '\n';
  Out << "# TYPE skylark_revision gauge\nskylark_revision "
      << GaugeValues.Revision_ << '\n';
  return Out.str();
}

} // namespace skylark
