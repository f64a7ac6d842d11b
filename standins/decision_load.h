// The decisions alone under a steady load, without sockets: what one request costs of processor time, by how
// many routes and tenants there are.
#pragma once

#include <cstdint>

#include "admission/route_directory.h"

namespace damsonspoke::standins {

struct DecisionLoadOptions {
  std::uint64_t requests = 20000;
  double per_second = 1304;  // 3 million over 2,300 backends
  double run_time = 0.004;   // s on a core
  std::uint64_t seed = 1;
  const RouteDirectory* directory =
      nullptr;  // of routes and tenants, at the positions from 0 on; none: the settings'
};

struct DecisionLoadResult {
  std::uint64_t started = 0, rejected = 0;
  double processor_seconds = 0;  // of this thread, for all requests together
  double longest_seconds = 0;    // one request's arrival, by this thread's processor time
  double us_per_request(std::uint64_t requests) const {
    return processor_seconds * 1e6 / static_cast<double>(requests);
  }
};

// s of processor time that this thread has had.
double thread_processor_time();

// Plays requests of routes and tenants drawn evenly from all positions (the hardest spread).
DecisionLoadResult play_decisions(const AdmissionOptions& settings, const DecisionLoadOptions& options);

}  // namespace damsonspoke::standins
