/// \file
/// Tests which quick requests are retried once others have used up retries.

#include "core/RequestDispatcher.h"

#include <boost/test/unit_test.hpp>

using namespace skylark;

namespace {

constexpr ErrorKind Refusal = ErrorKind::QueueFull;

/// One target of the service "small" and two each of "large" and "other". The
/// first target that is asked refuses.
class DispatcherFixture {
public:
  DispatcherFixture() {
    Configuration_.Document_.DataCentres_ = {{"hobart"}};
    add(1, "small");
    add(2, "large");
    add(3, "large");
    add(4, "other");
    add(5, "other");
  }

  /// Sends a request, which the first target refuses.
  /// \returns whether another target was asked.
  auto isRetried(const char *Service) -> bool {
    EntryOutbox Out;
    QuickRequest Quick;
    Quick.Service_ = {Service};
    Quick.Timeout_ = Millis{1000};
    Dispatcher_.submit(Now_, Dispatcher_.newRequestId(), 1, Quick, Generator_,
                       Out);
    const auto First = std::get<SendToAgent>(Out.at(0));
    Out.clear();
    const auto &Sent = std::get<DispatchRequest>(First.Message_);
    DispatchAnswer Answer;
    Answer.Sequence_ = Sent.Sequence_;
    Answer.Request_ = Sent.Request_;
    Answer.Error_ = Refusal;
    Dispatcher_.answered(Now_, First.Session_, Answer, Generator_, Out);
    return !Out.empty();
  }

private:
  auto add(SessionNumber Session, const char *Service) -> void {
    Hello Message;
    Message.Agent_ = {"agent-" + std::to_string(Session)};
    Message.DataCentre_ = {"hobart"};
    Message.Services_ = {{Service}};
    Targets_.add(Now_, Session, Message);
  }

  Moment Now_{TimePoint(Seconds{100}), WallTime(Seconds{1000})};
  TargetTable Targets_;
  Configuration Configuration_;
  Counters Counters_;
  Random Generator_{1};
  RequestDispatcher Dispatcher_{
      {"entry"}, {"hobart"}, {}, {Targets_, Configuration_, Counters_}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgets)

// Each request without another target used up a retry, and the requests of
// other services were refused after the first refusal.
BOOST_FIXTURE_TEST_CASE(AServiceWithoutAnotherTargetUsesUpNoRetries,
                        DispatcherFixture) {
  for (int Request = 0; Request < 100; ++Request)
    BOOST_TEST(!isRetried("small"));
  BOOST_TEST(isRetried("large"));
}

BOOST_FIXTURE_TEST_CASE(AServiceDoesNotUseUpTheRetriesOfAnother,
                        DispatcherFixture) {
  for (int Request = 0; Request < 100; ++Request)
    isRetried("large");
  BOOST_TEST(!isRetried("large"));
  BOOST_TEST(isRetried("other"));
}

BOOST_FIXTURE_TEST_CASE(RetriesAreLimited, DispatcherFixture) {
  int Retries = 0;
  for (int Request = 0; Request < 100; ++Request)
    Retries += isRetried("large") ? 1 : 0;
  BOOST_TEST(Retries == 20);
}

BOOST_AUTO_TEST_SUITE_END()
