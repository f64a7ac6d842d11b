// Simulates the concurrent calls of many servers to a shared dependency that hangs, fails and recovers,
// while servers are killed and replaced. All servers make the real decisions on one simulated clock. Each
// server's share is that of its settings. The shares add up to N call seconds in a window; 2 sqrt(N) + 2
// more are allowed for chance. CTest compares the output with tests/traces/slow_start_calls.txt.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admission/controller.h"
#include "silent_sink.h"

using namespace damsonspoke;

namespace {

constexpr double kStepSeconds = 0.02;
constexpr double kWindowSeconds = 5;
constexpr double kAbandonedCallSeconds = 0.2;  // for which the dependency works on an abandoned call
constexpr double kTotalShare = 30;             // mean concurrent calls of all servers together
constexpr double kSimulatedSeconds = 38;

enum class DependencyState { kHealthy, kHanging, kDown, kSlow };
DependencyState dependency_state_at(double t) {
  return t < 12   ? DependencyState::kHealthy
         : t < 20 ? DependencyState::kHanging
         : t < 25 ? DependencyState::kDown
         : t < 32 ? DependencyState::kSlow
                  : DependencyState::kHealthy;
}

class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed * 2654435761u + 12345) {}
  double next() {
    state_ = state_ * 6364136223846793005u + 1442695040888963407u;
    return static_cast<double>(state_ >> 11) / 9007199254740992.0;
  }

 private:
  std::uint64_t state_;
};

struct CallInFlight {
  double begins = 0, ends = 0;
  RequestId request = 0;
  bool abandoned = false;
};

// One server from its start to its end: its requests arrive, run, make a call, and resume.
class SimulatedServer : public standins::SilentSink {
 public:
  SimulatedServer(int fleet_size, bool has_slow_start, double now, std::uint64_t seed)
      : options_(make_options(fleet_size, has_slow_start)), now_(now) {
    controller_ = std::make_unique<AdmissionController>(options_, seed, *this, now);
    last_call_ = now;
  }
  static AdmissionOptions make_options(int fleet_size, bool has_slow_start) {
    AdmissionOptions options;
    Route route;
    route.latency_objective = 2;
    route.timeout = 4;
    route.calls_dependency = true;
    options.routes = {route};
    options.servers = fleet_size;
    options.cores = 8;
    options.memory_kb = 100000;
    options.running_size_factor = 2;
    options.preemption = Preemption::kDrop;
    options.max_concurrency_factor = 8;
    options.drain_grace = 1;
    options.timer_resolution = 0.002;
    options.dependency = DependencyKind::kShared;
    options.dependency_share = kTotalShare / fleet_size;
    options.dependency_share_window = kWindowSeconds;
    options.abandoned_call_time = kAbandonedCallSeconds;
    options.slow_start = has_slow_start;
    options.slow_start_speed = 0.3;
    options.slow_start_time = 8;
    return options;
  }
  void step(double now, DependencyState dependency, Random& random, double arrivals) {
    now_ = now;
    dependency_ = dependency;
    while (!wakeups_.empty() && wakeups_.begin()->first <= now) {
      const auto [at, token] = *wakeups_.begin();
      wakeups_.erase(wakeups_.begin());
      controller_->on_timer(now, token, {});
    }
    for (pending_arrivals_ += arrivals * kStepSeconds * 2 * random.next(); pending_arrivals_ >= 1;
         pending_arrivals_ -= 1) {
      Request request;
      request.id = next_id_++;
      request.size_kb = 10;
      request.caller = static_cast<std::uint32_t>(request.id);
      controller_->on_request(now, request);
    }
    for (const RequestId id : take_finished(runs_)) controller_->on_call_needed(now, id);
    for (const RequestId id : take_finished(runs_after_call_))
      controller_->on_run_finished(now, id, Outcome::kOk, 0.02);
    std::vector<std::pair<RequestId, Outcome>> finished;
    for (auto it = calls_.begin(); it != calls_.end();) {
      if (it->second.first > now) {
        ++it;
        continue;
      }
      finished.emplace_back(it->first, it->second.second);
      it = calls_.erase(it);
    }
    for (const auto& [id, outcome] : finished) {
      if (outcome == Outcome::kOk) runs_after_call_.emplace(id, now + 0.01);
      controller_->on_call_finished(now, id, outcome, 0);
    }
  }
  // The calls that the dependency works on, with their begin and end.
  std::vector<CallInFlight> calls;
  double last_call() const { return last_call_; }
  // Its connections are closed, which ends its calls.
  void kill(double now) {
    for (CallInFlight& call : calls) call.ends = std::min(call.ends, now + kAbandonedCallSeconds);
  }

  void start(RequestId id) override { runs_.emplace(id, now_ + 0.02); }
  void interrupt(RequestId id) override {
    if (runs_.erase(id) + runs_after_call_.erase(id) > 0) to_cancel_.push_back(id);
  }
  void fail(RequestId id) override {
    abandon_call(id);
    to_cancel_.push_back(id);
  }
  void call(RequestId id, double timeout) override {
    last_call_ = now_;
    double seconds = 0.1;
    Outcome outcome = Outcome::kOk;
    if (dependency_ == DependencyState::kSlow) seconds = 0.6;
    if (dependency_ == DependencyState::kDown) {
      seconds = 0.001;
      outcome = Outcome::kUnreachable;
    }
    if (dependency_ == DependencyState::kHanging || seconds > timeout) {
      seconds = timeout;
      outcome = Outcome::kTimeout;
    }
    calls_[id] = {now_ + seconds, outcome};
    if (dependency_ != DependencyState::kDown)
      calls.push_back(
          {now_, now_ + seconds + (outcome == Outcome::kTimeout ? kAbandonedCallSeconds : 0), id, false});
  }
  void skip_call(RequestId id) override { runs_after_call_.emplace(id, now_ + 0.01); }
  void schedule_wakeup(double time, std::uint64_t token) override { wakeups_.emplace(time, token); }

