// Which requests have to carry a key, by what operators chose.
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

// The same for who goes by the routes of the settings: whether each needs one, by position.
inline std::vector<bool> routes_requiring_key(const Config& config, const ResultsOptions& results) {
  std::vector<bool> needed;
  for (std::size_t i = 0; i < config.site.route_names.size(); ++i) {
    const auto& named = results.digest;
    const bool digest = std::find(named.begin(), named.end(), config.site.route_names[i]) != named.end();
    const bool keyed = config.site.admission.routes[i].idempotency == Idempotency::kWithKey;
    needed.push_back(results.enabled && keyed && !digest);
  }
  return needed;
}

}  // namespace damsonspoke
