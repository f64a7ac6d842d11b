#include "admission/idle_connections.h"

#include <algorithm>
#include <cmath>

namespace damsonspoke {
namespace {

constexpr std::size_t kCallerEntries = 1024;
constexpr double kNever = -1e9;  // s; earlier than any request
constexpr double kSmoothingRequests = 30;
// Share of the callers' idle timeout. A connection that is kept open for longer costs as much as a new one.
constexpr double kReturnSoonShare = 1.0 / 6;
constexpr double kMaxTimeoutReturningShare = 0.5;
constexpr double kMinTimeoutSeconds = 0.3;       // a retry still finds its connection open
constexpr double kMaxWaitingThreadsPerCore = 6;  // threads; with more, reading falls behind
constexpr double kGrowthPerTick = 2;             // while reading falls behind
constexpr double kDecayPerTick = 0.95;           // slow, so that callers don't all reconnect at once
constexpr double kMinPublishedChange = 0.2;      // of the published timeout

}  // namespace

IdleConnections::IdleConnections(const AdmissionOptions& options, DecisionSink& sink)
    : options_(options),
      sink_(sink),
      published_(options.caller_idle_timeout),
      last_requests_(kCallerEntries, {0, kNever}) {}

void IdleConnections::observe_caller(std::uint32_t caller, double now) {
  LastRequest& last = last_requests_[caller % kCallerEntries];
  const bool returned =
      last.caller == caller && now - last.at < kReturnSoonShare * options_.caller_idle_timeout;
  returning_share_ += ((returned ? 1 : 0) - returning_share_) / kSmoothingRequests;
  last = {caller, now};
}

void IdleConnections::tick(double waiting_threads, bool has_capacity) {
  if (options_.caller_idle_timeout <= 0) return;
  if (waiting_threads > kMaxWaitingThreadsPerCore * options_.cores)
    timeout_ *= kGrowthPerTick;
  else if (has_capacity)
    timeout_ *= kDecayPerTick;
  timeout_ = std::clamp(timeout_, std::min(kMinTimeoutSeconds, options_.caller_idle_timeout),
                        options_.caller_idle_timeout);
  const double timeout =
      returning_share_ > kMaxTimeoutReturningShare ? options_.caller_idle_timeout : timeout_;
  if (std::abs(timeout - published_) <= kMinPublishedChange * published_) return;
  published_ = timeout;
  sink_.set_idle_timeout(timeout);
}

}  // namespace damsonspoke
