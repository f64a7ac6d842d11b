// Load on the admission controller alone, without sockets: measures the processor time of a request's
// decision for a number of routes and tenants.
#pragma once

#include <cstdint>

#include "admission/route_directory.h"

namespace damsonspoke::standins {

struct DecisionLoadOptions {
  std::uint64_t requests = 20000;
  double per_second = 1304;  // 3 million over 2,300 backends
  double run_time = 0.004;   // s on a core
  std::uint64_t seed = 1;
  // Provides the routes and tenants, at the positions from 0 on; without it, those of the settings are used.
  const RouteDirectory* directory = nullptr;
};

struct DecisionLoadResult {
  std::uint64_t started = 0, rejected = 0;
  double processor_seconds = 0;  // of this thread, for all requests
  double longest_seconds = 0;    // longest processor time of the decision on one arriving request
  double us_per_request(std::uint64_t requests) const {
    return processor_seconds * 1e6 / static_cast<double>(requests);
  }
};

// Processor time that this thread has used, in s.
double thread_processor_time();

// Sends requests of routes and tenants that are drawn evenly from all positions, which is the most expensive
// distribution.
DecisionLoadResult play_decisions(const AdmissionOptions& settings, const DecisionLoadOptions& options);

}  // namespace damsonspoke::standins
