#include "settings/settings.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

namespace damsonspoke {
namespace {

using Json = nlohmann::json;

constexpr double kSecondsPerMs = 0.001;
constexpr double kMaxInteger = 1e6;

[[noreturn]] void throw_bad_value(const std::string& key) {
  throw SettingsError("settings: invalid value of '" + key + "'");
}

// The value of a key; null if it is absent.
const Json& find(const Json& from, const char* key) {
  static const Json kAbsent;
  if (!from.is_object()) throw SettingsError(std::string("settings: '") + key + "' is not inside an object");
  const auto found = from.find(key);
  return found == from.end() ? kAbsent : *found;
}

double read_number(const Json& from, const char* key, double default_value) {
  const Json& value = find(from, key);
  if (value.is_null()) return default_value;
  if (!value.is_number() || !std::isfinite(value.get<double>()) || value.get<double>() < 0)
    throw_bad_value(key);
  return value.get<double>();
}

// Reads a number without a default, because decisions depend on it.
double read_required_number(const Json& from, const char* key, double minimum) {
  if (find(from, key).is_null()) throw SettingsError(std::string("settings: missing key '") + key + "'");
  const double value = read_number(from, key, 0);
  if (value < minimum) throw_bad_value(key);
  return value;
}

// A share from 0 to 1.
double read_share(const Json& from, const char* key, double default_value) {
  const double value = read_number(from, key, default_value);
  if (value > 1) throw_bad_value(key);
  return value;
}

// Seconds of a value in milliseconds.
double read_seconds(const Json& from, const char* key) { return read_number(from, key, 0) * kSecondsPerMs; }

// An integer; the minimum is the default.
int read_integer(const Json& from, const char* key, int minimum) {
  const double value = read_number(from, key, minimum);
  if (value > kMaxInteger || value < minimum) throw_bad_value(key);
  return static_cast<int>(value);
}

bool read_flag(const Json& from, const char* key) {
  const Json& value = find(from, key);
  if (value.is_null()) return false;
  if (!value.is_boolean()) throw_bad_value(key);
  return value.get<bool>();
}

// Reads one of a list of words; the first is the default.
template <typename T>
T read_choice(const Json& from, const char* key, std::initializer_list<std::pair<const char*, T>> choices) {
  const Json& value = find(from, key);
  if (value.is_null()) return choices.begin()->second;
  for (const auto& [text, meaning] : choices) {
    if (value == text) return meaning;
  }
  throw_bad_value(key);
}

// An array; empty if the key is absent.
const Json& find_array(const Json& from, const char* key) {
  static const Json kNone = Json::array();
  const Json& value = find(from, key);
  if (value.is_null()) return kNone;
  if (!value.is_array()) throw_bad_value(key);
  return value;
}

// An object; empty if the key is absent or its value is not an object.
const Json& find_object(const Json& from, const char* key) {
  static const Json kEmpty = Json::object();
  const Json& value = find(from, key);
  return value.is_object() ? value : kEmpty;
}

std::string read_name(const Json& entry) {
  const Json& name = find(entry, "name");
  if (name.is_null()) return {};
  if (!name.is_string()) throw_bad_value("name");
  return name.get<std::string>();
}

// "calls-by-class" and "worth-without" are arrays beside "request-classes", by position; they may be shorter.
void read_dependency_use(const Json& calls, const Json& values_without_call, std::size_t position,
                         Route& route) {
  if (position < calls.size()) {
    if (!calls[position].is_boolean()) throw_bad_value("calls-by-class");
    route.calls_dependency = calls[position].get<bool>();
  }
  if (position < values_without_call.size()) {
    const Json& value = values_without_call[position];
    if (!value.is_number()) throw_bad_value("worth-without");
    route.value_without_call = value.get<double>();
    if (!(route.value_without_call >= 0 && route.value_without_call <= 1)) throw_bad_value("worth-without");
  }
}

void read_routes(const Json& top, const Json& family, StartSettings& start) {
  std::vector<Route>& routes = start.admission.routes;
  const Json& calls = find_array(family, "calls-by-class");
  const Json& values_without_call = find_array(family, "worth-without");
  for (const Json& entry : find_array(top, "request-classes")) {
    Route route = read_route(entry);
    read_dependency_use(calls, values_without_call, routes.size(), route);
    start.route_names.push_back(read_name(entry));
    routes.push_back(route);
  }
  if (routes.empty()) throw_bad_value("request-classes");
}

void read_tenants(const Json& top, StartSettings& start) {
  for (const Json& entry : find_array(top, "customers")) {
    start.admission.tenants.push_back(read_tenant(entry));
    start.tenant_names.push_back(read_name(entry));
  }
}

void read_resources(const Json& top, const Json& family, AdmissionOptions& admission) {
  admission.servers = read_integer(top, "servers", 0);
  admission.callers = read_integer(family, "callers", 0);
  read_required_number(family, "cores", 1);
  admission.cores = read_integer(family, "cores", 1);
  admission.memory_kb = read_required_number(family, "memory-kb", 0);
  if (admission.memory_kb <= 0) throw_bad_value("memory-kb");
  admission.running_size_factor = read_number(family, "run-factor", 1);
  admission.idempotency_key_kb = read_number(family, "key-kb", 0);
  admission.shared_answer_ttl = read_seconds(family, "fresh");
}

void read_request_counting(const Json& top, StartSettings& start) {
  start.counted_by_work = read_choice<bool>(top, "counted-by", {{"request", false}, {"work", true}});
  // By default, requests carry hints if they are counted by their work.
  start.has_work_hints =
      find(top, "hints").is_null()
          ? start.counted_by_work
          : read_choice<bool>(top, "hints", {{"none", false}, {"good", true}, {"rough", true}});
}

void read_dependency(const Json& family, AdmissionOptions& admission) {
  admission.dependency = read_choice<DependencyKind>(
      family, "below",
      {{"off", DependencyKind::kOff}, {"shared", DependencyKind::kShared}, {"tier", DependencyKind::kTier}});
  admission.dependency_share = read_number(family, "dep-share", 0);
  admission.dependency_share_window = read_seconds(family, "calls-over");
  if (admission.dependency == DependencyKind::kShared) {  // 0 is valid, but the keys are required
    read_required_number(family, "dep-share", 0);
    read_required_number(family, "calls-over", 0);
  }
  admission.abandoned_call_time = read_seconds(family, "linger");
}

void read_rules(const Json& top, const Json& family, AdmissionOptions& admission) {
  const Json& rules = find_object(top, "rules");
  const Json& allowed = find_object(top, "allowed");
  admission.slow_start = read_flag(family, "cold");
  admission.slow_start_speed = read_share(rules, "cold-from", 1);
  admission.slow_start_time = read_seconds(rules, "cold");
  admission.max_concurrency_factor = read_required_number(rules, "fall-multiple", 1);
  admission.drain_grace = read_seconds(rules, "stop-sending-within");
  admission.sends_retry_after = read_flag(allowed, "retry-after");
  admission.max_retry_after = read_seconds(allowed, "max-retry-after");
  admission.timer_resolution = read_seconds(top, "resolution");
}

Gauge read_gauge(const Json& name) {
  if (name == "cpu_busy") return Gauge::kCpuBusy;
  if (name == "runnable") return Gauge::kRunnable;
  if (name == "mem_used") return Gauge::kMemoryUsed;
  if (name == "sockets") return Gauge::kConnections;
  return Gauge::kOther;
}

}  // namespace

Route read_route(const Json& entry) {
  Route route;
  route.latency_objective = read_required_number(entry, "target", 0) * kSecondsPerMs;
  route.timeout = read_required_number(entry, "give-up", 0) * kSecondsPerMs;
  if (route.timeout <= 0) throw_bad_value("give-up");
  route.idempotency_window = read_seconds(entry, "window");
  route.priority_weight = read_number(entry, "worth", 1);
  route.late_value = read_share(entry, "late-worth", 0);
  route.idempotency = read_choice<Idempotency>(entry, "semantics",
                                               {{"retryable", Idempotency::kIdempotent},
                                                {"dedup", Idempotency::kWithKey},
                                                {"fragile", Idempotency::kNonIdempotent}});
  return route;
}

Tenant read_tenant(const Json& entry) {
  Tenant tenant;
  tenant.quota_per_second = read_number(entry, "quota-per-s", 0);
  return tenant;
}

StartSettings read_settings(std::string_view text) {
  return read_settings(Json::parse(text, nullptr, false));
}

StartSettings read_settings(const Json& top) {
  if (!top.is_object()) throw SettingsError("settings: not a JSON object");
  const Json& family = find(top, "family-info");
  if (!family.is_object()) throw_bad_value("family-info");
  StartSettings start;
  AdmissionOptions& admission = start.admission;
  read_routes(top, family, start);
  read_tenants(top, start);
  read_resources(top, family, admission);
  admission.preemption = read_choice<Preemption>(
      family, "halt",
      {{"off", Preemption::kOff}, {"drop", Preemption::kDrop}, {"pause", Preemption::kPause}});
  admission.load_feedback = read_choice<LoadFeedback>(family, "say",
                                                      {{"off", LoadFeedback::kOff},
                                                       {"level", LoadFeedback::kLevel},
                                                       {"credit", LoadFeedback::kCredit},
                                                       {"weight", LoadFeedback::kWeight}});
  admission.deep_health_checks = read_flag(family, "deep-checks");
  start.registry_follows_health = read_flag(family, "list-follows");
  read_request_counting(top, start);
  admission.caller_idle_timeout = read_seconds(family, "caller-idle");
  read_dependency(family, admission);
  read_rules(top, family, admission);
  for (const Json& name : find_array(family, "gauges")) start.gauges.push_back(read_gauge(name));
  return start;
}

}  // namespace damsonspoke
