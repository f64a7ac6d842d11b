// What one backend process is told at its start: addresses, limits and the settings of its site.
#pragma once

#include <cstdint>
#include <string>

#include "settings/operator_file.h"
#include "settings/settings.h"

namespace damsonspoke {

struct Limits {
  double cores = 1;
  double memory_mb = 192;
  int sockets = 1024;
};

struct Config {
  std::string name;
  std::string listen;      // address:port, as all of these
  std::string runtime;     // what does the work, on the same machine
  std::string dependency;  // the layer below; may be absent where nothing calls it
  std::string registry;
  std::uint64_t seed = 0;
  double stop_after = 0;  // s from the notice to leave to the kill
  Limits limits;
  StartSettings site;
};

// Throws SettingsError with one plain line that names the file or the key.
Config read_config(const std::string& path);
Config parse_config(const std::string& text);

// Fills in what the settings ask for where operators have chosen nothing: keys are kept in memory, told by
// the protocol's own member of that name.
void serve_settings(const Config& config, const std::string& key_field, OperatorOptions& options);

// What this program does not serve with these options, in plain words; empty when it serves all that is
// asked.
std::string unserved(const Config& config, const OperatorOptions& options);

// All that one process goes by; read anew on SIGHUP.
struct Choice {
  Config config;
  OperatorOptions options;
};

}  // namespace damsonspoke
