// The configuration file of a process, written by the platform: addresses, resource limits and the settings
// of its site.
#pragma once

#include <cstdint>
#include <string>

#include "settings/operator_file.h"
#include "settings/settings.h"

namespace damsonspoke {

// Resources that the process may use.
struct Limits {
  double cores = 1;
  double memory_mb = 192;
  int sockets = 1024;
};

// Addresses are numeric, as address:port.
struct Config {
  std::string name;
  std::string listen;
  std::string runtime;     // runs the requests, on the same machine
  std::string dependency;  // may be empty if no route calls it
  std::string registry;
  std::uint64_t seed = 0;
  double stop_after = 0;  // seconds from the shutdown signal until the process is killed
  Limits limits;
  StartSettings site;
};

// Throw SettingsError with a message of one line that names the file or the key.
Config read_config(const std::string& path);
Config parse_config(const std::string& text);

// The complete configuration of one process; read again on SIGHUP.
struct ProcessConfig {
  Config config;
  OperatorOptions options;
};

}  // namespace damsonspoke
