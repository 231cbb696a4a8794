#include "test/fuzz/RunLog.h"

namespace skylark::Fuzz {

auto RunLog::started(const std::string &Task, const std::string &Run) -> void {
  ++StartCount_;
  const auto Running = Running_.find(Task);
  if (Running != Running_.end())
    violate(Task + " started as " + Run + " while it ran as " +
            Running->second);
  const auto Finished = Finished_.find(Task);
  if (Finished != Finished_.end())
    violate(Task + " started as " + Run +
            " though its finish was acknowledged of " + Finished->second);
  Running_[Task] = Run;
}

auto RunLog::violate(const std::string &Violation) -> void {
  const auto Now = std::chrono::duration_cast<Millis>(Time_.now());
  Violations_.push_back("at " + std::to_string(Now.count()) +
                        " ms: " + Violation);
}

} // namespace skylark::Fuzz
