// The script of a rehearsal: a fleet, its load, a timeline of faults and a seed, as text in the grammar of
// the operators' file. This module holds the script as plain data and reads and writes its text.
//
//     rehearsal
//         name       planners_killed
//         seed       7
//         lasts      5s
//         judged     1500ms 85%
//     fleet
//         forwarders 2
//         planners   3
//         work       10ms
//     load
//         op         read retryable 90 1 500ms 1s
//         retries    2
//     faults
//         at 1s      kill p1
//         at 1500ms  start p1
//         at 2s      cut f1 p2 for 1s
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace damsonspoke::standins {

// One fault of the timeline. The meaning of `amount` depends on the kind: a share, a time in s or a count.
struct FaultSpec {
  double at = 0;                     // s after the fleet has started
  std::string kind;                  // a name of fault_kinds()
  std::vector<std::string> targets;  // names of processes or groups, `callers` or `below` (the dependency)
  double duration_seconds = 0;       // 0 for a fault without a duration
  double amount = 0;
  std::string option;  // of kinds that accept one
};

// The load on one route.
inline constexpr double kRehearsalKeyWindowSeconds = 20;  // of keyed routes

struct RouteLoad {
  std::string name, idempotency = "retryable";
  double requests_per_second = 50, priority_weight = 1;
  double latency_objective = 0.5, timeout = 1;  // s
};

struct RehearsalScript {
  std::string name = "rehearsal";
  std::uint64_t seed = 1;
  double load_seconds = 5;
  // The last seconds of the load, in which service must have recovered: the share of the priority weight that
  // is served there must reach `min_served_ratio` of the same share in a rehearsal without faults.
  double judged_seconds = 1.5;
  double min_served_ratio = 0.85;
  int backends = 0, forwarders = 0, planners = 0;
  int cores = 2;
  double core_seconds_per_run = 0.01;
  double slow_start_speed = 1, slow_start_seconds = 0;  // speed as a share of full speed
  double calling_share = 0;                             // share of runs that call the dependency
  double dependency_seconds = 0.01;                     // duration of a call
  int max_dependency_calls = 1 << 20;                   // calls in flight that the dependency accepts
  bool has_store = false;                               // results are kept in a store
  bool has_membership = false;                          // all processes take part in membership
  bool discovers_planners = false;  // forwarders find planners by membership instead of a list
  std::vector<std::string> zones;   // the processes are assigned to them in turn
  std::string operator_settings;    // complete lines that are appended to each operators' file
  std::vector<RouteLoad> routes;
  int retries = 2, connections = 4;
  double retry_pause = 0.1;  // s between a caller's attempts
  std::vector<FaultSpec> faults;
};

struct FaultKind {
  const char* name;
  int target_count;
  bool has_duration;        // the text ends in `for` and a duration
  const char* amount_type;  // what follows the targets: "", "share", "time", "count" or "word?" (an option)
  const char* description;
};
const std::vector<FaultKind>& fault_kinds();

// Throws std::runtime_error with the line number and the error.
RehearsalScript parse_rehearsal(std::string_view text);
std::string text_of(const RehearsalScript& script);
std::string text_of(const FaultSpec& fault);

}  // namespace damsonspoke::standins
