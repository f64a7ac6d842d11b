// Reads the settings that a backend is given, as JSON, into plain values; both fronts use it. Unknown keys
// are ignored.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "admission/options.h"

namespace damsonspoke {

enum class Gauge { kOther, kCpuBusy, kRunnable, kMemoryUsed, kConnections };

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct StartSettings {
  AdmissionOptions admission;
  std::vector<std::string> route_names;   // by position, as the routes
  std::vector<std::string> tenant_names;  // by position, as the tenants
  bool registry_follows_health = false;   // the list of backends follows health
  bool has_work_hints =
      false;  // "hints": "good" or "rough": requests tell their work (ms); "none"; absent: as by_work
  bool counted_by_work =
      false;  // "counted-by": "work": worth is counted by the unit of work, not by the request
  std::vector<Gauge> gauges;  // in the order in which a wake conveys them
};

// One route as the platform writes it (an entry of "request-classes"), but for its name and its calls.
Route read_route(const nlohmann::json& entry);
Tenant read_tenant(const nlohmann::json& entry);

StartSettings read_settings(std::string_view text);
StartSettings read_settings(const nlohmann::json& top);

}  // namespace damsonspoke
