#include "core/RequestKind.h"

namespace skylark {
namespace {

struct KindName {
  auto operator()(const QuickRequest & /*Each*/) const { return "quick"; }
  auto operator()(const SubmitJob & /*Each*/) const { return "submission"; }
  auto operator()(const SubmitToQueue & /*Each*/) const { return "submission"; }
  auto operator()(const GetJob & /*Each*/) const { return "query"; }
  auto operator()(const ReadQueue & /*Each*/) const { return "query"; }
  auto operator()(const CountUnstartedJobs & /*Each*/) const { return "query"; }
  auto operator()(const CancelJob & /*Each*/) const { return "cancellation"; }
  auto operator()(const CancelInQueue & /*Each*/) const {
    return "cancellation";
  }
  template <typename Other> auto operator()(const Other & /*Each*/) const {
    return "operator";
  }
};

} // namespace

auto requestKindText(const CallerRequest &Request) -> std::string_view {
  return std::visit(KindName{}, Request);
}

} // namespace skylark
