// The interface of the decisions: what a backend can be told (AdmissionController), what it can do (Host),
// and the plain data between them. No decision, default that tunes, or table lives here. Times are seconds,
// sizes kilobytes.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace damsonspoke {

using RequestId = std::uint64_t;

enum class Idempotency { kIdempotent, kWithKey, kNonIdempotent };
enum class Preemption { kOff, kDrop, kPause };
enum class LoadFeedback { kOff, kLevel, kCredit, kWeight };
enum class DependencyKind { kOff, kShared, kTier };
// How a run or a call ended. Refused, unreachable and moot prove that it never ran.
enum class Outcome { kOk, kError, kRefused, kTimeout, kUnreachable, kReset, kCancelled, kObsolete };

struct Route {
  std::uint32_t generation = 0;  // told anew when another route takes this one's position
  double latency_objective = 0;
  double timeout = 0;
  double idempotency_window = 0;  // keyed: how long a repeat may come
  double priority_weight = 1;
  double late_value = 0;          // share of the importance that a late answer earns
  double value_without_call = 0;  // share earned when the call below was left out
  bool calls_dependency = false;
  Idempotency idempotency = Idempotency::kIdempotent;
};

struct Tenant {
  double quota_per_second = 0;   // over the whole fleet
  std::uint32_t generation = 0;  // told anew when another tenant takes this one's position
};

// What is looked up of routes and tenants by their positions. It may change between two calls of a
// AdmissionController, never within one. Every call takes constant time, however many there are.
class RouteDirectory {
 public:
  virtual ~RouteDirectory() = default;
  virtual const Route& route(int position) const = 0;
  virtual Tenant tenant(int position) const = 0;
  virtual std::size_t route_count() const = 0;
  virtual std::size_t tenant_count() const = 0;  // 0: nobody has a quota
  // Positions are below this, now and later.
  virtual std::size_t tenant_positions() const = 0;
  virtual double total_quota_per_second() const = 0;   // of all tenants together
  virtual double highest_priority_weight() const = 0;  // importance of the route that has most
};

struct AdmissionOptions {
  std::vector<Route> routes;
  std::vector<Tenant> tenants;
  int servers = 1;
  int callers = 1;
  int cores = 1;
  double memory_kb = 0;
  double running_size_factor = 1;
  double idempotency_key_kb = 0;
  double shared_answer_ttl = 0;
  Preemption preemption = Preemption::kOff;
  LoadFeedback load_feedback = LoadFeedback::kOff;
  bool deep_checks = false;
  double caller_idle_timeout = 0;
  DependencyKind dependency = DependencyKind::kOff;
  double dependency_share = 0;
  double dependency_share_window = 0;
  double abandoned_call_time = 0;
  bool slow_start = false;
  double slow_start_speed = 1;
  double slow_start_time = 0;
  double max_concurrency_factor = 1;
  double drain_grace = 0;
  bool sends_retry_after = false;
  double max_retry_after = 0;
  double timer_resolution = 0;
};

struct Request {
  RequestId id = 0;
  int route = 0;
  int tenant = 0;
  std::uint64_t subject = 0;
  double remaining_timeout = 0;  // 0: not told
  double age = 0;
  double size_kb = 0;
  double work_hint = 0;   // s of work on a standard core, as the caller estimates it; 0: not told
  bool is_retry = false;  // a further try, where such are marked
  bool is_write = false;
  std::uint32_t caller = 0;
  RequestId duplicate_of = 0;  // the kept request that this one repeats, or 0
};

// Gauges that the site does not have are negative.
struct Gauges {
  double cpu_busy = -1;
  double runnable = -1;
  double memory_used = -1;
  double connections = -1;
};

// How long something takes, as a Histogram of the module holds it: values by bin, each bin twice as wide as
// the one before, and the sum of the values, in seconds.
struct LearnedDurations {
  std::vector<double> bins;
  double sum = 0;
};

// What one life has learned that may mean something to the next. Counts say how much it weighs.
struct LearnedStatistics {
  struct Times {
    LearnedDurations run, away;
  };
  std::vector<Times> routes;  // by position, as the routes
  LearnedDurations calls;
  double returning_share = -1;  // share of requests whose connection was worth keeping; < 0: not known
  bool under_pressure =
      false;  // learned while runs failed, were too slow or stale, or the layer below was under pressure
};

class DecisionSink {
 public:
  virtual ~DecisionSink() = default;
  virtual void start(RequestId id) = 0;
  virtual void interrupt(RequestId id) = 0;
  virtual void reject(RequestId id, double retry_after, bool no_retry) = 0;
  virtual void fail(RequestId id) = 0;
  virtual void call(RequestId id, double patience) = 0;
  virtual void skip_call(RequestId id) = 0;
  virtual void remember(RequestId id, double ttl) = 0;
  virtual void forget(RequestId id) = 0;
  virtual void join(RequestId id) = 0;
  virtual void set_health(bool good, bool from_store) = 0;
  virtual void publish_load_feedback(double value) = 0;
  virtual void set_idle_timeout(double after) = 0;
  virtual void schedule_wakeup(double time, std::uint64_t token) = 0;
  virtual void log(const std::string& line) = 0;
};

class AdmissionController {
 public:
  // A prior is believed as far as its counts go, until the first runs speak against it. Routes and
  // tenants are those of the settings, or of a directory, which then has to outlive this.
  AdmissionController(const AdmissionOptions& settings, std::uint64_t seed, DecisionSink& host, double now,
                      const LearnedStatistics& prior = {}, const RouteDirectory* directory = nullptr);
  ~AdmissionController();
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  void on_request(double now, const Request& request);
  void on_run_finished(double now, RequestId id, Outcome outcome, double spent);
  void on_call_needed(double now, RequestId id);
  void on_call_finished(double now, RequestId id, Outcome outcome, double spent);
  void on_caller_gone(double now, RequestId id);
  void on_drain(double now, double time_left);
  void on_timer(double now, std::uint64_t token, const Gauges& gauges);
  LearnedStatistics learned() const;
  double pool_in_use() const;  // kilobytes charged, for tests and reports

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace damsonspoke
