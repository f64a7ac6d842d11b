// Checks that a configuration and the operators' options are consistent and supported.
#pragma once

#include <optional>
#include <string>

#include "settings/config.h"
#include "settings/operator_file.h"

namespace damsonspoke {

// A combination that this program does not support.
struct UnsupportedConfig {
  std::string section;  // of the operators' file, or "settings"
  std::string reason;
};
// "SECTION: REASON"
std::string to_string(const UnsupportedConfig& unsupported);

// The first unsupported combination; nothing if the whole configuration is supported.
[[nodiscard]] std::optional<UnsupportedConfig> find_unsupported(const Config& config,
                                                                const OperatorOptions& options);

// Enables the idempotency cache in memory if the settings need it, for routes with keys or for answers that
// requests may share, and operators have not enabled section `results`. `key_field`: the protocol's parameter
// that holds a key.
void enable_required_results(const Config& config, const std::string& key_field, OperatorOptions& options);

}  // namespace damsonspoke
