// Settings of the admission controller: routes, tenants and the parameters of one server. Durations are
// seconds and sizes kilobytes unless a name says otherwise.
#pragma once

#include <cstdint>
#include <vector>

namespace damsonspoke {

// Whether a request may be run again: always, only if an idempotency key protects it, or never.
enum class Idempotency { kIdempotent, kWithKey, kNonIdempotent };
// Whether a run can be stopped: never, with its progress lost, or paused and resumed later.
enum class Preemption { kOff, kDrop, kPause };
// The form of the load feedback to callers: none, the share of load to send elsewhere, a credit of requests,
// or a weight.
enum class LoadFeedback { kOff, kLevel, kCredit, kWeight };
// The dependency that runs call: none, one shared with the other servers, or a second tier of this service.
enum class DependencyKind { kOff, kShared, kTier };

// A kind of request: its latency objective, its priority and whether it may be repeated.
struct Route {
  std::uint32_t generation = 0;   // changes when another route takes this one's position
  double latency_objective = 0;   // 0: none
  double timeout = 0;             // of callers that don't send one
  double idempotency_window = 0;  // with an idempotency key: time in which a duplicate may arrive
  double priority_weight = 1;
  double late_value = 0;          // share of the priority weight that a late answer keeps
  double value_without_call = 0;  // share that an answer without the dependency call keeps
  bool calls_dependency = false;
  Idempotency idempotency = Idempotency::kIdempotent;

  // Whether an answer after the latency objective keeps much of the priority weight.
  [[nodiscard]] bool has_value_when_late() const { return late_value >= kMinLateValue; }
  static constexpr double kMinLateValue = 0.5;  // of the priority weight
};

struct Tenant {
  double quota_per_second = 0;   // requests, over the whole fleet
  std::uint32_t generation = 0;  // changes when another tenant takes this one's position
};

struct AdmissionOptions {
  std::vector<Route> routes;
  std::vector<Tenant> tenants;
  int servers = 1;  // in the fleet
  int callers = 1;  // that send to the fleet
  int cores = 1;
  double memory_kb = 0;
  double running_size_factor = 1;  // memory of a running request as a multiple of its size
  double idempotency_key_kb = 0;   // memory of one remembered key
  double shared_answer_ttl = 0;    // time in which reads of a subject may share an answer; 0: never
  Preemption preemption = Preemption::kOff;
  LoadFeedback load_feedback = LoadFeedback::kOff;
  bool deep_health_checks = false;  // health checks cost work unless they are answered from the stored state
  double caller_idle_timeout = 0;
  DependencyKind dependency = DependencyKind::kOff;
  double dependency_share = 0;         // mean number of concurrent calls that this server may have
  double dependency_share_window = 0;  // over which that mean is taken
  double abandoned_call_time = 0;      // how long the dependency keeps working on an abandoned call
  bool slow_start = false;
  double slow_start_speed = 1;        // share of full speed at the start
  double slow_start_time = 0;         // until full speed is reached
  double max_concurrency_factor = 1;  // concurrent requests per core that the server survives at full speed
  double drain_grace = 0;  // requests that arrive this soon after the drain notice are still served
  bool sends_retry_after = false;
  double max_retry_after = 0;
  double timer_resolution = 0;
};

}  // namespace damsonspoke
