// Which ops have to carry a key, by what operators chose.
#pragma once

#include <algorithm>
#include <vector>

#include "peers/callers.h"
#include "settings/config.h"

namespace damsonspoke {

inline peers::Callers::Marks marks(const ResultsOptions& results) {
  if (!results.enabled) return {};
  return {results.key_field, results.key_length, {results.digest.begin(), results.digest.end()}};
}

// The same for who goes by the op types of the settings: whether each needs one, by position.
inline std::vector<bool> needs_key(const Config& config, const ResultsOptions& results) {
  std::vector<bool> needed;
  for (std::size_t i = 0; i < config.site.type_names.size(); ++i) {
    const auto& named = results.digest;
    const bool digest = std::find(named.begin(), named.end(), config.site.type_names[i]) != named.end();
    const bool keyed = config.site.settings.op_types[i].effect == Effect::kKeyed;
    needed.push_back(results.enabled && keyed && !digest);
  }
  return needed;
}

}  // namespace damsonspoke
