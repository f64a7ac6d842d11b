#include "peers/runtime/process_identity.h"

namespace damsonspoke::peers {
namespace {

// A greeting may be read this much later than it was written.
constexpr double kDelayToleranceSeconds = 0.5;

}  // namespace

// A process that has answered at a time started before it. The greeting was written after it was asked for
// and before it was read, so that its process started between the two differences.
bool RuntimeProcessIdentity::started_after_the_last(const RuntimeGreeting& greeting) const {
  const double earliest_start = greeting.requested_at - greeting.up_seconds;
  const double latest_start = greeting.received_at - greeting.up_seconds;
  return earliest_start > alive_at_ || latest_start > *greeted_at_ + kDelayToleranceSeconds;
}

bool RuntimeProcessIdentity::is_another_process(const RuntimeGreeting& greeting) {
  const bool is_another = greeted_at_ && started_after_the_last(greeting);
  if (!greeted_at_ || is_another) greeted_at_ = greeting.received_at;
  alive_at_ = greeting.requested_at;
  return is_another;
}

}  // namespace damsonspoke::peers
