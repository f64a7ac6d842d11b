// Reads the settings that a backend is given, as JSON, into plain values; both fronts use it. Unknown keys
// are ignored.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "decide.h"

namespace damsonspoke {

enum class Gauge { kOther, kCpuBusy, kRunnable, kMemoryUsed, kConnections };

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct StartSettings {
  Settings settings;
  std::vector<std::string> type_names;      // by position, as the op types
  std::vector<std::string> customer_names;  // by position, as the customers
  bool list_follows = false;                // the list of backends follows health
  bool hints = false;    // "hints": "good" or "rough": ops tell their work (ms); "none"; absent: as by_work
  bool by_work = false;  // "counted-by": "work": worth is counted by the unit of work, not by the op
  std::vector<Gauge> gauges;  // in the order in which a wake conveys them
};

// One op type as the platform writes it (an entry of "request-classes"), but for its name and its calls.
OpType read_op_type(const nlohmann::json& entry);
Customer read_customer(const nlohmann::json& entry);

StartSettings read_settings(std::string_view text);
StartSettings read_settings(const nlohmann::json& top);

}  // namespace damsonspoke
