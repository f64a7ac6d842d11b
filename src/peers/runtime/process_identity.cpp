#include "peers/runtime/process_identity.h"

#include <algorithm>

namespace damsonspoke::peers {

bool RuntimeProcessIdentity::is_another_process(const RuntimeGreeting& greeting) {
  const double earliest_start = greeting.absent_until - greeting.up_seconds;
  const double latest_start = greeting.received_at - greeting.up_seconds;
  const bool is_another = started_by_ && earliest_start > *started_by_;
  // The process may have started long after the request.
  started_by_ = std::max(greeting.absent_until, latest_start);
  return is_another;
}

void RuntimeProcessIdentity::on_answer(double requested_at) {
  if (started_by_) started_by_ = std::max(*started_by_, requested_at);
}

}  // namespace damsonspoke::peers
