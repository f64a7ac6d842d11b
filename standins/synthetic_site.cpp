#include "synthetic_site.h"

#include <fmt/format.h>

#include <iterator>

namespace damsonspoke::standins {
namespace {

constexpr int kCores = 8;
constexpr double kMemoryKb = 4e6;
constexpr double kRouteVariants = 4;  // routes take turns among so many different settings

}  // namespace

std::string route_name(std::size_t position) {
  return fmt::format("service-{}/route-{}", position % 3200, position);
}
std::string tenant_name(std::size_t position) { return fmt::format("tenant-{:07}", position); }

Route synthetic_route(std::size_t position) {
  const double variant = static_cast<double>(position % static_cast<std::size_t>(kRouteVariants));
  Route route;
  route.latency_objective = 0.2 + 0.1 * variant;
  route.timeout = 2 * route.latency_objective;
  route.idempotency_window = 5;
  route.priority_weight = 1 + variant;
  return route;
}

double synthetic_quota(std::size_t tenants, double total) {
  return total / static_cast<double>(tenants == 0 ? 1 : tenants);
}

StartSettings synthetic_site(SiteSize size, int servers) {
  StartSettings site;
  AdmissionOptions& options = site.admission;
  for (std::size_t i = 0; i < size.routes; ++i) {
    options.routes.push_back(synthetic_route(i));
    site.route_names.push_back(route_name(i));
  }
  for (std::size_t i = 0; i < size.tenants; ++i) {
    options.tenants.push_back({synthetic_quota(size.tenants)});
    site.tenant_names.push_back(tenant_name(i));
  }
  options.servers = servers;
  options.callers = 130000;
  options.cores = kCores;
  options.memory_kb = kMemoryKb;
  options.max_concurrency_factor = 8;
  options.preemption = Preemption::kDrop;
  options.sends_retry_after = true;
  options.max_retry_after = 1;
  options.timer_resolution = 0.002;
  return site;
}

std::string synthetic_config(SiteSize size, int servers) {
  std::string out =
      R"({"name":"hollow","listen":"127.0.0.1:0","runtime":"127.0.0.1:9","roster":"127.0.0.1:9",)"
      R"("seed":"1","stop_ms":3000,"limits":{"cores":1,"memory_mb":192,"sockets":256},)"
      R"("settings":{"request-classes":[)";
  auto end = std::back_inserter(out);
  for (std::size_t i = 0; i < size.routes; ++i) {
    const Route route = synthetic_route(i);
    fmt::format_to(end, R"({}{{"name":"{}","target":{:.0f},"give-up":{:.0f},"window":5000,"worth":{:.0f}}})",
                   i == 0 ? "" : ",", route_name(i), route.latency_objective * 1000, route.timeout * 1000,
                   route.priority_weight);
  }
  out += R"(],"customers":[)";
  for (std::size_t i = 0; i < size.tenants; ++i) {
    fmt::format_to(end, R"({}{{"name":"{}","quota-per-s":{:.6g}}})", i == 0 ? "" : ",", tenant_name(i),
                   synthetic_quota(size.tenants));
  }
  fmt::format_to(
      end,
      R"(],"servers":{},"resolution":2,"rules":{{"fall-multiple":8}},"allowed":{{"retry-after":true,)"
      R"("max-retry-after":1000}},"family-info":{{"cores":{},"memory-kb":{:.0f},"callers":130000,)"
      R"("halt":"drop","gauges":["cpu_busy"]}}}}}})",
      servers, kCores, kMemoryKb);
  return out;
}

}  // namespace damsonspoke::standins
