// A made-up deployment of any size: so many routes (routes) and tenants (tenants), for tests and
// benchmarks of how costs grow. Names and values follow from the positions, so that two runs agree.
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

// A route's settings: latency targets of 0.2 to 0.5 s, importance of 1 to 4.
Route synthetic_route(std::size_t position);
// A tenant's quota over the whole fleet, requests a second. Each has a part of `total`.
double synthetic_quota(std::size_t tenants, double total = 3e6);

// Eight cores, `servers` backends; no layer below.
StartSettings synthetic_site(SiteSize size, int servers = 2300);

// The same as the platform writes it, whole: addresses on loopback, ports that the system picks.
std::string synthetic_config(SiteSize size, int servers = 2300);

}  // namespace damsonspoke::standins
