#include "settings/config_validation.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace damsonspoke {
namespace {

using Unsupported = std::optional<UnsupportedConfig>;

constexpr double kBytesPerKb = 1024;
constexpr double kBytesPerMb = 1024 * 1024;
// Share of the memory limit; the rest is for the peers, the program itself and requests in flight.
constexpr double kResultsMemoryShare = 0.2;
constexpr double kMaxDefaultResultsBytes = 8 * kBytesPerMb;  // the default of the directive `memory`
constexpr std::size_t kDefaultEntryBytes = 400;              // for a key without its result
constexpr std::size_t kDefaultMaxKeyBytes = 255;             // the maximum of the directive `key-length`
constexpr double kDefaultStoreTimeoutSeconds = 1;

double max_results_bytes(const Config& config) {
  return config.limits.memory_mb * kResultsMemoryShare * kBytesPerMb;
}

std::optional<std::size_t> find_route(const StartSettings& site, const std::string& name) {
  const auto found = std::find(site.route_names.begin(), site.route_names.end(), name);
  if (found == site.route_names.end()) return std::nullopt;
  return static_cast<std::size_t>(found - site.route_names.begin());
}

Unsupported check_results(const Config& config, const ResultsOptions& results) {
  if (!results.enabled) return std::nullopt;
  for (const std::string& name : results.digest) {
    const std::optional<std::size_t> route = find_route(config.site, name);
    if (!route)
      return UnsupportedConfig{"results",
                               fmt::format("digest names '{}', which is not a route of the settings", name)};
    if (config.site.admission.routes[*route].idempotency != Idempotency::kWithKey)
      return UnsupportedConfig{
          "results",
          fmt::format("digest names '{}', which is not a keyed route: its requests are not remembered",
                      name)};
  }
  const double max_bytes = max_results_bytes(config);
  if (static_cast<double>(results.memory) > max_bytes)
    return UnsupportedConfig{"results",
                             fmt::format("memory exceeds {}K, a fifth of this backend's memory limit",
                                         static_cast<int>(max_bytes / kBytesPerKb))};
  return std::nullopt;
}

bool is_loopback(const std::string& address) {
  return address.rfind("127.", 0) == 0 || address.rfind("[::1]", 0) == 0;
}

Unsupported check_ajp(const Config& config, const AjpOptions& ajp) {
  if (!ajp.dependency.empty() && ajp.dependency_path.front() != '/')
    return UnsupportedConfig{"ajp",
                             fmt::format("below-path '{}' does not start with /", ajp.dependency_path)};
  if (ajp.listen.empty()) return std::nullopt;
  if (!config.site.admission.tenants.empty())
    return UnsupportedConfig{
        "ajp",
        "'listen' is set, but the settings have 'customers', and AJP requests do not name their tenant"};
  if (ajp.routes.empty())
    return UnsupportedConfig{"ajp", "'listen' is set, but no 'map' maps requests to routes"};
  if (ajp.secret.empty() && !is_loopback(ajp.listen))
    return UnsupportedConfig{
        "ajp",
        fmt::format("'secret' is missing: '{}' is not a loopback address, so any host could act as a gateway",
                    ajp.listen)};
  for (const AjpRoute& mapping : ajp.routes) {
    if (mapping.route != kAjpHealthRoute && !find_route(config.site, mapping.route))
      return UnsupportedConfig{
          "ajp", fmt::format("map names '{}', which is not a route of the settings", mapping.route)};
  }
  return std::nullopt;
}

Unsupported check_catalog(const OperatorOptions& options) {
  if (options.catalog.folder.empty()) return std::nullopt;
  if (!options.ajp.listen.empty())
    return UnsupportedConfig{"catalog",
                             "'folder' is set, but AJP callers use the routes of the settings only"};
  if (options.statistics.enabled)
    return UnsupportedConfig{
        "catalog", "'folder' is set, but statistics are learned for the routes of the settings only"};
  return std::nullopt;
}

Unsupported check_statistics(const StatisticsPersistenceOptions& statistics) {
  if (statistics.enabled && statistics.folder.empty())
    return UnsupportedConfig{"knowledge", "enabled, but 'folder' is missing"};
  return std::nullopt;
}

Unsupported check_settings(const StartSettings& site) {
  // Without hints the work of a request is unknown, so the request can't be valued by it.
  if (site.counted_by_work && !site.has_work_hints)
    return UnsupportedConfig{
        "settings", "'counted-by' is 'work', but 'hints' is 'none': the work of requests would be unknown"};
  if (site.admission.load_feedback != LoadFeedback::kOff)
    return UnsupportedConfig{"settings",
                             "'say' is not off, but this program does not send load feedback yet"};
  if (site.admission.dependency == DependencyKind::kTier)
    return UnsupportedConfig{"settings",
                             "'below' is 'tier', but this program supports a shared dependency only"};
  return std::nullopt;
}

ResultsOptions default_results(const Config& config, const std::string& key_field) {
  ResultsOptions results;
  results.enabled = true;
  results.memory = static_cast<std::size_t>(std::min(max_results_bytes(config), kMaxDefaultResultsBytes));
  results.entries = results.memory / kDefaultEntryBytes;
  results.store_timeout = kDefaultStoreTimeoutSeconds;
  results.key_field = key_field;
  results.key_length = kDefaultMaxKeyBytes;
  return results;
}

}  // namespace

std::string to_string(const UnsupportedConfig& unsupported) {
  return unsupported.section + ": " + unsupported.reason;
}

std::optional<UnsupportedConfig> find_unsupported(const Config& config, const OperatorOptions& options) {
  if (auto found = check_results(config, options.results)) return found;
  if (auto found = check_ajp(config, options.ajp)) return found;
  if (auto found = check_catalog(options)) return found;
  if (auto found = check_statistics(options.statistics)) return found;
  return check_settings(config.site);
}

void enable_required_results(const Config& config, const std::string& key_field, OperatorOptions& options) {
  if (options.results.enabled) return;
  const std::vector<Route>& routes = config.site.admission.routes;
  const bool has_keyed_route = std::any_of(routes.begin(), routes.end(), [](const Route& route) {
    return route.idempotency == Idempotency::kWithKey;
  });
  if (has_keyed_route || config.site.admission.shared_answer_ttl > 0)
    options.results = default_results(config, key_field);
}

}  // namespace damsonspoke