  // Ends the runs that were interrupted, or whose request was failed, since the last step.
  void finish_cancelled_runs(double now) {
    std::vector<RequestId> finished;
    finished.swap(to_cancel_);
    for (const RequestId id : finished) {
      runs_.erase(id);
      runs_after_call_.erase(id);
      controller_->on_run_finished(now, id, Outcome::kCancelled, 0);
    }
  }

 private:
  std::vector<RequestId> take_finished(std::map<RequestId, double>& ends_by_request) const {
    std::vector<RequestId> ids;
    for (const auto& [id, at] : ends_by_request) {
      if (at <= now_) ids.push_back(id);
    }
    for (const RequestId id : ids) ends_by_request.erase(id);
    return ids;
  }
  void abandon_call(RequestId id) {
    if (calls_.erase(id) == 0) return;
    const auto call =
        std::find_if(calls.rbegin(), calls.rend(), [&](const CallInFlight& c) { return c.request == id; });
    if (call != calls.rend()) call->ends = std::min(call->ends, now_ + kAbandonedCallSeconds);
  }
  const AdmissionOptions options_;
  double now_ = 0, pending_arrivals_ = 0, last_call_ = 0;
  DependencyState dependency_ = DependencyState::kHealthy;
  RequestId next_id_ = 1;
  std::unique_ptr<AdmissionController> controller_;
  std::multimap<double, std::uint64_t> wakeups_;
  std::map<RequestId, double> runs_, runs_after_call_;
  std::map<RequestId, std::pair<double, Outcome>> calls_;
  std::vector<RequestId> to_cancel_;
};

struct Result {
  double max_call_seconds = 0;  // of all servers together, in any window
  double calls = 0;
  double longest_gap_seconds = 0;  // without a call of a server, after the recovery
};

Result simulate(int server_count, std::uint64_t seed, bool servers_die) {
  Random random(seed);
  std::vector<std::unique_ptr<SimulatedServer>> servers;
  std::vector<CallInFlight> finished;
  std::uint64_t servers_started = seed * 1000;
  servers.reserve(static_cast<std::size_t>(server_count));
  for (int i = 0; i < server_count; ++i)
    servers.push_back(std::make_unique<SimulatedServer>(server_count, false, 0, ++servers_started));
  Result result;
  std::deque<double> in_flight_by_step;
  double sum = 0;
  double t = kStepSeconds;
  while (t < kSimulatedSeconds) {
    // Six in ten servers are replaced within two seconds, while the dependency hangs and as it recovers.
    const bool many_servers_die = (t > 14 && t < 16) || (t > 25 && t < 27);
    for (auto& server : servers) {
      if (servers_die && random.next() < kStepSeconds * (many_servers_die ? 0.45 : 0.01)) {
        server->kill(t);
        finished.insert(finished.end(), server->calls.begin(), server->calls.end());
        server = std::make_unique<SimulatedServer>(server_count, true, t, ++servers_started);
      }
      server->step(t, dependency_state_at(t), random, 400.0 / server_count);
      server->finish_cancelled_runs(t);
      if (t > 34)
        result.longest_gap_seconds =
            std::max(result.longest_gap_seconds, t - std::max(server->last_call(), 32.0));
    }
    double in_flight = 0;
    const auto count = [&](std::vector<CallInFlight>& calls) {
      std::erase_if(calls, [&](const CallInFlight& call) { return call.ends <= t; });
      in_flight += static_cast<double>(calls.size());
    };
    count(finished);
    for (auto& server : servers) count(server->calls);
    in_flight_by_step.push_back(in_flight);
    sum += in_flight;
    if (static_cast<double>(in_flight_by_step.size()) * kStepSeconds > kWindowSeconds) {
      sum -= in_flight_by_step.front();
      in_flight_by_step.pop_front();
    }
    result.max_call_seconds = std::max(result.max_call_seconds, sum * kStepSeconds);
    t += kStepSeconds;
  }
  return result;
}

}  // namespace

int main() {
  for (const bool servers_die : {false, true}) {
    for (const int server_count : {1, 5, 20, 30}) {
      Result worst;
      for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        const Result result = simulate(server_count, seed, servers_die);
        worst.max_call_seconds = std::max(worst.max_call_seconds, result.max_call_seconds);
        worst.longest_gap_seconds = std::max(worst.longest_gap_seconds, result.longest_gap_seconds);
      }

      const double budget = kTotalShare * kWindowSeconds, allowed = budget + 2 * std::sqrt(budget) + 2;
      std::fprintf(stderr, "%d backends%s: at most %.1f of %.0f call seconds in a window (%.1f allowed)\n",
                   server_count, servers_die ? ", deaths" : "", worst.max_call_seconds, budget, allowed);
      std::printf(
          "%d backends%s: calls within the sum of the shares plus the allowance: %s; no backend without "
          "calls for 3 s "
          "after the recovery: %s\n",
          server_count, servers_die ? " that are killed and replaced" : "",
          worst.max_call_seconds <= allowed ? "yes" : "NO", worst.longest_gap_seconds < 3 ? "yes" : "NO");
    }
  }
  return 0;
}
