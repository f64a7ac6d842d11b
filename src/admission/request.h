// A request as the admission controller sees it, the outcomes of runs and calls, and the server's gauges.
// Durations are seconds and sizes kilobytes.
#pragma once

#include <cstdint>

namespace damsonspoke {

using RequestId = std::uint64_t;

struct Request {
  RequestId id = 0;
  int route = 0;                 // position in the route directory
  int tenant = 0;                // position in the route directory
  std::uint64_t subject = 0;     // what the request is about; 0: unknown
  double remaining_timeout = 0;  // time that its caller still waits; 0: unknown
  double age = 0;                // since it arrived at this machine
  double size_kb = 0;
  double work_hint = 0;   // work on a standard core, estimated by the caller; 0: unknown
  bool is_retry = false;  // marked as a retry by its caller
  bool is_write = false;
  std::uint32_t caller = 0;
  RequestId duplicate_of = 0;  // the stored request that this one duplicates; 0: none
};

// How a run or a call ended. kRejected, kUnreachable and kObsolete prove that it never ran.
enum class Outcome { kOk, kError, kRejected, kTimeout, kUnreachable, kReset, kCancelled, kObsolete };

// Readings of the server's gauges; negative if the server does not have the gauge.
struct Gauges {
  double cpu_busy = -1;     // share of the cores, 0 to 1
  double runnable = -1;     // threads that run or wait for a core
  double memory_used = -1;  // share, 0 to 1
  double connections = -1;
};

}  // namespace damsonspoke
