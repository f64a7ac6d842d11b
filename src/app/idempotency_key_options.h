// Which requests must carry an idempotency key, according to the operators' options.
#pragma once

#include <algorithm>
#include <vector>

#include "peers/json_rpc/request_builder.h"
#include "settings/config.h"

namespace damsonspoke {

inline peers::IdempotencyKeyOptions idempotency_key_options(const ResultsOptions& results) {
  if (!results.enabled) return {};
  return {results.key_field, results.key_length, {results.digest.begin(), results.digest.end()}};
}

// Whether each route of the settings needs a key, by position; for AJP, which uses these routes alone.
inline std::vector<bool> routes_requiring_key(const Config& config, const ResultsOptions& results) {
  std::vector<bool> needed;
  for (std::size_t i = 0; i < config.site.route_names.size(); ++i) {
    const auto& digest_routes = results.digest;
    const bool uses_digest = std::find(digest_routes.begin(), digest_routes.end(),
                                       config.site.route_names[i]) != digest_routes.end();
    const bool is_keyed = config.site.admission.routes[i].idempotency == Idempotency::kWithKey;
    needed.push_back(results.enabled && is_keyed && !uses_digest);
  }
  return needed;
}

}  // namespace damsonspoke
