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
  double at = 0;                 // s from when the fleet has come up
  std::string what;              // a word of fault_words()
  std::vector<std::string> who;  // names of processes, groups, or `callers`, `below`
  double lasts = 0;              // s; of what ends by itself
  double amount = 0;             // shares, seconds or counts, as the word has it
  std::string word;              // of what takes one
};

struct LoadRequest {
  std::string name, idempotency = "retryable";
  double per_s = 50, priority_weight = 1, target = 0.5, timeout = 1;  // s
};

struct RehearsalScript {
  std::string name = "rehearsal";
  std::uint64_t seed = 1;
  double lasts = 5;      // s of load
  double judged = 1.5;   // s at its end, in which service has to be back
  double wanted = 0.85;  // of the same seconds of a calm play with the same seed
  int relays = 0, forwarders = 0, planners = 0;
  int cores = 2;
  double work = 0.01;                                   // core s of a run
  double slow_start_speed = 1, slow_start_seconds = 0;  // of its speed, s
  double calls = 0;                                     // share of runs that call below
  double below_takes = 0.01;                            // s
  int below_most = 1 << 20;                             // calls in hand at it
  bool store = false, members = false;  // results with a store; membership among all processes
  bool planners_told = false;           // forwarders hear of planners by members, not by a list
  std::vector<std::string> zones;       // that processes are dealt into in turn
  std::string operators;                // more of the operators' file, whole lines
  std::vector<LoadRequest> requests;
  int retries = 2, connections = 4;
  double pause = 0.1;  // s, between a caller's tries
  std::vector<FaultSpec> faults;
};

struct FaultWord {
  const char* word;
  int who;             // names that it takes; -1: one or more
  bool lasts;          // `for` a time
  const char* amount;  // what stands behind the names: "", "share", "time", "count", "word?"
  const char* meaning;
};
const std::vector<FaultWord>& fault_words();

// Throws std::runtime_error with a line number in plain words.
RehearsalScript read_rehearsal(std::string_view text);
std::string text_of(const RehearsalScript& script);
std::string text_of(const FaultSpec& fault);

}  // namespace damsonspoke::standins
