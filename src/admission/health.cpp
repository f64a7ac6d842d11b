#include "admission/health.h"

#include <algorithm>

namespace damsonspoke {
namespace {

// Thresholds for becoming unhealthy, and lower ones for recovery, so that the state does not flap.
constexpr double kUnhealthyObjectiveUse = 0.9;  // objective use; above it, hardly any run finishes in time
constexpr double kRecoveredObjectiveUse = 0.6;
constexpr double kUnhealthyStaleness = 1;  // staleness; above it, no request that is read can finish in time
constexpr double kRecoveredStaleness = 0.3;
constexpr double kUnhealthyErrorShare = 0.35;  // share of the runs
constexpr int kSuccessesToRecover = 6;         // in a row
constexpr double kErrorSmoothingRuns = 12;
constexpr double kStalenessSmoothingRequests = 8;
constexpr double kMaxStalenessPerRequest = 1.5;  // counted for one request
constexpr double kStalenessDecayPerTick = 0.97;
constexpr double kPublishDelaySeconds = 0.5;  // a shorter unhealthy period is not published
constexpr double kIdleResetSeconds = 2;

}  // namespace

void HealthMonitor::observe_read(double age, double latency_objective, double now) {
  if (latency_objective > 0) {
    const double share = std::min(age / latency_objective, kMaxStalenessPerRequest);
    staleness_ += (share - staleness_) / kStalenessSmoothingRequests;
  }
  last_read_at_ = now;
}

void HealthMonitor::observe_run(Outcome outcome) {
  if (outcome == Outcome::kOk) ++successes_in_a_row_;
  if (outcome == Outcome::kError) successes_in_a_row_ = 0;
  error_share_ += ((outcome == Outcome::kError ? 1 : 0) - error_share_) / kErrorSmoothingRuns;
}

void HealthMonitor::tick(bool cores_idle) {
  if (cores_idle) staleness_ = 0;  // no request is waiting to be read
  staleness_ *= kStalenessDecayPerTick;
}

bool HealthMonitor::reads_stale_requests() const { return staleness_ > kRecoveredStaleness; }

void HealthMonitor::assess(std::optional<double> objective_use, double now) {
  const bool slow =
      objective_use && *objective_use > (unhealthy_ ? kRecoveredObjectiveUse : kUnhealthyObjectiveUse);
  const bool stale = staleness_ > (unhealthy_ ? kRecoveredStaleness : kUnhealthyStaleness);
  if (failing_ && successes_in_a_row_ >= kSuccessesToRecover) {
    failing_ = false;
    error_share_ = 0;
  }
  if (error_share_ > kUnhealthyErrorShare) failing_ = true;
  const bool was_unhealthy = unhealthy_;
  unhealthy_ = slow || failing_ || stale;
  if (unhealthy_ && !was_unhealthy) unhealthy_since_ = now;
  if (unhealthy_ != was_unhealthy) {
    sink_.log(!unhealthy_ ? "healthy again"
              : failing_  ? "unhealthy: too many runs fail"
              : stale     ? "unhealthy: requests are stale when read"
                          : "unhealthy: runs are too slow for their latency objectives");
  }
  publish(now);
}

void HealthMonitor::publish(double now) {
  // If the registry follows health, an unhealthy server gets no requests that could show its recovery. So
  // after a time without requests it is published as healthy, until new requests show its state.
  const bool idle = now >= last_read_at_ + kIdleResetSeconds;
  const bool persists = unhealthy_ && !idle && now >= unhealthy_since_ + kPublishDelaySeconds;
  const bool healthy = !drain_.draining() && !persists;
  if (healthy == published_healthy_) return;
  published_healthy_ = healthy;
  sink_.log(healthy ? "health published: healthy" : "health published: unhealthy");
  sink_.set_health(healthy, options_.deep_health_checks);
}

}  // namespace damsonspoke
