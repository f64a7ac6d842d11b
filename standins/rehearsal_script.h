// What a rehearsal is: a fleet, its load, a timeline of faults and a seed, as a text in the grammar of the
// operators' file. Plain data; reading and writing it.
//
//   rehearsal                          fleet                     load
//       name     planners_killed           forwarders 2              request       read retryable 90 1 500ms
//       1s seed     7                         planners   3              retries  2 lasts    5s work 10ms
//       unmarked judged   1500ms 85%           faults
//                                          at 1s kill p1
//                                          at 1500ms start p1
//                                          at 2s cut f1 p2 for 1s
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace damsonspoke::standins {

struct FaultSpec {
  double at = 0;                     // s from when the fleet has come up
  std::string kind;                  // a word of fault_words()
  std::vector<std::string> targets;  // names of processes, groups, or `callers`, `below`
  double duration_seconds = 0;       // s; of what ends by itself
  double amount = 0;                 // shares, seconds or counts, as the word has it
  std::string option;                // of what takes one
};

struct RouteLoad {
  std::string name, idempotency = "retryable";
  double requests_per_second = 50, priority_weight = 1, latency_objective = 0.5, timeout = 1;  // s
};

struct RehearsalScript {
  std::string name = "rehearsal";
  std::uint64_t seed = 1;
  double load_seconds = 5;         // s of load
  double judged_seconds = 1.5;     // s at its end, in which service has to be back
  double min_served_ratio = 0.85;  // of the same seconds of a calm play with the same seed
  int backends = 0, forwarders = 0, planners = 0;
  int cores = 2;
  double core_seconds_per_run = 0.01;                   // core s of a run
  double slow_start_speed = 1, slow_start_seconds = 0;  // of its speed, s
  double calling_share = 0;                             // share of runs that call below
  double dependency_seconds = 0.01;                     // s
  int max_dependency_calls = 1 << 20;                   // calls in hand at it
  bool has_store = false, has_membership = false;  // results with a store; membership among all processes
  bool discovers_planners = false;                 // forwarders hear of planners by members, not by a list
  std::vector<std::string> zones;                  // that processes are dealt into in turn
  std::string operator_settings;                   // more of the operators' file, whole lines
  std::vector<RouteLoad> routes;
  int retries = 2, connections = 4;
  double retry_pause = 0.1;  // s, between a caller's tries
  std::vector<FaultSpec> faults;
};

struct FaultKind {
  const char* name;
  int target_count;         // names that it takes; -1: one or more
  bool has_duration;        // `for` a time
  const char* amount_type;  // what stands behind the names: "", "share", "time", "count", "word?"
  const char* description;
};
const std::vector<FaultKind>& fault_kinds();

// Throws std::runtime_error with a line number in plain words.
RehearsalScript parse_rehearsal(std::string_view text);
std::string text_of(const RehearsalScript& script);
std::string text_of(const FaultSpec& fault);

}  // namespace damsonspoke::standins
