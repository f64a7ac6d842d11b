// Checks that a configuration and the operators' options fit together and are supported.
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

// The first unsupported combination; nothing when the program supports all that is configured.
[[nodiscard]] std::optional<UnsupportedConfig> find_unsupported(const Config& config,
                                                                const OperatorOptions& options);

// Enables the idempotency cache in memory where the settings need it, but operators have not enabled results:
// for routes with keys, and for answers that requests may share. `key_field`: the member of the protocol that
// holds a key.
void enable_required_results(const Config& config, const std::string& key_field, OperatorOptions& options);

}  // namespace damsonspoke
