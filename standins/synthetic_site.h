// A synthetic deployment with any number of routes and tenants, for tests and benchmarks of how costs grow.
// Names and values are derived from the positions, so that they are the same in every process.
#pragma once

#include <cstddef>
#include <string>

#include "settings/settings.h"

namespace damsonspoke::standins {

struct SiteSize {
  std::size_t routes = 3;
  std::size_t tenants = 0;
};

std::string route_name(std::size_t position);
std::string tenant_name(std::size_t position);

// A route's settings: latency objectives of 0.2 to 0.5 s, priority weights of 1 to 4.
Route synthetic_route(std::size_t position);
// A tenant's quota over the whole fleet, in requests per second: an equal part of `total`.
double synthetic_quota(std::size_t tenants, double total = 3e6);

// The settings of a backend with eight cores in a fleet of `servers` backends, without a dependency.
StartSettings synthetic_site(SiteSize size, int servers = 2300);

// The same as a complete configuration file of the platform, with loopback addresses and a port that the
// system picks.
std::string synthetic_config(SiteSize size, int servers = 2300);

}  // namespace damsonspoke::standins
