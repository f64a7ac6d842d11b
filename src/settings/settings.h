// Reads the platform's settings of a backend from JSON into plain values. Unknown keys are ignored. The keys
// are the platform's names; this module maps them to the terms that the program uses.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "admission/options.h"

namespace damsonspoke {

// A value that the runtime reports when a timer fires.
enum class Gauge { kOther, kCpuBusy, kRunnable, kMemoryUsed, kConnections };

// Settings that are missing or invalid. what() is one line for operators that names the key or the file.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct StartSettings {
  AdmissionOptions admission;
  std::vector<std::string> route_names;   // by position, as admission.routes
  std::vector<std::string> tenant_names;  // by position, as admission.tenants
  bool registry_follows_health = false;   // an unhealthy backend is removed from the registry
  bool has_work_hints = false;            // requests carry an estimate of their work, ms
  bool counted_by_work = false;           // the platform values requests by their work, not by their number
  std::vector<Gauge> gauges;              // in the order of the report
};

// Reads an entry of "request-classes", except its name and the values of "calls-by-class" and
// "worth-without". Throws SettingsError.
Route read_route(const nlohmann::json& entry);
// Reads an entry of "customers", except its name. Throws SettingsError.
Tenant read_tenant(const nlohmann::json& entry);

// Throw SettingsError.
StartSettings read_settings(std::string_view text);
StartSettings read_settings(const nlohmann::json& top);

}  // namespace damsonspoke
